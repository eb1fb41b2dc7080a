//! Orders to move a service to another version: one instance drives them, all act on them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_platform::Version;
use celerypond_relay::{EvidenceReport, Fleet, Order, Phase, Rollout, Stage, VersionRouting};
use celerypond_telemetry::Counter;
use celerypond_types::ServiceName;
use smol_str::SmolStr;
use tokio::{net::UdpSocket, time::Instant};

use super::{
    datagrams::{self, Datagram},
    fleet,
    order_store::{self, is_said, StatusUpdate, StoredOrder},
    state::RelayState,
};

/// The time between two stages that the driver tells, and between two reports of the others. A bad
/// version must be found out and left within seconds.
const TURN: Duration = Duration::from_millis(250);
/// The time between two looks for orders; they may run for ten seconds in all.
const LOOK: Duration = Duration::from_secs(1);
/// How long all requests go to a version before it is said to be good. The targets of the others stop at
/// that word, and what is still under way there is lost; calls take some 60 ms.
const SETTLE: Duration = Duration::from_millis(300);

/// This instance's side in rollouts.
#[derive(Default)]
pub(super) struct Rollouts {
    versions: Mutex<VersionRouting>,
    /// The orders that this instance drives; empty while it drives none.
    driven: Mutex<HashMap<ServiceName, DrivenOrder>>,
}

struct DrivenOrder {
    rollout: Rollout,
    key: SmolStr,
    /// The version of the order's object in the store.
    version: Version,
    /// What the store is known to say of it.
    said: Option<Phase>,
}

impl DrivenOrder {
    fn unsaid(&self) -> StatusUpdate {
        StatusUpdate {
            key: self.key.clone(),
            before: self.version,
            target: self.rollout.order.version.clone(),
            phase: self.rollout.phase,
        }
    }
}

impl Rollouts {
    /// Returns which versions take requests.
    pub(super) fn versions(&self) -> MutexGuard<'_, VersionRouting> {
        lock(&self.versions)
    }

    /// Takes in how far an order had come at a moment, from the instance that drives it.
    pub(super) fn hear_stage(&self, stage: Stage, at: Instant) {
        self.versions().update(stage, at);
    }

    /// Takes in what another instance saw, if this one drives the order.
    pub(super) fn hear_report(&self, service: &ServiceName, report: EvidenceReport) {
        let mut driven = lock(&self.driven);
        let rollout = driven.get_mut(service).map(|driven| &mut driven.rollout);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.version == report.version) {
            rollout.evidence.merge(report, Instant::now());
        }
    }

    fn stages(&self) -> Vec<Stage> {
        let now = Instant::now();
        let driven = lock(&self.driven);
        let stage = |driven: &DrivenOrder| Stage {
            order: driven.rollout.order.clone(),
            phase: driven.rollout.phase,
            age_ms: u32::try_from(driven.rollout.age(now).as_millis()).unwrap_or(u32::MAX),
        };
        driven.values().map(stage).collect()
    }
}

/// Drives orders while it is this instance's turn, and reports to the one that does otherwise.
pub(super) async fn run(state: Arc<RelayState>, socket: Arc<UdpSocket>) {
    let mut turn = tokio::time::interval(TURN);
    let mut looked: Option<Instant> = None;
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            _ = turn.tick() => {}
        }
        match fleet::driver(&state) {
            Some(driver) => {
                lock(&state.rollouts.driven).clear();
                report(&state, &socket, driver).await;
            }
            None => {
                if looked.is_none_or(|at| at.elapsed() >= LOOK) {
                    looked = Some(Instant::now());
                    if let Some(found) = order_store::find(&state).await {
                        take_in(&state, found);
                    }
                }
                drive(&state, &socket).await;
            }
        }
    }
}

async fn report(state: &RelayState, socket: &UdpSocket, driver: SocketAddr) {
    let reports = state.rollouts.versions().reports(state.fleet.load().origin);
    for (service, report) in reports {
        datagrams::send(socket, &[driver], &Datagram::Report(service, report)).await;
    }
}

