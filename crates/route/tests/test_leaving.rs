//! A leaving target gets no new requests a few seconds after it starts to leave.

use std::collections::BTreeMap;

use celerypond_route::{
    Availability, DepartureNotice, DepartureState, PickCriteria, Route, RoutingView,
};
use celerypond_types::TargetKey;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{rngs::SmallRng, Rng};
use rstest::rstest;
use tokio::time::{Duration, Instant};

use crate::test_fixture::{rng, view};

const INSTANCES: usize = 7;
/// The instance that exchanges no notices with its peers.
const ISOLATED: usize = 6;
const ENGINES: usize = 12;
const TICK_MS: u64 = 50;
const DEPARTURE_MS: u64 = 12_000;
const END_MS: u64 = 45_000;
const LIST_LAG_MS: u64 = 10_000;

/// The safeguards against sending requests to a leaving target; each can be switched off.
#[derive(Clone, Copy)]
struct Safeguards {
    /// Check the health of a target before sending to it if its last report is too old.
    health_check: bool,
    /// Check whether the target is leaving when the request is sent, not only when the target is
    /// picked.
    recheck: bool,
    /// Let a report of being live override only reports of the same origin.
    per_origin: bool,
}

const ALL: Safeguards = Safeguards {
    health_check: true,
    recheck: true,
    per_origin: true,
};

struct Instance {
    view: RoutingView,
    route: Route,
    keys: Vec<TargetKey>,
    departures: BTreeMap<TargetKey, DepartureState>,
    /// Requests that have picked a target and are sent later: (time, target, kind).
    queued: Vec<(u64, TargetKey, &'static str)>,
}

struct Simulation {
    instances: Vec<Instance>,
    start: Instant,
    rng: SmallRng,
    safeguards: Safeguards,
    /// Requests started at the leaving target after it began to leave: (time, instance, kind).
    late_starts: Vec<(u64, usize, &'static str)>,
    leaving_target: TargetKey,
}

impl Simulation {
    fn new(seed: u64, safeguards: Safeguards) -> Self {
        let start = Instant::now();
        let instance = |_| {
            let (view, route, keys) = view(ENGINES, start);
            Instance {
                view,
                route,
                keys,
                departures: BTreeMap::new(),
                queued: Vec::new(),
            }
        };
        let instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
        let mut rng = rng(seed);
        let leaving_target = instances[0].keys[rng.random_range(0..ENGINES)];
        Self {
            instances,
            start,
            rng,
            safeguards,
            late_starts: Vec::new(),
            leaving_target,
        }
    }

    fn availability(&self, key: TargetKey, ms: u64) -> Availability {
        match key == self.leaving_target && ms >= DEPARTURE_MS {
            true => Availability::Leaving,
            false => Availability::Live,
        }
    }

    fn observe(
        &mut self,
        index: usize,
        key: TargetKey,
        update: impl Fn(DepartureState) -> DepartureState,
    ) {
        let per_origin = self.safeguards.per_origin;
        let instance = &mut self.instances[index];
        let last = instance.departures.entry(key).or_default();
        let next = update(*last);
        // Without the safeguard, the latest report counts, whatever its origin.
        *last = if per_origin {
            next
        } else {
            update(DepartureState::default())
        };
        let state = &instance.view.target(key).unwrap().state;
        state.set_closed(last.is_leaving());
    }

    /// Checks the health of a target; the reply takes 2 ms.
    fn check_health(&mut self, index: usize, key: TargetKey, ms: u64) {
        let availability = self.availability(key, ms);
        self.observe(index, key, |last| {
            last.observe_target(availability, ms, ms + 2)
        });
        if availability == Availability::Live {
            self.instances[index]
                .view
                .target(key)
                .unwrap()
                .state
                .record_live(ms);
        }
    }

