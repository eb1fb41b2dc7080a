//! Changes that a bundle makes to the traffic shares of a model.

use std::collections::BTreeMap;

use celerypond_bundle::Model;
use celerypond_types::{ModelName, VersionName};
use serde::{Deserialize, Serialize};

use crate::splitter::FULL_SHARE_PPM;

const PPM_PER_PERCENT: u32 = FULL_SHARE_PPM / 100;

/// A version under rollout; brakes apply to candidates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// Model.
    pub model: ModelName,
    /// The version whose share rises.
    pub version: VersionName,
}

/// An increase of a version's traffic share, to be made in stages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareIncrease {
    /// The version whose share rises.
    pub candidate: Candidate,
    /// The version that it is compared with and that gets its traffic after a rollback.
    pub base: VersionName,
    /// Share before the increase, in parts per million.
    pub from_ppm: u32,
    /// Share after the increase, in parts per million.
    pub to_ppm: u32,
    /// Number of engines that serve the candidate.
    pub engines: u32,
}

/// Returns the configured share of each version of a model, in parts per million.
pub fn configured_shares(model: &Model) -> BTreeMap<VersionName, u32> {
    let mut shares = BTreeMap::new();
    let mut rest = FULL_SHARE_PPM;
    for share in &model.shares {
        let ppm = (u32::from(share.percent) * PPM_PER_PERCENT).min(rest);
        rest -= ppm;
        *shares.entry(share.version.clone()).or_default() += ppm;
    }
    *shares.entry(model.base.clone()).or_default() += rest;
    shares.retain(|_, ppm| *ppm > 0);
    shares
}

/// Returns the share increases from the previous configuration of a model to the next.
///
/// A new model has no base to compare with, so its shares apply at once. A version that was the
/// base before is known to work and needs no stages either.
pub fn share_increases(previous: Option<&Model>, next: &Model) -> Vec<ShareIncrease> {
    let Some(previous) = previous else {
        return Vec::new();
    };
    let before = configured_shares(previous);
    let share_before = |version: &VersionName| before.get(version).copied().unwrap_or(0);
    let rises = configured_shares(next)
        .into_iter()
        .filter(|(version, ppm)| *version != previous.base && *ppm > share_before(version));
    rises
        .map(|(version, to_ppm)| ShareIncrease {
            base: base_for(previous, &before, next, &version),
            from_ppm: share_before(&version),
            to_ppm,
            engines: engine_count(next, &version),
            candidate: Candidate {
                model: next.name.clone(),
                version,
            },
        })
        .collect()
}

/// Returns the base for a candidate: the version that had most of the traffic and is still
/// configured.
///
/// The configured base would be wrong where one bundle moved the traffic from v1 to v2 by a share
/// and the next, without v1, moves it to v3: requests that v3 does not take would go to v1, which
/// has no engines.
fn base_for(
    previous: &Model,
    before: &BTreeMap<VersionName, u32>,
    next: &Model,
    candidate: &VersionName,
) -> VersionName {
    let is_listed = |version: &VersionName| next.versions.iter().any(|it| it.name == *version);
    let order = |version: &VersionName, ppm: u32| (ppm, *version == previous.base);
    let others = before.iter().filter(|(version, _)| *version != candidate);
    let listed = others.filter(|(version, _)| is_listed(version));
    let most = listed.max_by_key(|(version, ppm)| order(version, **ppm));
    most.map_or_else(|| next.base.clone(), |(version, _)| version.clone())
}

fn engine_count(model: &Model, version: &VersionName) -> u32 {
    let found = model.versions.iter().find(|found| found.name == *version);
    found.map_or(0, |version| version.targets.len() as u32)
}
