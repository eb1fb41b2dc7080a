//! Measures of the `ledger` crate.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    fs,
    time::Duration,
};

use celerypond_ledger::{
    Call, CallId, CallKey, Effect, FinishedCall, ListReply, NotRunCodes, ReadReply,
    RequestFingerprint, ServiceResponse, Settings, Shard, ShardNumber, WriteReply,
};
use celerypond_platform::{Object, Version};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::table::Row;

const INSTANCES: usize = 7;
const LOADS: [f64; 4] = [10.0, 100.0, 1000.0, 5000.0];
const STORE_MS: [u64; 2] = [3, 10];
/// The writes a second of the platform that calls may use.
const WRITES: f64 = 300.0;
const SHARDS: [u16; 3] = [1, 4, 16];
const SECONDS: u64 = 10;
const SERVICE: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_secs(2);
/// More seeds than this change no figure but take long.
const SEEDS_MOST: u64 = 3;
/// Longer than any run, so that a log has all its batches.
const RETENTION: Duration = Duration::from_secs(1_000_000);
const BATCH_KEYS: usize = 17;
const RECOVERIES: [usize; 3] = [100, 1000, 10_000];

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = memory_rows().to_vec();
    for store_ms in STORE_MS {
        for load in LOADS {
            let mut ways = vec![("baseline, an object a call".to_owned(), Way::Objects)];
            ways.extend(SHARDS.map(|s| (format!("group commit, {s} shards"), Way::Owner(s))));
            ways.push((
                "group commit, 4 shards, no owner".to_owned(),
                Way::Anywhere(4),
            ));
            for (name, way) in ways {
                let name = format!("{load} calls/s, {store_ms} ms, {name}");
                rows.extend(load_rows(&name, way, load, store_ms, seeds.min(SEEDS_MOST)));
            }
        }
    }
    rows.extend([1, 4].map(|shards| processor_row(shards, seeds)));
    rows.extend(RECOVERIES.into_iter().map(|n| recovery_row(n, seeds)));
    rows
}

#[derive(Clone, Copy)]
enum Way {
    /// Each call makes an object for its intent and replaces it by its result.
    Objects,
    /// The owner of a shard gets all its calls.
    Owner(u16),
    /// Each instance runs each shard.
    Anywhere(u16),
}

#[derive(Default)]
struct Figures {
    added_ms: Vec<f64>,
    refused: u64,
    calls: u64,
    writes: u64,
}

fn load_rows(name: &str, way: Way, load: f64, store_ms: u64, seeds: u64) -> [Row; 3] {
    let latency = Duration::from_millis(store_ms);
    let figures: Vec<_> = (0..seeds)
        .map(|seed| match way {
            Way::Objects => objects(load, latency, seed),
            Way::Owner(shards) => Sim::new(shards, 1, latency, seed).run(load),
            Way::Anywhere(shards) => Sim::new(shards, INSTANCES, latency, seed).run(load),
        })
        .collect();
    let added = figures.iter().flat_map(|f| f.added_ms.clone()).collect();
    let per_call = |count: fn(&Figures) -> u64| {
        let part = |f: &Figures| count(f) as f64 / f.calls as f64;
        figures.iter().map(part).collect()
    };
    [
        Row::of("ledger: added latency", name, "ms", added),
        Row::of(
            "ledger: store writes per call",
            name,
            "",
            per_call(|f| f.writes),
        ),
        Row::of("ledger: share refused", name, "", per_call(|f| f.refused)),
    ]
}

/// Runs calls with an object each, within the same write rate, in order of arrival.
fn objects(load: f64, latency: Duration, seed: u64) -> Figures {
    let mut figures = Figures::default();
    let mut free = Duration::ZERO;
    let mut due = BinaryHeap::new();
    due.extend(arrivals(load, seed).map(|at| Reverse((at, true))));
    while let Some(Reverse((at, intent))) = due.pop() {
        figures.calls += u64::from(intent);
        let wait = free.saturating_sub(at);
        if wait > PATIENCE {
            // A result that waits as long is let go, which favours the baseline.
            figures.refused += u64::from(intent);
            continue;
        }
        free = at + wait + Duration::from_secs_f64(1.0 / WRITES);
        figures.writes += 1;
        if intent {
            figures.added_ms.push(millis(wait + latency));
            due.push(Reverse((at + wait + latency + SERVICE, false)));
        }
    }
    figures
}

fn arrivals(load: f64, seed: u64) -> impl Iterator<Item = Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    std::iter::from_fn(move || {
        at -= rng.random_range(f64::EPSILON..1.0).ln() / load;
        (at < SECONDS as f64).then(|| Duration::from_secs_f64(at))
    })
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

enum Event {
    Arrive(CallId),
    Request(usize, Effect),
    Reply(usize, Input),
    Finish(usize, FinishedCall),
    Tick(usize, Instant),
}

enum Input {
    Listed(Vec<Object>),
    Read(ReadReply),
    Written(WriteReply),
}

