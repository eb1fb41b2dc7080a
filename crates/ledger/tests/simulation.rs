//! A simulation of several instances with one store and one service, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use celerypond_ledger::{
    Answer, Call, CallId, CallKey, Effect, FinishedCall, ListReply, NotRunCodes, ReadReply,
    RequestFingerprint, ServiceResponse, Settings, Shard, ShardNumber, UnsentCall, WriteReply,
};
use celerypond_platform::Object;
use celerypond_types::{NotRunReason, Outcome};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    history::{Attempt, Execution, History},
    memory_store::MemoryStore,
};

const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// An upper bound of the time between sending a call and its execution by the service.
pub(crate) const MAX_SERVICE_DELAY: Duration = Duration::from_millis(400);
const SERVICE_TIMEOUT: Duration = Duration::from_secs(1);
const PAGE_SIZE: usize = 6;
/// More events than any simulation needs; beyond that it counts as an endless loop.
const MAX_EVENTS: u64 = 60_000;
const NOT_RUN_CODE: u16 = 429;

/// The faults of a simulation. Probabilities are between 0 and 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// The probability that the reply of the store is lost after a request took effect.
    pub(crate) lost_reply: f64,
    /// The probability that a request reaches the store late, by 0.3 to 40 s.
    pub(crate) late_request: f64,
    /// The probability that the store reports a write that took effect as not applied.
    pub(crate) false_not_applied: f64,
    /// The probability that no connection to the service can be made. A call that is sent fails with
    /// four times this probability.
    pub(crate) service_failure: f64,
    pub(crate) outages: bool,
    pub(crate) pauses: bool,
    pub(crate) crashes: bool,
    /// How long keys are remembered; longer than callers retry and instances are paused.
    pub(crate) retention: Duration,
    pub(crate) max_pause_ms: u64,
}

/// The `usize` is the instance. The `u64` is the id of the store request, or the instance's count of
/// restarts, that the event belongs to. The `u32` is the number of retries that the caller has left.
enum Event {
    StoreRequest(usize, u64, Effect),
    ListPage(usize, u64, SmolStr, Vec<Object>),
    WriteReply(usize, u64, WriteReply),
    ReadReply(usize, u64, ReadReply),
    ListReply(usize, u64, ListReply),
    SendCall(usize, u64, CallId, UnsentCall),
    RunCall(usize, u64, CallId, CallKey, FinishedCall),
    FinishCall(usize, u64, FinishedCall),
    Tick(usize, Instant),
    CallArrives(usize, CallKey, u32),
    CallerRetries(CallId, u32),
    InjectFault,
}

struct Instance {
    shard: Shard,
    /// How often the instance has crashed; events from before the last crash are dropped.
    restarts: u64,
    /// Identifies the request to the store that is under way.
    request_id: u64,
    paused_until: Option<Instant>,
    next_tick: Option<Instant>,
}

pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) store: MemoryStore,
    pub(crate) history: History,
    pub(crate) store_down_until: Option<Instant>,
    start: Instant,
    faults_duration: Duration,
    faults: Faults,
    settings: Settings,
    instances: Vec<Instance>,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    /// The last id given to an event or a call.
    last_id: u64,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        instances: usize,
        faults_duration: Duration,
        faults: Faults,
    ) -> Self {
        let now = Instant::now();
        let settings = Settings {
            retention: faults.retention,
            ..Settings::default()
        };
        let mut simulation = Self {
            now,
            store: MemoryStore::new(),
            history: History::default(),
            store_down_until: None,
            start: now,
            faults_duration,
            faults,
            settings,
            instances: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_id: 0,
        };
        for _ in 0..instances {
            let shard = simulation.new_shard();
            simulation.instances.push(Instance {
                shard,
                restarts: 0,
                request_id: 0,
                paused_until: None,
                next_tick: None,
            });
        }
        simulation.schedule(Duration::from_secs(1), Event::InjectFault);
        simulation
    }

    pub(crate) fn schedule_call(
        &mut self,
        delay: Duration,
        instance: usize,
        key: &str,
        retries_left: u32,
    ) {
        let key = CallKey::of(&"account".into(), &key.into());
        self.schedule(delay, Event::CallArrives(instance, key, retries_left));
    }

    pub(crate) fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.events.pop() {
            self.now = at;
            if self.last_id > MAX_EVENTS {
                return self
                    .history
                    .violations
                    .push("the simulation did not end".to_owned());
            }
            if let Some(event) = self.scheduled.remove(&id) {
                self.handle(event);
            }
        }
    }

    pub(crate) fn summary(&self) -> String {
        let answers = self.history.attempts.values().map(|a| match &a.answer {
            None => "none",
            Some((_, Answer::KeyReused)) => "reused",
            Some((_, Answer::Outcome(Outcome::Ran(_)))) => "ran",
            Some((_, Answer::Outcome(Outcome::Unknown))) => "unknown",
            Some((_, Answer::Outcome(Outcome::NotRun { .. }))) => "not run",
        });
        let mut counts = BTreeMap::new();
        answers.for_each(|answer| *counts.entry(answer).or_insert(0) += 1);
        let executions = self.history.executions.len();
        let (slots, writes) = (self.store.objects.len(), self.store.write_count);
        let events = self.last_id;
        format!("{counts:?} executions {executions} slots {slots} writes {writes} events {events}")
    }

    fn new_shard(&mut self) -> Shard {
        Shard::new(ShardNumber(0), self.settings, self.rng.random(), self.now)
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_id += 1;
        self.events.push(Reverse((self.now + delay, self.last_id)));
        self.scheduled.insert(self.last_id, event);
    }

    fn fault_occurs(&mut self, probability: f64) -> bool {
        let faults_ended = self.now > self.start + self.faults_duration;
        !faults_ended && self.rng.random_bool(probability)
    }

    fn random_millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1000..to * 1000))
    }

    fn handle(&mut self, event: Event) {
        // A paused process handles events when it continues; what it has sent is still delivered.
        if let Some((instance, until)) = self.paused_instance(&event) {
            let delay = until - self.now + self.random_millis(0, 2);
            self.instances[instance].paused_until = Some(until).filter(|until| *until > self.now);
            return self.schedule(delay, event);
        }
        match event {
            Event::StoreRequest(instance, request_id, effect) => {
                self.handle_request(instance, request_id, effect)
            }
            Event::ListPage(instance, request_id, prefix, objects) => {
                self.read_page(instance, request_id, prefix, objects)
            }
            Event::WriteReply(instance, request_id, reply) => {
                self.handle_reply(instance, request_id, |s, now| {
                    s.handle_write_reply(reply, now)
                })
            }
            Event::ReadReply(instance, request_id, reply) => {
                self.handle_reply(instance, request_id, |s, now| {
                    s.handle_read_reply(reply, now)
                })
            }
            Event::ListReply(instance, request_id, reply) => {
                self.handle_reply(instance, request_id, |s, now| {
                    s.handle_list_reply(reply, now)
                })
            }
            Event::SendCall(instance, restarts, id, unsent) => {
                self.send_call(instance, restarts, id, unsent)
            }
            Event::RunCall(instance, restarts, id, key, finished) => {
                self.run_call(instance, restarts, id, key, finished)
            }
            Event::FinishCall(instance, restarts, finished)
                if restarts == self.instances[instance].restarts =>
            {
                self.update_shard(instance, |shard, now| {
                    shard.handle_finished_call(finished, now)
                });
            }
            Event::Tick(instance, at) if self.instances[instance].next_tick == Some(at) => {
                self.instances[instance].next_tick = None;
                self.update_shard(instance, Shard::tick);
            }
            Event::CallArrives(instance, key, retries_left) => {
                self.start_call(instance, key, retries_left)
            }
            Event::CallerRetries(id, retries_left) => self.retry(id, retries_left),
            Event::InjectFault => self.inject_fault(),
            Event::FinishCall(..) | Event::Tick(..) => {}
        }
    }

    fn paused_instance(&self, event: &Event) -> Option<(usize, Instant)> {
        let instance = match event {
            Event::WriteReply(instance, ..)
            | Event::ReadReply(instance, ..)
            | Event::ListReply(instance, ..) => instance,
            Event::SendCall(instance, ..)
            | Event::FinishCall(instance, ..)
            | Event::Tick(instance, ..) => instance,
            Event::CallArrives(instance, ..) => instance,
            _ => return None,
        };
        let until = self.instances[*instance]
            .paused_until
            .filter(|until| *until > self.now)?;
        Some((*instance, until))
    }

    fn start_call(&mut self, instance: usize, key: CallKey, retries_left: u32) {
        self.last_id += 1;
        let id = CallId(self.last_id);
        let send_by = self.now + Duration::from_secs(2);
        let attempt = Attempt {
            key,
            started_at: self.now,
            send_by,
            answer: None,
            instance_crashed: false,
        };
        self.history.attempts.insert(id, attempt);
        let fingerprint = RequestFingerprint::of("POST", "/holds", b"");
        let call = Call {
            id,
            key,
            fingerprint,
            send_by,
            service_timeout: SERVICE_TIMEOUT,
        };
        let retry_delay = self.random_millis(500, 6000);
        self.schedule(retry_delay, Event::CallerRetries(id, retries_left));
        self.update_shard(instance, |shard, now| shard.handle_call(call, now));
    }

    /// Lets a caller without a response retry at a random instance, also while the first instance may
    /// still work on the call.
    fn retry(&mut self, id: CallId, retries_left: u32) {
        let attempt = &self.history.attempts[&id];
        let answer = attempt.answer.as_ref().map(|(_, answer)| answer);
        let has_result = matches!(answer, Some(Answer::Outcome(Outcome::Ran(_))));
        if !has_result && retries_left > 0 {
            let key = attempt.key;
            let instance = self.rng.random_range(0..self.instances.len());
            self.schedule(
                Duration::ZERO,
                Event::CallArrives(instance, key, retries_left - 1),
            );
        }
    }

    fn update_shard(
        &mut self,
        instance: usize,
        input: impl FnOnce(&mut Shard, Instant) -> Vec<Effect>,
    ) {
        let effects = input(&mut self.instances[instance].shard, self.now);
        for effect in effects {
            self.carry_out(instance, effect);
        }
        let state = &self.instances[instance];
        let wake = state.shard.wake_at();
        if let Some(at) = wake.filter(|at| state.next_tick.is_none_or(|wake| *at < wake)) {
            self.instances[instance].next_tick = Some(at);
            self.schedule(
                at.saturating_duration_since(self.now),
                Event::Tick(instance, at),
            );
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::Answer { id, answer } => self.record_answer(id, answer),
            Effect::Dispatch { id, unsent } => {
                // The time to connect. A pause during it lets the permission to send expire.
                let delay = self.random_millis(0, 100);
                let restarts = self.instances[instance].restarts;
                self.schedule(delay, Event::SendCall(instance, restarts, id, unsent));
            }
            Effect::ReportCorruption { error } => self.history.violations.push(error.to_string()),
            request => {
                self.instances[instance].request_id += 1;
                let request_id = self.instances[instance].request_id;
                let timeout = match &request {
                    Effect::Get { .. } => Event::ReadReply(instance, request_id, ReadReply::Failed),
                    Effect::List { .. } => {
                        Event::ListReply(instance, request_id, ListReply::Failed)
                    }
                    _ => Event::WriteReply(instance, request_id, WriteReply::Ambiguous),
                };
                self.schedule(STORE_TIMEOUT, timeout);
                let is_late = self.fault_occurs(self.faults.late_request);
                let delay = if is_late {
                    self.random_millis(300, 40_000)
                } else {
                    self.random_millis(1, 3)
                };
                self.schedule(delay, Event::StoreRequest(instance, request_id, request));
            }
        }
    }

    fn record_answer(&mut self, id: CallId, answer: Answer) {
        let attempt = self.history.attempts.get_mut(&id).unwrap();
        if attempt.answer.replace((self.now, answer)).is_some() {
            self.history
                .violations
                .push(format!("{id:?} was answered twice"));
        }
    }

    fn handle_request(&mut self, instance: usize, request_id: u64, effect: Effect) {
        if self.store_down_until.is_some_and(|until| self.now < until) {
            let refused = match effect {
                Effect::Get { .. } => Event::ReadReply(instance, request_id, ReadReply::Failed),
                Effect::List { .. } => Event::ListReply(instance, request_id, ListReply::Failed),
                _ => Event::WriteReply(instance, request_id, WriteReply::NotApplied),
            };
            // Otherwise the request is lost.
            if self.rng.random_bool(0.5) {
                self.schedule(Duration::from_millis(1), refused);
            }
            return;
        }
        let reply = match effect {
            Effect::List { prefix } => {
                return self.read_page(instance, request_id, prefix, Vec::new())
            }
            Effect::Get { key } => Event::ReadReply(instance, request_id, self.store.get(&key)),
            write => {
                let reply = self.store.write(&write);
                let is_false = self.fault_occurs(self.faults.false_not_applied);
                Event::WriteReply(
                    instance,
                    request_id,
                    if is_false {
                        WriteReply::NotApplied
                    } else {
                        reply
                    },
                )
            }
        };
        if !self.fault_occurs(self.faults.lost_reply) {
            let delay = self.random_millis(1, 3);
            self.schedule(delay, reply);
        }
    }

    /// Reads the next page of a list; other instances can write between two pages.
    fn read_page(
        &mut self,
        instance: usize,
        request_id: u64,
        prefix: SmolStr,
        mut objects: Vec<Object>,
    ) {
        let after = objects.last().map_or(&prefix, |last| &last.key).clone();
        let page = self.store.page(&after, PAGE_SIZE);
        let delay = self.random_millis(1, 4);
        if page.is_empty() {
            return self.schedule(
                delay,
                Event::ListReply(instance, request_id, ListReply::Listed(objects)),
            );
        }
        objects.extend(page);
        self.schedule(
            delay,
            Event::ListPage(instance, request_id, prefix, objects),
        );
    }

    fn handle_reply(
        &mut self,
        instance: usize,
        request_id: u64,
        input: impl FnOnce(&mut Shard, Instant) -> Vec<Effect>,
    ) {
        // A reply after the timeout or a crash is dropped.
        if self.instances[instance].request_id == request_id {
            self.instances[instance].request_id += 1;
            self.update_shard(instance, input);
        }
    }

    fn send_call(&mut self, instance: usize, restarts: u64, id: CallId, unsent: UnsentCall) {
        if self.instances[instance].restarts != restarts {
            return;
        }
        let key = unsent.key().unwrap();
        if self.fault_occurs(self.faults.service_failure) {
            let finished = unsent.not_run(NotRunReason::NotConnected, Duration::ZERO);
            return self.schedule(
                Duration::ZERO,
                Event::FinishCall(instance, restarts, finished),
            );
        }
        let sent = match unsent.mark_sent(self.now) {
            Ok(sent) => sent,
            Err(finished) => {
                return self.schedule(
                    Duration::ZERO,
                    Event::FinishCall(instance, restarts, finished),
                )
            }
        };
        let not_run_codes = NotRunCodes::new(&[NOT_RUN_CODE]);
        let number = id.0.to_string();
        let response = |status| ServiceResponse::new(status, "text/plain", number.clone());
        let fails = self.fault_occurs(self.faults.service_failure * 4.0);
        let kind = if fails {
            self.rng.random_range(1..6)
        } else {
            0
        };
        let delay = self.random_millis(1, 300);
        let (runs, finished) = match kind {
            0 => (
                true,
                sent.answered(response(200), SERVICE_TIMEOUT, &not_run_codes),
            ),
            1 => (
                true,
                sent.answered(response(500), SERVICE_TIMEOUT, &not_run_codes),
            ),
            2 => (true, sent.unanswered()),
            3 => (false, sent.unanswered()),
            4 => (
                false,
                sent.answered(response(503), SERVICE_TIMEOUT, &not_run_codes),
            ),
            _ => (
                false,
                sent.answered(response(NOT_RUN_CODE), SERVICE_TIMEOUT, &not_run_codes),
            ),
        };
        if runs {
            self.schedule(delay, Event::RunCall(instance, restarts, id, key, finished));
        } else {
            self.schedule(delay, Event::FinishCall(instance, restarts, finished));
        }
    }

    fn run_call(
        &mut self,
        instance: usize,
        restarts: u64,
        id: CallId,
        key: CallKey,
        finished: FinishedCall,
    ) {
        self.history.executions.push(Execution {
            key,
            id,
            number: id.0,
            at: self.now,
        });
        let delay = self.random_millis(1, 50);
        self.schedule(delay, Event::FinishCall(instance, restarts, finished));
    }

    fn inject_fault(&mut self) {
        if self.now > self.start + self.faults_duration {
            return;
        }
        let instance = self.rng.random_range(0..self.instances.len());
        let kind = self.rng.random_range(0..3);
        if kind == 0 && self.faults.outages {
            self.store_down_until = Some(self.now + self.random_millis(100, 9000));
        }
        if kind == 1 && self.faults.pauses {
            self.instances[instance].paused_until =
                Some(self.now + self.random_millis(50, self.faults.max_pause_ms));
        }
        if kind == 2 && self.faults.crashes {
            self.crash(instance);
        }
        let delay = self.random_millis(200, 5000);
        self.schedule(delay, Event::InjectFault);
    }

    fn crash(&mut self, instance: usize) {
        let shard = self.new_shard();
        let state = &mut self.instances[instance];
        state.shard = shard;
        state.restarts += 1;
        state.request_id += 1;
        (state.paused_until, state.next_tick) = (None, None);
        // Callers of other instances are marked as well, so a missing answer is not reported for any
        // of them.
        for attempt in self.history.attempts.values_mut() {
            attempt.instance_crashed |= attempt.answer.is_none();
        }
    }
}
