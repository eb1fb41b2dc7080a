//! A connection for requests, and what it makes this instance hold.

use std::{
    net::IpAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed},
        Arc,
    },
};

use celerypond_relay::{CallerKey, CallerShare, CallerStage, TooManyCallers};
use futures::FutureExt as _;
use tokio::{sync::Notify, time::Instant};

use super::state::RelayState;

/// The maximum number of unread bytes of a response that are counted, as the rest is counted as a
/// response of a target.
const MAX_UNREAD: usize = 64 << 10;

/// The maximum number of unread bytes that are not counted.
const FREE_UNREAD: usize = 16 << 10;

/// Notifies a connection that it has to give up what it holds.
#[derive(Debug, Default)]
pub(super) struct CallerSignals {
    pub(super) reject: Notify,
    pub(super) close: Notify,
}

/// A connection for requests in the account of what callers hold. It is removed on drop.
pub(super) struct CallerConnection {
    state: Arc<RelayState>,
    key: CallerKey,
    /// The address of the caller; `None` if the connection had ended before it was known.
    address: Option<IpAddr>,
    signals: Arc<CallerSignals>,
    is_serving: AtomicBool,
    /// The bytes of a head that is being received.
    head: AtomicUsize,
    /// The bytes of responses that were not written to the socket.
    unread: AtomicUsize,
    /// The bytes of them that are counted.
    counted_unread: AtomicUsize,
}

impl CallerConnection {
    /// Adds a connection to the account.
    ///
    /// # Errors
    ///
    /// [`TooManyCallers`] if a request runs on each connection that there may be.
    pub(super) fn open(
        state: &Arc<RelayState>,
        address: Option<IpAddr>,
    ) -> Result<Self, TooManyCallers> {
        let signals = Arc::<CallerSignals>::default();
        let key = state.callers.open(&state.metrics, &signals)?;
        Ok(Self {
            state: Arc::clone(state),
            key,
            address,
            signals,
            is_serving: AtomicBool::new(false),
            head: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
            counted_unread: AtomicUsize::new(0),
        })
    }

    /// Returns the address of the caller.
    pub(super) const fn address(&self) -> Option<IpAddr> {
        self.address
    }

    /// Waits until the request that is being received has to be refused.
    pub(super) async fn rejected(&self) {
        self.signals.reject.notified().await;
    }

    /// Waits until the connection has to be closed.
    pub(super) async fn closed(&self) {
        self.signals.close.notified().await;
    }

    /// Returns whether other connections should free what they hold before this one reads more.
    pub(super) fn has_to_yield(&self) -> bool {
        self.state.callers.is_releasing()
    }

    /// Records the size of the buffer for the next bytes, with the head that is being received.
    pub(super) fn record_buffer(&self, size: usize) {
        self.resize(CallerShare::Buffer, size);
    }

    /// Adds bytes that were read to the head that is being received, and returns its size. While a
    /// request is being served, there is none.
    pub(super) fn extend_head(&self, read: usize) -> usize {
        match self.is_serving.load(Relaxed) {
            true => 0,
            false => self.head.fetch_add(read, Relaxed) + read,
        }
    }

    /// Records that a request begins, whose head was received.
    pub(super) fn begin_request(self: &Arc<Self>, has_body: bool, now: Instant) -> ActiveRequest {
        self.is_serving.store(true, Relaxed);
        self.head.store(0, Relaxed);
        // The request before may have become whole when it was to be rejected.
        let _ = self.rejected().now_or_never();
        self.enter(
            match has_body {
                true => CallerStage::Receiving,
                false => CallerStage::Serving,
            },
            now,
        );
        ActiveRequest(Arc::clone(self))
    }

    /// Records the size of the part of a request's body that was received.
    pub(super) fn set_body(&self, size: usize) {
        self.resize(CallerShare::Body, size);
    }

    /// Records that a request was received whole.
    pub(super) fn record_whole(&self) {
        self.enter(CallerStage::Serving, Instant::now());
    }

    /// Adds bytes of a response that are to be written to the socket.
    pub(super) fn add_response(&self, len: usize) {
        let unread = self.unread.fetch_add(len, Relaxed) + len;
        self.record_unread(unread);
    }

    /// Records bytes that were written to the socket.
    pub(super) fn record_written(&self, len: usize) {
        // Heads are written as well, but not added.
        let unread = self.unread.load(Relaxed).saturating_sub(len);
        self.unread.store(unread, Relaxed);
        self.record_unread(unread);
    }

    /// Records the size of the unread part of a response, unless it is a short one.
    fn record_unread(&self, unread: usize) {
        let counted = match unread > FREE_UNREAD {
            true => unread.min(MAX_UNREAD),
            false => 0,
        };
        if self.counted_unread.swap(counted, Relaxed) != counted {
            self.resize(CallerShare::Response, counted);
        }
    }

    /// Records that the caller does not read its response.
    pub(super) fn block(&self) {
        self.enter(CallerStage::Blocked, Instant::now());
    }

    /// Records that the caller reads its response again.
    pub(super) fn unblock(&self) {
        let stage = match self.is_serving.load(Relaxed) {
            true => CallerStage::Serving,
            false => CallerStage::Waiting,
        };
        self.enter(stage, Instant::now());
    }

    fn end_request(&self) {
        self.is_serving.store(false, Relaxed);
        self.set_body(0);
        self.enter(CallerStage::Waiting, Instant::now());
    }

    fn enter(&self, stage: CallerStage, now: Instant) {
        let state = &self.state;
        state.callers.enter(&state.metrics, self.key, stage, now);
    }

    fn resize(&self, share: CallerShare, bytes: usize) {
        let state = &self.state;
        state.callers.resize(&state.metrics, self.key, share, bytes);
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.state.callers.close(self.key);
    }
}

/// A request on a connection, until its response is complete or was given up.
pub(super) struct ActiveRequest(Arc<CallerConnection>);

impl ActiveRequest {
    pub(super) fn connection(&self) -> &CallerConnection {
        &self.0
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