/// Shards of one or several instances over a store in memory, in virtual time.
struct Sim {
    start: Instant,
    now: Instant,
    latency: Duration,
    shards: u16,
    instances: usize,
    /// By instance and then shard.
    nodes: Vec<(Shard, Option<Instant>)>,
    store: Store,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    todo: HashMap<u64, Event>,
    count: u64,
    from: BTreeMap<CallId, Instant>,
    figures: Figures,
    rng: SmallRng,
}

impl Sim {
    fn new(shards: u16, instances: usize, latency: Duration, seed: u64) -> Self {
        let now = Instant::now();
        let settings = Settings {
            min_write_interval: Duration::from_secs_f64(
                f64::from(shards) * instances as f64 / WRITES,
            ),
            retention: RETENTION,
            max_keys: usize::MAX,
            ..Settings::default()
        };
        let node = |index| {
            let number = ShardNumber((index % usize::from(shards)) as u16);
            let seed = seed * 1000 + index as u64;
            (Shard::new(number, settings, seed, now), None)
        };
        let nodes = (0..usize::from(shards) * instances).map(node).collect();
        Self {
            start: now,
            now,
            latency,
            shards,
            instances,
            nodes,
            store: Store::default(),
            events: BinaryHeap::new(),
            todo: HashMap::new(),
            count: 0,
            from: BTreeMap::new(),
            figures: Figures::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn run(mut self, load: f64) -> Figures {
        let seed = self.rng.random();
        for (id, at) in arrivals(load, seed).enumerate() {
            self.at(self.start + at, Event::Arrive(CallId(id as u64)));
        }
        while let Some(Reverse((at, id))) = self.events.pop() {
            self.now = at;
            if let Some(event) = self.todo.remove(&id) {
                self.step(event);
            }
        }
        self.figures.writes = self.store.writes;
        self.figures
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count)));
        self.todo.insert(self.count, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Request(node, effect) => {
                let reply = self.store.carry_out(effect);
                self.at(self.now + self.latency / 2, Event::Reply(node, reply));
            }
            Event::Reply(node, reply) => self.with(node, |shard, now| match reply {
                Input::Listed(objects) => shard.handle_list_reply(ListReply::Listed(objects), now),
                Input::Read(reply) => shard.handle_read_reply(reply, now),
                Input::Written(reply) => shard.handle_write_reply(reply, now),
            }),
            Event::Finish(node, finished) => {
                self.with(node, |shard, now| shard.handle_finished_call(finished, now));
            }
            // Another tick is due earlier, or was.
            Event::Tick(node, at) if self.nodes[node].1 != Some(at) => {}
            Event::Tick(node, _) => {
                self.nodes[node].1 = None;
                self.with(node, Shard::tick);
            }
        }
    }

    fn arrive(&mut self, id: CallId) {
        self.figures.calls += 1;
        self.from.insert(id, self.now);
        let key = CallKey::of(&"account".into(), &id.0.to_string().as_str().into());
        let instance = self.rng.random_range(0..self.instances);
        let shard = usize::from(key.shard(self.shards));
        let call = Call {
            id,
            key,
            fingerprint: RequestFingerprint::of("POST", "/holds", b""),
            send_by: self.now + PATIENCE,
            service_timeout: SERVICE * 2,
        };
        let node = instance * usize::from(self.shards) + shard;
        self.with(node, |shard, now| shard.handle_call(call, now));
    }

    fn with(&mut self, node: usize, input: impl FnOnce(&mut Shard, Instant) -> Vec<Effect>) {
        for effect in input(&mut self.nodes[node].0, self.now) {
            match effect {
                Effect::Dispatch { id, unsent } => self.dispatch(node, id, unsent),
                Effect::Answer { id, .. } => {
                    self.figures.refused += u64::from(self.from.remove(&id).is_some())
                }
                Effect::ReportCorruption { .. } => {}
                request => self.at(self.now + self.latency / 2, Event::Request(node, request)),
            }
        }
        let (shard, wake) = &self.nodes[node];
        let due = shard
            .wake_at()
            .filter(|at| wake.is_none_or(|wake| *at < wake));
        if let Some(at) = due {
            self.nodes[node].1 = Some(at);
            self.at(at.max(self.now), Event::Tick(node, at));
        }
    }

    fn dispatch(&mut self, node: usize, id: CallId, unsent: celerypond_ledger::UnsentCall) {
        if let Some(from) = self.from.remove(&id) {
            self.figures.added_ms.push(millis(self.now - from));
        }
        let reply = ServiceResponse::new(200, "application/json", "{\"hold\":17}");
        let finished = match unsent.mark_sent(self.now) {
            Ok(sent) => sent.answered(reply, Duration::ZERO, &NotRunCodes::default()),
            Err(finished) => finished,
        };
        self.at(self.now + SERVICE, Event::Finish(node, finished));
    }
}

#[derive(Default)]
struct Store {
    objects: BTreeMap<SmolStr, Object>,
    version: u64,
    writes: u64,
}

