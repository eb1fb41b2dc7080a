//! The overload simulation: engines and instances in virtual time.

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
    request::{self, Attempt, Request, MEAN_SERVICE_MS},
    retry_budget, Policy, ACCOUNTS, END_MS,
};
use crate::route::fleet;

const INSTANCES: usize = 3;
const ENGINES: usize = 20;
const SLOTS: u32 = 8;
const TICK_MS: u64 = 50;
const REPORT_INTERVAL_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 1_000;
const CRASH_MS: u64 = 10_000;
/// How many times a request may go to another engine without delay, and outside the retry budget,
/// after refused connections.
const MAX_IMMEDIATE_RETRIES: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Complete(usize),
    StartTimeout(usize),
    Retry(usize),
    Arrive(usize),
    Tick,
    Crash,
}

struct Engine {
    busy: u32,
    waiting: VecDeque<usize>,
    crashed: bool,
}

struct Instance {
    view: RoutingView,
    route: Route,
    keys: Vec<TargetKey>,
    queue: AdmissionQueue<usize>,
    detector: OutlierDetector,
    budget: RetryBudget,
}

pub(crate) struct Simulation {
    policy: Policy,
    engines_crash: bool,
    start: Instant,
    now: u64,
    rng: SmallRng,
    accounts: Vec<AccountKey>,
    pub(crate) requests: Vec<Request>,
    attempts: Vec<Attempt>,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    /// The loads of all engines at recent ticks, from which delayed reports are taken.
    history: VecDeque<Vec<u32>>,
    /// Scheduled events by time, and in the order of scheduling for the same time.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64, load: f64, engines_crash: bool, policy: Policy) -> Self {
        let start = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let per_ms = load * ENGINES as f64 * f64::from(SLOTS) / MEAN_SERVICE_MS;
        let instance = |_| {
            let (view, route, keys) = fleet::view(ENGINES, SLOTS, start);
            let per_s =
                ENGINES as f64 * f64::from(SLOTS) / MEAN_SERVICE_MS * 1e3 / INSTANCES as f64;
            Instance {
                view: view.with_instances(INSTANCES),
                route,
                keys,
                queue: AdmissionQueue::new(QueueLimits::default(), per_s),
                detector: OutlierDetector::new(OutlierLimits::default()),
                budget: retry_budget(),
            }
        };
        let engine = |_| Engine {
            busy: 0,
            waiting: VecDeque::new(),
            crashed: false,
        };
        Self {
            policy,
            engines_crash,
            start,
            now: 0,
            requests: request::draw_arrivals(&mut rng, per_ms, INSTANCES),
            rng,
            accounts: fleet::accounts(ACCOUNTS),
            attempts: Vec::new(),
            engines: (0..ENGINES).map(engine).collect(),
            instances: (0..INSTANCES).map(instance).collect(),
            history: VecDeque::new(),
            events: BinaryHeap::new(),
            event_count: 0,
        }
    }

    /// Returns the number of slots of live engines, averaged from `from_ms` to the end.
    pub(crate) fn live_slots(&self, from_ms: u64) -> f64 {
        let all = ENGINES as f64 * f64::from(SLOTS);
        let after = (END_MS - CRASH_MS) as f64 / (END_MS - from_ms) as f64;
        let lost = (ENGINES / 3) as f64 * f64::from(SLOTS) * after;
        if self.engines_crash {
            all - lost
        } else {
            all
        }
    }

    pub(crate) fn run(&mut self) {
        for request in 0..self.requests.len() {
            self.schedule(self.requests[request].arrival, Event::Arrive(request));
        }
        self.schedule(0, Event::Tick);
        if self.engines_crash {
            self.schedule(CRASH_MS, Event::Crash);
        }
        // Runs on after the last arrival until all attempts have ended.
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(request) => self.admit(request),
                Event::Retry(request) => self.admit(request),
                Event::Complete(attempt) => self.complete(attempt),
                Event::StartTimeout(attempt) => self.on_start_timeout(attempt),
                Event::Tick => self.tick(),
                Event::Crash => self.crash_engines(),
            }
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn admit(&mut self, request: usize) {
        if !self.policy.balances_load {
            let engine = self.rng.random_range(0..ENGINES);
            return self.send(request, engine);
        }
        let priority = self.requests[request].priority;
        let empty = self.instances[self.requests[request].instance]
            .queue
            .is_empty();
        let choice = self
            .choose(request)
            .filter(|choice| choice.fits_quota(priority));
        match choice {
            Some(choice) if empty => self.dispatch(request, choice),
            _ => self.enqueue(request),
        }
    }

    fn enqueue(&mut self, request: usize) {
        let state = &self.requests[request];
        let waiting = QueuedRequest {
            account: self.accounts[state.account],
            weight: 1,
            priority: state.priority,
            // The service time is not known in advance. Drafts take 5 times as long on average.
            cost: if state.priority == Priority::Draft {
                5
            } else {
                1
            },
            deadline: state.deadline,
            item: request,
        };
        if self.instances[state.instance]
            .queue
            .try_push(waiting, self.now)
            .is_err()
        {
            self.refuse(request);
        }
    }

    /// Refuses a request unless an attempt is still queued or running at an engine.
    fn refuse(&mut self, request: usize) {
        if self.requests[request].pending_attempts == 0 {
            self.requests[request].refused = Some(self.now);
        }
    }

    fn choose(&mut self, request: usize) -> Option<Choice> {
        let state = &self.requests[request];
        let instance = &self.instances[state.instance];
        let excluded: Vec<TargetKey> = state
            .failed_engines
            .iter()
            .map(|engine| instance.keys[*engine])
            .collect();
        let criteria = PickCriteria {
            excluded: &excluded,
            ..PickCriteria::default()
        };
        let now = self.start + Duration::from_millis(self.now);
        instance
            .view
            .pick(instance.route, &criteria, now, &mut self.rng)
            .ok()
    }

    fn dispatch(&mut self, request: usize, choice: Choice) {
        let keys = &self.instances[self.requests[request].instance].keys;
        if let Some(engine) = keys.iter().position(|key| *key == choice.target) {
            self.send(request, engine);
        }
    }

    /// Dispatches queued requests while a target has room.
    fn drain(&mut self, instance: usize) {
        loop {
            // One pick serves for any queued request, since all use the same pool.
            let Some(pick) = self.pick_for_queue(instance) else {
                return;
            };
            let queue = &mut self.instances[instance].queue;
            let next = match pick {
                choice if choice.fits_quota(Priority::Draft) => queue.pop(self.now),
                choice if choice.fits_quota(Priority::Interactive) => {
                    queue.pop_interactive(self.now)
                }
                _ => None,
            };
            let Some(waiting) = next else { return };
            match self.requests[waiting.item].failed_engines.is_empty() {
                true => self.dispatch(waiting.item, pick),
                false => self
                    .choose(waiting.item)
                    .into_iter()
                    .for_each(|c| self.dispatch(waiting.item, c)),
            }
        }
    }

    fn pick_for_queue(&mut self, instance: usize) -> Option<Choice> {
        let instance = &self.instances[instance];
        if instance.queue.is_empty() {
            return None;
        }
        let now = self.start + Duration::from_millis(self.now);
        instance
            .view
            .pick(instance.route, &PickCriteria::default(), now, &mut self.rng)
            .ok()
    }

    fn send(&mut self, request: usize, engine: usize) {
        self.requests[request].attempts += 1;
        if self.engines[engine].crashed {
            return self.fail(request, engine, Failure::Refused);
        }
        let instance = &self.instances[self.requests[request].instance];
        let target = instance.view.target(instance.keys[engine]);
        let in_flight = target.and_then(|target| target.state.begin_request(self.now));
        let attempt = self.attempts.len();
        self.requests[request].pending_attempts += 1;
        self.attempts.push(Attempt {
            request,
            engine,
            sent_ms: self.now,
            started: false,
            ended: false,
            in_flight,
        });
        if self.engines[engine].busy < SLOTS {
            return self.start_attempt(attempt);
        }
        self.engines[engine].waiting.push_back(attempt);
        self.schedule(
            self.now + self.requests[request].max_wait_ms() / 4,
            Event::StartTimeout(attempt),
        );
    }

    fn start_attempt(&mut self, attempt: usize) {
        let Attempt {
            request, engine, ..
        } = self.attempts[attempt];
        self.attempts[attempt].started = true;
        self.engines[engine].busy += 1;
        let request = &mut self.requests[request];
        request.started = request.started.or(Some(self.now));
        let ends_at_ms = self.now + request.service as u64;
        self.schedule(ends_at_ms, Event::Complete(attempt));
    }

    fn complete(&mut self, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].ended, true) {
            return;
        }
        let Attempt {
            request,
            engine,
            sent_ms,
            ..
        } = self.attempts[attempt];
        let in_flight = self.attempts[attempt].in_flight.take();
        in_flight
            .into_iter()
            .for_each(|in_flight| in_flight.end(self.now));
        let instance = self.requests[request].instance;
        let instance_state = &mut self.instances[instance];
        instance_state.budget.record_success();
        let wait = self.now.saturating_sub(sent_ms) as f64 - self.requests[request].service;
        instance_state
            .detector
            .record_success(instance_state.keys[engine], wait.max(1.0));
        let target = instance_state.view.target(instance_state.keys[engine]);
        target
            .into_iter()
            .for_each(|target| target.state.retry_budget.record_success());
        self.requests[request].pending_attempts -= 1;
        self.engines[engine].busy -= 1;
        self.start_queued(engine);
        if self.policy.balances_load {
            self.drain(instance);
        }
    }

    /// Starts queued attempts while the engine has free slots.
    fn start_queued(&mut self, engine: usize) {
        while self.engines[engine].busy < SLOTS {
            let Some(attempt) = self.engines[engine].waiting.pop_front() else {
                return;
            };
            let request = &self.requests[self.attempts[attempt].request];
            let obsolete = request.started.is_some() || self.now > request.deadline;
            if self.policy.drops_expired && obsolete {
                self.attempts[attempt].ended = true;
                let request = self.attempts[attempt].request;
                self.requests[request].pending_attempts -= 1;
                let in_flight = self.attempts[attempt].in_flight.take();
                in_flight
                    .into_iter()
                    .for_each(|in_flight| in_flight.end(self.now));
                continue;
            }
            self.start_attempt(attempt);
        }
    }

    /// Retries an attempt that has not started in time.
    fn on_start_timeout(&mut self, attempt: usize) {
        let Attempt {
            request,
            engine,
            started,
            ended,
            ..
        } = self.attempts[attempt];
        let no_retry =
            self.requests[request].started.is_some() || self.now > self.requests[request].deadline;
        // A health probe shows that the engine is alive and the attempt is just queued.
        let known_alive = self.policy.balances_load && !self.engines[engine].crashed;
        if !started && !ended && !no_retry && !known_alive {
            self.fail(request, engine, Failure::Timeout);
        }
    }

    /// Records the failure of an attempt and schedules a retry if the policy allows one.
    fn fail(&mut self, request: usize, engine: usize, failure: Failure) {
        let decision = failure.retry_decision();
        let instance_state = &mut self.instances[self.requests[request].instance];
        if self.policy.balances_load && failure != Failure::Timeout {
            instance_state
                .detector
                .record_failure(instance_state.keys[engine]);
        }
        self.requests[request].failed_engines.push(engine);
        let retries_immediately = decision == RetryDecision::OtherTarget
            && self.requests[request].failed_engines.len() <= MAX_IMMEDIATE_RETRIES;
        let target = instance_state.view.target(instance_state.keys[engine]);
        let allowed = !self.policy.retry_budget
            || retries_immediately
            || target.is_some_and(|target| {
                instance_state
                    .budget
                    .try_take_both(&target.state.retry_budget)
            });
        if !allowed {
            self.requests[request].failed |= failure != Failure::Timeout;
            return;
        }
        let wait = match self.policy.balances_load && !retries_immediately {
            true => Backoff::default().next_delay(Duration::ZERO, Duration::ZERO, &mut self.rng),
            false => Duration::ZERO,
        };
        self.schedule(self.now + wait.as_millis() as u64, Event::Retry(request));
    }

    fn tick(&mut self) {
        let now = self.start + Duration::from_millis(self.now);
        self.history
            .push_back(self.engines.iter().map(Engine::load).collect());
        let delayed = match self.history.len() as u64 > REPORT_LAG_MS / TICK_MS {
            true => self.history.pop_front(),
            false => None,
        };
        let reported_loads = delayed.filter(|_| self.now.is_multiple_of(REPORT_INTERVAL_MS));
        for instance in 0..INSTANCES {
            if let Some(reported_loads) = &reported_loads {
                self.instances[instance].record_loads(reported_loads, self.now - REPORT_LAG_MS);
            }
            self.instances[instance].view.update_load_stats(now);
            self.update_ejections(instance);
            for (expired, _) in self.instances[instance].queue.expire(self.now) {
                self.refuse(expired.item);
            }
            self.drain(instance);
        }
        if self.now < END_MS + 10_000 {
            self.schedule(self.now + TICK_MS, Event::Tick);
        }
    }

    fn update_ejections(&mut self, instance: usize) {
        let instance_state = &mut self.instances[instance];
        let Some(pool) = instance_state.view.pool(instance_state.route) else {
            return;
        };
        for effect in instance_state.detector.step(pool, self.now) {
            match effect {
                OutlierEffect::SetWeight(key, weight) => pool.set_weight(key, weight),
                OutlierEffect::SetPanicMode(on) => pool.set_panic_mode(on),
                OutlierEffect::Probe(key) => {
                    let engine = instance_state.keys.iter().position(|other| *other == key);
                    let alive = engine.is_some_and(|engine| !self.engines[engine].crashed);
                    instance_state.detector.record_probe(key, alive, self.now);
                }
            }
        }
    }

    /// Crashes a third of the engines, which fails their attempts.
    fn crash_engines(&mut self) {
        for engine in 0..ENGINES / 3 {
            self.engines[engine].crashed = true;
            self.engines[engine].waiting.clear();
        }
        for attempt in 0..self.attempts.len() {
            if self.attempts[attempt].ended || !self.engines[self.attempts[attempt].engine].crashed
            {
                continue;
            }
            self.attempts[attempt].ended = true;
            let in_flight = self.attempts[attempt].in_flight.take();
            in_flight
                .into_iter()
                .for_each(|in_flight| in_flight.end(self.now));
            let Attempt {
                request, engine, ..
            } = self.attempts[attempt];
            self.requests[request].pending_attempts -= 1;
            // A request that had started must start again.
            self.requests[request].started = None;
            self.fail(request, engine, Failure::Reset);
        }
    }
}

impl Engine {
    fn load(&self) -> u32 {
        self.busy + self.waiting.len() as u32
    }
}

impl Instance {
    fn record_loads(&self, reported_loads: &[u32], sampled_at_ms: u64) {
        for (key, load) in self.keys.iter().zip(reported_loads) {
            let target = self.view.target(*key);
            target
                .into_iter()
                .for_each(|target| target.state.record_load(sampled_at_ms, *load));
        }
    }
}
