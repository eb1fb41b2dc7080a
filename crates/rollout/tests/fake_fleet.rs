//! A small fake of instances, engines and traffic, for rollouts in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    rc::Rc,
};

use celerypond_bundle::{Model, Share, Version};
use celerypond_rollout::{
    parse_json, rollout_key, Brakes, Candidate, Cause, Condition, Engines, Failure, Judge,
    JudgeConfig, ModelPart, Phase, RequestClass, Rollout, RolloutController, RolloutSnapshot,
    ShareIncrease, Stage, StoreCall, StoreReply, Subject, Trial, VersionRollout,
};
use celerypond_types::{InstanceName, Revision, VersionName};
use rand::{rngs::SmallRng, Rng, SeedableRng};

use super::fake_store::FakeStore;

pub(crate) const ORIGIN: Revision = Revision(2);
const TICK_MS: u64 = 250;
const PUSH_MS: u64 = 10;
const SLOTS: f64 = 16.0;
const RESTART_MS: u64 = 60_000;
const EJECT_AFTER: u32 = 3;
const EJECT_MS: u64 = 10_000;
/// Request classes and their fraction of the requests.
const REQUEST_CLASSES: [(&str, f64); 3] = [("draft", 0.75), ("letter", 0.2), ("drawing", 0.05)];

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    Good,
    AtOnce,
    AfterMinutes,
    UnderLoad,
    OneClass,
    Slow,
}

/// How the version is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Way {
    Judged(JudgeConfig),
    /// Fixed steps on all instances by chance, and a threshold on the error rate every 10 s.
    Canary,
}

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Trouble {
    StoreDown(bool),
    /// An instance hears nobody and nobody hears it; it still reaches engines and callers.
    Isolate(usize, bool),
    /// An instance neither hears nor decides, and comes back with its old view.
    Pause(usize, bool),
    /// An instance loses all it knows.
    Restart(usize),
    /// All engines fail a third of what they are asked.
    General(bool),
    /// A later bundle changes the model's part again.
    Supersede,
}

#[derive(Clone, Debug)]
pub(crate) struct Setting {
    pub(crate) instances: usize,
    pub(crate) base_engines: usize,
    pub(crate) new_engines: usize,
    pub(crate) rate: f64,
    pub(crate) within_s: u64,
    pub(crate) percent: u8,
    pub(crate) crash_mtbf_s: f64,
    pub(crate) kind: Kind,
    pub(crate) way: Way,
    pub(crate) troubles: Vec<(u64, Trouble)>,
    /// How likely the reply to a write is lost.
    pub(crate) lost: f64,
    /// How likely an instance dies right after a write.
    pub(crate) killed: f64,
    /// Whether to note when the evidence in all instances together first suffices, which costs time.
    pub(crate) proves: bool,
    /// An instance that half of all requests go to.
    pub(crate) favourite: Option<usize>,
}

