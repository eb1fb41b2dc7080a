//! The bundle: everything that operators configure, in one versioned document.

use celerypond_types::{AccountName, Digest, ModelName, ServiceName, TargetName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Account, Model, Service, Target};

/// The version of the bundle format that this crate supports.
pub const FORMAT: u32 = 1;

/// Everything that operators configure, in one versioned document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version of the format: [`FORMAT`].
    pub format: u32,
    /// A description of the bundle, written by an operator.
    #[schemars(with = "String")]
    pub title: smol_str::SmolStr,
    /// The engines and the processes of plain services.
    pub targets: Vec<Target>,
    /// The models and their versions.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The client accounts.
    pub accounts: Vec<Account>,
}

impl Bundle {
    /// Returns the digest of the bundle's canonical JSON form, which identifies the bundle in an
    /// approval.
    pub fn digest(&self) -> Digest {
        // The output is canonical because fields are written in declaration order and the bundle
        // contains no maps.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Digest::of(&bytes)
    }

    /// Finds a target by name.
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.iter().find(|target| target.name == *name)
    }

    /// Finds a model by name.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Finds an account by name.
    pub fn account(&self, name: &AccountName) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == *name)
    }
}
