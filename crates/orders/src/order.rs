//! What an engine is told to do.

use std::collections::BTreeMap;

use celerypond_types::VersionName;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An order, as it is sent.
///
/// Each says what shall be, so that one that arrives twice does no more than one that arrives once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// The version, or an adapter under its own version name, shall be loaded.
    Load {
        /// The version.
        version: VersionName,
        /// The name of its weights in the weight store.
        weights: SmolStr,
    },
    /// The version shall not be loaded.
    Unload {
        /// The version.
        version: VersionName,
    },
    /// The engine shall have this role.
    Role {
        /// The role.
        role: SmolStr,
    },
}

/// What the bundle wants of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// The versions and adapters to be loaded, with the names of their weights.
    pub versions: BTreeMap<VersionName, SmolStr>,
    /// The role, if the bundle names one.
    pub role: Option<SmolStr>,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The versions and adapters that are loaded.
    pub versions: Vec<VersionName>,
}

impl DesiredState {
    /// Returns the orders that lead from what is reported to what is wanted, loads first.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_orders::{DesiredState, Order, EngineReport};
    ///
    /// let desired = DesiredState {
    ///     versions: [("v2".into(), "weights-2".into())].into(),
    ///     role: None,
    /// };
    /// let report = EngineReport { versions: vec!["v1".into()] };
    /// let orders = desired.pending_orders(&report);
    /// assert!(matches!(orders[0], Order::Load { .. }));
    /// // What is not wanted stays until all that is wanted is there.
    /// assert_eq!(orders.len(), 1);
    /// ```
    pub fn pending_orders(&self, report: &EngineReport) -> Vec<Order> {
        let missing = |version: &&VersionName| !report.versions.contains(version);
        let loads: Vec<Order> = self
            .versions
            .keys()
            .filter(missing)
            .map(|version| Order::Load {
                version: version.clone(),
                weights: self.versions[version].clone(),
            })
            .collect();
        if !loads.is_empty() {
            return loads;
        }
        let extra = |version: &&VersionName| !self.versions.contains_key(*version);
        let versions = report.versions.iter().filter(extra).cloned();
        versions.map(|version| Order::Unload { version }).collect()
    }
}
