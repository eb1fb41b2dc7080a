//! The bodies of callers' requests.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as _, Frame, SizeHint};

use super::upload::Upload;

/// The body of a request, in segments whose sizes depend on its length only.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestBody {
    first: Bytes,
    rest: Option<Arc<[Bytes]>>,
    /// The index of the segment that is sent next.
    next: usize,
    /// The upload on the connection that sends the body.
    upload: Option<Upload>,
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            first: bytes,
            ..Self::default()
        }
    }
}

impl RequestBody {
    /// Creates a body from segments.
    pub(super) fn new(segments: Vec<Bytes>) -> Self {
        let mut segments = segments.into_iter();
        let first = segments.next().unwrap_or_default();
        let rest: Vec<Bytes> = segments.collect();
        Self {
            first,
            rest: (!rest.is_empty()).then(|| rest.into()),
            ..Self::default()
        }
    }

    /// Records on a connection that this body is to be sent, and how far it was.
    pub(super) fn begin_upload(&mut self, upload: &Upload) {
        upload.set_body_open(!self.is_end_stream());
        self.upload = Some(upload.clone());
    }

    /// Returns the segments.
    pub(super) fn segments(&self) -> impl Iterator<Item = &Bytes> {
        let rest = self.rest.iter().flat_map(|rest| rest.iter());
        std::iter::once(&self.first).chain(rest)
    }

    fn remaining(&self) -> u64 {
        let segments = self.segments().skip(self.next);
        segments.map(|segment| segment.len() as u64).sum()
    }
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let mut segments = self.segments().skip(self.next);
        let segment = segments.next().filter(|segment| !segment.is_empty());
        let frame = segment.map(|segment| Ok(Frame::data(segment.clone())));
        drop(segments);
        self.next += 1;
        if let Some(upload) = &self.upload {
            upload.set_body_open(!self.is_end_stream());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.remaining() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining())
    }
}
