//! Engines that stream long answers, and crash or leave while others start.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use celerypond_standins::{
    fixtures::target_entry,
    responses::{end_of_chunks, events, last_event, platform_response},
    store::Store,
    target::{Action, ReceivedRequest, Target},
};
use rand::{rngs::SmallRng, Rng as _};
use serde_json::Value;
use tokio::runtime::{Builder, Runtime};

use crate::lag::TimerLag;

/// Number of events in a complete stream.
pub(crate) const EVENTS: u64 = 140;
/// Delay before each event.
const EVENT_INTERVAL: Duration = Duration::from_millis(35);
/// Time until an engine has read a prompt. An engine that holds a copy of the run does not read it.
const READ_TIME: Duration = Duration::from_millis(160);
/// Number of requests that an engine runs at once.
pub(crate) const SLOTS: u64 = 32;
/// Number of data centres that the engines are placed in.
const DATA_CENTRES: usize = 3;
/// Number of threads that the engines run on.
const THREADS: usize = 3;
/// How long the store lists an engine that has crashed: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// How long an engine that leaves serves after its entry is `draining`.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// When the entry of an engine that leaves is removed.
const DRAINING_ENTRY_TIME: Duration = Duration::from_secs(1);

/// Engines on threads of their own.
pub(crate) struct Engines {
    runtime: Option<Runtime>,
    live: Vec<Engine>,
    leaving: Vec<(Instant, Engine)>,
    /// The entries that are still to be removed from the store.
    ending_entries: Vec<(Instant, String)>,
    /// When the next engines start.
    starts: Vec<Instant>,
    started: usize,
    /// How late the engines' threads run.
    pub(crate) lag: TimerLag,
    /// The number of engines that have crashed or left.
    pub(crate) ended: usize,
    /// The engines that have crashed.
    pub(crate) crashed: HashSet<String>,
    /// The number of engines that have crashed while they ran a request, by its id.
    pub(crate) crashes: HashMap<String, usize>,
}

struct Engine {
    name: String,
    entry: Value,
    target: Target,
}

impl Engines {
    pub(crate) async fn start(count: usize, store: &Store) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()
            .unwrap();
        let mut engines = Self {
            runtime: Some(runtime),
            live: Vec::new(),
            leaving: Vec::new(),
            ending_entries: Vec::new(),
            starts: Vec::new(),
            started: 0,
            lag: TimerLag::default(),
            ended: 0,
            crashed: HashSet::new(),
            crashes: HashMap::new(),
        };
        let runtime = engines.runtime.as_ref().unwrap();
        runtime.spawn(engines.lag.clone().measure());
        for _ in 0..count {
            engines.add(store).await;
        }
        engines
    }

    async fn add(&mut self, store: &Store) {
        let name = format!("i-e{}", self.started);
        let server_name = name.clone();
        let runtime = self.runtime.as_ref().unwrap();
        let target = runtime.spawn(Target::start(move |request, _| {
            engine_response(request, &server_name)
        }));
        let target = target.await.unwrap().unwrap();
        let mut entry = target_entry("writer", target.address);
        entry["zone"] = format!("zone-{}", self.started % DATA_CENTRES).into();
        entry["slots"] = SLOTS.into();
        store.put(&format!("servers/{name}"), &entry);
        self.live.push(Engine {
            name,
            entry,
            target,
        });
        self.started += 1;
    }

    /// Ends some engines, as many others start later. Mostly a few, at times a third, and never so many that less
    /// than half of all are left.
    pub(crate) fn end_some(&mut self, rng: &mut SmallRng, store: &Store) {
        let all = self.live.len() + self.starts.len();
        let max = match rng.random_bool(0.15) {
            true => all / 3,
            false => all / 16 + 1,
        };
        let count = rng.random_range(1..=max);
        let do_crash = rng.random_bool(0.5);
        for _ in 0..count.min(self.live.len() - all / 2) {
            let engine = self.live.swap_remove(rng.random_range(0..self.live.len()));
            match do_crash {
                true => self.crash(engine),
                false => self.leave(engine, store),
            }
            let pause = Duration::from_millis(rng.random_range(300..1_200));
            self.starts.push(Instant::now() + pause);
            self.ended += 1;
        }
    }

    fn crash(&mut self, engine: Engine) {
        for id in engine.target.running() {
            *self.crashes.entry(id).or_default() += 1;
        }
        engine.target.crash();
        self.crashed.insert(engine.name.clone());
        let end = Instant::now() + EXPIRY;
        self.ending_entries.push((end, engine.name));
    }

    fn leave(&mut self, mut engine: Engine, store: &Store) {
        engine.entry["state"] = "draining".into();
        engine.entry["sequence"] = 2.into();
        store.put(&format!("servers/{}", engine.name), &engine.entry);
        let now = Instant::now();
        let entry_end = now + DRAINING_ENTRY_TIME;
        self.ending_entries.push((entry_end, engine.name.clone()));
        self.leaving.push((now + DRAIN_TIME, engine));
    }

    /// Does what is due: engines that left end, entries are removed, and other engines start.
    pub(crate) async fn advance(&mut self, store: &Store) {
        let now = Instant::now();
        self.leaving.retain(|(end, engine)| {
            let is_over = *end <= now;
            if is_over {
                engine.target.crash();
            }
            !is_over
        });
        self.ending_entries.retain(|(end, name)| {
            let is_over = *end <= now;
            if is_over {
                store.remove(&format!("servers/{name}"));
            }
            !is_over
        });
        let due = self.starts.iter().filter(|start| **start <= now).count();
        self.starts.retain(|start| *start > now);
        for _ in 0..due {
            self.add(store).await;
        }
    }

    /// Occupies all threads of the engines for this long.
    pub(crate) fn stall(&self, duration: Duration) {
        let runtime = self.runtime.as_ref().unwrap();
        for _ in 0..THREADS {
            runtime.spawn(async move { std::thread::sleep(duration) });
        }
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn engine_response(request: &ReceivedRequest, name: &str) -> Vec<Action> {
    if let Some(actions) = platform_response(request, name) {
        return actions;
    }
    let has_copy = !request.header("kv-from").is_empty();
    let mut actions = Vec::new();
    if !has_copy {
        actions.push(Action::Wait(READ_TIME));
    }
    let remaining = last_event(request) + 1..=EVENTS;
    actions.extend(events(request, remaining, EVENT_INTERVAL));
    actions.push(end_of_chunks());
    actions
}
