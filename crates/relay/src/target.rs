//! What this instance knows of a target.

use std::time::Duration;

use tokio::time::Instant;

use crate::{AttemptFailure, Load, Presence, TargetEntry};

/// How long a target is avoided after a connection to it broke; it doubles with each further
/// failure. Connections are reset for other reasons than a target's death as well.
const AVOID: Duration = Duration::from_millis(400);
/// How long a target is avoided that takes no connection. A restart takes about a second, and then
/// comes back under another name.
const AVOID_DEAD: Duration = Duration::from_millis(1_500);
/// The longest time for which a target is avoided.
const AVOID_MOST: Duration = Duration::from_secs(4);
/// How long a load that a target reported is believed.
const LOAD_FRESH: Duration = Duration::from_millis(500);

/// That a target is used although the store does not list it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unlisted {
    /// When it last answered an instance.
    pub(crate) seen: Instant,
    /// Since when the store's list is known to lack it; nothing where the list is older than `seen`.
    pub(crate) absent: Option<Instant>,
}

/// What this instance knows of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it says of itself.
    pub entry: TargetEntry,
    /// Requests of this instance that are open at it.
    pub open: u32,
    /// The hash of its name, by which instances name it to each other.
    pub hash: u64,
    /// The hash of its address, by which instances order engines for a prompt.
    pub spot: u64,
    /// Prompts of this instance that it is reading.
    pub prompts: u32,
    /// Tokens of these prompts.
    pub reading: u64,
    /// Tokens of this instance's streams in its memory, at most.
    pub tokens: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it is avoided.
    pub avoid: Option<Instant>,
    /// Whether it took no connection when it was last tried.
    pub is_dead: bool,
    /// When it was found dead, here or by another instance.
    pub died: Option<Instant>,
    /// When it last took no connection of this instance.
    pub found_dead: Option<Instant>,
    /// Set while the store does not list it and it is used since it answered under its name.
    pub(crate) unlisted: Option<Unlisted>,
    /// Whether no later target has taken its address over.
    pub(crate) owns_address: bool,
    /// Whether its entry is missing after the store's return.
    pub is_missing: bool,
    /// When it was last asked which prompt parts it holds.
    pub(crate) listed: Option<Instant>,
    load: Option<(Load, Instant)>,
}

impl Target {
    /// Makes a target of which nothing else is known.
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            hash: celerypond_route::hash(entry.name.as_str().as_bytes()),
            spot: celerypond_route::hash(entry.address.to_string().as_bytes()),
            entry,
            open: 0,
            prompts: 0,
            reading: 0,
            tokens: 0,
            failures: 0,
            avoid: None,
            is_dead: false,
            died: None,
            found_dead: None,
            unlisted: None,
            owns_address: false,
            is_missing: false,
            listed: None,
            load: None,
        }
    }

    /// Returns the hash of its service's name, by which instances name services to each other.
    pub(crate) fn service_hash(&self) -> u64 {
        celerypond_route::hash(self.entry.service.as_str().as_bytes())
    }

    /// Returns whether new work may go to it.
    pub fn is_ready(&self) -> bool {
        self.entry.presence == Presence::Ready
    }

    /// Returns whether it is avoided after failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid.is_some_and(|until| until > now)
    }

    /// Takes in how an attempt ended.
    pub fn ended(&mut self, ended: AttemptFailure, now: Instant) {
        if !ended.suspects() {
            return;
        }
        self.failures += 1;
        self.is_dead |= matches!(ended, AttemptFailure::Unsent | AttemptFailure::Dead);
        if self.is_dead {
            self.died.get_or_insert(now);
            self.found_dead = Some(now);
        }
        let base = if self.is_dead { AVOID_DEAD } else { AVOID };
        let times = 1 << self.failures.min(4).saturating_sub(1);
        self.avoid_until(now + (base * times).min(AVOID_MOST));
    }

    /// Takes in that another instance found it dead.
    ///
    /// The failure: an engine dies, and each instance finds out by a stream that it sends there, or
    /// by a copy that is not there when it is needed.
    pub fn told_dead(&mut self, now: Instant) {
        self.died.get_or_insert(now);
        self.avoid_until(now + AVOID_DEAD);
    }

    fn avoid_until(&mut self, until: Instant) {
        self.avoid = self.avoid.max(Some(until));
    }

    /// Takes in a sign of life.
    pub fn answered(&mut self, load: Option<Load>, now: Instant) {
        self.failures = 0;
        self.avoid = None;
        self.is_dead = false;
        self.died = None;
        if let Some(load) = load {
            self.load = Some((load, now));
        }
    }

    /// Returns the share of its slots that are taken, by what it said last and what this instance
    /// has open there.
    pub fn fullness(&self, now: Instant) -> f64 {
        let reported = self
            .load
            .filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_FRESH)
            .map_or(0, |(load, _)| load.running + load.waiting);
        let slots = self.entry.slots.max(1);
        f64::from(reported.max(self.open)) / f64::from(slots)
    }
}
