//! HTTP replies of the stand-ins.

use std::convert::Infallible;

use bytes::Bytes;
use http::{header, Response, StatusCode};
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// The body of every reply.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A reply of a stand-in.
pub type Reply = Response<Body>;

/// Returns a reply without a body.
pub fn empty(status: StatusCode) -> Reply {
    bytes(status, Bytes::new())
}

/// Returns a reply with the given bytes as its body.
pub fn bytes(status: StatusCode, value: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(value.into()).boxed_unsync());
    *reply.status_mut() = status;
    reply
}

/// Returns a reply with a value as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    json_text(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Returns a reply with text that is already JSON.
pub fn json_text(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = bytes(status, text);
    let json = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

/// Returns a 503 reply that asks to retry after `retry_after_s` seconds.
pub fn unavailable(retry_after_s: u64) -> Reply {
    let mut reply = empty(StatusCode::SERVICE_UNAVAILABLE);
    reply
        .headers_mut()
        .insert(header::RETRY_AFTER, retry_after_s.into());
    reply
}

/// Returns a reply of server-sent events. The items of the stream are the data of the events.
pub fn events(stream: impl futures::Stream<Item = String> + Send + 'static) -> Reply {
    use futures::StreamExt;

    let frames = stream.map(|data| Ok(Frame::data(Bytes::from(format!("data: {data}\n\n")))));
    let mut reply = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = http::HeaderValue::from_static("text/event-stream");
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    reply
}