impl Store {
    fn carry_out(&mut self, effect: Effect) -> Input {
        match effect {
            Effect::List { prefix } => {
                let objects = self.objects.range(prefix.clone()..);
                let under = objects.take_while(|(key, _)| key.starts_with(prefix.as_str()));
                Input::Listed(under.map(|(_, object)| object.clone()).collect())
            }
            Effect::Create { key, value } => self.put(key, None, value),
            Effect::Update {
                key,
                expected_version,
                value,
            } => self.put(key, Some(expected_version), value),
            Effect::Get { key } => {
                let found = self.objects.get(&key).cloned();
                Input::Read(found.map_or(ReadReply::Missing, ReadReply::Found))
            }
            Effect::Dispatch { .. } | Effect::Answer { .. } | Effect::ReportCorruption { .. } => {
                Input::Read(ReadReply::Failed)
            }
        }
    }

    fn put(&mut self, key: SmolStr, before: Option<Version>, value: bytes::Bytes) -> Input {
        // A refused write counts as a call as well.
        self.writes += 1;
        if self.objects.get(&key).map(|object| object.version) != before {
            return Input::Written(WriteReply::Conflict);
        }
        self.version += 1;
        let version = Version(self.version);
        let object = Object {
            key: key.clone(),
            version,
            value,
        };
        self.objects.insert(key, object);
        Input::Written(WriteReply::Written(version))
    }
}

/// Returns the objects of a shard with `batches` intents and results of [`BATCH_KEYS`] calls each.
fn log(batches: usize) -> Vec<Object> {
    let mut sim = Sim::new(1, 1, Duration::ZERO, 1);
    let mut id = 0;
    for _ in 0..batches / 2 {
        for _ in 0..BATCH_KEYS {
            sim.arrive(CallId(id));
            id += 1;
        }
        sim.now += Duration::from_millis(1);
        drain(&mut sim);
    }
    sim.store.objects.into_values().collect()
}

fn drain(sim: &mut Sim) {
    while let Some(Reverse((at, id))) = sim.events.pop() {
        sim.now = sim.now.max(at);
        if let Some(event) = sim.todo.remove(&id) {
            sim.step(event);
        }
    }
}

fn load(objects: Vec<Object>) -> (Shard, f64) {
    let now = Instant::now();
    let mut shard = Shard::new(ShardNumber(0), Settings::default(), 1, now);
    let call = Call {
        id: CallId(0),
        key: CallKey::of(&"account".into(), &"new".into()),
        fingerprint: RequestFingerprint::of("POST", "/holds", b""),
        send_by: now + PATIENCE,
        service_timeout: SERVICE,
    };
    shard.handle_call(call, now);
    let start = std::time::Instant::now();
    shard.handle_list_reply(ListReply::Listed(objects), now);
    (shard, start.elapsed().as_secs_f64() * 1e3)
}

/// Times the decisions for one call, together with those of the simulation.
fn processor_row(shards: u16, seeds: u64) -> Row {
    const LOAD: f64 = 5000.0;
    let times = (0..seeds).map(|seed| {
        let sim = Sim::new(shards, 1, Duration::from_millis(3), seed);
        let start = std::time::Instant::now();
        let calls = sim.run(LOAD).calls;
        start.elapsed().as_secs_f64() * 1e6 / calls as f64
    });
    let way = format!("{LOAD} calls/s, {shards} shards, with simulation");
    Row::of("ledger: processor time a call", way, "us", times.collect())
}

fn recovery_row(batches: usize, seeds: u64) -> Row {
    let objects = log(batches);
    let times = (0..seeds).map(|_| load(objects.clone()).1).collect();
    let bytes: usize = objects.iter().map(|object| object.value.len()).sum();
    let (count, kib) = (objects.len(), bytes >> 10);
    let way = format!("log of {count} objects, {kib} KiB");
    Row::of("ledger: recovery after the list", way, "ms", times)
}

fn memory_rows() -> [Row; 2] {
    const BATCHES: usize = 3000;
    let keys = BATCHES / 2 * BATCH_KEYS;
    let set = grown(|| (0..keys as u128).collect::<HashSet<_>>()) / keys as f64;
    let objects = log(BATCHES);
    let shard = grown(|| load(objects.clone()).0) / keys as f64;
    [
        Row::of(
            "ledger: memory a key",
            "baseline, a set of keys alone",
            "bytes",
            vec![set],
        ),
        Row::of(
            "ledger: memory a key",
            "shard after recovery",
            "bytes",
            vec![shard],
        ),
    ]
}

/// Returns by how much the resident memory grows with each value, once freed memory is used up.
fn grown<T>(make: impl Fn() -> T) -> f64 {
    const FIRST: usize = 40;
    const MORE: usize = 20;
    let mut kept: Vec<T> = (0..FIRST).map(|_| make()).collect();
    let before = resident();
    kept.extend((0..MORE).map(|_| make()));
    (resident() - before) / MORE as f64
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> f64 {
    const PAGE: f64 = 4096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.map_or(f64::NAN, |pages| pages * PAGE)
}
