//! How recent what is known of the store's content is.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Contact, Observation, Stale};

/// How many of the newest versions are remembered.
const MAX_VERSIONS: usize = 16;

/// How long a transfer counts as under way after it was last reported.
const TRANSFER_TTL: Duration = Duration::from_secs(1);

/// That the store has a version above one, whose number is not yet known.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    above: u64,
    at: Instant,
}

/// How recent the version of something in the store is that an instance has, by what the store or its watchers were
/// seen to hold. It serves for the configuration and for the list of targets, whose version is a revision.
///
/// A version that was the newest one within the limit cannot have been superseded for longer. Where that is not
/// known, there are two cases. If another instance reports a newer version, or there is no contact with anyone,
/// requests are refused, since other instances can serve them; they wait shortly where that is about to end. If there
/// is contact with others and no report of a newer version, the store is unavailable to all: nothing can be
/// acknowledged, and requests are served.
///
/// Instances that are partitioned together from the store and all others cannot tell this from an unavailable store.
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
/// freshness.set_current(2);
/// let later = start + Duration::from_secs(3);
/// assert_eq!(freshness.stale(limit, later), None);
/// freshness.observe(seen(3, later));
/// assert_eq!(freshness.stale(limit, later), Some(Stale::Superseded));
/// freshness.set_current(3);
/// assert_eq!(freshness.stale(limit, later), None);
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    /// The version in force.
    current: u64,
    /// The latest observations of the newest versions, in order of version.
    observations: Vec<Observation>,
    /// Versions above the one in force that other instances have, and when that was last reported.
    reports: Vec<(u64, Instant)>,
    /// A version that is being transferred, here or elsewhere.
    transfer: Option<Transfer>,
    contact: Contact,
    /// Whether there are other instances that could serve.
    has_peers: bool,
}

impl Freshness {
    /// Returns the state of an instance with nothing in force and no peers.
    pub const fn new(now: Instant) -> Self {
        Self {
            current: 0,
            observations: Vec::new(),
            reports: Vec::new(),
            transfer: None,
            contact: Contact::new(now),
            has_peers: false,
        }
    }

    /// Records what the store was seen to hold.
    ///
    /// A version is not the newest one any more once a higher one was seen, whatever a late report says.
    pub fn observe(&mut self, seen: Observation) {
        self.report(seen.version, seen.at);
        let newest = self.observations.last().map_or(0, |newest| newest.version);
        let place = self
            .observations
            .binary_search_by_key(&seen.version, |one| one.version);
        match place {
            Ok(_) if seen.version < newest => {}
            Ok(at) => {
                let known = &mut self.observations[at];
                known.revision = known.revision.max(seen.revision);
                known.at = known.at.max(seen.at);
            }
            Err(at) => self.observations.insert(at, seen),
        }
        if self.observations.len() > MAX_VERSIONS {
            self.observations.remove(0);
        }
    }

    /// Records that the store or another instance was found to have this version, whenever it got it.
    ///
    /// An observation that waited unread may be too old to verify a version; that there is a newer one it still tells.
    pub fn report(&mut self, version: u64, at: Instant) {
        if version <= self.current {
            return;
        }
        match self.reports.iter_mut().find(|known| known.0 == version) {
            Some(known) => known.1 = known.1.max(at),
            None => self.reports.push((version, at)),
        }
        if self.reports.len() > MAX_VERSIONS {
            self.reports.remove(0);
        }
    }

    /// Records that a version above this one is being transferred, whose number is not yet known.
    pub fn record_transfer(&mut self, above: u64, at: Instant) {
        let is_news = |known: Transfer| (above, at) > (known.above, known.at);
        if self.transfer.is_none_or(is_news) {
            self.transfer = Some(Transfer { above, at });
        }
    }

    /// Records that a read of the store that began at this moment is complete. Transfers reported before have brought
    /// their version by then, or none.
    pub fn confirm_read(&mut self, begun: Instant) {
        self.transfer = self.transfer.filter(|newer| newer.at > begun);
    }

    /// Returns whether a version is being transferred that is not in force.
    fn is_transfer_recent(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) <= TRANSFER_TTL;
        let newer = self.transfer.filter(|newer| newer.above >= self.current);
        newer.is_some_and(|newer| is_recent(newer.at))
    }

    /// Records which version is in force.
    pub fn set_current(&mut self, version: u64) {
        self.current = version;
        self.reports.retain(|known| known.0 > version);
    }

    /// Records a contact with the store or another instance.
    pub fn record_contact(&mut self, now: Instant) {
        self.contact.record(now);
    }

    /// Sets whether there are other instances, reachable or not, that have not announced their leaving.
    pub const fn set_has_peers(&mut self, has_peers: bool) {
        self.has_peers = has_peers;
    }

    /// Returns the newest version that is known of, which has at least this number.
    pub fn newest(&self, now: Instant) -> u64 {
        let observed = self.observations.last().map_or(0, |newest| newest.version);
        let reported = self.reports.iter().map(|known| known.0).max();
        let begun = self.current + u64::from(self.is_transfer_recent(now));
        observed.max(begun).max(reported.unwrap_or_default())
    }

    /// Returns a revision of the store at which the version in force was the newest one; a watch from there reports
    /// each later one.
    pub fn revision(&self) -> Option<u64> {
        let revision = self.verified().map(|verified| verified.revision);
        revision.filter(|revision| *revision > 0)
    }

    /// Returns when the version in force was last known to be the newest one; nothing if it never was.
    pub fn verified_at(&self) -> Option<Instant> {
        // Where an older version was the newest one, no newer one than that in force can have been acknowledged.
        let known = self
            .observations
            .iter()
            .filter(|seen| seen.version <= self.current);
        known.map(|seen| seen.at).max()
    }

    /// Returns how long ago the version in force was last known to be the newest one; nothing if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = self.verified_at()?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns why requests cannot be served by the version in force, where a version may be in force for so long
    /// after it was superseded.
    pub fn stale(&self, limit: Duration, now: Instant) -> Option<Stale> {
        if self.has_peers && !self.contact.is_within(limit, now) {
            return Some(Stale::Isolated);
        }
        if self.age(now).is_some_and(|age| age <= limit) {
            return None;
        }
        // A report that is not repeated is not relied on: its sender may have died with the only copy of the version
        // while the store is unavailable.
        let is_recent = |at| now.saturating_duration_since(at) <= limit;
        if self.reports.iter().any(|known| is_recent(known.1)) {
            return Some(Stale::Superseded);
        }
        if self.is_transfer_recent(now) {
            return Some(Stale::Pending);
        }
        let current = self.current_at(limit, now);
        current.is_some().then_some(Stale::Resuming)
    }

    /// Returns when changes that were missed while there was no contact have been reported; nothing if they have.
    pub fn current_at(&self, limit: Duration, now: Instant) -> Option<Instant> {
        let current = self.contact.current_at(limit, now);
        current.filter(|_| self.has_peers)
    }

    /// Returns the latest observation of the version in force.
    fn verified(&self) -> Option<&Observation> {
        self.observations
            .iter()
            .find(|seen| seen.version == self.current)
    }
}
