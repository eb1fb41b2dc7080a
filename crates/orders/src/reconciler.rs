//! The state machine that sends orders to the engines of one shard.

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

/// The outcome of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target accepted the order.
    Accepted,
    /// The target rejected the order, since it has seen a higher fencing number.
    Fenced,
    /// The target refused the order because the weight store refused it the weights. The duration
    /// is how long to wait before a retry, if the target named one.
    Refused(Option<Duration>),
    /// No conclusive response was received. The order may have taken effect.
    Unknown,
    /// The order was not sent: its write deadline had passed, or there was no connection.
    NotSent,
}

/// An event that the reconciler handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The store replied to a call.
    Store(StoreReply),
    /// A target reported its state.
    Reported(TargetName, EngineReport),
    /// The send of the order with this id to a target ended.
    ///
    /// The response to an order may arrive after the order was given up. Without the id it could be
    /// attributed to the next order, which would then count as ended while it is still in flight,
    /// and the lease could be released too early.
    SendEnded(TargetName, u64, SendOutcome),
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Call the store.
    Store(StoreCall),
    /// Send an order, in these steps:
    ///
    /// 1. Open a new connection.
    /// 2. Check the clock, and give up if it is `write_deadline` or later.
    /// 3. Write the order.
    /// 4. After [`OrderSettings::send_timeout`], give up and reset the connection, so that the
    ///    kernel does not continue to send.
    Send {
        /// The id of the order, to be returned in [`Input::SendEnded`].
        order_id: u64,
        /// The target to send the order to.
        target: TargetName,
        /// The fencing number to send with the order.
        fencing: FencingNumber,
        /// The order to send.
        order: Order,
        /// The time before which the order must be written.
        write_deadline: Instant,
    },
}

#[derive(Clone, Debug)]
struct EngineState {
    guard: StaleOrderGuard,
    desired: DesiredState,
    /// The last report, unless a load or unload was accepted since.
    report: Option<EngineReport>,
    /// The order in flight, with its id.
    in_flight: Option<(u64, Order)>,
    /// The loads that were ordered and are not reported yet, with the time of the order.
    loading: BTreeMap<VersionName, Instant>,
    /// The role that the engine accepted last, with the time of the response.
    accepted_role: Option<(SmolStr, Instant)>,
    /// When the next order may be sent after a failed one.
    retry_at: Option<Instant>,
}

/// Brings the engines of one shard to their desired state while this instance holds the lease.
#[derive(Debug)]
pub struct Reconciler {
    settings: OrderSettings,
    lease_client: LeaseClient,
    load_limiter: LoadLimiter,
    engines: BTreeMap<TargetName, EngineState>,
    /// The ids of the orders in flight, including those to targets that were removed since.
    in_flight: BTreeSet<u64>,
    /// The id of the last order sent. Ids count up from 1.
    last_order_id: u64,
}

impl Reconciler {
    /// Creates a reconciler that does not try to acquire the lease yet.
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

    /// Returns the lease client of this instance.
    pub const fn lease_client(&self) -> &LeaseClient {
        &self.lease_client
    }

    /// Sets whether this instance should hold the lease and send the orders of the shard.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.lease_client.set_wanted(wanted);
    }

    /// Sets the guard and the desired state of a target.
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

    /// Removes a target that is no longer in the bundle.
    pub fn remove_target(&mut self, target: &TargetName) {
        if let Some(engine) = self.engines.remove(target) {
            engine
                .loading
                .iter()
                .for_each(|_| self.load_limiter.on_failed());
        }
    }

    /// Handles an input and returns the actions to carry out.
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
            // The load may have started nevertheless. Orders are idempotent, so it is ordered
            // again.
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
            // The last report does not include the effect of this order.
            (_, SendOutcome::Accepted) => engine.report = None,
            _ => engine.retry_at = Some(now + self.settings.retry_delay),
        }
    }

    /// Forgets loads that were not reported as complete within the load timeout.
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

    /// Returns the send of the next order to a target, if one is due and permitted now.
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
    /// Engines report their versions, so a load or unload is repeated only while the report differs
    /// from the desired state. Engines do not report their role, so it is repeated at an interval.
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
