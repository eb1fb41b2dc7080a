//! Targets that ended while they ran a request.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The number of targets that may end while they run the same request.
const MAX_LOSSES: usize = 3;
/// How long the last end counts. A caller that retries within this time, with any deadline that is
/// usual for streams, causes no further ends.
const LOSS_TTL: Duration = Duration::from_secs(60);
/// The maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// Identifies a request across the retries of its caller, which have other ids and may reach other
/// instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Returns the key of a request with this content, such as its account, path and body. Requests
    /// of different accounts must differ, so that no caller can block those of others.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::RequestFingerprint;
    ///
    /// let key = RequestFingerprint::of_content(["yard", "/draft/7", "brief"].map(str::as_bytes));
    /// let other = RequestFingerprint::of_content(["yar", "d/draft/7", "brief"].map(str::as_bytes));
    /// assert_ne!(key, other);
    /// ```
    pub fn of_content<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let hashes = fields.into_iter().map(celerypond_route::hash);
        let bytes: Vec<u8> = hashes.flat_map(u64::to_le_bytes).collect();
        Self(celerypond_route::hash(&bytes))
    }
}

/// Identifies one run of a target's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRun(u64);

impl TargetRun {
    /// Returns the run of the target with this name that was started at a Unix time in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::TargetRun;
    ///
    /// assert_ne!(TargetRun::new("i-1", Some(1)), TargetRun::new("i-1", Some(2)));
    /// ```
    pub fn new(name: &str, born: Option<u64>) -> Self {
        let born = born.unwrap_or_default().to_le_bytes();
        Self(celerypond_route::hash(&[name.as_bytes(), &born].concat()))
    }
}

/// A notice that targets ended while they ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossNotice {
    /// The request.
    pub request: RequestFingerprint,
    /// The targets, as far as the sender knows them.
    pub targets: Vec<TargetRun>,
}

/// Where a request runs apart from others under which the same targets ended. One of them may end
/// the next one as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Separation {
    /// The number from which all instances derive the same order of targets for these requests.
    pub seed: u64,
    /// The position of the request's target in this order.
    pub position: usize,
}

/// The targets that ended while they ran the same request.
#[derive(Clone, Debug)]
struct Losses {
    targets: Vec<TargetRun>,
    latest: Instant,
    /// Whether other instances were notified of all targets.
    is_reported: bool,
}

/// Limits the number of targets that end under the same request.
///
/// A request may make each target end that runs it ("query of death"). Sent on after each end, it
/// would end one target after the other, and all other requests that these run. Ends are counted by
/// the content of the request, over all instances, as its caller retries with other ids. An instance
/// that is notified twice of the same end counts it once.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{RequestFingerprint, TargetLosses, TargetRun};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let request = RequestFingerprint::of_content([b"draft".as_slice()]);
/// let mut losses = TargetLosses::default();
/// for name in ["i-1", "i-2", "i-2", "i-3"] {
///     assert!(losses.blocked_for(request, now).is_none());
///     losses.record(request, TargetRun::new(name, None), now);
/// }
/// assert!(losses.blocked_for(request, now).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetLosses {
    requests: HashMap<RequestFingerprint, Losses>,
}

impl TargetLosses {
    /// Records that a target ended while it ran a request. Returns the number of targets that did.
    pub fn record(
        &mut self,
        request: RequestFingerprint,
        target: TargetRun,
        now: Instant,
    ) -> usize {
        if self.add(request, &[target], now)
            && let Some(losses) = self.requests.get_mut(&request)
        {
            losses.is_reported = false;
        }
        self.count(request, now)
    }

    /// Merges the notice of another instance.
    pub fn merge(&mut self, notice: &LossNotice, now: Instant) {
        self.add(notice.request, &notice.targets, now);
    }

    /// Returns the number of targets that ended while they ran a request.
    pub fn count(&self, request: RequestFingerprint, now: Instant) -> usize {
        self.fresh(request, now)
            .map_or(0, |losses| losses.targets.len())
    }

    /// Returns whether a request may be sent to another target if this number of targets that run it
    /// are about to end.
    pub fn allows(&self, request: RequestFingerprint, ending: usize, now: Instant) -> bool {
        self.count(request, now) + ending < MAX_LOSSES
    }

