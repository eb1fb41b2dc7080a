//! Orders to engines, and the desired and reported state that they result from.

use std::collections::BTreeMap;

use celerypond_types::VersionName;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An order to an engine, in the form in which it is sent.
///
/// Orders are idempotent: each states the desired result, so a repeated one has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a version, or an adapter, which has a version name of its own.
    Load {
        /// The version to load.
        version: VersionName,
        /// The name of its weights in the weight store.
        weights: SmolStr,
    },
    /// Unload a version or an adapter.
    Unload {
        /// The version to unload.
        version: VersionName,
    },
    /// Set the role of the engine.
    Role {
        /// The new role.
        role: SmolStr,
    },
}

/// The state that the bundle specifies for an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// The versions and adapters to have loaded, with the names of their weights.
    pub versions: BTreeMap<VersionName, SmolStr>,
    /// The role, if the bundle specifies one.
    pub role: Option<SmolStr>,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The versions and adapters that are loaded.
    pub versions: Vec<VersionName>,
}

impl DesiredState {
    /// Returns the load and unload orders that are needed to get from the reported state to this
    /// one.
    ///
    /// Unloads are returned only once nothing is left to load. Roles are not reported, so there are
    /// no orders for them here.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_orders::{DesiredState, EngineReport, Order};
    ///
    /// let desired = DesiredState {
    ///     versions: [("v2".into(), "weights-2".into())].into(),
    ///     role: None,
    /// };
    /// let report = EngineReport { versions: vec!["v1".into()] };
    /// let orders = desired.pending_orders(&report);
    /// assert!(matches!(orders[0], Order::Load { .. }));
    /// // `v1` is unloaded only after all desired versions are loaded.
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
