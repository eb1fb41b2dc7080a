//! Instances that watch the store on behalf of all.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::Observation;

/// The time between two notices of a watcher, by which the store's last response to it may be older
/// than a full wait of a watch.
const NOTICE_INTERVAL: Duration = Duration::from_millis(300);
/// How long the queries of one other instance after a notice occupy a watcher's link: 2.5 KB for
/// notice, query and response, including packet headers, at 10 Mbit/s.
const LINK_TIME_PER_PEER: Duration = Duration::from_millis(2);
/// The maximum time between a change and the notice of it, which is part of the bounds for new
/// configurations and leaving targets.
const MAX_NOTICE_INTERVAL: Duration = Duration::from_millis(250);

/// The notice that an instance which watches the store sends to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The id of the instance's process.
    pub origin: u64,
    /// The store's revision of its list of targets.
    pub revision: u64,
    /// The version of its configuration.
    pub config: u64,
    /// A revision of the store at which that was the newest version; 0 if none is known.
    pub config_revision: u64,
    /// The time since that was last known to be the newest version, in milliseconds; `None` if it
    /// never was.
    pub config_age_ms: Option<u32>,
    /// The time since its revision of the targets was last known to be the newest one, in
    /// milliseconds; `None` if it never was.
    pub targets_age_ms: Option<u32>,
    /// The time since the orders of operators were last read, in milliseconds; `None` if they never
    /// were.
    pub orders_age_ms: Option<u32>,
    /// Whether a newer version is being transferred to the instance.
    pub is_superseded: bool,
    /// The time since the store's last response to it, in milliseconds.
    pub age_ms: u32,
}

impl Notice {
    /// Returns the configuration that the store was observed to hold; `None` if the sender does not
    /// know it.
    pub fn observation(&self, now: Instant) -> Option<Observation> {
        let age = Duration::from_millis(self.config_age_ms?.into());
        Some(Observation {
            version: self.config,
            revision: self.config_revision,
            at: now.checked_sub(age)?,
        })
    }

    /// Returns the revision of the targets that the store was observed to hold; `None` if the
    /// sender does not know it.
    pub fn targets_observation(&self, now: Instant) -> Option<Observation> {
        let age = Duration::from_millis(self.targets_age_ms?.into());
        Some(Observation {
            version: self.revision,
            revision: self.revision,
            at: now.checked_sub(age)?,
        })
    }

    /// Returns when the orders of operators were last read; `None` if the sender does not know it.
    pub fn orders_read_at(&self, now: Instant) -> Option<Instant> {
        now.checked_sub(Duration::from_millis(self.orders_age_ms?.into()))
    }
}

/// The notices of instances that watch the store.
///
/// Each watch reports each change of a target, and costs calls even if nothing changes. Therefore
/// two instances in different data centres watch for all. The others query them for changes, in a
/// large fleet through some instances in each data centre. An instance without a recent notice
/// watches for itself, so that nothing depends on the elected ones.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{Watchers, Notice};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut watchers = Watchers::new(Duration::from_millis(800));
/// assert!(watchers.must_watch(false, now));
/// let notice = Notice {
///     origin: 1,
///     revision: 7,
///     config: 2,
///     config_revision: 6,
///     config_age_ms: Some(300),
///     targets_age_ms: Some(300),
///     orders_age_ms: None,
///     is_superseded: false,
///     age_ms: 300,
/// };
/// watchers.record(notice, now);
/// assert!(!watchers.must_watch(false, now));
/// assert_eq!(watchers.newer(6, now).map(|notice| notice.origin), Some(1));
/// assert!(watchers.must_watch(false, now + Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug)]
pub struct Watchers {
    notices: HashMap<u64, (Notice, Instant)>,
    /// How long a watch of the store waits for a change.
    wait: Duration,
    /// The number of instances that notices have passed through, including the watcher.
    hops: u32,
}

impl Watchers {
    /// Creates the state of an instance that knows of no watcher; `watch_wait` is how long a watch
    /// of the store waits for a change.
    pub fn new(watch_wait: Duration) -> Self {
        Self {
            notices: HashMap::new(),
            wait: watch_wait,
            hops: 1,
        }
    }

