//! How evenly engines are loaded when load reports lag.

use std::collections::VecDeque;

use celerypond_route::{InFlight, PickCriteria, PoolAverages, Route, RoutingView};
use celerypond_types::TargetKey;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use tokio::time::{Duration, Instant};

use super::fleet;
use crate::table::Row;

const INSTANCES: usize = 7;
const ENGINES: usize = 20;
const SLOTS: u32 = 8;
const TICK_MS: u64 = 20;
const END_MS: u64 = 40_000;
const WARM_MS: u64 = 20_000;
const LAG_MS: u64 = 1_000;
const REPORT_MS: u64 = 500;
/// The mean load of an engine over its slots.
const USE: f64 = 0.6;

#[derive(Clone, Copy)]
enum Way {
    Random,
    LeastReported,
    Ours,
}

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let ways = [
        ("baseline: least reported load", Way::LeastReported),
        ("baseline: random", Way::Random),
        ("two choices, corrected load", Way::Ours),
    ];
    let mut rows = Vec::new();
    for (measure, service_ms) in [
        ("max/mean load, 1 s lag, 0.8 s calls", 800.0),
        ("max/mean load, 1 s lag, 8 s calls", 8_000.0),
    ] {
        for (name, way) in ways {
            let samples = (0..seeds).map(|seed| ratio(seed, way, service_ms));
            rows.push(Row::of(measure, name, "max/mean", samples.collect()));
        }
    }
    rows
}

struct Running {
    end: u64,
    at: usize,
    open: InFlight,
}

/// Returns the mean over time of the most loaded engine's load over the mean load.
fn ratio(seed: u64, way: Way, service_ms: f64) -> f64 {
    let start = Instant::now();
    let views: Vec<_> = (0..INSTANCES)
        .map(|_| fleet::view(ENGINES, SLOTS, start))
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut loads = vec![0_u32; ENGINES];
    let mut history: VecDeque<Vec<u32>> = VecDeque::new();
    let mut running: Vec<Running> = Vec::new();
    let mut ratios = Vec::new();
    let per_tick = ENGINES as f64 * f64::from(SLOTS) * USE * TICK_MS as f64 / service_ms;
    for ms in (0..END_MS + WARM_MS).step_by(TICK_MS as usize) {
        let now = start + Duration::from_millis(ms);
        let (ended, rest) = running.into_iter().partition(|one: &Running| one.end <= ms);
        running = rest;
        for one in ended {
            loads[one.at] -= 1;
            one.open.end(ms);
        }
        history.push_back(loads.clone());
        if history.len() as u64 > LAG_MS / TICK_MS {
            let seen = history.pop_front().unwrap_or_default();
            if ms % REPORT_MS == 0 {
                report(&views, &seen, ms - LAG_MS);
            }
        }
        for (view, ..) in views.iter().filter(|_| ms % 100 == 0) {
            view.update_load_stats(now);
        }
        let mut due = per_tick;
        while due > 0.0 && rng.random_bool(due.min(1.0)) {
            due -= 1.0;
            let (view, route, keys) = &views[rng.random_range(0..INSTANCES)];
            let at = choose(way, view, *route, keys, now, &mut rng);
            let target = view.target(keys[at]);
            let Some(open) = target.and_then(|target| target.state.begin_request(ms)) else {
                continue;
            };
            let end = ms + (-rng.random::<f64>().ln() * service_ms) as u64;
            loads[at] += 1;
            running.push(Running { end, at, open });
        }
        if ms > WARM_MS {
            let mean = running.len() as f64 / ENGINES as f64;
            ratios.push(f64::from(loads.iter().copied().max().unwrap_or(0)) / mean.max(0.01));
        }
    }
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

fn report(views: &[(RoutingView, Route, Vec<TargetKey>)], seen: &[u32], sampled_ms: u64) {
    for (view, _, keys) in views {
        for (key, load) in keys.iter().zip(seen) {
            if let Some(target) = view.target(*key) {
                target.state.record_load(sampled_ms, *load);
            }
        }
    }
}

fn choose(
    way: Way,
    view: &RoutingView,
    route: Route,
    keys: &[TargetKey],
    now: Instant,
    rng: &mut SmallRng,
) -> usize {
    let ms = view.clock().millis(now);
    match way {
        Way::Random => rng.random_range(0..keys.len()),
        Way::LeastReported => {
            // Without a trust that falls, and without the own sends.
            let averages = PoolAverages {
                remote_load: 0,
                service_ms: u32::MAX,
            };
            let load = |at: &usize| {
                view.target(keys[*at])
                    .map(|t| t.state.remote_load(ms, averages))
            };
            (0..keys.len()).min_by_key(load).unwrap_or(0)
        }
        Way::Ours => {
            let choice = view.pick(route, &PickCriteria::default(), now, rng).ok();
            let chosen = choice.map(|choice| choice.target);
            keys.iter()
                .position(|key| Some(*key) == chosen)
                .unwrap_or(0)
        }
    }
}