fn take_in(state: &RelayState, found: Vec<StoredOrder>) {
    let now = Instant::now();
    let known: Vec<Stage> = state.rollouts.versions().stages().cloned().collect();
    let mut driven = lock(&state.rollouts.driven);
    driven.retain(|service, _| found.iter().any(|found| found.order.service == *service));
    for found in found {
        let service = found.order.service.clone();
        let is_same = |driven: &DrivenOrder| driven.rollout.order == found.order;
        if driven.get(&service).is_some_and(is_same) {
            continue;
        }
        // The instance that drove the order before told how long it runs.
        let before = known.iter().find(|stage| stage.order == found.order);
        let age = before.map_or(0, |stage| stage.age_ms);
        let mut rollout = Rollout::new(found.order, Duration::from_millis(age.into()), now);
        let ended = before.map(|stage| stage.phase).into_iter();
        let ended = ended.chain(found.said).find(|phase| phase.is_ended());
        rollout.phase = ended.unwrap_or(rollout.phase);
        log::info!(
            service = service.as_str(),
            version = rollout.order.version.as_str(),
            time_ms = rollout.order.time.as_millis() as u64,
            age_ms = age,
            phase:? = rollout.phase;
            "order taken"
        );
        let one = DrivenOrder {
            rollout,
            key: found.key,
            version: found.version,
            said: found.said,
        };
        driven.insert(service, one);
    }
}

/// Decides about all orders, tells the others, and then the store.
async fn drive(state: &RelayState, socket: &UdpSocket) {
    let reports = state.rollouts.versions().reports(state.fleet.load().origin);
    for (service, report) in reports {
        state.rollouts.hear_report(&service, report);
    }
    let has_completed = decide(state);
    tell(state, socket).await;
    if has_completed {
        tokio::time::sleep(SETTLE).await;
    }
    say(state).await;
}

/// Tells all instances, this one included, how far the orders have come.
async fn tell(state: &RelayState, socket: &UdpSocket) {
    let stages = state.rollouts.stages();
    if stages.is_empty() {
        return;
    }
    let fleet = state.fleet.load_full();
    for stage in stages {
        datagrams::send(socket, &fleet.others, &Datagram::Stage(stage.clone())).await;
        state.rollouts.hear_stage(stage, Instant::now());
    }
}

/// Decides how far each order has come; returns whether a version was found good.
fn decide(state: &RelayState) -> bool {
    let bounds = state.settings.load().bounds;
    let mut has_completed = false;
    for driven in lock(&state.rollouts.driven).values_mut() {
        let rollout = &mut driven.rollout;
        let fleet = fleet(state, &rollout.order);
        let next = rollout.next_phase(&bounds, fleet, Instant::now());
        let before = std::mem::replace(&mut rollout.phase, next);
        if next.is_ended() && next != before {
            let seen = rollout.evidence.total();
            log::info!(
                service = rollout.order.service.as_str(),
                version = rollout.order.version.as_str(),
                phase:? = next,
                age_ms = rollout.age(Instant::now()).as_millis() as u64,
                new:? = seen.new,
                old:? = seen.old,
                targets:? = fleet;
                "order decided"
            );
            has_completed |= next == Phase::Completed;
            if next == Phase::TakenBack {
                state.metrics.add(Counter::Brakes, 1);
            }
        }
    }
    has_completed
}

fn fleet(state: &RelayState, order: &Order) -> Fleet {
    let targets = state.known.targets();
    let usable = targets
        .iter()
        .filter(|(key, target)| target.entry.service == order.service && targets.is_usable(*key));
    let (new, old): (Vec<_>, Vec<_>) =
        usable.partition(|(_, target)| target.entry.version == order.version);
    Fleet {
        new: new.len(),
        old: old.len(),
    }
}

/// Says in the store how far each order has come, where the store does not say so yet.
async fn say(state: &RelayState) {
    let all: Vec<(ServiceName, StatusUpdate)> = {
        let driven = lock(&state.rollouts.driven);
        let unsaid = driven
            .iter()
            .filter(|(_, driven)| !is_said(driven.said, driven.rollout.phase));
        let unsaid = unsaid.map(|(service, driven)| (service.clone(), driven.unsaid()));
        unsaid.collect()
    };
    for (service, unsaid) in all {
        let written = order_store::say(state, &unsaid).await;
        if let Some(driven) = lock(&state.rollouts.driven).get_mut(&service) {
            driven.version = written.version;
            driven.said = written.said.or(driven.said);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
