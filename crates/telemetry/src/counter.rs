//! Counters.

use crate::metric_list::metric_list;

metric_list! {
    /// A number of events since the start of the instance. It never decreases.
    Counter {
        /// Requests accepted from callers.
        Requests = "requests",
        /// Requests rejected before anything was sent to a target.
        Refused = "requests.refused",
        /// Requests whose outcome is not known.
        Unknown = "requests.unknown",
        /// Requests that failed after they had been started, with a known cause.
        Failed = "requests.failed",
        /// Tokens passed to callers.
        Tokens = "answers.tokens",
        /// Frames dropped because a frame with the same position had already been forwarded.
        Repeats = "answers.repeats",
        /// Frames dropped because they belong to another attempt or request.
        Strays = "answers.strays",
        /// Answers resumed on the target that started them.
        ResumedSame = "answers.resumed_same",
        /// Answers continued on another target.
        ResumedElsewhere = "answers.resumed_elsewhere",
        /// Answers taken over from another instance.
        TakenOver = "answers.taken_over",
        /// Streams without any progress for longer than the progress timeout.
        Stalls = "answers.stalls",
        /// Non-idempotent calls whose intent was recorded durably.
        LedgerCalls = "ledger.calls",
        /// Non-idempotent calls answered with a result that had already been recorded.
        LedgerRepeats = "ledger.repeats",
        /// Batches written to the ledger.
        LedgerBatches = "ledger.batches",
        /// Conditional creates of the ledger that failed because another writer was first.
        LedgerRaces = "ledger.races",
        /// Retries sent to targets.
        Retries = "route.retries",
        /// Retries not sent because the retry budget was exhausted.
        RetriesWithheld = "route.retries_withheld",
        /// Targets removed from routing.
        Ejections = "route.ejections",
        /// Targets added to routing again.
        Returns = "route.returns",
        /// Bundles activated at this instance.
        Bundles = "rollout.bundles",
        /// Halts of rollouts ("brakes") that this instance learned of.
        Brakes = "rollout.brakes",
        /// Calls to the platform.
        StoreCalls = "platform.calls",
        /// Calls to the platform that failed or got no response.
        StoreFailures = "platform.failures",
        /// Calls to the platform not sent because the call budget was exhausted.
        StoreWithheld = "platform.withheld",
        /// Gossip messages sent.
        GossipSent = "gossip.sent",
        /// Gossip messages received.
        GossipReceived = "gossip.received",
        /// Bytes of gossip messages sent.
        GossipBytes = "gossip.bytes",
        /// Exchanges with peers that failed or timed out.
        GossipFailures = "gossip.failures",
        /// Peers that became suspected of having failed.
        Suspicions = "gossip.suspicions",
        /// Keeper records accepted from peers.
        KeeperRecords = "keeper.records",
        /// Keeper records dropped because the store was full.
        KeeperDropped = "keeper.dropped",
        /// Orders sent to engines.
        Orders = "orders.sent",
        /// Orders rejected by an engine because it had already received one of a newer lease
        /// holder.
        OrdersFenced = "orders.fenced",
        /// Orders not sent because too little time remained until the lease expired.
        OrdersHeld = "orders.held",
        /// Calls made to acquire or renew a lease.
        LeaseCalls = "orders.lease_calls",
        /// Routed requests received.
        Routed = "relay.requests",
        /// Routed requests that no route or account permits.
        RoutedDenied = "relay.denied",
        /// Routed requests whose response said that they had not run.
        RoutedRefused = "relay.refused",
        /// Routed requests rejected because the active configuration or the list of targets may be
        /// outdated.
        RoutedStale = "relay.stale",
        /// Routed requests rejected because the list of targets may be outdated.
        /// [`RoutedStale`](Self::RoutedStale) includes them.
        RoutedStaleTargets = "relay.stale_targets",
        /// Attempts that got no target because the list of targets may be outdated.
        PlacementsStale = "relay.placements_stale",
        /// Routed requests that failed and may have run.
        RoutedFailed = "relay.failed",
        /// Requests refused because there was no memory to receive them.
        BodiesRejected = "relay.bodies_rejected",
        /// Requests whose bodies did not arrive by their deadline.
        BodiesTimedOut = "relay.bodies_timed_out",
        /// Requests whose bodies are longer than allowed.
        BodiesTooLong = "relay.bodies_too_long",
        /// Connections of callers that were closed because memory or descriptors were short.
        CallersClosed = "relay.callers_closed",
        /// Connections of callers that were not accepted because a request runs on each open one.
        CallersTurnedAway = "relay.callers_turned_away",
        /// Routed requests that exceeded their deadline.
        RoutedExpired = "relay.expired",
        /// Attempts that ended without a response that could be forwarded.
        AttemptsEnded = "relay.attempts_ended",
        /// Streams moved to another engine while they ran.
        StreamsMoved = "relay.streams_moved",
        /// Runs whose copies yielded room to prompts that wait for memory.
        CopiesYielded = "relay.copies_yielded",
        /// Runs that may have copies again.
        CopiesReturned = "relay.copies_returned",
        /// Streams given up before their first event, as they could not complete in time.
        StreamsTooLate = "relay.streams_too_late",
        /// Streams resumed at an engine that had a copy of their cache.
        ResumedByCopy = "relay.resumed_by_copy",
        /// Streams resumed at an engine that had to process the prompt and the tokens so far again.
        ResumedByReading = "relay.resumed_by_reading",
        /// Streams forwarded to their end.
        StreamsComplete = "relay.streams_complete",
        /// Streams that this instance broke off because they could not be resumed.
        StreamsBroken = "relay.streams_broken",
        /// Streams whose callers disconnected.
        StreamsLeft = "relay.streams_left",
        /// Requests whose callers disconnected before the response, or while one that is no stream
        /// was sent.
        RequestsLeft = "relay.requests_left",
        /// Requests and streams that were cut off because this instance ended or a task panicked.
        RequestsCut = "relay.requests_cut",
        /// Targets that accepted no connection.
        TargetsDead = "relay.targets_dead",
        /// Targets that ended while they ran a request, counted once for each of its requests.
        TargetsEnded = "relay.targets_ended",
        /// Requests not sent on because too many targets ended while they ran them.
        RequestsBlocked = "relay.requests_blocked",
        /// Parts of prompts that were quarantined because engines ended under them.
        PartsQuarantined = "relay.part_quarantines",
        /// Requests not sent because a part of their prompts is quarantined.
        RequestsQuarantined = "relay.requests_quarantined",
        /// Attempts that got no target because all had as many requests as they accept.
        RateLimited = "relay.rate_limited",
        /// Responses of targets that state how long they want no requests.
        CooldownsStated = "relay.cooldowns_stated",
        /// Attempts that got no target because all want no requests for some time.
        CooledDown = "relay.cooled_down",
        /// Responses of targets that state that they leave.
        LeavingStated = "relay.leaving_stated",
        /// Streams whose callers were put off, as engines have no room for them in time.
        StreamsPutOff = "relay.streams_put_off",
        /// Streams that were refused, as they cannot be served in time after their callers were put
        /// off, or at all.
        StreamsRefused = "relay.streams_refused",
        /// Callers that were put off and returned earlier than they were told.
        ReturnsEarly = "relay.returns_early",
        /// Callers that were put off and returned when they were told.
        ReturnsOnTime = "relay.returns_on_time",
        /// Callers that were put off and returned after they were no longer expected.
        ReturnsExpired = "relay.returns_expired",
        /// Plain targets that were judged slow by their responses.
        TargetsJudgedSlow = "relay.targets_judged_slow",
        /// Services that became unreachable for this instance.
        Partitions = "relay.partitions",
        /// Requests relayed through other instances, as this one did not reach their targets.
        RelayedThroughPeers = "relay.relayed_through_peers",
        /// Requests relayed for other instances.
        RelayedForPeers = "relay.relayed_for_peers",
        /// Engines that were discovered again while the store was unavailable.
        TargetsFound = "relay.targets_found",
        /// Transitions of the store from available to unavailable.
        StoreLosses = "relay.store_losses",
        /// Configurations fetched from the store or from another instance.
        ConfigFetches = "relay.config_fetches",
        /// Failed attempts to fetch a configuration.
        ConfigFetchFailures = "relay.config_fetch_failures",
        /// Bytes received while fetching configurations, including failed attempts.
        ConfigBytes = "relay.config_bytes",
        /// Panics of the process. A task that panics ends, the process goes on.
        Panics = "relay.panics",
        /// Log lines dropped by the rate limiter.
        LinesLeftOut = "log.lines_left_out",
    }
}
