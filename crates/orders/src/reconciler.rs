//! Orders to the engines of one shard.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerypond_types::{FencingNumber, TargetName, VersionName};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    DesiredState, EngineReport, LeaseClient, LoadLimiter, Order, OrderSettings, StaleOrderGuard,
    StoreCall, StoreReply,
};

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target accepted it.
    Accepted,
    /// The target has seen a higher fencing number.
    Fenced,
    /// The target refused it, as it was refused weights.
    Refused(Option<Duration>),
    /// No answer came; it may have taken effect.
    Unknown,
    /// It was not sent: the last instant for it had passed.
    NotSent,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The store replied.
    Store(StoreReply),
    /// A target reported what it has.
    Reported(TargetName, EngineReport),
    /// The order to a target with this ordinal came to an end.
    ///
    /// The answer to an order may come after the order was given up. If it were taken for the end
    /// of the next order, that one would count as done while it is under way, and a lease could be
    /// released too early.
    SendEnded(TargetName, u64, SendOutcome),
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Call the store.
    Store(StoreCall),
    /// Send an order. In this order: open a new connection; look at the clock and give up if it
    /// is `write_deadline` or later; write the order; give up after the longest send, and reset the
    /// connection so that the kernel does not go on sending.
    Send {
        /// The ordinal of the order.
        order_id: u64,
        /// The target.
        target: TargetName,
        /// The fencing number.
        fencing: FencingNumber,
        /// The order.
        order: Order,
        /// The last instant at which the order may be written.
        write_deadline: Instant,
    },
}

#[derive(Clone, Debug)]
struct EngineState {
    guard: StaleOrderGuard,
    desired: DesiredState,
    report: Option<EngineReport>,
    in_flight: Option<(u64, Order)>,
    loading: BTreeMap<VersionName, Instant>,
    accepted_role: Option<(SmolStr, Instant)>,
    retry_at: Option<Instant>,
}

/// Orders to the engines of one shard, as a state machine.
#[derive(Debug)]
pub struct Reconciler {
    settings: OrderSettings,
    lease_client: LeaseClient,
    load_limiter: LoadLimiter,
    engines: BTreeMap<TargetName, EngineState>,
    /// The orders under way, also those to targets that were dropped since.
    in_flight: BTreeSet<u64>,
    last_order_id: u64,
}

impl Reconciler {
    /// Makes a driver that wants no lease yet.
    pub fn new(settings: OrderSettings, lease_client: LeaseClient) -> Self {
        Self {
            load_limiter: LoadLimiter::new(settings.initial_load_window),
            settings,
            lease_client,
            engines: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            last_order_id: 0,
        }
    }

    /// Returns who holds the lease, by the view of this instance.
    pub const fn lease_client(&self) -> &LeaseClient {
        &self.lease_client
    }

