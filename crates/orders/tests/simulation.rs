//! Drivers, engines and a store, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use celerypond_orders::{
    DesiredState, Effect, EngineReport, Input, Lease, LeaseClient, Order, OrderSettings,
    Reconciler, SendOutcome, StaleOrderGuard, StoreCall, StoreReply,
};
use celerypond_types::{FencingNumber, InstanceName, TargetName, VersionName};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(200);
/// A thousand of a thousand.
pub(crate) const ALWAYS: u32 = 1000;
const POLL: Duration = Duration::from_secs(1);

/// Where in the sending of an order a process is held up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// After it decided to send, before it looks at its lease.
    Before,
    /// After it looked at its lease, before the order is written.
    During,
    /// After the order was written, before the answer is read.
    After,
}

/// An order on its way.
#[derive(Clone, Debug)]
struct Parcel {
    order_id: u64,
    from: usize,
    target: TargetName,
    fencing: FencingNumber,
    order: Order,
    write_deadline: Instant,
    opened: Instant,
}

#[derive(Debug)]
enum What {
    Tick(usize),
    Store(usize, StoreCall),
    Replied(usize, StoreReply),
    Look(Parcel),
    Write(Parcel),
    Arrive(Parcel),
    Ended(u64, usize, TargetName, SendOutcome),
    Poll(usize),
    Loaded(TargetName, VersionName),
}

/// An engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) guard: StaleOrderGuard,
    pub(crate) role: String,
    pub(crate) versions: Vec<VersionName>,
    /// When an order took effect, of which holder, and what it was.
    pub(crate) accepted: Vec<(Instant, FencingNumber, Order)>,
    seen: FencingNumber,
    loading: Vec<VersionName>,
}

/// Drivers, engines and a store.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) reconcilers: Vec<Option<Reconciler>>,
    pub(crate) engines: BTreeMap<TargetName, Engine>,
    pub(crate) settings: OrderSettings,
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    /// Whether processes look at their lease after the connection is open.
    pub(crate) looks: bool,
    /// The longest time that an order is in the kernel and on the wire.
    pub(crate) wire: Duration,
    /// Where and for how long processes are held up, and how often of a thousand; if always, only
    /// the next one is, and for just this time.
    pub(crate) hold: Option<(Stage, Duration, u32)>,
    /// Store replies that are lost, of a thousand.
    pub(crate) lost: u32,
    pub(crate) down: bool,
    /// The process that does not reach the store.
    pub(crate) cut: Option<usize>,
    /// How long a call to a slow store takes, one way.
    pub(crate) slow: Duration,
    pub(crate) store_calls: u64,
    /// Loads that the weight store serves at once, and how long each takes.
    pub(crate) weight_store: (usize, Duration),
    pub(crate) refused_loads: u64,
    pub(crate) accepted_loads: u64,
    pub(crate) trace: Vec<String>,
    last: InstanceName,
    object: Option<(u64, Vec<u8>)>,
    version: u64,
    held: BTreeMap<usize, Instant>,
    queue: BTreeMap<(Instant, u64), What>,
    count: u64,
    rng: SmallRng,
}

