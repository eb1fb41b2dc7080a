//! Faults that a test can make a stand-in simulate.

use celerypond_types::VersionName;
use serde::Deserialize;

/// A change to the faults of the platform. Fields that are left out keep their values.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFault {
    /// Whether every call is answered with 503.
    pub down: Option<bool>,
    /// The time added to every call, in milliseconds.
    pub slow_ms: Option<u64>,
    /// The number of subsequent writes that take effect but get no reply.
    pub lose_replies: Option<u32>,
    /// The delay with which changes to the instance list become visible, in milliseconds.
    pub instance_lag_ms: Option<u64>,
}

/// A change to the faults of an engine. Fields that are left out keep their values.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFault {
    /// If true, connections that are reading a stream now receive nothing more but stay open.
    /// Later connections work.
    pub silent: Option<bool>,
    /// Whether the engine is paused: it neither generates tokens nor replies,
    /// except to changes of its faults.
    pub paused: Option<bool>,
    /// Whether every generation request is answered with 500.
    pub fail: Option<bool>,
    /// The time added to every token, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Whether the engine reports that it is leaving.
    pub leaving: Option<bool>,
    /// The model version that is faulty.
    pub bad: Option<BadVersion>,
}

/// The faults of one model version.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadVersion {
    /// The version.
    pub version: VersionName,
    /// The percentage of generation requests that are answered with 500.
    #[serde(default)]
    pub fail_percent: u32,
    /// The time added to every token, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
}

/// A change to the faults of a plain service. Fields that are left out keep their values.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceFault {
    /// The number of subsequent calls that are executed and then answered with 500.
    pub fail_after_run: Option<u32>,
    /// The number of subsequent calls that are executed but get no reply.
    pub swallow: Option<u32>,
    /// The number of subsequent calls that are answered with 503 without being executed.
    pub refuse: Option<u32>,
    /// The time added to every call, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Whether the service reports that it is leaving.
    pub leaving: Option<bool>,
}

/// Decrements the number of faults still to occur. Returns whether a fault is due now.
pub fn consume(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}
