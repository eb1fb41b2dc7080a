//! The list of all gauges.

macro_rules! gauges {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// A level at this moment; it may rise and fall.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Gauge {
            $($(#[$doc])* $variant,)*
        }

        impl Gauge {
            /// All gauges, in the order of their slots.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name under which the gauge is published.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

gauges! {
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
}
