//! The shape that the lists of counters and gauges share.

/// Declares an enum of metrics, each with the name under which it is published.
macro_rules! metric_list {
    (
        $(#[$type_doc:meta])*
        $list:ident {
            $($(#[$doc:meta])* $variant:ident = $name:literal,)*
        }
    ) => {
        $(#[$type_doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $list {
            $($(#[$doc])* $variant,)*
        }

        impl $list {
            /// All of the list, in the order of their slots.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name under which it is published.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

pub(crate) use metric_list;
