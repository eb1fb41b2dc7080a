//! The platform's late list of instances and leaving targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// One state of the list, as the platform gives it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// The instances.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
    /// The targets that the platform knows to be leaving or live.
    #[serde(default)]
    pub targets: Vec<ListedTarget>,
}

/// An instance as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name.
    pub name: String,
    /// Where callers reach it.
    pub address: String,
    /// Where other instances reach it.
    pub peer_address: String,
    /// Its data centre.
    pub data_centre: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// A target as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// The name.
    pub name: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The list over time.
#[derive(Clone, Debug)]
pub struct DelayedInstanceList {
    lag: Duration,
    versions: Vec<(Instant, InstanceList)>,
}

impl DelayedInstanceList {
    /// Starts with a list that has always been there.
    pub fn new(listing: InstanceList, lag: Duration, now: Instant) -> Self {
        Self {
            lag,
            versions: vec![(now, listing)],
        }
    }

    /// Changes how late the list is.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set(&mut self, listing: InstanceList, now: Instant) {
        self.versions.push((now, listing));
    }

    /// Returns the list as readers see it.
    pub fn visible(&self, now: Instant) -> InstanceList {
        self.versions
            .iter()
            .rev()
            .find(|(since, _)| now.saturating_duration_since(*since) >= self.lag)
            .or(self.versions.first())
            .map(|(_, listing)| listing.clone())
            .unwrap_or_default()
    }
}