impl Simulation {
    pub(crate) fn new(instances: usize, settings: OrderSettings, seed: u64) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            reconcilers: Vec::new(),
            engines: BTreeMap::new(),
            wire: settings.send_timeout,
            settings,
            now,
            start: now,
            looks: true,
            hold: None,
            lost: 0,
            down: false,
            cut: None,
            slow: Duration::ZERO,
            store_calls: 0,
            weight_store: (usize::MAX, Duration::from_secs(1)),
            refused_loads: 0,
            accepted_loads: 0,
            trace: Vec::new(),
            last: "".into(),
            object: None,
            version: 0,
            held: BTreeMap::new(),
            queue: BTreeMap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for at in 0..instances {
            let rng = SmallRng::seed_from_u64(sim.rng.random());
            let lease_client =
                LeaseClient::new(format!("i{at}").as_str().into(), sim.settings.clone(), rng);
            let reconciler = Reconciler::new(sim.settings.clone(), lease_client);
            sim.reconcilers.push(Some(reconciler));
            let offset = Duration::from_millis(sim.rng.random_range(0..1000));
            sim.put(offset, What::Tick(at));
            sim.put(offset, What::Poll(at));
        }
        sim
    }

    pub(crate) fn add_engine(&mut self, name: &str, guard: StaleOrderGuard) {
        let engine = Engine {
            guard,
            role: String::new(),
            versions: Vec::new(),
            accepted: Vec::new(),
            seen: FencingNumber(0),
            loading: Vec::new(),
        };
        self.engines.insert(name.into(), engine);
    }

    /// Gives a reconciler what the bundle wants, of all engines alike.
    pub(crate) fn set_desired(&mut self, at: usize, desired: &DesiredState) {
        if let Some(reconciler) = &mut self.reconcilers[at] {
            for (name, engine) in &self.engines {
                reconciler.set_target(name.clone(), engine.guard, desired.clone());
            }
        }
    }

    pub(crate) fn set_wanted(&mut self, at: usize, wanted: bool) {
        if let Some(reconciler) = &mut self.reconcilers[at] {
            reconciler.set_wanted(wanted);
        }
    }

    /// Holds a process up for a time.
    pub(crate) fn pause(&mut self, at: usize, time: Duration) {
        self.held.insert(at, self.now + time);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    pub(crate) fn run_until(&mut self, time: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), what) = entry.remove_entry();
            self.now = at;
            self.act(what);
            if done(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    /// Returns the first order of an old holder that took effect after a newer one's.
    pub(crate) fn stale(&self) -> Option<(&TargetName, Instant)> {
        self.engines.iter().find_map(|(name, engine)| {
            let pairs = engine.accepted.iter().zip(engine.accepted.iter().skip(1));
            let late = pairs.filter(|(a, b)| b.1 < a.1).map(|(_, b)| b.0).next();
            late.map(|at| (name, at))
        })
    }

    fn act(&mut self, what: What) {
        let process = match &what {
            What::Tick(at) | What::Replied(at, _) | What::Ended(_, at, ..) | What::Poll(at) => {
                Some(*at)
            }
            What::Look(parcel) | What::Write(parcel) => Some(parcel.from),
            What::Store(..) | What::Arrive(_) | What::Loaded(..) => None,
        };
        let until = process.and_then(|at| self.held.get(&at).copied());
        if let Some(until) = until.filter(|until| *until > self.now) {
            self.put(until - self.now, what);
            return;
        }
        match what {
            What::Tick(at) => {
                self.step(at, Input::Tick);
                self.put(TICK, What::Tick(at));
            }
            What::Replied(at, reply) => self.step(at, Input::Store(reply)),
            What::Ended(order_id, at, target, outcome) => {
                self.step(at, Input::SendEnded(target, order_id, outcome))
            }
            What::Poll(at) => self.poll(at),
            What::Store(at, call) => self.store(at, call),
            What::Look(parcel) => self.look(parcel),
            What::Write(parcel) => self.write(parcel),
            What::Arrive(parcel) => self.arrive(parcel),
            What::Loaded(target, version) => self.loaded(&target, version),
        }
    }

    fn step(&mut self, at: usize, input: Input) {
        let now = self.now;
        let Some(reconciler) = &mut self.reconcilers[at] else {
            return;
        };
        for effect in reconciler.step(input, now) {
            match effect {
                Effect::Store(call) => {
                    let latency = self.latency();
                    self.put(latency, What::Store(at, call));
                }
                Effect::Send {
                    order_id,
                    target,
                    fencing,
                    order,
                    write_deadline,
                } => {
                    let parcel = Parcel {
                        order_id,
                        from: at,
                        target,
                        fencing,
                        order,
                        write_deadline,
                        opened: now,
                    };
                    self.hold_up(Stage::Before, at);
                    self.put(Duration::from_millis(1), What::Look(parcel));
                }
            }
        }
    }

    fn latency(&mut self) -> Duration {
        let slow = self.rng.random_range(0..10) == 0 && !self.slow.is_zero();
        let most = if slow {
            self.slow
        } else {
            Duration::from_millis(12)
        };
        most.mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn hold_up(&mut self, stage: Stage, at: usize) {
        let Some((_, time, of)) = self.hold.filter(|hold| hold.0 == stage) else {
            return;
        };
        if self.rng.random_range(0..ALWAYS) < of {
            let time = if of == ALWAYS {
                self.hold = None;
                time
            } else {
                time.mul_f64(self.rng.random_range(0.2..3.0))
            };
            self.note(format!("i{at} is paused for {:.1} s", time.as_secs_f64()));
            self.pause(at, time);
        }
    }

    fn look(&mut self, parcel: Parcel) {
        if self.looks && self.now >= parcel.write_deadline {
            self.step(
                parcel.from,
                Input::SendEnded(parcel.target, parcel.order_id, SendOutcome::NotSent),
            );
            return;
        }
        self.hold_up(Stage::During, parcel.from);
        if self
            .held
            .get(&parcel.from)
            .is_some_and(|until| *until > self.now)
        {
            self.put(Duration::ZERO, What::Write(parcel));
        } else {
            self.write(parcel);
        }
    }

    fn write(&mut self, parcel: Parcel) {
        let engine = &self.engines[&parcel.target];
        let age = self.now - parcel.opened;
        let is_closed =
            engine.guard == StaleOrderGuard::IdleClose && age > self.settings.idle_timeout;
        self.put(
            self.settings.send_timeout,
            What::Ended(
                parcel.order_id,
                parcel.from,
                parcel.target.clone(),
                SendOutcome::Unknown,
            ),
        );
        if is_closed {
            return;
        }
        self.hold_up(Stage::After, parcel.from);
        let most = self.wire.as_millis() as u64;
        let slow = self.rng.random_bool(0.2);
        let wire = if slow { most } else { 2 };
        self.put(Duration::from_millis(wire), What::Arrive(parcel));
    }

    fn arrive(&mut self, parcel: Parcel) {
        let (slots, download) = self.weight_store;
        let busy: usize = self.engines.values().map(|e| e.loading.len()).sum();
        let Some(engine) = self.engines.get_mut(&parcel.target) else {
            return;
        };
        let is_old = engine.guard == StaleOrderGuard::Fencing && parcel.fencing < engine.seen;
        engine.seen = engine.seen.max(parcel.fencing);
        let outcome = match &parcel.order {
            _ if is_old => SendOutcome::Fenced,
            Order::Load { version, .. }
                if engine.loading.contains(version) || engine.versions.contains(version) =>
            {
                SendOutcome::Accepted
            }
            Order::Load { .. } if busy >= slots => {
                self.refused_loads += 1;
                SendOutcome::Refused(Some(Duration::from_secs(1)))
            }
            Order::Load { version, .. } => {
                self.accepted_loads += 1;
                engine.loading.push(version.clone());
                let loaded = What::Loaded(parcel.target.clone(), version.clone());
                self.count += 1;
                self.queue.insert((self.now + download, self.count), loaded);
                SendOutcome::Accepted
            }
            Order::Unload { version } => {
                engine.versions.retain(|v| v != version);
                SendOutcome::Accepted
            }
            Order::Role { role } => {
                engine.role = role.to_string();
                SendOutcome::Accepted
            }
        };
        let verb = match outcome {
            SendOutcome::Accepted => "takes",
            _ => "refuses",
        };
        self.trace.push(format!(
            "{:8.3} {} {verb} {} of i{} with number {}",
            (self.now - self.start).as_secs_f64(),
            parcel.target,
            serde_json::to_string(&parcel.order).unwrap(),
            parcel.from,
            parcel.fencing
        ));
        if outcome == SendOutcome::Accepted {
            let entry = (self.now, parcel.fencing, parcel.order);
            engine.accepted.push(entry);
        }
        let ended = What::Ended(parcel.order_id, parcel.from, parcel.target, outcome);
        self.put(Duration::from_millis(1), ended);
    }

    fn loaded(&mut self, target: &TargetName, version: VersionName) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.loading.retain(|v| *v != version);
            engine.versions.push(version);
        }
    }

    fn poll(&mut self, at: usize) {
        self.put(POLL, What::Poll(at));
        let reports: Vec<(TargetName, EngineReport)> = self
            .engines
            .iter()
            .map(|(name, engine)| {
                let versions = engine.versions.clone();
                (name.clone(), EngineReport { versions })
            })
            .collect();
        for (name, report) in reports {
            self.step(at, Input::Reported(name, report));
        }
    }

    fn store(&mut self, at: usize, call: StoreCall) {
        self.store_calls += 1;
        let reply = if self.down || self.cut == Some(at) {
            StoreReply::Unknown
        } else {
            self.serve(call)
        };
        let is_lost = self.rng.random_range(0..1000) < self.lost;
        let reply = if is_lost { StoreReply::Unknown } else { reply };
        let latency = self.latency();
        self.put(latency, What::Replied(at, reply));
    }

    fn serve(&mut self, call: StoreCall) -> StoreReply {
        let expected = self.object.as_ref().map(|(version, _)| *version);
        let value = match call {
            StoreCall::Read => {
                let object = self.object.clone();
                return object.map_or(StoreReply::Missing, |(v, b)| StoreReply::Found(v, b));
            }
            StoreCall::Create(value) if expected.is_none() => value,
            StoreCall::Update { version, value } if expected == Some(version) => value,
            StoreCall::Create(_) | StoreCall::Update { .. } => return StoreReply::Conflict,
        };
        self.version += 10;
        let lease = Lease::from_bytes(&value).unwrap();
        let is_new = expected.is_none() || lease.released || lease.holder != self.last;
        if is_new {
            let what = if lease.released { "released" } else { "taken" };
            self.note(format!(
                "lease {what} by {} at {}",
                lease.holder, self.version
            ));
        }
        self.last = lease.holder;
        self.object = Some((self.version, value));
        StoreReply::Written(self.version)
    }

    fn note(&mut self, text: String) {
        let at = (self.now - self.start).as_secs_f64();
        self.trace.push(format!("{at:8.3} {text}"));
    }

    fn put(&mut self, after: Duration, what: What) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), what);
    }
}
