//! The room that engines have for streams of an urgency.

use std::time::Duration;

use celerypond_types::TargetKey;
use tokio::time::Instant;

use crate::{LevelUsage, Target, TargetQuery, Targets, Urgency};

/// The share of an engine's memory that streams below the first level leave free while other engines
/// have room. An urgent stream then finds room at once, where it would preempt a running stream that
/// has to be read again and pauses meanwhile. It is about the room of one stream.
const FREE_SHARE: f64 = 0.125;

/// One engine in this many gets streams of the first level only if no other accepts them.
///
/// Engines admit the most urgent first, so that others would not be served at all while urgent
/// streams wait everywhere. At these engines none do. Services with fewer engines than that keep
/// none, as one would be a larger share.
const KEPT_DIVISOR: u64 = 16;

/// The room that engines have for a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamRoom {
    /// The time until its first event at the engine that it would be sent to, without the callers
    /// that were put off.
    pub begins_in: Duration,
    /// The time for reading its own prompt at that engine.
    pub read: Duration,
    /// The number of callers that were put off before it, are at least as urgent, and have not
    /// returned.
    pub pending: u32,
    /// The number of such streams that the service's engines begin in a second; zero if none has room
    /// beside the more urgent.
    pub rate: f64,
}

/// Returns the share of an engine's memory that streams of an urgency may use
/// while other engines have room.
pub(crate) const fn usable_share(urgency: Urgency) -> f64 {
    match urgency.level() {
        0 => 1.0,
        _ => 1.0 - FREE_SHARE,
    }
}

/// Returns whether an engine is one of those that are kept for less urgent streams.
pub(crate) const fn is_kept(target: &Target) -> bool {
    target.address_hash.is_multiple_of(KEPT_DIVISOR)
}

/// What a stream takes of an engine.
struct Footprint {
    tokens: u64,
    /// The memory of an engine, in tokens.
    capacity: f64,
    read: Duration,
    /// The time from its first event to its end while no prompt is read; zero if no engine's pace was
    /// observed.
    run: Duration,
}

impl Footprint {
    /// Returns how many such streams fit into an engine alongside others. An engine without others
    /// takes any stream.
    fn fitting(&self, target: &Target, others: &LevelUsage) -> f64 {
        let free = (self.capacity - others.tokens as f64).max(0.0);
        let by_memory = (free / self.tokens.max(1) as f64).floor();
        let slots = target.entry.slots.max(1).saturating_sub(others.streams);
        let fitting = by_memory.min(f64::from(slots));
        match others.streams {
            0 => fitting.max(1.0),
            _ => fitting,
        }
    }

    /// Returns the time until enough streams have ended for one more.
    ///
    /// This is without the time for prompts that are read meanwhile, during which streams hardly
    /// advance. Half a run remains of the first one to end, on average.
    fn room_wait(&self, target: &Target, used: &LevelUsage) -> Duration {
        if used.streams == 0 {
            return Duration::ZERO;
        }
        let size = self.tokens.max(1) as f64;
        let lacking = (used.tokens as f64 + size - self.capacity) / size;
        let lacking_slots = f64::from(used.streams) + 1.0 - f64::from(target.entry.slots.max(1));
        let streams_to_end = lacking.max(lacking_slots).max(0.0).ceil();
        if streams_to_end <= 0.0 {
            return Duration::ZERO;
        }
        let fitting = self.fitting(target, &LevelUsage::default()).max(1.0);
        self.run.mul_f64(0.5 + (streams_to_end - 1.0) / fitting)
    }

    /// Returns the time between the ends of two such streams while prompts are waiting at an engine
    /// that also has others. Running streams hardly advance while a prompt is read.
    fn interval(&self, target: &Target, others: &LevelUsage) -> Duration {
        self.read + self.run.div_f64(self.fitting(target, others).max(1.0))
    }

    /// Returns the number of streams that an engine begins in a second alongside others.
    fn rate(&self, target: &Target, others: &LevelUsage) -> f64 {
        let interval = self.interval(target, others).as_secs_f64();
        let has_room = self.fitting(target, others) >= 1.0;
        f64::from(u8::from(has_room)) / interval.max(f64::EPSILON)
    }
}

impl Targets {
    /// Returns the time that a stream takes at a fast engine while no prompt is read; `None` if no
    /// engine's pace was observed.
    ///
    /// An instance that started shortly before a burst has seen no stream end, but other instances
    /// report the pace of engines, and the request limits the length of its response.
    fn run_time(
        &self,
        query: &TargetQuery<'_>,
        prompt: u64,
        event_tokens: Option<u32>,
    ) -> Option<Duration> {
        let paces = self.usable_targets(query.service);
        let paces = paces.filter_map(|(_, engine)| self.event_times().get(engine.address_hash));
        let event_ms = f64::from(paces.min_by(f32::total_cmp)?);
        let max_events = || {
            let output = query.tokens.saturating_sub(prompt);
            event_tokens.map(|tokens| output as f64 / f64::from(tokens.max(1)))
        };
        let events = self.history.typical_events_left(query.service, 0);
        let events = events.or_else(max_events)?;
        Some(Duration::from_secs_f64(events * event_ms / 1_000.0))
    }

