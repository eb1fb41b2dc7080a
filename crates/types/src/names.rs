//! Names, which identify things across processes. Each kind of thing has its own type.

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
            /// Creates a name from text, which is not validated.
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
    /// The name of a client account.
    AccountName
}
name! {
    /// The name of an adapter that an engine loads on top of a model.
    AdapterName
}
name! {
    /// The name of a data centre.
    DataCentre
}
name! {
    /// The name of an instance, which is one running daemon.
    InstanceName
}
name! {
    /// The name of a model that engines serve.
    ModelName
}
name! {
    /// The name of an operator, who submits, approves or rolls bundles.
    OperatorName
}
name! {
    /// A key that identifies a request across retries, sent by the caller or generated.
    RequestKey
}
name! {
    /// The name of a plain service.
    ServiceName
}
name! {
    /// The name of a target, which is an engine or a process of a plain service.
    TargetName
}
name! {
    /// The name of a version of a model.
    VersionName
}
