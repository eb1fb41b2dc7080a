//! Relocation of running streams to engines where they complete sooner.

use std::collections::HashMap;

use celerypond_types::{DataCentre, TargetKey};
use tokio::time::Instant;

use crate::{
    engine_pace::EngineTimes,
    selection::{rendezvous_rank, Loads},
    SilenceLimits, Target, TargetQuery, Targets,
};

/// The minimum gain by which a move is worthwhile, in milliseconds. The move itself takes some tens
/// of milliseconds, and copying the KV cache takes memory and bandwidth.
const MIN_GAIN_MS: f64 = 500.0;
/// Engines whose costs differ by no more than this, in milliseconds, count as equal. The prompt's
/// order of preference decides between them.
///
/// Many instances may move streams before they hear of each other's moves. If all chose the one
/// best engine, it would run more streams than fit into its memory.
const EQUAL_COST_MS: f64 = 250.0;
/// The share by which each further stream of a batch slows down an engine's steps.
const SLOWDOWN_PER_STREAM: f64 = 0.02;
/// The factor by which a step takes longer while a prompt is read.
const SLOWDOWN_BY_READING: f64 = 8.0;
/// The share of the prompts that are being read that is assumed to be still unread. It is not known
/// how far they are, as each counts in full until it was read.
const UNREAD_SHARE: f64 = 0.6;
/// The cost of an engine in another data centre than the instance, in milliseconds: events and
/// prompts are transferred between the two.
const REMOTE_COST_MS: f64 = 100.0;
/// The cost to other streams of occupying one of the last idle engines, which are needed for
/// prompts, as a share of the time for which it is occupied.
const IDLE_ENGINE_COST_SHARE: f64 = 0.3;
/// The number of idle engines to be left for each engine that reads. Prompts arrive in bursts.
const FREE_ENGINES_PER_READER: u32 = 2;
/// The assumed number of remaining events of a stream if nothing is known of response lengths.
const DEFAULT_EVENTS_LEFT: f64 = 100.0;
/// The time for an event if it is not known of any engine, in milliseconds.
const DEFAULT_EVENT_MS: f64 = 35.0;

/// The remaining events of a running stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingEvents {
    /// The estimated number of events that are still to come.
    pub events: f64,
}

impl Default for RemainingEvents {
    fn default() -> Self {
        Self {
            events: DEFAULT_EVENTS_LEFT,
        }
    }
}

/// An engine at which a stream would complete sooner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BetterEngine {
    /// Its key.
    pub key: TargetKey,
    /// The time that the stream needs at its current engine, in milliseconds.
    pub here_ms: f64,
    /// The time that it needs at the other engine, in milliseconds.
    pub there_ms: f64,
    /// Tokens that are being read at its current engine.
    pub reading_tokens: u64,
    /// Other streams at its current engine.
    pub other_streams: u32,
}

impl Targets {
    /// Returns the engine at which a running stream would complete sooner, if the gain is worth a
    /// move.
    ///
    /// While an engine reads a prompt, all its other streams run at an eighth of their speed, for a
    /// second each time. If all engines both read and run, every stream is delayed by other
    /// prompts, takes half as long again, and is more likely to lose its engine meanwhile. Streams
    /// therefore leave engines that read, and gather at a few engines, where they slow each other
    /// down little. The other engines are left for prompts. The number of engines that streams
    /// gather at depends on how many engines read: while enough engines are idle, a stream may have
    /// one for itself.
    pub fn better_engine(
        &self,
        current: TargetKey,
        query: &TargetQuery<'_>,
        remaining: RemainingEvents,
        now: Instant,
    ) -> Option<BetterEngine> {
        let current_target = self.get(current)?;
        if self.is_cooling_down(current, now) {
            return None;
        }
        let loads = Loads::of(self, query, now);
        let model = CostModel::new(self, &loads, current, query, remaining);
        let fits = |key: TargetKey, target: &Target| {
            key != current
                && self.accepts_work(key, now)
                && target.entry.service == *query.service
                && target.entry.version == current_target.entry.version
                && !query.tried.contains(&key)
                && !target.is_avoided(now)
                && !loads.is_in_unhealthy_zone(target)
                && loads.has_room(target)
                && leaves_room(&loads, target, query)
        };
        let others = self.iter().filter(|(key, target)| fits(*key, target));
        let costs = others.map(|(key, target)| (model.cost_ms(target, false), key, target));
        let costs: Vec<(f64, TargetKey, &Target)> = costs.collect();
        let least = costs
            .iter()
            .map(|(cost, ..)| *cost)
            .min_by(f64::total_cmp)?;
        let is_equal = |(cost, ..): &&(f64, TargetKey, &Target)| *cost <= least + EQUAL_COST_MS;
        let affinity = query.affinity.unwrap_or_default();
        let candidates = costs.iter().filter(is_equal);
        let (cost, key, _) =
            *candidates.min_by_key(|(_, _, target)| rendezvous_rank(affinity, target))?;
        let here_ms = model.cost_ms(current_target, true);
        let usage = loads.total_usage(current_target);
        (cost + MIN_GAIN_MS < here_ms).then_some(BetterEngine {
            key,
            here_ms,
            there_ms: cost,
            reading_tokens: usage.reading_tokens,
            other_streams: usage.streams.saturating_sub(1),
        })
    }
}

