//! Several instances over one store and one service, in virtual time.

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
    store::Store,
};

const TIMEOUT: Duration = Duration::from_millis(300);
/// The longest time between the send of a call and its start at the service.
pub(crate) const SERVICE_MOST: Duration = Duration::from_millis(400);
const RUN: Duration = Duration::from_secs(1);
const PAGE: usize = 6;
/// More events than any run needs.
const EVENTS_MOST: u64 = 60_000;
const REFUSED: u16 = 429;

/// How likely faults are, each from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub(crate) lost_reply: f64,
    pub(crate) late_request: f64,
    pub(crate) false_down: f64,
    pub(crate) service: f64,
    pub(crate) outages: bool,
    pub(crate) pauses: bool,
    pub(crate) crashes: bool,
    /// How long keys are remembered; longer than callers retry and an instance is paused.
    pub(crate) retention: Duration,
    pub(crate) pause_ms: u64,
}

enum Event {
    Request(usize, u64, Effect),
    Page(usize, u64, SmolStr, Vec<Object>),
    Wrote(usize, u64, WriteReply),
    Read(usize, u64, ReadReply),
    Listed(usize, u64, ListReply),
    Send(usize, u64, CallId, UnsentCall),
    Execute(usize, u64, CallId, CallKey, FinishedCall),
    Finish(usize, u64, FinishedCall),
    Tick(usize, Instant),
    Arrive(usize, CallKey, u32),
    Patience(CallId, u32),
    Trouble,
}

struct Node {
    shard: Shard,
    /// Counts crashes, so that events of an earlier run are dropped.
    run: u64,
    /// The number of the call of the store that is under way.
    call: u64,
    paused: Option<Instant>,
    wake: Option<Instant>,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) store: Store,
    pub(crate) history: History,
    pub(crate) down: Option<Instant>,
    start: Instant,
    until: Duration,
    faults: Faults,
    settings: Settings,
    nodes: Vec<Node>,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    todo: BTreeMap<u64, Event>,
    count: u64,
}

impl World {
    pub(crate) fn new(seed: u64, nodes: usize, until: Duration, faults: Faults) -> Self {
        let now = Instant::now();
        let settings = Settings {
            retention: faults.retention,
            ..Settings::default()
        };
        let mut world = Self {
            now,
            store: Store::new(),
            history: History::default(),
            down: None,
            start: now,
            until,
            faults,
            settings,
            nodes: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            todo: BTreeMap::new(),
            count: 0,
        };
        for _ in 0..nodes {
            let shard = world.shard();
            world.nodes.push(Node {
                shard,
                run: 0,
                call: 0,
                paused: None,
                wake: None,
            });
        }
        world.after(Duration::from_secs(1), Event::Trouble);
        world
    }

    pub(crate) fn arrive(&mut self, wait: Duration, node: usize, key: &str, tries: u32) {
        let key = CallKey::of(&"account".into(), &key.into());
        self.after(wait, Event::Arrive(node, key, tries));
    }

