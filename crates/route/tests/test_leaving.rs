//! G7: a leaving target gets no new work a few seconds after it leaves.

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
/// The instance that no peer reaches.
const CUT_OFF: usize = 6;
const ENGINES: usize = 12;
const TICK_MS: u64 = 50;
const LEAVE_MS: u64 = 12_000;
const END_MS: u64 = 45_000;
const LIST_LAG_MS: u64 = 10_000;

/// What an instance does to learn of a departure; a safeguard can be switched off.
#[derive(Clone, Copy)]
struct Guards {
    /// PickCriteria a target whose last word is old before work is sent.
    ask: bool,
    /// Look again when the work is sent, not only when the target is chosen.
    recheck: bool,
    /// Let a source take back only its own word.
    origins: bool,
}

const ALL: Guards = Guards {
    ask: true,
    recheck: true,
    origins: true,
};

struct Instance {
    view: RoutingView,
    route: Route,
    keys: Vec<TargetKey>,
    departures: BTreeMap<TargetKey, DepartureState>,
    /// Work that has chosen a target and is sent later: (when, target, why).
    later: Vec<(u64, TargetKey, &'static str)>,
}

struct World {
    instances: Vec<Instance>,
    start: Instant,
    rng: SmallRng,
    guards: Guards,
    /// Starts at the leaving target after it left: (when, instance, why).
    late: Vec<(u64, usize, &'static str)>,
    leaver: TargetKey,
}

impl World {
    fn new(seed: u64, guards: Guards) -> Self {
        let start = Instant::now();
        let instance = |_| {
            let (view, route, keys) = view(ENGINES, start);
            Instance {
                view,
                route,
                keys,
                departures: BTreeMap::new(),
                later: Vec::new(),
            }
        };
        let instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
        let mut rng = rng(seed);
        let leaver = instances[0].keys[rng.random_range(0..ENGINES)];
        Self {
            instances,
            start,
            rng,
            guards,
            late: Vec::new(),
            leaver,
        }
    }

    fn word(&self, key: TargetKey, ms: u64) -> Availability {
        match key == self.leaver && ms >= LEAVE_MS {
            true => Availability::Leaving,
            false => Availability::Live,
        }
    }

    fn hear(&mut self, at: usize, key: TargetKey, by: impl Fn(DepartureState) -> DepartureState) {
        let origins = self.guards.origins;
        let instance = &mut self.instances[at];
        let last = instance.departures.entry(key).or_default();
        let next = by(*last);
        // Without the safeguard, the last word counts, whoever said it.
        *last = if origins {
            next
        } else {
            by(DepartureState::default())
        };
        let state = &instance.view.target(key).unwrap().state;
        state.set_closed(last.is_leaving());
    }

    /// Asks a target for its health; the answer takes a moment.
    fn ask(&mut self, at: usize, key: TargetKey, ms: u64) {
        let word = self.word(key, ms);
        self.hear(at, key, |last| last.observe_target(word, ms, ms + 2));
        if word == Availability::Live {
            self.instances[at]
                .view
                .target(key)
                .unwrap()
                .state
                .record_live(ms);
        }
    }

    fn choose(&mut self, at: usize, ms: u64, why: &'static str) {
        let now = self.start + Duration::from_millis(ms);
        let mut excluded = Vec::new();
        loop {
            let ask = PickCriteria {
                excluded: &excluded,
                prefixes: &[3],
                ..PickCriteria::default()
            };
            let one = &self.instances[at];
            let choice = one.view.pick(one.route, &ask, now, &mut self.rng).unwrap();
            if self.guards.ask && choice.needs_health_check {
                self.ask(at, choice.target, ms);
                excluded.push(choice.target);
                if self.word(choice.target, ms) == Availability::Leaving {
                    continue;
                }
            }
            let wait = [0, 0, 500, 4_000][self.rng.random_range(0..4)];
            return self.instances[at]
                .later
                .push((ms + wait, choice.target, why));
        }
    }

