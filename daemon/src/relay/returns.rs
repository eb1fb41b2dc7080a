//! Exchanges the callers that instances put off and that have not returned.

use celerypond_relay::{Placements, ReturnNotice, ReturnTiming, Returned};
use celerypond_telemetry::Counter;
use tokio::{net::UdpSocket, time::Instant};

use super::{
    datagrams::{self, Datagram},
    state::RelayState,
};

/// Sends the callers that were put off since the last time, if there are any.
pub(super) async fn send_notices(state: &RelayState, socket: &UdpSocket) {
    let now = Instant::now();
    state.returns().sweep(now);
    let fleet = state.fleet.load_full();
    loop {
        let notices = state.returns().take_notices(now);
        if notices.is_empty() {
            return;
        }
        datagrams::send(socket, &fleet.group, &Datagram::Returns(notices)).await;
    }
}

/// Handles the notices of another instance, which arrived at this moment at the earliest.
pub(super) fn receive(state: &RelayState, notices: &[ReturnNotice], earliest_arrival: Instant) {
    state.returns().merge(notices, earliest_arrival);
}

/// Removes the callers whose streams run at another instance.
pub(super) fn remove_placed(state: &RelayState, placements: &Placements) {
    let parts = placements.streams.iter().map(|stream| stream.part);
    state.returns().remove_placed(parts);
}

/// Records that the caller of a prompt part has come, and returns whether and when it was put off.
pub(super) fn claim(state: &RelayState, request: &str, part: u64) -> Option<Returned> {
    let now = Instant::now();
    let returned = state.returns().claim(part, now)?;
    let counter = match returned.timing {
        ReturnTiming::Early => Some(Counter::ReturnsEarly),
        ReturnTiming::OnTime => Some(Counter::ReturnsOnTime),
        ReturnTiming::Expired => Some(Counter::ReturnsExpired),
        ReturnTiming::Again => None,
    };
    if let Some(counter) = counter {
        state.metrics.add(counter, 1);
    }
    if returned.is_early() {
        log::info!(
            request,
            part,
            waited_ms = now.saturating_duration_since(returned.since).as_millis() as u64,
            due_before = returned.due_before;
            "caller returned earlier than it was told"
        );
    }
    Some(returned)
}
