//! Where a stream runs on once its prompt was read.

use std::collections::HashMap;

use celerypond_types::{DataCentre, TargetKey};
use tokio::time::Instant;

use crate::{
    selection::{rendezvous_rank, Loads},
    SilenceLimits, Target, TargetQuery, Targets,
};

/// What a stream must gain by going on at another engine, in milliseconds. The move itself takes some
/// ten of them, and what is copied takes memory and room on the way.
const MIN_GAIN_MS: f64 = 500.0;
/// Engines that differ by no more than this, in milliseconds, are as good as each other, and the prompt's own
/// order decides.
///
/// The failure: many instances move streams within the time that their lists take to tell of it. All choose
/// the one best engine, which then runs more streams than its memory holds.
const EQUAL_COST_MS: f64 = 250.0;
/// The part by which each further stream of a batch slows an engine's steps.
const SLOWDOWN_PER_STREAM: f64 = 0.02;
/// How many times as long a step takes beside the reading of a prompt.
const SLOWDOWN_BY_READING: f64 = 8.0;
/// The part of the prompts that an engine reads now that is still to be read, as far as is known of
/// them: each counts as a whole one until it was read.
const UNREAD_SHARE: f64 = 0.6;
/// What an engine in another data centre than the instance must be better by, in milliseconds: events
/// and prompt travel between the two.
const REMOTE_COST_MS: f64 = 100.0;
/// What it costs others that a stream keeps the last free engines from prompts, as a part of the time for
/// which it does.
const IDLE_ENGINE_COST_SHARE: f64 = 0.3;
/// How many engines are left free for each one that reads. Prompts come in groups.
const FREE_ENGINES_PER_READER: u32 = 2;
/// The events that a stream is taken to have left where nothing is known of its length.
const DEFAULT_EVENTS_LEFT: f64 = 100.0;
/// The time for an event where it is known of no engine, in milliseconds.
const DEFAULT_EVENT_MS: f64 = 35.0;

/// What a running stream has ahead of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingEvents {
    /// Events that are still to come, as far as is known.
    pub events: f64,
}

impl Default for RemainingEvents {
    fn default() -> Self {
        Self {
            events: DEFAULT_EVENTS_LEFT,
        }
    }
}

/// An engine at which a stream would be done sooner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BetterEngine {
    /// Its key.
    pub key: TargetKey,
    /// What the stream needs where it is, in milliseconds.
    pub here_ms: f64,
    /// What it needs there, in milliseconds.
    pub there_ms: f64,
    /// Tokens that are read where it is.
    pub reading_tokens: u64,
    /// Streams that run where it is, itself left out.
    pub other_streams: u32,
}

impl Targets {
    /// Returns the engine at which a running stream would be done sooner, so much that it is worth a
    /// move; nothing where it runs well.
    ///
    /// The load it answers: while an engine reads a prompt, all streams beside it are eight times as
    /// slow, for a second each time. Where each engine both reads and runs, every stream meets other
    /// prompts, takes half as long again, and whatever dies meanwhile hits more streams. So streams leave
    /// the engines that read, and gather at a few, where they cost each other little; the rest stays free
    /// for prompts. How many gather follows from how many engines read: as long as as many are free,
    /// a stream may have one for itself.
    pub fn better_engine(
        &self,
        at: TargetKey,
        want: &TargetQuery<'_>,
        ahead: RemainingEvents,
        now: Instant,
    ) -> Option<BetterEngine> {
        let home = self.get(at)?;
        let loads = Loads::of(self, want, now);
        let view = CostModel::new(self, &loads, at, want, ahead);
        let fits = |key: TargetKey, target: &Target| {
            key != at
                && self.is_usable(key)
                && target.entry.service == *want.service
                && target.entry.version == home.entry.version
                && !want.tried.contains(&key)
                && !target.is_avoided(now)
                && !loads.is_in_unhealthy_zone(target)
                && loads.has_room(target)
        };
        let others = self.iter().filter(|(key, target)| fits(*key, target));
        let costs = others.map(|(key, target)| (view.cost_ms(target, false), key, target));
        let costs: Vec<(f64, TargetKey, &Target)> = costs.collect();
        let least = costs
            .iter()
            .map(|(cost, ..)| *cost)
            .min_by(f64::total_cmp)?;
        let is_near = |(cost, ..): &&(f64, TargetKey, &Target)| *cost <= least + EQUAL_COST_MS;
        let affinity = want.affinity.unwrap_or_default();
        let nearly = costs.iter().filter(is_near);
        let (cost, key, _) =
            *nearly.min_by_key(|(_, _, target)| rendezvous_rank(affinity, target))?;
        let here_ms = view.cost_ms(home, true);
        let work = loads.total_usage(home);
        (cost + MIN_GAIN_MS < here_ms).then_some(BetterEngine {
            key,
            here_ms,
            there_ms: cost,
            reading_tokens: work.reading_tokens,
            other_streams: work.streams.saturating_sub(1),
        })
    }
}

