//! Benchmarks of the `ledger` crate: latency added per call, store writes, recovery and memory.

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

const INSTANCE_COUNT: usize = 7;
const CALLS_PER_S: [f64; 4] = [10.0, 100.0, 1000.0, 5000.0];
const STORE_LATENCIES_MS: [u64; 2] = [3, 10];
/// The part of the platform's write rate that calls may use.
const STORE_WRITES_PER_S: f64 = 300.0;
const SHARD_COUNTS: [u16; 3] = [1, 4, 16];
const ARRIVAL_SECONDS: u64 = 10;
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long a call may wait to be sent to its service before it is refused.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// More seeds change no result, but take long.
const MAX_SEEDS: u64 = 3;
/// Longer than any run, so that no batch of a log expires.
const RETENTION: Duration = Duration::from_secs(1_000_000);
const CALLS_PER_BATCH: usize = 17;
const RECOVERY_BATCHES: [usize; 3] = [100, 1000, 10_000];

/// Runs the benchmarks.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = memory_rows().to_vec();
    for store_ms in STORE_LATENCIES_MS {
        for calls_per_s in CALLS_PER_S {
            let mut policies = vec![(
                "baseline, an object a call".to_owned(),
                WritePolicy::ObjectPerCall,
            )];
            policies.extend(SHARD_COUNTS.map(|shards| {
                (
                    format!("group commit, {shards} shards"),
                    WritePolicy::ShardOwner(shards),
                )
            }));
            policies.push((
                "group commit, 4 shards, no owner".to_owned(),
                WritePolicy::EveryInstance(4),
            ));
            for (name, policy) in policies {
                let name = format!("{calls_per_s} calls/s, {store_ms} ms, {name}");
                rows.extend(load_rows(
                    &name,
                    policy,
                    calls_per_s,
                    store_ms,
                    seeds.min(MAX_SEEDS),
                ));
            }
        }
    }
    rows.extend([1, 4].map(|shards| processor_row(shards, seeds)));
    rows.extend(
        RECOVERY_BATCHES
            .into_iter()
            .map(|batches| recovery_row(batches, seeds)),
    );
    rows
}

#[derive(Clone, Copy)]
enum WritePolicy {
    /// Each call creates an object for its intent, and overwrites it with its result.
    ObjectPerCall,
    /// The owner of a shard handles all of its calls.
    ShardOwner(u16),
    /// Every instance handles calls of every shard.
    EveryInstance(u16),
}

#[derive(Default)]
struct RunResults {
    added_ms: Vec<f64>,
    refused: u64,
    calls: u64,
    writes: u64,
}

fn load_rows(
    name: &str,
    policy: WritePolicy,
    calls_per_s: f64,
    store_ms: u64,
    seeds: u64,
) -> [Row; 3] {
    let latency = Duration::from_millis(store_ms);
    let results: Vec<_> = (0..seeds)
        .map(|seed| match policy {
            WritePolicy::ObjectPerCall => per_call_objects(calls_per_s, latency, seed),
            WritePolicy::ShardOwner(shards) => {
                Simulation::new(shards, 1, latency, seed).run(calls_per_s)
            }
            WritePolicy::EveryInstance(shards) => {
                Simulation::new(shards, INSTANCE_COUNT, latency, seed).run(calls_per_s)
            }
        })
        .collect();
    let added_ms = results
        .iter()
        .flat_map(|results| results.added_ms.clone())
        .collect();
    let per_call = |count: fn(&RunResults) -> u64| {
        let ratio = |results: &RunResults| count(results) as f64 / results.calls as f64;
        results.iter().map(ratio).collect()
    };
    [
        Row::of("ledger: added latency", name, "ms", added_ms),
        Row::of(
            "ledger: store writes per call",
            name,
            "",
            per_call(|results| results.writes),
        ),
        Row::of(
            "ledger: share refused",
            name,
            "",
            per_call(|results| results.refused),
        ),
    ]
}

