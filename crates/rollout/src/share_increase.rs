//! What a bundle changes in the traffic shares of a model.

use std::collections::BTreeMap;

use celerypond_bundle::Model;
use celerypond_types::{ModelName, VersionName};
use serde::{Deserialize, Serialize};

use crate::splitter::FULL_SHARE_PPM;

const PPM_PER_PERCENT: u32 = FULL_SHARE_PPM / 100;

/// A version of a model, the unit that a brake takes traffic from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The model.
    pub model: ModelName,
    /// The version whose share rises.
    pub version: VersionName,
}

/// A rise of a version's share, to be made in stages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareIncrease {
    /// The version whose share rises.
    pub candidate: Candidate,
    /// The version that it is compared with and that takes its traffic back.
    pub base: VersionName,
    /// The share that it had, in parts per million.
    pub from_ppm: u32,
    /// The share that it shall have, in parts per million.
    pub to_ppm: u32,
    /// How many engines serve it.
    pub engines: u32,
}

/// Returns the share of each version of a model, in parts per million.
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

/// Returns the rises that a new bundle asks for against the one before.
///
/// A model without an earlier form has nothing to be compared with and comes into force at once. A
/// version that was the base before is known and needs no stages either.
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
            base: traffic_leader(previous, &before, next, &version),
            from_ppm: share_before(&version),
            to_ppm,
            engines: engines(next, &version),
            candidate: Candidate {
                model: next.name.clone(),
                version,
            },
        })
        .collect()
}

/// Returns the version that had most of the traffic, and so is compared with and takes it back.
///
/// The failure: a model was moved from v1 to v2 by a share, and the next bundle, which no longer has v1,
/// moves it to v3. With v1 as the base, all requests but the first stage's would have no engine.
fn traffic_leader(
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

fn engines(model: &Model, version: &VersionName) -> u32 {
    let found = model.versions.iter().find(|found| found.name == *version);
    found.map_or(0, |version| version.targets.len() as u32)
}
