//! Sends orders to engines. The instance that holds the lease of a shard sends the orders to its
//! targets.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use celerypond_bundle::{Bundle, Fencing, TargetKind};
use celerypond_orders::{
    DesiredState, Effect, EngineReport, Input, LeaseClient, Order, OrderSettings, Reconciler,
    SendOutcome, Shard, StaleOrderGuard, StoreCall, StoreReply,
};
use celerypond_platform::{PlatformError, Version};
use celerypond_telemetry::Counter;
use celerypond_types::{FencingNumber, TargetName};
use http::StatusCode;
use serde::Serialize;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{active_bundle::ActiveBundle, engine, gossip, http_call::CallError, node::Node};

/// The number of shards of targets, each with one lease. It must be the same at all instances and
/// must never change.
const SHARD_COUNT: u32 = 8;
/// The interval at which a shard is reconciled.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// The number of inputs that may wait for a shard.
const INPUT_QUEUE_LENGTH: usize = 256;

/// The request body of an order; `docs/design/wire.md` specifies it.
#[derive(Serialize)]
struct OrderBody<'a> {
    fencing: FencingNumber,
    order: &'a Order,
}

/// The task of one shard on this instance.
struct ShardTask {
    node: Arc<Node>,
    shard: Shard,
    reconciler: Reconciler,
    inputs: mpsc::Sender<Input>,
    received: mpsc::Receiver<Input>,
    desired_states: DesiredStates,
}

/// The desired states of engines according to the bundles.
#[derive(Default)]
struct DesiredStates {
    active: Option<Arc<ActiveBundle>>,
    /// The previous bundle, and the time by which its last answers have ended. Until then engines
    /// keep its versions.
    previous: Option<(Arc<ActiveBundle>, Instant)>,
    /// The targets that the reconciler knows.
    known_targets: Vec<TargetName>,
}

/// Runs the tasks of all shards until the instance shuts down.
pub async fn run(node: Arc<Node>) {
    let tasks = (0..SHARD_COUNT).map(|shard| ShardTask::new(&node, Shard(shard)).run());
    futures::future::join_all(tasks).await;
}

impl ShardTask {
    fn new(node: &Arc<Node>, shard: Shard) -> Self {
        let settings = OrderSettings::default();
        let name = node.settings.instance.clone();
        let lease_client = LeaseClient::new(name, settings.clone(), node.rng());
        let (inputs, received) = mpsc::channel(INPUT_QUEUE_LENGTH);
        Self {
            node: Arc::clone(node),
            shard,
            reconciler: Reconciler::new(settings, lease_client),
            inputs,
            received,
            desired_states: DesiredStates::default(),
        }
    }

    async fn run(mut self) {
        let mut tick = time::interval(STEP_INTERVAL);
        loop {
            let input = tokio::select! {
                () = self.node.shutdown.cancelled() => return,
                Some(input) = self.received.recv() => input,
                _ = tick.tick() => {
                    self.update_desired_states();
                    Input::Tick
                }
            };
            self.step(input);
        }
    }

    fn step(&mut self, input: Input) {
        for effect in self.reconciler.step(input, Instant::now()) {
            self.carry_out(effect);
        }
    }

    /// Updates the reconciler: whether this instance should hold the lease, the desired states by
    /// the active bundle and the reports of the engines.
    fn update_desired_states(&mut self) {
        let Some(active) = self.node.active_bundle.load_full() else {
            return;
        };
        self.reconciler
            .set_wanted(is_responsible(&self.node, self.shard));
        self.desired_states.set_active_bundle(active);
        let desired_states = self.desired_states.for_shard(self.shard);
        for removed in self
            .desired_states
            .known_targets
            .iter()
            .filter(|name| !desired_states.contains_key(*name))
        {
            self.reconciler.remove_target(removed);
        }
        self.desired_states.known_targets = desired_states.keys().cloned().collect();
        for (target, (guard, desired)) in desired_states {
            if let Some(versions) = self.node.loaded_versions(&target) {
                self.step(Input::Reported(target.clone(), EngineReport { versions }));
            }
            self.reconciler.set_target(target, guard, desired);
        }
    }

    fn carry_out(&self, effect: Effect) {
        let node = Arc::clone(&self.node);
        let inputs = self.inputs.clone();
        let tasks = node.background_tasks.clone();
        match effect {
            Effect::Store(call) => {
                let key = self.shard.object_key();
                tasks.spawn(async move {
                    let reply = call_store(&node, &key, call).await;
                    // This fails only when the instance shuts down.
                    let _ = inputs.send(Input::Store(reply)).await;
                });
            }
            Effect::Send {
                order_id,
                target,
                fencing,
                order,
                write_deadline,
            } => {
                tasks.spawn(async move {
                    let outcome = send_order(&node, &target, fencing, &order, write_deadline).await;
                    record_send(&node, &target, &order, outcome);
                    let _ = inputs
                        .send(Input::SendEnded(target, order_id, outcome))
                        .await;
                });
            }
        }
    }
}

