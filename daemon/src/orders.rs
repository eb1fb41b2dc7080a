//! Orders to engines: each shard of targets is driven by the instance that holds its lease.

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

use crate::{engine, force::Force, gossip, http_call::CallError, node::Node};

/// How many leases cover all targets; the same at every instance for all time.
const SHARDS: u32 = 8;
/// How often a shard is looked at.
const STEP: Duration = Duration::from_millis(500);
/// How many results may wait for a shard.
const INPUTS: usize = 256;

/// The body of an order, in the form of `docs/design/wire.md`.
#[derive(Serialize)]
struct Body<'a> {
    fencing: FencingNumber,
    order: &'a Order,
}

/// One shard at this instance.
struct Actor {
    node: Arc<Node>,
    shard: Shard,
    reconciler: Reconciler,
    inputs: mpsc::Sender<Input>,
    received: mpsc::Receiver<Input>,
    wanted: Wanted,
}

/// What the bundles want of engines.
#[derive(Default)]
struct Wanted {
    force: Option<Arc<Force>>,
    /// The bundle before, whose versions stay until its last answers can have ended.
    former: Option<(Arc<Force>, Instant)>,
    known: Vec<TargetName>,
}

/// Drives all shards whose leases fall to this instance, until it ends.
pub async fn run(node: Arc<Node>) {
    let shards = (0..SHARDS).map(|shard| Actor::new(&node, Shard(shard)).run());
    futures::future::join_all(shards).await;
}

impl Actor {
    fn new(node: &Arc<Node>, shard: Shard) -> Self {
        let settings = OrderSettings::default();
        let name = node.settings.instance.clone();
        let lease_client = LeaseClient::new(name, settings.clone(), node.rng());
        let (inputs, received) = mpsc::channel(INPUTS);
        Self {
            node: Arc::clone(node),
            shard,
            reconciler: Reconciler::new(settings, lease_client),
            inputs,
            received,
            wanted: Wanted::default(),
        }
    }

    async fn run(mut self) {
        let mut tick = time::interval(STEP);
        loop {
            let input = tokio::select! {
                () = self.node.shutdown.cancelled() => return,
                Some(input) = self.received.recv() => input,
                _ = tick.tick() => {
                    self.look();
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

    /// Takes in who drives the shard, what the bundle wants and what the engines report.
    fn look(&mut self) {
        let Some(force) = self.node.active_bundle.load_full() else {
            return;
        };
        self.reconciler
            .set_wanted(is_driver(&self.node, self.shard));
        self.wanted.follow(force);
        let wanted = self.wanted.of_shard(self.shard);
        for gone in self
            .wanted
            .known
            .iter()
            .filter(|name| !wanted.contains_key(*name))
        {
            self.reconciler.remove_target(gone);
        }
        self.wanted.known = wanted.keys().cloned().collect();
        for (target, (guard, desired)) in wanted {
            if let Some(versions) = self.node.loaded_versions(&target) {
                self.step(Input::Reported(target.clone(), EngineReport { versions }));
            }
            self.reconciler.set_target(target, guard, desired);
        }
    }

    fn carry_out(&self, effect: Effect) {
        let node = Arc::clone(&self.node);
        let inputs = self.inputs.clone();
        let work = node.background_tasks.clone();
        match effect {
            Effect::Store(call) => {
                let key = self.shard.object_key();
                work.spawn(async move {
                    let reply = store(&node, &key, call).await;
                    // The shard ends only with the instance.
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
                work.spawn(async move {
                    let outcome = send(&node, &target, fencing, &order, write_deadline).await;
                    note(&node, &target, &order, outcome);
                    let _ = inputs
                        .send(Input::SendEnded(target, order_id, outcome))
                        .await;
                });
            }
        }
    }
}

impl Wanted {
    fn follow(&mut self, force: Arc<Force>) {
        let now = Instant::now();
        let is_new = self
            .force
            .as_ref()
            .is_none_or(|held| held.revision() < force.revision());
        if is_new && let Some(former) = self.force.replace(force) {
            let longest = former.bundle.models.iter().map(|model| model.deadline_ms);
            let longest = Duration::from_millis(longest.max().unwrap_or(0));
            self.former = Some((former, now + longest));
        }
        self.former.take_if(|(_, until)| *until <= now);
    }

    fn of_shard(&self, shard: Shard) -> BTreeMap<TargetName, (StaleOrderGuard, DesiredState)> {
        let mut wanted = BTreeMap::new();
        let Some(force) = &self.force else {
            return wanted;
        };
        for target in &force.bundle.targets {
            if target.kind == TargetKind::Engine && Shard::of(&target.name, SHARDS) == shard {
                let guard = match target.fencing {
                    Fencing::Checked => StaleOrderGuard::Fencing,
                    Fencing::ClosesIdle => StaleOrderGuard::IdleClose,
                    Fencing::Ignored => StaleOrderGuard::Repair,
                };
                wanted.insert(target.name.clone(), (guard, DesiredState::default()));
            }
        }
        let former = self.former.iter().map(|(former, _)| former);
        for force in former.chain([force]) {
            add_versions(&force.bundle, &mut wanted);
        }
        wanted
    }
}

fn add_versions(
    bundle: &Bundle,
    wanted: &mut BTreeMap<TargetName, (StaleOrderGuard, DesiredState)>,
) {
    for version in bundle.models.iter().flat_map(|model| &model.versions) {
        for target in &version.targets {
            if let Some((_, desired)) = wanted.get_mut(target) {
                let weights = version.weights.clone();
                desired.versions.insert(version.name.clone(), weights);
            }
        }
    }
}

/// Returns whether the lease of a shard falls to this instance. Two may think so for a while; the
/// store gives the lease to one of them.
fn is_driver(node: &Node, shard: Shard) -> bool {
    let driver = gossip::responsible_instance(node, &shard.object_key());
    driver.is_some_and(|instance| instance.address.is_none())
}

async fn store(node: &Node, key: &str, call: StoreCall) -> StoreReply {
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

async fn send(
    node: &Node,
    target: &TargetName,
    fencing: FencingNumber,
    order: &Order,
    write_deadline: Instant,
) -> SendOutcome {
    let Some(address) = address(node, target) else {
        return SendOutcome::NotSent;
    };
    let body = Body { fencing, order };
    let value = serde_json::to_vec(&body).unwrap_or_default();
    match engine::send_order(
        address,
        value,
        write_deadline,
        OrderSettings::default().send_timeout,
    )
    .await
    {
        Ok(None) => SendOutcome::NotSent,
        Ok(Some((StatusCode::OK, _))) => SendOutcome::Accepted,
        Ok(Some((StatusCode::CONFLICT, _))) => SendOutcome::Fenced,
        Ok(Some((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, after))) => {
            SendOutcome::Refused(after)
        }
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

fn note(node: &Node, target: &TargetName, order: &Order, outcome: SendOutcome) {
    let counter = match outcome {
        SendOutcome::Fenced => Counter::OrdersFenced,
        SendOutcome::NotSent => Counter::OrdersHeld,
        SendOutcome::Accepted | SendOutcome::Refused(_) | SendOutcome::Unknown => Counter::Orders,
    };
    node.metrics.add(counter, 1);
    if outcome == SendOutcome::Accepted {
        log::info!("target {target} accepted {order:?}");
    }
}

/// What engines last reported to have loaded.
pub type Reports = HashMap<TargetName, Vec<celerypond_types::VersionName>>;
