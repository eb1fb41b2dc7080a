//! Reports engines that end under requests to the quarantine of prompt parts, and asks it whether a
//! request may be sent.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use celerypond_relay::{PartAccess, PartKey, PartNotice, PartQuarantine, Prompt, TargetRun};
use celerypond_telemetry::Counter;
use celerypond_types::ServiceName;
use rand::seq::IndexedRandom as _;
use tokio::{
    net::UdpSocket,
    time::{sleep, Instant},
};

use super::{
    datagrams::{self, Datagram},
    lease::Lease,
    members,
    state::RelayState,
};

/// How long an instance waits for concurrent claims of others before it probes a part.
const CLAIM_TIME: Duration = Duration::from_millis(50);
/// The number of instances to which the quarantined parts are sent at each interval.
const SUMMARY_RECIPIENTS: usize = 2;
/// The number of instances that are queried for them.
const QUERY_RECIPIENTS: usize = 3;

/// The parts of a request's prompt that other requests may share.
pub(super) struct PromptParts {
    state: Arc<RelayState>,
    parts: Vec<PartKey>,
    /// Whether the request probes those that are quarantined.
    is_probe: bool,
}

/// Writes the ids of the parts as callers do.
impl fmt::Display for PromptParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids: Vec<String> = self.parts.iter().map(PartKey::to_string).collect();
        f.write_str(&ids.join(","))
    }
}

impl PromptParts {
    /// Returns the parts of a request. Plain services have no prompts, so they are ignored for them.
    pub(super) fn new(
        state: &Arc<RelayState>,
        service: &ServiceName,
        prompt: Option<&Prompt>,
    ) -> Self {
        let table = state.view.table();
        let has_engines = table
            .service(service)
            .is_some_and(|service| service.engine.is_some());
        let shared = prompt.filter(|_| has_engines).map(Prompt::shared_parts);
        let ids = shared.unwrap_or_default().into_iter();
        let parts: Vec<PartKey> = ids.map(|id| PartKey::new(service, id)).collect();
        state.parts().record_request(&parts, Instant::now());
        Self {
            state: Arc::clone(state),
            parts,
            is_probe: false,
        }
    }

    /// Records that an engine began to answer the request.
    pub(super) fn record_begin(&self, lease: &Lease) {
        let mut quarantine = self.state.parts();
        quarantine.record_begin(&self.parts, lease.run(), Instant::now());
    }

    /// Records that an engine ended which had begun to answer the request `answered` before.
    pub(super) fn record_end(&mut self, target: TargetRun, answered: Option<Duration>) {
        self.is_probe = false;
        let mut quarantine = self.state.parts();
        let notice = quarantine.record_end(&self.parts, target, answered, Instant::now());
        report_changes(&self.state, &mut quarantine, "instance");
        drop(quarantine);
        if let Some(notice) = notice {
            self.state.notify_peers(Datagram::Parts(notice));
        }
    }

    /// Returns whether another end under the request quarantines one of its parts.
    pub(super) fn is_near_limit(&self) -> bool {
        self.state.parts().is_near_limit(&self.parts)
    }

    /// Returns how long the request must not be sent to any engine; `None` if it may be, also as a
    /// probe.
    pub(super) fn blocked_for(&self) -> Option<Duration> {
        if self.is_probe {
            return None;
        }
        match self.state.parts().access(&self.parts, Instant::now()) {
            PartAccess::Allowed | PartAccess::ProbeDue => None,
            PartAccess::Blocked(due) => Some(due),
        }
    }

    /// Waits until it is known whether the request may be sent to an engine, and returns that.
    pub(super) async fn acquire(&mut self) -> bool {
        if self.is_probe {
            return true;
        }
        match self.state.parts().access(&self.parts, Instant::now()) {
            PartAccess::Allowed => return true,
            PartAccess::Blocked(_) => return false,
            PartAccess::ProbeDue => {}
        }
        let origin = self.state.fleet.load().origin;
        let claim = self
            .state
            .parts()
            .claim_probe(&self.parts, origin, Instant::now());
        self.state.notify_peers(Datagram::Parts(claim));
        sleep(CLAIM_TIME).await;
        self.is_probe = self
            .state
            .parts()
            .holds_probe(&self.parts, origin, Instant::now());
        self.is_probe
    }

    /// Records that the request is not sent to an engine.
    pub(super) fn record_blocked(&self, request: &str) {
        self.state.metrics.add(Counter::RequestsQuarantined, 1);
        let part = self.state.parts().blocked_part(&self.parts, Instant::now());
        log::warn!(
            request,
            part = part.map(|part| part.to_string());
            "request not sent, engines ended under a part of its prompt"
        );
    }
}

/// Clears the parts of answers that engines have survived.
pub(super) fn poll(state: &RelayState) {
    let mut quarantine = state.parts();
    let notice = quarantine.poll(Instant::now());
    report_changes(state, &mut quarantine, "instance");
    drop(quarantine);
    if let Some(notice) = notice {
        state.notify_peers(Datagram::Parts(notice));
    }
}

/// Handles the notice of another instance, and returns the response to it.
pub(super) fn receive(state: &RelayState, notice: PartNotice) -> Option<PartNotice> {
    let mut quarantine = state.parts();
    let response = quarantine.merge(notice, Instant::now());
    report_changes(state, &mut quarantine, "peer");
    response
}

/// Queries the instances that the settings name for the parts that they have quarantined. They answer
/// before this instance knows the configuration and the targets, and sends anything.
pub(super) async fn query_seeds(state: &RelayState, socket: &UdpSocket) {
    let settings = state.settings.load_full();
    let seeds = members::seed_addresses(&settings).take(QUERY_RECIPIENTS);
    let seeds: Vec<SocketAddr> = seeds.collect();
    datagrams::send(socket, &seeds, &Datagram::Parts(PartNotice::Query)).await;
}

/// Sends the quarantined parts to some other instances, as notices may have been lost.
pub(super) async fn send_summary(state: &RelayState, socket: &UdpSocket) {
    let Some(summary) = state.parts().summary(Instant::now()) else {
        return;
    };
    let fleet = state.fleet.load_full();
    let peers = fleet
        .live_peers
        .choose_multiple(&mut rand::rng(), SUMMARY_RECIPIENTS);
    let peers: Vec<SocketAddr> = peers.copied().collect();
    datagrams::send(socket, &peers, &Datagram::Parts(summary)).await;
}

/// Logs which parts were quarantined or cleared.
fn report_changes(state: &RelayState, quarantine: &mut PartQuarantine, source: &str) {
    for change in quarantine.take_changes() {
        if change.is_quarantined {
            state.metrics.add(Counter::PartsQuarantined, 1);
        }
        log::warn!(
            part = change.part.to_string(),
            is_quarantined = change.is_quarantined,
            ended = change.ended,
            source;
            "quarantine of a prompt part changed"
        );
    }
}
