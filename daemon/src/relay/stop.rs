//! The planned stop.

use std::{sync::Arc, time::Duration};

use celerypond_relay::PlannedStop;
use tokio::time::{sleep, timeout_at, Instant};

use super::{members, site::Site};

/// The time between two looks whether others take callers.
const LOOK: Duration = Duration::from_millis(50);

/// Stops the instance: it takes no new callers as soon as others do, and what runs ends within the grace.
pub(super) async fn run(site: &Arc<Site>) {
    let grace = site.settings.load().bounds.grace;
    let stop = PlannedStop::new(Instant::now(), grace);
    log::info!(grace_ms = grace.as_millis() as u64, open = site.served.len(); "stopping");
    site.stop.store(Some(Arc::new(stop)));
    site.stopping.cancel();
    members::leave(site);
    take_callers(site, &stop).await;
    site.closed.cancel();
    site.served.close();
    let is_done = timeout_at(stop.cutoff(), site.served.wait()).await.is_ok();
    log::info!(is_done, open = site.served.len(); "stopped");
    site.killed.cancel();
    site.ending.cancel();
}

/// Waits until no more callers are taken: at first all are, and then as long as others are too few and
/// something is still served. An instance that has nothing left to do starts anew the sooner.
async fn take_callers(site: &Site, stop: &PlannedStop) {
    let mut is_alone = false;
    loop {
        let now = Instant::now();
        let others = members::others(site);
        let has_work = !site.served.is_empty();
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