    pub(crate) fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.events.pop() {
            self.now = at;
            if self.count > EVENTS_MOST {
                return self.history.faults.push("it never came to rest".to_owned());
            }
            if let Some(event) = self.todo.remove(&id) {
                self.step(event);
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
        let (slots, writes) = (self.store.objects.len(), self.store.writes);
        let events = self.count;
        format!("{counts:?} executions {executions} slots {slots} writes {writes} events {events}")
    }

    fn shard(&mut self) -> Shard {
        Shard::new(ShardNumber(0), self.settings, self.rng.random(), self.now)
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + wait, self.count)));
        self.todo.insert(self.count, event);
    }

    fn chance(&mut self, part: f64) -> bool {
        let healed = self.now > self.start + self.until;
        !healed && self.rng.random_bool(part)
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1000..to * 1000))
    }

    fn step(&mut self, event: Event) {
        // A paused process sees nothing until it goes on; what it has sent is on its way.
        if let Some((node, until)) = self.paused(&event) {
            let wait = until - self.now + self.millis(0, 2);
            self.nodes[node].paused = Some(until).filter(|until| *until > self.now);
            return self.after(wait, event);
        }
        match event {
            Event::Request(node, call, effect) => self.request(node, call, effect),
            Event::Page(node, call, prefix, objects) => self.page(node, call, prefix, objects),
            Event::Wrote(node, call, reply) => {
                self.reply(node, call, |s, now| s.handle_write_reply(reply, now))
            }
            Event::Read(node, call, reply) => {
                self.reply(node, call, |s, now| s.handle_read_reply(reply, now))
            }
            Event::Listed(node, call, reply) => {
                self.reply(node, call, |s, now| s.handle_list_reply(reply, now))
            }
            Event::Send(node, run, id, unsent) => self.send(node, run, id, unsent),
            Event::Execute(node, run, id, key, finished) => {
                self.execute(node, run, id, key, finished)
            }
            Event::Finish(node, run, finished) if run == self.nodes[node].run => {
                self.with(node, |shard, now| shard.handle_finished_call(finished, now));
            }
            Event::Tick(node, at) if self.nodes[node].wake == Some(at) => {
                self.nodes[node].wake = None;
                self.with(node, Shard::tick);
            }
            Event::Arrive(node, key, tries) => self.attempt(node, key, tries),
            Event::Patience(id, tries) => self.retry(id, tries),
            Event::Trouble => self.trouble(),
            Event::Finish(..) | Event::Tick(..) => {}
        }
    }

    fn paused(&self, event: &Event) -> Option<(usize, Instant)> {
        let node = match event {
            Event::Wrote(node, ..) | Event::Read(node, ..) | Event::Listed(node, ..) => node,
            Event::Send(node, ..) | Event::Finish(node, ..) | Event::Tick(node, ..) => node,
            Event::Arrive(node, ..) => node,
            _ => return None,
        };
        let until = self.nodes[*node].paused.filter(|until| *until > self.now)?;
        Some((*node, until))
    }

    fn attempt(&mut self, node: usize, key: CallKey, tries: u32) {
        self.count += 1;
        let id = CallId(self.count);
        let send_by = self.now + Duration::from_secs(2);
        let attempt = Attempt {
            key,
            from: self.now,
            send_by,
            answer: None,
            crashed: false,
        };
        self.history.attempts.insert(id, attempt);
        let fingerprint = RequestFingerprint::of("POST", "/holds", b"");
        let call = Call {
            id,
            key,
            fingerprint,
            send_by,
            service_timeout: RUN,
        };
        let patience = self.millis(500, 6000);
        self.after(patience, Event::Patience(id, tries));
        self.with(node, |shard, now| shard.handle_call(call, now));
    }

    /// A caller who has no result tries again at some instance, also while the first one may
    /// still be at work.
    fn retry(&mut self, id: CallId, tries: u32) {
        let attempt = &self.history.attempts[&id];
        let answer = attempt.answer.as_ref().map(|(_, answer)| answer);
        let has_result = matches!(answer, Some(Answer::Outcome(Outcome::Ran(_))));
        if !has_result && tries > 0 {
            let key = attempt.key;
            let node = self.rng.random_range(0..self.nodes.len());
            self.after(Duration::ZERO, Event::Arrive(node, key, tries - 1));
        }
    }

    fn with(&mut self, node: usize, input: impl FnOnce(&mut Shard, Instant) -> Vec<Effect>) {
        let effects = input(&mut self.nodes[node].shard, self.now);
        for effect in effects {
            self.carry_out(node, effect);
        }
        let state = &self.nodes[node];
        let wake = state.shard.wake_at();
        if let Some(at) = wake.filter(|at| state.wake.is_none_or(|wake| *at < wake)) {
            self.nodes[node].wake = Some(at);
            self.after(
                at.saturating_duration_since(self.now),
                Event::Tick(node, at),
            );
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Answer { id, answer } => self.answered(id, answer),
            Effect::Dispatch { id, unsent } => {
                // Time to connect, in which a pause leaves the permission to send out of date.
                let wait = self.millis(0, 100);
                let run = self.nodes[node].run;
                self.after(wait, Event::Send(node, run, id, unsent));
            }
            Effect::ReportCorruption { error } => self.history.faults.push(error.to_string()),
            request => {
                self.nodes[node].call += 1;
                let call = self.nodes[node].call;
                let lost = match &request {
                    Effect::Get { .. } => Event::Read(node, call, ReadReply::Failed),
                    Effect::List { .. } => Event::Listed(node, call, ListReply::Failed),
                    _ => Event::Wrote(node, call, WriteReply::Ambiguous),
                };
                self.after(TIMEOUT, lost);
                let late = self.chance(self.faults.late_request);
                let wait = if late {
                    self.millis(300, 40_000)
                } else {
                    self.millis(1, 3)
                };
                self.after(wait, Event::Request(node, call, request));
            }
        }
    }

    fn answered(&mut self, id: CallId, answer: Answer) {
        let attempt = self.history.attempts.get_mut(&id).unwrap();
        if attempt.answer.replace((self.now, answer)).is_some() {
            self.history
                .faults
                .push(format!("{id:?} was answered twice"));
        }
    }

    fn request(&mut self, node: usize, call: u64, effect: Effect) {
        if self.down.is_some_and(|until| self.now < until) {
            let refused = match effect {
                Effect::Get { .. } => Event::Read(node, call, ReadReply::Failed),
                Effect::List { .. } => Event::Listed(node, call, ListReply::Failed),
                _ => Event::Wrote(node, call, WriteReply::NotApplied),
            };
            // Else the request is lost.
            if self.rng.random_bool(0.5) {
                self.after(Duration::from_millis(1), refused);
            }
            return;
        }
        let reply = match effect {
            Effect::List { prefix } => return self.page(node, call, prefix, Vec::new()),
            Effect::Get { key } => Event::Read(node, call, self.store.get(&key)),
            write => {
                let reply = self.store.write(&write);
                let hidden = self.chance(self.faults.false_down);
                Event::Wrote(
                    node,
                    call,
                    if hidden {
                        WriteReply::NotApplied
                    } else {
                        reply
                    },
                )
            }
        };
        if !self.chance(self.faults.lost_reply) {
            let wait = self.millis(1, 3);
            self.after(wait, reply);
        }
    }

    /// Reads a list page by page, so that others write in between.
    fn page(&mut self, node: usize, call: u64, prefix: SmolStr, mut objects: Vec<Object>) {
        let after = objects.last().map_or(&prefix, |last| &last.key).clone();
        let page = self.store.page(&after, PAGE);
        let wait = self.millis(1, 4);
        if page.is_empty() {
            return self.after(wait, Event::Listed(node, call, ListReply::Listed(objects)));
        }
        objects.extend(page);
        self.after(wait, Event::Page(node, call, prefix, objects));
    }

    fn reply(
        &mut self,
        node: usize,
        call: u64,
        input: impl FnOnce(&mut Shard, Instant) -> Vec<Effect>,
    ) {
        // A reply after the timeout, or after a crash, reaches nobody.
        if self.nodes[node].call == call {
            self.nodes[node].call += 1;
            self.with(node, input);
        }
    }

    fn send(&mut self, node: usize, run: u64, id: CallId, unsent: UnsentCall) {
        if self.nodes[node].run != run {
            return;
        }
        let key = unsent.key().unwrap();
        if self.chance(self.faults.service) {
            let finished = unsent.not_run(NotRunReason::NotConnected, Duration::ZERO);
            return self.after(Duration::ZERO, Event::Finish(node, run, finished));
        }
        let sent = match unsent.mark_sent(self.now) {
            Ok(sent) => sent,
            Err(finished) => return self.after(Duration::ZERO, Event::Finish(node, run, finished)),
        };
        let not_run_codes = NotRunCodes::new(&[REFUSED]);
        let number = id.0.to_string();
        let reply = |status| ServiceResponse::new(status, "text/plain", number.clone());
        let fails = self.chance(self.faults.service * 4.0);
        let kind = if fails {
            self.rng.random_range(1..6)
        } else {
            0
        };
        let wait = self.millis(1, 300);
        let (runs, finished) = match kind {
            0 => (true, sent.answered(reply(200), RUN, &not_run_codes)),
            1 => (true, sent.answered(reply(500), RUN, &not_run_codes)),
            2 => (true, sent.unanswered()),
            3 => (false, sent.unanswered()),
            4 => (false, sent.answered(reply(503), RUN, &not_run_codes)),
            _ => (false, sent.answered(reply(REFUSED), RUN, &not_run_codes)),
        };
        if runs {
            self.after(wait, Event::Execute(node, run, id, key, finished));
        } else {
            self.after(wait, Event::Finish(node, run, finished));
        }
    }

    fn execute(&mut self, node: usize, run: u64, id: CallId, key: CallKey, finished: FinishedCall) {
        self.history.executions.push(Execution {
            key,
            id,
            number: id.0,
            at: self.now,
        });
        let wait = self.millis(1, 50);
        self.after(wait, Event::Finish(node, run, finished));
    }

    fn trouble(&mut self) {
        if self.now > self.start + self.until {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let kind = self.rng.random_range(0..3);
        if kind == 0 && self.faults.outages {
            self.down = Some(self.now + self.millis(100, 9000));
        }
        if kind == 1 && self.faults.pauses {
            self.nodes[node].paused = Some(self.now + self.millis(50, self.faults.pause_ms));
        }
        if kind == 2 && self.faults.crashes {
            self.crash(node);
        }
        let wait = self.millis(200, 5000);
        self.after(wait, Event::Trouble);
    }

    fn crash(&mut self, node: usize) {
        let shard = self.shard();
        let state = &mut self.nodes[node];
        state.shard = shard;
        state.run += 1;
        state.call += 1;
        (state.paused, state.wake) = (None, None);
        // Which callers were at this node does not matter: their connections are gone.
        for attempt in self.history.attempts.values_mut() {
            attempt.crashed |= attempt.answer.is_none();
        }
    }
}
