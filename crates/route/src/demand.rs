//! How much each instance is asked for by an account.

use std::collections::BTreeMap;

use celerypond_types::InstanceName;
use serde::{Deserialize, Serialize};

/// The factor between two steps of a quantize_rate demand: a steady demand is not quantize_rate again.
const STEP: f64 = 1.25;

/// What an account asks of one instance, as the instance publishes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Demand {
    /// Rises with each change, also over restarts of the instance.
    pub sequence: u64,
    /// Requests a second, rounded up to a step, in thousandths.
    pub requests: u64,
    /// Tokens a second, rounded up to a step, in thousandths.
    pub tokens: u64,
}

/// What an account asks of each instance.
///
/// Merging is idempotent, commutative and associative: the row with the higher sequence wins.
///
/// # Examples
///
/// ```
/// use celerypond_route::{Demand, DemandMap};
///
/// let row = Demand { sequence: 1, requests: 5_000, tokens: 0 };
/// let newer = Demand { sequence: 2, requests: 1_000, tokens: 0 };
/// let one = DemandMap::single("a".into(), row);
/// let both = one.merge(&DemandMap::single("a".into(), newer));
/// assert_eq!(both.merge(&one), both);
/// assert_eq!(both.iter().count(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DemandMap(BTreeMap<InstanceName, Demand>);

impl DemandMap {
    /// Makes the demand of one instance.
    pub fn single(instance: InstanceName, row: Demand) -> Self {
        Self(BTreeMap::from([(instance, row)]))
    }

    /// Returns the demands that either knows.
    #[must_use]
    pub fn merge(&self, other: &Self) -> Self {
        let mut rows = self.0.clone();
        for (name, row) in &other.0 {
            let last = rows.entry(name.clone()).or_default();
            *last = (*last).max(*row);
        }
        Self(rows)
    }

    /// Returns the demands without those of instances that `gone` names.
    ///
    /// An instance is gone when the platform's list no longer has it. Silence is not enough: the
    /// other side of a partition still uses its share.
    #[must_use]
    pub fn without(&self, gone: impl Fn(&InstanceName) -> bool) -> Self {
        let rows = self.0.iter().filter(|(name, _)| !gone(name));
        Self(rows.map(|(name, row)| (name.clone(), *row)).collect())
    }

    /// Returns the row of each instance, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Demand)> + '_ {
        self.0.iter()
    }
}

/// Rounds a rate up to a step, in thousandths.
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
    let step = ((rate * 1_000.0).ln() / STEP.ln()).ceil();
    STEP.powf(step).ceil() as u64
}
