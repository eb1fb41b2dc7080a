//! Names that travel between processes, one type for each kind of thing that is named.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(#[schemars(with = "String")] SmolStr);

        impl $name {
            /// Makes a name from text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(SmolStr::new(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name! {
    /// A client account.
    AccountName
}
name! {
    /// An adapter that an engine loads on top of a model.
    AdapterName
}
name! {
    /// A data centre.
    DataCentre
}
name! {
    /// An instance: one running daemon.
    InstanceName
}
name! {
    /// A model that engines serve.
    ModelName
}
name! {
    /// A person who submits, approves or rolls bundles.
    OperatorName
}
name! {
    /// The key by which a caller names one request across its retries.
    RequestKey
}
name! {
    /// A plain service beside the model engines.
    ServiceName
}
name! {
    /// A target: an engine or one process of a plain service.
    TargetName
}
name! {
    /// A version of a model.
    VersionName
}
