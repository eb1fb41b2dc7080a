//! Exchanges datagrams with other instances: where streams run, and what is new in the store.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_relay::{
    EvidenceReport, FullnessNotice, LeavingNotice, LossNotice, Notice, PartNotice, PartitionNotice,
    PlacementSchedule, Placements, PromptLocation, PromptLocationSchedule, RateNotice,
    ReturnNotice, Stage, Watchers,
};
use celerypond_types::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::Instant};

use super::{
    fleet, fullness,
    inbox::{Inbox, Received},
    lease, prompt_parts, rate_limits, reachability, returns,
    state::RelayState,
    statements, target_sync,
};

/// How long changes are collected before a list is sent. Streams begin and end in groups when
/// engines are lost.
const COALESCE_DELAY: Duration = Duration::from_micros(200);
/// The maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// The number of datagrams that are read before other events are handled.
const MAX_BATCH: usize = 256;

/// The interval between two notices of an instance that watches the store.
const NOTICE_INTERVAL: Duration = Duration::from_millis(300);

/// The datagrams between instances. What is lost is sent again with a later one.
#[derive(Serialize, Deserialize)]
pub(super) enum Datagram {
    /// Where streams run.
    Streams(Placements),
    /// Where prompts were sent.
    Notes(Vec<PromptLocation>),
    /// The state of the store that an instance knows.
    Notice(Notice),
    /// The stage of an order to move a service to another version.
    Stage(Stage),
    /// Evidence about the versions of such an order.
    Report(ServiceName, EvidenceReport),
    /// The services whose targets an instance does not reach.
    Partition(PartitionNotice),
    /// Whether a brittle target is full.
    Fullness(FullnessNotice),
    /// The targets that ended while they ran a request.
    Losses(LossNotice),
    /// A limit that a target states, or the requests sent within it.
    Rate(RateNotice),
    /// Parts of prompts under which engines ended.
    Parts(PartNotice),
    /// Callers that were put off.
    Returns(Vec<ReturnNotice>),
    /// A target has stated that it leaves.
    Leaving(LeavingNotice),
}

/// Sends and receives datagrams until the instance ends.
pub(super) async fn run(state: Arc<RelayState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut placement_schedule = PlacementSchedule::new(Instant::now());
    let mut prompt_location_schedule = PromptLocationSchedule::new(Instant::now());
    let mut notice_interval = tokio::time::interval(NOTICE_INTERVAL);
    let mut last_notice = Instant::now();
    let mut has_unreported = false;
    let mut inbox = Inbox::new(Arc::clone(&socket));
    prompt_parts::query_seeds(&state, &socket).await;
    loop {
        receive_datagrams(&state, &socket, &mut inbox, &mut buffer);
        // Callers that are put off change no placement.
        placement_schedule.has_changes |= state.returns().has_unreported();
        let due = last_notice + Watchers::notice_gap(state.fleet.load().recipients.len());
        tokio::select! {
            () = state.ending.cancelled() => return,
            _ = socket.readable() => {}
            () = state.placements_changed.notified(), if !placement_schedule.has_changes => placement_schedule.has_changes = true,
            () = tokio::time::sleep_until(placement_schedule.due(state.group_size())) => {
                tokio::time::sleep(COALESCE_DELAY).await;
                send_placements(&state, &socket, &mut placement_schedule).await;
                send_prompt_locations(&state, &socket, &mut prompt_location_schedule).await;
                returns::send_notices(&state, &socket).await;
            }
            () = state.view.unreported_change.notified(), if !has_unreported => has_unreported = true,
            () = tokio::time::sleep_until(due), if has_unreported => {
                (last_notice, has_unreported) = (Instant::now(), false);
                send_notice(&state, &socket).await;
            }
            _ = notice_interval.tick() => {
                fleet::refresh(&state);
                (last_notice, has_unreported) = (Instant::now(), false);
                send_notice(&state, &socket).await;
                prompt_parts::send_summary(&state, &socket).await;
            }
        }
    }
}

