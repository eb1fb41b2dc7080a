//! How much each instance is asked for by an account.

use std::collections::BTreeMap;

use celerypond_types::InstanceName;
use serde::{Deserialize, Serialize};

/// The factor between two steps of a published demand: a steady demand is not published again.
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
/// use celerypond_route::{Demand, Demands};
///
/// let row = Demand { sequence: 1, requests: 5_000, tokens: 0 };
/// let newer = Demand { sequence: 2, requests: 1_000, tokens: 0 };
/// let one = Demands::of("a".into(), row);
/// let both = one.merge(&Demands::of("a".into(), newer));
/// assert_eq!(both.merge(&one), both);
/// assert_eq!(both.rows().count(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Demands(BTreeMap<InstanceName, Demand>);

impl Demands {
    /// Makes the demand of one instance.
    pub fn of(instance: InstanceName, row: Demand) -> Self {
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
    pub fn rows(&self) -> impl Iterator<Item = (&InstanceName, &Demand)> + '_ {
        self.0.iter()
    }
}

/// Rounds a rate up to a step, in thousandths.
///
/// # Examples
///
/// ```
/// use celerypond_route::published;
///
/// assert_eq!(published(10.0), published(10.1));
/// assert!(published(10.0) >= 10_000);
/// assert_eq!(published(0.0), 0);
/// ```
pub fn published(rate: f64) -> u64 {
    if rate * 1_000.0 < 1.0 {
        return 0;
    }
    let step = ((rate * 1_000.0).ln() / STEP.ln()).ceil();
    STEP.powf(step).ceil() as u64
}