    /// Returns how long a request must not be sent to any target; `None` if it may be.
    pub fn blocked_for(&self, request: RequestFingerprint, now: Instant) -> Option<Duration> {
        let losses = self.fresh(request, now)?;
        let until = losses.latest + LOSS_TTL;
        (losses.targets.len() >= MAX_LOSSES).then(|| until.saturating_duration_since(now))
    }

    /// Returns where a request runs that must not lose another target, if there are others that lost
    /// the same ones; `None` otherwise. They run apart from each other, so that those which only ran
    /// beside a fatal one do not lose the next target as well.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{RequestFingerprint, TargetLosses, TargetRun};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut losses = TargetLosses::default();
    /// let requests = ["fatal", "beside"].map(|name| RequestFingerprint::of_content([name.as_bytes()]));
    /// for (request, target) in requests.iter().flat_map(|key| [(*key, "i-1"), (*key, "i-2")]) {
    ///     losses.record(request, TargetRun::new(target, None), now);
    /// }
    /// let [fatal, beside] = requests.map(|request| losses.separation(request, now).unwrap());
    /// assert_eq!(fatal.seed, beside.seed);
    /// assert_ne!(fatal.position, beside.position);
    /// ```
    pub fn separation(&self, request: RequestFingerprint, now: Instant) -> Option<Separation> {
        let own = self.fresh(request, now)?;
        if own.targets.len() + 1 < MAX_LOSSES {
            return None;
        }
        let has_same_targets = |losses: &Losses| {
            let is_shared = |target: &TargetRun| losses.targets.contains(target);
            losses.is_fresh(now) && own.targets.iter().all(is_shared)
        };
        let same = self.requests.iter();
        let same = same.filter(|(_, losses)| has_same_targets(losses));
        let keys: Vec<u64> = same.map(|(key, _)| key.0).collect();
        if keys.len() < 2 {
            return None;
        }
        Some(Separation {
            seed: own.targets.iter().fold(0, |seed, target| seed ^ target.0),
            position: keys.iter().filter(|key| **key < request.0).count(),
        })
    }

    /// Forgets the ends under a request that a target ran to its end.
    pub fn forget(&mut self, request: RequestFingerprint) {
        self.requests.remove(&request);
    }

    /// Returns the notice for other instances if they were not notified of all targets.
    pub fn take_notice(&mut self, request: RequestFingerprint, now: Instant) -> Option<LossNotice> {
        if self.is_reported(request) {
            return None;
        }
        let notice = self.notice(request, now)?;
        if let Some(losses) = self.requests.get_mut(&request) {
            losses.is_reported = true;
        }
        Some(notice)
    }

    /// Returns the notice of all known ends under a request, if there are any.
    pub fn notice(&self, request: RequestFingerprint, now: Instant) -> Option<LossNotice> {
        let targets = self.fresh(request, now)?.targets.clone();
        Some(LossNotice { request, targets })
    }

    fn fresh(&self, request: RequestFingerprint, now: Instant) -> Option<&Losses> {
        let losses = self.requests.get(&request);
        losses.filter(|losses| losses.is_fresh(now))
    }

    fn is_reported(&self, request: RequestFingerprint) -> bool {
        let losses = self.requests.get(&request);
        losses.is_none_or(|losses| losses.is_reported)
    }

    /// Adds targets, and returns whether any was not known.
    fn add(&mut self, request: RequestFingerprint, targets: &[TargetRun], now: Instant) -> bool {
        if !self.requests.contains_key(&request) {
            self.make_room(now);
        }
        let losses = self.requests.entry(request).or_insert_with(|| Losses {
            targets: Vec::new(),
            latest: now,
            is_reported: true,
        });
        if !losses.is_fresh(now) {
            losses.targets.clear();
        }
        let known = losses.targets.clone();
        // The limit is reached with the first ones.
        let new = targets.iter().filter(|target| !known.contains(target));
        losses.targets.extend(new.take(MAX_LOSSES));
        let is_new = losses.targets.len() > known.len();
        if is_new {
            losses.latest = now;
        }
        is_new
    }

    /// Removes what has expired once there are too many requests, and otherwise the oldest one.
    fn make_room(&mut self, now: Instant) {
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        self.requests.retain(|_, losses| losses.is_fresh(now));
        if self.requests.len() >= MAX_REQUESTS {
            let oldest = self.requests.iter().min_by_key(|(_, losses)| losses.latest);
            if let Some(request) = oldest.map(|(request, _)| *request) {
                self.requests.remove(&request);
            }
        }
    }
}

impl Losses {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.latest) < LOSS_TTL
    }
}
