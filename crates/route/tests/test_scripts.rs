//! Scripted scenarios of outlier ejection and of departures, in `tests/scripts`.

use std::error::Error;

use celerypond_route::{
    Availability, DepartureNotice, DepartureState, OutlierDetector, OutlierEffect, OutlierLimits,
    Pool, Route, RoutingView,
};
use celerypond_types::TargetKey;
use rstest::rstest;
use tokio::time::Instant;

use crate::test_fixture;

#[derive(goldenscript::Command)]
enum Command {
    /// Starts over with a pool of this many engines.
    Pool(usize),
    /// Advances the time by this many milliseconds, with a step every 100 ms.
    Wait(u64),
    /// Records successes with this latency in milliseconds at each engine.
    Succeed {
        engines: Vec<usize>,
        #[arg(key)]
        ms: f64,
        #[arg(key)]
        times: u32,
    },
    /// Records failures at each engine.
    Fail {
        engines: Vec<usize>,
        #[arg(key)]
        times: u32,
    },
    /// Records the result of a probe.
    Probed {
        engine: usize,
        #[arg(key)]
        alive: bool,
    },
    /// A report by the target itself, in reply to a probe sent this long ago.
    Target {
        availability: String,
        #[arg(key, optional)]
        sent_ms_ago: u64,
    },
    /// A report by the list.
    List(String),
    /// A notice from a peer that the target reported itself as leaving.
    Peer {
        #[arg(key)]
        age_ms: u64,
    },
}

struct Runner {
    view: RoutingView,
    route: Route,
    keys: Vec<TargetKey>,
    detector: OutlierDetector,
    departure: DepartureState,
    now: u64,
}

impl Runner {
    fn new(engines: usize) -> Self {
        let (view, route, keys) = test_fixture::view(engines, Instant::now());
        Self {
            view,
            route,
            keys,
            detector: OutlierDetector::new(OutlierLimits::default()),
            departure: DepartureState::default(),
            now: 0,
        }
    }

    fn pool(&self) -> &Pool {
        self.view.pool(self.route).unwrap()
    }

    fn wait(&mut self, ms: u64) -> String {
        let mut lines = String::new();
        let end = self.now + ms;
        while self.now < end {
            self.now += 100;
            let pool = std::sync::Arc::clone(self.view.pool(self.route).unwrap());
            for effect in self.detector.step(&pool, self.now) {
                let name = |key| {
                    self.keys
                        .iter()
                        .position(|candidate| *candidate == key)
                        .unwrap()
                };
                match effect {
                    OutlierEffect::SetWeight(key, weight) => {
                        pool.set_weight(key, weight);
                        // A ramp changes the weight every 100 ms; only its ends are printed.
                        if [0, 102, celerypond_route::FULL_WEIGHT].contains(&weight) {
                            lines +=
                                &format!("{} ms: engine {} weight {weight}\n", self.now, name(key));
                        }
                    }
                    OutlierEffect::Probe(key) => {
                        lines += &format!("{} ms: probe engine {}\n", self.now, name(key))
                    }
                    OutlierEffect::SetPanicMode(on) => {
                        lines += &format!("{} ms: panic {on}\n", self.now)
                    }
                }
            }
        }
        lines
    }

    fn set_departure(&mut self, next: DepartureState) -> String {
        self.departure = next;
        match next.is_leaving() {
            true => "leaving\n".into(),
            false => "live\n".into(),
        }
    }
}

fn parse_availability(text: &str) -> Availability {
    match text {
        "leaving" => Availability::Leaving,
        _ => Availability::Live,
    }
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let last = self.departure;
        Ok(match command {
            Command::Pool(engines) => {
                *self = Self::new(*engines);
                format!("{} engines\n", self.pool().target_keys().count())
            }
            Command::Wait(ms) => self.wait(*ms),
            Command::Succeed { engines, ms, times } => {
                for engine in engines
                    .iter()
                    .flat_map(|one| (0..*times).map(move |_| *one))
                {
                    self.detector.record_success(self.keys[engine], *ms);
                }
                String::new()
            }
            Command::Fail { engines, times } => {
                for engine in engines
                    .iter()
                    .flat_map(|one| (0..*times).map(move |_| *one))
                {
                    self.detector.record_failure(self.keys[engine]);
                }
                String::new()
            }
            Command::Probed { engine, alive } => {
                self.detector
                    .record_probe(self.keys[*engine], *alive, self.now);
                String::new()
            }
            Command::Target {
                availability,
                sent_ms_ago,
            } => {
                let sent = self.now - sent_ms_ago;
                self.set_departure(last.observe_target(
                    parse_availability(availability),
                    sent,
                    self.now,
                ))
            }
            Command::List(availability) => {
                self.set_departure(last.observe_list(parse_availability(availability), self.now))
            }
            Command::Peer { age_ms } => {
                let origin = celerypond_route::Origin::Target;
                self.set_departure(last.observe_notice(
                    DepartureNotice {
                        origin,
                        age_ms: *age_ms,
                    },
                    self.now,
                ))
            }
        })
    }
}

#[rstest]
#[case::ejection("ejection")]
#[case::leaving("leaving")]
fn scripts(#[case] name: &str) {
    let mut runner = Runner::new(6);
    goldenscript::run(&mut runner, format!("tests/scripts/{name}")).unwrap();
}
