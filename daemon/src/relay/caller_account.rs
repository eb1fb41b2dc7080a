//! The account of what callers make this instance hold.

use std::sync::{
    atomic::{AtomicBool, Ordering::Relaxed},
    Arc, Mutex, MutexGuard, PoisonError,
};

use celerypond_relay::{
    CallerBudget, CallerKey, CallerShare, CallerStage, Eviction, ProcessLimits, TooManyCallers,
};
use celerypond_telemetry::{Counter, Metrics};
use slotmap::SecondaryMap;
use tokio::time::Instant;

use super::caller_connection::CallerSignals;

/// The account of what callers make this instance hold, with the signals by which their connections
/// give it up.
pub(super) struct CallerAccount {
    accounts: Mutex<Accounts>,
    /// Whether connections had to give up something since this was last taken.
    is_short: AtomicBool,
}

struct Accounts {
    budget: CallerBudget,
    signals: SecondaryMap<CallerKey, Arc<CallerSignals>>,
}

impl CallerAccount {
    pub(super) fn new(limits: &ProcessLimits) -> Self {
        Self {
            accounts: Mutex::new(Accounts {
                budget: CallerBudget::new(limits.caller_bytes(), limits.caller_connections()),
                signals: SecondaryMap::new(),
            }),
            is_short: AtomicBool::new(false),
        }
    }

    /// Returns the number of bytes that are held.
    pub(super) fn used(&self) -> usize {
        self.lock().budget.used()
    }

    /// Returns whether connections have yet to free what they were told to give up.
    pub(super) fn is_releasing(&self) -> bool {
        self.lock().budget.is_releasing()
    }

    /// Returns whether memory or connections were short since the last call.
    pub(super) fn take_short(&self) -> bool {
        self.is_short.swap(false, Relaxed)
    }

    /// Adds a connection.
    ///
    /// # Errors
    ///
    /// [`TooManyCallers`] if a request runs on each connection that there may be.
    pub(super) fn open(
        &self,
        metrics: &Metrics,
        signals: &Arc<CallerSignals>,
    ) -> Result<CallerKey, TooManyCallers> {
        let mut accounts = self.lock();
        let opened = accounts.budget.open(Instant::now()).inspect_err(|_| {
            self.is_short.store(true, Relaxed);
            metrics.add(Counter::CallersTurnedAway, 1);
        })?;
        accounts.signals.insert(opened.key, Arc::clone(signals));
        self.notify(metrics, &accounts, &opened.evicted);
        Ok(opened.key)
    }

    pub(super) fn enter(
        &self,
        metrics: &Metrics,
        key: CallerKey,
        stage: CallerStage,
        now: Instant,
    ) {
        let mut accounts = self.lock();
        let evicted = accounts.budget.enter(key, stage, now);
        self.notify(metrics, &accounts, &evicted);
    }

    pub(super) fn resize(
        &self,
        metrics: &Metrics,
        key: CallerKey,
        share: CallerShare,
        bytes: usize,
    ) {
        let mut accounts = self.lock();
        let evicted = accounts.budget.resize(key, share, bytes, Instant::now());
        self.notify(metrics, &accounts, &evicted);
    }

    /// Removes a connection that has ended.
    pub(super) fn close(&self, key: CallerKey) {
        let mut accounts = self.lock();
        accounts.budget.close(key);
        accounts.signals.remove(key);
    }

    fn notify(&self, metrics: &Metrics, accounts: &Accounts, evicted: &[Eviction]) {
        for eviction in evicted {
            let (key, counter) = match eviction {
                Eviction::Reject(key) => (key, Counter::BodiesRejected),
                Eviction::Close(key) => (key, Counter::CallersClosed),
            };
            self.is_short.store(true, Relaxed);
            metrics.add(counter, 1);
            if let Some(signals) = accounts.signals.get(*key) {
                match eviction {
                    Eviction::Reject(_) => signals.reject.notify_one(),
                    Eviction::Close(_) => signals.close.notify_one(),
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Accounts> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
