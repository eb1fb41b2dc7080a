//! A macro that declares enums of metrics.

/// Declares an enum of metrics and the names under which they are published.
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
            /// All variants, in the order of their discriminants.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name under which the metric is published.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

pub(crate) use metric_list;
