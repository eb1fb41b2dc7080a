//! Load imbalance between engines when load reports are delayed.
//!
//! If every instance picks the engine that was least loaded in the last report, all pick the same
//! engine until the next report (herding).

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
const MEASURED_MS: u64 = 40_000;
const WARM_UP_MS: u64 = 20_000;
const REPORT_LAG_MS: u64 = 1_000;
const REPORT_INTERVAL_MS: u64 = 500;
/// The mean load of an engine as a fraction of its slots.
const UTILIZATION: f64 = 0.6;

/// How an instance picks an engine.
#[derive(Clone, Copy)]
enum Policy {
    Random,
    LeastReported,
    Celerypond,
}

/// Runs the benchmark with short and long calls.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let policies = [
        ("baseline: least reported load", Policy::LeastReported),
        ("baseline: random", Policy::Random),
        ("two choices, corrected load", Policy::Celerypond),
    ];
    let mut rows = Vec::new();
    for (measure, service_ms) in [
        ("max/mean load, 1 s lag, 0.8 s calls", 800.0),
        ("max/mean load, 1 s lag, 8 s calls", 8_000.0),
    ] {
        for (name, policy) in policies {
            let samples = (0..seeds).map(|seed| mean_imbalance(seed, policy, service_ms));
            rows.push(Row::of(measure, name, "max/mean", samples.collect()));
        }
    }
    rows
}

struct RunningRequest {
    ends_at_ms: u64,
    engine: usize,
    in_flight: InFlight,
}

/// Runs one simulation. Returns the ratio of the highest load of an engine to the mean load,
/// averaged over time.
fn mean_imbalance(seed: u64, policy: Policy, service_ms: f64) -> f64 {
    let start = Instant::now();
    let views: Vec<_> = (0..INSTANCES)
        .map(|_| fleet::view(ENGINES, SLOTS, start))
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut loads = vec![0_u32; ENGINES];
    let mut history: VecDeque<Vec<u32>> = VecDeque::new();
    let mut running: Vec<RunningRequest> = Vec::new();
    let mut ratios = Vec::new();
    let arrivals_per_tick =
        ENGINES as f64 * f64::from(SLOTS) * UTILIZATION * TICK_MS as f64 / service_ms;
    for ms in (0..MEASURED_MS + WARM_UP_MS).step_by(TICK_MS as usize) {
        let now = start + Duration::from_millis(ms);
        let (ended, rest) = running
            .into_iter()
            .partition(|request: &RunningRequest| request.ends_at_ms <= ms);
        running = rest;
        for request in ended {
            loads[request.engine] -= 1;
            request.in_flight.end(ms);
        }
        history.push_back(loads.clone());
        if history.len() as u64 > REPORT_LAG_MS / TICK_MS {
            let loads_then = history.pop_front().unwrap_or_default();
            if ms % REPORT_INTERVAL_MS == 0 {
                record_load_reports(&views, &loads_then, ms - REPORT_LAG_MS);
            }
        }
        for (view, ..) in views.iter().filter(|_| ms % 100 == 0) {
            view.update_load_stats(now);
        }
        let mut arrivals_due = arrivals_per_tick;
        while arrivals_due > 0.0 && rng.random_bool(arrivals_due.min(1.0)) {
            arrivals_due -= 1.0;
            let (view, route, keys) = &views[rng.random_range(0..INSTANCES)];
            let engine = pick_engine(policy, view, *route, keys, now, &mut rng);
            let target = view.target(keys[engine]);
            let Some(in_flight) = target.and_then(|target| target.state.begin_request(ms)) else {
                continue;
            };
            let ends_at_ms = ms + (-rng.random::<f64>().ln() * service_ms) as u64;
            loads[engine] += 1;
            running.push(RunningRequest {
                ends_at_ms,
                engine,
                in_flight,
            });
        }
        if ms > WARM_UP_MS {
            let mean = running.len() as f64 / ENGINES as f64;
            ratios.push(f64::from(loads.iter().copied().max().unwrap_or(0)) / mean.max(0.01));
        }
    }
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

fn record_load_reports(
    views: &[(RoutingView, Route, Vec<TargetKey>)],
    loads_then: &[u32],
    sampled_at_ms: u64,
) {
    for (view, _, keys) in views {
        for (key, load) in keys.iter().zip(loads_then) {
            if let Some(target) = view.target(*key) {
                target.state.record_load(sampled_at_ms, *load);
            }
        }
    }
}

fn pick_engine(
    policy: Policy,
    view: &RoutingView,
    route: Route,
    keys: &[TargetKey],
    now: Instant,
    rng: &mut SmallRng,
) -> usize {
    let ms = view.clock().millis(now);
    match policy {
        Policy::Random => rng.random_range(0..keys.len()),
        Policy::LeastReported => {
            // With these averages a report does not lose weight as it ages, and requests that the
            // instance itself has sent since are not added.
            let averages = PoolAverages {
                remote_load: 0,
                service_ms: u32::MAX,
            };
            let load = |engine: &usize| {
                view.target(keys[*engine])
                    .map(|t| t.state.remote_load(ms, averages))
            };
            (0..keys.len()).min_by_key(load).unwrap_or(0)
        }
        Policy::Celerypond => {
            let choice = view.pick(route, &PickCriteria::default(), now, rng).ok();
            let chosen = choice.map(|choice| choice.target);
            keys.iter()
                .position(|key| Some(*key) == chosen)
                .unwrap_or(0)
        }
    }
}
