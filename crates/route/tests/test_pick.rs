//! Target selection: exclusions, lagging load reports, prefix affinity, changes of the bundle.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use celerypond_route::{
    CacheEvent, InFlight, PickCriteria, PickError, PickReason, PoolAverages, PrefixTracker, Route,
    RoutingView, FULL_WEIGHT,
};
use celerypond_types::{Priority, TargetKey};
use rand::Rng;
use rstest::rstest;
use tokio::time::{Duration, Instant};

use crate::test_fixture::{bundle, rng, view, SLOTS};

const ENGINES: usize = 20;

#[test]
fn excluded_closed_and_ejected_targets_are_never_chosen() {
    let now = Instant::now();
    let (view, route, keys) = view(ENGINES, now);
    let pool = view.pool(route).unwrap();
    view.target(keys[0]).unwrap().state.set_closed(true);
    pool.set_weight(keys[1], 0);
    let criteria = PickCriteria {
        excluded: &keys[2..ENGINES - 1],
        prefixes: &[7],
        ..PickCriteria::default()
    };
    for seed in 0..200 {
        let choice = view.pick(route, &criteria, now, &mut rng(seed)).unwrap();
        assert_eq!(choice.target, keys[ENGINES - 1]);
    }
    pool.set_weight(keys[ENGINES - 1], 0);
    let none = view.pick(route, &criteria, now, &mut rng(0));
    assert_eq!(none, Err(PickError::NoTarget));
    // In panic mode ejected targets may be picked, but leaving ones may not.
    pool.set_panic_mode(true);
    let mut counts = BTreeMap::new();
    for seed in 0..200 {
        let choice = view.pick(route, &criteria, now, &mut rng(seed)).unwrap();
        *counts.entry(choice.target).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 2, "{counts:?}");
}

#[test]
fn panic_mode_spreads_requests_over_ejected_targets() {
    let now = Instant::now();
    let (view, route, keys) = view(2, now);
    let pool = view.pool(route).unwrap();
    pool.set_weight(keys[0], 0);
    pool.set_panic_mode(true);
    let pick = |seed| {
        view.pick(route, &PickCriteria::default(), now, &mut rng(seed))
            .unwrap()
    };
    let ejected = (0..400)
        .filter(|seed| pick(*seed).target == keys[0])
        .count();
    assert!((150..250).contains(&ejected), "{ejected}");
}

#[test]
fn services_use_their_own_targets_and_prefer_a_data_centre() {
    let now = Instant::now();
    let (view, _, _) = view(ENGINES, now);
    let desk = Route::Service(view.service_key(&"desk".into()).unwrap());
    let near = "dc-1".into();
    let criteria = PickCriteria {
        preferred_data_centre: Some(&near),
        ..PickCriteria::default()
    };
    let choice = view.pick(desk, &criteria, now, &mut rng(1)).unwrap();
    assert_eq!(Some(choice.target), view.target_key(&"desk-001".into()));
    assert_eq!(choice.reason, PickReason::PreferredDataCentre);
    // If the target's load is far above the mean, the request goes to another data centre.
    let state = &view.target(choice.target).unwrap().state;
    state.record_load(1, 4 * SLOTS);
    view.update_load_stats(now);
    let choice = view.pick(desk, &criteria, now, &mut rng(1)).unwrap();
    assert_eq!(choice.reason, PickReason::AnyDataCentre);
}