    /// Says whether this instance shall drive the shard.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.lease_client.set_wanted(wanted);
    }

    /// Sets what the bundle wants of a target.
    pub fn set_target(
        &mut self,
        target: TargetName,
        guard: StaleOrderGuard,
        desired: DesiredState,
    ) {
        let engine = self.engines.entry(target).or_insert_with(|| EngineState {
            guard,
            desired: DesiredState::default(),
            report: None,
            in_flight: None,
            loading: BTreeMap::new(),
            accepted_role: None,
            retry_at: None,
        });
        engine.guard = guard;
        engine.desired = desired;
    }

    /// Drops a target that the bundle no longer has.
    pub fn remove_target(&mut self, target: &TargetName) {
        if let Some(engine) = self.engines.remove(target) {
            engine
                .loading
                .iter()
                .for_each(|_| self.load_limiter.on_failed());
        }
    }

    /// Takes in what happened and returns what to do.
    pub fn step(&mut self, input: Input, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Tick => {}
            Input::Store(reply) => {
                let next = self.lease_client.on_reply(reply, now);
                effects.extend(next.map(Effect::Store));
            }
            Input::Reported(target, report) => self.on_report(&target, report),
            Input::SendEnded(target, order_id, outcome) => {
                self.on_send_ended(&target, order_id, outcome, now)
            }
        }
        self.expire_loads(now);
        let no_orders_in_flight = self.in_flight.is_empty();
        effects.extend(
            self.lease_client
                .tick(no_orders_in_flight, now)
                .map(Effect::Store),
        );
        let targets: Vec<TargetName> = self.engines.keys().cloned().collect();
        for target in targets {
            effects.extend(self.next_send(target, now));
        }
        effects
    }

    fn on_report(&mut self, target: &TargetName, report: EngineReport) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let limiter = &mut self.load_limiter;
        engine.loading.retain(|version, _| {
            let is_loaded = report.versions.contains(version);
            if is_loaded {
                limiter.on_completed();
            }
            !is_loaded
        });
        engine.report = Some(report);
    }

    fn on_send_ended(
        &mut self,
        target: &TargetName,
        order_id: u64,
        outcome: SendOutcome,
        now: Instant,
    ) {
        self.in_flight.remove(&order_id);
        if outcome == SendOutcome::Fenced {
            self.lease_client.on_fenced();
        }
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let Some((_, order)) = engine
            .in_flight
            .take_if(|(in_flight, _)| *in_flight == order_id)
        else {
            return;
        };
        match (&order, outcome) {
            (Order::Load { version, .. }, SendOutcome::Refused(retry_after)) => {
                engine.loading.remove(version);
                self.load_limiter.on_refused(retry_after, now);
                let wait = retry_after.unwrap_or(self.settings.retry_delay);
                engine.retry_at = Some(now + wait);
            }
            // A load that is not answered may go on or not; to order it again does no harm.
            (
                Order::Load { version, .. },
                SendOutcome::Fenced | SendOutcome::NotSent | SendOutcome::Unknown,
            ) => {
                engine.loading.remove(version);
                self.load_limiter.on_failed();
                engine.retry_at = Some(now + self.settings.retry_delay);
            }
            (Order::Role { role }, SendOutcome::Accepted) => {
                engine.accepted_role = Some((role.clone(), now))
            }
            (_, SendOutcome::Accepted) => engine.report = None,
            _ => engine.retry_at = Some(now + self.settings.retry_delay),
        }
    }

    /// Gives up loads that were accepted long ago and are not reported.
    fn expire_loads(&mut self, now: Instant) {
        let timeout = self.settings.load_timeout;
        for engine in self.engines.values_mut() {
            let limiter = &mut self.load_limiter;
            engine.loading.retain(|_, started| {
                let is_expired = now >= *started + timeout;
                if is_expired {
                    limiter.on_failed();
                }
                !is_expired
            });
        }
    }

    fn next_send(&mut self, target: TargetName, now: Instant) -> Option<Effect> {
        let engine = self.engines.get_mut(&target)?;
        let is_waiting = engine.retry_at.is_some_and(|at| now < at);
        if engine.in_flight.is_some() || is_waiting {
            return None;
        }
        let (fencing, write_deadline) = self.lease_client.send_permit(engine.guard, now)?;
        let order = engine.next_order(self.settings.repeat_interval, now)?;
        if let Order::Load { version, .. } = &order {
            if !self.load_limiter.try_start(now) {
                return None;
            }
            engine.loading.insert(version.clone(), now);
        }
        self.last_order_id += 1;
        self.in_flight.insert(self.last_order_id);
        engine.in_flight = Some((self.last_order_id, order.clone()));
        Some(Effect::Send {
            order_id: self.last_order_id,
            target,
            fencing,
            order,
            write_deadline,
        })
    }
}

impl EngineState {
    /// Returns the next order, if one is due.
    ///
    /// Versions are read back, so an order for one is repeated only while the report differs. A
    /// role is not reported, so it is repeated from time to time.
    fn next_order(&self, repeat_interval: Duration, now: Instant) -> Option<Order> {
        if let Some(role) = &self.desired.role {
            let is_accepted = |(accepted, at): &(SmolStr, Instant)| {
                accepted == role && now < *at + repeat_interval
            };
            if !self.accepted_role.as_ref().is_some_and(is_accepted) {
                return Some(Order::Role { role: role.clone() });
            }
        }
        let is_loading = |order: &Order| match order {
            Order::Load { version, .. } => self.loading.contains_key(version),
            Order::Unload { .. } | Order::Role { .. } => false,
        };
        let orders = self.desired.pending_orders(self.report.as_ref()?);
        orders.into_iter().find(|order| !is_loading(order))
    }
}
