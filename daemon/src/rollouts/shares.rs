//! The shares of versions as requests see them.

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

/// The shares of versions, in a snapshot that requests read without a lock.
#[derive(Default)]
pub(super) struct Shares {
    current: ArcSwap<Snapshot>,
}

#[derive(Default)]
struct Snapshot {
    models: HashMap<ModelName, Split>,
    is_synced: bool,
}

/// How the requests for one model are split.
struct Split {
    base: VersionName,
    /// The other versions, each of which takes its part of what those before it left.
    parts: Vec<Part>,
    /// The requests so far; later snapshots count on.
    asked: Arc<AtomicU64>,
}

/// The part of one version.
struct Part {
    version: VersionName,
    /// Its part of the requests that reach it, in parts per million.
    ppm: u32,
    /// The requests that reached it. One count for all would give two versions of like share the
    /// same requests, and the second none.
    reached: Arc<AtomicU64>,
}

impl Split {
    fn new(base: VersionName, shares: BTreeMap<VersionName, u32>, last: Option<&Self>) -> Self {
        let mut left = u64::from(FULL_SHARE_PPM);
        let mut parts = Vec::with_capacity(shares.len());
        for (version, share) in shares {
            let share = u64::from(share);
            let ppm = (share * u64::from(FULL_SHARE_PPM))
                .checked_div(left)
                .unwrap_or(0);
            left = left.saturating_sub(share);
            let held = last.into_iter().flat_map(|last| &last.parts);
            let held = held.filter(|part| part.version == version);
            let reached = held.map(|part| Arc::clone(&part.reached)).next();
            parts.push(Part {
                version,
                ppm: ppm as u32,
                reached: reached.unwrap_or_default(),
            });
        }
        Self {
            base,
            parts,
            asked: last.map(|last| Arc::clone(&last.asked)).unwrap_or_default(),
        }
    }

    fn choose(&self) -> &VersionName {
        self.asked.fetch_add(1, Relaxed);
        let mut parts = self.parts.iter();
        let taken = parts.find(|part| selects(part.reached.fetch_add(1, Relaxed), part.ppm));
        taken.map_or(&self.base, |part| &part.version)
    }
}

impl Shares {
    /// Publishes the shares as the controller has them now.
    pub(super) fn publish(&self, controller: &RolloutController, bundle: &Bundle) {
        let last = self.current.load();
        let split = |model: &Model| {
            let (base, shares) = controller.effective_shares(model);
            let split = Split::new(base, shares, last.models.get(&model.name));
            (model.name.clone(), split)
        };
        self.current.store(Arc::new(Snapshot {
            models: bundle.models.iter().map(split).collect(),
            is_synced: controller.is_synced(),
        }));
    }

    /// Chooses the version that takes the next request for a model.
    pub(super) fn choose(&self, model: &Model) -> VersionName {
        let current = self.current.load();
        let split = current.models.get(&model.name);
        split.map_or(&model.base, Split::choose).clone()
    }

    /// Returns whether brakes that were tripped before this instance started are known.
    pub(super) fn is_synced(&self) -> bool {
        self.current.load().is_synced
    }

    /// Returns how many requests for a model came so far.
    pub(super) fn asked(&self, model: &ModelName) -> u64 {
        let current = self.current.load();
        let split = current.models.get(model);
        split.map_or(0, |split| split.asked.load(Relaxed))
    }
}
