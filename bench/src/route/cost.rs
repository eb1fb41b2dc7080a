//! Real time of picking a target, of refusing a request and of background work, and the memory of a
//! routing view.

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

const TARGET_COUNTS: [usize; 3] = [40, 500, 11_000];
/// How many picks one sample covers, so that the cost of reading the clock is negligible.
const PICKS_PER_SAMPLE: u32 = 100;
const SAMPLES: usize = 400;
const ACCOUNTS: usize = 600;
/// How many views of the largest size the memory benchmark creates. Of the smaller sizes it creates
/// more, so that the total number of targets is about the same.
const MEMORY_VIEWS: usize = 8;
const PAGE_BYTES: f64 = 4_096.0;

/// Runs the benchmarks of time.
pub(crate) fn run() -> Vec<Row> {
    let mut rows: Vec<Row> = TARGET_COUNTS.into_iter().flat_map(pick_times).collect();
    rows.extend(TARGET_COUNTS.into_iter().flat_map(background_work));
    rows.push(refusal_times());
    rows
}

fn pick_times(targets: usize) -> [Row; 3] {
    let now = Instant::now();
    let (view, route, keys) = fleet::view(targets, 8, now);
    let mut rng = SmallRng::seed_from_u64(1);
    for key in &keys {
        if let Some(target) = view.target(*key) {
            target.state.record_load(1, rng.random_range(0..8));
        }
    }
    view.update_load_stats(now);
    let scan = |_: &mut SmallRng| least_loaded(&view, route, now);
    let two_choices = |rng: &mut SmallRng| pick(&view, route, &[], now, rng);
    let by_prefix = |rng: &mut SmallRng| {
        let prefix = hash(&rng.random::<u64>().to_le_bytes());
        pick(&view, route, &[prefix], now, rng)
    };
    let row = |policy: &str, samples| {
        Row::of(
            "a choice",
            format!("{policy}, {targets} targets"),
            "ns",
            samples,
        )
    };
    [
        row(
            "baseline: scan all",
            time_batches(
                &mut rng,
                PICKS_PER_SAMPLE.min(200_000 / targets as u32),
                scan,
            ),
        ),
        row(
            "two choices",
            time_batches(&mut rng, PICKS_PER_SAMPLE, two_choices),
        ),
        row(
            "prefix",
            time_batches(&mut rng, PICKS_PER_SAMPLE, by_prefix),
        ),
    ]
}

fn pick(
    view: &RoutingView,
    route: Route,
    prefixes: &[u64],
    now: Instant,
    rng: &mut SmallRng,
) -> Option<TargetKey> {
    let criteria = PickCriteria {
        prefixes,
        ..PickCriteria::default()
    };
    view.pick(route, &criteria, now, rng)
        .ok()
        .map(|choice| choice.target)
}

/// Times the background work: the update of the load statistics (every 100 ms), a step of outlier
/// detection, and the change to a new bundle.
fn background_work(targets: usize) -> [Row; 3] {
    let now = Instant::now();
    let (view, bundle) = fleet::view_with_bundle(targets, 8, now);
    for (_, target) in view.targets() {
        target.state.record_load(1, 5);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let update_stats = time_batches(&mut rng, 1, |_| view.update_load_stats(now));
    let apply_bundle = time_batches(&mut rng, 1, |_| view.with_bundle(&bundle, now));
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
    let steps = time_each(step);
    let row = |measure, samples: Vec<f64>| {
        let micros = samples.into_iter().map(|ns| ns / 1e3).collect();
        Row::of(measure, format!("{targets} targets"), "us", micros)
    };
    [
        row("a survey", update_stats),
        row("a step of ejection", steps),
        row("a new bundle", apply_bundle),
    ]
}

/// Scans all targets of the pool for the least loaded one.
fn least_loaded(view: &RoutingView, route: Route, now: Instant) -> Option<TargetKey> {
    let ms = view.clock().millis(now);
    let pool = view.pool(route)?;
    let averages = pool.averages();
    let load = |key: &TargetKey| {
        view.target(*key)
            .map(|target| target.state.estimated_load(ms, averages))
    };
    pool.target_keys().min_by_key(load)
}

/// Times `batch` operations per sample and returns the nanoseconds per operation.
fn time_batches<T>(
    rng: &mut SmallRng,
    batch: u32,
    operation: impl Fn(&mut SmallRng) -> T,
) -> Vec<f64> {
    let sample = |_| {
        let start = std::time::Instant::now();
        for _ in 0..batch {
            black_box(operation(rng));
        }
        start.elapsed().as_secs_f64() * 1e9 / f64::from(batch)
    };
    (0..SAMPLES).map(sample).collect()
}

/// Times single operations and returns their nanoseconds.
fn time_each<T>(mut operation: impl FnMut() -> T) -> Vec<f64> {
    let sample = |_| {
        let start = std::time::Instant::now();
        black_box(operation());
        start.elapsed().as_secs_f64() * 1e9
    };
    (0..SAMPLES).map(sample).collect()
}

/// Measures how much resident memory grows for each target of a view. Call it before anything has
/// freed memory, which views could reuse without any growth.
pub(crate) fn memory() -> Vec<Row> {
    let now = Instant::now();
    let mut views = Vec::new();
    let mut bytes = |targets: usize| {
        let count = MEMORY_VIEWS * TARGET_COUNTS[2] / targets;
        let before = resident_bytes();
        views.extend((0..count).map(|_| fleet::view(targets, 8, now).0));
        let per_target = (resident_bytes() - before) / (count * targets) as f64;
        Row::of(
            "memory of a view",
            format!("{targets} targets"),
            "B/target",
            vec![per_target],
        )
    };
    let rows = TARGET_COUNTS.into_iter().rev().map(&mut bytes).collect();
    black_box(&views);
    rows
}

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(f64::NAN) * PAGE_BYTES
}

/// Times refusals by a full queue that holds requests of many accounts.
fn refusal_times() -> Row {
    let accounts = fleet::accounts(ACCOUNTS);
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 1_000.0);
    let request = |item: usize, deadline| QueuedRequest {
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
        // Requests beyond the capacity are refused; the queue is full either way.
        let _ = queue.try_push(request(item, u64::MAX / 2), 0);
    }
    let sample = |item| {
        let start = std::time::Instant::now();
        let refused = black_box(queue.try_push(request(item, 1), 0));
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
