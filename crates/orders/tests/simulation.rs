//! A simulation of instances, engines and a store in virtual time.

use std::{collections::BTreeMap, time::Duration};

use celerypond_orders::{
    DesiredState, Effect, EngineReport, Input, Lease, LeaseClient, Order, OrderSettings,
    Reconciler, SendOutcome, StaleOrderGuard, StoreCall, StoreReply,
};
use celerypond_types::{FencingNumber, InstanceName, TargetName, VersionName};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use tokio::time::Instant;

/// The time between two ticks of a reconciler.
const TICK: Duration = Duration::from_millis(200);
/// The probability, in per mille, of an event that always happens.
pub(crate) const ALWAYS: u32 = 1000;
/// The time between two reports of an engine to an instance.
const POLL: Duration = Duration::from_secs(1);

/// The point during the sending of an order at which an instance is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PausePoint {
    /// After the decision to send, before the lease check.
    BeforeLeaseCheck,
    /// After the lease check, before the order is written.
    BeforeWrite,
    /// After the order is written, before the response is read.
    AfterWrite,
}

/// An order from the decision to send it until its arrival.
#[derive(Clone, Debug)]
struct OrderInTransit {
    order_id: u64,
    sender: usize,
    target: TargetName,
    fencing: FencingNumber,
    order: Order,
    write_deadline: Instant,
    connection_opened: Instant,
}

/// An event of the simulation. Numbers of the type `usize` are those of instances.
#[derive(Debug)]
enum Event {
    Tick(usize),
    /// A call arrives at the store.
    StoreCall(usize, StoreCall),
    /// A reply of the store arrives at the instance.
    StoreReply(usize, StoreReply),
    /// The connection is open and the instance checks its lease.
    CheckLease(OrderInTransit),
    WriteOrder(OrderInTransit),
    OrderArrives(OrderInTransit),
    /// The response to the order with this id arrives, or the send times out.
    SendEnded(u64, usize, TargetName, SendOutcome),
    PollEngines(usize),
    /// An engine completes a load.
    Loaded(TargetName, VersionName),
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) guard: StaleOrderGuard,
    pub(crate) role: String,
    pub(crate) versions: Vec<VersionName>,
    /// The orders that took effect, each with its time and its sender's fencing number.
    pub(crate) accepted: Vec<(Instant, FencingNumber, Order)>,
    /// The highest fencing number of an order so far.
    highest_fencing: FencingNumber,
    loading: Vec<VersionName>,
}

/// The instances, the engines and the store, with the faults to inject.
#[derive(Debug)]
pub(crate) struct Simulation {
    /// The reconciler of each instance, or `None` if the instance has died.
    pub(crate) reconcilers: Vec<Option<Reconciler>>,
    pub(crate) engines: BTreeMap<TargetName, Engine>,
    pub(crate) settings: OrderSettings,
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    /// Whether instances check their lease after the connection is open.
    pub(crate) checks_lease: bool,
    /// The longest time between the write of an order and its arrival, in the kernel and on the
    /// network.
    pub(crate) max_network_delay: Duration,
    /// The point at which instances are paused, for how long, and the probability in per mille.
    /// With [`ALWAYS`], only the next instance to reach the point is paused, for exactly this time;
    /// otherwise the time varies.
    pub(crate) pause_rule: Option<(PausePoint, Duration, u32)>,
    /// The probability, in per mille, that a reply of the store is lost.
    pub(crate) lost_replies_per_mille: u32,
    pub(crate) store_down: bool,
    /// The instance that does not reach the store.
    pub(crate) cut_off: Option<usize>,
    /// The longest one-way delay of a slow store call. One call in ten is slow, or none if this is
    /// zero.
    pub(crate) slow_call_delay: Duration,
    pub(crate) store_calls: u64,
    /// The number of concurrent loads that the weight store serves, and how long each takes.
    pub(crate) weight_store: (usize, Duration),
    pub(crate) refused_loads: u64,
    pub(crate) accepted_loads: u64,
    /// The lines to be compared with the scripts.
    pub(crate) trace: Vec<String>,
    /// The instance that wrote the lease last.
    last_holder: InstanceName,
    /// The version and the content of the lease object.
    lease_object: Option<(u64, Vec<u8>)>,
    store_version: u64,
    paused_until: BTreeMap<usize, Instant>,
    /// The scheduled events, by time and then in the order in which they were scheduled.
    events: BTreeMap<(Instant, u64), Event>,
    event_count: u64,
    rng: SmallRng,
}

