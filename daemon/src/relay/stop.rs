//! The planned stop.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep_until, timeout_at, Instant};

use super::{members, site::Site};

/// The part of the grace for which new connections are still taken: callers keep an answer of the
/// directory for a while, and what they begin then must end within the grace.
const ACCEPT_SHARE: u32 = 5;
/// How long before the end of the grace callers are cut off: background work has to end and lines
/// have to be written, or the process is killed with them.
const BEFORE_KILL: Duration = Duration::from_millis(350);

/// Stops the instance: it takes no new callers, and what runs ends within the grace.
pub(super) async fn run(site: &Arc<Site>) {
    let begun = Instant::now();
    let grace = site.settings.load().bounds.grace;
    log::info!(grace_ms = grace.as_millis() as u64, open = site.served.len(); "stopping");
    site.stopping.cancel();
    members::leave(site);
    sleep_until(begun + grace / ACCEPT_SHARE).await;
    site.closed.cancel();
    site.served.close();
    let end = begun + grace.saturating_sub(BEFORE_KILL);
    let is_done = timeout_at(end, site.served.wait()).await.is_ok();
    log::info!(is_done, open = site.served.len(); "stopped");
    site.killed.cancel();
    site.ending.cancel();
}
