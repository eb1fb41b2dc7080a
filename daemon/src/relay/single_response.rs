//! Relays requests whose response is not a stream.

use celerypond_relay::{AttemptFailure, NextStep, SilenceLimits, TargetRequestHead};
use tokio::time::Instant;

use super::{
    attempt::{read_body, send},
    lease::Lease,
    reply::{self, Reply},
    routed_request::RoutedRequest,
};

/// Relays a request whose response is not a stream.
///
/// The response is read completely before its first byte is sent to the caller. A response that
/// breaks off can then be retried if that is allowed, and never looks complete.
pub(super) async fn relay(mut request: RoutedRequest) -> Reply {
    let mut failed_reply = None;
    loop {
        // Contact with the store and the peers may have been lost since the request was admitted.
        request.wait_targets().await;
        let Some(mut lease) = request.lease_target() else {
            // A target that accepted the request may have run it, even if none is left to ask.
            return failed_reply
                .unwrap_or_else(|| reply::final_reply(request.step_without_target(), &request));
        };
        let started = Instant::now();
        let result = try_target(&request, &mut lease).await;
        record_result(&request, &lease, &result, started);
        let failure = match result {
            Ok(reply) if is_final(&request, &reply) => {
                request.record_response(&lease, reply.status(), started.elapsed());
                return reply;
            }
            Ok(reply) => {
                let status = reply.status().as_u16();
                failed_reply = Some(reply);
                AttemptFailure::Failed(status)
            }
            Err(failure) => failure,
        };
        let next = request.record_failure(&lease, failure);
        if next != NextStep::Elsewhere {
            return failed_reply.unwrap_or_else(|| reply::final_reply(next, &request));
        }
    }
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

async fn try_target(request: &RoutedRequest, lease: &mut Lease) -> Result<Reply, AttemptFailure> {
    let time_left = request.time_left();
    let head = TargetRequestHead {
        account: request.account.as_ref(),
        time_left,
        target: &lease.name.clone(),
        last_event: None,
        backup: None,
        resume_from: None,
    };
    let limit = SilenceLimits::for_request(request.route.aim, time_left, request.may_ask_another());
    let mut response = send(&request.state, lease, &request.caller_request, &head, limit).await?;
    let body = read_body(&mut response.body, request.time_left()).await?;
    let (status, headers) = (response.status, response.headers.clone());
    response.keep(&request.state, lease);
    if implies_not_run(status) {
        return Err(AttemptFailure::Failed(status.as_u16()));
    }
    Ok(reply::relayed(
        status,
        &headers,
        reply::full_body(body),
        &lease.name,
    ))
}

/// Returns whether callers conclude from this status that the request has not run. A target that
/// does not say so itself may have run it.
fn implies_not_run(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
