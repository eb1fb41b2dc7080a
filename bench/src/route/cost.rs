//! What a choice and a refusal cost in real time, and a view in memory.

use std::{fs, hint::black_box};

use celerypond_route::{
    hash, AdmissionQueue, OutlierDetector, OutlierLimits, PickCriteria, QueueLimits, QueuedRequest,
    Route, RoutingView,
};
use celerypond_types::{Priority, TargetKey};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use tokio::time::Instant;

use super::fleet;
use crate::table::Row;

const SIZES: [usize; 3] = [40, 500, 11_000];
/// How many choices one sample covers, so that reading the clock does not count.
const BATCH: u32 = 100;
const SAMPLES: usize = 400;
const ACCOUNTS: usize = 600;
/// Views for the measure of memory.
const VIEWS: usize = 8;
const PAGE_BYTES: f64 = 4_096.0;

/// Takes the measures.
pub(crate) fn run() -> Vec<Row> {
    let mut rows: Vec<Row> = SIZES.into_iter().flat_map(picks).collect();
    rows.extend(SIZES.into_iter().flat_map(upkeep));
    rows.push(refusals());
    rows
}

fn picks(targets: usize) -> [Row; 3] {
    let now = Instant::now();
    let (view, route, keys) = fleet::view(targets, 8, now);
    let mut rng = SmallRng::seed_from_u64(1);
    for key in &keys {
        if let Some(target) = view.target(*key) {
            target.state.record_load(1, rng.random_range(0..8));
        }
    }
    view.update_load_stats(now);
    let scan = |_: &mut SmallRng| least(&view, route, now);
    let free = |rng: &mut SmallRng| pick(&view, route, &[], now, rng);
    let affine = |rng: &mut SmallRng| {
        let prefix = hash(&rng.random::<u64>().to_le_bytes());
        pick(&view, route, &[prefix], now, rng)
    };
    let row = |way: &str, samples| {
        Row::of(
            "a choice",
            format!("{way}, {targets} targets"),
            "ns",
            samples,
        )
    };
    [
        row(
            "baseline: scan all",
            timed(&mut rng, BATCH.min(200_000 / targets as u32), scan),
        ),
        row("two choices", timed(&mut rng, BATCH, free)),
        row("prefix", timed(&mut rng, BATCH, affine)),
    ]
}

fn pick(
    view: &RoutingView,
    route: Route,
    prefixes: &[u64],
    now: Instant,
    rng: &mut SmallRng,
) -> Option<TargetKey> {
    let ask = PickCriteria {
        prefixes,
        ..PickCriteria::default()
    };
    view.pick(route, &ask, now, rng)
        .ok()
        .map(|choice| choice.target)
}

/// Times what is done in the background: a survey, each 100 ms, and a new bundle.
fn upkeep(targets: usize) -> [Row; 3] {
    let now = Instant::now();
    let (view, bundle) = fleet::view_with_bundle(targets, 8, now);
    for (_, target) in view.targets() {
        target.state.record_load(1, 5);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let survey = timed(&mut rng, 1, |_| view.update_load_stats(now));
    let renew = timed(&mut rng, 1, |_| view.with_bundle(&bundle, now));
    let mut detector = OutlierDetector::new(OutlierLimits::default());
    for at in 0..20 * targets {
        let key = bundle
            .targets
            .get(at % targets)
            .and_then(|target| view.target_key(&target.name));
        key.into_iter()
            .for_each(|key| detector.record_success(key, at as f64 % 100.0));
    }
    let mut now_ms = 0;
    let step = || {
        now_ms += 10_000;
        view.pools().next().map(|pool| detector.step(pool, now_ms))
    };
    let steps = samples(step);
    let row = |measure, samples: Vec<f64>| {
        let micros = samples.into_iter().map(|ns| ns / 1e3).collect();
        Row::of(measure, format!("{targets} targets"), "us", micros)
    };
    [
        row("a survey", survey),
        row("a step of ejection", steps),
        row("a new bundle", renew),
    ]
}

/// Finds the least loaded target of all.
fn least(view: &RoutingView, route: Route, now: Instant) -> Option<TargetKey> {
    let ms = view.clock().millis(now);
    let pool = view.pool(route)?;
    let averages = pool.averages();
    let load = |key: &TargetKey| {
        view.target(*key)
            .map(|target| target.state.estimated_load(ms, averages))
    };
    pool.target_keys().min_by_key(load)
}

fn timed<T>(rng: &mut SmallRng, batch: u32, act: impl Fn(&mut SmallRng) -> T) -> Vec<f64> {
    let sample = |_| {
        let start = std::time::Instant::now();
        for _ in 0..batch {
            black_box(act(rng));
        }
        start.elapsed().as_secs_f64() * 1e9 / f64::from(batch)
    };
    (0..SAMPLES).map(sample).collect()
}

fn samples<T>(mut act: impl FnMut() -> T) -> Vec<f64> {
    let sample = |_| {
        let start = std::time::Instant::now();
        black_box(act());
        start.elapsed().as_secs_f64() * 1e9
    };
    (0..SAMPLES).map(sample).collect()
}

/// Measures the growth of resident memory by views, over their targets; call it before anything
/// has freed memory that views could use.
pub(crate) fn memory() -> Vec<Row> {
    let now = Instant::now();
    let mut held = Vec::new();
    let mut bytes = |targets: usize| {
        let count = VIEWS * SIZES[2] / targets;
        let before = resident();
        held.extend((0..count).map(|_| fleet::view(targets, 8, now).0));
        let per_target = (resident() - before) / (count * targets) as f64;
        Row::of(
            "memory of a view",
            format!("{targets} targets"),
            "B/target",
            vec![per_target],
        )
    };
    let rows = SIZES.into_iter().rev().map(&mut bytes).collect();
    black_box(&held);
    rows
}

fn resident() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(f64::NAN) * PAGE_BYTES
}

/// Times refusals by a full queue of many accounts.
fn refusals() -> Row {
    let accounts = fleet::accounts(ACCOUNTS);
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 1_000.0);
    let offer = |item: usize, deadline| QueuedRequest {
        account: accounts[item % ACCOUNTS],
        weight: 1,
        priority: if item.is_multiple_of(3) {
            Priority::Draft
        } else {
            Priority::Interactive
        },
        cost: 1,
        deadline,
        item,
    };
    for item in 0..4_000 {
        // Those that do not fit are refused, which fills the queue as well.
        let _ = queue.try_push(offer(item, u64::MAX / 2), 0);
    }
    let sample = |item| {
        let start = std::time::Instant::now();
        let refused = black_box(queue.try_push(offer(item, 1), 0));
        debug_assert!(refused.is_err());
        start.elapsed().as_secs_f64() * 1e6
    };
    let samples = (0..SAMPLES).map(sample).collect();
    Row::of(
        "a refusal, real time",
        "600 accounts, 4,000 wait",
        "us",
        samples,
    )
}
