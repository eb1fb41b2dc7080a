//! The time that prompts and streams take at each engine.

use std::{collections::HashMap, time::Duration};

use celerypond_types::{ServiceName, TargetKey};
use tokio::time::Instant;

use crate::{
    event_times::EVENTS_PER_MEASUREMENT, EngineUsage, Load, Placements, SilenceLimits, SteadyTime,
    Target, TargetQuery, Targets,
};

/// How long a measurement of an engine is kept. Engines keep their hardware when they restart.
const RETENTION: Duration = Duration::from_secs(120);
/// The time after which a measurement has half its weight. An engine that is avoided is not
/// measured, so that a wrong measurement is not corrected.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// How long a measured time for an event takes precedence over a stated pace.
const MEASURED_TTL: Duration = Duration::from_secs(3);
/// How long a service counts as one whose targets state their pace. Each of many instances gets few
/// responses.
const STATES_TTL: Duration = Duration::from_secs(30);
/// The limits of an engine's time, relative to the usual one of its service.
///
/// Engines of one service run the same model on similar hardware, of which some is shared or
/// impaired: one may be much slower than usual, but is rarely more than twice as fast. Shorter times
/// are of prompts that were partly in memory, and the engine would be sent more than it can run.
const FACTOR_LIMITS: (f64, f64) = (0.5, 8.0);
/// The number of readings for which the pace of running counts: readings may have been queued
/// behind prompts that were not known of.
const PRIOR_READINGS: f64 = 2.0;
/// The maximum number of readings that count against the pace of running.
const MAX_READINGS: u32 = 6;
/// The weight of a new reading among earlier ones.
const READING_WEIGHT: f64 = 0.3;
/// The minimum usual time for reading prompts from which the pace of an engine is concluded. Of
/// shorter readings, most of the time is the fixed one of the request and its connection.
const MIN_READING_MS: f64 = 300.0;
/// The minimum number of engines of which the time for an event must be known.
const MIN_ENGINES: usize = 3;
/// The multiple of the usual time from which an engine counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// The weight of the time by which running streams are delayed, relative to the wait of a prompt.
/// Their events come more slowly, but without a pause that counts as late.
const DELAYED_STREAM_WEIGHT: f64 = 0.25;
/// The share of the aim within which expected times count as equal.
const EQUAL_AIM_SHARE: f64 = 0.3;
/// The share of the aim by which an engine in the instance's data centre may be later than others.
const NEAR_AIM_SHARE: f64 = 0.05;
/// The cost of a crowded engine, as a share of the aim.
const CROWDED_AIM_SHARE: f64 = 0.2;
/// The number of engines in each of the instance's and the other data centres among which a prompt
/// takes one. If all instances compared all engines, those that choose at once would send their
/// prompts to the same engine.
const CANDIDATES: u32 = 3;

/// What was observed of each engine's hardware, by the hash of its address.
///
/// Engines of one service run on machines of different speed, which are shared with others.
#[derive(Clone, Debug, Default)]
pub(crate) struct EnginePaces {
    event_times: HashMap<u64, SteadyTime>,
    readings: HashMap<u64, Readings>,
    /// When each engine last read a prompt, by the hash of its name.
    read_at: HashMap<u64, Instant>,
    /// When a target of each service last stated its pace.
    stated: HashMap<ServiceName, Instant>,
}

/// The times for reading prompts at an engine, relative to the usual ones of its service.
#[derive(Clone, Copy, Debug)]
struct Readings {
    /// The logarithm of the mean factor.
    ln_factor: f64,
    count: u32,
    at: Instant,
}

impl EnginePaces {
    pub(crate) fn record_event_time(&mut self, address_hash: u64, event_ms: f32, now: Instant) {
        if !event_ms.is_finite() || event_ms <= 0.0 {
            return;
        }
        let event_ms = f64::from(event_ms);
        let known = self.event_times.entry(address_hash);
        let known = known.or_insert_with(|| SteadyTime::new(event_ms, now));
        known.record(event_ms, now);
    }

    fn record_reading(&mut self, address_hash: u64, factor: f64, now: Instant) {
        let ln_factor = clamp(factor).ln();
        let first = Readings {
            ln_factor,
            count: 0,
            at: now,
        };
        let known = self.readings.entry(address_hash).or_insert(first);
        known.ln_factor += (ln_factor - known.ln_factor) * READING_WEIGHT;
        known.count = (known.count + 1).min(MAX_READINGS);
        known.at = now;
    }

    fn record_reading_at(&mut self, name_hash: u64, now: Instant) {
        if !self.stated.is_empty() {
            self.read_at.insert(name_hash, now);
        }
    }

