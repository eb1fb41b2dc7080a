//! The planned stop.

use std::{sync::Arc, time::Duration};

use celerypond_relay::PlannedStop;
use tokio::time::{sleep, timeout_at, Instant};

use super::{members, state::RelayState};

/// The time between two looks whether others take callers.
const LOOK: Duration = Duration::from_millis(50);

/// Stops the instance: it takes no new callers as soon as others do, and what runs ends within the grace.
pub(super) async fn run(state: &Arc<RelayState>) {
    let grace = state.settings.load().bounds.grace;
    let stop = PlannedStop::new(Instant::now(), grace);
    log::info!(grace_ms = grace.as_millis() as u64, open = state.served.len(); "stopping");
    state.stop.store(Some(Arc::new(stop)));
    state.stopping.cancel();
    members::leave(state);
    take_callers(state, &stop).await;
    state.closed.cancel();
    state.served.close();
    let is_done = timeout_at(stop.cutoff(), state.served.wait()).await.is_ok();
    log::info!(is_done, open = state.served.len(); "stopped");
    state.killed.cancel();
    state.ending.cancel();
}

/// Waits until no more callers are taken: at first all are, and then as long as others are too few and
/// something is still served. An instance that has nothing left to do starts anew the sooner.
async fn take_callers(state: &RelayState, stop: &PlannedStop) {
    let mut is_alone = false;
    loop {
        let now = Instant::now();
        let others = members::others(state);
        let has_work = !state.served.is_empty();
        let is_needed = has_work && stop.accepts_callers(others, now);
        let is_over = !stop.accepts_all(now);
        if is_over && !is_needed {
            log::info!(live = others.live, leaving = others.leaving, has_work; "no more callers");
            return;
        }
        if is_over && !is_alone {
            is_alone = true;
            log::info!(live = others.live, leaving = others.leaving; "too few others take callers");
        }
        sleep(LOOK).await;
    }
}
