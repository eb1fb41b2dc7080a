//! Simulation of instances, engines and traffic in virtual time, for tests and benchmarks of
//! rollouts.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    rc::Rc,
};

use celerypond_bundle::{Model, Share, Version};
use celerypond_rollout::{
    parse_json, rollout_key, Brakes, Candidate, Cause, Condition, Engines, Failure, Judge,
    ModelPart, Phase, RequestClass, Rollout, RolloutConfig, RolloutController, RolloutSnapshot,
    ShareIncrease, Stage, StoreCall, StoreReply, Subject, Trial, VersionRollout,
};
use celerypond_types::{InstanceName, Revision, VersionName};
use rand::{rngs::SmallRng, Rng, SeedableRng};

use super::fake_store::FakeStore;

pub(crate) const ORIGIN: Revision = Revision(2);
const TICK_MS: u64 = 250;
const PUSH_DELAY_MS: u64 = 10;
const ENGINE_SLOTS: f64 = 16.0;
/// Time that a crashed engine needs to restart.
const RESTART_MS: u64 = 60_000;
/// Consecutive errors after which an instance ejects an engine for `EJECT_MS`.
const EJECT_AFTER: u32 = 3;
const EJECT_MS: u64 = 10_000;
/// Request classes and their fractions of the requests.
const REQUEST_CLASSES: [(&str, f64); 3] = [("draft", 0.75), ("letter", 0.2), ("drawing", 0.05)];

/// Defect of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Defect {
    None,
    /// Most answers fail from the start.
    Immediate,
    /// Most answers fail from [`FakeFleet::fault_ms`] on.
    Delayed,
    /// Half of the answers fail on engines with many open requests.
    UnderLoad,
    /// Most answers of the rarest request class fail.
    OneClass,
    /// All chunks take 2.5 times as long.
    Slow,
}

/// How bad versions are detected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Strategy {
    /// The judge of each controller.
    Judged(RolloutConfig),
    /// Baseline: fixed stages, random selection on all instances and a threshold on the error rate
    /// that is checked every 10 s.
    FixedThreshold,
}

/// A disruption of the fleet; a `bool` is true at its start and false at its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disruption {
    StoreDown(bool),
    /// The connections of an instance to its peers and the store fail; engines and callers reach
    /// it.
    Isolate(usize, bool),
    /// An instance is suspended and continues with its old state.
    Pause(usize, bool),
    /// An instance restarts and loses its state.
    Restart(usize),
    /// All engines fail a third of all chunks.
    AllEnginesFail(bool),
    /// A later bundle changes the configuration of the model.
    Supersede,
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) instances: usize,
    pub(crate) base_engines: usize,
    pub(crate) new_engines: usize,
    /// Requests per second over all instances.
    pub(crate) rate: f64,
    /// Time for the whole rollout.
    pub(crate) within_s: u64,
    /// Final share of the new version.
    pub(crate) percent: u8,
    /// Mean time between the crashes of an engine.
    pub(crate) crash_mtbf_s: f64,
    pub(crate) defect: Defect,
    pub(crate) strategy: Strategy,
    /// Disruptions and their times in milliseconds.
    pub(crate) disruptions: Vec<(u64, Disruption)>,
    /// Probability that the reply to a write is lost.
    pub(crate) lost_reply: f64,
    /// Probability that an instance crashes right after a write.
    pub(crate) crash_after_write: f64,
    /// Whether to record when the evidence of all instances together first suffices. This is slow.
    pub(crate) tracks_detectability: bool,
    /// Instance that gets half of all requests.
    pub(crate) hot_instance: Option<usize>,
}

impl Scenario {
    /// Returns a rollout at the site Holding: 20 engines, 7 instances, 12 requests per second.
    pub(crate) fn holding(defect: Defect) -> Self {
        Self {
            instances: 7,
            base_engines: 10,
            new_engines: 10,
            rate: 12.0,
            within_s: 600,
            percent: 100,
            crash_mtbf_s: 7_200.0,
            defect,
            strategy: Strategy::Judged(RolloutConfig::default()),
            disruptions: Vec::new(),
            lost_reply: 0.0,
            crash_after_write: 0.0,
            tracks_detectability: false,
            hot_instance: None,
        }
    }

