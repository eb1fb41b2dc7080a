//! The platform's list of instances and targets, which lags behind their actual state.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The list as the platform returns it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// The instances.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
    /// The targets that the platform reports as live or leaving.
    #[serde(default)]
    pub targets: Vec<ListedTarget>,
}

/// An instance in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name.
    pub name: String,
    /// The address for callers.
    pub address: String,
    /// The address for other instances.
    pub peer_address: String,
    /// The data centre.
    pub data_centre: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// A target in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// The name.
    pub name: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// An instance list whose changes become visible after a delay.
#[derive(Clone, Debug)]
pub struct DelayedInstanceList {
    lag: Duration,
    versions: Vec<(Instant, InstanceList)>,
}

impl DelayedInstanceList {
    /// Creates a list that is visible at once.
    pub fn new(list: InstanceList, lag: Duration, now: Instant) -> Self {
        Self {
            lag,
            versions: vec![(now, list)],
        }
    }

    /// Sets the delay after which a change becomes visible. It also applies to earlier changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the list. The new one becomes visible after the lag.
    pub fn set(&mut self, list: InstanceList, now: Instant) {
        self.versions.push((now, list));
    }

    /// Returns the list that is visible at `now`.
    pub fn visible(&self, now: Instant) -> InstanceList {
        self.versions
            .iter()
            .rev()
            .find(|(since, _)| now.saturating_duration_since(*since) >= self.lag)
            .or(self.versions.first())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