/// Receives the datagrams that have arrived.
fn receive_datagrams(
    state: &Arc<RelayState>,
    socket: &UdpSocket,
    inbox: &mut Inbox,
    buffer: &mut [u8],
) {
    for _ in 0..MAX_BATCH {
        let Some(received) = inbox.next(buffer) else {
            return;
        };
        state.view.record_contact(received.earliest_arrival);
        handle_datagram(state, socket, received, &buffer[..received.len]);
    }
}

fn handle_datagram(state: &Arc<RelayState>, socket: &UdpSocket, received: Received, bytes: &[u8]) {
    let earliest_arrival = received.earliest_arrival;
    match bincode::deserialize(bytes) {
        Ok(Datagram::Streams(mut placements)) => {
            let sends = std::mem::take(&mut placements.sends);
            let now = Instant::now();
            placements.add_age(now.saturating_duration_since(earliest_arrival));
            state.retries().merge(placements.origin, sends, now);
            let origin = placements.origin;
            returns::remove_placed(state, &placements);
            let mut targets = state.view.targets();
            let avoided = targets.merge_placements(placements, now);
            let judgements = targets.take_judgements();
            drop(targets);
            lease::log_judgements(state, judgements);
            for target in avoided {
                log::info!(target = target.as_str(), origin; "target avoided, reported dead by another instance");
            }
        }
        Ok(Datagram::Notes(locations)) => state
            .view
            .targets()
            .merge_prompt_locations(&locations, Instant::now()),
        Ok(Datagram::Notice(notice)) => receive_notice(state, notice, earliest_arrival),
        Ok(Datagram::Stage(stage)) => receive_stage(state, socket, received, stage),
        Ok(Datagram::Report(service, report)) => state.rollouts.record_report(&service, report),
        Ok(Datagram::Partition(notice)) => reachability::receive(state, notice),
        Ok(Datagram::Fullness(notice)) => fullness::receive(state, notice),
        Ok(Datagram::Rate(notice)) => rate_limits::receive(state, notice),
        Ok(Datagram::Parts(notice)) => {
            if let Some(response) = prompt_parts::receive(state, notice) {
                try_send(socket, received.from, &Datagram::Parts(response));
            }
        }
        Ok(Datagram::Returns(notices)) => returns::receive(state, &notices, earliest_arrival),
        Ok(Datagram::Leaving(notice)) => statements::receive(state, notice),
        Ok(Datagram::Losses(notice)) => state.losses().merge(&notice, Instant::now()),
        Err(error) => log::warn!(error:% = error; "cannot decode a peer's datagram"),
    }
}

/// Records the stage of an order, or returns the known one to a sender that does not know it.
fn receive_stage(state: &RelayState, socket: &UdpSocket, received: Received, stage: Stage) {
    let known = state
        .rollouts
        .record_stage(stage, received.earliest_arrival);
    if let Some(known) = known {
        log::info!(
            from:% = received.from,
            service = known.order.service.as_str(),
            version = known.order.version.as_str(),
            phase:? = known.phase;
            "stage of an order superseded"
        );
        try_send(socket, received.from, &Datagram::Stage(known));
    }
}

fn receive_notice(state: &Arc<RelayState>, notice: Notice, earliest_arrival: Instant) {
    let now = Instant::now();
    let view = &state.view;
    state.watch_duty.watchers().record(notice, now);
    if let Some(seen) = notice.observation(earliest_arrival) {
        view.observe_config(seen);
    }
    if let Some(seen) = notice.targets_observation(earliest_arrival) {
        view.observe_targets(seen);
    }
    if let Some(at) = notice.orders_read_at(earliest_arrival) {
        view.targets().record_orders_read(at);
    }
    view.report_config(notice.config, now);
    view.targets_freshness().report(notice.revision, now);
    if notice.is_superseded {
        view.config_freshness().record_transfer(notice.config, now);
    }
    if state.newest_config() > state.view.config_version() {
        state.newer_config.notify_one();
    }
    target_sync::request_sync(state);
}

