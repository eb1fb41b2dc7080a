//! Who watches the store for all.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::Observation;

/// How much longer ago than a whole wait of a watch a watcher's last answer of the store may be: the
/// time between two of its notices.
const NOTICE_INTERVAL: Duration = Duration::from_millis(300);
/// How long a watcher's link is taken by the questions of one other instance after a notice: 2.5 KB of
/// notice, question, answer and their packets, at 10 Mbit/s.
const LINK_TIME_PER_PEER: Duration = Duration::from_millis(2);
/// The longest time between a change and the notice of it; it is a part of the bounds for new
/// configurations and leaving targets.
const MAX_NOTICE_INTERVAL: Duration = Duration::from_millis(250);

/// What an instance that watches the store reports to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The run of the instance.
    pub origin: u64,
    /// The store's revision up to which it knows the targets.
    pub revision: u64,
    /// The version of the configuration that it knows.
    pub config: u64,
    /// A revision of the store at which that was the newest version; 0 where none is known.
    pub config_revision: u64,
    /// The time since that was last seen to be the newest version, in milliseconds; nothing if it never was.
    pub config_age_ms: Option<u32>,
    /// The time since the revision of the targets was last known to be the newest one, in milliseconds; nothing if it
    /// never was.
    pub targets_age_ms: Option<u32>,
    /// Whether a newer version is being transferred to it.
    pub is_superseded: bool,
    /// The time since the store's last answer to it, in milliseconds.
    pub age_ms: u32,
}

impl Notice {
    /// Returns which configuration the store was seen to hold; nothing where the sender does not know that.
    pub fn observation(&self, now: Instant) -> Option<Observation> {
        let age = Duration::from_millis(self.config_age_ms?.into());
        Some(Observation {
            version: self.config,
            revision: self.config_revision,
            at: now.checked_sub(age)?,
        })
    }

    /// Returns which revision of the targets the store was seen to hold; nothing where the sender does not know that.
    pub fn targets_observation(&self, now: Instant) -> Option<Observation> {
        let age = Duration::from_millis(self.targets_age_ms?.into());
        Some(Observation {
            version: self.revision,
            revision: self.revision,
            at: now.checked_sub(age)?,
        })
    }
}

/// What instances that watch the store have reported.
///
/// The load it answers: each watch reports each change of a target, and costs calls while nothing changes. Two
/// instances watch for all, in different data centres; the others query them for changes, in a large fleet over some
/// in each data centre. An instance without a recent notice watches for itself, so nothing depends on who was elected.
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
    /// Over how many instances notices come from the one that watches the store.
    hops: u32,
}

impl Watchers {
    /// Knows of no watcher; a watch of the store waits so long for a change.
    pub fn new(watch_wait: Duration) -> Self {
        Self {
            notices: HashMap::new(),
            wait: watch_wait,
            hops: 1,
        }
    }

    /// Sets over how many instances notices come from the one that watches the store; each one adds the time
    /// between two of its notices.
    pub fn set_hops(&mut self, hops: u32) {
        self.hops = hops;
    }

    /// Returns how long ago the store's last answer to a watcher may be for others to rely on it.
    fn relied(&self) -> Duration {
        self.wait + NOTICE_INTERVAL * self.hops
    }

    /// Returns how long ago the store last answered a watcher that knew no more than this revision and this
    /// configuration; nothing where no notice of one is relied on.
    ///
    /// An instance that tells others of its data centre says what it was told with the age that it had.
    pub fn age(&self, revision: u64, config: u64, now: Instant) -> Option<Duration> {
        let notices = self.notices.values();
        let relied = notices.filter(|notice| is_relied_on(notice, self.relied(), now));
        let covered =
            relied.filter(|(notice, _)| notice.revision <= revision && notice.config <= config);
        covered.map(|notice| age(notice, now)).min()
    }

    /// Returns the least time between two notices of an instance that tells so many others.
    ///
    /// The failure: the engines of a data centre die and start again, and their entries change each few
    /// milliseconds. If each change is told at once, all instances ask for it, their questions fill
    /// the watcher's link for seconds, and nothing else reaches the watcher or leaves it.
    pub fn notice_gap(told: usize) -> Duration {
        let told = u32::try_from(told).unwrap_or(u32::MAX);
        LINK_TIME_PER_PEER
            .saturating_mul(told)
            .min(MAX_NOTICE_INTERVAL)
    }

    /// Records the notice of another instance.
    pub fn record(&mut self, notice: Notice, now: Instant) {
        self.notices.insert(notice.origin, (notice, now));
        let relied = self.relied();
        self.notices
            .retain(|_, notice| is_relied_on(notice, relied, now));
    }

    /// Drops the notice of an instance that did not answer; it is relied on again after its next one.
    ///
    /// The failure: a watcher says that there is something new, and is cut off. Whoever asked it would
    /// wait for its answer, and ask it again, while another watcher could tell.
    pub fn forget(&mut self, origin: u64) {
        self.notices.remove(&origin);
    }

    /// Returns whether this instance watches the store: it was chosen, or it hears of no other one
    /// that does.
    pub fn must_watch(&self, is_chosen: bool, now: Instant) -> bool {
        is_chosen
            || !self
                .notices
                .values()
                .any(|notice| is_relied_on(notice, self.relied(), now))
    }

    /// Returns the notice with the highest revision of the targets, if that is above this one.
    pub fn newer(&self, revision: u64, now: Instant) -> Option<Notice> {
        let notices = self.notices.values();
        let relied = notices.filter(|notice| is_relied_on(notice, self.relied(), now));
        let newer = relied.filter(|(notice, _)| notice.revision > revision);
        newer
            .max_by_key(|(notice, _)| notice.revision)
            .map(|(notice, _)| *notice)
    }
}

fn is_relied_on(notice: &(Notice, Instant), relied: Duration, now: Instant) -> bool {
    age(notice, now) < relied
}

/// Returns how long ago the store answered the watcher whose notice this is.
fn age((notice, heard): &(Notice, Instant), now: Instant) -> Duration {
    let age = Duration::from_millis(u64::from(notice.age_ms));
    now.saturating_duration_since(*heard) + age
}
