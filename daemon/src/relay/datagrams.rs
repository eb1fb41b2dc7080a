//! Tells other instances where the streams of this one run and what is new in the store, and hears
//! of theirs.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_relay::{
    EvidenceReport, Notice, PlacementSchedule, Placements, PromptLocation, PromptLocationSchedule,
    Stage, Watchers,
};
use celerypond_types::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::Instant};

use super::{fleet, inbox::Inbox, state::RelayState, target_sync};

/// How long changes are gathered before a list is sent. Streams begin and end in groups when
/// engines are lost.
const GATHER: Duration = Duration::from_micros(200);
/// The largest datagram that is read.
const DATAGRAM: usize = 16 << 10;
/// How many datagrams are read before anything else has its turn.
const MAX_BATCH: usize = 256;

/// The time between two notices of an instance that watches the store.
const NOTICE_INTERVAL: Duration = Duration::from_millis(300);

/// What instances tell each other by datagram; what is lost is told again.
#[derive(Serialize, Deserialize)]
pub(super) enum Datagram {
    /// Where streams run.
    Streams(Placements),
    /// Where prompts were sent.
    Notes(Vec<PromptLocation>),
    /// What is known of the store.
    Notice(Notice),
    /// How far an order to move a service has come.
    Stage(Stage),
    /// What was seen of such an order.
    Report(ServiceName, EvidenceReport),
}

/// Sends and hears lists until the instance ends.
pub(super) async fn run(state: Arc<RelayState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    let mut lists = PlacementSchedule::new(Instant::now());
    let mut notes = PromptLocationSchedule::new(Instant::now());
    let mut notice = tokio::time::interval(NOTICE_INTERVAL);
    let mut said = Instant::now();
    let mut has_news = false;
    let mut inbox = Inbox::new(Arc::clone(&socket));
    loop {
        drain(&state, &mut inbox, &mut buffer);
        let due = said + Watchers::notice_gap(state.fleet.load().told.len());
        tokio::select! {
            () = state.ending.cancelled() => return,
            _ = socket.readable() => {}
            () = state.placed.notified(), if !lists.has_changes => lists.has_changes = true,
            () = tokio::time::sleep_until(lists.due(state.sharers())) => {
                tokio::time::sleep(GATHER).await;
                tell(&state, &socket, &mut lists).await;
                note(&state, &socket, &mut notes).await;
            }
            () = state.known.told.notified(), if !has_news => has_news = true,
            () = tokio::time::sleep_until(due), if has_news => {
                (said, has_news) = (Instant::now(), false);
                say(&state, &socket).await;
            }
            _ = notice.tick() => {
                fleet::refresh(&state);
                (said, has_news) = (Instant::now(), false);
                say(&state, &socket).await;
            }
        }
    }
}

/// Receives what has arrived.
fn drain(state: &Arc<RelayState>, inbox: &mut Inbox, buffer: &mut [u8]) {
    for _ in 0..MAX_BATCH {
        let Some((len, since)) = inbox.next(buffer) else {
            return;
        };
        state.known.record_contact(since);
        hear(state, &buffer[..len], since);
    }
}

fn hear(state: &Arc<RelayState>, bytes: &[u8], since: Instant) {
    match bincode::deserialize(bytes) {
        Ok(Datagram::Streams(mut list)) => {
            let sends = std::mem::take(&mut list.sends);
            let now = Instant::now();
            list.add_age(now.saturating_duration_since(since));
            state.retries().merge(list.origin, sends, now);
            state.known.targets().merge_placements(list, now);
        }
        Ok(Datagram::Notes(notes)) => state
            .known
            .targets()
            .merge_prompt_locations(&notes, Instant::now()),
        Ok(Datagram::Notice(notice)) => receive_notice(state, notice, since),
        Ok(Datagram::Stage(stage)) => state.rollouts.hear_stage(stage, since),
        Ok(Datagram::Report(service, report)) => state.rollouts.hear_report(&service, report),
        Err(error) => log::warn!(error:% = error; "a datagram of a peer cannot be read"),
    }
}

fn receive_notice(state: &Arc<RelayState>, notice: Notice, since: Instant) {
    let now = Instant::now();
    let known = &state.known;
    state.duty.watchers().record(notice, now);
    if let Some(seen) = notice.observation(since) {
        known.observe(seen);
    }
    if let Some(seen) = notice.targets_observation(since) {
        known.observe_targets(seen);
    }
    known.report_config(notice.config, now);
    known.targets_freshness().report(notice.revision, now);
    if notice.is_superseded {
        known.freshness().record_transfer(notice.config, now);
    }
    if state.newest_config() > state.known.version() {
        state.newer_config.notify_one();
    }
    target_sync::request_targets(state);
}

async fn tell(state: &RelayState, socket: &UdpSocket, lists: &mut PlacementSchedule) {
    let sequence = state.sequence.fetch_add(1, Relaxed) + 1;
    let fleet = state.fleet.load_full();
    let since = lists.record_sent(state.sharers(), Instant::now());
    let list = list(state, fleet.origin, sequence, since);
    send(socket, &fleet.group, &Datagram::Streams(list)).await;
}

/// Tells those of other groups where prompts were sent.
async fn note(state: &RelayState, socket: &UdpSocket, notes: &mut PromptLocationSchedule) {
    let fleet = state.fleet.load_full();
    if !notes.take_due(fleet.strangers.len(), Instant::now()) {
        return;
    }
    let taken = state.known.targets().take_prompt_locations();
    if !taken.is_empty() {
        send(socket, &fleet.strangers, &Datagram::Notes(taken)).await;
    }
}

fn list(state: &RelayState, origin: u64, sequence: u64, since: Option<Instant>) -> Placements {
    let now = Instant::now();
    let mut targets = state.known.targets();
    if since.is_none() {
        targets.sweep(now);
    }
    let list = targets.placements(origin, sequence, since, now);
    drop(targets);
    Placements {
        sends: state.retries().sends(now),
        ..list
    }
}

/// Says what is known of the store, if others are to hear it of this instance.
async fn say(state: &RelayState, socket: &UdpSocket) {
    let fleet = state.fleet.load_full();
    if fleet.told.is_empty() {
        return;
    }
    let now = Instant::now();
    // What comes in force meanwhile must not be reported with the age of what was in force before, so ages go first.
    let freshness = state.known.freshness().clone();
    let targets_age = state.known.targets_freshness().age(now);
    let (revision, config) = (state.known.revision(), state.known.version());
    let heard = || state.duty.watchers().age(revision, config, now);
    let Some(age) = state.duty.age(now).or_else(heard) else {
        return;
    };
    let notice = Notice {
        origin: fleet.origin,
        revision,
        config,
        config_revision: freshness.revision().unwrap_or_default(),
        config_age_ms: freshness.age(now).map(millis),
        targets_age_ms: targets_age.map(millis),
        is_superseded: state.known.is_receiving.load(Relaxed),
        age_ms: millis(age),
    };
    send(socket, &fleet.told, &Datagram::Notice(notice)).await;
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// What cannot be sent is left out: the next datagram says the same and more.
pub(super) async fn send(socket: &UdpSocket, peers: &[SocketAddr], datagram: &Datagram) {
    match bincode::serialize(datagram) {
        Ok(bytes) if bytes.len() <= DATAGRAM => {
            for peer in peers {
                let _ = socket.send_to(&bytes, peer).await;
            }
        }
        Ok(bytes) => log::warn!(len = bytes.len(); "a datagram is too long"),
        Err(error) => log::error!(error:% = error; "a datagram cannot be written"),
    }
}
