//! The body of a message on a connection whose framing is limited.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::framing_meter::FramingMeter;

/// The body of a message, each part of which is recorded when it is received.
#[derive(Debug)]
pub(super) struct MeteredBody {
    body: Incoming,
    meter: FramingMeter,
}

impl MeteredBody {
    /// Creates the body of a message that has just begun.
    pub(super) fn new(body: Incoming, meter: FramingMeter) -> Self {
        meter.reset();
        Self { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(_))) = &polled {
            self.meter.reset();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
