//! The demand of an account at each instance.

use std::collections::BTreeMap;

use celerypond_types::InstanceName;
use serde::{Deserialize, Serialize};

/// The ratio between two consecutive values of a quantized rate, so that small variations of a
/// steady demand are not published.
const QUANTIZATION_FACTOR: f64 = 1.25;

/// The demand of an account at one instance, as that instance publishes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Demand {
    /// Increases with each change, also across restarts of the instance.
    pub sequence: u64,
    /// Requests per second in thousandths, quantized.
    pub requests: u64,
    /// Tokens per second in thousandths, quantized.
    pub tokens: u64,
}

/// The demand of an account at each instance.
///
/// Merging is idempotent, commutative and associative: for each instance, the demand with the
/// higher sequence wins.
///
/// # Examples
///
/// ```
/// use celerypond_route::{Demand, DemandMap};
///
/// let demand = Demand { sequence: 1, requests: 5_000, tokens: 0 };
/// let newer = Demand { sequence: 2, requests: 1_000, tokens: 0 };
/// let map =  DemandMap::single("a".into(), demand);
/// let merged = map.merge(&DemandMap::single("a".into(), newer));
/// assert_eq!(merged.merge(&map), merged);
/// assert_eq!(merged.iter().count(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DemandMap(BTreeMap<InstanceName, Demand>);

impl DemandMap {
    /// Creates a map with the demand at one instance.
    pub fn single(instance: InstanceName, demand: Demand) -> Self {
        Self(BTreeMap::from([(instance, demand)]))
    }

    /// Returns the union of both maps, with the newer demand of each instance.
    #[must_use]
    pub fn merge(&self, other: &Self) -> Self {
        let mut demands = self.0.clone();
        for (name, demand) in &other.0 {
            let last = demands.entry(name.clone()).or_default();
            *last = (*last).max(*demand);
        }
        Self(demands)
    }

    /// Returns the map without the instances for which `gone` returns `true`.
    ///
    /// An instance counts as gone only once the platform's list no longer contains it. Being
    /// unreachable is not enough: across a network partition it still uses its share.
    #[must_use]
    pub fn without(&self, gone: impl Fn(&InstanceName) -> bool) -> Self {
        let demands = self.0.iter().filter(|(name, _)| !gone(name));
        Self(
            demands
                .map(|(name, demand)| (name.clone(), *demand))
                .collect(),
        )
    }

    /// Iterates over the instances and their demand, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Demand)> + '_ {
        self.0.iter()
    }
}

/// Converts a rate to thousandths and rounds it up to the next quantization step.
///
/// # Examples
///
/// ```
/// use celerypond_route::quantize_rate;
///
/// assert_eq!(quantize_rate(10.0), quantize_rate(10.1));
/// assert!(quantize_rate(10.0) >= 10_000);
/// assert_eq!(quantize_rate(0.0), 0);
/// ```
pub fn quantize_rate(rate: f64) -> u64 {
    if rate * 1_000.0 < 1.0 {
        return 0;
    }
    let step = ((rate * 1_000.0).ln() / QUANTIZATION_FACTOR.ln()).ceil();
    QUANTIZATION_FACTOR.powf(step).ceil() as u64
}
