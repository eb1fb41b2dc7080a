//! The settings of an instance that relays routed requests.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use celerypond_types::{DataCentre, InstanceName};

/// The settings of an instance that relays routed requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Its address.
    pub ip: IpAddr,
    /// Where it listens; nothing for what it does not serve.
    pub listen: Listen,
    /// The first and the last port that are free for traffic between instances.
    pub peer_ports: (u16, u16),
    /// Addresses of some instances, which may be stale.
    pub seeds: Vec<Seed>,
    /// The store.
    pub store: StoreSettings,
    /// The bounds that operators have set.
    pub bounds: Bounds,
    /// How many cores the instance has.
    pub cores: usize,
}

/// An instance that a starting one tries first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub IpAddr);

/// Where an instance listens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For the question whether it is ready.
    pub ready: Option<SocketAddr>,
    /// For callers that ask which addresses to use.
    pub directory: Option<SocketAddr>,
    /// For counters and latencies as text.
    pub metrics: Option<SocketAddr>,
}

/// Where the store is and what all instances may ask of it together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Reads a second.
    pub reads_per_second: f64,
    /// Writes a second.
    pub writes_per_second: f64,
}

/// The bounds that operators have set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// From the store's answer to a new configuration until it is in force.
    pub config_apply: Duration,
    /// From the store's answer to a target's leaving until no new work reaches it.
    pub drain: Duration,
    /// The share of a service's requests that may be sent once more.
    pub retry_ratio: f64,
    /// Requests that may be sent once more beyond that share, over all instances.
    pub retry_slack: f64,
    /// The time over which requests and sends are counted for these two.
    pub retry_window: Duration,
    /// The share of a service's requests that a version may get while its order runs.
    pub expose_share: f64,
    /// Requests that it may get beyond that share.
    pub expose_slack: f64,
    /// The longest time for which callers may keep an answer of the directory.
    pub directory_ttl: Duration,
}

/// The part of the shortest bound for which a watch of the store waits. After two of them in a row,
/// and the calls between, an instance whose watchers are cut off still knows in time.
const WATCH_WAIT_SHARE: f64 = 0.4;
/// The bounds of that wait: shorter ones cost calls, longer ones leave a silent watch unnoticed.
const WATCH_WAIT_LIMITS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(2));
/// The part of the bound of a drain for which entries may be missing after the store's return. What
/// is left of it is for noticing the end.
const MISSING_GRACE_SHARE: f64 = 0.85;
/// The part of the bound of a configuration or of a drain after which what was superseded is no longer served by; the
/// remaining part is for notices in transit.
const STALE_LIMIT_SHARE: f64 = 0.9;
/// The time that targets take to write their entries again after the store's return.
const MAX_MISSING_GRACE: Duration = Duration::from_secs(2);

impl Bounds {
    /// Returns how long a watch of the store waits for a change.
    ///
    /// A watch may go silent without a sign, and only its end shows that it lives. New versions and
    /// leaving targets must be obeyed within their bounds, so a silent watch has to be found out
    /// before.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::Bounds;
    ///
    /// let bounds = Bounds { drain: Duration::from_secs(2), ..Bounds::default() };
    /// assert_eq!(bounds.watch_wait(), Duration::from_millis(800));
    /// ```
    pub fn watch_wait(&self) -> Duration {
        let (least, most) = WATCH_WAIT_LIMITS;
        let shortest = self.drain.min(self.config_apply);
        shortest.mul_f64(WATCH_WAIT_SHARE).clamp(least, most)
    }

    /// Returns for how long requests are served by a configuration after it was last known to be the newest one, where
    /// a newer one is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::Bounds;
    ///
    /// let bounds = Bounds { config_apply: Duration::from_secs(2), ..Bounds::default() };
    /// assert_eq!(bounds.stale_limit(), Duration::from_millis(1_800));
    /// ```
    pub fn stale_limit(&self) -> Duration {
        self.config_apply.mul_f64(STALE_LIMIT_SHARE)
    }

    /// Returns for how long requests are sent by a list of targets after it was last known to be the newest one, where a
    /// newer one is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::Bounds;
    ///
    /// let bounds = Bounds { drain: Duration::from_secs(3), ..Bounds::default() };
    /// assert_eq!(bounds.targets_stale_limit(), Duration::from_millis(2_700));
    /// ```
    pub fn targets_stale_limit(&self) -> Duration {
        self.drain.mul_f64(STALE_LIMIT_SHARE)
    }

    /// Returns how long entries of targets may be missing after the store's return.
    pub fn missing_entry_grace(&self) -> Duration {
        self.drain
            .mul_f64(MISSING_GRACE_SHARE)
            .min(MAX_MISSING_GRACE)
    }
}

impl Default for Bounds {
    /// The bounds of a small deployment.
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            config_apply: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            expose_share: 0.1,
            expose_slack: 50.0,
            directory_ttl: Duration::from_secs(5),
        }
    }
}
