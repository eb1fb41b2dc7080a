//! Engines and instances in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use celerypond_route::{
    AdmissionQueue, Backoff, Choice, Failure, OutlierDetector, OutlierEffect, OutlierLimits,
    PickCriteria, QueueLimits, QueuedRequest, RetryBudget, RetryDecision, Route, RoutingView,
};
use celerypond_types::{AccountKey, Priority, TargetKey};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use tokio::time::{Duration, Instant};

use super::{
    budget,
    job::{self, Job, Try, MEAN_MS},
    Way, ACCOUNTS, END_MS,
};
use crate::route::fleet;

const INSTANCES: usize = 3;
const ENGINES: usize = 20;
const SLOTS: u32 = 8;
const TICK_MS: u64 = 50;
const REPORT_MS: u64 = 500;
const LAG_MS: u64 = 1_000;
const DEATH_MS: u64 = 10_000;
/// How often a request may go to another engine at once, after connections that were refused.
const ELSEWHERE: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(usize),
    Impatience(usize),
    Again(usize),
    Arrive(usize),
    Tick,
    Death,
}

struct Engine {
    busy: u32,
    waiting: VecDeque<usize>,
    dead: bool,
}

struct Instance {
    view: RoutingView,
    route: Route,
    keys: Vec<TargetKey>,
    queue: AdmissionQueue<usize>,
    detector: OutlierDetector,
    budget: RetryBudget,
}

pub(crate) struct Model {
    way: Way,
    dies: bool,
    start: Instant,
    now: u64,
    rng: SmallRng,
    accounts: Vec<AccountKey>,
    pub(crate) jobs: Vec<Job>,
    tries: Vec<Try>,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    history: VecDeque<Vec<u32>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
}

impl Model {
    pub(crate) fn new(seed: u64, load: f64, dies: bool, way: Way) -> Self {
        let start = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let per_ms = load * ENGINES as f64 * f64::from(SLOTS) / MEAN_MS;
        let instance = |_| {
            let (view, route, keys) = fleet::view(ENGINES, SLOTS, start);
            let per_s = ENGINES as f64 * f64::from(SLOTS) / MEAN_MS * 1e3 / INSTANCES as f64;
            Instance {
                view: view.with_instances(INSTANCES),
                route,
                keys,
                queue: AdmissionQueue::new(QueueLimits::default(), per_s),
                detector: OutlierDetector::new(OutlierLimits::default()),
                budget: budget(),
            }
        };
        let engine = |_| Engine {
            busy: 0,
            waiting: VecDeque::new(),
            dead: false,
        };
        Self {
            way,
            dies,
            start,
            now: 0,
            jobs: job::draw(&mut rng, per_ms, INSTANCES),
            rng,
            accounts: fleet::accounts(ACCOUNTS),
            tries: Vec::new(),
            engines: (0..ENGINES).map(engine).collect(),
            instances: (0..INSTANCES).map(instance).collect(),
            history: VecDeque::new(),
            events: BinaryHeap::new(),
            count: 0,
        }
    }

    /// Returns the mean number of slots of live engines from `from_ms` to the end.
    pub(crate) fn live_slots(&self, from_ms: u64) -> f64 {
        let all = ENGINES as f64 * f64::from(SLOTS);
        let after = (END_MS - DEATH_MS) as f64 / (END_MS - from_ms) as f64;
        let lost = (ENGINES / 3) as f64 * f64::from(SLOTS) * after;
        if self.dies {
            all - lost
        } else {
            all
        }
    }

    pub(crate) fn run(&mut self) {
        for at in 0..self.jobs.len() {
            self.push(self.jobs[at].arrival, Event::Arrive(at));
        }
        self.push(0, Event::Tick);
        if self.dies {
            self.push(DEATH_MS, Event::Death);
        }
        // After the last request comes, what waits is given the time to end.
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(job) => self.admit(job),
                Event::Again(job) => self.admit(job),
                Event::Finish(one) => self.finish(one),
                Event::Impatience(one) => self.impatience(one),
                Event::Tick => self.tick(),
                Event::Death => self.death(),
            }
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn admit(&mut self, job: usize) {
        if !self.way.decides {
            let at = self.rng.random_range(0..ENGINES);
            return self.send(job, at);
        }
        let priority = self.jobs[job].priority;
        let empty = self.instances[self.jobs[job].instance].queue.is_empty();
        let choice = self
            .choose(job)
            .filter(|choice| choice.fits_quota(priority));
        match choice {
            Some(choice) if empty => self.dispatch(job, choice),
            _ => self.wait(job),
        }
    }

