//! The list of all gauges.

use crate::metric_list::metric_list;

metric_list! {
    /// A level at this moment; it may rise and fall.
    Gauge {
        /// The revision in force at this instance.
        Revision = "rollout.revision",
        /// Requests that are open now.
        OpenRequests = "requests.open",
        /// Requests that wait for admission.
        Waiting = "requests.waiting",
        /// Instances held to be live.
        LiveInstances = "fleet.live",
        /// Instances that are suspected.
        Suspected = "fleet.suspected",
        /// Targets in routing.
        LiveTargets = "route.targets",
        /// Keeper records held for peers.
        KeeperHeld = "keeper.held",
        /// Connections from callers.
        Connections = "front.connections",
        /// The version of the configuration in force for routed requests.
        ConfigVersion = "relay.config_version",
        /// The newest version of the configuration that this instance knows of.
        ConfigNewest = "relay.config_newest",
        /// Milliseconds since the configuration in force was last known to be the newest one.
        ConfigAge = "relay.config_age_ms",
        /// Targets that routed requests may go to.
        RoutedTargets = "relay.targets",
        /// Milliseconds since the store last told of targets.
        TargetsAge = "relay.targets_age_ms",
    }
}
