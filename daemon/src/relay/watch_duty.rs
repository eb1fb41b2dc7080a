//! Whether this instance has to watch the store, and when the store last answered it.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering::Relaxed},
        Mutex, MutexGuard, PoisonError,
    },
    time::Duration,
};

use celerypond_relay::Watchers;
use tokio::time::Instant;

use super::store_view::StoreView;

/// Whether this instance has to watch the store, and when the store last answered it.
pub(super) struct WatchDuty {
    /// The reports of the instances that watch the store.
    watchers: Mutex<Watchers>,
    /// Whether this instance is elected to watch the store for the fleet.
    pub(super) is_chosen: AtomicBool,
    /// Whether the watch of targets currently gets no answer from the store.
    is_lost: AtomicBool,
    /// When the store last answered about the configuration, or `None` while this instance does not
    /// watch it.
    config_answer: Mutex<Option<Instant>>,
    /// When the store last answered about targets, or `None` while this instance does not watch
    /// them.
    targets_answer: Mutex<Option<Instant>>,
}

impl WatchDuty {
    /// Creates the state for watches that wait this long for a change.
    pub(super) fn new(watch_wait: Duration) -> Self {
        Self {
            watchers: Mutex::new(Watchers::new(watch_wait)),
            is_chosen: AtomicBool::new(false),
            is_lost: AtomicBool::new(false),
            config_answer: Mutex::default(),
            targets_answer: Mutex::default(),
        }
    }

    pub(super) fn watchers(&self) -> MutexGuard<'_, Watchers> {
        lock(&self.watchers)
    }

    /// Returns whether this instance has to watch the store itself.
    pub(super) fn must_watch(&self) -> bool {
        let is_chosen = self.is_chosen.load(Relaxed);
        self.watchers().must_watch(is_chosen, Instant::now())
    }

    /// Returns whether the watch of targets currently gets no answer from the store.
    pub(super) fn is_lost(&self) -> bool {
        self.is_lost.load(Relaxed)
    }

    /// Records whether the watch of targets gets no answer from the store.
    pub(super) fn set_lost(&self, is_lost: bool) {
        self.is_lost.store(is_lost, Relaxed);
    }

    /// Records when the store answered about the configuration, or `None` while this instance does
    /// not watch it.
    pub(super) fn set_config_answer(&self, at: Option<Instant>) {
        *lock(&self.config_answer) = at;
    }

    /// Records when the store answered about targets, or `None` while this instance does not watch
    /// them.
    pub(super) fn set_targets_answer(&self, at: Option<Instant>) {
        *lock(&self.targets_answer) = at;
    }

    /// Returns whether other instances, or this instance's own callers, depend on its calls to the
    /// store.
    pub(super) fn is_relied_on(&self, view: &StoreView) -> bool {
        self.is_chosen.load(Relaxed) || !view.is_complete()
    }

    /// Returns whether the store answered about the configuration within this time.
    pub(super) fn store_answers_within(&self, time: Duration) -> bool {
        let answer = *lock(&self.config_answer);
        answer.is_some_and(|at| at.elapsed() < time)
    }

    /// Returns how long ago the store last answered this instance, if it watches the store.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        let answered = |at: &Mutex<Option<Instant>>| {
            let at = *lock(at);
            at.map(|at| now.saturating_duration_since(at))
        };
        let (config, targets) = (
            answered(&self.config_answer),
            answered(&self.targets_answer),
        );
        Some(config?.max(targets?))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
