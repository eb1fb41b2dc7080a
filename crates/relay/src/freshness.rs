//! The freshness of the configuration and the list of targets.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Contact, Observation, Stale};

/// The maximum number of recent versions that are remembered.
const MAX_VERSIONS: usize = 16;

/// How long a transfer counts as in progress after the last report of it.
const TRANSFER_TTL: Duration = Duration::from_secs(1);

/// A transfer of a version above a known one, whose number is not yet known.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    above: u64,
    at: Instant,
}

/// The freshness of an instance's version of something in the store, derived from what the store or
/// its watchers were observed to hold. This is used for the configuration and for the list of
/// targets, whose version is its revision.
///
/// A version that was the newest one within the limit cannot have been superseded for longer than
/// the limit. If that is not known there are two cases. If another instance reports a newer
/// version, or there is no contact with anyone, requests are refused, since other instances can
/// serve them; they wait briefly if this is about to end. If there is contact with others and no
/// report of a newer version, the store is unavailable to all: no newer version can be
/// acknowledged, and requests are served.
///
/// Instances that are partitioned from the store and all other instances, but not from each other,
/// cannot distinguish this from an unavailable store.
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
    /// The latest observation of each of the newest versions, ordered by version.
    observations: Vec<Observation>,
    /// Newer versions that other instances reported, and the time of the last report.
    reports: Vec<(u64, Instant)>,
    /// A version that is being transferred to this or another instance.
    transfer: Option<Transfer>,
    contact: Contact,
    /// Whether there are other instances that could serve requests.
    has_peers: bool,
}

impl Freshness {
    /// Returns the state of an instance without a version and without peers.
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

    /// Records a version that the store was observed to hold.
    ///
    /// Once a higher version was observed, late observations do not count as evidence that a lower
    /// one is the newest.
    pub fn observe(&mut self, seen: Observation) {
        self.report(seen.version, seen.at);
        let newest = self.observations.last().map_or(0, |newest| newest.version);
        let place = self
            .observations
            .binary_search_by_key(&seen.version, |known| known.version);
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

    /// Records that the store or another instance has this version.
    ///
    /// An observation that waited unread may be too old to verify a version, but it still shows
    /// that there is a newer one.
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
        let is_newer = |known: Transfer| (above, at) > (known.above, known.at);
        if self.transfer.is_none_or(is_newer) {
            self.transfer = Some(Transfer { above, at });
        }
    }

    /// Records that a read of the store that began at this moment is complete. Transfers that were
    /// reported before have either delivered their version by then or had none.
    pub fn confirm_read(&mut self, begun: Instant) {
        self.transfer = self.transfer.filter(|transfer| transfer.at > begun);
    }

    /// Returns whether a version above the one in force is being transferred.
    fn is_transfer_recent(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) <= TRANSFER_TTL;
        let transfer = self
            .transfer
            .filter(|transfer| transfer.above >= self.current);
        transfer.is_some_and(|transfer| is_recent(transfer.at))
    }

    /// Sets the version in force.
    pub fn set_current(&mut self, version: u64) {
        self.current = version;
        self.reports.retain(|known| known.0 > version);
    }

    /// Records a contact with the store or another instance.
    pub fn record_contact(&mut self, now: Instant) {
        self.contact.record(now);
    }

    /// Sets whether there are other instances, reachable or not, that have not announced that they
    /// leave.
    pub const fn set_has_peers(&mut self, has_peers: bool) {
        self.has_peers = has_peers;
    }

    /// Returns a lower bound of the newest version's number.
    pub fn newest(&self, now: Instant) -> u64 {
        let observed = self.observations.last().map_or(0, |newest| newest.version);
        let reported = self.reports.iter().map(|known| known.0).max();
        let begun = self.current + u64::from(self.is_transfer_recent(now));
        observed.max(begun).max(reported.unwrap_or_default())
    }

    /// Returns a revision of the store at which the version in force was the newest one; a watch
    /// from there reports each later version.
    pub fn revision(&self) -> Option<u64> {
        let revision = self.verified().map(|verified| verified.revision);
        revision.filter(|revision| *revision > 0)
    }

    /// Returns when the version in force was last known to be the newest one; `None` if it never
    /// was.
    pub fn verified_at(&self) -> Option<Instant> {
        // When an older version was the newest one, no version newer than the one in force can have
        // been acknowledged.
        let known = self
            .observations
            .iter()
            .filter(|seen| seen.version <= self.current);
        known.map(|seen| seen.at).max()
    }

    /// Returns how long ago the version in force was last known to be the newest one; `None` if it
    /// never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = self.verified_at()?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the reason for which the version in force must not be used; `None` if it may be
    /// used. The limit is the time for which a superseded version may stay in force.
    pub fn stale(&self, limit: Duration, now: Instant) -> Option<Stale> {
        if self.has_peers && !self.contact.is_within(limit, now) {
            return Some(Stale::Isolated);
        }
        if self.age(now).is_some_and(|age| age <= limit) {
            return None;
        }
        // Reports that are not repeated are ignored: the sender may have died with the only copy of
        // the version while the store is unavailable.
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

    /// Returns when the changes that were missed without contact will have been reported; `None` if
    /// they have been.
    pub fn current_at(&self, limit: Duration, now: Instant) -> Option<Instant> {
        let current = self.contact.current_at(limit, now);
        current.filter(|_| self.has_peers)
    }

    fn verified(&self) -> Option<&Observation> {
        self.observations
            .iter()
            .find(|seen| seen.version == self.current)
    }
}
