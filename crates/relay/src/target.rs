//! What this instance knows of a target.

use std::time::Duration;

use tokio::time::Instant;

use crate::{AttemptFailure, Load, Presence, TargetEntry};

/// How long a target is avoided after a connection to it broke; it doubles with each further
/// failure. Connections are reset for other reasons than a target's death as well.
const AVOID_TIME: Duration = Duration::from_millis(400);
/// How long a target is avoided that takes no connection. A restart takes about a second, and then
/// comes back under another name.
const DEAD_AVOID_TIME: Duration = Duration::from_millis(1_500);
/// The longest time for which a target is avoided.
const MAX_AVOID_TIME: Duration = Duration::from_secs(4);
/// How long a load that a target reported is believed.
const LOAD_TTL: Duration = Duration::from_millis(500);

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
    pub open_requests: u32,
    /// The hash of its name, by which instances name it to each other.
    pub name_hash: u64,
    /// The hash of its address, by which instances order engines for a prompt.
    pub address_hash: u64,
    /// Prompts of this instance that it is reading.
    pub reading_prompts: u32,
    /// Tokens of these prompts.
    pub reading_tokens: u64,
    /// Tokens of this instance's streams in its memory, at most.
    pub stream_tokens: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it is avoided.
    pub avoided_until: Option<Instant>,
    /// Whether it took no connection when it was last tried.
    pub is_dead: bool,
    /// When it was found dead, here or by another instance.
    pub dead_since: Option<Instant>,
    /// When it last took no connection of this instance.
    pub found_dead_at: Option<Instant>,
    /// Set while the store does not list it and it is used since it answered under its name.
    pub(crate) unlisted: Option<Unlisted>,
    /// Whether no later target has taken its address over.
    pub(crate) owns_address: bool,
    /// Whether its entry is missing after the store's return.
    pub is_missing: bool,
    /// When it was last asked which prompt parts it holds.
    pub(crate) last_queried: Option<Instant>,
    load: Option<(Load, Instant)>,
}

impl Target {
    /// Makes a target of which nothing else is known.
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            name_hash: celerypond_route::hash(entry.name.as_str().as_bytes()),
            address_hash: celerypond_route::hash(entry.address.to_string().as_bytes()),
            entry,
            open_requests: 0,
            reading_prompts: 0,
            reading_tokens: 0,
            stream_tokens: 0,
            failures: 0,
            avoided_until: None,
            is_dead: false,
            dead_since: None,
            found_dead_at: None,
            unlisted: None,
            owns_address: false,
            is_missing: false,
            last_queried: None,
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
        self.avoided_until.is_some_and(|until| until > now)
    }

    /// Takes in how an attempt ended.
    pub fn record_failure(&mut self, ended: AttemptFailure, now: Instant) {
        if !ended.suggests_target_down() {
            return;
        }
        self.failures += 1;
        self.is_dead |= matches!(ended, AttemptFailure::Unsent | AttemptFailure::Dead);
        if self.is_dead {
            self.dead_since.get_or_insert(now);
            self.found_dead_at = Some(now);
        }
        let base = if self.is_dead {
            DEAD_AVOID_TIME
        } else {
            AVOID_TIME
        };
        let times = 1 << self.failures.min(4).saturating_sub(1);
        self.avoid_until(now + (base * times).min(MAX_AVOID_TIME));
    }

    /// Takes in that another instance found it dead.
    ///
    /// The failure: an engine dies, and each instance finds out by a stream that it sends there, or
    /// by a copy that is not there when it is needed.
    pub fn record_peer_failure(&mut self, now: Instant) {
        self.dead_since.get_or_insert(now);
        self.avoid_until(now + DEAD_AVOID_TIME);
    }

    fn avoid_until(&mut self, until: Instant) {
        self.avoided_until = self.avoided_until.max(Some(until));
    }

    /// Takes in a sign of life.
    pub fn record_response(&mut self, load: Option<Load>, now: Instant) {
        self.failures = 0;
        self.avoided_until = None;
        self.is_dead = false;
        self.dead_since = None;
        if let Some(load) = load {
            self.load = Some((load, now));
        }
    }

    /// Returns the share of its slots that are taken, by what it said last and what this instance
    /// has open there.
    pub fn fullness(&self, now: Instant) -> f64 {
        let reported = self
            .load
            .filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_TTL)
            .map_or(0, |(load, _)| load.running + load.waiting);
        let slots = self.entry.slots.max(1);
        f64::from(reported.max(self.open_requests)) / f64::from(slots)
    }
}
