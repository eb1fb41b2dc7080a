//! The bundle: all that operators declare, in one versioned document.

use celerypond_types::{AccountName, Digest, ModelName, ServiceName, TargetName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Account, Model, Service, Target};

/// The version of the bundle format that this library reads.
pub const FORMAT: u32 = 1;

/// All that operators declare, in one versioned document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version of the format: [`FORMAT`].
    pub format: u32,
    /// What the bundle is for, in the operator's words.
    #[schemars(with = "String")]
    pub title: smol_str::SmolStr,
    /// Engines and processes of plain services.
    pub targets: Vec<Target>,
    /// Models and their versions.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
}

impl Bundle {
    /// Returns the digest of the bundle's canonical JSON form, by which it is approved.
    pub fn digest(&self) -> Digest {
        // Field order is that of the types and no map is involved, so the form is canonical.
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