/// What is known of the engines of a service when a stream may move.
struct CostModel<'a> {
    loads: &'a Loads<'a>,
    paces: HashMap<u64, f64>,
    /// The time for an event at an engine of which it is not known.
    usual_ms: f64,
    ahead: RemainingEvents,
    near: &'a DataCentre,
    /// Whether fewer engines are free than read.
    is_scarce: bool,
}

impl<'a> CostModel<'a> {
    fn new(
        targets: &Targets,
        loads: &'a Loads<'a>,
        at: TargetKey,
        want: &'a TargetQuery<'_>,
        ahead: RemainingEvents,
    ) -> Self {
        let of_service = targets.iter().filter(|(key, target)| {
            target.entry.service == *want.service && targets.is_usable(*key)
        });
        let (mut free, mut reading) = (0, 0);
        let mut paces = HashMap::new();
        for (key, target) in of_service {
            let work = loads.total_usage(target);
            let own = u32::from(key == at);
            free += u32::from(work.streams <= own);
            reading += u32::from(work.reading_prompts > 0);
            if let Some(pace) = targets.event_times().get(target.address_hash) {
                paces.insert(target.address_hash, f64::from(pace));
            }
        }
        let mut known: Vec<f64> = paces.values().copied().collect();
        known.sort_by(f64::total_cmp);
        let usual_ms = known
            .get(known.len() / 2)
            .copied()
            .unwrap_or(DEFAULT_EVENT_MS);
        Self {
            loads,
            paces,
            usual_ms,
            ahead,
            near: want.local_data_centre,
            is_scarce: free <= reading * FREE_ENGINES_PER_READER,
        }
    }

    /// Returns the time that the stream needs at an engine, and what it takes from prompts to come.
    fn cost_ms(&self, engine: &Target, is_here: bool) -> f64 {
        let work = self.loads.total_usage(engine);
        let running = work
            .streams
            .saturating_sub(work.reading_prompts + u32::from(is_here));
        let event_ms = self.paces.get(&engine.address_hash).copied();
        let event_ms = event_ms.unwrap_or(self.usual_ms);
        let run_ms =
            self.ahead.events * event_ms * (1.0 + SLOWDOWN_PER_STREAM * f64::from(running));
        let wait = SilenceLimits::reading_time(work.reading_tokens).as_secs_f64() * 1_000.0;
        let beside_ms = (wait * UNREAD_SHARE).min(run_ms * (SLOWDOWN_BY_READING - 1.0));
        // The last engines without streams are left to prompts, which would hold up the streams elsewhere.
        let idle_engine_ms = match running {
            0 if self.is_scarce => run_ms * IDLE_ENGINE_COST_SHARE,
            _ => 0.0,
        };
        let far_ms = match engine.entry.data_centre == *self.near {
            true => 0.0,
            false => REMOTE_COST_MS,
        };
        run_ms + beside_ms + idle_engine_ms + far_ms
    }
}
