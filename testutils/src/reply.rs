//! Replies of the stand-ins.

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

/// Makes a reply without a body.
pub fn empty(status: StatusCode) -> Reply {
    bytes(status, Bytes::new())
}

/// Makes a reply from bytes.
pub fn bytes(status: StatusCode, value: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(value.into()).boxed_unsync());
    *reply.status_mut() = status;
    reply
}

/// Makes a JSON reply.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    json_text(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Makes a JSON reply from its text.
pub fn json_text(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = bytes(status, text);
    let json = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

/// Makes a 503 reply that says when to come back.
pub fn unavailable(after_s: u64) -> Reply {
    let mut reply = empty(StatusCode::SERVICE_UNAVAILABLE);
    reply
        .headers_mut()
        .insert(header::RETRY_AFTER, after_s.into());
    reply
}

/// Makes a reply of server-sent events, each given as its data.
pub fn events(stream: impl futures::Stream<Item = String> + Send + 'static) -> Reply {
    use futures::StreamExt;

    let frames = stream.map(|data| Ok(Frame::data(Bytes::from(format!("data: {data}\n\n")))));
    let mut reply = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = http::HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}
