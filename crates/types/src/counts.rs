//! Counters with a type each, so that one cannot be passed for another.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! count {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// Returns the value that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

count! {
    /// The ordinal of one try to generate an answer, from 0.
    Attempt(u32)
}
count! {
    /// The place of a token in its answer, from 0.
    Position(u32)
}
count! {
    /// A token of a model's vocabulary.
    TokenId(u32)
}
count! {
    /// The ordinal of a bundle in force, which only rises. 0 means that no bundle was rolled yet.
    Revision(u64)
}
count! {
    /// The number by which a target tells a newer order holder from an older one.
    FencingNumber(u64)
}