    pub(crate) fn model(&self) -> Model {
        let version = |name: &str, count: usize| Version {
            name: name.into(),
            weights: name.into(),
            targets: (0..count)
                .map(|at| format!("{name}-{at}").as_str().into())
                .collect(),
        };
        Model {
            name: "draft".into(),
            versions: vec![
                version("v1", self.base_engines),
                version("v2", self.new_engines),
            ],
            base: "v1".into(),
            shares: vec![Share {
                version: "v2".into(),
                percent: self.percent,
            }],
            adapters: Vec::new(),
            deadline_ms: 30_000,
            complete_within_s: self.within_s,
        }
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Final phase, if the rollout ended, and when it did.
    pub(crate) phase: Option<Phase>,
    pub(crate) ended_ms: u64,
    /// When the defect first affected a caller.
    pub(crate) first_fault_ms: Option<u64>,
    /// When the evidence of all instances together first sufficed to brake the version.
    pub(crate) detectable_ms: Option<u64>,
    /// When the first instance braked the version.
    pub(crate) braked_ms: Option<u64>,
    /// When the last request was sent to the new version.
    pub(crate) last_sent_ms: u64,
    pub(crate) sent_after_first_fault: u64,
    pub(crate) sent_after_detectable: u64,
    /// Requests that the defect affected.
    pub(crate) faulty_requests: u64,
    /// Requests sent to the new version, and to both versions.
    pub(crate) sent_new: u64,
    pub(crate) sent: u64,
    /// Numbers of all requests and of those for the new version by stage, over all instances.
    pub(crate) stages: BTreeMap<u8, (u64, u64)>,
    /// Maximum number of requests that any instance sent above its local share in any stage.
    pub(crate) overshoot: f64,
    /// A final phase that was not true on some instance when it was written.
    pub(crate) false_ending: Option<String>,
    /// Size of the evidence reports of all instances at the end, in bytes of JSON.
    pub(crate) report_bytes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives.
    Arrival,
    /// The current chunk of a request ends.
    Chunk(usize),
    /// An instance performs its periodic work.
    Tick(usize),
    /// An engine crashes.
    Crash(usize),
    /// An engine has restarted.
    Recover(usize),
    /// A snapshot arrives: sender, receiver and index of the snapshot.
    Push(usize, usize, usize),
    /// A disruption of the scenario takes effect.
    Disruption(usize),
}

struct Instance {
    controller: RolloutController,
    /// Versions of the rollout records in the store.
    versions: BTreeMap<Revision, u64>,
    /// Consecutive errors by engine, and when the ejection of the engine ends.
    errors: BTreeMap<usize, (u32, u64)>,
    is_paused: bool,
    is_isolated: bool,
    incarnation: u64,
    base_open: u32,
    served: u64,
    /// Stage and local share, and the numbers of all requests and of those for the new version
    /// since they changed.
    counts: (Option<(u8, u32)>, u64, u64),
}

struct Engine {
    is_new: bool,
    is_up: bool,
    active: u32,
}

struct Request {
    instance: usize,
    trial: Trial,
    engine: usize,
    chunks_left: u8,
    /// Failure of the current chunk, and whether the defect caused it.
    failure: Option<(Failure, bool)>,
    is_slow: bool,
    is_open: bool,
}

pub(crate) struct FakeFleet {
    scenario: Scenario,
    model: Model,
    rng: SmallRng,
    now: u64,
    /// Scheduled events by time and order of scheduling.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    snapshots: Vec<Rc<RolloutSnapshot>>,
    store: FakeStore,
    parts: BTreeMap<celerypond_types::ModelName, ModelPart>,
    /// Judge of the evidence of all instances together.
    omniscient_judge: Judge,
    /// When a delayed defect begins.
    fault_ms: u64,
    /// Number of requests on an engine from which it fails under load.
    overload_threshold: f64,
    is_all_engines_failing: bool,
    pub(crate) outcome: Outcome,
    /// Time of the last check of the error rate, and the numbers of errors and requests then.
    last_check: (u64, u64, u64),
    base_version: VersionName,
    new_version: VersionName,
}

pub(crate) fn candidate() -> Candidate {
    Candidate {
        model: "draft".into(),
        version: "v2".into(),
    }
}

impl FakeFleet {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let model = scenario.model();
        let change = ShareIncrease {
            candidate: candidate(),
            base: "v1".into(),
            from_ppm: 0,
            to_ppm: u32::from(scenario.percent) * 10_000,
            engines: scenario.new_engines as u32,
        };
        let part = ModelPart {
            origin: ORIGIN,
            rolled_ms: 0,
            increases: vec![change],
        };
        let subject = Subject {
            origin: ORIGIN,
            model: "draft".into(),
        };
        let engines = (0..scenario.base_engines + scenario.new_engines).map(|at| Engine {
            is_new: at >= scenario.base_engines,
            is_up: true,
            active: 0,
        });
        let final_rate = scenario.rate * f64::from(scenario.percent) / 100.0;
        let mut fleet = Self {
            overload_threshold: 0.7 * final_rate * 9.0 / scenario.new_engines as f64,
            fault_ms: rng.random_range(60_000..400_000) * scenario.within_s / 600,
            omniscient_judge: Judge::new(
                subject,
                "v2".into(),
                "v1".into(),
                RolloutConfig::default(),
            ),
            parts: BTreeMap::from([(model.name.clone(), part)]),
            engines: engines.collect(),
            instances: Vec::new(),
            requests: Vec::new(),
            snapshots: Vec::new(),
            store: FakeStore::default(),
            events: BinaryHeap::new(),
            outcome: Outcome::default(),
            last_check: (0, 0, 0),
            base_version: "v1".into(),
            new_version: "v2".into(),
            is_all_engines_failing: false,
            now: 0,
            event_count: 0,
            scenario,
            model,
            rng,
        };
        for at in 0..fleet.scenario.instances {
            let instance = fleet.start(at, 1);
            fleet.instances.push(instance);
            let first = fleet.rng.random_range(0..TICK_MS);
            fleet.schedule(first, Event::Tick(at));
        }
        for at in 0..fleet.engines.len() {
            fleet.schedule_crash(at);
        }
        for at in 0..fleet.scenario.disruptions.len() {
            fleet.schedule(fleet.scenario.disruptions[at].0, Event::Disruption(at));
        }
        fleet.schedule(0, Event::Arrival);
        fleet
    }

