//! Orders to move a service to another version. One instance drives them, and all instances act on
//! them.

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
    order_store::{self, is_stored, StatusUpdate, StoredOrder},
    state::RelayState,
};

/// The interval at which the driver sends stages and the other instances send reports. A bad
/// version must be detected and rolled back within seconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// The interval at which the store is read for orders, which may take ten seconds in all.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long all requests are sent to a version before the order is reported as complete. That
/// report stops the targets of the old version, and requests that still run there are lost; calls
/// take about 60 ms.
const SETTLE_DELAY: Duration = Duration::from_millis(300);

/// This instance's part in rollouts.
#[derive(Default)]
pub(super) struct Rollouts {
    versions: Mutex<VersionRouting>,
    /// The orders that this instance drives; empty if another instance is the driver.
    driven: Mutex<HashMap<ServiceName, DrivenOrder>>,
}

struct DrivenOrder {
    rollout: Rollout,
    key: SmolStr,
    /// The version of the order's object in the store.
    object_version: Version,
    /// The phase that the store is known to have for the order.
    stored_phase: Option<Phase>,
}

impl DrivenOrder {
    fn status_update(&self) -> StatusUpdate {
        StatusUpdate {
            key: self.key.clone(),
            known_object_version: self.object_version,
            target_version: self.rollout.order.version.clone(),
            phase: self.rollout.phase,
        }
    }
}

impl Rollouts {
    /// Returns which versions requests are sent to.
    pub(super) fn versions(&self) -> MutexGuard<'_, VersionRouting> {
        lock(&self.versions)
    }

    /// Records the stage that the driver sent at a moment.
    pub(super) fn record_stage(&self, stage: Stage, at: Instant) {
        self.versions().update(stage, at);
    }

    /// Adds the evidence of another instance, if this one drives the order.
    pub(super) fn record_report(&self, service: &ServiceName, report: EvidenceReport) {
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

/// Drives the orders if this instance is the driver, and otherwise sends reports to the driver.
pub(super) async fn run(state: Arc<RelayState>, socket: Arc<UdpSocket>) {
    let mut round = tokio::time::interval(ROUND_INTERVAL);
    let mut last_poll: Option<Instant> = None;
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            _ = round.tick() => {}
        }
        match fleet::driver(&state) {
            Some(driver) => {
                lock(&state.rollouts.driven).clear();
                send_reports(&state, &socket, driver).await;
            }
            None => {
                if last_poll.is_none_or(|at| at.elapsed() >= POLL_INTERVAL) {
                    last_poll = Some(Instant::now());
                    if let Some(found) = order_store::fetch_orders(&state).await {
                        update_driven_orders(&state, found);
                    }
                }
                drive(&state, &socket).await;
            }
        }
    }
}

async fn send_reports(state: &RelayState, socket: &UdpSocket, driver: SocketAddr) {
    let reports = state.rollouts.versions().reports(state.fleet.load().origin);
    for (service, report) in reports {
        datagrams::send(socket, &[driver], &Datagram::Report(service, report)).await;
    }
}

fn update_driven_orders(state: &RelayState, found: Vec<StoredOrder>) {
    let now = Instant::now();
    let stages: Vec<Stage> = state.rollouts.versions().stages().cloned().collect();
    let mut driven = lock(&state.rollouts.driven);
    driven.retain(|service, _| found.iter().any(|found| found.order.service == *service));
    for found in found {
        let service = found.order.service.clone();
        let is_same = |driven: &DrivenOrder| driven.rollout.order == found.order;
        if driven.get(&service).is_some_and(is_same) {
            continue;
        }
        // The previous driver has reported how long the order has been running.
        let known_stage = stages.iter().find(|stage| stage.order == found.order);
        let age = known_stage.map_or(0, |stage| stage.age_ms);
        let mut rollout = Rollout::new(found.order, Duration::from_millis(age.into()), now);
        let ended_phase = known_stage.map(|stage| stage.phase).into_iter();
        let ended_phase = ended_phase
            .chain(found.stored_phase)
            .find(|phase| phase.is_ended());
        rollout.phase = ended_phase.unwrap_or(rollout.phase);
        log::info!(
            service = service.as_str(),
            version = rollout.order.version.as_str(),
            time_ms = rollout.order.time.as_millis() as u64,
            age_ms = age,
            phase:? = rollout.phase;
            "order taken"
        );
        let driven_order = DrivenOrder {
            rollout,
            key: found.key,
            object_version: found.object_version,
            stored_phase: found.stored_phase,
        };
        driven.insert(service, driven_order);
    }
}

/// Decides on all orders, then reports to the other instances and to the store.
async fn drive(state: &RelayState, socket: &UdpSocket) {
    let reports = state.rollouts.versions().reports(state.fleet.load().origin);
    for (service, report) in reports {
        state.rollouts.record_report(&service, report);
    }
    let has_any_completed = advance_phases(state);
    send_stages(state, socket).await;
    if has_any_completed {
        tokio::time::sleep(SETTLE_DELAY).await;
    }
    store_phases(state).await;
}

/// Sends the stages of the orders to all instances, including this one.
async fn send_stages(state: &RelayState, socket: &UdpSocket) {
    let stages = state.rollouts.stages();
    if stages.is_empty() {
        return;
    }
    let fleet = state.fleet.load_full();
    for stage in stages {
        datagrams::send(socket, &fleet.live_peers, &Datagram::Stage(stage.clone())).await;
        state.rollouts.record_stage(stage, Instant::now());
    }
}

/// Updates the phase of each order. Returns whether a version was found good.
fn advance_phases(state: &RelayState) -> bool {
    let bounds = state.settings.load().bounds;
    let mut has_any_completed = false;
    for driven in lock(&state.rollouts.driven).values_mut() {
        let rollout = &mut driven.rollout;
        let fleet = target_counts(state, &rollout.order);
        let next_phase = rollout.next_phase(&bounds, fleet, Instant::now());
        let previous = std::mem::replace(&mut rollout.phase, next_phase);
        if next_phase.is_ended() && next_phase != previous {
            let evidence = rollout.evidence.total();
            log::info!(
                service = rollout.order.service.as_str(),
                version = rollout.order.version.as_str(),
                phase:? = next_phase,
                age_ms = rollout.age(Instant::now()).as_millis() as u64,
                new:? = evidence.new,
                old:? = evidence.old,
                targets:? = fleet;
                "order decided"
            );
            has_any_completed |= next_phase == Phase::Completed;
            if next_phase == Phase::TakenBack {
                state.metrics.add(Counter::Brakes, 1);
            }
        }
    }
    has_any_completed
}

fn target_counts(state: &RelayState, order: &Order) -> Fleet {
    let targets = state.view.targets();
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

/// Writes the phase of each order to the store, where it differs from the stored one.
async fn store_phases(state: &RelayState) {
    let updates: Vec<(ServiceName, StatusUpdate)> = {
        let driven = lock(&state.rollouts.driven);
        let status_updates = driven
            .iter()
            .filter(|(_, driven)| !is_stored(driven.stored_phase, driven.rollout.phase));
        let status_updates =
            status_updates.map(|(service, driven)| (service.clone(), driven.status_update()));
        status_updates.collect()
    };
    for (service, status_update) in updates {
        let write = order_store::store_phase(state, &status_update).await;
        if let Some(driven) = lock(&state.rollouts.driven).get_mut(&service) {
            driven.object_version = write.object_version;
            driven.stored_phase = write.stored_phase.or(driven.stored_phase);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
