//! Responses to callers.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use celerypond_adapter::headers;
use celerypond_relay::Next;
use http::{
    header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER},
    HeaderMap, Response, StatusCode,
};
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full};
use thiserror::Error;

/// A stream could not go on. The connection to the caller breaks, so that what it has does not look
/// complete.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the stream could not go on")]
pub(super) struct Broken;

pub(super) type Body = UnsyncBoxBody<Bytes, Broken>;
pub(super) type Reply = Response<Body>;

/// When a caller whose request has not run may come back: a failed target is avoided by then.
const COME_BACK: Duration = Duration::from_millis(300);
/// The part of its time that a caller waits at most before it comes back.
const COME_BACK_SHARE: u32 = 4;

/// Makes the body of a whole response.
pub(super) fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Makes a response that the instance gives itself.
pub(super) fn own(status: StatusCode, id: Option<&str>) -> Reply {
    let reason = status.canonical_reason().unwrap_or_default();
    let mut reply = Response::new(whole(format!("{reason}\n")));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(id) = id {
        headers::set_request(headers, id);
    }
    reply
}

/// Makes the answer to a request that has not run and never will, with when to come back.
pub(super) fn not_run(id: &str, left: Duration) -> Reply {
    let wait = COME_BACK.min(left / COME_BACK_SHARE);
    let mut reply = own(StatusCode::SERVICE_UNAVAILABLE, Some(id));
    let seconds = format!("{:.2}", wait.as_secs_f64());
    // Digits and a point can stand in a header.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Makes the final answer that follows the end of the last attempt.
pub(super) fn after(next: Next, id: &str, left: Duration) -> Reply {
    match next {
        Next::NotRun | Next::Elsewhere => not_run(id, left),
        Next::Failed => own(StatusCode::BAD_GATEWAY, Some(id)),
        Next::Expired => own(StatusCode::GATEWAY_TIMEOUT, Some(id)),
    }
}

/// Makes the response that a target gave.
pub(super) fn relayed(status: StatusCode, headers: &HeaderMap, body: Body) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::to_caller(headers);
    reply
}

/// Says that the connection closes after this response.
pub(super) fn close_after(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}
