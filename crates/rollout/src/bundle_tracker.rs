//! The bundle in force on one instance; its revision never decreases.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, InstanceName, Revision};
use rand::Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::record::BundleHeader;

/// Timeout of a request for a bundle before another source is asked.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean time between two polls of an instance that does not watch the store.
pub const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Source of a header or of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The object API.
    Store,
    /// Another instance.
    Peer(InstanceName),
}

/// Why a bundle is not accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AcceptError {
    /// The bundle does not have the requested digest.
    #[error("the bundle has digest {found} instead of {wanted}")]
    DigestMismatch {
        /// Requested digest.
        wanted: Digest,
        /// Digest of the bundle.
        found: Digest,
    },
    /// No bundle is requested, for example because the same bundle arrived before.
    #[error("the bundle is not requested any more")]
    NotRequested,
}

/// The bundle in force on one instance, and the newer one that it is fetching.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{BundleHeader, BundleTracker, Source};
/// use celerypond_types::{Digest, Revision};
///
/// let header = |revision| BundleHeader {
///     revision: Revision(revision),
///     digest: Digest::of(b""),
///     parts: Default::default(),
/// };
/// let mut tracker = BundleTracker::default();
/// assert!(tracker.note_header(header(5), Source::Store));
/// // A stale read or a lagging peer changes nothing.
/// assert!(!tracker.note_header(header(4), Source::Store));
/// ```
#[derive(Clone, Debug, Default)]
pub struct BundleTracker {
    active: Option<(BundleHeader, Arc<Bundle>)>,
    pending: Option<PendingFetch>,
    poll_at: Option<Instant>,
    answered: BTreeSet<Source>,
}

#[derive(Clone, Debug)]
struct PendingFetch {
    header: BundleHeader,
    peer: Option<InstanceName>,
    requested_at: Option<Instant>,
    attempts: u32,
}

impl BundleTracker {
    /// Records a header; returns whether its revision is higher than all known ones.
    ///
    /// Lower revisions are ignored whatever the source: after a stale read, from a peer that was
    /// isolated or after a restart during an outage, an older bundle may be announced, which must
    /// never come back into force.
    pub fn note_header(&mut self, header: BundleHeader, source: Source) -> bool {
        if header.revision <= self.newest_revision() {
            return false;
        }
        let same = self
            .active
            .take_if(|(active, _)| active.digest == header.digest);
        if let Some((_, bundle)) = same {
            self.active = Some((header, bundle));
            self.pending = None;
            return true;
        }
        let peer = match source {
            Source::Peer(peer) => Some(peer),
            Source::Store => None,
        };
        self.pending = Some(PendingFetch {
            header,
            peer,
            requested_at: None,
            attempts: 0,
        });
        true
    }

    /// Records that a source has answered with its newest bundle since the start of the instance.
    pub fn mark_answered(&mut self, source: Source) {
        self.answered.insert(source);
    }

    /// Returns whether a starting instance may serve requests.
    ///
    /// Before its restart it may have served a revision that some peers don't know yet. If it
    /// relied on the first peer that answers, its callers would see an older revision again. The
    /// store knows the newest one; while it is down, the answers of all reachable peers are the
    /// best available.
    pub fn is_ready(&self, peers: &[InstanceName]) -> bool {
        let is_current = self.active.is_some() && self.pending.is_none();
        let all_answered = |peers: &[InstanceName]| {
            let mut sources = peers.iter().cloned().map(Source::Peer);
            !peers.is_empty() && sources.all(|source| self.answered.contains(&source))
        };
        is_current && (self.answered.contains(&Source::Store) || all_answered(peers))
    }

    /// Returns the source to request the pending bundle from now, if any.
    ///
    /// The peer that announced the bundle is asked first, then the store and random `peers` by
    /// turns. So neither an outage of the store nor a crash of the peer prevents the fetch.
    pub fn next_fetch(
        &mut self,
        now: Instant,
        peers: &[InstanceName],
        rng: &mut impl Rng,
    ) -> Option<(Source, Digest)> {
        let pending = self.pending.as_mut()?;
        let is_in_flight = |at: Instant| now.saturating_duration_since(at) < FETCH_TIMEOUT;
        if pending.requested_at.is_some_and(is_in_flight) {
            return None;
        }
        let is_peer_turn = pending.attempts % 2 == u32::from(pending.peer.is_none());
        pending.requested_at = Some(now);
        pending.attempts += 1;
        let digest = pending.header.digest;
        if !is_peer_turn {
            return Some((Source::Store, digest));
        }
        let announcer = pending.peer.take();
        let any_peer =
            || (!peers.is_empty()).then(|| peers[rng.random_range(0..peers.len())].clone());
        let source = announcer
            .or_else(any_peer)
            .map_or(Source::Store, Source::Peer);
        Some((source, digest))
    }

    /// Brings the pending bundle into force.
    pub fn accept_bundle(&mut self, bundle: Bundle) -> Result<Arc<Bundle>, AcceptError> {
        let pending = self.pending.take().ok_or(AcceptError::NotRequested)?;
        let found = bundle.digest();
        if found != pending.header.digest {
            // A wrong or damaged bundle must not come into force; the next source is asked at once.
            let error = AcceptError::DigestMismatch {
                wanted: pending.header.digest,
                found,
            };
            self.pending = Some(PendingFetch {
                requested_at: None,
                ..pending
            });
            return Err(error);
        }
        let bundle = Arc::new(bundle);
        self.active = Some((pending.header, bundle.clone()));
        Ok(bundle)
    }

    /// Returns whether a poll of the store is due, and schedules the next at a random interval.
    pub fn poll_due(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let is_due = self.poll_at.is_none_or(|at| at <= now);
        if is_due {
            self.poll_at = Some(now + POLL_INTERVAL.mul_f64(rng.random_range(0.5..1.5)));
        }
        is_due
    }

    /// Returns the bundle in force with its header.
    pub fn active(&self) -> Option<&(BundleHeader, Arc<Bundle>)> {
        self.active.as_ref()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        let revision = |(header, _): &(BundleHeader, _)| header.revision;
        self.active
            .as_ref()
            .map_or_else(Revision::default, revision)
    }

    /// Returns the newest known header, which is the one to announce to peers.
    pub fn newest_header(&self) -> Option<&BundleHeader> {
        let pending = self.pending.as_ref().map(|pending| &pending.header);
        pending.or(self.active.as_ref().map(|(header, _)| header))
    }

    fn newest_revision(&self) -> Revision {
        self.newest_header()
            .map_or_else(Revision::default, |header| header.revision)
    }
}