/// Returns whether a stream that moves to an engine leaves room for prompts there. Only decides about
/// streams with an urgency.
///
/// The load: engines' memory is short, and prompts wait for it. A run that moves is admitted before
/// them, so it would take the memory for which streams that are at least as urgent wait.
fn leaves_room(loads: &Loads<'_>, engine: &Target, query: &TargetQuery<'_>) -> bool {
    let (Some(urgency), Some(capacity)) = (query.urgency, query.capacity) else {
        return true;
    };
    let usage = loads.total_usage(engine);
    let is_awaited = usage.levels.up_to(urgency).reading_prompts > 0;
    let prompt = query.tokens;
    !is_awaited && usage.tokens + query.tokens + prompt <= capacity
}

/// The data from which the cost of running a stream at an engine is computed.
struct CostModel<'a> {
    loads: &'a Loads<'a>,
    /// The times at engines, if they state their pace.
    times: Option<&'a EngineTimes>,
    event_times: HashMap<u64, f64>,
    /// The time for an event at engines for which it is not known.
    usual_ms: f64,
    remaining: RemainingEvents,
    local_data_centre: &'a DataCentre,
    /// Whether there are too few idle engines for those that read.
    is_idle_scarce: bool,
}

impl<'a> CostModel<'a> {
    fn new(
        targets: &Targets,
        loads: &'a Loads<'a>,
        current: TargetKey,
        query: &'a TargetQuery<'_>,
        remaining: RemainingEvents,
    ) -> Self {
        let of_service = targets.iter().filter(|(key, target)| {
            target.entry.service == *query.service && targets.is_usable(*key)
        });
        let (mut idle_engines, mut reading_engines) = (0, 0);
        let times = loads.times.as_ref();
        let mut event_times = HashMap::new();
        for (key, target) in of_service {
            let usage = loads.total_usage(target);
            let own = u32::from(key == current);
            idle_engines += u32::from(usage.streams <= own);
            reading_engines += u32::from(usage.reading_prompts > 0);
            let address_hash = target.address_hash;
            let event_ms = match times {
                Some(times) => times.event_times.get(&address_hash).copied(),
                None => targets.event_times().get(address_hash).map(f64::from),
            };
            if let Some(event_ms) = event_ms {
                event_times.insert(address_hash, event_ms);
            }
        }
        let mut sorted: Vec<f64> = event_times.values().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let usual_ms = sorted
            .get(sorted.len() / 2)
            .copied()
            .unwrap_or(DEFAULT_EVENT_MS);
        Self {
            loads,
            times,
            event_times,
            usual_ms,
            remaining,
            local_data_centre: query.local_data_centre,
            is_idle_scarce: idle_engines <= reading_engines * FREE_ENGINES_PER_READER,
        }
    }

    /// Returns the cost of running the stream at an engine: the time it needs, and the time by
    /// which it delays future prompts.
    fn cost_ms(&self, engine: &Target, is_current: bool) -> f64 {
        let usage = self.loads.total_usage(engine);
        let running = usage
            .streams
            .saturating_sub(usage.reading_prompts + u32::from(is_current));
        let event_ms = self.event_times.get(&engine.address_hash).copied();
        let event_ms = event_ms.unwrap_or(self.usual_ms);
        let run_ms =
            self.remaining.events * event_ms * (1.0 + SLOWDOWN_PER_STREAM * f64::from(running));
        let factor = self.times.map_or(1.0, |times| times.reading_factor(engine));
        let usual_wait = SilenceLimits::reading_time(usage.reading_tokens);
        let wait = usual_wait.as_secs_f64() * 1_000.0 * factor;
        let reading_delay_ms = (wait * UNREAD_SHARE).min(run_ms * (SLOWDOWN_BY_READING - 1.0));
        // The last idle engines are left to prompts, which would otherwise delay running streams.
        let idle_engine_ms = match running {
            0 if self.is_idle_scarce => run_ms * IDLE_ENGINE_COST_SHARE,
            _ => 0.0,
        };
        let remote_ms = match engine.entry.data_centre == *self.local_data_centre {
            true => 0.0,
            false => REMOTE_COST_MS,
        };
        run_ms + reading_delay_ms + idle_engine_ms + remote_ms
    }
}