#[test]
fn state_and_keys_survive_a_new_bundle() {
    let now = Instant::now();
    let (view, route, keys) = view(ENGINES, now);
    let open = view
        .target(keys[3])
        .unwrap()
        .state
        .begin_request(0)
        .unwrap();
    view.pool(route).unwrap().set_weight(keys[4], 0);
    let mut next = bundle(ENGINES);
    next.targets[0].address = ([10, 9, 9, 9], 80).into();
    next.targets.remove(1);
    next.models[0].versions[0].targets.remove(1);
    next.models[0].versions[1].targets.remove(1);
    let after = view.with_bundle(&next, now);
    assert_eq!(after.target(keys[3]).unwrap().state.in_flight(), 1);
    assert_ne!(after.target_key(&"engine-000".into()), Some(keys[0]));
    assert!(after.target(keys[1]).is_none());
    drop(open);
    assert_eq!(after.target(keys[3]).unwrap().state.in_flight(), 0);
    let excluded: Vec<TargetKey> = keys.iter().copied().filter(|key| *key != keys[4]).collect();
    let criteria = PickCriteria {
        excluded: &excluded,
        ..PickCriteria::default()
    };
    // Only the ejected target and the one with a new address are not excluded.
    let choice = after.pick(route, &criteria, now, &mut rng(0)).unwrap();
    assert_eq!(after.target_key(&"engine-000".into()), Some(choice.target));
}

#[test]
fn adapters_map_a_prefix_to_different_engines() {
    let now = Instant::now();
    let (view, route, _) = view(ENGINES, now);
    let targets = |adapter| {
        let chosen = (0..32).map(|seed| {
            let criteria = PickCriteria {
                prefixes: &[7],
                adapter,
                ..PickCriteria::default()
            };
            view.pick(route, &criteria, now, &mut rng(seed))
                .unwrap()
                .target
        });
        chosen.collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(targets(1).len(), 1);
    assert_ne!(targets(1), targets(2));
}

/// Sends the same prompt 2,000 times, every 5 ms, to engines that take 100 ms for each. Returns the
/// share of requests that reached an engine with the prefix, and the highest number of requests in
/// flight at one engine.
fn run_hot_prompt(bounded: bool) -> (f64, f64) {
    let start = Instant::now();
    let (view, route, _) = view(ENGINES, start);
    let mut seen = std::collections::BTreeSet::new();
    let (mut hits, mut open, mut worst) = (0, Vec::new(), 0);
    for index in 0..2_000_u64 {
        let now = start + Duration::from_millis(5 * index);
        if bounded {
            view.update_load_stats(now);
        }
        let target = match bounded {
            true => {
                let criteria = PickCriteria {
                    prefixes: &[7],
                    ..PickCriteria::default()
                };
                view.pick(route, &criteria, now, &mut rng(index))
                    .unwrap()
                    .target
            }
            false => view.pool(route).unwrap().target_keys().next().unwrap(),
        };
        hits += u32::from(!seen.insert(target));
        let state = &view.target(target).unwrap().state;
        open.push((5 * index + 100, state.begin_request(5 * index).unwrap()));
        open.retain(|(end, _)| *end > 5 * index);
        worst = worst.max(state.in_flight());
    }
    (f64::from(hits) / 2_000.0, f64::from(worst))
}

// Many requests share one prompt prefix. Without a load bound, the engine with the prefix gets all
// of them and clients wait while nineteen engines are idle. With the bound, requests spill over to
// a few engines, which then cache the prefix as well.
#[test]
fn a_hot_prefix_spills_over_to_other_engines() {
    let (hits, worst) = run_hot_prompt(true);
    assert!(hits > 0.98 && worst <= 8.0, "{hits} {worst}");
    let (_, worst) = run_hot_prompt(false);
    assert!(worst >= 20.0, "{worst}");
}

#[test]
fn uncertain_holders_rank_lower() {
    let now = Instant::now();
    let (view, route, keys) = view(ENGINES, now);
    let mut tracker = PrefixTracker::default();
    tracker.apply(keys[5], 1, CacheEvent::Stored(70));
    let pick = |tracker: &PrefixTracker, load| {
        let state = &view.target(keys[5]).unwrap().state;
        state.record_load(1, load);
        let view = view.with_prefix_index(Arc::new(tracker.build_index()));
        let criteria = PickCriteria {
            prefixes: &[71, 70],
            ..PickCriteria::default()
        };
        view.pick(route, &criteria, now, &mut rng(1))
            .unwrap()
            .target
    };
    assert_eq!(pick(&tracker, 0), keys[5]);
    tracker.apply(keys[5], 3, CacheEvent::Stored(72));
    assert_ne!(pick(&tracker, 0), keys[5]);
    tracker.apply(keys[5], 4, CacheEvent::Evicted(70));
    assert_ne!(pick(&tracker, 0), keys[5]);
}

#[test]
fn prefix_tracker_is_bounded() {
    let (_, _, keys) = view(ENGINES, Instant::now());
    let mut tracker = PrefixTracker::default();
    for sequence in 1..10_000 {
        tracker.apply(keys[0], sequence, CacheEvent::Stored(sequence));
    }
    assert_eq!(tracker.len(), 256);
    // The newest prefixes are kept.
    assert_eq!(tracker.build_index().holders(9_999).len(), 1);
    assert!(tracker.build_index().holders(1).is_empty());
}

/// Simulates 7 instances and 20 engines whose load reports lag by 1 s. Returns the ratio of the
/// highest load of an engine to the mean load, averaged over time.
fn load_imbalance(
    seed: u64,
    choose: impl Fn(&RoutingView, Route, Instant, &mut rand::rngs::SmallRng) -> TargetKey,
) -> f64 {
    let start = Instant::now();
    let views: Vec<_> = (0..7).map(|_| view(ENGINES, start)).collect();
    let mut rng = rng(seed);
    let mut loads: BTreeMap<TargetKey, u32> = BTreeMap::new();
    let mut running: Vec<(u64, TargetKey, InFlight)> = Vec::new();
    let (mut history, mut ratios) = (Vec::new(), Vec::new());
    for tick in 0..600_u64 {
        let ms = tick * 50;
        let now = start + Duration::from_millis(ms);
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, ..)| *end <= ms);
        running = rest;
        for (_, key, open) in ended {
            *loads.get_mut(&key).unwrap() -= 1;
            open.end(ms);
        }
        history.push(loads.clone());
        for (view, route, keys) in &views {
            // Every 500 ms a report of the load 1 s ago.
            if tick % 10 == 0 && tick >= 20 {
                for key in keys {
                    let load = history[tick as usize - 20].get(key).copied().unwrap_or(0);
                    view.target(*key)
                        .unwrap()
                        .state
                        .record_load(ms - 1_000, load);
                }
            }
            view.update_load_stats(now);
            if rng.random_bool(0.7) {
                let key = choose(view, *route, now, &mut rng);
                let open = view.target(key).unwrap().state.begin_request(ms).unwrap();
                *loads.entry(key).or_default() += 1;
                running.push((ms + rng.random_range(200..1_400), key, open));
            }
        }
        let mean = running.len() as f64 / ENGINES as f64;
        let most = loads.values().max().copied().unwrap_or(0);
        if tick > 100 {
            ratios.push(f64::from(most) / mean);
        }
    }
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

