//! The faults that a test asks of a stand-in.

use celerypond_types::VersionName;
use serde::Deserialize;

/// A change of the platform's faults; what is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFault {
    /// Every call gets 503.
    pub down: Option<bool>,
    /// Every call takes this much longer.
    pub slow_ms: Option<u64>,
    /// So many of the next writes take effect and get no reply.
    pub lose_replies: Option<u32>,
    /// How late the instance list is.
    pub instance_lag_ms: Option<u64>,
}

/// A change of an engine's faults; what is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFault {
    /// Streams that are open now go silent for good; new ones work.
    pub silent: Option<bool>,
    /// Nothing moves until this is false again.
    pub paused: Option<bool>,
    /// Every generation gets 500.
    pub fail: Option<bool>,
    /// Every token takes this much longer.
    pub slow_ms: Option<u64>,
    /// The engine says that it is leaving.
    pub leaving: Option<bool>,
    /// One version misbehaves.
    pub bad: Option<BadVersion>,
}

/// How a version misbehaves.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadVersion {
    /// The version.
    pub version: VersionName,
    /// Of 100 generations so many get 500.
    #[serde(default)]
    pub fail_percent: u32,
    /// Every token takes this much longer.
    #[serde(default)]
    pub slow_ms: u64,
}

/// A change of a service's faults; what is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceFault {
    /// So many of the next calls run and get 500.
    pub fail_after_run: Option<u32>,
    /// So many of the next calls run and get no reply.
    pub swallow: Option<u32>,
    /// So many of the next calls get 503 without running.
    pub refuse: Option<u32>,
    /// Every call takes this much longer.
    pub slow_ms: Option<u64>,
    /// The service says that it is leaving.
    pub leaving: Option<bool>,
}

/// Takes one from a count of faults to come, and says whether there was one.
pub fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