/// Simulates calls that write an object each, at the same write rate and in order of arrival.
fn per_call_objects(calls_per_s: f64, latency: Duration, seed: u64) -> RunResults {
    let mut results = RunResults::default();
    let mut store_free_at = Duration::ZERO;
    let mut queue = BinaryHeap::new();
    queue.extend(arrivals(calls_per_s, seed).map(|at| Reverse((at, true))));
    while let Some(Reverse((at, is_intent))) = queue.pop() {
        results.calls += u64::from(is_intent);
        let wait = store_free_at.saturating_sub(at);
        if wait > MAX_WAIT {
            // The write of a result that would wait as long is dropped, which favours the baseline.
            results.refused += u64::from(is_intent);
            continue;
        }
        store_free_at = at + wait + Duration::from_secs_f64(1.0 / STORE_WRITES_PER_S);
        results.writes += 1;
        if is_intent {
            results.added_ms.push(millis(wait + latency));
            queue.push(Reverse((at + wait + latency + SERVICE_TIME, false)));
        }
    }
    results
}

fn arrivals(calls_per_s: f64, seed: u64) -> impl Iterator<Item = Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    std::iter::from_fn(move || {
        at -= rng.random_range(f64::EPSILON..1.0).ln() / calls_per_s;
        (at < ARRIVAL_SECONDS as f64).then(|| Duration::from_secs_f64(at))
    })
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

enum SimEvent {
    Arrival(CallId),
    StoreRequest(usize, Effect),
    StoreReply(usize, StoreReply),
    ServiceDone(usize, FinishedCall),
    Tick(usize, Instant),
}

enum StoreReply {
    Listed(Vec<Object>),
    Read(ReadReply),
    Written(WriteReply),
}

/// Shards of one or more instances with an in-memory store, in virtual time.
struct Simulation {
    start: Instant,
    now: Instant,
    latency: Duration,
    shards: u16,
    instances: usize,
    /// The shards with their next scheduled tick, ordered by instance and then by shard.
    replicas: Vec<(Shard, Option<Instant>)>,
    store: Store,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events_by_id: HashMap<u64, SimEvent>,
    last_event_id: u64,
    arrived_at: BTreeMap<CallId, Instant>,
    results: RunResults,
    rng: SmallRng,
}

impl Simulation {
    fn new(shards: u16, instances: usize, latency: Duration, seed: u64) -> Self {
        let now = Instant::now();
        let settings = Settings {
            min_write_interval: Duration::from_secs_f64(
                f64::from(shards) * instances as f64 / STORE_WRITES_PER_S,
            ),
            retention: RETENTION,
            max_keys: usize::MAX,
            ..Settings::default()
        };
        let replica = |index| {
            let number = ShardNumber((index % usize::from(shards)) as u16);
            let seed = seed * 1000 + index as u64;
            (Shard::new(number, settings, seed, now), None)
        };
        let replicas = (0..usize::from(shards) * instances).map(replica).collect();
        Self {
            start: now,
            now,
            latency,
            shards,
            instances,
            replicas,
            store: Store::default(),
            queue: BinaryHeap::new(),
            events_by_id: HashMap::new(),
            last_event_id: 0,
            arrived_at: BTreeMap::new(),
            results: RunResults::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn run(mut self, calls_per_s: f64) -> RunResults {
        let seed = self.rng.random();
        for (id, at) in arrivals(calls_per_s, seed).enumerate() {
            self.schedule(self.start + at, SimEvent::Arrival(CallId(id as u64)));
        }
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events_by_id.remove(&id) {
                self.handle_event(event);
            }
        }
        self.results.writes = self.store.writes;
        self.results
    }

    fn schedule(&mut self, at: Instant, event: SimEvent) {
        self.last_event_id += 1;
        self.queue.push(Reverse((at, self.last_event_id)));
        self.events_by_id.insert(self.last_event_id, event);
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(id) => self.handle_arrival(id),
            SimEvent::StoreRequest(replica, effect) => {
                let reply = self.store.execute(effect);
                self.schedule(
                    self.now + self.latency / 2,
                    SimEvent::StoreReply(replica, reply),
                );
            }
            SimEvent::StoreReply(replica, reply) => {
                self.step_shard(replica, |shard, now| match reply {
                    StoreReply::Listed(objects) => {
                        shard.handle_list_reply(ListReply::Listed(objects), now)
                    }
                    StoreReply::Read(reply) => shard.handle_read_reply(reply, now),
                    StoreReply::Written(reply) => shard.handle_write_reply(reply, now),
                })
            }
            SimEvent::ServiceDone(replica, finished) => {
                self.step_shard(replica, |shard, now| {
                    shard.handle_finished_call(finished, now)
                });
            }
            // The tick was superseded by an earlier one.
            SimEvent::Tick(replica, at) if self.replicas[replica].1 != Some(at) => {}
            SimEvent::Tick(replica, _) => {
                self.replicas[replica].1 = None;
                self.step_shard(replica, Shard::tick);
            }
        }
    }