    fn names(&self) -> Vec<InstanceName> {
        let name = |at| InstanceName::new(format!("i{at}"));
        (0..self.scenario.instances).map(name).collect()
    }

    fn start(&self, at: usize, incarnation: u64) -> Instance {
        let config = match self.scenario.strategy {
            Strategy::Judged(config) => config,
            Strategy::FixedThreshold => RolloutConfig::default(),
        };
        let mut controller =
            RolloutController::new(InstanceName::new(format!("i{at}")), incarnation, config);
        controller.set_live(&self.names());
        controller.set_parts(self.parts.clone());
        Instance {
            controller,
            versions: BTreeMap::new(),
            errors: BTreeMap::new(),
            is_paused: false,
            is_isolated: false,
            incarnation,
            base_open: 0,
            served: 0,
            counts: (None, 0, 0),
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Returns a log-normal factor around 1.
    fn noise(&mut self, sigma: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * sigma).exp()
    }

    fn schedule_crash(&mut self, engine: usize) {
        let wait_s = self.exponential(self.scenario.crash_mtbf_s);
        self.schedule(self.now + (wait_s * 1_000.0) as u64, Event::Crash(engine));
    }

    /// Runs until `after_ms` after the end of the rollout, at most until `end_ms`.
    pub(crate) fn run(&mut self, end_ms: u64, after_ms: u64) -> &Outcome {
        let mut last = end_ms;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > last {
                break;
            }
            self.now = time;
            self.step(event);
            if self.outcome.ended_ms > 0 {
                last = last.min(self.outcome.ended_ms + after_ms);
            }
        }
        let bytes = |instance: &Instance| {
            instance
                .controller
                .own_reports()
                .map(|report| serde_json::to_vec(report).unwrap().len())
                .sum::<usize>()
        };
        self.outcome.report_bytes = self.instances.iter().map(bytes).sum();
        &self.outcome
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Chunk(at) => self.chunk(at),
            Event::Tick(at) => self.tick(at),
            Event::Crash(at) => self.crash(at),
            Event::Recover(at) => {
                self.engines[at].is_up = true;
                self.schedule_crash(at);
            }
            Event::Push(from, to, snapshot) => {
                if self.can_reach(from, to)
                    && self.instances[to]
                        .controller
                        .merge_snapshot(&self.snapshots[snapshot].clone())
                {
                    self.push(to);
                }
            }
            Event::Disruption(at) => self.apply_disruption(self.scenario.disruptions[at].1),
        }
    }

    fn apply_disruption(&mut self, disruption: Disruption) {
        match disruption {
            Disruption::StoreDown(is_down) => self.store.down = is_down,
            Disruption::Isolate(at, is_isolated) => self.instances[at].is_isolated = is_isolated,
            Disruption::Pause(at, is_paused) => self.instances[at].is_paused = is_paused,
            Disruption::Restart(at) => self.restart(at),
            Disruption::AllEnginesFail(is_all_engines_failing) => {
                self.is_all_engines_failing = is_all_engines_failing
            }
            Disruption::Supersede => {
                for part in self.parts.values_mut() {
                    *part = ModelPart {
                        origin: Revision(3),
                        rolled_ms: self.now,
                        increases: Vec::new(),
                    };
                }
                for instance in &mut self.instances {
                    instance.controller.set_parts(self.parts.clone());
                }
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let incarnation = self.instances[at].incarnation + 1;
        self.instances[at] = self.start(at, incarnation);
        for request in self
            .requests
            .iter_mut()
            .filter(|request| request.instance == at)
        {
            if std::mem::take(&mut request.is_open) {
                self.engines[request.engine].active -= 1;
            }
        }
    }

    fn serves(&self, at: usize) -> bool {
        let instance = &self.instances[at];
        !instance.is_paused && (instance.incarnation == 1 || instance.controller.is_synced())
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let is_reachable =
            |at: usize| !self.instances[at].is_isolated && !self.instances[at].is_paused;
        from != to && is_reachable(from) && is_reachable(to)
    }

    fn push(&mut self, from: usize) {
        let snapshot = self.instances[from].controller.snapshot();
        self.snapshots.push(Rc::new(snapshot));
        let at = self.snapshots.len() - 1;
        for to in 0..self.instances.len() {
            self.schedule(self.now + PUSH_DELAY_MS, Event::Push(from, to, at));
        }
    }

    fn arrive(&mut self) {
        let wait_s = self.exponential(1.0 / self.scenario.rate);
        self.schedule(self.now + (wait_s * 1_000.0) as u64, Event::Arrival);
        let instance = self.rng.random_range(0..self.instances.len());
        let instance = match self.scenario.hot_instance {
            Some(hot_instance) if self.rng.random_bool(0.5) => hot_instance,
            _ => instance,
        };
        if !self.serves(instance) {
            return;
        }
        let version = match self.scenario.strategy {
            Strategy::Judged(_) => self.instances[instance]
                .controller
                .choose_version(&self.model),
            Strategy::FixedThreshold => {
                let share = self.share_of(instance);
                let is_new = self.rng.random_range(0..1_000_000) < share;
                if is_new {
                    self.new_version.clone()
                } else {
                    self.base_version.clone()
                }
            }
        };
        let is_new = version == self.new_version;
        self.count_sent(instance, is_new);
        let Some(engine) = self.pick_engine(instance, is_new) else {
            return;
        };
        let mut pick = self.rng.random::<f64>();
        let class = REQUEST_CLASSES.iter().find(|(_, part)| {
            pick -= part;
            pick < 0.0
        });
        let class = class.unwrap_or(&REQUEST_CLASSES[0]).0;
        let name = format!("{}-{engine}", version.as_str());
        let chunks_left = self.rng.random_range(4..13);
        self.engines[engine].active += 1;
        self.instances[instance].base_open += u32::from(!is_new);
        self.requests.push(Request {
            instance,
            trial: Trial {
                model: "draft".into(),
                version,
                class: RequestClass(class.into()),
                target: name.as_str().into(),
                is_first: true,
                begun_ms: self.now,
            },
            engine,
            chunks_left,
            failure: None,
            is_slow: false,
            is_open: true,
        });
        self.begin_chunk(self.requests.len() - 1);
    }

    fn share_of(&self, instance: usize) -> u32 {
        let change = &self.parts.values().next().unwrap().increases;
        change.first().map_or(0, |change| {
            self.instances[instance]
                .controller
                .local_share(ORIGIN, change)
        })
    }

    fn count_sent(&mut self, instance: usize, is_new: bool) {
        let stage = self
            .version_rollout(instance)
            .map_or(0, VersionRollout::stage);
        let share = self.share_of(instance);
        let outcome = &mut self.outcome;
        let entry = outcome.stages.entry(stage).or_default();
        *entry = (entry.0 + 1, entry.1 + u64::from(is_new));
        outcome.sent += 1;
        self.instances[instance].served += 1;
        let counts = &mut self.instances[instance].counts;
        if counts.0 != Some((stage, share)) {
            *counts = (Some((stage, share)), 0, 0);
        }
        *counts = (counts.0, counts.1 + 1, counts.2 + u64::from(is_new));
        let allowed = counts.1 as f64 * f64::from(share) / 1e6;
        outcome.overshoot = outcome.overshoot.max(counts.2 as f64 - allowed);
        if is_new {
            outcome.sent_new += 1;
            outcome.last_sent_ms = self.now;
            outcome.sent_after_first_fault += u64::from(outcome.first_fault_ms.is_some());
            outcome.sent_after_detectable += u64::from(outcome.detectable_ms.is_some());
        }
    }

    fn version_rollout(&self, instance: usize) -> Option<&VersionRollout> {
        self.instances[instance]
            .controller
            .rollout(ORIGIN)?
            .find(&candidate())
    }

    fn pick_engine(&mut self, instance: usize, is_new: bool) -> Option<usize> {
        let limit = self.instances[instance]
            .controller
            .stage_engines(ORIGIN, &candidate())
            .unwrap_or(u32::MAX);
        let limit = if is_new && self.scenario.strategy != Strategy::FixedThreshold {
            limit as usize
        } else {
            usize::MAX
        };
        let errors = &self.instances[instance].errors;
        let is_ejected = |at: usize| errors.get(&at).is_some_and(|(_, until)| *until > self.now);
        let free = (0..self.engines.len()).filter(|at| {
            let engine = &self.engines[*at];
            engine.is_new == is_new && engine.is_up && !is_ejected(*at)
        });
        let free: Vec<_> = free.take(limit).collect();
        if free.is_empty() {
            return None;
        }
        let mut pick = || free[self.rng.random_range(0..free.len())];
        let (a, b) = (pick(), pick());
        Some(if self.engines[a].active <= self.engines[b].active {
            a
        } else {
            b
        })
    }

    fn begin_chunk(&mut self, at: usize) {
        let request = &self.requests[at];
        let (instance, is_first, engine) =
            (request.instance, request.trial.is_first, request.engine);
        let is_new = self.engines[engine].is_new;
        let active = f64::from(self.engines[engine].active);
        let is_rare = request.trial.class.0 == REQUEST_CLASSES[2].0;
        let defect = if is_new {
            self.scenario.defect
        } else {
            Defect::None
        };
        let bad = match defect {
            Defect::Immediate => 0.8,
            Defect::Delayed if self.now >= self.fault_ms => 0.8,
            Defect::UnderLoad if active > self.overload_threshold => 0.5,
            Defect::OneClass if is_rare => 0.8,
            _ => 0.0,
        };
        let is_bad = is_first && self.rng.random_bool(bad);
        let random_failure = if self.is_all_engines_failing {
            0.33
        } else {
            0.0
        };
        let is_random_failure =
            self.rng.random_bool(0.0005) || self.rng.random_bool(random_failure);
        let is_slow = defect == Defect::Slow;
        let load = 1.0 + 2.0 * (active / ENGINE_SLOTS - 1.0).max(0.0);
        let factor = load * if is_slow { 2.5 } else { 1.0 };
        let time_ms = if is_first {
            400.0 * self.noise(0.5)
        } else {
            1_000.0 * self.noise(0.15)
        };
        let time_ms = if is_bad || is_random_failure {
            60.0
        } else {
            time_ms * factor
        };
        let request = &mut self.requests[at];
        request.trial.begun_ms = self.now;
        request.failure = (is_bad || is_random_failure).then_some((Failure::Error, is_bad));
        request.is_slow = is_slow;
        let trial = request.trial.clone();
        self.instances[instance].controller.record_sent(&trial);
        self.schedule(self.now + time_ms as u64, Event::Chunk(at));
    }

    fn chunk(&mut self, at: usize) {
        let request = &self.requests[at];
        if !request.is_open {
            return;
        }
        let (instance, engine, is_first) =
            (request.instance, request.engine, request.trial.is_first);
        let trial = request.trial.clone();
        let time_us = (self.now - trial.begun_ms) * 1_000;
        let failed = request.failure;
        if failed.is_some_and(|(_, is_bad)| is_bad) || request.is_slow {
            self.outcome.first_fault_ms.get_or_insert(self.now);
            self.outcome.faulty_requests += u64::from(is_first);
        }
        let Instance {
            controller, errors, ..
        } = &mut self.instances[instance];
        let errors = errors.entry(engine).or_default();
        if let Some((failure, _)) = failed {
            controller.record_failure(&trial, failure, self.now);
            errors.0 += 1;
            if errors.0 >= EJECT_AFTER {
                *errors = (0, self.now + EJECT_MS);
            }
        } else {
            errors.0 = 0;
            let tokens = if is_first { 1 } else { 32 };
            controller.record_success(&trial, time_us / tokens);
        }
        if failed.is_some() && trial.version == self.new_version {
            self.check_detectable();
            self.evaluate(instance);
        }
        let request = &mut self.requests[at];
        request.trial.is_first = false;
        request.chunks_left -= 1;
        if request.chunks_left == 0 || failed.is_some() {
            self.close(at);
        } else {
            self.begin_chunk(at);
        }
    }

    fn close(&mut self, at: usize) {
        let request = &mut self.requests[at];
        request.is_open = false;
        self.engines[request.engine].active -= 1;
        let is_base = request.trial.version == self.base_version;
        self.instances[request.instance].base_open -= u32::from(is_base);
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].is_up = false;
        self.schedule(self.now + RESTART_MS, Event::Recover(engine));
        let broken: Vec<_> = (0..self.requests.len())
            .filter(|at| self.requests[*at].is_open && self.requests[*at].engine == engine)
            .collect();
        for at in broken {
            let (instance, trial) = (self.requests[at].instance, self.requests[at].trial.clone());
            self.instances[instance]
                .controller
                .record_failure(&trial, Failure::Cut, self.now);
            self.close(at);
        }
    }

    fn tick(&mut self, at: usize) {
        self.schedule(self.now + TICK_MS, Event::Tick(at));
        if at == 0 {
            self.check_detectable();
        }
        if self.instances[at].is_paused {
            return;
        }
        let base_open = self.instances[at].base_open;
        let revision = ORIGIN;
        self.instances[at]
            .controller
            .update_applied_state(revision, |_, _| base_open);
        if self.scenario.hot_instance.is_some() {
            let mean = self.outcome.sent as f64 / self.instances.len() as f64;
            let relative = self.instances[at].served as f64 / mean.max(1.0);
            self.instances[at]
                .controller
                .set_relative_traffic("draft".into(), relative);
        }
        self.evaluate(at);
        self.gossip(at);
        self.step_record(at);
    }

    fn engine_counts(&self) -> Engines {
        Engines {
            new: self.scenario.new_engines as u32,
            base: self.scenario.base_engines as u32,
        }
    }

    fn evaluate(&mut self, at: usize) {
        let is_braked = match self.scenario.strategy {
            Strategy::Judged(_) => {
                let base = self.engine_counts().base;
                self.instances[at].controller.evaluate(|_| base, self.now)
            }
            Strategy::FixedThreshold => at == 0 && self.exceeds_error_threshold(),
        };
        if is_braked {
            self.outcome.braked_ms.get_or_insert(self.now);
            self.push(at);
        }
    }

    /// Evaluates the evidence of all instances together, which no instance has at this moment.
    fn check_detectable(&mut self) {
        if !self.scenario.tracks_detectability
            || self.outcome.detectable_ms.is_some()
            || self.scenario.defect == Defect::None
        {
            return;
        }
        let mut all = celerypond_rollout::Evidence::default();
        for report in self
            .instances
            .iter()
            .flat_map(|instance| instance.controller.own_reports())
        {
            all.merge(report.clone());
        }
        let rollout = self.version_rollout(0);
        let stage = rollout.map(|rollout| rollout.stages[usize::from(rollout.stage())].clone());
        let Some(stage) = stage else { return };
        let engines = self.engine_counts();
        if self
            .omniscient_judge
            .evaluate(&all, &stage, engines, self.now)
            .is_some()
        {
            self.outcome.detectable_ms = Some(self.now);
        }
    }

    /// Returns whether the baseline finds the version bad: every 10 s, more than 5 % errors among
    /// at least 20 requests.
    fn exceeds_error_threshold(&mut self) -> bool {
        if self.now < self.last_check.0 + 10_000 {
            return false;
        }
        let mut sums = (0, 0);
        for instance in &self.instances {
            for line in instance
                .controller
                .own_reports()
                .flat_map(|report| &report.lines)
            {
                if line.version == self.new_version {
                    let tally = &line.tally.first;
                    let failed = tally.failures() + tally.discounted;
                    sums = (sums.0 + failed, sums.1 + tally.times.count() + failed);
                }
            }
        }
        let failed = sums.0.saturating_sub(self.last_check.1);
        let tried = sums.1.saturating_sub(self.last_check.2);
        if tried < 20 {
            return false;
        }
        self.last_check = (self.now, sums.0, sums.1);
        let mut brakes = Brakes::default();
        brakes.insert(ORIGIN, candidate(), Cause::Failures);
        let snapshot = RolloutSnapshot {
            rollouts: Vec::new(),
            brakes,
        };
        failed * 20 > tried && self.instances[0].controller.merge_snapshot(&snapshot)
    }

    fn gossip(&mut self, from: usize) {
        let mut peers: Vec<_> = (0..self.instances.len())
            .filter(|to| self.can_reach(from, *to))
            .collect();
        for _ in 0..3.min(peers.len()) {
            let to = peers.swap_remove(self.rng.random_range(0..peers.len()));
            let sender = &self.instances[from].controller;
            let known = self.instances[to].controller.evidence();
            let reports: Vec<_> = sender
                .evidence()
                .reports()
                .filter(|report| known.is_newer(report))
                .cloned()
                .collect();
            let names = self.names();
            let applied: Vec<_> = names
                .iter()
                .filter_map(|name| sender.applied_states().get(name).cloned())
                .collect();
            let snapshot = sender.snapshot();
            let receiver = &mut self.instances[to].controller;
            receiver.merge_snapshot(&snapshot);
            for report in reports {
                receiver.merge_report(report);
            }
            for applied in applied {
                receiver.merge_applied_state(applied);
            }
        }
    }

    /// Reads the record and writes the next one if it is due, racing with all other instances.
    fn step_record(&mut self, at: usize) {
        if self.instances[at].is_isolated || !self.rng.random_bool(0.3) {
            return;
        }
        let key = rollout_key(ORIGIN);
        match self.store.call(&StoreCall::read(key.clone())) {
            StoreReply::Found { version, value } => {
                let rollout: Rollout = parse_json(&value).unwrap();
                self.instances[at].versions.insert(ORIGIN, version);
                self.instances[at].controller.merge_rollout(rollout);
            }
            StoreReply::Missing => {}
            _ => return,
        }
        let rate = self.scenario.rate;
        let models = [self.model.clone()];
        for mut rollout in
            self.instances[at]
                .controller
                .due_records(&models, |_| rate, true, self.now)
        {
            if rollout.step == 1 && self.scenario.strategy == Strategy::FixedThreshold {
                use_fixed_stages(&mut rollout);
            }
            let version = self.instances[at].versions.get(&ORIGIN).copied();
            let condition = match rollout.step {
                1 => Condition::Absent,
                _ => Condition::Version(version.unwrap_or(0)),
            };
            let call = StoreCall::write(key.clone(), condition, &rollout);
            if let StoreReply::Written { version } = self.store.call(&call) {
                self.check_ending(&rollout);
                if self.rng.random_bool(self.scenario.crash_after_write) {
                    self.restart(at);
                    return;
                }
                if !self.rng.random_bool(self.scenario.lost_reply) {
                    self.instances[at].versions.insert(ORIGIN, version);
                    self.instances[at].controller.merge_rollout(rollout);
                }
            }
        }
    }

    /// Compares a final phase that is being written with the state of each instance at this moment.
    fn check_ending(&mut self, rollout: &Rollout) {
        let phase = rollout.versions[0].phase;
        if !phase.is_ended() || self.outcome.phase.is_some() {
            return;
        }
        self.outcome.phase = Some(phase);
        self.outcome.ended_ms = self.now;
        for (at, instance) in self.instances.iter().enumerate() {
            if !self.serves(at) && !instance.is_paused {
                continue;
            }
            let share = self.share_of(at);
            let is_braked = instance
                .controller
                .brakes()
                .cause(ORIGIN, &candidate())
                .is_some();
            let is_whole = self.scenario.percent == 100;
            let is_true = match phase {
                Phase::Done => {
                    share == u32::from(self.scenario.percent) * 10_000
                        && !is_braked
                        && (!is_whole || instance.base_open == 0)
                }
                Phase::TakenBack { .. } => share == 0 && is_braked,
                _ => true,
            };
            if !is_true {
                let open = instance.base_open;
                self.outcome.false_ending = Some(format!(
                    "{phase:?}, but i{at} has share {share}, braked {is_braked}, {open} open"
                ));
            }
        }
    }
}

fn use_fixed_stages(rollout: &mut Rollout) {
    let version = &mut rollout.versions[0];
    let last = version.stages.last().cloned().unwrap();
    let shares = [50_000, 250_000, 500_000, last.share_ppm];
    let until = |at: usize| {
        if at < 3 {
            last.until_ms * (at as u64 + 1) / 3
        } else {
            last.until_ms
        }
    };
    version.stages = shares
        .iter()
        .enumerate()
        .map(|(at, share)| Stage {
            share_ppm: *share,
            instances: None,
            engines: last.engines,
            until_ms: until(at),
            answers: 0,
        })
        .collect();
    version.senders = None;
    version.local_ppm = shares[0];
}
