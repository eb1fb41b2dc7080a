use std::mem;

use tokio::time::Instant;

/// The memory of a connection besides what depends on its requests.
const CONNECTION_BYTES: usize = 12 << 10;

/// The memory of a request that is being served: the connection to its target, with the first part of
/// the response.
const SERVING_BYTES: usize = 24 << 10;

/// What a connection for requests does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerStage {
    /// It waits for a request, receives its head, or ends.
    Waiting,
    /// It receives the body of a request.
    Receiving,
    /// A whole request is being served.
    Serving,
    /// The caller does not read its response.
    Blocked,
}

/// What a connection makes the process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerShare {
    /// The buffer that it is read into, with the part of a head.
    Buffer,
    /// The body of its request.
    Body,
    /// The part of its response that it has not read.
    Response,
}

/// Whether a connection keeps what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tenure {
    Kept,
    /// Its request is being rejected.
    Rejected,
    /// It is being closed.
    Closing,
}

/// What a connection for requests does, and the bytes that it makes the process hold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerUse {
    stage: CallerStage,
    /// When it entered the stage.
    since: Instant,
    /// The bytes of each [`CallerShare`].
    shares: [usize; 3],
    tenure: Tenure,
    /// The bytes that it was told to give up and has not freed yet.
    releasing: usize,
}

impl CallerUse {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            stage: CallerStage::Waiting,
            since: now,
            shares: [0; 3],
            tenure: Tenure::Kept,
            releasing: 0,
        }
    }

    /// Returns the bytes that it was told to give up and has not freed yet.
    pub(crate) const fn releasing(&self) -> usize {
        self.releasing
    }

    pub(crate) fn bytes(&self) -> usize {
        let serving = match self.stage {
            CallerStage::Serving => SERVING_BYTES,
            CallerStage::Waiting | CallerStage::Receiving | CallerStage::Blocked => 0,
        };
        CONNECTION_BYTES + serving + self.shares.iter().sum::<usize>()
    }

    pub(crate) fn is_evictable(&self) -> bool {
        self.tenure == Tenure::Kept && self.stage != CallerStage::Serving
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.tenure == Tenure::Closing
    }

    /// Returns the product of the bytes and the time for which they are held, and the bytes.
    pub(crate) fn cost(&self, now: Instant) -> (u128, usize) {
        let held_for = now.saturating_duration_since(self.since).as_millis();
        (held_for * self.bytes() as u128, self.bytes())
    }

    pub(crate) fn enter(&mut self, stage: CallerStage, now: Instant) {
        // The response to a rejected request may remain unread.
        if self.tenure == Tenure::Rejected {
            self.tenure = Tenure::Kept;
            self.releasing = 0;
        }
        self.stage = stage;
        self.since = now;
    }

    pub(crate) fn resize(&mut self, share: CallerShare, bytes: usize) {
        let is_given_up = match self.tenure {
            Tenure::Kept => false,
            Tenure::Rejected => share == CallerShare::Body,
            Tenure::Closing => true,
        };
        let is_freed = self.tenure == Tenure::Rejected && is_given_up && bytes == 0;
        if is_freed {
            self.releasing = 0;
        }
        if !is_given_up {
            self.shares[share as usize] = bytes;
        }
    }

    /// Gives up the body of the request. Returns whether one was being received.
    pub(crate) fn reject(&mut self) -> bool {
        let is_receiving = self.stage == CallerStage::Receiving;
        if is_receiving {
            self.releasing = mem::take(&mut self.shares[CallerShare::Body as usize]);
            self.tenure = Tenure::Rejected;
        }
        is_receiving
    }

    /// Gives up all but the connection itself, which is about to end.
    pub(crate) fn close(&mut self) {
        self.releasing += self.shares.iter().sum::<usize>();
        self.shares = [0; 3];
        self.tenure = Tenure::Closing;
    }
}