// Seven instances read the same load reports, each 1 s old. If each sends to the engine that was
// least loaded then, all choose the same one: its queue grows for a second until a report shows it,
// and then the next engine is flooded. Clients wait while most engines are idle.
#[rstest]
fn lagging_reports_cause_no_herding(#[values(1, 2, 3)] seed: u64) {
    let picked = load_imbalance(seed, |view, route, now, rng| {
        view.pick(route, &PickCriteria::default(), now, rng)
            .unwrap()
            .target
    });
    let least_reported = load_imbalance(seed, |view, route, now, _| {
        let pool = view.pool(route).unwrap();
        let ms = view.clock().millis(now);
        let load = |key: &TargetKey| {
            let state = &view.target(*key).unwrap().state;
            state.remote_load(ms, PoolAverages::default())
        };
        pool.target_keys().min_by_key(load).unwrap()
    });
    let random = load_imbalance(seed, |view, route, _, rng| {
        let keys: Vec<TargetKey> = view.pool(route).unwrap().target_keys().collect();
        keys[rng.random_range(0..keys.len())]
    });
    assert!(picked < 2.0 && picked < random, "{picked} {random}");
    assert!(least_reported > 2.0 * picked, "{least_reported} {picked}");
}

/// Simulates 3 instances with more requests than slots and load reports that lag by 1 s; instances
/// send while `has_capacity` returns `true`. Returns the mean share of slots in use and the mean
/// queue length of an engine.
fn run_saturated(
    has_capacity: impl Fn(&RoutingView, &celerypond_route::Choice, u64) -> bool,
) -> (f64, f64) {
    let start = Instant::now();
    let views = (0..3).map(|_| view(ENGINES, start));
    let views: Vec<_> = views
        .map(|(view, route, keys)| (view.with_instances(3), route, keys))
        .collect();
    let mut rng = rng(5);
    let mut running: Vec<(u64, usize, InFlight)> = Vec::new();
    let mut queues: Vec<VecDeque<InFlight>> = (0..ENGINES).map(|_| VecDeque::new()).collect();
    let mut history = Vec::new();
    let (mut used, mut queued) = (0, 0);
    for ms in (0..30_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, ..)| *end <= ms);
        running = rest;
        ended.into_iter().for_each(|(_, _, open)| open.end(ms));
        for (view, route, keys) in &views {
            if ms % 500 == 0 && ms >= 1_000 {
                let seen: &Vec<u32> = &history[(ms as usize - 1_000) / 50];
                for (key, load) in keys.iter().zip(seen) {
                    view.target(*key)
                        .unwrap()
                        .state
                        .record_load(ms - 1_000, *load);
                }
            }
            view.update_load_stats(now);
            for _ in 0..40 {
                let choice = view
                    .pick(*route, &PickCriteria::default(), now, &mut rng)
                    .unwrap();
                if !has_capacity(view, &choice, ms) {
                    break;
                }
                let index = keys.iter().position(|key| *key == choice.target).unwrap();
                queues[index].push_back(
                    view.target(choice.target)
                        .unwrap()
                        .state
                        .begin_request(ms)
                        .unwrap(),
                );
            }
        }
        for (index, queue) in queues.iter_mut().enumerate() {
            let busy = running
                .iter()
                .filter(|(_, engine, _)| *engine == index)
                .count();
            let free = queue.drain(..queue.len().min(SLOTS as usize - busy));
            running.extend(free.map(|open| (ms + rng.random_range(200..1_100), index, open)));
        }
        let busy = |index| {
            running
                .iter()
                .filter(|(_, engine, _)| *engine == index)
                .count()
        };
        history.push(
            (0..ENGINES)
                .map(|index| (busy(index) + queues[index].len()) as u32)
                .collect(),
        );
        if ms >= 10_000 {
            used += running.len();
            queued += queues.iter().map(VecDeque::len).sum::<usize>();
        }
    }
    let samples = 400.0 * ENGINES as f64;
    (
        used as f64 / samples / f64::from(SLOTS),
        queued as f64 / samples,
    )
}

// All instances have more requests than slots. If each sends while the last reports show free
// slots, all fill the engines at once, see it a second later and all stop until the engines are
// idle: clients wait while a quarter of the slots is unused, and in between the engines have long
// queues.
#[test]
fn stale_reports_cause_no_load_oscillation() {
    let (used, queued) = run_saturated(|_, choice, _| choice.fits_quota(Priority::Draft));
    assert!(used > 0.93 && queued < 3.0, "{used} {queued}");
    let (used, queued) = run_saturated(|view, choice, ms| {
        let state = &view.target(choice.target).unwrap().state;
        state.estimated_load(ms, PoolAverages::default()) < SLOTS
    });
    assert!(used < 0.9, "{used} {queued}");
}

#[test]
fn picks_are_deterministic_for_a_seed() {
    let now = Instant::now();
    let run = || {
        let (view, route, _) = view(ENGINES, now);
        let mut rng = rng(9);
        let pick = |_| {
            view.pick(route, &PickCriteria::default(), now, &mut rng)
                .unwrap()
        };
        (0..100).map(pick).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
    assert_eq!(FULL_WEIGHT, 1_024);
}