    fn handle_arrival(&mut self, id: CallId) {
        self.results.calls += 1;
        self.arrived_at.insert(id, self.now);
        let key = CallKey::of(&"account".into(), &id.0.to_string().as_str().into());
        let instance = self.rng.random_range(0..self.instances);
        let shard = usize::from(key.shard(self.shards));
        let call = Call {
            id,
            key,
            fingerprint: RequestFingerprint::of("POST", "/holds", b""),
            send_by: self.now + MAX_WAIT,
            service_timeout: SERVICE_TIME * 2,
        };
        let replica = instance * usize::from(self.shards) + shard;
        self.step_shard(replica, |shard, now| shard.handle_call(call, now));
    }

    fn step_shard(
        &mut self,
        replica: usize,
        input: impl FnOnce(&mut Shard, Instant) -> Vec<Effect>,
    ) {
        for effect in input(&mut self.replicas[replica].0, self.now) {
            match effect {
                Effect::Dispatch { id, unsent } => self.dispatch(replica, id, unsent),
                Effect::Answer { id, .. } => {
                    self.results.refused += u64::from(self.arrived_at.remove(&id).is_some())
                }
                Effect::ReportCorruption { .. } => {}
                request => self.schedule(
                    self.now + self.latency / 2,
                    SimEvent::StoreRequest(replica, request),
                ),
            }
        }
        let (shard, wake) = &self.replicas[replica];
        let due = shard
            .wake_at()
            .filter(|at| wake.is_none_or(|wake| *at < wake));
        if let Some(at) = due {
            self.replicas[replica].1 = Some(at);
            self.schedule(at.max(self.now), SimEvent::Tick(replica, at));
        }
    }

    fn dispatch(&mut self, replica: usize, id: CallId, unsent: celerypond_ledger::UnsentCall) {
        if let Some(arrived_at) = self.arrived_at.remove(&id) {
            self.results.added_ms.push(millis(self.now - arrived_at));
        }
        let reply = ServiceResponse::new(200, "application/json", "{\"hold\":17}");
        let finished = match unsent.mark_sent(self.now) {
            Ok(sent) => sent.answered(reply, Duration::ZERO, &NotRunCodes::default()),
            Err(finished) => finished,
        };
        self.schedule(
            self.now + SERVICE_TIME,
            SimEvent::ServiceDone(replica, finished),
        );
    }
}

/// An in-memory object store that counts writes.
#[derive(Default)]
struct Store {
    objects: BTreeMap<SmolStr, Object>,
    version: u64,
    writes: u64,
}

impl Store {
    fn execute(&mut self, effect: Effect) -> StoreReply {
        match effect {
            Effect::List { prefix } => {
                let objects = self.objects.range(prefix.clone()..);
                let matching = objects.take_while(|(key, _)| key.starts_with(prefix.as_str()));
                StoreReply::Listed(matching.map(|(_, object)| object.clone()).collect())
            }
            Effect::Create { key, value } => self.put(key, None, value),
            Effect::Update {
                key,
                expected_version,
                value,
            } => self.put(key, Some(expected_version), value),
            Effect::Get { key } => {
                let found = self.objects.get(&key).cloned();
                StoreReply::Read(found.map_or(ReadReply::Missing, ReadReply::Found))
            }
            Effect::Dispatch { .. } | Effect::Answer { .. } | Effect::ReportCorruption { .. } => {
                StoreReply::Read(ReadReply::Failed)
            }
        }
    }

    fn put(
        &mut self,
        key: SmolStr,
        expected_version: Option<Version>,
        value: bytes::Bytes,
    ) -> StoreReply {
        // A write that fails with a conflict uses up the write rate as well.
        self.writes += 1;
        if self.objects.get(&key).map(|object| object.version) != expected_version {
            return StoreReply::Written(WriteReply::Conflict);
        }
        self.version += 1;
        let version = Version(self.version);
        let object = Object {
            key: key.clone(),
            version,
            value,
        };
        self.objects.insert(key, object);
        StoreReply::Written(WriteReply::Written(version))
    }
}

