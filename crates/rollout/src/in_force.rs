//! The bundle that one instance has in force, whose revision only rises.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, InstanceName, Revision};
use rand::Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::record::Headline;

/// How long a request for a body may take before another source is asked.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(500);
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
    Digest {
        /// The digest that the store names.
        wanted: Digest,
        /// The digest of the body.
        found: Digest,
    },
    /// No body was wanted.
    #[error("the body is not wanted any more")]
    Unwanted,
}

/// The bundle that one instance has in force, and the newer one that it wants.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{Headline, InForce, Source};
/// use celerypond_types::{Digest, Revision};
///
/// let headline = |revision| Headline {
///     revision: Revision(revision),
///     digest: Digest::of(b""),
///     parts: Default::default(),
/// };
/// let mut in_force = InForce::default();
/// assert!(in_force.hear(headline(5), Source::Store));
/// // A stale read, or a peer that lags, changes nothing.
/// assert!(!in_force.hear(headline(4), Source::Store));
/// ```
#[derive(Clone, Debug, Default)]
pub struct InForce {
    held: Option<(Headline, Arc<Bundle>)>,
    wanted: Option<Wanted>,
    poll_at: Option<Instant>,
    answers: BTreeSet<Source>,
}

#[derive(Clone, Debug)]
struct Wanted {
    headline: Headline,
    peer: Option<InstanceName>,
    asked_at: Option<Instant>,
    asks: u32,
}

impl InForce {
    /// Takes note of a bundle; returns whether it is newer than all heard of.
    ///
    /// The revision is merged by maximum, whatever the source: a stale read, a peer that was cut off
    /// or a restart during an outage can name an older bundle, which must never come back in force.
    pub fn hear(&mut self, headline: Headline, source: Source) -> bool {
        if headline.revision <= self.heard() {
            return false;
        }
        let same = self
            .held
            .take_if(|(held, _)| held.digest == headline.digest);
        if let Some((_, bundle)) = same {
            self.held = Some((headline, bundle));
            self.wanted = None;
            return true;
        }
        let peer = match source {
            Source::Peer(peer) => Some(peer),
            Source::Store => None,
        };
        self.wanted = Some(Wanted {
            headline,
            peer,
            asked_at: None,
            asks: 0,
        });
        true
    }

    /// Takes note that a source was asked since the start and has told all it knows.
    pub fn answered(&mut self, source: Source) {
        self.answers.insert(source);
    }

    /// Returns whether a starting instance knows enough to serve.
    ///
    /// Before its restart it may have served a revision that some peers have not heard of yet. If it
    /// served on the word of the first peer, its callers would see that revision revert. The store
    /// knows the newest; while it is down, all reachable peers together know as much as can be known.
    pub fn is_settled(&self, peers: &[InstanceName]) -> bool {
        let is_held = self.held.is_some() && self.wanted.is_none();
        let all = |peers: &[InstanceName]| {
            let mut sources = peers.iter().cloned().map(Source::Peer);
            !peers.is_empty() && sources.all(|source| self.answers.contains(&source))
        };
        is_held && (self.answers.contains(&Source::Store) || all(peers))
    }

    /// Returns whom to ask for the wanted body now, if anyone.
    ///
    /// The peer that told of the bundle comes first and then in turn with the store, so that neither
    /// an outage of the store nor the death of the peer keeps the bundle away. `peers` stand in for
    /// a peer that is gone.
    pub fn ask(
        &mut self,
        now: Instant,
        peers: &[InstanceName],
        rng: &mut impl Rng,
    ) -> Option<(Source, Digest)> {
        let wanted = self.wanted.as_mut()?;
        let is_open = |at: Instant| now.saturating_duration_since(at) < ASK_TIMEOUT;
        if wanted.asked_at.is_some_and(is_open) {
            return None;
        }
        let is_peer_turn = wanted.asks % 2 == u32::from(wanted.peer.is_none());
        wanted.asked_at = Some(now);
        wanted.asks += 1;
        let digest = wanted.headline.digest;
        if !is_peer_turn {
            return Some((Source::Store, digest));
        }
        let first = wanted.peer.take();
        let any = || (!peers.is_empty()).then(|| peers[rng.random_range(0..peers.len())].clone());
        let source = first.or_else(any).map_or(Source::Store, Source::Peer);
        Some((source, digest))
    }

    /// Takes a body; returns the bundle that is in force from now on.
    pub fn take(&mut self, bundle: Bundle) -> Result<Arc<Bundle>, BodyError> {
        let wanted = self.wanted.take().ok_or(BodyError::Unwanted)?;
        let found = bundle.digest();
        if found != wanted.headline.digest {
            // A damaged or mistaken body must not come into force; the next source is asked at once.
            let error = BodyError::Digest {
                wanted: wanted.headline.digest,
                found,
            };
            self.wanted = Some(Wanted {
                asked_at: None,
                ..wanted
            });
            return Err(error);
        }
        let bundle = Arc::new(bundle);
        self.held = Some((wanted.headline, bundle.clone()));
        Ok(bundle)
    }

    /// Returns whether to poll the store now; the times between polls are random.
    pub fn poll(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let is_due = self.poll_at.is_none_or(|at| at <= now);
        if is_due {
            self.poll_at = Some(now + POLL_INTERVAL.mul_f64(rng.random_range(0.5..1.5)));
        }
        is_due
    }

    /// Returns the bundle in force with its headline.
    pub fn held(&self) -> Option<&(Headline, Arc<Bundle>)> {
        self.held.as_ref()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        let revision = |(headline, _): &(Headline, _)| headline.revision;
        self.held.as_ref().map_or_else(Revision::default, revision)
    }

    /// Returns the newest headline heard of, which is what to tell peers.
    pub fn newest(&self) -> Option<&Headline> {
        let wanted = self.wanted.as_ref().map(|wanted| &wanted.headline);
        wanted.or(self.held.as_ref().map(|(headline, _)| headline))
    }

    fn heard(&self) -> Revision {
        self.newest()
            .map_or_else(Revision::default, |headline| headline.revision)
    }
}
