//! HTTP bodies of requests and replies.

use std::{io, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use gotham::helpers::http::Body;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::Frame;
use thiserror::Error;
use tokio::time::timeout;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// The sender stopped before the end.
    #[error("the body is cut short")]
    Truncated,
}

/// Creates a body from bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(io::Error::other)
        .boxed_unsync()
}

/// Creates a body from a stream, sent as it arrives.
pub fn from_stream(stream: impl Stream<Item = Bytes> + Send + 'static) -> Body {
    let frames = stream.map(|bytes| Ok(Frame::data(bytes)));
    StreamBody::new(frames).boxed_unsync()
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// `TooLong` as soon as the limit is exceeded, `Truncated` if the sender stops before the end.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Truncated),
    }
}

/// How long what follows of a body is read to be dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and drops what follows of a body, up to `limit` bytes and for two seconds at most.
///
/// If a connection is closed while its peer still sends, it is reset, and the peer may not get the
/// reply that was sent before.
pub async fn discard<B>(body: B, limit: usize)
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut rest = Limited::new(body, limit);
    let discard = async { while let Some(Ok(_)) = rest.frame().await {} };
    // A peer that sends for longer than that is cut off.
    let _ = timeout(DISCARD_TIMEOUT, discard).await;
}