    /// Returns whether engines of a service are kept from a request, for less urgent ones.
    pub(crate) fn keeps_engines(&self, query: &TargetQuery<'_>) -> bool {
        let is_first = query.urgency.is_some_and(|urgency| urgency.level() == 0);
        is_first && self.usable_targets(query.service).count() as u64 >= KEPT_DIVISOR
    }

    /// Returns the known number of tokens that a target has to read for prompts that are at least as
    /// urgent, or for all if there is no urgency.
    ///
    /// Prompts that are less urgent are read later, so that engines would seem to read faster than
    /// they do if those were counted.
    pub fn reading_before(&self, key: TargetKey, urgency: Option<Urgency>, now: Instant) -> u64 {
        let Some((urgency, target)) = urgency.zip(self.get(key)) else {
            return self.reading(key, now);
        };
        let usage = self.peer_usage(now);
        let others = usage.get(&target.name_hash);
        let others = others.map_or(0, |usage| usage.levels.up_to(urgency).reading_tokens);
        target.levels.up_to(urgency).reading_tokens + others
    }

    /// Estimates the room for a stream with an urgency and this number of prompt tokens, if it were
    /// sent to an engine now. Returns `None` if it has no urgency, if too little reading was observed,
    /// or if the engine failed recently: all others have then as well, their usage is old, and the
    /// stream waits for one that returns.
    ///
    /// In a burst of less urgent streams engines have little to read but no memory left: a prompt
    /// waits until others have ended. Only streams that are at least as urgent count, as the others
    /// yield. Streams of which no list has arrived do not count.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{TargetQuery, Targets, VersionChoice};
    /// use celerypond_types::{DataCentre, ServiceName, TargetKey};
    /// use tokio::time::Instant;
    ///
    /// let (service, data_centre) = (ServiceName::new("writer"), DataCentre::new("east"));
    /// let query = TargetQuery {
    ///     service: &service,
    ///     choice: &VersionChoice::Any,
    ///     local_data_centre: &data_centre,
    ///     tried: &[],
    ///     affinity: Some(7),
    ///     tie_breaker: 1,
    ///     tokens: 800,
    ///     prompt_tokens: 700,
    ///     aim: std::time::Duration::from_secs(4),
    ///     may_repeat: true,
    ///     is_late: false,
    ///     instances: 1,
    ///     capacity: Some(88_000),
    ///     max_backlog: None,
    ///     urgency: None,
    /// };
    /// let room = Targets::default().stream_room(TargetKey::default(), &query, 700, None, Instant::now());
    /// assert_eq!(room, None);
    /// ```
    pub fn stream_room(
        &self,
        key: TargetKey,
        query: &TargetQuery<'_>,
        prompt: u64,
        event_tokens: Option<u32>,
        now: Instant,
    ) -> Option<StreamRoom> {
        let (urgency, capacity) = (query.urgency?, query.capacity?);
        let target = self.get(key).filter(|target| !target.is_avoided(now))?;
        let tokens_per_ms = self.history.observed_rate(query.service)?;
        let time = |tokens: f64| Duration::from_secs_f64(tokens / tokens_per_ms / 1_000.0);
        let run = self.run_time(query, prompt, event_tokens);
        let read = time(prompt as f64);
        let footprint = Footprint {
            tokens: query.tokens,
            capacity: capacity as f64,
            read,
            run: run.unwrap_or_default(),
        };
        let peer_usage = self.peer_usage(now);
        let levels = |target: &Target| {
            let others = peer_usage.get(&target.name_hash).copied();
            target.levels.merged(&others.unwrap_or_default().levels)
        };
        let used = levels(target).up_to(urgency);
        // The tokens that are being read include those of the maximum response.
        let prompt_share = prompt as f64 / query.tokens.max(1) as f64;
        let before = time(used.reading_tokens as f64 * prompt_share);
        let holder = query.affinity.and_then(|part| self.holder(part, now));
        let own_read = match holder == Some(target.name_hash) {
            true => Duration::ZERO,
            false => read,
        };
        // Running streams hardly advance while prompts are read, so that both take their time.
        let wait = before + footprint.room_wait(target, &used);
        let more_urgent = |target: &Target| match urgency.level() {
            0 => LevelUsage::default(),
            level => levels(target).up_to(Urgency::new(level - 1)),
        };
        let keeps_engines = self.keeps_engines(query);
        let engines = self.usable_targets(query.service);
        let engines = engines.filter(|(_, engine)| {
            let is_withheld = keeps_engines && is_kept(engine);
            !engine.is_avoided(now) && !is_withheld && query.choice.allows(&engine.entry.version)
        });
        Some(StreamRoom {
            begins_in: wait + own_read,
            read: own_read,
            pending: 0,
            rate: engines
                .map(|(_, engine)| footprint.rate(engine, &more_urgent(engine)))
                .sum(),
        })
    }
}