    /// Returns whether an engine read prompts during a measurement that ends now.
    fn has_read_during(&self, name_hash: u64, event_ms: f32, now: Instant) -> bool {
        let span_ms = f64::from(event_ms) * f64::from(EVENTS_PER_MEASUREMENT);
        let read_at = self.read_at.get(&name_hash);
        read_at
            .is_some_and(|at| now.saturating_duration_since(*at).as_secs_f64() * 1_000.0 < span_ms)
    }

    pub(crate) fn sweep(&mut self, now: Instant) {
        self.event_times.retain(|_, time| time.age(now) < RETENTION);
        let is_kept = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.readings.retain(|_, readings| is_kept(readings.at));
        self.read_at.retain(|_, at| is_kept(*at));
        self.stated.retain(|_, at| is_kept(*at));
    }
}

/// Returns the weight of a measurement of this age.
fn weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

fn clamp(factor: f64) -> f64 {
    factor.clamp(FACTOR_LIMITS.0, FACTOR_LIMITS.1)
}

/// The times at the engines of a service whose targets state their pace.
pub(crate) struct EngineTimes {
    /// The factor for reading by the hash of the address, of engines where it is not the usual one.
    reading: HashMap<u64, f64>,
    /// The milliseconds for an event by the hash of the address.
    pub(crate) event_times: HashMap<u64, f64>,
    /// The usual time for a token of a prompt.
    token_ms: f64,
}

impl EngineTimes {
    /// Returns the multiple of the usual time that an engine takes to read a prompt.
    pub(crate) fn reading_factor(&self, engine: &Target) -> f64 {
        self.reading
            .get(&engine.address_hash)
            .copied()
            .unwrap_or(1.0)
    }

    /// Returns the time that an engine takes to read prompts, in milliseconds. `tokens` includes
    /// their maximum responses, whose share is assumed to be that of the query.
    fn reading_ms(&self, engine: &Target, tokens: u64, query: &TargetQuery<'_>) -> f64 {
        let prompt_share = query.prompt_tokens as f64 / query.tokens.max(1) as f64;
        tokens as f64 * prompt_share * self.token_ms * self.reading_factor(engine)
    }

    /// Returns the cost of placing a prompt at an engine, in milliseconds: the time until its first
    /// event, and the time by which streams that run there are delayed.
    pub(crate) fn prompt_cost(
        &self,
        engine: &Target,
        usage: &EngineUsage,
        is_holder: bool,
        query: &TargetQuery<'_>,
    ) -> f64 {
        let running = usage.streams.saturating_sub(usage.reading_prompts);
        let unread = if is_holder { 0 } else { query.tokens };
        let read_ms = self.reading_ms(engine, unread, query);
        let delayed_ms = f64::from(running) * read_ms * DELAYED_STREAM_WEIGHT;
        self.reading_ms(engine, usage.reading_tokens, query) + read_ms + delayed_ms
    }
}

/// An engine that may run a prompt.
pub(crate) struct TimedEngine<K> {
    /// What matters more than its time; the least one is best.
    pub(crate) class: K,
    /// The order of the prompt among engines.
    pub(crate) rank: u64,
    /// Whether it has read the prompt.
    pub(crate) is_holder: bool,
    /// Whether it is in the data centre of the instance.
    pub(crate) is_local: bool,
    /// Its reading factor.
    pub(crate) factor: f64,
    /// The cost of the prompt there.
    pub(crate) cost_ms: f64,
    /// Whether backups of other requests need the rest of its memory.
    pub(crate) is_crowded: bool,
    /// Its key.
    pub(crate) key: TargetKey,
}

impl<K: Ord + Copy> TimedEngine<K> {
    /// Returns a number that is the least one of several engines with a probability in proportion
    /// to their weight, and always the same for the same prompt.
    fn weighted_rank(&self, weight: f64) -> f64 {
        let uniform = (self.rank >> 11) as f64 / (1_u64 << 53) as f64;
        -(-uniform).ln_1p() / weight
    }

