//! Counts the targets that end while they run a request, over all instances.

use std::{sync::Arc, time::Duration};

use celerypond_relay::{
    AttemptFailure, LossNotice, Prompt, RequestFingerprint, Separation, Target,
};
use celerypond_telemetry::Counter;
use celerypond_types::{AccountName, TargetKey};
use smol_str::SmolStr;
use tokio::time::{sleep, Instant};

use super::{
    attempt::CallerRequest,
    datagrams::Datagram,
    lease::Lease,
    prompt_parts::PromptParts,
    reachability::{is_partitioned_from, probe},
    request::Origin,
    state::RelayState,
};

/// The number of ends from which other instances are notified at once. A stream that lost one engine
/// is resumed here, and other instances have to know only if it fails.
const MIN_NOTIFIED: usize = 2;

/// How long a request that must not lose another target waits for the notices of others that lost
/// the same ones at the same moment.
const NOTICE_TIME: Duration = Duration::from_millis(20);

/// The targets that ended while they ran a request and earlier attempts of its caller.
pub(super) struct RequestLosses {
    state: Arc<RelayState>,
    id: SmolStr,
    key: RequestFingerprint,
    origin: Origin,
}

impl RequestLosses {
    pub(super) fn new(
        state: &Arc<RelayState>,
        request: &CallerRequest,
        prompt: Option<&Prompt>,
        account: Option<&AccountName>,
        origin: Origin,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            id: request.id.clone(),
            key: key_of(request, prompt, account),
            origin,
        }
    }

    /// Returns how long the request must not be sent to any target; `None` if it may be.
    pub(super) fn blocked_for(&self) -> Option<Duration> {
        self.state.losses().blocked_for(self.key, Instant::now())
    }

    /// Returns whether the request may be sent to another target if this number of targets that run
    /// it are about to end.
    pub(super) fn allows(&self, ending: usize) -> bool {
        let losses = self.state.losses();
        losses.allows(self.key, ending, Instant::now())
    }

    /// Waits until other instances have reported which requests lost the same targets, if the request
    /// must not lose another one, or if `is_suspect`.
    pub(super) async fn wait_notices(&self, is_suspect: bool) {
        if is_suspect || !self.allows(1) {
            sleep(NOTICE_TIME).await;
        }
    }

    /// Returns where the request runs apart from others, if it must not lose another target.
    pub(super) fn separation(&self) -> Option<Separation> {
        self.state.losses().separation(self.key, Instant::now())
    }

    /// Records that a target ended while it ran the request. Returns whether it counts: a target that
    /// was leaving has ended as planned.
    pub(super) fn record(&self, lease: &Lease, parts: &PromptParts) -> bool {
        let targets = self.state.view.targets();
        let is_listed = targets.get(lease.key).is_some_and(Target::is_ready);
        drop(targets);
        if !is_listed {
            return false;
        }
        let now = Instant::now();
        let count = self.state.losses().record(self.key, lease.run(), now);
        self.state.metrics.add(Counter::TargetsEnded, 1);
        log::warn!(
            request = self.id.as_str(),
            target = lease.name.as_str(),
            parts:% = parts,
            leased_ms = lease.age().as_millis() as u64,
            answered_ms = lease.answer_age().map(|age| age.as_millis() as u64),
            ended = count;
            "target ended under a request"
        );
        if count >= MIN_NOTIFIED || self.origin == Origin::Peer {
            self.notify();
        }
        true
    }

    /// Records that the request is not sent on because too many targets ended under it.
    pub(super) fn record_blocked(&self) {
        self.state.metrics.add(Counter::RequestsBlocked, 1);
        log::warn!(request = self.id.as_str(); "request not sent on, too many targets ended under it");
    }

    /// Records that a target ran the request to its end.
    pub(super) fn forget(&self) {
        self.state.losses().forget(self.key);
    }

    /// Returns the notice for an instance through which the request is relayed.
    pub(super) fn notice(&self) -> Option<LossNotice> {
        self.state.losses().notice(self.key, Instant::now())
    }

    fn notify(&self) {
        let notice = self.state.losses().take_notice(self.key, Instant::now());
        if let Some(notice) = notice {
            self.state.notify_peers(Datagram::Losses(notice));
        }
    }
}

impl Drop for RequestLosses {
    /// Notifies other instances, as the caller may retry there.
    fn drop(&mut self) {
        self.notify();
    }
}

/// Returns the key of a request. A caller that retries sends the same content with another id, and
/// a caller that resumes a stream with the id of its last event. A prompt is identified by its last
/// part, which only this request or its session has.
fn key_of(
    request: &CallerRequest,
    prompt: Option<&Prompt>,
    account: Option<&AccountName>,
) -> RequestFingerprint {
    let part = prompt.and_then(|prompt| prompt.parts.last());
    let part = part.map(|part| part.id.to_le_bytes());
    let uri = request.uri.to_string();
    let fields = [
        account.map_or("", AccountName::as_str).as_bytes(),
        request.method.as_str().as_bytes(),
        uri.as_bytes(),
    ];
    let fields = fields.into_iter();
    match &part {
        Some(part) => RequestFingerprint::of_content(fields.chain([part.as_slice()])),
        None => {
            let segments = request.body.segments().map(|segment| &segment[..]);
            RequestFingerprint::of_content(fields.chain(segments))
        }
    }
}

/// Returns the failure of an attempt whose connection broke: whether its target has ended as well.
///
/// Connections also break by themselves, so the target is probed with a new one.
pub(super) async fn confirm_end(state: &RelayState, lease: &Lease) -> AttemptFailure {
    let is_alive = probe(state, lease.key).await;
    if is_partitioned_from(state, lease.key) || (is_alive && !is_replaced(state, lease)) {
        return AttemptFailure::Broken;
    }
    log::info!(target = lease.name.as_str(), address:% = lease.address; "target dead");
    AttemptFailure::Ended
}

fn is_replaced(state: &RelayState, lease: &Lease) -> bool {
    let (key, born): (TargetKey, Option<u64>) = (lease.key, lease.born);
    state.view.targets().is_replaced(key, lease.address, born)
}
