//! A model, its versions and how traffic is shared between them.

use celerypond_types::{AdapterName, ModelName, TargetName, VersionName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name, unique in the bundle.
    pub name: ModelName,
    /// The versions that engines have loaded or shall load.
    pub versions: Vec<Version>,
    /// The version that serves what no share asks for, and with which new ones are compared.
    pub base: VersionName,
    /// The final shares of other versions; the rest goes to `base`.
    #[serde(default)]
    pub shares: Vec<Share>,
    /// Adapters that every version can load.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// The longest time an answer may take, in milliseconds.
    pub deadline_ms: u64,
    /// The time from the roll of a bundle to its final shares, in seconds.
    #[serde(default = "default_complete_within")]
    pub complete_within_s: u64,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The name, unique in the model.
    pub name: VersionName,
    /// The name of its weights in the weight store.
    #[schemars(with = "String")]
    pub weights: smol_str::SmolStr,
    /// The engines that serve it.
    pub targets: Vec<TargetName>,
}

/// The share of traffic that a version gets in the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// A version of the model other than its base.
    pub version: VersionName,
    /// The final share in percent.
    pub percent: u8,
}

fn default_complete_within() -> u64 {
    600
}
