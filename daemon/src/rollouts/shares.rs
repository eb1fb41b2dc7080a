//! The shares of versions, as the request path reads them.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        atomic::{AtomicU64, Ordering::Relaxed},
        Arc,
    },
};

use arc_swap::ArcSwap;
use celerypond_bundle::{Bundle, Model};
use celerypond_rollout::{selects, RolloutController, FULL_SHARE_PPM};
use celerypond_types::{ModelName, VersionName};

/// The shares of versions, as a snapshot that requests read without a lock.
#[derive(Default)]
pub(super) struct Shares {
    current: ArcSwap<Snapshot>,
}

#[derive(Default)]
struct Snapshot {
    models: HashMap<ModelName, ModelSplit>,
    is_synced: bool,
}

/// How the requests for one model are split.
struct ModelSplit {
    base: VersionName,
    /// The other versions; each takes a part of the requests that the versions before it did not
    /// take.
    parts: Vec<VersionPart>,
    /// The number of requests so far; snapshots share the counter.
    request_count: Arc<AtomicU64>,
}

/// The part of the requests that one version takes.
struct VersionPart {
    version: VersionName,
    /// The part that it takes of the requests offered to it, in parts per million.
    ppm: u32,
    /// The number of requests offered to it.
    ///
    /// With one counter for all versions, two versions of equal share would select the same
    /// requests, and the second would get none.
    offered: Arc<AtomicU64>,
}

impl ModelSplit {
    fn new(base: VersionName, shares: BTreeMap<VersionName, u32>, last: Option<&Self>) -> Self {
        let mut remaining = u64::from(FULL_SHARE_PPM);
        let mut parts = Vec::with_capacity(shares.len());
        for (version, share) in shares {
            let share = u64::from(share);
            let ppm = (share * u64::from(FULL_SHARE_PPM))
                .checked_div(remaining)
                .unwrap_or(0);
            remaining = remaining.saturating_sub(share);
            let last_parts = last.into_iter().flat_map(|last| &last.parts);
            let last_parts = last_parts.filter(|part| part.version == version);
            let offered = last_parts.map(|part| Arc::clone(&part.offered)).next();
            parts.push(VersionPart {
                version,
                ppm: ppm as u32,
                offered: offered.unwrap_or_default(),
            });
        }
        Self {
            base,
            parts,
            request_count: last
                .map(|last| Arc::clone(&last.request_count))
                .unwrap_or_default(),
        }
    }

    fn choose(&self) -> &VersionName {
        self.request_count.fetch_add(1, Relaxed);
        let mut parts = self.parts.iter();
        let selected = parts.find(|part| selects(part.offered.fetch_add(1, Relaxed), part.ppm));
        selected.map_or(&self.base, |part| &part.version)
    }
}

impl Shares {
    /// Publishes the current shares of the controller.
    pub(super) fn publish(&self, controller: &RolloutController, bundle: &Bundle) {
        let last = self.current.load();
        let split = |model: &Model| {
            let (base, shares) = controller.effective_shares(model);
            let split = ModelSplit::new(base, shares, last.models.get(&model.name));
            (model.name.clone(), split)
        };
        self.current.store(Arc::new(Snapshot {
            models: bundle.models.iter().map(split).collect(),
            is_synced: controller.is_synced(),
        }));
    }

    /// Chooses the version for the next request for a model, and counts the request.
    pub(super) fn choose(&self, model: &Model) -> VersionName {
        let current = self.current.load();
        let split = current.models.get(&model.name);
        split.map_or(&model.base, ModelSplit::choose).clone()
    }

    /// Returns whether this instance knows the brakes that were set before it started.
    pub(super) fn is_synced(&self) -> bool {
        self.current.load().is_synced
    }

    /// Returns the number of requests for a model so far.
    pub(super) fn request_count(&self, model: &ModelName) -> u64 {
        let current = self.current.load();
        let split = current.models.get(model);
        split.map_or(0, |split| split.request_count.load(Relaxed))
    }
}
