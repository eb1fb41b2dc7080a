//! Hit rate of the engines' prefix caches with and without prefix affinity, and the load imbalance
//! that affinity causes.

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
/// The number of prefixes that fit in the cache of an engine.
const CACHE_PREFIXES: usize = 50;
/// The number of distinct prefixes in prompts. The n-th is drawn with weight 1/n (Zipf).
const PREFIXES: usize = 600;
const ARRIVAL_INTERVAL_MS: u64 = 20;
const REQUESTS: u64 = 4_000;
/// The number of requests at the start that are not counted because the caches are still filling.
const WARM_UP_REQUESTS: u64 = 1_000;
const SERVICE_MS: f64 = 1_600.0;
/// The delay after which cache events are delivered.
const EVENT_DELAY_MS: u64 = 1_000;
/// The fraction of cache events that are lost.
const EVENT_LOSS: f64 = 0.05;

/// What an instance knows about the prefixes that engines have cached.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// Nothing: engines are picked by load only.
    None,
    /// The consistent hash ring assigns a prefix to an engine.
    Ring,
    /// The ring, and cache events of the engines.
    Events,
}

/// Runs the benchmark.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let policies = [
        ("baseline: no affinity", Policy::None),
        ("affinity by ring", Policy::Ring),
        ("ring and cache events", Policy::Events),
    ];
    let mut rows = Vec::new();
    for (name, policy) in policies {
        let runs: Vec<(f64, f64)> = (0..seeds)
            .map(|seed| Simulation::new(seed).run(policy))
            .collect();
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

/// A cache event that has not been delivered yet.
struct DelayedEvent {
    due_ms: u64,
    engine: usize,
    sequence: u64,
    event: CacheEvent,
}

struct Simulation {
    rng: SmallRng,
    caches: Vec<VecDeque<u64>>,
    sequences: Vec<u64>,
    events: VecDeque<DelayedEvent>,
    tracker: PrefixTracker,
    cumulative_weights: Vec<f64>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = (1..=PREFIXES).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        Self {
            cumulative_weights: cumulative_weights.collect(),
            rng: SmallRng::seed_from_u64(seed),
            caches: vec![VecDeque::new(); ENGINES],
            sequences: vec![0; ENGINES],
            events: VecDeque::new(),
            tracker: PrefixTracker::default(),
        }
    }

    /// Runs the simulation. Returns the hit rate, and the ratio of the highest load of an engine to
    /// the mean load, averaged over the requests.
    fn run(mut self, policy: Policy) -> (f64, f64) {
        let start = Instant::now();
        let mut views: Vec<_> = (0..INSTANCES)
            .map(|_| fleet::view(ENGINES, SLOTS, start))
            .collect();
        let mut running: Vec<(u64, usize, InFlight)> = Vec::new();
        let mut loads = vec![0_u32; ENGINES];
        let (mut hits, mut ratios) = (0_u32, Vec::new());
        for request in 0..REQUESTS {
            let ms = request * ARRIVAL_INTERVAL_MS;
            let now = start + Duration::from_millis(ms);
            let (ended, rest) = running.into_iter().partition(|(end, ..)| *end <= ms);
            running = rest;
            let ended: Vec<(u64, usize, InFlight)> = ended;
            for (_, engine, in_flight) in ended {
                loads[engine] -= 1;
                in_flight.end(ms);
            }
            if ms.is_multiple_of(500) {
                self.deliver_events(ms, &views[0].2);
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
            let prefix = self.draw_prefix();
            let (view, route, keys) = &views[self.rng.random_range(0..INSTANCES)];
            let prefixes = [prefix];
            let criteria = PickCriteria {
                prefixes: if policy == Policy::None {
                    &[]
                } else {
                    &prefixes
                },
                ..PickCriteria::default()
            };
            let Ok(choice) = view.pick(*route, &criteria, now, &mut self.rng) else {
                continue;
            };
            let engine = keys
                .iter()
                .position(|key| *key == choice.target)
                .unwrap_or(0);
            let hit = self.serve_prompt(engine, prefix, ms, policy);
            let in_flight = view
                .target(choice.target)
                .and_then(|target| target.state.begin_request(ms));
            let service = -self.rng.random::<f64>().ln() * SERVICE_MS;
            loads[engine] += 1;
            running.extend(in_flight.map(|in_flight| (ms + service as u64, engine, in_flight)));
            if request >= WARM_UP_REQUESTS {
                hits += u32::from(hit);
                let mean = running.len() as f64 / ENGINES as f64;
                ratios.push(f64::from(loads.iter().copied().max().unwrap_or(0)) / mean.max(0.01));
            }
        }
        let ratio = ratios.iter().sum::<f64>() / ratios.len() as f64;
        (
            f64::from(hits) / (REQUESTS - WARM_UP_REQUESTS) as f64,
            ratio,
        )
    }

    /// Draws the prefix of a prompt and returns its hash.
    fn draw_prefix(&mut self) -> u64 {
        let drawn =
            self.rng.random::<f64>() * self.cumulative_weights.last().copied().unwrap_or(0.0);
        let index = self.cumulative_weights.partition_point(|sum| *sum < drawn);
        hash(&index.to_le_bytes())
    }

    /// Serves a prompt and returns whether its prefix was cached. A full cache evicts the least
    /// recently used prefix.
    fn serve_prompt(&mut self, engine: usize, prefix: u64, ms: u64, policy: Policy) -> bool {
        let cache = &mut self.caches[engine];
        let position = cache.iter().position(|cached| *cached == prefix);
        position.map(|position| cache.remove(position));
        cache.push_back(prefix);
        let evicted = if cache.len() > CACHE_PREFIXES {
            cache.pop_front()
        } else {
            None
        };
        if policy == Policy::Events && position.is_none() {
            self.send_event(engine, CacheEvent::Stored(prefix), ms);
            evicted
                .into_iter()
                .for_each(|evicted| self.send_event(engine, CacheEvent::Evicted(evicted), ms));
        }
        position.is_some()
    }

    /// Sends a cache event, which may be lost.
    fn send_event(&mut self, engine: usize, event: CacheEvent, ms: u64) {
        self.sequences[engine] += 1;
        if !self.rng.random_bool(EVENT_LOSS) {
            let sequence = self.sequences[engine];
            self.events.push_back(DelayedEvent {
                due_ms: ms + EVENT_DELAY_MS,
                engine,
                sequence,
                event,
            });
        }
    }

    /// Delivers the cache events that are due.
    fn deliver_events(&mut self, ms: u64, keys: &[TargetKey]) {
        while self.events.front().is_some_and(|event| event.due_ms <= ms) {
            if let Some(event) = self.events.pop_front() {
                self.tracker
                    .apply(keys[event.engine], event.sequence, event.event);
            }
        }
    }
}