    fn wait(&mut self, job: usize) {
        let one = &self.jobs[job];
        let waiting = QueuedRequest {
            account: self.accounts[one.account],
            weight: 1,
            priority: one.priority,
            // The work is not known before; drafts count for five.
            cost: if one.priority == Priority::Draft {
                5
            } else {
                1
            },
            deadline: one.deadline,
            item: job,
        };
        if self.instances[one.instance]
            .queue
            .try_push(waiting, self.now)
            .is_err()
        {
            self.refuse(job);
        }
    }

    /// Refuses a request, unless a try of it still waits or runs at an engine.
    fn refuse(&mut self, job: usize) {
        if self.jobs[job].live == 0 {
            self.jobs[job].refused = Some(self.now);
        }
    }

    fn choose(&mut self, job: usize) -> Option<Choice> {
        let one = &self.jobs[job];
        let instance = &self.instances[one.instance];
        let excluded: Vec<TargetKey> = one.avoid.iter().map(|at| instance.keys[*at]).collect();
        let ask = PickCriteria {
            excluded: &excluded,
            ..PickCriteria::default()
        };
        let now = self.start + Duration::from_millis(self.now);
        instance
            .view
            .pick(instance.route, &ask, now, &mut self.rng)
            .ok()
    }

    fn dispatch(&mut self, job: usize, choice: Choice) {
        let keys = &self.instances[self.jobs[job].instance].keys;
        if let Some(at) = keys.iter().position(|key| *key == choice.target) {
            self.send(job, at);
        }
    }

    /// Sends what waits as long as there is room.
    fn drain(&mut self, instance: usize) {
        loop {
            // Any request that waits stands for all: the pool is the same.
            let Some(probe) = self.peek(instance) else {
                return;
            };
            let queue = &mut self.instances[instance].queue;
            let next = match probe {
                choice if choice.fits_quota(Priority::Draft) => queue.pop(self.now),
                choice if choice.fits_quota(Priority::Interactive) => {
                    queue.pop_interactive(self.now)
                }
                _ => None,
            };
            let Some(waiting) = next else { return };
            match self.jobs[waiting.item].avoid.is_empty() {
                true => self.dispatch(waiting.item, probe),
                false => self
                    .choose(waiting.item)
                    .into_iter()
                    .for_each(|c| self.dispatch(waiting.item, c)),
            }
        }
    }

    fn peek(&mut self, instance: usize) -> Option<Choice> {
        let one = &self.instances[instance];
        if one.queue.is_empty() {
            return None;
        }
        let now = self.start + Duration::from_millis(self.now);
        one.view
            .pick(one.route, &PickCriteria::default(), now, &mut self.rng)
            .ok()
    }

    fn send(&mut self, job: usize, at: usize) {
        self.jobs[job].tries += 1;
        if self.engines[at].dead {
            return self.fail(job, at, Failure::Refused);
        }
        let instance = &self.instances[self.jobs[job].instance];
        let target = instance.view.target(instance.keys[at]);
        let open = target.and_then(|target| target.state.begin_request(self.now));
        let one = self.tries.len();
        self.jobs[job].live += 1;
        self.tries.push(Try {
            job,
            at,
            sent: self.now,
            started: false,
            over: false,
            open,
        });
        if self.engines[at].busy < SLOTS {
            return self.begin(one);
        }
        self.engines[at].waiting.push_back(one);
        self.push(
            self.now + self.jobs[job].patience() / 4,
            Event::Impatience(one),
        );
    }

    fn begin(&mut self, one: usize) {
        let Try { job, at, .. } = self.tries[one];
        self.tries[one].started = true;
        self.engines[at].busy += 1;
        let job = &mut self.jobs[job];
        job.started = job.started.or(Some(self.now));
        let end = self.now + job.service as u64;
        self.push(end, Event::Finish(one));
    }

    fn finish(&mut self, one: usize) {
        if std::mem::replace(&mut self.tries[one].over, true) {
            return;
        }
        let Try { job, at, sent, .. } = self.tries[one];
        let open = self.tries[one].open.take();
        open.into_iter().for_each(|open| open.end(self.now));
        let instance = self.jobs[job].instance;
        let of = &mut self.instances[instance];
        of.budget.record_success();
        let wait = self.now.saturating_sub(sent) as f64 - self.jobs[job].service;
        of.detector.record_success(of.keys[at], wait.max(1.0));
        let target = of.view.target(of.keys[at]);
        target
            .into_iter()
            .for_each(|target| target.state.retry_budget.record_success());
        self.jobs[job].live -= 1;
        self.engines[at].busy -= 1;
        self.next(at);
        if self.way.decides {
            self.drain(instance);
        }
    }

