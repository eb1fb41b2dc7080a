//! Receives the bodies of callers' requests.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use thiserror::Error;
use tokio::time::{sleep_until, Instant};

use super::{
    caller_connection::CallerConnection, metered_body::MeteredBody, request_body::RequestBody,
};

/// The minimum size of a segment, unless the body is shorter.
const MIN_SEGMENT: usize = 4 << 10;
/// The maximum size of a segment. With segments of one size, what crowds of callers leave behind can
/// be allocated again.
const MAX_SEGMENT: usize = 64 << 10;

/// Why the body of a request was not received.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum BodyFailure {
    /// It is longer than the configuration allows.
    #[error("the body is longer than allowed")]
    TooLong,
    /// The caller has disconnected or broken the protocol.
    #[error("the body is malformed or cut short")]
    Broken,
    /// It was not received by the deadline of the request.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// There is no memory for it.
    #[error("no memory for the body")]
    NoMemory,
}

/// Receives a body of at most `limit` bytes until a deadline.
///
/// # Errors
///
/// A [`BodyFailure`] if it cannot be received; a length beyond the limit is refused before any byte
/// is read.
pub(super) async fn receive(
    body: &mut MeteredBody,
    limit: usize,
    deadline: Instant,
    connection: &CallerConnection,
) -> Result<RequestBody, BodyFailure> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if announced.is_some_and(|len| len > limit) {
        return Err(BodyFailure::TooLong);
    }
    let mut segments = Segments::new(announced);
    let mut rejected = pin!(connection.rejected());
    let mut timer = pin!(sleep_until(deadline));
    loop {
        let frame = tokio::select! {
            biased;
            () = &mut rejected => return Err(BodyFailure::NoMemory),
            frame = body.frame() => frame,
            () = &mut timer => return Err(BodyFailure::TimedOut),
        };
        let Some(frame) = frame else {
            return Ok(segments.finish());
        };
        let frame = frame.map_err(|_| BodyFailure::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if segments.len + data.len() > limit {
            return Err(BodyFailure::TooLong);
        }
        segments.push(data, connection);
    }
}

/// The part of a body that was received. Its bytes are copied, as a frame of one byte would keep the
/// whole buffer that it was read into.
struct Segments {
    announced: Option<usize>,
    full: Vec<Bytes>,
    open: BytesMut,
    /// The number of bytes that were received.
    len: usize,
    /// The number of bytes that were allocated.
    held: usize,
}

impl Segments {
    fn new(announced: Option<usize>) -> Self {
        Self {
            announced,
            full: Vec::new(),
            open: BytesMut::new(),
            len: 0,
            held: 0,
        }
    }

    fn push(&mut self, mut data: &[u8], connection: &CallerConnection) {
        while !data.is_empty() {
            if self.held == self.len {
                self.grow(connection);
            }
            let (taken, rest) = data.split_at(data.len().min(self.held - self.len));
            self.open.extend_from_slice(taken);
            self.len += taken.len();
            data = rest;
        }
    }

    fn grow(&mut self, connection: &CallerConnection) {
        let size = match self.announced {
            Some(len) if len <= MAX_SEGMENT => len,
            Some(len) => self.next_size().min(len - self.len),
            None => self.next_size(),
        };
        self.held += size;
        connection.set_body(self.held);
        let full = std::mem::replace(&mut self.open, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
    }

    fn next_size(&self) -> usize {
        self.held.clamp(MIN_SEGMENT, MAX_SEGMENT)
    }

    /// Returns the whole body. A short one has one segment however it was received, so that equal
    /// bodies have equal segments.
    fn finish(mut self) -> RequestBody {
        if self.full.is_empty() {
            return RequestBody::from(self.open.freeze());
        }
        self.full.push(self.open.freeze());
        match self.len <= MAX_SEGMENT {
            true => RequestBody::from(Bytes::from(self.full.concat())),
            false => RequestBody::new(self.full),
        }
    }
}
