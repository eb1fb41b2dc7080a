//! Drives orders to move a service to another version: reads them, decides on them, and reports to the
//! other instances and to the store. Instances that do not drive send reports to the one that does.
//!
//! Any driver may have been paused while another one ended an order, so the store decides how an order
//! ends: a phase is only written if the order is unchanged since it was read, and after a conflict the
//! order is read again.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_relay::{Fleet, Order, Phase};
use celerypond_telemetry::Counter;
use celerypond_types::ServiceName;
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior},
};

use super::{
    datagrams::{self, Datagram},
    driven_order::DrivenOrder,
    fleet,
    order_store::{self, Read, StatusUpdate, StatusWrite},
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
/// The maximum time between two reads of the current orders. Another instance may hold back a version
/// that this one has used for a while, and needs a later read.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(5);
/// The time between two rounds after which this instance was paused. Other instances ignore its last
/// shares by then, and may have another driver.
const MAX_ROUND_GAP: Duration = Duration::from_millis(1_500);

/// Drives the orders if this instance is the driver, and otherwise sends reports to the driver.
pub(super) async fn run(state: Arc<RelayState>, socket: Arc<UdpSocket>) {
    let mut round = tokio::time::interval(ROUND_INTERVAL);
    round.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last_round, mut last_poll): (Option<Instant>, Option<Instant>) = (None, None);
    let mut previous = None;
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            _ = round.tick() => {}
        }
        let driver = fleet::driver(&state);
        if previous.replace(driver) != Some(driver) {
            log_driver(&state, driver);
        }
        match driver {
            Some(driver) => {
                (last_round, last_poll) = (None, None);
                state.rollouts.driven().clear();
                send_reports(&state, &socket, driver).await;
            }
            None => {
                if last_round.is_some_and(|at| at.elapsed() > MAX_ROUND_GAP) {
                    // Another instance may have driven the orders meanwhile.
                    log::warn!(gap_ms = last_round.map(|at| at.elapsed().as_millis() as u64); "rollouts paused");
                    state.rollouts.driven().clear();
                    last_poll = None;
                }
                if last_poll.is_none_or(|at| at.elapsed() >= POLL_INTERVAL) {
                    last_poll = Some(Instant::now());
                    poll_orders(&state).await;
                }
                drive(&state, &socket).await;
                last_round = Some(Instant::now());
            }
        }
    }
}

fn log_driver(state: &RelayState, driver: Option<SocketAddr>) {
    log::info!(
        instance = state.settings.load().instance.as_str(),
        is_driver = driver.is_none(),
        driver = driver.map(|driver| driver.to_string());
        "driver of rollouts changed"
    );
}

async fn send_reports(state: &RelayState, socket: &UdpSocket, driver: SocketAddr) {
    let reports = state.rollouts.versions().reports(state.fleet.load().origin);
    for (service, report) in reports {
        datagrams::send(socket, &[driver], &Datagram::Report(service, report)).await;
    }
}

/// Reads the orders. A stale read suffices to find one, but not to take it: it may lack the phase
/// that another driver has stored. Nor does it show that a new version has no order.
async fn poll_orders(state: &RelayState) {
    if needs_current_orders(state) {
        read_current_orders(state).await;
        return;
    }
    let Some(found) = order_store::fetch_orders(state, Read::Stale).await else {
        return;
    };
    if found
        .iter()
        .all(|found| state.rollouts.drives(&found.order))
    {
        state.rollouts.observe(found);
    } else {
        read_current_orders(state).await;
    }
}

fn needs_current_orders(state: &RelayState) -> bool {
    let now = Instant::now();
    let targets = state.view.targets();
    let is_due = |at| now.saturating_duration_since(at) >= MAX_READ_INTERVAL;
    targets.has_held_versions(now) || targets.orders_read().is_none_or(is_due)
}

/// Reads the current state of the orders. Returns whether the store has answered.
async fn read_current_orders(state: &RelayState) -> bool {
    let started = Instant::now();
    let Some(found) = order_store::fetch_orders(state, Read::Current).await else {
        return false;
    };
    state.rollouts.observe(found);
    state.view.targets().record_orders_read(started);
    true
}

/// Decides on all orders, then reports to the other instances and to the store.
async fn drive(state: &RelayState, socket: &UdpSocket) {
    merge_own_reports(state);
    state.rollouts.adopt_reported_phases();
    let proven = advance_phases(state);
    let confirmed_at = Instant::now();
    let moved = move_requests(state, proven).await;
    send_stages(state, socket).await;
    if !moved.is_empty() {
        tokio::time::sleep(SETTLE_DELAY).await;
        complete_orders(state, moved, confirmed_at).await;
        send_stages(state, socket).await;
    }
    store_phases(state).await;
}

