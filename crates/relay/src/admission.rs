//! Whether a stream can still be served.

use std::time::Duration;

use celerypond_types::TargetKey;
use tokio::time::Instant;

use crate::{selection::rendezvous_rank, PromptLocation, PromptPart, Target, TargetQuery, Targets};

/// What a stream asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRequest {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// The last event that its caller has; zero where it has none.
    pub last_event: u64,
    /// The time left.
    pub time_left: Duration,
}

/// The least time that a stream needs, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeNeeded {
    /// Until its first event.
    pub read: Duration,
    /// From there to its end.
    pub run: Duration,
}

impl TimeNeeded {
    /// Returns whether the stream can be whole within a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::TimeNeeded;
    ///
    /// let needs = TimeNeeded { read: Duration::from_millis(1_200), run: Duration::from_millis(2_500) };
    /// assert!(needs.fits_within(Duration::from_secs(4)));
    /// assert!(!needs.fits_within(Duration::from_secs(3)));
    /// ```
    pub fn fits_within(&self, left: Duration) -> bool {
        self.read + self.run <= left
    }
}

/// What an engine reported to hold of a prompt part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldPart {
    target: u64,
    tokens: u64,
    at: Instant,
}

impl HeldPart {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < HELD_PART_TTL
    }

    fn is_whole(&self, part: PromptPart, now: Instant) -> bool {
        self.is_fresh(now) && self.tokens as f64 >= part.tokens as f64 * WHOLE_PART_SHARE
    }
}

/// How long a report of an engine is valid. It evicts what was used least recently.
const HELD_PART_TTL: Duration = Duration::from_secs(3);
/// The part of a prompt's tokens that makes it as good as read.
const WHOLE_PART_SHARE: f64 = 0.9;
/// The most engines that are asked for one prompt. A prompt is read at one of the first dozen in its order,
/// unless more engines than that are lost or full.
const MAX_QUERIED_ENGINES: usize = 16;
/// How long a report of what an engine holds is valid.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

impl Targets {
    /// Returns the engines to be asked whether they hold a prompt: the first in its order, but for those
    /// that were asked a moment ago, and takes them for asked.
    ///
    /// The load it answers: all instances lose their power at once, and with it what they knew of where
    /// prompts were read. The engines still hold them. Callers come back when there is no time to read
    /// them again, though enough to go on.
    pub fn engines_to_query(&mut self, want: &TargetQuery<'_>, now: Instant) -> Vec<TargetKey> {
        let affinity = want.affinity.unwrap_or_default();
        let engines = self.iter().filter(|(key, target)| {
            let is_asked = |at: Instant| now.saturating_duration_since(at) < QUERY_INTERVAL;
            target.entry.service == *want.service
                && self.is_usable(*key)
                && !target.is_avoided(now)
                && !target.last_queried.is_some_and(is_asked)
        });
        let ranked = engines.map(|(key, target)| (rendezvous_rank(affinity, target), key));
        let mut ranked: Vec<(u64, TargetKey)> = ranked.collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_QUERIED_ENGINES);
        let keys: Vec<TargetKey> = ranked.into_iter().map(|(_, key)| key).collect();
        for key in &keys {
            if let Some(target) = self.get_mut(*key) {
                target.last_queried = Some(now);
            }
        }
        keys
    }

    /// Takes in which prompt parts an engine holds.
    pub fn record_held_parts(&mut self, key: TargetKey, parts: &[PromptPart], now: Instant) {
        let Some(target) = self.get(key).map(|target| target.name_hash) else {
            return;
        };
        for part in parts {
            let held = HeldPart {
                target,
                tokens: part.tokens,
                at: now,
            };
            let known = self.held_parts.entry(part.id).or_insert(held);
            if known.tokens < held.tokens || known.at < now {
                *known = held;
            }
        }
    }

    /// Takes the engine that holds nearly all of a prompt part, if one reported so, for the one that has read
    /// it; returns whether there is one. Engines drop parts piece by piece.
    pub fn locate_part(&mut self, part: PromptPart, now: Instant) -> bool {
        if self.holder(part.id, now).is_some() {
            return true;
        }
        let held = self.held_parts.get(&part.id).copied();
        let Some(held) = held.filter(|held| held.is_whole(part, now)) else {
            return false;
        };
        let note = PromptLocation {
            part: part.id,
            target: held.target,
        };
        self.merge_prompt_locations(&[note], now);
        true
    }

    pub(crate) fn sweep_held_parts(&mut self, now: Instant) {
        self.held_parts.retain(|_, held| held.is_fresh(now));
    }

    /// Returns the least time that a stream needs; nothing where too little is known.
    ///
    /// The load it answers: all instances lose their power, callers notice after most of their time, and
    /// ask again with a few seconds left. Their prompts are read for a second and more, the answers are cut
    /// at the deadline, and all streams beside them are held up. Each figure here errs to the side of the
    /// caller: the fastest engine, a short answer, no other prompt before this one, and no reading at all
    /// where an engine has read the prompt.
    pub fn time_needed(
        &self,
        want: &TargetQuery<'_>,
        asks: &StreamRequest,
        now: Instant,
    ) -> Option<TimeNeeded> {
        let events = self
            .history
            .min_events_left(want.service, asks.last_event)?;
        let of_service = self
            .iter()
            .filter(|(_, target)| target.entry.service == *want.service);
        let pace = |(_, target): (_, &Target)| self.event_times().get(target.address_hash);
        let fastest = of_service.filter_map(pace).min_by(f32::total_cmp)?;
        let is_read = want
            .affinity
            .is_some_and(|part| self.holder(part, now).is_some());
        let read_ms = match is_read {
            true => 0.0,
            false => asks.prompt_tokens as f64 / self.history.read_rate(want.service)?,
        };
        let run_ms = events * f64::from(fastest);
        Some(TimeNeeded {
            read: Duration::from_secs_f64(read_ms / 1_000.0),
            run: Duration::from_secs_f64(run_ms / 1_000.0),
        })
    }
}
