//! Responses to callers.

use std::{convert::Infallible, time::Duration};

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

/// A stream could not go on. The connection to the caller breaks, so that what it has does not look
/// complete.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the stream could not go on")]
pub(super) struct Broken;

pub(super) type Body = UnsyncBoxBody<Bytes, Broken>;
pub(super) type Reply = Response<Body>;

/// Why a response is what it is; it goes with the response to the line that tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// A target answered.
    Relayed(TargetName),
    /// No configuration is known yet.
    NoConfig,
    /// The configuration in force or the list of targets may have been superseded for too long.
    Outdated(Outdated),
    /// No route matches, or no account has the key.
    Denied(Denied),
    /// The request itself has a fault.
    BadRequest,
    /// No target was left to ask, or those that were asked refused.
    NoTarget,
    /// Its first event would be late, as engines have too much to read.
    Overloaded,
    /// It has not run, and what is left of its time is too short to serve it.
    TooLate,
    /// The instance stops before the request would be done.
    Stopping,
    /// The last attempt failed, and the request may have run.
    Failed,
    /// The time of the caller or of the route was over.
    TimeOver,
}

/// When a caller whose request has not run may come back, if nothing else is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// How long after a target is asked again a caller may come back.
const RETRY_AFTER_SLACK: Duration = Duration::from_millis(100);
/// The part of its time that a caller waits at most before it comes back.
const RETRY_AFTER_SHARE: u32 = 3;

/// Makes the body of a whole response.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Makes a response that the instance gives itself.
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

/// Makes the answer to a request that has not run and never will, with when to come back.
pub(super) fn not_run(
    id: &str,
    time_left: Duration,
    retry_after: Option<Duration>,
    reason: Reason,
) -> Reply {
    let wait = retry_after.map_or(DEFAULT_RETRY_AFTER, |retry_after| {
        retry_after + RETRY_AFTER_SLACK
    });
    let wait = wait.min(time_left / RETRY_AFTER_SHARE);
    let mut reply = local(StatusCode::SERVICE_UNAVAILABLE, Some(id), reason);
    let seconds = format!("{:.2}", wait.as_secs_f64());
    // Digits and a point can stand in a header.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Makes the final answer that follows the end of the last attempt.
pub(super) fn final_reply(next: NextStep, request: &RoutedRequest) -> Reply {
    let id = request.caller_request.id.as_str();
    match next {
        NextStep::NotRun | NextStep::Elsewhere => not_run(
            id,
            request.time_left(),
            request.retry_after(),
            Reason::NoTarget,
        ),
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
        NextStep::Expired => local(StatusCode::GATEWAY_TIMEOUT, Some(id), Reason::TimeOver),
    }
}

/// Makes the response that a target gave.
pub(super) fn relayed(
    status: StatusCode,
    headers: &HeaderMap,
    body: Body,
    target: &TargetName,
) -> Reply {
    let mut reply = Response::new(body);
    let reason = Reason::Relayed(target.clone());
    reply.extensions_mut().insert(reason);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::caller_response_headers(headers);
    reply
}

/// Says that the connection closes after this response.
pub(super) fn close_after(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}
