//! What this instance knows of a target.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Ended, Load, Presence, TargetEntry};

/// How long a target is avoided after its first failure; it doubles with each further one. A
/// restart takes about a second, and a target that only dropped a connection is back at once.
const AVOID: Duration = Duration::from_millis(400);
/// The longest time for which a target is avoided.
const AVOID_MOST: Duration = Duration::from_secs(4);
/// How long a load that a target reported is believed.
const LOAD_FRESH: Duration = Duration::from_millis(500);

/// What this instance knows of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it says of itself.
    pub entry: TargetEntry,
    /// Requests of this instance that are open at it.
    pub open: u32,
    /// The hash of its name, by which instances name it to each other.
    pub hash: u64,
    /// Tokens of this instance's prompts that it is reading.
    pub reading: u64,
    /// Tokens of this instance's streams in its memory, at most.
    pub tokens: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it is avoided.
    pub avoid: Option<Instant>,
    load: Option<(Load, Instant)>,
}

impl Target {
    /// Makes a target of which nothing else is known.
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            hash: celerypond_route::hash(entry.name.as_str().as_bytes()),
            entry,
            open: 0,
            reading: 0,
            tokens: 0,
            failures: 0,
            avoid: None,
            load: None,
        }
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
    pub fn ended(&mut self, ended: Ended, now: Instant) {
        if !ended.suspects() {
            return;
        }
        self.failures += 1;
        let times = 1 << self.failures.min(4).saturating_sub(1);
        self.avoid = Some(now + (AVOID * times).min(AVOID_MOST));
    }

    /// Takes in a sign of life.
    pub fn answered(&mut self, load: Option<Load>, now: Instant) {
        self.failures = 0;
        self.avoid = None;
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
