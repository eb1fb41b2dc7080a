//! The settings of an instance that relays routed requests.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use celerypond_types::{DataCentre, InstanceName};

use crate::process_limits::ProcessLimits;

/// The settings of an instance that relays routed requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Its address.
    pub ip: IpAddr,
    /// The addresses that it listens on.
    pub listen: Listen,
    /// The first and the last port for traffic between instances.
    pub peer_ports: (u16, u16),
    /// Addresses of some instances, which may be outdated.
    pub seeds: Vec<Seed>,
    /// The store.
    pub store: StoreSettings,
    /// The bounds set by operators.
    pub bounds: Bounds,
    /// The number of CPU cores.
    pub cores: usize,
    /// The memory and the descriptors that the process may use.
    pub limits: ProcessLimits,
    /// How long a caller may read nothing of its response until its connection is closed.
    pub unread_timeout: Duration,
    /// Whether prompts are placed by the time that they take at each engine, for services whose
    /// targets state their pace.
    pub places_by_time: bool,
    /// Whether copies of runs with an urgency yield memory to prompts that wait for it.
    pub copies_yield: bool,
}

/// An instance to be contacted at startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub IpAddr);

/// The addresses that an instance listens on; `None` for what it does not serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// For requests of callers.
    pub callers: Option<SocketAddr>,
    /// For readiness checks.
    pub ready: Option<SocketAddr>,
    /// For callers that query the addresses of instances.
    pub directory: Option<SocketAddr>,
    /// For metrics in text format.
    pub metrics: Option<SocketAddr>,
}

/// The address of the store, and the rate limits that all instances share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Reads per second.
    pub reads_per_second: f64,
    /// Writes per second.
    pub writes_per_second: f64,
}

/// The bounds set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// The time from when the store acknowledges a configuration until it is in force.
    pub config_apply: Duration,
    /// The time from when the store acknowledges that a target leaves until it gets no more new
    /// requests.
    pub drain: Duration,
    /// The share of a service's requests that may be sent again.
    pub retry_ratio: f64,
    /// The number of requests that may be sent again beyond that share, over all instances.
    pub retry_slack: f64,
    /// The window over which requests and repeats are counted for these two.
    pub retry_window: Duration,
    /// The share of a service's requests that a version may get while its order runs.
    pub expose_share: f64,
    /// The number of requests that it may get beyond that share.
    pub expose_slack: f64,
    /// The maximum time for which callers may cache the addresses of instances.
    pub directory_ttl: Duration,
    /// The interval at which targets renew their entries in the store. An entry expires after three
    /// intervals without a heartbeat.
    pub heartbeat: Duration,
}

/// The maximum wait of a watch of the store, as a share of the shortest bound. An instance that has
/// lost its watchers notices this after two waits and the calls between them, which is within the
/// bound.
const WATCH_WAIT_SHARE: f64 = 0.4;
/// The limits of that wait: shorter waits cost calls, longer ones delay the detection of a silent
/// watch.
const WATCH_WAIT_LIMITS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(2));
/// The time for which entries may be missing after the store's return, as a share of the drain
/// bound. The rest is for noticing the end of that time.
const MISSING_GRACE_SHARE: f64 = 0.85;
/// The time after which something superseded is no longer used, as a share of its bound. The rest
/// is for notices in transit.
const STALE_LIMIT_SHARE: f64 = 0.9;
/// The time after the last wait of the watchers in which other instances notice that these get no
/// answers, through up to two hops, and watch the store themselves.
const TAKEOVER_TIME: Duration = Duration::from_millis(900);
/// The time that targets take to write their entries again after the store's return.
const MAX_MISSING_GRACE: Duration = Duration::from_secs(2);

impl Bounds {
    /// Returns how long a watch of the store waits for a change.
    ///
    /// A watch may fail silently, and only the end of a wait shows that it is alive. New
    /// configurations and leaving targets must be applied within their bounds, so that a silent
    /// watch has to be detected before.
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

    /// Returns how long requests are served by a configuration after it was last known to be the
    /// newest one, if a newer one is known.
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

    /// Returns how long requests are sent by a list of targets after it was last known to be the
    /// newest one, if a newer one is known.
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

    /// Returns the minimum outage of the store in which entries of targets can expire.
    ///
    /// The last heartbeat before an outage is up to one interval old. While the watchers are
    /// partitioned from the store, no instance gets an answer until the others watch it themselves;
    /// that is no outage.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::Bounds;
    ///
    /// let bounds = Bounds { heartbeat: Duration::from_millis(1_200), ..Bounds::default() };
    /// assert_eq!(bounds.min_outage(), Duration::from_millis(2_400));
    /// ```
    pub fn min_outage(&self) -> Duration {
        (self.heartbeat * 2).max(self.watch_wait() + TAKEOVER_TIME)
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
            heartbeat: Duration::from_millis(1_200),
        }
    }
}
