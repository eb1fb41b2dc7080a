//! Records what targets state about themselves in the heads of their responses.

use celerypond_telemetry::Counter;
use http::StatusCode;

use super::{attempt::OpenResponse, lease::Lease, state::RelayState};

/// Records what a target states in its response to a request.
pub(super) fn record(state: &RelayState, lease: &Lease, request: &str, response: &OpenResponse) {
    let (head, target) = (&response.head, lease.name.as_str());
    if response.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(time) = head.retry_after
    {
        state.metrics.add(Counter::CooldownsStated, 1);
        log::info!(request, target, time_ms = time.as_millis() as u64; "target wants no requests for some time");
    }
    if head.is_leaving {
        state.metrics.add(Counter::LeavingStated, 1);
        log::info!(request, target, status = response.status.as_u16(); "target states that it leaves");
    }
}