    /// Sets the number of instances that notices have passed through, including the watcher. Each
    /// one adds its interval between notices.
    pub fn set_hops(&mut self, hops: u32) {
        self.hops = hops;
    }

    /// Returns the maximum age of the store's last response to a watcher for others to rely on it.
    fn max_age(&self) -> Duration {
        self.wait + NOTICE_INTERVAL * self.hops
    }

    /// Returns how long ago the store responded to a watcher that knew no more than this revision
    /// and this configuration; `None` if there is no such notice that is relied on.
    ///
    /// An instance that forwards notices in its data centre passes on the age that it received.
    pub fn age(&self, revision: u64, config: u64, now: Instant) -> Option<Duration> {
        let notices = self.notices.values();
        let relied_on = notices.filter(|notice| is_relied_on(notice, self.max_age(), now));
        let covered =
            relied_on.filter(|(notice, _)| notice.revision <= revision && notice.config <= config);
        covered.map(|notice| age(notice, now)).min()
    }

    /// Returns the minimum interval between two notices of an instance that sends them to this
    /// number of others.
    ///
    /// When the engines of a data centre die and restart, their entries change every few
    /// milliseconds. If each change were announced immediately, the queries of all instances would
    /// saturate the watcher's link for seconds, and no other traffic would reach or leave it.
    pub fn notice_gap(recipients: usize) -> Duration {
        let recipients = u32::try_from(recipients).unwrap_or(u32::MAX);
        LINK_TIME_PER_PEER
            .saturating_mul(recipients)
            .min(MAX_NOTICE_INTERVAL)
    }

    /// Records the notice of another instance.
    pub fn record(&mut self, notice: Notice, now: Instant) {
        self.notices.insert(notice.origin, (notice, now));
        let max_age = self.max_age();
        self.notices
            .retain(|_, notice| is_relied_on(notice, max_age, now));
    }

    /// Forgets the notice of an instance that did not answer; it is relied on again after its next
    /// one.
    ///
    /// A watcher may announce a change and then be disconnected. Other instances would wait for its
    /// response and query it again, although another watcher could respond.
    pub fn forget(&mut self, origin: u64) {
        self.notices.remove(&origin);
    }

    /// Returns whether this instance has to watch the store: it was elected, or it receives no
    /// notices.
    pub fn must_watch(&self, is_chosen: bool, now: Instant) -> bool {
        is_chosen
            || !self
                .notices
                .values()
                .any(|notice| is_relied_on(notice, self.max_age(), now))
    }

    /// Returns the instances whose notices are relied on, by the time since the store last responded
    /// to their watchers.
    pub fn in_contact(&self, now: Instant) -> Vec<u64> {
        let notices = self.notices.values();
        let relied_on = notices.filter(|notice| is_relied_on(notice, self.max_age(), now));
        let mut origins: Vec<(Duration, u64)> = relied_on
            .map(|known| (age(known, now), known.0.origin))
            .collect();
        origins.sort_unstable();
        origins.into_iter().map(|(_, origin)| origin).collect()
    }

    /// Returns the notice with the highest revision of the targets, if it is above this one.
    pub fn newer(&self, revision: u64, now: Instant) -> Option<Notice> {
        let notices = self.notices.values();
        let relied_on = notices.filter(|notice| is_relied_on(notice, self.max_age(), now));
        let newer = relied_on.filter(|(notice, _)| notice.revision > revision);
        newer
            .max_by_key(|(notice, _)| notice.revision)
            .map(|(notice, _)| *notice)
    }
}

fn is_relied_on(notice: &(Notice, Instant), max_age: Duration, now: Instant) -> bool {
    age(notice, now) < max_age
}

/// Returns how long ago the store responded to the sender of a notice.
fn age((notice, received_at): &(Notice, Instant), now: Instant) -> Duration {
    let age = Duration::from_millis(u64::from(notice.age_ms));
    now.saturating_duration_since(*received_at) + age
}
