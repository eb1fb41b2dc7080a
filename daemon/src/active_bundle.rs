//! The bundle in force at this instance, indexed for requests.

use std::{collections::HashMap, sync::Arc};

use celerypond_bundle::{Account, Bundle, Model, Service};
use celerypond_rollout::BundleHeader;
use celerypond_types::{Digest, ModelName, Revision, ServiceName};

/// The bundle in force, immutable.
#[derive(Clone, Debug)]
pub struct ActiveBundle {
    /// Its header, with the revision, the digest and the changed parts.
    pub header: BundleHeader,
    /// Its content.
    pub bundle: Arc<Bundle>,
    accounts: HashMap<Digest, usize>,
    models: HashMap<ModelName, usize>,
    services: HashMap<ServiceName, usize>,
}

impl ActiveBundle {
    /// Creates the indexes of a bundle.
    pub fn new(header: BundleHeader, bundle: Arc<Bundle>) -> Self {
        let accounts = bundle.accounts.iter().enumerate();
        let models = bundle.models.iter().enumerate();
        let services = bundle.services.iter().enumerate();
        Self {
            header,
            accounts: accounts.map(|(index, it)| (it.key_digest, index)).collect(),
            models: models.map(|(index, it)| (it.name.clone(), index)).collect(),
            services: services
                .map(|(index, it)| (it.name.clone(), index))
                .collect(),
            bundle,
        }
    }

    /// Returns the revision.
    pub const fn revision(&self) -> Revision {
        self.header.revision
    }

    /// Returns the account whose API key has this digest.
    pub fn account(&self, key_digest: &Digest) -> Option<&Account> {
        let index = self.accounts.get(key_digest)?;
        self.bundle.accounts.get(*index)
    }

    /// Returns a model.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        let index = self.models.get(name)?;
        self.bundle.models.get(*index)
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let index = self.services.get(name)?;
        self.bundle.services.get(*index)
    }
}