impl Simulation {
    pub(crate) fn new(instances: usize, settings: OrderSettings, seed: u64) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            reconcilers: Vec::new(),
            engines: BTreeMap::new(),
            max_network_delay: settings.send_timeout,
            settings,
            now,
            start: now,
            checks_lease: true,
            pause_rule: None,
            lost_replies_per_mille: 0,
            store_down: false,
            cut_off: None,
            slow_call_delay: Duration::ZERO,
            store_calls: 0,
            weight_store: (usize::MAX, Duration::from_secs(1)),
            refused_loads: 0,
            accepted_loads: 0,
            trace: Vec::new(),
            last_holder: "".into(),
            lease_object: None,
            store_version: 0,
            paused_until: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for instance in 0..instances {
            let rng = SmallRng::seed_from_u64(sim.rng.random());
            let lease_client = LeaseClient::new(
                format!("i{instance}").as_str().into(),
                sim.settings.clone(),
                rng,
            );
            let reconciler = Reconciler::new(sim.settings.clone(), lease_client);
            sim.reconcilers.push(Some(reconciler));
            let offset = Duration::from_millis(sim.rng.random_range(0..1000));
            sim.schedule(offset, Event::Tick(instance));
            sim.schedule(offset, Event::PollEngines(instance));
        }
        sim
    }

    pub(crate) fn add_engine(&mut self, name: &str, guard: StaleOrderGuard) {
        let engine = Engine {
            guard,
            role: String::new(),
            versions: Vec::new(),
            accepted: Vec::new(),
            highest_fencing: FencingNumber(0),
            loading: Vec::new(),
        };
        self.engines.insert(name.into(), engine);
    }

    /// Sets the desired state of all engines in the reconciler of an instance.
    pub(crate) fn set_desired(&mut self, instance: usize, desired: &DesiredState) {
        if let Some(reconciler) = &mut self.reconcilers[instance] {
            for (name, engine) in &self.engines {
                reconciler.set_target(name.clone(), engine.guard, desired.clone());
            }
        }
    }

    pub(crate) fn set_wanted(&mut self, instance: usize, wanted: bool) {
        if let Some(reconciler) = &mut self.reconcilers[instance] {
            reconciler.set_wanted(wanted);
        }
    }

    /// Pauses an instance.
    pub(crate) fn pause(&mut self, instance: usize, time: Duration) {
        self.paused_until.insert(instance, self.now + time);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until `done` returns true, at most for the given time. Returns whether it did.
    pub(crate) fn run_until(&mut self, time: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.dispatch(event);
            if done(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    /// Returns the engine and the time of the first stale order: one that took effect after an
    /// order with a higher fencing number.
    pub(crate) fn first_stale_order(&self) -> Option<(&TargetName, Instant)> {
        self.engines.iter().find_map(|(name, engine)| {
            let pairs = engine.accepted.iter().zip(engine.accepted.iter().skip(1));
            let late = pairs.filter(|(a, b)| b.1 < a.1).map(|(_, b)| b.0).next();
            late.map(|at| (name, at))
        })
    }

    fn dispatch(&mut self, event: Event) {
        let instance = match &event {
            Event::Tick(instance)
            | Event::StoreReply(instance, _)
            | Event::SendEnded(_, instance, ..)
            | Event::PollEngines(instance) => Some(*instance),
            Event::CheckLease(transit) | Event::WriteOrder(transit) => Some(transit.sender),
            Event::StoreCall(..) | Event::OrderArrives(_) | Event::Loaded(..) => None,
        };
        let until = instance.and_then(|instance| self.paused_until.get(&instance).copied());
        if let Some(until) = until.filter(|until| *until > self.now) {
            self.schedule(until - self.now, event);
            return;
        }
        match event {
            Event::Tick(instance) => {
                self.step(instance, Input::Tick);
                self.schedule(TICK, Event::Tick(instance));
            }
            Event::StoreReply(instance, reply) => self.step(instance, Input::Store(reply)),
            Event::SendEnded(order_id, instance, target, outcome) => {
                self.step(instance, Input::SendEnded(target, order_id, outcome))
            }
            Event::PollEngines(instance) => self.poll_engines(instance),
            Event::StoreCall(instance, call) => self.call_store(instance, call),
            Event::CheckLease(transit) => self.check_lease(transit),
            Event::WriteOrder(transit) => self.write_order(transit),
            Event::OrderArrives(transit) => self.on_arrival(transit),
            Event::Loaded(target, version) => self.on_loaded(&target, version),
        }
    }

    fn step(&mut self, instance: usize, input: Input) {
        let now = self.now;
        let Some(reconciler) = &mut self.reconcilers[instance] else {
            return;
        };
        for effect in reconciler.step(input, now) {
            match effect {
                Effect::Store(call) => {
                    let latency = self.latency();
                    self.schedule(latency, Event::StoreCall(instance, call));
                }
                Effect::Send {
                    order_id,
                    target,
                    fencing,
                    order,
                    write_deadline,
                } => {
                    let transit = OrderInTransit {
                        order_id,
                        sender: instance,
                        target,
                        fencing,
                        order,
                        write_deadline,
                        connection_opened: now,
                    };
                    self.maybe_pause(PausePoint::BeforeLeaseCheck, instance);
                    self.schedule(Duration::from_millis(1), Event::CheckLease(transit));
                }
            }
        }
    }

    fn latency(&mut self) -> Duration {
        let slow = self.rng.random_range(0..10) == 0 && !self.slow_call_delay.is_zero();
        let longest = if slow {
            self.slow_call_delay
        } else {
            Duration::from_millis(12)
        };
        longest.mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn maybe_pause(&mut self, pause_point: PausePoint, instance: usize) {
        let Some((_, time, per_mille)) = self.pause_rule.filter(|rule| rule.0 == pause_point)
        else {
            return;
        };
        if self.rng.random_range(0..ALWAYS) < per_mille {
            let time = if per_mille == ALWAYS {
                self.pause_rule = None;
                time
            } else {
                time.mul_f64(self.rng.random_range(0.2..3.0))
            };
            self.add_trace(format!(
                "i{instance} is paused for {:.1} s",
                time.as_secs_f64()
            ));
            self.pause(instance, time);
        }
    }

    fn check_lease(&mut self, transit: OrderInTransit) {
        if self.checks_lease && self.now >= transit.write_deadline {
            self.step(
                transit.sender,
                Input::SendEnded(transit.target, transit.order_id, SendOutcome::NotSent),
            );
            return;
        }
        self.maybe_pause(PausePoint::BeforeWrite, transit.sender);
        if self
            .paused_until
            .get(&transit.sender)
            .is_some_and(|until| *until > self.now)
        {
            self.schedule(Duration::ZERO, Event::WriteOrder(transit));
        } else {
            self.write_order(transit);
        }
    }

    fn write_order(&mut self, transit: OrderInTransit) {
        let engine = &self.engines[&transit.target];
        let age = self.now - transit.connection_opened;
        let is_closed =
            engine.guard == StaleOrderGuard::IdleClose && age > self.settings.idle_timeout;
        self.schedule(
            self.settings.send_timeout,
            Event::SendEnded(
                transit.order_id,
                transit.sender,
                transit.target.clone(),
                SendOutcome::Unknown,
            ),
        );
        if is_closed {
            return;
        }
        self.maybe_pause(PausePoint::AfterWrite, transit.sender);
        let longest = self.max_network_delay.as_millis() as u64;
        let slow = self.rng.random_bool(0.2);
        let delay = if slow { longest } else { 2 };
        self.schedule(Duration::from_millis(delay), Event::OrderArrives(transit));
    }

    fn on_arrival(&mut self, transit: OrderInTransit) {
        let (slots, download) = self.weight_store;
        let busy: usize = self.engines.values().map(|e| e.loading.len()).sum();
        let Some(engine) = self.engines.get_mut(&transit.target) else {
            return;
        };
        let is_stale =
            engine.guard == StaleOrderGuard::Fencing && transit.fencing < engine.highest_fencing;
        engine.highest_fencing = engine.highest_fencing.max(transit.fencing);
        let outcome = match &transit.order {
            _ if is_stale => SendOutcome::Fenced,
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
                let loaded = Event::Loaded(transit.target.clone(), version.clone());
                self.event_count += 1;
                self.events
                    .insert((self.now + download, self.event_count), loaded);
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
            SendOutcome::Accepted => "accepts",
            _ => "refuses",
        };
        self.trace.push(format!(
            "{:8.3} {} {verb} {} from i{} with fencing number {}",
            (self.now - self.start).as_secs_f64(),
            transit.target,
            serde_json::to_string(&transit.order).unwrap(),
            transit.sender,
            transit.fencing
        ));
        if outcome == SendOutcome::Accepted {
            let entry = (self.now, transit.fencing, transit.order);
            engine.accepted.push(entry);
        }
        let ended = Event::SendEnded(transit.order_id, transit.sender, transit.target, outcome);
        self.schedule(Duration::from_millis(1), ended);
    }

    fn on_loaded(&mut self, target: &TargetName, version: VersionName) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.loading.retain(|v| *v != version);
            engine.versions.push(version);
        }
    }

    fn poll_engines(&mut self, instance: usize) {
        self.schedule(POLL, Event::PollEngines(instance));
        let reports: Vec<(TargetName, EngineReport)> = self
            .engines
            .iter()
            .map(|(name, engine)| {
                let versions = engine.versions.clone();
                (name.clone(), EngineReport { versions })
            })
            .collect();
        for (name, report) in reports {
            self.step(instance, Input::Reported(name, report));
        }
    }

    fn call_store(&mut self, instance: usize, call: StoreCall) {
        self.store_calls += 1;
        let reply = if self.store_down || self.cut_off == Some(instance) {
            StoreReply::Unknown
        } else {
            self.serve_store_call(call)
        };
        let is_lost = self.rng.random_range(0..1000) < self.lost_replies_per_mille;
        let reply = if is_lost { StoreReply::Unknown } else { reply };
        let latency = self.latency();
        self.schedule(latency, Event::StoreReply(instance, reply));
    }

    fn serve_store_call(&mut self, call: StoreCall) -> StoreReply {
        let expected = self.lease_object.as_ref().map(|(version, _)| *version);
        let value = match call {
            StoreCall::Read => {
                let object = self.lease_object.clone();
                return object.map_or(StoreReply::Missing, |(v, b)| StoreReply::Found(v, b));
            }
            StoreCall::Create(value) if expected.is_none() => value,
            StoreCall::Update { version, value } if expected == Some(version) => value,
            StoreCall::Create(_) | StoreCall::Update { .. } => return StoreReply::Conflict,
        };
        self.store_version += 10;
        let lease = Lease::from_bytes(&value).unwrap();
        let is_new = expected.is_none() || lease.released || lease.holder != self.last_holder;
        if is_new {
            let change = if lease.released { "released" } else { "taken" };
            self.add_trace(format!(
                "lease {change} by {} with store version {}",
                lease.holder, self.store_version
            ));
        }
        self.last_holder = lease.holder;
        self.lease_object = Some((self.store_version, value));
        StoreReply::Written(self.store_version)
    }

    fn add_trace(&mut self, text: String) {
        let at = (self.now - self.start).as_secs_f64();
        self.trace.push(format!("{at:8.3} {text}"));
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + after, self.event_count), event);
    }
}
