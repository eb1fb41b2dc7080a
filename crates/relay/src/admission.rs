//! Admission of streams: whether the time left of a caller can suffice.

use std::time::Duration;

use celerypond_types::TargetKey;
use tokio::time::Instant;

use crate::{selection::rendezvous_rank, PromptLocation, PromptPart, Target, TargetQuery, Targets};

/// The properties of a stream on which its admission depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRequest {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// The last event that the caller has received; zero if none.
    pub last_event: u64,
    /// The time until the caller's deadline.
    pub time_left: Duration,
}

/// A lower bound of the time that a stream needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeNeeded {
    /// Until its first event.
    pub read: Duration,
    /// From its first event to its end.
    pub run: Duration,
}

impl TimeNeeded {
    /// Returns whether the stream can complete within a time.
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

/// A prompt part that an engine reported to have in its cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldPart {
    target_hash: u64,
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

/// How long a report of an engine's cache is valid. Engines evict the least recently used parts.
const HELD_PART_TTL: Duration = Duration::from_secs(3);
/// The share of a prompt part's tokens from which it counts as cached.
const WHOLE_PART_SHARE: f64 = 0.9;
/// The maximum number of engines that are queried for one prompt. A prompt is read by one of the
/// first dozen engines in its order of preference, unless more engines than that are lost or full.
const MAX_QUERIED_ENGINES: usize = 16;
/// How long an engine that was queried for its cached parts is not queried again.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

impl Targets {
    /// Returns the engines to query for a prompt, and records them as queried. These are the most
    /// preferred engines for the prompt, without those that were queried within the last second.
    ///
    /// If all instances lose power at once, they no longer know which engine has read which prompt,
    /// but the engines still hold the prompts in their caches. Callers then come back with too
    /// little time for reading the prompt again, but with enough to continue from the cache.
    pub fn engines_to_query(&mut self, query: &TargetQuery<'_>, now: Instant) -> Vec<TargetKey> {
        let affinity = query.affinity.unwrap_or_default();
        let engines = self.iter().filter(|(key, target)| {
            let was_queried = |at: Instant| now.saturating_duration_since(at) < QUERY_INTERVAL;
            target.entry.service == *query.service
                && self.accepts_work(*key, now)
                && !target.is_avoided(now)
                && !target.last_queried.is_some_and(was_queried)
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

    /// Records which prompt parts an engine holds.
    pub fn record_held_parts(&mut self, key: TargetKey, parts: &[PromptPart], now: Instant) {
        let Some(target) = self.get(key).map(|target| target.name_hash) else {
            return;
        };
        for part in parts {
            let held = HeldPart {
                target_hash: target,
                tokens: part.tokens,
                at: now,
            };
            let known = self.held_parts.entry(part.id).or_insert(held);
            if known.tokens < held.tokens || known.at < now {
                *known = held;
            }
        }
    }

    /// Returns whether an engine is known to hold nearly all of a prompt part. If this is known
    /// from a report of the engine only, it is recorded as the part's location. Engines evict parts
    /// piecemeal.
    pub fn locate_part(&mut self, part: PromptPart, now: Instant) -> bool {
        if self.holder(part.id, now).is_some() {
            return true;
        }
        let held = self.held_parts.get(&part.id).copied();
        let Some(held) = held.filter(|held| held.is_whole(part, now)) else {
            return false;
        };
        let location = PromptLocation {
            part: part.id,
            target_hash: held.target_hash,
        };
        self.merge_prompt_locations(&[location], now);
        true
    }

    pub(crate) fn sweep_held_parts(&mut self, now: Instant) {
        self.held_parts.retain(|_, held| held.is_fresh(now));
    }

    /// Returns the minimum time that a stream needs; `None` if too little is known.
    ///
    /// If all instances lose power, callers notice late and retry with a few seconds left. Reading
    /// their prompts takes more than a second, the responses are cut off at the deadline, and all
    /// other streams on the same engines are delayed. Such retries are refused up front. Each
    /// figure errs in favour of the caller: the fastest engine, a short response, no queued
    /// prompts, and no time for reading if an engine has already read the prompt.
    pub fn time_needed(
        &self,
        query: &TargetQuery<'_>,
        request: &StreamRequest,
        now: Instant,
    ) -> Option<TimeNeeded> {
        let events = self
            .history
            .min_events_left(query.service, request.last_event)?;
        let of_service = self
            .iter()
            .filter(|(_, target)| target.entry.service == *query.service);
        let pace = |(_, target): (_, &Target)| self.event_times().get(target.address_hash);
        let fastest = of_service.filter_map(pace).min_by(f32::total_cmp)?;
        let is_read = query
            .affinity
            .is_some_and(|part| self.holder(part, now).is_some());
        let read_ms = match is_read {
            true => 0.0,
            false => request.prompt_tokens as f64 / self.history.read_rate(query.service)?,
        };
        let run_ms = events * f64::from(fastest);
        Some(TimeNeeded {
            read: Duration::from_secs_f64(read_ms / 1_000.0),
            run: Duration::from_secs_f64(run_ms / 1_000.0),
        })
    }
}
