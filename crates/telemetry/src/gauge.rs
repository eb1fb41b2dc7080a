//! Gauges.

use crate::metric_list::metric_list;

metric_list! {
    /// A current value, which may increase and decrease.
    Gauge {
        /// The active revision at this instance.
        Revision = "rollout.revision",
        /// Requests in progress, until their responses are sent.
        OpenRequests = "requests.open",
        /// Streams whose events are being sent.
        OpenStreams = "relay.streams_open",
        /// Requests waiting for admission.
        Waiting = "requests.waiting",
        /// Instances considered live.
        LiveInstances = "fleet.live",
        /// Instances suspected of having failed.
        Suspected = "fleet.suspected",
        /// Targets in routing.
        LiveTargets = "route.targets",
        /// Keeper records held for peers.
        KeeperHeld = "keeper.held",
        /// Open connections from callers.
        Connections = "front.connections",
        /// The version of the active configuration for routed requests.
        ConfigVersion = "relay.config_version",
        /// The newest version of the configuration that this instance knows of.
        ConfigNewest = "relay.config_newest",
        /// Milliseconds since the active configuration was last known to be the newest one.
        ConfigAge = "relay.config_age_ms",
        /// Targets available to routed requests.
        RoutedTargets = "relay.targets",
        /// Services whose targets this instance does not reach.
        UnreachableServices = "relay.unreachable_services",
        /// Targets avoided after failures, as observed by this instance or reported by others.
        TargetsAvoided = "relay.targets_avoided",
        /// Targets avoided because another instance reported them as dead.
        TargetsReportedDead = "relay.targets_reported_dead",
        /// Targets that state a limit for the requests per second that they accept.
        TargetsRateLimited = "relay.targets_rate_limited",
        /// Targets that want no requests from this instance for some time.
        TargetsCoolingDown = "relay.targets_cooling_down",
        /// Targets that have stated that they leave.
        TargetsLeaving = "relay.targets_leaving",
        /// Engines that are at least twice as slow as usual, of services whose targets state their
        /// pace.
        EnginesSlow = "relay.engines_slow",
        /// Plain targets that are judged slow by their responses.
        TargetsSlow = "relay.targets_slow",
        /// Parts of prompts under which engines ended, so that requests with them are not sent.
        PartsQuarantined = "relay.parts_quarantined",
        /// Callers that were put off, by any instance, and have not returned.
        CallersPutOff = "relay.callers_put_off",
        /// Bytes of responses of targets that are held, beyond 64 KiB of each.
        ResponseBytes = "relay.response_bytes",
        /// Bytes that callers make the instance hold, by connections, requests and unread responses.
        CallerBytes = "relay.caller_bytes",
        /// The resident memory of the process in bytes, as the kernel counts it.
        ResidentBytes = "process.resident_bytes",
        /// Milliseconds since the store last confirmed the list of targets.
        TargetsAge = "relay.targets_age_ms",
    }
}
