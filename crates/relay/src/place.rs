//! Which target runs a request.

use std::cmp::Ordering;

use celerypond_types::{DataCentre, ServiceName, TargetKey, VersionName};
use tokio::time::Instant;

use crate::{Target, Targets};

/// The part of an engine's slots or memory up to which streams of one prompt part go to the engine
/// that has read it; beyond it the next one in its order is taken.
const AFFINITY_BOUND: f64 = 0.8;

/// What is wanted of a target.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The version of its software; nothing when any will do.
    pub version: Option<&'a VersionName>,
    /// The data centre of this instance, which goes first where all else is equal.
    pub near: &'a DataCentre,
    /// Targets that were tried already.
    pub tried: &'a [TargetKey],
    /// The hash of the prompt part that belongs to the request alone.
    pub affinity: Option<u64>,
    /// Tokens that the request takes at most.
    pub tokens: u64,
    /// The memory of one engine in tokens; nothing for plain services.
    pub capacity: Option<u64>,
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Its key.
    pub key: TargetKey,
    /// Whether only targets that failed a moment ago were left.
    pub is_doubtful: bool,
}

impl Targets {
    /// Chooses the target that runs a request.
    ///
    /// With an affinity, all instances prefer the same targets for it in the same order, so a
    /// caller's retry finds its prompt where it was read. Without one, the least loaded is taken.
    pub fn pick(&self, want: &Want<'_>, now: Instant) -> Option<Pick> {
        let fits = |target: &&(TargetKey, &Target)| {
            target.1.is_ready()
                && target.1.entry.service == *want.service
                && want
                    .version
                    .is_none_or(|version| target.1.entry.version == *version)
                && !want.tried.contains(&target.0)
        };
        let all: Vec<(TargetKey, &Target)> = self.iter().filter(|target| fits(&target)).collect();
        let sound = all.iter().filter(|(_, target)| !target.is_avoided(now));
        let best = sound.min_by(|a, b| compare(want, a.1, b.1, now));
        if let Some((key, _)) = best {
            return Some(Pick {
                key: *key,
                is_doubtful: false,
            });
        }
        let soonest = all.iter().min_by_key(|(_, target)| target.avoid);
        soonest.map(|(key, _)| Pick {
            key: *key,
            is_doubtful: true,
        })
    }

    /// Chooses the engine that holds a copy of the memory of a run at `main`.
    ///
    /// Nearly all engines of a data centre can go at once, so the copy goes to another one.
    pub fn pick_backup(&self, main: TargetKey, want: &Want<'_>, now: Instant) -> Option<TargetKey> {
        let home = &self.get(main)?.entry;
        let others = self.iter().filter(|(key, target)| {
            *key != main
                && target.is_ready()
                && !target.is_avoided(now)
                && target.entry.service == *want.service
                && target.entry.version == home.version
                && target.entry.data_centre != home.data_centre
        });
        others
            .min_by(|a, b| compare(want, a.1, b.1, now))
            .map(|(key, _)| key)
    }
}

fn compare(want: &Want<'_>, a: &Target, b: &Target, now: Instant) -> Ordering {
    let Some(affinity) = want.affinity else {
        return compare_load(want, a, b, now);
    };
    let order = |target: &Target| {
        let is_crowded = target.reading > 0 || crowding(want, target, now) > AFFINITY_BOUND;
        (is_crowded, rank(affinity, target))
    };
    order(a).cmp(&order(b))
}

fn compare_load(want: &Want<'_>, a: &Target, b: &Target, now: Instant) -> Ordering {
    let (left, right) = (a.fullness(now), b.fullness(now));
    let is_far = |target: &Target| target.entry.data_centre != *want.near;
    left.total_cmp(&right).then(is_far(a).cmp(&is_far(b)))
}

/// Returns the larger of the parts of an engine's slots and of its memory that are taken.
fn crowding(want: &Want<'_>, target: &Target, now: Instant) -> f64 {
    let tokens = target.tokens + want.tokens;
    let memory = want
        .capacity
        .map_or(0.0, |capacity| tokens as f64 / capacity.max(1) as f64);
    memory.max(target.fullness(now))
}

fn rank(affinity: u64, target: &Target) -> u64 {
    let mut bytes = affinity.to_le_bytes().to_vec();
    bytes.extend_from_slice(target.entry.name.as_str().as_bytes());
    celerypond_route::hash(&bytes)
}