    /// Selects the engine for a prompt.
    ///
    /// Instances choose at the same moment with views some hundred milliseconds old. If each took
    /// the best engine, the fastest one would get all prompts of that time. Each prompt therefore
    /// has its own order of engines, weighted by their speed, and takes one of those among the
    /// first that are about as soon.
    pub(crate) fn select(mut engines: Vec<Self>, aim: Duration) -> Option<TargetKey> {
        let best = engines.iter().map(|engine| engine.class).min()?;
        engines.retain(|engine| engine.class == best);
        engines.sort_by(|a, b| {
            let speed_rank = |engine: &Self| engine.weighted_rank(1.0 / engine.factor);
            speed_rank(a).total_cmp(&speed_rank(b))
        });
        let mut counts = [0; 2];
        engines.retain(|engine| {
            let count = &mut counts[usize::from(engine.is_local)];
            *count += u32::from(!engine.is_holder);
            engine.is_holder || *count <= CANDIDATES
        });
        let aim_ms = aim.as_secs_f64() * 1_000.0;
        for engine in engines.iter_mut().filter(|engine| engine.is_crowded) {
            engine.cost_ms += aim_ms * CROWDED_AIM_SHARE;
        }
        let costs = engines.iter().map(|engine| engine.cost_ms);
        let least = costs.min_by(f64::total_cmp)?;
        let is_best_holder = |engine: &&Self| engine.is_holder && engine.cost_ms <= least;
        if let Some(holder) = engines.iter().find(is_best_holder) {
            return Some(holder.key);
        }
        let is_near =
            |engine: &Self| engine.is_local && engine.cost_ms <= least + aim_ms * NEAR_AIM_SHARE;
        if engines.iter().any(is_near) {
            engines.retain(|engine| engine.is_local);
        }
        engines.retain(|engine| engine.cost_ms <= least + aim_ms * EQUAL_AIM_SHARE);
        let order = |engine: &Self| engine.weighted_rank(1.0 / engine.cost_ms.max(1.0));
        let first = engines
            .iter()
            .min_by(|a, b| order(a).total_cmp(&order(b)))?;
        Some(first.key)
    }
}

impl Targets {
    /// Returns whether prompts of a service are placed by time: the settings say so, and a target of
    /// the service stated its pace recently.
    pub fn states_pace(&self, service: &ServiceName, now: Instant) -> bool {
        let stated_at = self.paces.stated.get(service);
        let is_stated = stated_at.is_some_and(|at| now.saturating_duration_since(*at) < STATES_TTL);
        self.places_by_time && is_stated
    }

