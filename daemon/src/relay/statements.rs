//! Records what targets state about themselves in the heads of their responses.

use std::time::Duration;

use celerypond_telemetry::Counter;
use http::StatusCode;
use tokio::time::Instant;

use super::{attempt::OpenResponse, lease::Lease, state::RelayState};

/// Records what a target states in its response to a request.
pub(super) fn record(state: &RelayState, lease: &Lease, request: &str, response: &OpenResponse) {
    if let Some(time) = stated_cooldown(response) {
        record_cooldown(state, lease, request, time);
    }
    if response.head.is_leaving {
        state.metrics.add(Counter::LeavingStated, 1);
        log::info!(request, target = lease.name.as_str(), status = response.status.as_u16(); "target states that it leaves");
    }
}

/// Returns for how long the target wants no requests, if it has rejected this one.
fn stated_cooldown(response: &OpenResponse) -> Option<Duration> {
    let is_rejection = response.status == StatusCode::SERVICE_UNAVAILABLE;
    response.head.retry_after.filter(|_| is_rejection)
}

fn record_cooldown(state: &RelayState, lease: &Lease, request: &str, time: Duration) {
    state.metrics.add(Counter::CooldownsStated, 1);
    let (instances, now) = (state.instance_count(), Instant::now());
    let mut targets = state.view.targets();
    let Some(target) = targets.get_mut(lease.key) else {
        return;
    };
    let cooldown = &mut target.cooldown;
    let begins = cooldown.record_statement(time, instances, rand::random(), now);
    drop(targets);
    if begins {
        log::info!(request, target = lease.name.as_str(), time_ms = time.as_millis() as u64; "cool-down of a target began");
    }
}

/// Records that a target accepted or answered a request that was sent at a moment.
pub(super) fn record_acceptance(
    state: &RelayState,
    lease: &Lease,
    response: &OpenResponse,
    sent: Instant,
) {
    if stated_cooldown(response).is_some() {
        return;
    }
    let mut targets = state.view.targets();
    let target = targets.get_mut(lease.key);
    let held = target.and_then(|target| target.cooldown.record_acceptance(sent, Instant::now()));
    drop(targets);
    if let Some(held) = held {
        log::info!(target = lease.name.as_str(), held_ms = held.as_millis() as u64; "cool-down of a target ended");
    }
}