    /// Lets the engine begin what waits there.
    fn next(&mut self, at: usize) {
        while self.engines[at].busy < SLOTS {
            let Some(one) = self.engines[at].waiting.pop_front() else {
                return;
            };
            let job = &self.jobs[self.tries[one].job];
            let gone = job.started.is_some() || self.now > job.deadline;
            if self.way.cancels && gone {
                self.tries[one].over = true;
                let job = self.tries[one].job;
                self.jobs[job].live -= 1;
                let open = self.tries[one].open.take();
                open.into_iter().for_each(|open| open.end(self.now));
                continue;
            }
            self.begin(one);
        }
    }

    fn impatience(&mut self, one: usize) {
        let Try {
            job,
            at,
            started,
            over,
            ..
        } = self.tries[one];
        let settled = self.jobs[job].started.is_some() || self.now > self.jobs[job].deadline;
        // A probe tells that the engine lives and the request only waits there.
        let lives = self.way.decides && !self.engines[at].dead;
        if !started && !over && !settled && !lives {
            self.fail(job, at, Failure::Timeout);
        }
    }

    fn fail(&mut self, job: usize, at: usize, failure: Failure) {
        let verdict = failure.retry_decision();
        let of = &mut self.instances[self.jobs[job].instance];
        if self.way.decides && failure != Failure::Timeout {
            of.detector.record_failure(of.keys[at]);
        }
        self.jobs[job].avoid.push(at);
        let elsewhere =
            verdict == RetryDecision::OtherTarget && self.jobs[job].avoid.len() <= ELSEWHERE;
        let target = of.view.target(of.keys[at]);
        let allowed = !self.way.budget
            || elsewhere
            || target.is_some_and(|target| of.budget.try_take_both(&target.state.retry_budget));
        if !allowed {
            self.jobs[job].failed |= failure != Failure::Timeout;
            return;
        }
        let wait = match self.way.decides && !elsewhere {
            true => Backoff::default().next_delay(Duration::ZERO, Duration::ZERO, &mut self.rng),
            false => Duration::ZERO,
        };
        self.push(self.now + wait.as_millis() as u64, Event::Again(job));
    }

    fn tick(&mut self) {
        let now = self.start + Duration::from_millis(self.now);
        self.history
            .push_back(self.engines.iter().map(Engine::load).collect());
        let old = match self.history.len() as u64 > LAG_MS / TICK_MS {
            true => self.history.pop_front(),
            false => None,
        };
        let seen = old.filter(|_| self.now.is_multiple_of(REPORT_MS));
        for at in 0..INSTANCES {
            if let Some(seen) = &seen {
                self.instances[at].report(seen, self.now - LAG_MS);
            }
            self.instances[at].view.update_load_stats(now);
            self.eject(at);
            for (late, _) in self.instances[at].queue.expire(self.now) {
                self.refuse(late.item);
            }
            self.drain(at);
        }
        if self.now < END_MS + 10_000 {
            self.push(self.now + TICK_MS, Event::Tick);
        }
    }

    fn eject(&mut self, at: usize) {
        let of = &mut self.instances[at];
        let Some(pool) = of.view.pool(of.route) else {
            return;
        };
        for effect in of.detector.step(pool, self.now) {
            match effect {
                OutlierEffect::SetWeight(key, weight) => pool.set_weight(key, weight),
                OutlierEffect::SetPanicMode(on) => pool.set_panic_mode(on),
                OutlierEffect::Probe(key) => {
                    let engine = of.keys.iter().position(|one| *one == key);
                    let alive = engine.is_some_and(|engine| !self.engines[engine].dead);
                    of.detector.record_probe(key, alive, self.now);
                }
            }
        }
    }

    fn death(&mut self) {
        for at in 0..ENGINES / 3 {
            self.engines[at].dead = true;
            self.engines[at].waiting.clear();
        }
        for one in 0..self.tries.len() {
            if self.tries[one].over || !self.engines[self.tries[one].at].dead {
                continue;
            }
            self.tries[one].over = true;
            let open = self.tries[one].open.take();
            open.into_iter().for_each(|open| open.end(self.now));
            let Try { job, at, .. } = self.tries[one];
            self.jobs[job].live -= 1;
            // What had started must start anew.
            self.jobs[job].started = None;
            self.fail(job, at, Failure::Reset);
        }
    }
}

impl Engine {
    fn load(&self) -> u32 {
        self.busy + self.waiting.len() as u32
    }
}

impl Instance {
    fn report(&self, seen: &[u32], sampled_ms: u64) {
        for (key, load) in self.keys.iter().zip(seen) {
            let target = self.view.target(*key);
            target
                .into_iter()
                .for_each(|target| target.state.record_load(sampled_ms, *load));
        }
    }
}