    fn choose(&mut self, index: usize, ms: u64, kind: &'static str) {
        let now = self.start + Duration::from_millis(ms);
        let mut excluded = Vec::new();
        loop {
            let criteria = PickCriteria {
                excluded: &excluded,
                prefixes: &[3],
                ..PickCriteria::default()
            };
            let instance = &self.instances[index];
            let choice = instance
                .view
                .pick(instance.route, &criteria, now, &mut self.rng)
                .unwrap();
            if self.safeguards.health_check && choice.needs_health_check {
                self.check_health(index, choice.target, ms);
                excluded.push(choice.target);
                if self.availability(choice.target, ms) == Availability::Leaving {
                    continue;
                }
            }
            let wait = [0, 0, 500, 4_000][self.rng.random_range(0..4)];
            return self.instances[index]
                .queued
                .push((ms + wait, choice.target, kind));
        }
    }

    fn send(&mut self, index: usize, ms: u64) {
        let (due, rest) = std::mem::take(&mut self.instances[index].queued)
            .into_iter()
            .partition(|(when, ..)| *when <= ms);
        self.instances[index].queued = rest;
        let due: Vec<(u64, TargetKey, &'static str)> = due;
        for (_, key, kind) in due {
            let state = &self.instances[index].view.target(key).unwrap().state;
            let stale = self.safeguards.health_check && state.needs_health_check(ms);
            if stale {
                self.check_health(index, key, ms);
            }
            let state = &self.instances[index].view.target(key).unwrap().state;
            match state.begin_request(ms) {
                None if self.safeguards.recheck => self.choose(index, ms, "again"),
                open => {
                    if key == self.leaving_target && ms >= DEPARTURE_MS {
                        self.late_starts.push((ms, index, kind));
                    }
                    open.into_iter().for_each(|open| open.end(ms + 1));
                }
            }
        }
    }

    fn gossip(&mut self, ms: u64) {
        for from in 0..INSTANCES {
            let to = self.rng.random_range(0..INSTANCES);
            if from == ISOLATED || to == ISOLATED || self.rng.random_bool(0.1) {
                continue;
            }
            let notices: Vec<DepartureNotice> = self.instances[from]
                .departures
                .get(&self.leaving_target)
                .map_or(vec![], |last| last.notices(ms).collect());
            for notice in notices {
                self.observe(to, self.leaving_target, |last| {
                    last.observe_notice(notice, ms)
                });
            }
        }
    }

    fn run(mut self) -> Vec<(u64, usize, &'static str)> {
        for ms in (0..END_MS).step_by(TICK_MS as usize) {
            for index in 0..INSTANCES {
                if ms % 1_000 == 0 {
                    let seen =
                        self.availability(self.leaving_target, ms.saturating_sub(LIST_LAG_MS));
                    self.observe(index, self.leaving_target, |last| {
                        last.observe_list(seen, ms)
                    });
                    // Each instance polls the health of a third of the targets.
                    for key in self.instances[index]
                        .keys
                        .clone()
                        .into_iter()
                        .skip(index % 3)
                        .step_by(3)
                    {
                        self.check_health(index, key, ms);
                    }
                }
                let kind = ["first", "retry", "resume"][self.rng.random_range(0..3)];
                self.choose(index, ms, kind);
                self.send(index, ms);
            }
            if ms % 250 == 0 {
                self.gossip(ms);
            }
        }
        self.late_starts
    }
}

// An engine leaves. The platform's list reports it 10 s later; most instances learn it from the
// engine or from each other, and one instance is isolated from its peers. All have first attempts,
// retries and resumes that picked the engine before and are sent up to 4 s later. A request that
// starts more than 3 s after the engine began to leave would be aborted when the engine exits, and
// its client would wait until it is resumed elsewhere.
#[rstest]
#[case::all_safeguards(ALL, true)]
#[case::no_health_check(Safeguards { health_check: false, ..ALL }, false)]
#[case::no_recheck(Safeguards { recheck: false, ..ALL }, false)]
#[case::no_health_check_and_last_report_wins(Safeguards { per_origin: false, health_check: false, ..ALL }, false)]
fn no_request_starts_on_a_departed_target(#[case] safeguards: Safeguards, #[case] succeeds: bool) {
    let late_starts: Vec<_> = (0..20)
        .flat_map(|seed| Simulation::new(seed, safeguards).run())
        .filter(|(ms, ..)| *ms > DEPARTURE_MS + 3_000)
        .collect();
    assert_eq!(
        late_starts.is_empty(),
        succeeds,
        "{} starts, {:?}",
        late_starts.len(),
        late_starts.first()
    );
}

#[derive(Clone, Copy, Debug)]
enum Report {
    Target { leaving: bool, delay_ms: u64 },
    List { leaving: bool },
    Peer { notice: DepartureNotice },
}

fn report() -> impl Strategy<Value = Report> {
    let origin = prop_oneof![
        Just(celerypond_route::Origin::List),
        Just(celerypond_route::Origin::Target)
    ];
    prop_oneof![
        (any::<bool>(), 0..3_000_u64)
            .prop_map(|(leaving, delay_ms)| Report::Target { leaving, delay_ms }),
        any::<bool>().prop_map(|leaving| Report::List { leaving }),
        (origin, 0..20_000_u64).prop_map(|(origin, age_ms)| Report::Peer {
            notice: DepartureNotice { origin, age_ms }
        }),
    ]
}

// Once a target has reported that it is leaving, neither the list nor a peer reopens it, nor does
// its own reply to an earlier probe, whatever the order of reports.
#[test]
fn only_a_later_report_by_the_target_reopens_it() {
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), seed);
    let reports = prop::collection::vec((report(), 1..4_000_u64), 1..60);
    runner
        .run(&reports, |reports| {
            let mut now = 20_000;
            let mut state = DepartureState::default();
            let mut leaving_since = None;
            for (report, wait) in reports {
                now += wait;
                state = match report {
                    Report::Target {
                        leaving: true,
                        delay_ms,
                    } => state.observe_target(Availability::Leaving, now - delay_ms, now),
                    Report::Target {
                        leaving: false,
                        delay_ms,
                    } => state.observe_target(Availability::Live, now - delay_ms, now),
                    Report::List { leaving: true } => {
                        state.observe_list(Availability::Leaving, now)
                    }
                    Report::List { leaving: false } => state.observe_list(Availability::Live, now),
                    Report::Peer { notice } => state.observe_notice(notice, now),
                };
                leaving_since = match report {
                    Report::Target { leaving: true, .. } => Some(now),
                    Report::Target {
                        leaving: false,
                        delay_ms,
                    } if leaving_since < Some(now - delay_ms) => None,
                    _ => leaving_since,
                };
                prop_assert!(
                    leaving_since.is_none() || state.is_leaving(),
                    "{:?} {:?}",
                    leaving_since,
                    state
                );
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn list_reopens_a_target_only_after_settling() {
    let list = |state: DepartureState, availability, from: u64, until: u64| {
        let reads = (from..until).step_by(1_000);
        reads.fold(state, |state, ms| state.observe_list(availability, ms))
    };
    let leaving = list(DepartureState::default(), Availability::Leaving, 0, 5_000);
    // A lagging replica reports the target as live for 10 s.
    let stale = list(leaving, Availability::Live, 5_000, 15_000);
    assert!(stale.is_leaving());
    let leaving_again = list(stale, Availability::Leaving, 15_000, 16_000);
    assert!(list(leaving_again, Availability::Live, 16_000, 45_000).is_leaving());
    let reopened = list(leaving_again, Availability::Live, 16_000, 48_000);
    assert!(!reopened.is_leaving() && reopened.notices(48_000).count() == 0);
    // The earlier notice, still forwarded by a peer, does not close the target again; a new one
    // does.
    let old = leaving_again.notices(48_000).next().unwrap();
    assert!(!reopened.observe_notice(old, 48_000).is_leaving());
    let new = DepartureNotice { age_ms: 0, ..old };
    assert!(reopened.observe_notice(new, 48_000).is_leaving());
}
