//! The list of all counters.

use crate::metric_list::metric_list;

metric_list! {
    /// A number of events since the start of the instance; it only rises.
    Counter {
        /// Requests accepted from callers.
        Requests = "requests",
        /// Requests refused before anything was sent to a target.
        Refused = "requests.refused",
        /// Requests whose outcome is not known.
        Unknown = "requests.unknown",
        /// Requests that ended with a typed failure after they had begun.
        Failed = "requests.failed",
        /// Tokens passed to callers.
        Tokens = "answers.tokens",
        /// Frames dropped because another frame with their position was passed on before.
        Repeats = "answers.repeats",
        /// Frames discarded because they belong to another attempt or request.
        Strays = "answers.strays",
        /// Answers resumed on the target that began them.
        ResumedSame = "answers.resumed_same",
        /// Answers continued on another target.
        ResumedElsewhere = "answers.resumed_elsewhere",
        /// Answers taken over from another instance.
        TakenOver = "answers.taken_over",
        /// Streams found silent for longer than the progress timeout.
        Stalls = "answers.stalls",
        /// Non-idempotent calls with a durable intent.
        KeyedCalls = "ledger.calls",
        /// Non-idempotent calls answered from a result that stood already.
        KeyedRepeats = "ledger.repeats",
        /// Batches written to the ledger.
        LedgerBatches = "ledger.batches",
        /// Conditional creates of the ledger lost to another writer.
        LedgerRaces = "ledger.races",
        /// Retries sent to targets.
        Retries = "route.retries",
        /// Retries withheld because the budget was used up.
        RetriesWithheld = "route.retries_withheld",
        /// Targets taken out of routing.
        Ejections = "route.ejections",
        /// Targets brought back into routing.
        Returns = "route.returns",
        /// Bundles brought into force at this instance.
        Bundles = "rollout.bundles",
        /// Brakes that became known to this instance.
        Brakes = "rollout.brakes",
        /// Calls to the platform.
        StoreCalls = "platform.calls",
        /// Calls to the platform that failed or got no reply.
        StoreFailures = "platform.failures",
        /// Calls to the platform withheld by the call budget.
        StoreWithheld = "platform.withheld",
        /// Gossip messages sent.
        GossipSent = "gossip.sent",
        /// Gossip messages received.
        GossipReceived = "gossip.received",
        /// Bytes of gossip sent.
        GossipBytes = "gossip.bytes",
        /// Exchanges with peers that failed or ran into their deadline.
        GossipFailures = "gossip.failures",
        /// Peers that became suspected.
        Suspicions = "gossip.suspicions",
        /// Keeper records accepted from peers.
        KeeperRecords = "keeper.records",
        /// Keeper records dropped because the store was full.
        KeeperDropped = "keeper.dropped",
        /// Orders sent to engines.
        Orders = "orders.sent",
        /// Orders refused by an engine because it had seen a newer holder.
        OrdersFenced = "orders.fenced",
        /// Orders held back because too little of the lease remained.
        OrdersHeld = "orders.held",
        /// Calls made to acquire or renew a lease.
        LeaseCalls = "orders.lease_calls",
        /// Routed requests that were read.
        Routed = "relay.requests",
        /// Routed requests that no route or account allows.
        RoutedDenied = "relay.denied",
        /// Routed requests that were told that they have not run.
        RoutedRefused = "relay.refused",
        /// Routed requests that were refused as the configuration in force or the list of targets may be superseded.
        RoutedStale = "relay.stale",
        /// Those of them that were refused for the list of targets.
        RoutedStaleTargets = "relay.stale_targets",
        /// Attempts that got no target as the list of targets may be superseded.
        PlacementsStale = "relay.placements_stale",
        /// Routed requests that failed and may have run.
        RoutedFailed = "relay.failed",
        /// Routed requests whose time was over.
        RoutedExpired = "relay.expired",
        /// Attempts at targets that ended without a response to pass on.
        AttemptsEnded = "relay.attempts_ended",
        /// Streams that were moved to another engine while they ran.
        StreamsMoved = "relay.streams_moved",
        /// Streams that went on at the holder of a copy.
        ResumedByCopy = "relay.resumed_by_copy",
        /// Streams that went on at an engine that had to read them anew.
        ResumedByReading = "relay.resumed_by_reading",
        /// Streams that were passed on to their end.
        StreamsComplete = "relay.streams_complete",
        /// Streams that could not go on.
        StreamsBroken = "relay.streams_broken",
        /// Streams that their callers left.
        StreamsLeft = "relay.streams_left",
        /// Targets that took no connection.
        TargetsDead = "relay.targets_dead",
        /// Engines that were found again while the store did not tell.
        TargetsFound = "relay.targets_found",
        /// Times that the store did not answer after it had.
        StoreLosses = "relay.store_losses",
        /// Configurations taken from the store or from another instance.
        ConfigFetches = "relay.config_fetches",
        /// Calls for a configuration that brought none.
        ConfigFetchFailures = "relay.config_fetch_failures",
        /// Bytes received by calls for configurations, those that failed included.
        ConfigBytes = "relay.config_bytes",
        /// Log lines that were left out.
        LinesLeftOut = "log.lines_left_out",
    }
}
