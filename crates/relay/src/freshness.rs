//! How recent the configuration in force is.

use std::time::Duration;

use tokio::time::Instant;

use crate::Observation;

/// How many of the newest versions are remembered.
const VERSIONS: usize = 16;

/// How long it counts that the store began to tell of a version that is not yet known; it is repeated while the
/// transfer goes on.
const NEWER_TTL: Duration = Duration::from_secs(1);

/// Why requests cannot be served by the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// A newer version is known, and it may have been acknowledged longer ago than the limit.
    Superseded,
    /// Neither the store nor another instance has been heard for longer than the limit.
    Isolated,
}

/// That the store has a version above one, whose number is not yet known.
#[derive(Clone, Copy, Debug)]
struct Newer {
    above: u64,
    at: Instant,
}

/// How recent the configuration in force is, by what the store or its watchers were seen to hold.
///
/// A version that was the newest one within the limit cannot have been superseded for longer. Where that is not
/// known, two cases are told apart. If others reach the store and know a newer version, or nobody is heard at all,
/// requests are refused, since other instances can serve them. If others are heard and nobody tells of a newer
/// version, the store is away for all: nothing can be acknowledged, and requests are served.
///
/// Instances that are cut off together from the store and from all others look to each other as if the store were away.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{Freshness, Observation, Stale};
/// use tokio::time::Instant;
///
/// let (start, limit) = (Instant::now(), Duration::from_secs(2));
/// let seen = |version, at| Observation { version, revision: 40, at };
/// let mut freshness = Freshness::new(start);
/// freshness.observe(seen(2, start));
/// freshness.hold(2);
/// let later = start + Duration::from_secs(3);
/// assert_eq!(freshness.stale(limit, later), None);
/// freshness.observe(seen(3, later));
/// assert_eq!(freshness.stale(limit, later), Some(Stale::Superseded));
/// freshness.hold(3);
/// assert_eq!(freshness.stale(limit, later), None);
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    /// The version in force.
    held: u64,
    /// The latest observations of the newest versions, in order of version.
    seen: Vec<Observation>,
    /// A version that is being transferred, here or elsewhere.
    newer: Option<Newer>,
    /// When the store or another instance was last heard.
    contact: Instant,
    /// Whether there are other instances that could serve.
    has_others: bool,
}

impl Freshness {
    /// Has nothing in force, and knows no other instances.
    pub const fn new(now: Instant) -> Self {
        Self {
            held: 0,
            seen: Vec::new(),
            newer: None,
            contact: now,
            has_others: false,
        }
    }

    /// Takes in what the store was seen to hold.
    pub fn observe(&mut self, seen: Observation) {
        let place = self
            .seen
            .binary_search_by_key(&seen.version, |one| one.version);
        match place {
            Ok(at) => {
                let known = &mut self.seen[at];
                known.revision = known.revision.max(seen.revision);
                known.at = known.at.max(seen.at);
            }
            Err(at) => self.seen.insert(at, seen),
        }
        if self.seen.len() > VERSIONS {
            self.seen.remove(0);
        }
    }

    /// Takes in that the store began to tell of a version above this one, whose number is not yet known.
    pub fn observe_newer(&mut self, above: u64, at: Instant) {
        let is_news = |known: Newer| (above, at) > (known.above, known.at);
        if self.newer.is_none_or(is_news) {
            self.newer = Some(Newer { above, at });
        }
    }

    /// Takes in that the store was asked at this moment or later, and told all that it has.
    pub fn settle(&mut self, asked: Instant) {
        self.newer = self.newer.filter(|newer| newer.at > asked);
    }

    /// Returns whether a version is being transferred that is not in force.
    fn is_newer_begun(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) <= NEWER_TTL;
        let newer = self.newer.filter(|newer| newer.above >= self.held);
        newer.is_some_and(|newer| is_recent(newer.at))
    }

    /// Takes in that a version is in force now.
    pub const fn hold(&mut self, version: u64) {
        self.held = version;
    }

    /// Takes in that the store or another instance was heard.
    pub fn heard(&mut self, now: Instant) {
        self.contact = self.contact.max(now);
    }

    /// Takes in whether there are other instances, reachable or not, that have not said that they leave.
    pub const fn set_others(&mut self, has_others: bool) {
        self.has_others = has_others;
    }

    /// Returns the newest version that is known of, which has at least this number.
    pub fn newest(&self, now: Instant) -> u64 {
        let observed = self.seen.last().map_or(0, |newest| newest.version);
        let begun = self.held + u64::from(self.is_newer_begun(now));
        observed.max(begun)
    }

    /// Returns a revision of the store at which the version in force was the newest one; a watch from there tells
    /// each later one.
    pub fn revision(&self) -> Option<u64> {
        let revision = self.verified().map(|verified| verified.revision);
        revision.filter(|revision| *revision > 0)
    }

    /// Returns how long ago the version in force was last observed to be the newest one; nothing if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let verified = self.verified()?;
        Some(now.saturating_duration_since(verified.at))
    }

    /// Returns why requests cannot be served by the version in force, where a version may be in force for so long
    /// after it was superseded.
    pub fn stale(&self, limit: Duration, now: Instant) -> Option<Stale> {
        let is_recent = |at| now.saturating_duration_since(at) <= limit;
        if self.has_others && !is_recent(self.contact) {
            return Some(Stale::Isolated);
        }
        // Whoever told of the newer version may have lost the store since, or be gone with it.
        let newer = self.seen.last().filter(|seen| seen.version > self.held);
        let is_superseded =
            newer.is_some_and(|seen| is_recent(seen.at)) || self.is_newer_begun(now);
        let is_verified = self.verified().is_some_and(|seen| is_recent(seen.at));
        (is_superseded && !is_verified).then_some(Stale::Superseded)
    }

    /// Returns the latest observation of the version in force.
    fn verified(&self) -> Option<&Observation> {
        self.seen.iter().find(|seen| seen.version == self.held)
    }
}
