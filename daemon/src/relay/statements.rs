//! Records what targets state about themselves in the heads of their responses.

use std::{net::SocketAddr, time::Duration};

use celerypond_adapter::headers;
use celerypond_relay::{LeavingNotice, Target, TargetResponseHead, Targets};
use celerypond_telemetry::Counter;
use celerypond_types::{TargetKey, TargetName};
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use super::{attempt::OpenResponse, datagrams::Datagram, lease::Lease, state::RelayState};

/// The process of a target that responded.
#[derive(Clone, Copy)]
struct Respondent {
    key: TargetKey,
    /// When it started, in milliseconds of Unix time.
    born: Option<u64>,
}

impl Respondent {
    /// Returns the process that responded to a request. Another one than the intended one has taken
    /// over its address.
    fn to_request(targets: &Targets, lease: &Lease, status: StatusCode) -> Option<Self> {
        if status != StatusCode::MISDIRECTED_REQUEST {
            return Some(Self {
                key: lease.key,
                born: lease.born,
            });
        }
        let owner = Self::at(targets, lease.address);
        owner.filter(|owner| owner.key != lease.key)
    }

    /// Returns the process that responds at an address.
    fn at(targets: &Targets, address: SocketAddr) -> Option<Self> {
        Self::current(targets, targets.owner_of(address)?)
    }

    /// Returns the current process of a target.
    fn current(targets: &Targets, key: TargetKey) -> Option<Self> {
        let born = targets.get(key)?.entry.born;
        Some(Self { key, born })
    }

    /// Returns the state of the target unless another process has its name by now.
    fn target(self, targets: &mut Targets) -> Option<&mut Target> {
        let target = targets.get_mut(self.key)?;
        (target.entry.born == self.born).then_some(target)
    }
}

/// Records what a target states in its response to a request.
pub(super) fn record(state: &RelayState, lease: &Lease, request: &str, response: &OpenResponse) {
    let (status, head) = (response.status, &response.head);
    if !states_something(status, head) {
        return;
    }
    let respondent = Respondent::to_request(&state.view.targets(), lease, status);
    if let Some(respondent) = respondent {
        record_head(state, respondent, Some(request), status, head);
    }
}

/// Records what a target states in its response to a call other than a request.
pub(super) fn record_call(
    state: &RelayState,
    address: SocketAddr,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let head = headers::parse_target_response(headers);
    if !states_something(status, &head) {
        return;
    }
    let respondent = Respondent::at(&state.view.targets(), address);
    if let Some(respondent) = respondent {
        record_head(state, respondent, None, status, &head);
    }
}

/// Records that a target states that it leaves, in a response that another instance relayed.
pub(super) fn record_relayed(state: &RelayState, name: &TargetName) {
    let respondent = {
        let targets = state.view.targets();
        let key = targets.key_of(name);
        key.and_then(|key| Respondent::current(&targets, key))
    };
    if let Some(respondent) = respondent {
        record_leaving(state, respondent, None, "instance");
    }
}

fn record_head(
    state: &RelayState,
    respondent: Respondent,
    request: Option<&str>,
    status: StatusCode,
    head: &TargetResponseHead,
) {
    if let Some(time) = stated_cooldown(status, head) {
        state.metrics.add(Counter::CooldownsStated, 1);
        record_cooldown(state, respondent, request, time);
    }
    if head.is_leaving {
        state.metrics.add(Counter::LeavingStated, 1);
        record_leaving(state, respondent, request, "response");
    }
}

fn states_something(status: StatusCode, head: &TargetResponseHead) -> bool {
    head.is_leaving || stated_cooldown(status, head).is_some()
}

/// Returns for how long the target wants no requests, if it has rejected this one.
fn stated_cooldown(status: StatusCode, head: &TargetResponseHead) -> Option<Duration> {
    let is_rejection = status == StatusCode::SERVICE_UNAVAILABLE;
    head.retry_after.filter(|_| is_rejection)
}

fn record_cooldown(
    state: &RelayState,
    respondent: Respondent,
    request: Option<&str>,
    time: Duration,
) {
    let (instances, now) = (state.instance_count(), Instant::now());
    let mut targets = state.view.targets();
    let Some(target) = respondent.target(&mut targets) else {
        return;
    };
    let cooldown = &mut target.cooldown;
    if cooldown.record_statement(time, instances, rand::random(), now) {
        let name = target.entry.name.clone();
        drop(targets);
        log::info!(request, target = name.as_str(), time_ms = time.as_millis() as u64; "cool-down of a target began");
    }
}

fn record_leaving(state: &RelayState, respondent: Respondent, request: Option<&str>, source: &str) {
    let mut targets = state.view.targets();
    let Some(target) = respondent.target(&mut targets) else {
        return;
    };
    if !target.record_leaving(respondent.born) {
        return;
    }
    let notice = LeavingNotice {
        target_hash: target.name_hash,
        born: respondent.born,
    };
    let name = target.entry.name.clone();
    drop(targets);
    log::info!(request, target = name.as_str(), source; "target leaves by its own statement");
    state.notify_peers(Datagram::Leaving(notice));
}

/// Handles the notice of another instance to which a target stated that it leaves.
pub(super) fn receive(state: &RelayState, notice: LeavingNotice) {
    let mut targets = state.view.targets();
    let Some(target) = targets.by_hash_mut(notice.target_hash) else {
        return;
    };
    if target.record_leaving(notice.born) {
        let name = target.entry.name.clone();
        drop(targets);
        log::info!(target = name.as_str(), source = "notice"; "target leaves by its own statement");
    }
}

/// Records that a target accepted or answered a request that was sent at a moment.
pub(super) fn record_acceptance(
    state: &RelayState,
    lease: &Lease,
    response: &OpenResponse,
    sent: Instant,
) {
    if stated_cooldown(response.status, &response.head).is_some() {
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
