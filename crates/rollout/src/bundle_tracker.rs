//! The bundle that one instance has in force, whose revision only rises.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, InstanceName, Revision};
use rand::Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::record::BundleHeader;

/// How long a request for a body may take before another source is asked.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// The mean time between two polls of an instance that holds no watch.
pub const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Where an instance heard of a bundle, or asks for its body.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The object API.
    Store,
    /// Another instance.
    Peer(InstanceName),
}

/// A body is not taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is not the one that the digest is of.
    #[error("the body has digest {found}, not {wanted}")]
    DigestMismatch {
        /// The digest that the store names.
        wanted: Digest,
        /// The digest of the body.
        found: Digest,
    },
    /// No body was wanted.
    #[error("the body is not wanted any more")]
    NotRequested,
}

/// The bundle that one instance has in force, and the newer one that it wants.
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
/// // A stale read, or a peer that lags, changes nothing.
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
    /// Takes note of a bundle; returns whether it is newer than all heard of.
    ///
    /// The revision is merged by maximum, whatever the source: a stale read, a peer that was cut off
    /// or a restart during an outage can name an older bundle, which must never come back in force.
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

    /// Takes note that a source was asked since the start and has told all it knows.
    pub fn mark_answered(&mut self, source: Source) {
        self.answered.insert(source);
    }

    /// Returns whether a starting instance knows enough to serve.
    ///
    /// Before its restart it may have served a revision that some peers have not heard of yet. If it
    /// served on the word of the first peer, its callers would see that revision revert. The store
    /// knows the newest; while it is down, all reachable peers together know as much as can be known.
    pub fn is_ready(&self, peers: &[InstanceName]) -> bool {
        let is_current = self.active.is_some() && self.pending.is_none();
        let all_answered = |peers: &[InstanceName]| {
            let mut sources = peers.iter().cloned().map(Source::Peer);
            !peers.is_empty() && sources.all(|source| self.answered.contains(&source))
        };
        is_current && (self.answered.contains(&Source::Store) || all_answered(peers))
    }

    /// Returns whom to ask for the wanted body now, if anyone.
    ///
    /// The peer that told of the bundle comes first and then in turn with the store, so that neither
    /// an outage of the store nor the death of the peer keeps the bundle away. `peers` stand in for
    /// a peer that is gone.
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

    /// Takes a body; returns the bundle that is in force from now on.
    pub fn accept_bundle(&mut self, bundle: Bundle) -> Result<Arc<Bundle>, BodyError> {
        let pending = self.pending.take().ok_or(BodyError::NotRequested)?;
        let found = bundle.digest();
        if found != pending.header.digest {
            // A damaged or mistaken body must not come into force; the next source is asked at once.
            let error = BodyError::DigestMismatch {
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

    /// Returns whether to poll the store now; the times between polls are random.
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

    /// Returns the newest header heard of, which is what to tell peers.
    pub fn newest_header(&self) -> Option<&BundleHeader> {
        let pending = self.pending.as_ref().map(|pending| &pending.header);
        pending.or(self.active.as_ref().map(|(header, _)| header))
    }

    fn newest_revision(&self) -> Revision {
        self.newest_header()
            .map_or_else(Revision::default, |header| header.revision)
    }
}
