//! One generation inside the stand-in engine.

use std::sync::{Mutex, MutexGuard, PoisonError};

use celerypond_types::{TokenId, VersionName};
use tokio::sync::Notify;

/// One generation, which connections read and one task writes.
#[derive(Debug)]
pub struct Stream {
    version: VersionName,
    first: u32,
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    tokens: Vec<TokenId>,
    ended: bool,
    cancelled: bool,
}

/// What a reader finds at a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// A token.
    Token(TokenId),
    /// The end of the answer, with its length.
    End(u32),
    /// The stream was cancelled.
    Cancelled,
}

impl Stream {
    /// Makes a stream of a version whose first token has position `first`.
    pub fn new(version: VersionName, first: u32) -> Self {
        Self {
            version,
            first,
            inner: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the version that generates.
    pub fn version(&self) -> &VersionName {
        &self.version
    }

    /// Returns the position of the first token.
    pub fn first(&self) -> u32 {
        self.first
    }

    /// Appends a token; returns whether the stream goes on.
    pub fn push(&self, token: TokenId) -> bool {
        let mut inner = self.lock();
        if !inner.cancelled {
            inner.tokens.push(token);
        }
        let goes_on = !inner.cancelled;
        drop(inner);
        self.changed.notify_waiters();
        goes_on
    }

    /// Ends the stream.
    pub fn end(&self) {
        self.lock().ended = true;
        self.changed.notify_waiters();
    }

    /// Cancels the stream.
    pub fn cancel(&self) {
        self.lock().cancelled = true;
        self.changed.notify_waiters();
    }

    /// Returns whether a task still writes to the stream.
    pub fn is_running(&self) -> bool {
        let inner = self.lock();
        !inner.ended && !inner.cancelled
    }

    /// Returns how many tokens were generated.
    pub fn generated(&self) -> usize {
        self.lock().tokens.len()
    }

    /// Waits for what stands at `position`.
    pub async fn next(&self, position: u32) -> Next {
        loop {
            let changed = self.changed.notified();
            if let Some(next) = self.at(position) {
                return next;
            }
            changed.await;
        }
    }

    fn at(&self, position: u32) -> Option<Next> {
        let inner = self.lock();
        let index = position.checked_sub(self.first)? as usize;
        if inner.cancelled {
            return Some(Next::Cancelled);
        }
        match inner.tokens.get(index) {
            Some(token) => Some(Next::Token(*token)),
            None if inner.ended => Some(Next::End(self.first + inner.tokens.len() as u32)),
            None => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
