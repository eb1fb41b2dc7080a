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
pub(super) fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Makes a response that the instance gives itself.
pub(super) fn own(status: StatusCode, id: Option<&str>, why: Reason) -> Reply {
    let reason = status.canonical_reason().unwrap_or_default();
    let mut reply = Response::new(whole(format!("{reason}\n")));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(id) = id {
        headers::set_request(headers, id);
    }
    reply.extensions_mut().insert(why);
    reply
}

/// Makes the answer to a request that has not run and never will, with when to come back.
pub(super) fn not_run(id: &str, left: Duration, back: Option<Duration>, why: Reason) -> Reply {
    let wait = back.map_or(DEFAULT_RETRY_AFTER, |back| back + RETRY_AFTER_SLACK);
    let wait = wait.min(left / RETRY_AFTER_SHARE);
    let mut reply = own(StatusCode::SERVICE_UNAVAILABLE, Some(id), why);
    let seconds = format!("{:.2}", wait.as_secs_f64());
    // Digits and a point can stand in a header.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Makes the final answer that follows the end of the last attempt.
pub(super) fn after(next: NextStep, run: &RoutedRequest) -> Reply {
    let id = run.asked.id.as_str();
    match next {
        NextStep::NotRun | NextStep::Elsewhere => {
            not_run(id, run.left(), run.come_back(), Reason::NoTarget)
        }
        NextStep::Overloaded(back) => not_run(id, run.left(), Some(back), Reason::Overloaded),
        NextStep::TooLate => own(StatusCode::SERVICE_UNAVAILABLE, Some(id), Reason::TooLate),
        NextStep::Failed | NextStep::Later => {
            own(StatusCode::BAD_GATEWAY, Some(id), Reason::Failed)
        }
        NextStep::Expired => own(StatusCode::GATEWAY_TIMEOUT, Some(id), Reason::TimeOver),
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
    let why = Reason::Relayed(target.clone());
    reply.extensions_mut().insert(why);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::to_caller(headers);
    reply
}

/// Says that the connection closes after this response.
pub(super) fn close_after(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}