/// Returns the log of a shard as objects, with `batches` batches of intents and results of
/// [`CALLS_PER_BATCH`] calls each.
fn log_objects(batches: usize) -> Vec<Object> {
    let mut simulation = Simulation::new(1, 1, Duration::ZERO, 1);
    let mut id = 0;
    for _ in 0..batches / 2 {
        for _ in 0..CALLS_PER_BATCH {
            simulation.handle_arrival(CallId(id));
            id += 1;
        }
        simulation.now += Duration::from_millis(1);
        run_queued(&mut simulation);
    }
    simulation.store.objects.into_values().collect()
}

fn run_queued(simulation: &mut Simulation) {
    while let Some(Reverse((at, id))) = simulation.queue.pop() {
        simulation.now = simulation.now.max(at);
        if let Some(event) = simulation.events_by_id.remove(&id) {
            simulation.handle_event(event);
        }
    }
}

/// Lets a new shard recover from its log; returns the shard and the time in milliseconds.
fn recover(objects: Vec<Object>) -> (Shard, f64) {
    let now = Instant::now();
    let mut shard = Shard::new(ShardNumber(0), Settings::default(), 1, now);
    let call = Call {
        id: CallId(0),
        key: CallKey::of(&"account".into(), &"new".into()),
        fingerprint: RequestFingerprint::of("POST", "/holds", b""),
        send_by: now + MAX_WAIT,
        service_timeout: SERVICE_TIME,
    };
    shard.handle_call(call, now);
    let start = std::time::Instant::now();
    shard.handle_list_reply(ListReply::Listed(objects), now);
    (shard, start.elapsed().as_secs_f64() * 1e3)
}

/// Measures the processor time per call, including that of the simulation.
fn processor_row(shards: u16, seeds: u64) -> Row {
    const LOAD: f64 = 5000.0;
    let times = (0..seeds).map(|seed| {
        let simulation = Simulation::new(shards, 1, Duration::from_millis(3), seed);
        let start = std::time::Instant::now();
        let calls = simulation.run(LOAD).calls;
        start.elapsed().as_secs_f64() * 1e6 / calls as f64
    });
    let label = format!("{LOAD} calls/s, {shards} shards, with simulation");
    Row::of(
        "ledger: processor time a call",
        label,
        "us",
        times.collect(),
    )
}

fn recovery_row(batches: usize, seeds: u64) -> Row {
    let objects = log_objects(batches);
    let times = (0..seeds).map(|_| recover(objects.clone()).1).collect();
    let bytes: usize = objects.iter().map(|object| object.value.len()).sum();
    let (count, kib) = (objects.len(), bytes >> 10);
    let label = format!("log of {count} objects, {kib} KiB");
    Row::of("ledger: recovery after the list", label, "ms", times)
}

fn memory_rows() -> [Row; 2] {
    const BATCHES: usize = 3000;
    let keys = BATCHES / 2 * CALLS_PER_BATCH;
    let set_bytes = growth_bytes(|| (0..keys as u128).collect::<HashSet<_>>()) / keys as f64;
    let objects = log_objects(BATCHES);
    let shard_bytes = growth_bytes(|| recover(objects.clone()).0) / keys as f64;
    [
        Row::of(
            "ledger: memory a key",
            "baseline, a set of keys alone",
            "bytes",
            vec![set_bytes],
        ),
        Row::of(
            "ledger: memory a key",
            "shard after recovery",
            "bytes",
            vec![shard_bytes],
        ),
    ]
}

/// Returns the growth of the resident memory per value. The first values use up memory that was
/// freed before, so that it doesn't hide the growth.
fn growth_bytes<T>(make: impl Fn() -> T) -> f64 {
    const WARM_UP_VALUES: usize = 40;
    const MEASURED_VALUES: usize = 20;
    let mut values: Vec<T> = (0..WARM_UP_VALUES).map(|_| make()).collect();
    let before = resident_bytes();
    values.extend((0..MEASURED_VALUES).map(|_| make()));
    (resident_bytes() - before) / MEASURED_VALUES as f64
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.map_or(f64::NAN, |pages| pages * PAGE_BYTES)
}