    fn send(&mut self, at: usize, ms: u64) {
        let (due, rest) = std::mem::take(&mut self.instances[at].later)
            .into_iter()
            .partition(|(when, ..)| *when <= ms);
        self.instances[at].later = rest;
        let due: Vec<(u64, TargetKey, &'static str)> = due;
        for (_, key, why) in due {
            let state = &self.instances[at].view.target(key).unwrap().state;
            let stale = self.guards.ask && state.needs_health_check(ms);
            if stale {
                self.ask(at, key, ms);
            }
            let state = &self.instances[at].view.target(key).unwrap().state;
            match state.begin_request(ms) {
                None if self.guards.recheck => self.choose(at, ms, "again"),
                open => {
                    if key == self.leaver && ms >= LEAVE_MS {
                        self.late.push((ms, at, why));
                    }
                    open.into_iter().for_each(|open| open.end(ms + 1));
                }
            }
        }
    }

    fn gossip(&mut self, ms: u64) {
        for from in 0..INSTANCES {
            let to = self.rng.random_range(0..INSTANCES);
            if from == CUT_OFF || to == CUT_OFF || self.rng.random_bool(0.1) {
                continue;
            }
            let word: Vec<DepartureNotice> = self.instances[from]
                .departures
                .get(&self.leaver)
                .map_or(vec![], |last| last.notices(ms).collect());
            for relay in word {
                self.hear(to, self.leaver, |last| last.observe_notice(relay, ms));
            }
        }
    }

    fn run(mut self) -> Vec<(u64, usize, &'static str)> {
        for ms in (0..END_MS).step_by(TICK_MS as usize) {
            for at in 0..INSTANCES {
                if ms % 1_000 == 0 {
                    let seen = self.word(self.leaver, ms.saturating_sub(LIST_LAG_MS));
                    self.hear(at, self.leaver, |last| last.observe_list(seen, ms));
                    // Each instance watches the health of a third of the targets.
                    for key in self.instances[at]
                        .keys
                        .clone()
                        .into_iter()
                        .skip(at % 3)
                        .step_by(3)
                    {
                        self.ask(at, key, ms);
                    }
                }
                let why = ["first", "retry", "resume"][self.rng.random_range(0..3)];
                self.choose(at, ms, why);
                self.send(at, ms);
            }
            if ms % 250 == 0 {
                self.gossip(ms);
            }
        }
        self.late
    }
}

// An engine leaves. The platform's list says so 10 s later, most instances hear it from the engine
// or from each other, and one instance hears no peer. All have first tries, retries and resumes
// that chose the engine before and are sent up to 4 s later. A start after 3 s would be cut off
// when the engine ends, and its caller would wait for a resume elsewhere.
#[rstest]
#[case::all_guards(ALL, true)]
#[case::no_question_before_sending(Guards { ask: false, ..ALL }, false)]
#[case::no_second_look(Guards { recheck: false, ..ALL }, false)]
#[case::no_question_and_the_last_word_wins(Guards { origins: false, ask: false, ..ALL }, false)]
fn no_work_starts_on_a_target_that_left(#[case] guards: Guards, #[case] holds: bool) {
    let late: Vec<_> = (0..20)
        .flat_map(|seed| World::new(seed, guards).run())
        .filter(|(ms, ..)| *ms > LEAVE_MS + 3_000)
        .collect();
    assert_eq!(
        late.is_empty(),
        holds,
        "{} starts, {:?}",
        late.len(),
        late.first()
    );
}

#[derive(Clone, Copy, Debug)]
enum Said {
    Target { leaving: bool, took: u64 },
    List { leaving: bool },
    Peer { relay: DepartureNotice },
}

fn said() -> impl Strategy<Value = Said> {
    let origin = prop_oneof![
        Just(celerypond_route::Origin::List),
        Just(celerypond_route::Origin::Target)
    ];
    prop_oneof![
        (any::<bool>(), 0..3_000_u64).prop_map(|(leaving, took)| Said::Target { leaving, took }),
        any::<bool>().prop_map(|leaving| Said::List { leaving }),
        (origin, 0..20_000_u64).prop_map(|(origin, age_ms)| Said::Peer {
            relay: DepartureNotice { origin, age_ms }
        }),
    ]
}

// After a target has said that it leaves, no word of the list or of a peer opens it, and none of
// its own that answers an earlier question. The same words in another order change nothing.
#[test]
fn only_a_later_own_word_opens_a_target() {
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), seed);
    let words = prop::collection::vec((said(), 1..4_000_u64), 1..60);
    runner
        .run(&words, |words| {
            let mut now = 20_000;
            let mut state = DepartureState::default();
            let mut left = None;
            for (word, wait) in words {
                now += wait;
                state = match word {
                    Said::Target {
                        leaving: true,
                        took,
                    } => state.observe_target(Availability::Leaving, now - took, now),
                    Said::Target {
                        leaving: false,
                        took,
                    } => state.observe_target(Availability::Live, now - took, now),
                    Said::List { leaving: true } => state.observe_list(Availability::Leaving, now),
                    Said::List { leaving: false } => state.observe_list(Availability::Live, now),
                    Said::Peer { relay } => state.observe_notice(relay, now),
                };
                left = match word {
                    Said::Target { leaving: true, .. } => Some(now),
                    Said::Target {
                        leaving: false,
                        took,
                    } if left < Some(now - took) => None,
                    _ => left,
                };
                prop_assert!(
                    left.is_none() || state.is_leaving(),
                    "{:?} {:?}",
                    left,
                    state
                );
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_list_takes_back_its_word_only_after_a_steady_while() {
    let list = |state: DepartureState, word, from: u64, until: u64| {
        let reads = (from..until).step_by(1_000);
        reads.fold(state, |state, ms| state.observe_list(word, ms))
    };
    let left = list(DepartureState::default(), Availability::Leaving, 0, 5_000);
    // A replica that is behind says 'live' for 10 s.
    let behind = list(left, Availability::Live, 5_000, 15_000);
    assert!(behind.is_leaving());
    let again = list(behind, Availability::Leaving, 15_000, 16_000);
    assert!(list(again, Availability::Live, 16_000, 45_000).is_leaving());
    let back = list(again, Availability::Live, 16_000, 48_000);
    assert!(!back.is_leaving() && back.notices(48_000).count() == 0);
    // A peer that still passes on the old word does not close it again; a new one does.
    let old = again.notices(48_000).next().unwrap();
    assert!(!back.observe_notice(old, 48_000).is_leaving());
    let new = DepartureNotice { age_ms: 0, ..old };
    assert!(back.observe_notice(new, 48_000).is_leaving());
}
