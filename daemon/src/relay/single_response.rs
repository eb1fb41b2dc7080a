//! Requests whose response is one piece.

use celerypond_relay::{AttemptFailure, NextStep, SilenceLimits, TargetRequestHead};
use tokio::time::Instant;

use super::{
    attempt::{read_whole, send},
    lease::Lease,
    reply::{self, Reply},
    routed_request::RoutedRequest,
};

/// Relays a request whose response is one piece.
///
/// The response is read whole before its first byte goes out: one that breaks off can then be asked
/// for again where that is allowed, and never looks complete.
pub(super) async fn relay(mut run: RoutedRequest) -> Reply {
    let mut failed = None;
    loop {
        // Contact may have been lost since the request was admitted.
        run.wait_targets().await;
        let Some(mut lease) = run.place() else {
            // Targets that took it may have run it, though none is left to ask.
            return failed.unwrap_or_else(|| reply::after(run.nowhere(), &run));
        };
        let begun = Instant::now();
        let result = attempt(&run, &mut lease).await;
        note(&lease, &result, begun);
        let ended = match result {
            Ok(reply) if is_final(&run, &reply) => {
                run.note(&lease, reply.status(), begun.elapsed());
                return reply;
            }
            Ok(reply) => {
                let status = reply.status().as_u16();
                failed = Some(reply);
                AttemptFailure::Failed(status)
            }
            Err(ended) => ended,
        };
        let next = run.ended(&lease, ended);
        if next != NextStep::Elsewhere {
            return failed.unwrap_or_else(|| reply::after(next, &run));
        }
    }
}

/// Takes in how well the target did. What it refused says nothing of that.
fn note(lease: &Lease, result: &Result<Reply, AttemptFailure>, begun: Instant) {
    let is_good = match result {
        Ok(reply) => !reply.status().is_server_error(),
        Err(ended) if ended.proves_not_run() => return,
        Err(_) => false,
    };
    lease.note_result(is_good, begun.elapsed());
}

/// A failure of an idempotent request may be the target's alone, so another one is asked.
fn is_final(run: &RoutedRequest, reply: &Reply) -> bool {
    !(run.kind().may_repeat() && reply.status().is_server_error())
}

async fn attempt(run: &RoutedRequest, lease: &mut Lease) -> Result<Reply, AttemptFailure> {
    let left = run.left();
    let head = TargetRequestHead {
        account: run.account.as_ref(),
        time_left: left,
        target: &lease.name.clone(),
        last_event: None,
        backup: None,
        resume_from: None,
    };
    let limit = SilenceLimits::for_request(run.route.aim, left, run.may_ask_another());
    let mut opened = send(&run.state, lease, &run.asked, &head, limit).await?;
    let body = read_whole(&mut opened.body, run.left()).await?;
    let (status, headers) = (opened.status, opened.headers.clone());
    opened.keep(&run.state, lease);
    if is_promise(status) {
        return Err(AttemptFailure::Failed(status.as_u16()));
    }
    Ok(reply::relayed(
        status,
        &headers,
        reply::whole(body),
        &lease.name,
    ))
}

/// Statuses by which callers understand that the request has not run; a target that does not say so
/// itself may have run it.
fn is_promise(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
