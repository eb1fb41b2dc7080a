//! The planned stop of the instance.

use std::{
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_relay::PlannedStop;
use tokio::time::{sleep, timeout_at, Instant};

use super::{members, state::RelayState};

/// The interval between two checks whether other instances accept callers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stops the instance. It accepts no new callers as soon as other instances do, and open requests
/// may be completed within the grace period.
pub(super) async fn run(state: &Arc<RelayState>) {
    let grace = state.settings.load().bounds.grace;
    let planned_stop = PlannedStop::new(Instant::now(), grace);
    log::info!(grace_ms = grace.as_millis() as u64, open = state.caller_connections.len(); "stopping");
    state.planned_stop.store(Some(Arc::new(planned_stop)));
    state.stopping.cancel();
    members::announce_leaving(state);
    accept_until_closed(state, &planned_stop).await;
    state.closed.cancel();
    state.caller_connections.close();
    log_step(state, &planned_stop, "waiting for callers");
    let is_done = timeout_at(planned_stop.cutoff(), state.caller_connections.wait())
        .await
        .is_ok();
    log::info!(
        is_done,
        open = state.caller_connections.len(),
        requests = state.open_requests.load(Relaxed),
        streams = state.open_streams.load(Relaxed);
        "stopped"
    );
    state.killed.cancel();
    state.ending.cancel();
    log_step(state, &planned_stop, "waiting for tasks");
}

/// Logs what the stop waits for, and how long it has taken.
fn log_step(state: &RelayState, planned_stop: &PlannedStop, step: &str) {
    let left = planned_stop
        .cutoff()
        .saturating_duration_since(Instant::now());
    log::info!(
        step,
        left_ms = left.as_millis() as u64,
        open = state.caller_connections.len(),
        requests = state.open_requests.load(Relaxed),
        streams = state.open_streams.load(Relaxed),
        tasks = state.tasks.len();
        "stop continues"
    );
}

/// Waits until no more callers are accepted. All are accepted at first, and then only as long as
/// there are too few other instances and some connection is still open. An instance without open
/// connections stops early, so that it restarts sooner.
async fn accept_until_closed(state: &RelayState, planned_stop: &PlannedStop) {
    let mut is_waiting_for_peers = false;
    loop {
        let now = Instant::now();
        let others = members::peer_counts(state);
        let has_work = !state.caller_connections.is_empty();
        let is_needed = has_work && planned_stop.accepts_callers(others, now);
        let has_accept_time_ended = !planned_stop.accepts_all(now);
        if has_accept_time_ended && !is_needed {
            log::info!(live = others.live, leaving = others.leaving, has_work; "closed to callers");
            return;
        }
        if has_accept_time_ended && !is_waiting_for_peers {
            is_waiting_for_peers = true;
            log::info!(live = others.live, leaving = others.leaving; "too few other instances accept callers, staying open");
        }
        sleep(POLL_INTERVAL).await;
    }
}