impl Setting {
    pub(crate) fn holding(kind: Kind) -> Self {
        Self {
            instances: 7,
            base_engines: 10,
            new_engines: 10,
            rate: 12.0,
            within_s: 600,
            percent: 100,
            crash_mtbf_s: 7_200.0,
            kind,
            way: Way::Judged(JudgeConfig::default()),
            troubles: Vec::new(),
            lost: 0.0,
            killed: 0.0,
            proves: false,
            favourite: None,
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

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) phase: Option<Phase>,
    pub(crate) ended_ms: u64,
    /// When the fault first showed to any caller.
    pub(crate) shown_ms: Option<u64>,
    /// When the evidence in all instances together first sufficed.
    pub(crate) proved_ms: Option<u64>,
    /// When the first brake was tripped.
    pub(crate) braked_ms: Option<u64>,
    pub(crate) last_sent_ms: u64,
    pub(crate) sent_after_shown: u64,
    pub(crate) sent_after_proved: u64,
    /// Requests that the fault hit.
    pub(crate) harmed: u64,
    pub(crate) sent_new: u64,
    pub(crate) sent: u64,
    /// Requests and those of the new version by stage, over all instances.
    pub(crate) stages: BTreeMap<u8, (u64, u64)>,
    /// The most that any instance sent above its local share in any stage.
    pub(crate) overshoot: f64,
    /// An ending that was not true at some instance when it was written.
    pub(crate) lie: Option<String>,
    /// Bytes of the reports of all instances at the end, as JSON.
    pub(crate) report_bytes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Chunk(usize),
    Tick(usize),
    Crash(usize),
    Up(usize),
    Urgent(usize, usize, usize),
    Trouble(usize),
}

struct Node {
    controller: RolloutController,
    versions: BTreeMap<Revision, u64>,
    errors: BTreeMap<usize, (u32, u64)>,
    is_paused: bool,
    is_cut: bool,
    incarnation: u64,
    base_open: u32,
    served: u64,
    counts: (Option<(u8, u32)>, u64, u64),
}

struct Engine {
    is_new: bool,
    is_up: bool,
    active: u32,
}

struct Request {
    node: usize,
    trial: Trial,
    engine: usize,
    left: u8,
    failure: Option<(Failure, bool)>,
    is_slow: bool,
    is_open: bool,
}

pub(crate) struct FakeFleet {
    setting: Setting,
    model: Model,
    rng: SmallRng,
    now: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    news: Vec<Rc<RolloutSnapshot>>,
    store: FakeStore,
    parts: BTreeMap<celerypond_types::ModelName, ModelPart>,
    oracle: Judge,
    fault_ms: u64,
    heavy: f64,
    is_general: bool,
    pub(crate) outcome: Outcome,
    checked: (u64, u64, u64),
    base: VersionName,
    new: VersionName,
}

pub(crate) fn candidate() -> Candidate {
    Candidate {
        model: "draft".into(),
        version: "v2".into(),
    }
}

impl FakeFleet {
    pub(crate) fn new(setting: Setting, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let model = setting.model();
        let change = ShareIncrease {
            candidate: candidate(),
            base: "v1".into(),
            from_ppm: 0,
            to_ppm: u32::from(setting.percent) * 10_000,
            engines: setting.new_engines as u32,
        };
        let part = ModelPart {
            origin: ORIGIN,
            rolled_ms: 0,
            moves: vec![change],
        };
        let subject = Subject {
            origin: ORIGIN,
            model: "draft".into(),
        };
        let engines = (0..setting.base_engines + setting.new_engines).map(|at| Engine {
            is_new: at >= setting.base_engines,
            is_up: true,
            active: 0,
        });
        let final_rate = setting.rate * f64::from(setting.percent) / 100.0;
        let mut fleet = Self {
            heavy: 0.7 * final_rate * 9.0 / setting.new_engines as f64,
            fault_ms: rng.random_range(60_000..400_000) * setting.within_s / 600,
            oracle: Judge::new(subject, "v2".into(), "v1".into(), JudgeConfig::default()),
            parts: BTreeMap::from([(model.name.clone(), part)]),
            engines: engines.collect(),
            nodes: Vec::new(),
            requests: Vec::new(),
            news: Vec::new(),
            store: FakeStore::default(),
            heap: BinaryHeap::new(),
            outcome: Outcome::default(),
            checked: (0, 0, 0),
            base: "v1".into(),
            new: "v2".into(),
            is_general: false,
            now: 0,
            count: 0,
            setting,
            model,
            rng,
        };
        for at in 0..fleet.setting.instances {
            let node = fleet.start(at, 1);
            fleet.nodes.push(node);
            let first = fleet.rng.random_range(0..TICK_MS);
            fleet.at(first, Event::Tick(at));
        }
        for at in 0..fleet.engines.len() {
            fleet.plan_crash(at);
        }
        for at in 0..fleet.setting.troubles.len() {
            fleet.at(fleet.setting.troubles[at].0, Event::Trouble(at));
        }
        fleet.at(0, Event::Arrive);
        fleet
    }

    fn names(&self) -> Vec<InstanceName> {
        let name = |at| InstanceName::new(format!("i{at}"));
        (0..self.setting.instances).map(name).collect()
    }