async fn send_placements(
    state: &RelayState,
    socket: &UdpSocket,
    placement_schedule: &mut PlacementSchedule,
) {
    let sequence = state.placement_sequence.fetch_add(1, Relaxed) + 1;
    let fleet = state.fleet.load_full();
    let since = placement_schedule.record_sent(state.group_size(), Instant::now());
    let placements = placements(state, fleet.origin, sequence, since);
    send(socket, &fleet.group, &Datagram::Streams(placements)).await;
}

/// Sends the locations of prompts to instances of other groups.
async fn send_prompt_locations(
    state: &RelayState,
    socket: &UdpSocket,
    prompt_location_schedule: &mut PromptLocationSchedule,
) {
    let fleet = state.fleet.load_full();
    if !prompt_location_schedule.take_due(fleet.other_groups.len(), Instant::now()) {
        return;
    }
    let locations = state.view.targets().take_prompt_locations();
    if !locations.is_empty() {
        send(socket, &fleet.other_groups, &Datagram::Notes(locations)).await;
    }
}

fn placements(
    state: &RelayState,
    origin: u64,
    sequence: u64,
    since: Option<Instant>,
) -> Placements {
    let now = Instant::now();
    let mut targets = state.view.targets();
    if since.is_none() {
        targets.sweep(now);
    }
    let mut placements = targets.placements(origin, sequence, since, now);
    placements.paces.extend(targets.take_response_times());
    drop(targets);
    Placements {
        sends: state.retries().sends(now),
        ..placements
    }
}

/// Sends what is known of the store to the recipients of this instance, if there are any.
async fn send_notice(state: &RelayState, socket: &UdpSocket) {
    let fleet = state.fleet.load_full();
    if fleet.recipients.is_empty() {
        return;
    }
    let now = Instant::now();
    // The ages are read first: a configuration that becomes current meanwhile must not be reported
    // with the age of the previous one.
    let freshness = state.view.config_freshness().clone();
    let targets_age = state.view.targets_freshness().age(now);
    let orders_read = state.view.targets().orders_read();
    let orders_age = orders_read.map(|at| now.saturating_duration_since(at));
    let (revision, config) = (state.view.targets_revision(), state.view.config_version());
    let watchers_age = || state.watch_duty.watchers().age(revision, config, now);
    let Some(age) = state.watch_duty.age(now).or_else(watchers_age) else {
        return;
    };
    let notice = Notice {
        origin: fleet.origin,
        revision,
        config,
        config_revision: freshness.revision().unwrap_or_default(),
        config_age_ms: freshness.age(now).map(millis),
        targets_age_ms: targets_age.map(millis),
        orders_age_ms: orders_age.map(millis),
        is_superseded: state.view.is_receiving.load(Relaxed),
        age_ms: millis(age),
    };
    send(socket, &fleet.recipients, &Datagram::Notice(notice)).await;
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Sends a datagram. One that cannot be sent is dropped, since the next one has the same
/// information and more.
pub(super) async fn send(socket: &UdpSocket, peers: &[SocketAddr], datagram: &Datagram) {
    if let Some(bytes) = encode(datagram) {
        for peer in peers {
            let _ = socket.send_to(&bytes, peer).await;
        }
    }
}

/// Sends a datagram without waiting; one that cannot be sent is dropped.
fn try_send(socket: &UdpSocket, peer: SocketAddr, datagram: &Datagram) {
    if let Some(bytes) = encode(datagram) {
        let _ = socket.try_send_to(&bytes, peer);
    }
}

fn encode(datagram: &Datagram) -> Option<Vec<u8>> {
    match bincode::serialize(datagram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => return Some(bytes),
        Ok(bytes) => log::warn!(len = bytes.len(); "datagram exceeds the maximum size"),
        Err(error) => log::error!(error:% = error; "cannot encode a datagram"),
    }
    None
}
