//! Exchanges the limits that targets state for their rate of requests, and the requests that were
//! sent within them.

use celerypond_relay::{RateEvent, RateNotice, Target};
use celerypond_types::TargetKey;
use tokio::time::Instant;

use super::{datagrams::Datagram, state::RelayState};

/// Records the limit in a target's response to a request that was sent at a moment.
pub(super) fn record_statement(
    state: &RelayState,
    key: TargetKey,
    rate: Option<f64>,
    sent: Instant,
) {
    let now = Instant::now();
    let mut targets = state.view.targets();
    let Some(target) = targets.get_mut(key) else {
        return;
    };
    let previous = target.rate_limit.stated();
    if target.rate_limit.record_statement(rate, sent, now) {
        log_change(target, previous, "response", now);
        notify(state, target, RateEvent::Stated(rate));
    }
}

/// Counts a request that is sent to a target.
pub(super) fn spend(state: &RelayState, target: &mut Target) {
    let instances = state.instance_count();
    let limit = &mut target.rate_limit;
    if let Some(event) = limit.spend(instances, rand::random(), Instant::now()) {
        notify(state, target, event);
    }
}

/// Handles the notice of another instance.
pub(super) fn receive(state: &RelayState, notice: RateNotice) {
    let (instances, now) = (state.instance_count(), Instant::now());
    let mut targets = state.view.targets();
    let Some(target) = targets.by_hash_mut(notice.target_hash) else {
        return;
    };
    let previous = target.rate_limit.stated();
    let limit = &mut target.rate_limit;
    limit.merge(notice.origin, notice.event, instances, now);
    if matches!(notice.event, RateEvent::Stated(_)) {
        log_change(target, previous, "instance", now);
    }
}

fn notify(state: &RelayState, target: &Target, event: RateEvent) {
    state.notify_peers(Datagram::Rate(RateNotice {
        origin: state.fleet.load().origin,
        target_hash: target.name_hash,
        event,
    }));
}

/// Logs that the limit of a target begins, changes or ends.
fn log_change(target: &Target, previous: Option<(f64, Instant)>, source: &str, now: Instant) {
    let limit = target.rate_limit.stated();
    if limit.map(|(rate, _)| rate) == previous.map(|(rate, _)| rate) {
        return;
    }
    let since = previous.map(|(_, since)| now.saturating_duration_since(since));
    log::info!(
        target = target.entry.name.as_str(),
        limit = limit.map(|(rate, _)| rate),
        previous = previous.map(|(rate, _)| rate),
        limited_ms = since.map(|since| since.as_millis() as u64),
        source;
        "rate limit of a target changed"
    );
}
