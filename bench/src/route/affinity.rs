//! How often a prompt finds its prefix in the engine's cache, and at what imbalance.

use std::{collections::VecDeque, sync::Arc};

use celerypond_route::{hash, CacheEvent, InFlight, PickCriteria, PrefixTracker};
use celerypond_types::TargetKey;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use tokio::time::{Duration, Instant};

use super::fleet;
use crate::table::Row;

const INSTANCES: usize = 7;
const ENGINES: usize = 20;
const SLOTS: u32 = 8;
/// How many prefixes an engine holds.
const HELD: usize = 50;
/// How many prefixes callers use; the n-th is used with weight 1/n.
const PREFIXES: usize = 600;
const STEP_MS: u64 = 20;
const REQUESTS: u64 = 4_000;
/// The requests that are not counted, while caches fill.
const WARM: u64 = 1_000;
const SERVICE_MS: f64 = 1_600.0;
/// How late cache events come, and what share of them is lost.
const LATE_MS: u64 = 1_000;
const LOST: f64 = 0.05;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    None,
    Ring,
    Events,
}

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let ways = [
        ("baseline: no affinity", Way::None),
        ("affinity by ring", Way::Ring),
        ("ring and cache events", Way::Events),
    ];
    let mut rows = Vec::new();
    for (name, way) in ways {
        let runs: Vec<(f64, f64)> = (0..seeds).map(|seed| Model::new(seed).run(way)).collect();
        let hits = runs.iter().map(|(hits, _)| *hits).collect();
        let ratios = runs.iter().map(|(_, ratio)| *ratio).collect();
        rows.push(Row::of("cache hits", name, "share", hits));
        rows.push(Row::of(
            "max/mean load with affinity",
            name,
            "max/mean",
            ratios,
        ));
    }
    rows
}

/// An event on its way: when it comes, of which engine, its number, and what it says.
struct Event {
    due: u64,
    at: usize,
    sequence: u64,
    event: CacheEvent,
}

struct Model {
    rng: SmallRng,
    held: Vec<VecDeque<u64>>,
    sequences: Vec<u64>,
    events: VecDeque<Event>,
    tracker: PrefixTracker,
    weights: Vec<f64>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=PREFIXES).map(|at| {
            sum += 1.0 / at as f64;
            sum
        });
        Self {
            weights: weights.collect(),
            rng: SmallRng::seed_from_u64(seed),
            held: vec![VecDeque::new(); ENGINES],
            sequences: vec![0; ENGINES],
            events: VecDeque::new(),
            tracker: PrefixTracker::default(),
        }
    }

    fn run(mut self, way: Way) -> (f64, f64) {
        let start = Instant::now();
        let mut views: Vec<_> = (0..INSTANCES)
            .map(|_| fleet::view(ENGINES, SLOTS, start))
            .collect();
        let mut running: Vec<(u64, usize, InFlight)> = Vec::new();
        let mut loads = vec![0_u32; ENGINES];
        let (mut hits, mut ratios) = (0_u32, Vec::new());
        for at in 0..REQUESTS {
            let ms = at * STEP_MS;
            let now = start + Duration::from_millis(ms);
            let (ended, rest) = running.into_iter().partition(|(end, ..)| *end <= ms);
            running = rest;
            let ended: Vec<(u64, usize, InFlight)> = ended;
            for (_, engine, open) in ended {
                loads[engine] -= 1;
                open.end(ms);
            }
            if ms.is_multiple_of(500) {
                self.hear(ms, &views[0].2);
                let index = Arc::new(self.tracker.build_index());
                for (view, _, keys) in &mut views {
                    *view = view.with_prefix_index(Arc::clone(&index));
                    view.update_load_stats(now);
                    for (key, load) in keys.iter().zip(&loads) {
                        let target = view.target(*key);
                        target
                            .into_iter()
                            .for_each(|t| t.state.record_load(ms, *load));
                    }
                }
            }
            let prefix = self.prefix();
            let (view, route, keys) = &views[self.rng.random_range(0..INSTANCES)];
            let prefixes = [prefix];
            let ask = PickCriteria {
                prefixes: if way == Way::None { &[] } else { &prefixes },
                ..PickCriteria::default()
            };
            let Ok(choice) = view.pick(*route, &ask, now, &mut self.rng) else {
                continue;
            };
            let engine = keys
                .iter()
                .position(|key| *key == choice.target)
                .unwrap_or(0);
            let hit = self.serve(engine, prefix, ms, way);
            let open = view
                .target(choice.target)
                .and_then(|target| target.state.begin_request(ms));
            let service = -self.rng.random::<f64>().ln() * SERVICE_MS;
            loads[engine] += 1;
            running.extend(open.map(|open| (ms + service as u64, engine, open)));
            if at >= WARM {
                hits += u32::from(hit);
                let mean = running.len() as f64 / ENGINES as f64;
                ratios.push(f64::from(loads.iter().copied().max().unwrap_or(0)) / mean.max(0.01));
            }
        }
        let ratio = ratios.iter().sum::<f64>() / ratios.len() as f64;
        (f64::from(hits) / (REQUESTS - WARM) as f64, ratio)
    }

    /// Draws the prefix of a prompt.
    fn prefix(&mut self) -> u64 {
        let drawn = self.rng.random::<f64>() * self.weights.last().copied().unwrap_or(0.0);
        let at = self.weights.partition_point(|sum| *sum < drawn);
        hash(&at.to_le_bytes())
    }

    /// Serves a prompt and returns whether its prefix was held; the least recently used goes.
    fn serve(&mut self, engine: usize, prefix: u64, ms: u64, way: Way) -> bool {
        let held = &mut self.held[engine];
        let at = held.iter().position(|one| *one == prefix);
        at.map(|at| held.remove(at));
        held.push_back(prefix);
        let gone = if held.len() > HELD {
            held.pop_front()
        } else {
            None
        };
        if way == Way::Events && at.is_none() {
            self.tell(engine, CacheEvent::Stored(prefix), ms);
            gone.into_iter()
                .for_each(|gone| self.tell(engine, CacheEvent::Evicted(gone), ms));
        }
        at.is_some()
    }

    fn tell(&mut self, at: usize, event: CacheEvent, ms: u64) {
        self.sequences[at] += 1;
        if !self.rng.random_bool(LOST) {
            let sequence = self.sequences[at];
            self.events.push_back(Event {
                due: ms + LATE_MS,
                at,
                sequence,
                event,
            });
        }
    }

    fn hear(&mut self, ms: u64, keys: &[TargetKey]) {
        while self.events.front().is_some_and(|event| event.due <= ms) {
            if let Some(event) = self.events.pop_front() {
                self.tracker
                    .apply(keys[event.at], event.sequence, event.event);
            }
        }
    }
}