    fn start(&self, at: usize, incarnation: u64) -> Node {
        let config = match self.setting.way {
            Way::Judged(config) => config,
            Way::Canary => JudgeConfig::default(),
        };
        let mut controller =
            RolloutController::new(InstanceName::new(format!("i{at}")), incarnation, config);
        controller.set_live(&self.names());
        controller.set_parts(self.parts.clone());
        Node {
            controller,
            versions: BTreeMap::new(),
            errors: BTreeMap::new(),
            is_paused: false,
            is_cut: false,
            incarnation,
            base_open: 0,
            served: 0,
            counts: (None, 0, 0),
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((time, self.count, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// A factor around 1 that is rarely far from it.
    fn noise(&mut self, sigma: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * sigma).exp()
    }

    fn plan_crash(&mut self, engine: usize) {
        let wait_s = self.exponential(self.setting.crash_mtbf_s);
        self.at(self.now + (wait_s * 1_000.0) as u64, Event::Crash(engine));
    }

    /// Runs until the rollout has ended and `after_ms` more, or to the end of time.
    pub(crate) fn run(&mut self, end_ms: u64, after_ms: u64) -> &Outcome {
        let mut last = end_ms;
        while let Some(Reverse((time, _, event))) = self.heap.pop() {
            if time > last {
                break;
            }
            self.now = time;
            self.step(event);
            if self.outcome.ended_ms > 0 {
                last = last.min(self.outcome.ended_ms + after_ms);
            }
        }
        let bytes = |node: &Node| {
            node.controller
                .own_reports()
                .map(|report| serde_json::to_vec(report).unwrap().len())
                .sum::<usize>()
        };
        self.outcome.report_bytes = self.nodes.iter().map(bytes).sum();
        &self.outcome
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Chunk(at) => self.chunk(at),
            Event::Tick(at) => self.tick(at),
            Event::Crash(at) => self.crash(at),
            Event::Up(at) => {
                self.engines[at].is_up = true;
                self.plan_crash(at);
            }
            Event::Urgent(from, to, news) => {
                if self.reaches(from, to)
                    && self.nodes[to]
                        .controller
                        .merge_snapshot(&self.news[news].clone())
                {
                    self.push(to);
                }
            }
            Event::Trouble(at) => self.trouble(self.setting.troubles[at].1),
        }
    }

    fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::StoreDown(is_down) => self.store.down = is_down,
            Trouble::Isolate(at, is_cut) => self.nodes[at].is_cut = is_cut,
            Trouble::Pause(at, is_paused) => self.nodes[at].is_paused = is_paused,
            Trouble::Restart(at) => self.restart(at),
            Trouble::General(is_general) => self.is_general = is_general,
            Trouble::Supersede => {
                for part in self.parts.values_mut() {
                    *part = ModelPart {
                        origin: Revision(3),
                        rolled_ms: self.now,
                        moves: Vec::new(),
                    };
                }
                for node in &mut self.nodes {
                    node.controller.set_parts(self.parts.clone());
                }
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let incarnation = self.nodes[at].incarnation + 1;
        self.nodes[at] = self.start(at, incarnation);
        for request in self
            .requests
            .iter_mut()
            .filter(|request| request.node == at)
        {
            if std::mem::take(&mut request.is_open) {
                self.engines[request.engine].active -= 1;
            }
        }
    }

    fn serves(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        !node.is_paused && (node.incarnation == 1 || node.controller.is_synced())
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_free = |at: usize| !self.nodes[at].is_cut && !self.nodes[at].is_paused;
        from != to && is_free(from) && is_free(to)
    }

    fn push(&mut self, from: usize) {
        let news = self.nodes[from].controller.snapshot();
        self.news.push(Rc::new(news));
        let at = self.news.len() - 1;
        for to in 0..self.nodes.len() {
            self.at(self.now + PUSH_MS, Event::Urgent(from, to, at));
        }
    }

    fn arrive(&mut self) {
        let wait_s = self.exponential(1.0 / self.setting.rate);
        self.at(self.now + (wait_s * 1_000.0) as u64, Event::Arrive);
        let node = self.rng.random_range(0..self.nodes.len());
        let node = match self.setting.favourite {
            Some(favourite) if self.rng.random_bool(0.5) => favourite,
            _ => node,
        };
        if !self.serves(node) {
            return;
        }
        let version = match self.setting.way {
            Way::Judged(_) => self.nodes[node].controller.choose_version(&self.model),
            Way::Canary => {
                let share = self.share(node);
                let is_new = self.rng.random_range(0..1_000_000) < share;
                if is_new {
                    self.new.clone()
                } else {
                    self.base.clone()
                }
            }
        };
        let is_new = version == self.new;
        self.count_sent(node, is_new);
        let Some(engine) = self.engine(node, is_new) else {
            return;
        };
        let mut pick = self.rng.random::<f64>();
        let class = REQUEST_CLASSES.iter().find(|(_, part)| {
            pick -= part;
            pick < 0.0
        });
        let class = class.unwrap_or(&REQUEST_CLASSES[0]).0;
        let name = format!("{}-{engine}", version.as_str());
        let left = self.rng.random_range(4..13);
        self.engines[engine].active += 1;
        self.nodes[node].base_open += u32::from(!is_new);
        self.requests.push(Request {
            node,
            trial: Trial {
                model: "draft".into(),
                version,
                class: RequestClass(class.into()),
                target: name.as_str().into(),
                is_first: true,
                begun_ms: self.now,
            },
            engine,
            left,
            failure: None,
            is_slow: false,
            is_open: true,
        });
        self.begin_chunk(self.requests.len() - 1);
    }

    fn share(&self, node: usize) -> u32 {
        let change = &self.parts.values().next().unwrap().moves;
        change.first().map_or(0, |change| {
            self.nodes[node].controller.local_share(ORIGIN, change)
        })
    }

    fn count_sent(&mut self, node: usize, is_new: bool) {
        let stage = self.record(node).map_or(0, VersionRollout::stage);
        let share = self.share(node);
        let outcome = &mut self.outcome;
        let entry = outcome.stages.entry(stage).or_default();
        *entry = (entry.0 + 1, entry.1 + u64::from(is_new));
        outcome.sent += 1;
        self.nodes[node].served += 1;
        let counts = &mut self.nodes[node].counts;
        if counts.0 != Some((stage, share)) {
            *counts = (Some((stage, share)), 0, 0);
        }
        *counts = (counts.0, counts.1 + 1, counts.2 + u64::from(is_new));
        let allowed = counts.1 as f64 * f64::from(share) / 1e6;
        outcome.overshoot = outcome.overshoot.max(counts.2 as f64 - allowed);
        if is_new {
            outcome.sent_new += 1;
            outcome.last_sent_ms = self.now;
            outcome.sent_after_shown += u64::from(outcome.shown_ms.is_some());
            outcome.sent_after_proved += u64::from(outcome.proved_ms.is_some());
        }
    }

    fn record(&self, node: usize) -> Option<&VersionRollout> {
        self.nodes[node]
            .controller
            .rollout(ORIGIN)?
            .find(&candidate())
    }

    fn engine(&mut self, node: usize, is_new: bool) -> Option<usize> {
        let limit = self.nodes[node]
            .controller
            .stage_engines(ORIGIN, &candidate())
            .unwrap_or(u32::MAX);
        let limit = if is_new && self.setting.way != Way::Canary {
            limit as usize
        } else {
            usize::MAX
        };
        let errors = &self.nodes[node].errors;
        let is_out = |at: usize| errors.get(&at).is_some_and(|(_, until)| *until > self.now);
        let free = (0..self.engines.len()).filter(|at| {
            let engine = &self.engines[*at];
            engine.is_new == is_new && engine.is_up && !is_out(*at)
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
        let (node, is_first, engine) = (request.node, request.trial.is_first, request.engine);
        let is_new = self.engines[engine].is_new;
        let active = f64::from(self.engines[engine].active);
        let is_rare = request.trial.class.0 == REQUEST_CLASSES[2].0;
        let kind = if is_new {
            self.setting.kind
        } else {
            Kind::Good
        };
        let bad = match kind {
            Kind::AtOnce => 0.8,
            Kind::AfterMinutes if self.now >= self.fault_ms => 0.8,
            Kind::UnderLoad if active > self.heavy => 0.5,
            Kind::OneClass if is_rare => 0.8,
            _ => 0.0,
        };
        let is_bad = is_first && self.rng.random_bool(bad);
        let general = if self.is_general { 0.33 } else { 0.0 };
        let is_unlucky = self.rng.random_bool(0.0005) || self.rng.random_bool(general);
        let is_slow = kind == Kind::Slow;
        let load = 1.0 + 2.0 * (active / SLOTS - 1.0).max(0.0);
        let factor = load * if is_slow { 2.5 } else { 1.0 };
        let time_ms = if is_first {
            400.0 * self.noise(0.5)
        } else {
            1_000.0 * self.noise(0.15)
        };
        let time_ms = if is_bad || is_unlucky {
            60.0
        } else {
            time_ms * factor
        };
        let request = &mut self.requests[at];
        request.trial.begun_ms = self.now;
        request.failure = (is_bad || is_unlucky).then_some((Failure::Error, is_bad));
        request.is_slow = is_slow;
        let trial = request.trial.clone();
        self.nodes[node].controller.record_sent(&trial);
        self.at(self.now + time_ms as u64, Event::Chunk(at));
    }

    fn chunk(&mut self, at: usize) {
        let request = &self.requests[at];
        if !request.is_open {
            return;
        }
        let (node, engine, is_first) = (request.node, request.engine, request.trial.is_first);
        let trial = request.trial.clone();
        let time_us = (self.now - trial.begun_ms) * 1_000;
        let failed = request.failure;
        if failed.is_some_and(|(_, is_bad)| is_bad) || request.is_slow {
            self.outcome.shown_ms.get_or_insert(self.now);
            self.outcome.harmed += u64::from(is_first);
        }
        let Node {
            controller, errors, ..
        } = &mut self.nodes[node];
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
        if failed.is_some() && trial.version == self.new {
            self.prove();
            self.weigh(node);
        }
        let request = &mut self.requests[at];
        request.trial.is_first = false;
        request.left -= 1;
        if request.left == 0 || failed.is_some() {
            self.close(at);
        } else {
            self.begin_chunk(at);
        }
    }

    fn close(&mut self, at: usize) {
        let request = &mut self.requests[at];
        request.is_open = false;
        self.engines[request.engine].active -= 1;
        let is_base = request.trial.version == self.base;
        self.nodes[request.node].base_open -= u32::from(is_base);
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].is_up = false;
        self.at(self.now + RESTART_MS, Event::Up(engine));
        let hit: Vec<_> = (0..self.requests.len())
            .filter(|at| self.requests[*at].is_open && self.requests[*at].engine == engine)
            .collect();
        for at in hit {
            let (node, trial) = (self.requests[at].node, self.requests[at].trial.clone());
            self.nodes[node]
                .controller
                .record_failure(&trial, Failure::Cut, self.now);
            self.close(at);
        }
    }

    fn tick(&mut self, at: usize) {
        self.at(self.now + TICK_MS, Event::Tick(at));
        if at == 0 {
            self.prove();
        }
        if self.nodes[at].is_paused {
            return;
        }
        let base_open = self.nodes[at].base_open;
        let revision = ORIGIN;
        self.nodes[at]
            .controller
            .update_applied_state(revision, |_, _| base_open);
        if self.setting.favourite.is_some() {
            let mean = self.outcome.sent as f64 / self.nodes.len() as f64;
            let relative = self.nodes[at].served as f64 / mean.max(1.0);
            self.nodes[at]
                .controller
                .set_relative_traffic("draft".into(), relative);
        }
        self.weigh(at);
        self.gossip(at);
        self.drive(at);
    }

    fn engine_counts(&self) -> Engines {
        Engines {
            new: self.setting.new_engines as u32,
            base: self.setting.base_engines as u32,
        }
    }

    fn weigh(&mut self, at: usize) {
        let is_tripped = match self.setting.way {
            Way::Judged(_) => {
                let base = self.engine_counts().base;
                self.nodes[at].controller.evaluate(|_| base, self.now)
            }
            Way::Canary => at == 0 && self.threshold(),
        };
        if is_tripped {
            self.outcome.braked_ms.get_or_insert(self.now);
            self.push(at);
        }
    }

    /// Weighs what all instances together have seen, which no instance can know yet.
    fn prove(&mut self) {
        if !self.setting.proves
            || self.outcome.proved_ms.is_some()
            || self.setting.kind == Kind::Good
        {
            return;
        }
        let mut all = celerypond_rollout::Evidence::default();
        for report in self
            .nodes
            .iter()
            .flat_map(|node| node.controller.own_reports())
        {
            all.merge(report.clone());
        }
        let record = self.record(0);
        let stage = record.map(|record| record.stages[usize::from(record.stage())].clone());
        let Some(stage) = stage else { return };
        let engines = self.engine_counts();
        if self
            .oracle
            .evaluate(&all, &stage, engines, self.now)
            .is_some()
        {
            self.outcome.proved_ms = Some(self.now);
        }
    }

    /// The baseline: every 10 s, more than 5 % errors of at least 20 requests.
    fn threshold(&mut self) -> bool {
        if self.now < self.checked.0 + 10_000 {
            return false;
        }
        let mut sums = (0, 0);
        for node in &self.nodes {
            for line in node
                .controller
                .own_reports()
                .flat_map(|report| &report.lines)
            {
                if line.version == self.new {
                    let tally = &line.tally.first;
                    let failed = tally.failures() + tally.discounted;
                    sums = (sums.0 + failed, sums.1 + tally.times.count() + failed);
                }
            }
        }
        let failed = sums.0.saturating_sub(self.checked.1);
        let tried = sums.1.saturating_sub(self.checked.2);
        if tried < 20 {
            return false;
        }
        self.checked = (self.now, sums.0, sums.1);
        let mut brakes = Brakes::default();
        brakes.insert(ORIGIN, candidate(), Cause::Failures);
        let news = RolloutSnapshot {
            rollouts: Vec::new(),
            brakes,
        };
        failed * 20 > tried && self.nodes[0].controller.merge_snapshot(&news)
    }

    fn gossip(&mut self, from: usize) {
        let mut peers: Vec<_> = (0..self.nodes.len())
            .filter(|to| self.reaches(from, *to))
            .collect();
        for _ in 0..3.min(peers.len()) {
            let to = peers.swap_remove(self.rng.random_range(0..peers.len()));
            let sender = &self.nodes[from].controller;
            let known = self.nodes[to].controller.evidence();
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
            let news = sender.snapshot();
            let receiver = &mut self.nodes[to].controller;
            receiver.merge_snapshot(&news);
            for report in reports {
                receiver.merge_report(report);
            }
            for applied in applied {
                receiver.merge_applied_state(applied);
            }
        }
    }

    /// Reads the record, then writes the next one if it is due, racing with all others.
    fn drive(&mut self, at: usize) {
        if self.nodes[at].is_cut || !self.rng.random_bool(0.3) {
            return;
        }
        let key = rollout_key(ORIGIN);
        match self.store.call(&StoreCall::read(key.clone())) {
            StoreReply::Found { version, value } => {
                let rollout: Rollout = parse_json(&value).unwrap();
                self.nodes[at].versions.insert(ORIGIN, version);
                self.nodes[at].controller.merge_rollout(rollout);
            }
            StoreReply::Missing => {}
            _ => return,
        }
        let rate = self.setting.rate;
        let models = [self.model.clone()];
        for mut rollout in self.nodes[at]
            .controller
            .due_records(&models, |_| rate, true, self.now)
        {
            if rollout.step == 1 && self.setting.way == Way::Canary {
                fixed_steps(&mut rollout);
            }
            let version = self.nodes[at].versions.get(&ORIGIN).copied();
            let condition = match rollout.step {
                1 => Condition::Absent,
                _ => Condition::Version(version.unwrap_or(0)),
            };
            let call = StoreCall::write(key.clone(), condition, &rollout);
            if let StoreReply::Written { version } = self.store.call(&call) {
                self.check(&rollout);
                if self.rng.random_bool(self.setting.killed) {
                    self.restart(at);
                    return;
                }
                if !self.rng.random_bool(self.setting.lost) {
                    self.nodes[at].versions.insert(ORIGIN, version);
                    self.nodes[at].controller.merge_rollout(rollout);
                }
            }
        }
    }

    /// Compares an ending that is being written with what each instance does at this moment.
    fn check(&mut self, rollout: &Rollout) {
        let phase = rollout.moves[0].phase;
        if !phase.is_ended() || self.outcome.phase.is_some() {
            return;
        }
        self.outcome.phase = Some(phase);
        self.outcome.ended_ms = self.now;
        for (at, node) in self.nodes.iter().enumerate() {
            if !self.serves(at) && !node.is_paused {
                continue;
            }
            let share = self.share(at);
            let is_braked = node
                .controller
                .brakes()
                .cause(ORIGIN, &candidate())
                .is_some();
            let is_whole = self.setting.percent == 100;
            let is_true = match phase {
                Phase::Done => {
                    share == u32::from(self.setting.percent) * 10_000
                        && !is_braked
                        && (!is_whole || node.base_open == 0)
                }
                Phase::TakenBack { .. } => share == 0 && is_braked,
                _ => true,
            };
            if !is_true {
                let open = node.base_open;
                self.outcome.lie = Some(format!(
                    "{phase:?}, but i{at} has share {share}, braked {is_braked}, {open} open"
                ));
            }
        }
    }
}

fn fixed_steps(rollout: &mut Rollout) {
    let record = &mut rollout.moves[0];
    let last = record.stages.last().cloned().unwrap();
    let shares = [50_000, 250_000, 500_000, last.share_ppm];
    let until = |at: usize| {
        if at < 3 {
            last.until_ms * (at as u64 + 1) / 3
        } else {
            last.until_ms
        }
    };
    record.stages = shares
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
    record.senders = None;
    record.local_ppm = shares[0];
}