fn merge_own_reports(state: &RelayState) {
    let reports = state.rollouts.versions().reports(state.fleet.load().origin);
    for (service, report) in reports {
        state.rollouts.record_report(&service, report);
    }
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

/// Updates the phase of each order. Returns the services whose new version was found good, which
/// are completed once the store accepts it.
fn advance_phases(state: &RelayState) -> Vec<ServiceName> {
    let mut proven = Vec::new();
    for (service, driven) in state.rollouts.driven().iter_mut() {
        let next_phase = next_phase(state, driven);
        if driven.rollout.phase.is_ended() {
            continue;
        }
        if next_phase == Phase::Completed {
            proven.push(service.clone());
            continue;
        }
        driven.rollout.phase = next_phase;
        if next_phase == Phase::TakenBack {
            log_decision(state, driven);
            state.metrics.add(Counter::Brakes, 1);
        }
    }
    proven
}

fn next_phase(state: &RelayState, driven: &DrivenOrder) -> Phase {
    let bounds = state.settings.load().bounds;
    let targets = target_counts(state, &driven.rollout.order);
    driven.rollout.next_phase(&bounds, targets, Instant::now())
}

fn log_decision(state: &RelayState, driven: &DrivenOrder) {
    let rollout = &driven.rollout;
    let evidence = rollout.evidence.total();
    log::info!(
        service = rollout.order.service.as_str(),
        version = rollout.order.version.as_str(),
        phase:? = rollout.phase,
        age_ms = rollout.age(Instant::now()).as_millis() as u64,
        new:? = evidence.new,
        old:? = evidence.old,
        targets:? = target_counts(state, &rollout.order);
        "order decided"
    );
}

/// Sends all requests of services to their new version, unless the store has another final phase
/// of the order. Returns the services for which this was done.
async fn move_requests(state: &RelayState, mut proven: Vec<ServiceName>) -> Vec<ServiceName> {
    if proven.is_empty() || !read_current_orders(state).await {
        return Vec::new();
    }
    let mut driven = state.rollouts.driven();
    proven.retain(|service| {
        let rollout = driven.get_mut(service).map(|driven| &mut driven.rollout);
        let Some(rollout) = rollout.filter(|rollout| !rollout.phase.is_ended()) else {
            return false;
        };
        rollout.phase = Phase::Moving;
        true
    });
    proven
}

/// Stores the completion of orders whose requests were moved after a read at a moment.
///
/// The completion is only reported to other instances once the store has it. Otherwise a driver that
/// was paused could report it although another one has rolled the version back.
async fn complete_orders(state: &RelayState, services: Vec<ServiceName>, confirmed_at: Instant) {
    if confirmed_at.elapsed() > MAX_ROUND_GAP {
        return;
    }
    merge_own_reports(state);
    state.rollouts.adopt_reported_phases();
    for service in services {
        let status_update = {
            let driven = state.rollouts.driven();
            let driven = driven.get(&service);
            let proven = driven.filter(|driven| {
                !driven.rollout.phase.is_ended() && next_phase(state, driven) == Phase::Completed
            });
            proven.map(|driven| driven.status_update(Phase::Completed))
        };
        if let Some(status_update) = status_update {
            store_status(state, &service, &status_update).await;
        }
    }
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
        let driven = state.rollouts.driven();
        let unstored = driven.iter().filter(|(_, driven)| !driven.is_stored());
        let updates = unstored.map(|(service, driven)| {
            let status_update = driven.status_update(driven.rollout.phase);
            (service.clone(), status_update)
        });
        updates.collect()
    };
    for (service, status_update) in updates {
        store_status(state, &service, &status_update).await;
    }
}

/// Writes the status of an order. If another instance has written it, this one takes over what the
/// store has.
async fn store_status(state: &RelayState, service: &ServiceName, status_update: &StatusUpdate) {
    match order_store::store_phase(state, status_update).await {
        StatusWrite::Stored(object_version) => {
            let mut driven = state.rollouts.driven();
            let Some(driven) = driven.get_mut(service) else {
                return;
            };
            driven.record_stored(status_update.phase, object_version);
            if status_update.phase == Phase::Completed {
                driven.rollout.phase = Phase::Completed;
                log_decision(state, driven);
            }
        }
        StatusWrite::Unknown => {
            read_current_orders(state).await;
        }
        StatusWrite::Failed => {}
    }
}
