//! Models, their versions and the distribution of traffic between versions.

use celerypond_types::{AdapterName, ModelName, TargetName, VersionName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name, unique in the bundle.
    pub name: ModelName,
    /// The versions that engines have loaded or are to load.
    pub versions: Vec<Version>,
    /// The version that serves all other traffic and to which new versions are compared.
    pub base: VersionName,
    /// The traffic shares that other versions have at the end of a rollout. The rest goes to
    /// `base`.
    #[serde(default)]
    pub shares: Vec<Share>,
    /// The adapters that every version can load.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// The maximum duration of an answer, in milliseconds.
    pub deadline_ms: u64,
    /// The time from rolling a bundle until its final shares are reached, in seconds.
    #[serde(default = "default_complete_within")]
    pub complete_within_s: u64,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The name, unique in the model.
    pub name: VersionName,
    /// The name of the weights in the weight store.
    #[schemars(with = "String")]
    pub weights: smol_str::SmolStr,
    /// The engines that serve it.
    pub targets: Vec<TargetName>,
}

/// The share of traffic that a version has at the end of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// A version of the model other than its base.
    pub version: VersionName,
    /// The share in percent.
    pub percent: u8,
}

fn default_complete_within() -> u64 {
    600
}
