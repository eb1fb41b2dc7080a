//! Newtypes for ordinals, IDs and versions, so that one cannot be passed for another.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// Returns the next value.
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

number! {
    /// The index of an attempt to generate an answer, from 0.
    Attempt(u32)
}
number! {
    /// The index of a token in its answer, from 0.
    Position(u32)
}
number! {
    /// The ID of a token in the vocabulary of a model.
    TokenId(u32)
}
number! {
    /// The number of an activated bundle. It increases with every activation; 0 means that no
    /// bundle has been rolled yet.
    Revision(u64)
}
number! {
    /// A fencing number, also called a fencing token. It lets a target distinguish orders of the
    /// current lease holder from orders of previous ones.
    FencingNumber(u64)
}