impl DesiredStates {
    /// Sets the active bundle. The one before becomes the previous bundle for as long as the
    /// longest deadline of its models.
    fn set_active_bundle(&mut self, active: Arc<ActiveBundle>) {
        let now = Instant::now();
        let is_new = self
            .active
            .as_ref()
            .is_none_or(|held| held.revision() < active.revision());
        if is_new && let Some(previous) = self.active.replace(active) {
            let deadlines = previous.bundle.models.iter().map(|model| model.deadline_ms);
            let longest_deadline = Duration::from_millis(deadlines.max().unwrap_or(0));
            self.previous = Some((previous, now + longest_deadline));
        }
        self.previous.take_if(|(_, until)| *until <= now);
    }

    /// Returns the engines of a shard with their guards and desired states.
    fn for_shard(&self, shard: Shard) -> BTreeMap<TargetName, (StaleOrderGuard, DesiredState)> {
        let mut desired_states = BTreeMap::new();
        let Some(active) = &self.active else {
            return desired_states;
        };
        for target in &active.bundle.targets {
            if target.kind == TargetKind::Engine && Shard::of(&target.name, SHARD_COUNT) == shard {
                let guard = match target.fencing {
                    Fencing::Checked => StaleOrderGuard::Fencing,
                    Fencing::ClosesIdle => StaleOrderGuard::IdleClose,
                    Fencing::Ignored => StaleOrderGuard::Repair,
                };
                desired_states.insert(target.name.clone(), (guard, DesiredState::default()));
            }
        }
        let previous = self.previous.iter().map(|(previous, _)| previous);
        for active in previous.chain([active]) {
            add_versions(&active.bundle, &mut desired_states);
        }
        desired_states
    }
}

/// Adds the versions of a bundle to the desired states of their targets.
fn add_versions(
    bundle: &Bundle,
    desired_states: &mut BTreeMap<TargetName, (StaleOrderGuard, DesiredState)>,
) {
    for version in bundle.models.iter().flat_map(|model| &model.versions) {
        for target in &version.targets {
            if let Some((_, desired)) = desired_states.get_mut(target) {
                let weights = version.weights.clone();
                desired.versions.insert(version.name.clone(), weights);
            }
        }
    }
}

/// Returns whether this instance should hold the lease of a shard.
///
/// Several instances may consider themselves responsible for a while; the store grants the lease to
/// only one of them.
fn is_responsible(node: &Node, shard: Shard) -> bool {
    let responsible = gossip::responsible_instance(node, &shard.object_key());
    responsible.is_some_and(|instance| instance.address.is_none())
}

async fn call_store(node: &Node, key: &str, call: StoreCall) -> StoreReply {
    node.metrics.add(Counter::LeaseCalls, 1);
    let written = match call {
        StoreCall::Read => {
            return match node.platform.get(key).await {
                Ok(object) => StoreReply::Found(object.version.0, object.value.to_vec()),
                Err(report) if *report.current_context() == PlatformError::Missing => {
                    StoreReply::Missing
                }
                Err(_) => StoreReply::Unknown,
            };
        }
        StoreCall::Create(value) => node.platform.create(key, Bytes::from(value)).await,
        StoreCall::Update { version, value } => {
            let value = Bytes::from(value);
            node.platform.update(key, Version(version), value).await
        }
    };
    match written {
        Ok(version) => StoreReply::Written(version.0),
        Err(report) if *report.current_context() == PlatformError::Conflict => StoreReply::Conflict,
        Err(_) => StoreReply::Unknown,
    }
}

async fn send_order(
    node: &Node,
    target: &TargetName,
    fencing: FencingNumber,
    order: &Order,
    write_deadline: Instant,
) -> SendOutcome {
    let Some(address) = address(node, target) else {
        return SendOutcome::NotSent;
    };
    let body = OrderBody { fencing, order };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    match engine::send_order(
        address,
        body,
        write_deadline,
        OrderSettings::default().send_timeout,
    )
    .await
    {
        Ok(None) => SendOutcome::NotSent,
        Ok(Some((StatusCode::OK, _))) => SendOutcome::Accepted,
        Ok(Some((StatusCode::CONFLICT, _))) => SendOutcome::Fenced,
        Ok(Some((
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE,
            retry_after,
        ))) => SendOutcome::Refused(retry_after),
        Ok(Some(_)) => SendOutcome::Unknown,
        Err(report) => match report.current_context() {
            CallError::Connect => SendOutcome::NotSent,
            CallError::Reset | CallError::Timeout => SendOutcome::Unknown,
        },
    }
}

fn address(node: &Node, target: &TargetName) -> Option<SocketAddr> {
    let view = node.view.load();
    Some(view.target(view.target_key(target)?)?.address)
}

fn record_send(node: &Node, target: &TargetName, order: &Order, outcome: SendOutcome) {
    let counter = match outcome {
        SendOutcome::Fenced => Counter::OrdersFenced,
        SendOutcome::NotSent => Counter::OrdersHeld,
        SendOutcome::Accepted | SendOutcome::Refused(_) | SendOutcome::Unknown => Counter::Orders,
    };
    node.metrics.add(counter, 1);
    if outcome == SendOutcome::Accepted {
        log::info!("target {target} accepted order {order:?}");
    }
}

/// The versions that each engine reported as loaded when it last reported.
pub type LoadedVersions = HashMap<TargetName, Vec<celerypond_types::VersionName>>;
