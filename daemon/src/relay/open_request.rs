//! Requests that are being answered, up to the end of their responses.

use std::{
    pin::Pin,
    sync::{atomic::Ordering::Relaxed, Arc, Mutex, PoisonError},
    task::{ready, Context, Poll},
};

use bytes::Bytes;
use celerypond_relay::{AttemptFailure, RequestDeadline};
use celerypond_telemetry::Counter;
use celerypond_types::{AccountName, TargetName};
use http::{Method, Response, StatusCode};
use hyper::body::{Body as _, Frame, SizeHint};
use log::Level;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{
    caller_connection::ActiveRequest,
    reply::{Body, Broken, Reply},
    request::Origin,
    state::RelayState,
};

/// How far a request got that was routed to targets.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) route: SmolStr,
    pub(super) account: Option<AccountName>,
    pub(super) deadline: RequestDeadline,
    pub(super) is_stream: bool,
    /// The target that was tried last.
    pub(super) target: Option<TargetName>,
    /// When the first target was chosen.
    pub(super) first_attempt: Option<Instant>,
    pub(super) runs: u32,
    /// The number of events that were sent to the caller.
    pub(super) events: u64,
    /// The id of the last event that was received.
    pub(super) last_event: Option<u64>,
    /// How the last failed attempt ended.
    pub(super) failure: Option<AttemptFailure>,
}

/// What the log says of a request that ends without its whole response.
pub(super) struct RequestRecord {
    state: Arc<RelayState>,
    id: Option<SmolStr>,
    pub(super) origin: Origin,
    /// When the head of the request was read.
    pub(super) received: Instant,
    /// Set when the request is no longer routed.
    progress: Mutex<Option<Progress>>,
}

impl RequestRecord {
    pub(super) fn set_progress(&self, progress: Progress) {
        *self.progress.lock().unwrap_or_else(PoisonError::into_inner) = Some(progress);
    }

    /// Counts and logs that the response breaks off because no target can complete the stream.
    pub(super) fn record_broken_stream(&self, progress: &Progress, cause: &str) {
        self.state.metrics.add(Counter::StreamsBroken, 1);
        self.log_end(Level::Warn, "stream broken", cause, Some(progress));
    }

    fn log_end(&self, level: Level, message: &str, cause: &str, progress: Option<&Progress>) {
        let now = Instant::now();
        let millis = |since: Instant| now.saturating_duration_since(since).as_millis() as u64;
        let left = progress.map(|progress| progress.deadline.remaining(now).as_millis() as u64);
        let account = progress.and_then(|progress| progress.account.as_ref());
        let target = progress.and_then(|progress| progress.target.as_ref());
        let first_attempt = progress.and_then(|progress| progress.first_attempt);
        let failure = progress.and_then(|progress| progress.failure);
        log::log!(
            level,
            request = self.id.as_deref(),
            route = progress.map(|progress| progress.route.as_str()),
            account = account.map(AccountName::as_str),
            target = target.map(TargetName::as_str),
            from_peer = self.origin == Origin::Peer,
            read_ms = millis(self.received),
            sent_ms = first_attempt.map(millis),
            events = progress.map(|progress| progress.events),
            last = progress.and_then(|progress| progress.last_event),
            runs = progress.map(|progress| progress.runs),
            failed = failure.map(|failure| format!("{failure:?}")),
            cause,
            left_ms = left,
            stopping = self.state.stopping.is_cancelled(),
            config = self.state.view.config_version();
            "{message}"
        );
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The response has not begun.
    Waiting,
    /// The body of the response is being sent.
    Sending { status: StatusCode },
    /// The response was sent, or its end was logged already.
    Ended,
}

/// Counts a request as open until its response was sent or its connection ended. Logs if the
/// connection ended first.
pub(super) struct OpenRequest {
    record: Arc<RequestRecord>,
    stage: Stage,
    active: ActiveRequest,
}

impl OpenRequest {
    pub(super) fn new(
        state: &Arc<RelayState>,
        id: Option<SmolStr>,
        origin: Origin,
        received: Instant,
        active: ActiveRequest,
    ) -> Self {
        state.metrics.add(Counter::Routed, 1);
        state.open_requests.fetch_add(1, Relaxed);
        let record = Arc::new(RequestRecord {
            state: Arc::clone(state),
            id,
            origin,
            received,
            progress: Mutex::default(),
        });
        Self {
            record,
            stage: Stage::Waiting,
            active,
        }
    }

    pub(super) const fn record(&self) -> &Arc<RequestRecord> {
        &self.record
    }

    /// Returns the response to the request. The request is open until its body was sent.
    pub(super) fn into_response(mut self, reply: Reply, method: &Method) -> Response<TrackedBody> {
        let status = reply.status();
        // The body of a response to HEAD is not sent.
        let is_sent = method == Method::HEAD || reply.body().is_end_stream();
        self.stage = match is_sent {
            true => Stage::Ended,
            false => Stage::Sending { status },
        };
        reply.map(|body| TrackedBody {
            body,
            request: self,
        })
    }

    /// Counts and logs that the connection ended before the response was sent.
    fn record_early_end(&self) {
        let record = &self.record;
        let progress = record
            .progress
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let progress = progress.as_ref();
        let is_cut = record.state.killed.is_cancelled();
        let is_stream = progress.is_some_and(|progress| progress.is_stream);
        let sends_events =
            is_stream && matches!(self.stage, Stage::Sending { status } if status.is_success());
        let (level, message, cause, counter) = if std::thread::panicking() {
            let message = "request cut by this instance";
            (Level::Warn, message, "panic", Counter::RequestsCut)
        } else if is_cut {
            let message = "request cut by this instance";
            (Level::Warn, message, "instance ended", Counter::RequestsCut)
        } else if sends_events {
            let message = "caller left its stream";
            (Level::Info, message, "caller closed", Counter::StreamsLeft)
        } else {
            let message = "caller left its request";
            (Level::Info, message, "caller closed", Counter::RequestsLeft)
        };
        record.state.metrics.add(counter, 1);
        record.log_end(level, message, cause, progress);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.record.state.open_requests.fetch_sub(1, Relaxed);
        if self.stage != Stage::Ended {
            self.record_early_end();
        }
    }
}

/// The body of a response, whose request is open until the body was sent.
pub(super) struct TrackedBody {
    // Dropped first, as it sets the progress of the request.
    body: Body,
    request: OpenRequest,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let has_ended = match &frame {
            Some(Ok(_)) => self.body.is_end_stream(),
            // A stream that breaks has logged its end.
            Some(Err(Broken)) | None => true,
        };
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.request.active.connection().add_response(data.len());
        }
        if has_ended {
            self.request.stage = Stage::Ended;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Counts a stream as open while its events are sent.
pub(super) struct OpenStream(Arc<RelayState>);

impl OpenStream {
    pub(super) fn new(state: &Arc<RelayState>) -> Self {
        state.open_streams.fetch_add(1, Relaxed);
        Self(Arc::clone(state))
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.open_streams.fetch_sub(1, Relaxed);
    }
}
