//! Relays requests whose response is not a stream.

use std::{pin::pin, time::Duration};

use celerypond_relay::{
    running_timeout_at, AttemptFailure, NextStep, SilenceLimits, TargetRequestHead,
};
use tokio::time::Instant;

use super::{
    attempt::{read_body, send, OpenResponse},
    lease::{record_unresponsive, Lease},
    peer_relay::{self, PeerResponse, ResumedRun},
    reply::{self, Reason, Reply},
    routed_request::RoutedRequest,
};

/// The minimum interval between two checks whether a silent target can be given up.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Relays a request whose response is not a stream.
///
/// The response is read completely before its first byte is sent to the caller. A response that
/// breaks off can then be retried if that is allowed, and never looks complete.
pub(super) async fn relay(mut request: RoutedRequest) -> Reply {
    let mut failed_reply = None;
    loop {
        // Contact with the store and the peers may have been lost since the request was admitted.
        request.wait_targets().await;
        if let Err(next) = request.check_losses().await {
            return finish(request, next, failed_reply).await;
        }
        if request.prefers_peer()
            && let Some(reply) = relay_through_peer(&mut request).await
        {
            return reply;
        }
        let Some(mut lease) = request.lease_target() else {
            // A target that accepted the request may have run it, even if none is left to ask.
            let next = request.step_without_target();
            return finish(request, next, failed_reply).await;
        };
        let started = Instant::now();
        let result = try_target(&request, &mut lease).await;
        record_result(&request, &lease, &result, started);
        let failure = match result {
            Ok(reply) if is_final(&request, &reply) => {
                request.record_response(&lease, reply.status(), started.elapsed());
                request.losses.forget();
                return reply;
            }
            Ok(reply) => {
                let status = reply.status().as_u16();
                failed_reply = Some(reply);
                AttemptFailure::Failed(status)
            }
            Err(failure) => failure,
        };
        let next = request.record_failure(&lease, failure).await;
        if next != NextStep::Elsewhere {
            return finish(request, next, failed_reply).await;
        }
    }
}

/// Answers a request for which no target is left to try. If this instance could not connect to
/// those that it tried, another instance may.
async fn finish(mut request: RoutedRequest, next: NextStep, failed_reply: Option<Reply>) -> Reply {
    let may_use_peer = next == NextStep::NotRun && request.may_use_peer();
    if may_use_peer && let Some(reply) = relay_through_peer(&mut request).await {
        return reply;
    }
    failed_reply.unwrap_or_else(|| reply::final_reply(next, &request))
}

/// Relays a request through another instance. Returns `None` if it was sent to none.
async fn relay_through_peer(request: &mut RoutedRequest) -> Option<Reply> {
    loop {
        let failure = match peer_relay::send(request, &ResumedRun::default()).await? {
            Ok(response) => match read_peer_response(request, response).await {
                Ok(reply) => return Some(reply),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        let next = request.record_peer_failure(failure);
        if next != NextStep::Elsewhere {
            return Some(reply::final_reply(next, request));
        }
    }
}

/// Reads the whole response that another instance relays.
async fn read_peer_response(
    request: &RoutedRequest,
    mut peer: PeerResponse,
) -> Result<Reply, AttemptFailure> {
    let body = read_body(&request.state, &mut peer.response.body, request.time_left()).await?;
    let (status, headers) = (peer.response.status, peer.response.headers.clone());
    let reason = Reason::Peer(peer.address);
    peer.keep(&request.state);
    if reply::implies_not_run(status) && request.may_have_run() {
        return Ok(reply::final_reply(NextStep::Failed, request));
    }
    Ok(reply::relayed(
        status,
        &headers,
        reply::full_body(body),
        reason,
    ))
}

/// Records how the target performed. A refusal says nothing about that, but that it is full.
fn record_result(
    request: &RoutedRequest,
    lease: &Lease,
    result: &Result<Reply, AttemptFailure>,
    started: Instant,
) {
    let is_good = match result {
        Ok(reply) => !reply.status().is_server_error(),
        Err(AttemptFailure::NotRun) => return lease.record_refusal(),
        Err(failure) if failure.proves_not_run() => return,
        Err(_) => false,
    };
    lease.record_result(is_good, started.elapsed(), request.route.aim);
}

/// Returns whether a reply is sent to the caller. The failure of an idempotent request may be due
/// to this target alone, so another one is tried.
fn is_final(request: &RoutedRequest, reply: &Reply) -> bool {
    !(request.kind().may_repeat() && reply.status().is_server_error())
}

/// Sends a request and waits for the head of the response. A silent target is given up for another
/// one once that may be asked.
async fn send_until_given_up(
    request: &RoutedRequest,
    lease: &mut Lease,
    head: &TargetRequestHead<'_>,
    time_left: Duration,
) -> Result<OpenResponse, AttemptFailure> {
    let started = Instant::now();
    let end = started + time_left;
    let limit = SilenceLimits::for_request(request.route.aim, time_left, request.may_ask_another());
    let mut until = started + limit;
    let (key, caller_request) = (lease.key, &request.caller_request);
    let mut sending = pin!(send(&request.state, lease, caller_request, head, time_left));
    loop {
        if let Ok(result) = running_timeout_at(until.min(end), sending.as_mut()).await {
            return result;
        }
        if Instant::now() >= end || request.try_give_up(AttemptFailure::Silent, false) {
            return Err(AttemptFailure::Silent);
        }
        record_unresponsive(&request.state, key, AttemptFailure::Silent);
        until += limit.max(MIN_RECHECK_INTERVAL);
    }
}

async fn try_target(request: &RoutedRequest, lease: &mut Lease) -> Result<Reply, AttemptFailure> {
    let time_left = request.time_left();
    let head = TargetRequestHead {
        account: request.account.as_ref(),
        time_left,
        target: &lease.name.clone(),
        last_event: None,
        backup: None,
        resume_from: None,
        urgency: request.requirements.urgency,
    };
    let mut response = send_until_given_up(request, lease, &head, time_left).await?;
    let body = read_body(&request.state, &mut response.body, request.time_left()).await?;
    let (status, headers) = (response.status, response.headers.clone());
    response.keep(&request.state, lease);
    if reply::implies_not_run(status) {
        return Err(AttemptFailure::Failed(status.as_u16()));
    }
    Ok(reply::relayed(
        status,
        &headers,
        reply::full_body(body),
        Reason::Relayed(lease.name.clone()),
    ))
}