    /// Records a response of a target, with the load and pace that it stated.
    pub fn record_response(&mut self, key: TargetKey, load: Option<Load>, now: Instant) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        target.record_response(load, now);
        if self.places_by_time && load.is_some_and(|load| load.pace.is_some()) {
            let service = &target.entry.service;
            match self.paces.stated.get_mut(service) {
                Some(at) => *at = now,
                None => {
                    self.paces.stated.insert(service.clone(), now);
                }
            }
        }
    }

    /// Records the time that an engine took to read a prompt and those queued before it, in
    /// milliseconds. `tokens` is the sum of all these prompts.
    pub fn record_engine_reading(
        &mut self,
        key: TargetKey,
        tokens: u64,
        is_queued: bool,
        took_ms: f64,
        now: Instant,
    ) {
        let Some(target) = self.arena.get(key) else {
            return;
        };
        let service = &target.entry.service;
        let usual = match is_queued {
            true => self.history.usual_queue_rate(service),
            false => self.history.read_rate(service),
        };
        let address_hash = target.address_hash;
        if let Some(rate) = usual.filter(|_| tokens > 0 && took_ms > 0.0) {
            let usual_ms = tokens as f64 / rate;
            if usual_ms >= MIN_READING_MS {
                self.paces
                    .record_reading(address_hash, took_ms / usual_ms, now);
            }
        }
    }

    /// Records that an engine has read a prompt of this instance.
    pub fn record_reading_end(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.arena.get(key) {
            self.paces.record_reading_at(target.name_hash, now);
        }
    }

    /// Records a time for an event at an engine, unless the engine read prompts meanwhile: such a
    /// time does not show how fast it is.
    pub(crate) fn record_engine_event(&mut self, key: TargetKey, event_ms: f32, now: Instant) {
        if self.paces.stated.is_empty() {
            return;
        }
        let Some(target) = self.arena.get(key) else {
            return;
        };
        let others = self.peer_usage(now);
        let others = others.get(&target.name_hash);
        let others = others.map_or(0, |usage| usage.reading_prompts);
        let is_reading = target.reading_prompts + others > 0;
        let address_hash = target.address_hash;
        let has_read = self.paces.has_read_during(target.name_hash, event_ms, now);
        if !is_reading && !has_read && self.states_pace(&target.entry.service, now) {
            self.paces.record_event_time(address_hash, event_ms, now);
        }
    }

    /// Records the same for engines by the hash of their address.
    pub(crate) fn record_engine_events(&mut self, times: &[(u64, f32)], now: Instant) {
        if times.is_empty() || self.paces.stated.is_empty() {
            return;
        }
        let times: HashMap<u64, f32> = times.iter().copied().collect();
        let measured = self.arena.iter().filter_map(|(key, target)| {
            let event_ms = times.get(&target.address_hash)?;
            Some((key, *event_ms))
        });
        for (key, event_ms) in measured.collect::<Vec<_>>() {
            self.record_engine_event(key, event_ms, now);
        }
    }

    /// Records which engines read prompts of another instance until its new list of streams.
    pub(crate) fn record_peer_readings(&mut self, list: &Placements, now: Instant) {
        if self.paces.stated.is_empty() {
            return;
        }
        let before = self.peer_streams.streams_of(list.origin).iter();
        for stream in before
            .chain(&list.streams)
            .filter(|stream| stream.is_reading)
        {
            self.paces.record_reading_at(stream.target_hash, now);
        }
    }

    /// Returns the times at the engines of a service; `None` if its targets do not state their pace,
    /// or requests to it have no prompts.
    pub(crate) fn engine_times(
        &self,
        query: &TargetQuery<'_>,
        now: Instant,
    ) -> Option<EngineTimes> {
        query.affinity?;
        let is_stated = self.states_pace(query.service, now);
        is_stated.then(|| self.times_of(query.service, now))
    }

    fn times_of(&self, service: &ServiceName, now: Instant) -> EngineTimes {
        let of_service = self.arena.values();
        let of_service = of_service.filter(|target| target.entry.service == *service);
        let engines: Vec<&Target> = of_service.collect();
        let measured =
            |target: &&&Target| self.paces.event_times.contains_key(&target.address_hash);
        let times = engines.iter().filter(measured).map(|target| {
            let time = self.paces.event_times[&target.address_hash];
            (target.address_hash, time.value())
        });
        let event_times: HashMap<u64, f64> = times.collect();
        let mut sorted: Vec<f64> = event_times.values().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let usual_ms = sorted.get(sorted.len() / 2).copied();
        let usual_ms = usual_ms.filter(|_| sorted.len() >= MIN_ENGINES);
        let mut reading = HashMap::new();
        for engine in engines {
            if let Some(factor) = self.reading_factor(engine, usual_ms, now) {
                reading.insert(engine.address_hash, factor);
            }
        }
        let history = &self.history;
        let rate = history.usual_queue_rate(service);
        let rate = rate.or_else(|| history.read_rate(service));
        let usual_token_ms = SilenceLimits::reading_time(1).as_secs_f64() * 1_000.0;
        EngineTimes {
            reading,
            event_times,
            token_ms: rate.map_or(usual_token_ms, |rate| 1.0 / rate),
        }
    }

    /// Returns the multiple of the usual time that an engine takes to read; `None` if it is
    /// unmeasured.
    fn reading_factor(&self, engine: &Target, usual_ms: Option<f64>, now: Instant) -> Option<f64> {
        let time = self.paces.event_times.get(&engine.address_hash);
        let running = time
            .zip(usual_ms)
            .map(|(time, usual_ms)| clamp(time.value() / usual_ms).ln() * weight(time.age(now)));
        let is_measured = time.is_some_and(|time| time.age(now) < MEASURED_TTL);
        let stated = engine.slowdown(now).filter(|_| !is_measured);
        let readings = self.paces.readings.get(&engine.address_hash);
        if running.is_none() && readings.is_none() && stated.is_none() {
            return None;
        }
        let readings = readings.map_or((0.0, 0.0), |readings| {
            let age = now.saturating_duration_since(readings.at);
            (readings.ln_factor, f64::from(readings.count) * weight(age))
        });
        let sum = running.unwrap_or(0.0) * PRIOR_READINGS + readings.0 * readings.1;
        let ln_factor = sum / (PRIOR_READINGS + readings.1);
        // Both are of the same slowness.
        let observed = ln_factor.exp();
        Some(clamp(
            stated.map_or(observed, |stated| observed.max(stated)),
        ))
    }

    /// Returns the time until the first event of a stream at an engine, in milliseconds; `None` if
    /// the targets of its service do not state their pace.
    pub fn expected_ms(
        &self,
        key: TargetKey,
        query: &TargetQuery<'_>,
        now: Instant,
    ) -> Option<u64> {
        let times = self.engine_times(query, now)?;
        let tokens = self.reading(key, now) + query.tokens;
        Some(times.reading_ms(self.get(key)?, tokens, query) as u64)
    }

    /// Returns the number of engines that are much slower than is usual for their service, of
    /// services whose targets state their pace.
    pub fn count_slow_engines(&self, now: Instant) -> usize {
        let services = self.paces.stated.keys();
        let slow = services.map(|service| self.slow_engines(service, now));
        slow.sum()
    }

    fn slow_engines(&self, service: &ServiceName, now: Instant) -> usize {
        if !self.states_pace(service, now) {
            return 0;
        }
        let times = self.times_of(service, now);
        times
            .reading
            .values()
            .filter(|factor| **factor >= SLOW_FACTOR)
            .count()
    }
}
