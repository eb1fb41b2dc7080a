//! Detects whether this instance reaches the targets of each service, and exchanges that with other
//! instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_relay::{AttemptFailure, PartitionNotice};
use celerypond_telemetry::Counter;
use celerypond_types::{ServiceName, TargetKey};
use futures::future::join_all;
use tokio::{
    net::UdpSocket,
    time::{sleep, Instant},
};

use super::{
    datagrams::{self, Datagram},
    members,
    state::RelayState,
};

/// The interval between two probes of targets while a service is unreachable, which is also the
/// maximum time until the end of a partition is noticed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long failures are collected before the links are checked.
const COALESCE_DELAY: Duration = Duration::from_millis(20);
/// The interval at which notices are repeated, as datagrams may be lost.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// How long the end of all partitions is still repeated to other instances.
const RECOVERY_NOTICE_TIME: Duration = Duration::from_secs(3);

/// Checks the links to all services until the instance ends.
pub(super) async fn run(state: Arc<RelayState>, socket: Arc<UdpSocket>) {
    let mut notices = Notices::default();
    loop {
        let may_suspect = state.partitions().is_empty();
        tokio::select! {
            () = state.ending.cancelled() => return,
            () = wait_for_failures(&state), if may_suspect => {}
            () = sleep(PROBE_INTERVAL) => {}
        }
        let services = service_names(&state);
        state
            .partitions()
            .retain(|service| services.contains(service));
        let checks = services.iter().map(|service| check(&state, service));
        let has_changed = join_all(checks).await.contains(&true);
        notices.send_if_due(&state, &socket, has_changed).await;
    }
}

/// Waits until connections of requests have failed.
async fn wait_for_failures(state: &RelayState) {
    state.connection_failed.notified().await;
    sleep(COALESCE_DELAY).await;
}

fn service_names(state: &RelayState) -> Vec<ServiceName> {
    let table = state.view.table();
    let services = table.config().services.iter();
    services.map(|service| service.name.clone()).collect()
}

/// Checks the links to a service; returns whether it became unreachable or reachable.
async fn check(state: &Arc<RelayState>, service: &ServiceName) -> bool {
    let was_partitioned = state.partitions().contains(service);
    let now = Instant::now();
    let probes = {
        let targets = state.view.targets();
        match was_partitioned {
            true => Some(targets.recovery_probes(service, &mut rand::rng())),
            false => targets.suspect_partition(service, &mut rand::rng(), now),
        }
    };
    let Some(probes) = probes else {
        return false;
    };
    let connected = join_all(probes.iter().map(|key| probe(state, *key))).await;
    let now = Instant::now();
    if !state.partitions().record_probes(service, &connected, now) {
        return false;
    }
    let mut targets = state.view.targets();
    if was_partitioned {
        targets.forget_link_failures(service);
    } else {
        targets.forget_results(service);
    }
    drop(targets);
    log::warn!(
        service = service.as_str(),
        is_partitioned = !was_partitioned,
        probed = connected.len(),
        connected = connected.iter().filter(|is_connected| **is_connected).count();
        "reachability of a service changed"
    );
    if !was_partitioned {
        state.metrics.add(Counter::Partitions, 1);
        close_idle_connections(state, service);
    }
    state.placements_changed.notify_one();
    true
}

/// Probes a target with a new connection and records the result. A target that is no longer listed
/// cannot be probed.
pub(super) async fn probe(state: &RelayState, key: TargetKey) -> bool {
    match state.view.address_of(key) {
        Some(address) => probe_address(state, key, address).await,
        None => false,
    }
}

/// Probes a target at the address that it had when it was leased. It may still work on requests
/// after its entry was removed. It counts as alive if this instance cannot open connections.
pub(super) async fn probe_address(state: &RelayState, key: TargetKey, address: SocketAddr) -> bool {
    let connected = state.connections.probe(address).await;
    if let Err(error) = &connected
        && AttemptFailure::of_connect(error) == AttemptFailure::NoConnection
    {
        log::warn!(error:% = error; "cannot probe a target");
        return true;
    }
    let mut targets = state.view.targets();
    targets.record_connection(key, connected.is_ok(), Instant::now());
    connected.is_ok()
}

/// Records whether a connection to a target could be made for a request.
pub(super) fn record_connection(state: &RelayState, key: TargetKey, is_connected: bool) {
    let now = Instant::now();
    let mut targets = state.view.targets();
    targets.record_connection(key, is_connected, now);
    drop(targets);
    if !is_connected {
        state.connection_failed.notify_one();
    }
}

/// Returns whether this instance reaches no target of the service that a target belongs to.
pub(super) fn is_partitioned_from(state: &RelayState, key: TargetKey) -> bool {
    let partitions = state.partitions();
    if partitions.is_empty() {
        return false;
    }
    let targets = state.view.targets();
    let target = targets.get(key);
    target.is_some_and(|target| partitions.contains(&target.entry.service))
}

/// Closes the idle connections to a service's targets, on which requests may hang.
fn close_idle_connections(state: &RelayState, service: &ServiceName) {
    let targets = state.view.targets();
    let of_service = targets
        .iter()
        .filter(|(_, target)| target.entry.service == *service);
    of_service.for_each(|(_, target)| state.connections.drop_idle(target.entry.address));
}

/// Handles the notice of another instance.
pub(super) fn receive(state: &RelayState, notice: PartitionNotice) {
    if !notice.services.is_empty() {
        state.view.targets().forget_reports(notice.origin);
    }
    state.peer_partitions().merge(notice, Instant::now());
}

/// The notices that this instance sends.
#[derive(Default)]
struct Notices {
    sequence: u64,
    last_sent: Option<Instant>,
    recovered_at: Option<Instant>,
}

impl Notices {
    async fn send_if_due(&mut self, state: &RelayState, socket: &UdpSocket, has_changed: bool) {
        let now = Instant::now();
        let services = state.partitions().hashes();
        if has_changed {
            self.recovered_at = services.is_empty().then_some(now);
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECOVERY_NOTICE_TIME;
        let is_wanted = !services.is_empty() || self.recovered_at.is_some_and(is_recent);
        let is_due = |at: Instant| now.saturating_duration_since(at) >= NOTICE_INTERVAL;
        let is_repeated = is_wanted && self.last_sent.is_none_or(is_due);
        if !has_changed && !is_repeated {
            return;
        }
        self.sequence += 1;
        self.last_sent = Some(now);
        let fleet = state.fleet.load_full();
        let notice = PartitionNotice {
            origin: fleet.origin,
            sequence: self.sequence,
            address: members::address(&state.settings.load()),
            services,
        };
        datagrams::send(socket, &fleet.live_peers, &Datagram::Partition(notice)).await;
    }
}
