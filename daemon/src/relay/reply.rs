//! Responses to callers.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use celerypond_adapter::headers;
use celerypond_relay::{Denied, NextStep};
use celerypond_types::TargetName;
use http::{
    header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER},
    HeaderMap, Response, StatusCode,
};
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full};
use thiserror::Error;

use super::{routed_request::RoutedRequest, state::Outdated};

/// The error that a stream could not be resumed. It breaks the connection to the caller, so that
/// the part that was sent does not look complete.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the stream could not be resumed")]
pub(super) struct Broken;

pub(super) type Body = UnsyncBoxBody<Bytes, Broken>;
pub(super) type Reply = Response<Body>;

/// The reason of a response. It is attached to the response for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// A target answered.
    Relayed(TargetName),
    /// Another instance answered.
    Peer(SocketAddr),
    /// No configuration is known yet.
    NoConfig,
    /// The current configuration or the list of targets may have been superseded for too long.
    Outdated(Outdated),
    /// No route matches, or no account has the key.
    Denied(Denied),
    /// The request is malformed or too large.
    BadRequest,
    /// The body of the request did not arrive by its deadline.
    BodyTimeout,
    /// The request came as relayed, but from no known instance.
    UnknownPeer,
    /// There is no memory for the body of the request.
    NoMemory,
    /// No target was left to try, or those that were tried refused.
    NoTarget,
    /// All targets want no requests for some time.
    CoolingDown,
    /// The first event would be late because engines have too much to read.
    Overloaded,
    /// The request has not run, and the time left is too short to serve it.
    TooLate,
    /// The instance stops before the request could be completed.
    Stopping,
    /// The last attempt failed, and the request may have run.
    Failed,
    /// Too many targets ended while they ran the request.
    TargetsLost,
    /// The deadline of the caller or the timeout of the route has expired.
    TimeOver,
}

/// When a caller whose request has not run should retry, if nothing more specific is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// How long after a target is used again callers should retry.
const RETRY_AFTER_SLACK: Duration = Duration::from_millis(100);

/// Creates the body of a response that is complete.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Creates a response of the instance itself.
pub(super) fn local(status: StatusCode, id: Option<&str>, reason: Reason) -> Reply {
    let phrase = status.canonical_reason().unwrap_or_default();
    let mut reply = Response::new(full_body(format!("{phrase}\n")));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(id) = id {
        headers::set_request_id(headers, id);
    }
    reply.extensions_mut().insert(reason);
    reply
}

/// Creates the response to a request that has not run and never will, with the time after which to
/// retry.
pub(super) fn not_run(
    id: &str,
    time_left: Duration,
    retry_after: Option<Duration>,
    reason: Reason,
) -> Reply {
    let wait = retry_after.map_or(DEFAULT_RETRY_AFTER, |retry_after| {
        retry_after + RETRY_AFTER_SLACK
    });
    let wait = wait.min(celerypond_relay::max_backoff(time_left));
    let mut reply = local(StatusCode::SERVICE_UNAVAILABLE, Some(id), reason);
    let seconds = format!("{:.2}", wait.as_secs_f64());
    // Digits and a decimal point are valid in a header.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Creates the final response after the last attempt.
pub(super) fn final_reply(next: NextStep, request: &RoutedRequest) -> Reply {
    let id = request.caller_request.id.as_str();
    match next {
        NextStep::NotRun | NextStep::Elsewhere => {
            let (retry_after, reason) = match request.cooldown_retry_after() {
                Some(retry_after) => (Some(retry_after), Reason::CoolingDown),
                None => (request.retry_after(), Reason::NoTarget),
            };
            not_run(id, request.time_left(), retry_after, reason)
        }
        NextStep::Overloaded(retry_after) => not_run(
            id,
            request.time_left(),
            Some(retry_after),
            Reason::Overloaded,
        ),
        NextStep::TooLate => local(StatusCode::SERVICE_UNAVAILABLE, Some(id), Reason::TooLate),
        NextStep::Failed | NextStep::Later => {
            local(StatusCode::BAD_GATEWAY, Some(id), Reason::Failed)
        }
        NextStep::TargetsLost if !request.may_have_run() => not_run(
            id,
            request.time_left(),
            request.blocked_for(),
            Reason::TargetsLost,
        ),
        NextStep::TargetsLost => local(StatusCode::BAD_GATEWAY, Some(id), Reason::TargetsLost),
        NextStep::Expired => local(StatusCode::GATEWAY_TIMEOUT, Some(id), Reason::TimeOver),
    }
}

/// Creates the response that relays that of a target or of another instance.
pub(super) fn relayed(
    status: StatusCode,
    headers: &HeaderMap,
    body: Body,
    reason: Reason,
) -> Reply {
    let mut reply = Response::new(body);
    reply.extensions_mut().insert(reason);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::caller_response_headers(headers);
    reply
}

/// Sets the header by which the connection is closed after this response.
pub(super) fn close_after(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}

/// Returns whether callers conclude from this status that the request has not run. A target that
/// does not say so itself may have run it.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
