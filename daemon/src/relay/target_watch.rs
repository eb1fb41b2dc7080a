//! Watches the targets that are listed in the store.

use std::{sync::Arc, time::Duration};

use celerypond_adapter::{store, target};
use celerypond_platform::{Changes, Client, Listing, PlatformError, TransferProgress, Version};
use celerypond_relay::{Change, Observation, StoreBackoff, TargetEntry, Watchers};
use celerypond_telemetry::{Counter, Latency};
use celerypond_types::TargetName;
use tokio::time::{sleep, Instant};

use super::{
    state::RelayState,
    store_backoff::{pause, WATCH_CHECK_INTERVAL},
    store_view::Source,
};

/// Watches the targets until the instance ends.
pub(super) async fn run(state: Arc<RelayState>) {
    let mut watch = TargetWatch::new(&state);
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            () = watch.poll_once() => {}
        }
    }
}

struct TargetWatch<'a> {
    state: &'a RelayState,
    store: Client,
    received: TransferProgress,
    /// The revision up to which the store reported changes to this instance itself.
    since: Option<Version>,
    /// Whether the store no longer has the history since `since`, so that a list is needed.
    needs_list: bool,
    /// Whether the store has not answered since a call to it failed.
    is_lost: bool,
    /// How long changes were collected after the last call.
    coalesce_time: Duration,
    backoff: StoreBackoff,
}

impl<'a> TargetWatch<'a> {
    fn new(state: &'a RelayState) -> Self {
        let (store, received) = state.store.with_progress();
        Self {
            state,
            store,
            received,
            since: None,
            needs_list: false,
            is_lost: false,
            coalesce_time: Duration::ZERO,
            backoff: StoreBackoff::default(),
        }
    }

    async fn poll_once(&mut self) {
        let state = self.state;
        if state.view.is_complete() && !state.watch_duty.must_watch() {
            // The watchers report changes, which are newer than what was last seen here.
            state.watch_duty.set_targets_answer(None);
            self.is_lost = false;
            state.watch_duty.set_lost(false);
            sleep(WATCH_CHECK_INTERVAL).await;
            return;
        }
        let started = Instant::now();
        let since = self.watch_start();
        match self.fetch(since).await {
            Ok(revision) => self.record_answer(revision, started).await,
            Err(error) => self.handle_failure(error, since, started).await,
        }
    }

    /// Returns the revision to watch from, or `None` if a list is needed.
    ///
    /// When the watchers of a large fleet die, all other instances watch the store themselves. If
    /// each began with a list, all would fetch at once what they already have.
    fn watch_start(&self) -> Option<Version> {
        let view = &self.state.view;
        let cached = view.has_targets().then(|| Version(view.targets_revision()));
        self.since.max(cached).filter(|_| !self.needs_list)
    }

    async fn fetch(&self, since: Option<Version>) -> Result<Version, PlatformError> {
        let Some(since) = since else {
            let started = Instant::now();
            let listing = self.store.list_all(store::TARGETS_PREFIX).await;
            let listing = listing.map_err(|report| *report.current_context())?;
            self.state.view.record_store_answer(Instant::now());
            self.state.latencies.add(Latency::Store, started.elapsed());
            let revision = listing.revision;
            replace_targets(self.state, &listing);
            self.observe(revision, started);
            return Ok(revision);
        };
        // Other instances expect an answer of the store within this time.
        let wait = self.state.settings.load().bounds.watch_wait();
        let wait = wait.saturating_sub(self.coalesce_time);
        let started = Instant::now();
        let changes = self.store.watch(store::TARGETS_PREFIX, since, wait).await;
        let changes = changes.map_err(|report| *report.current_context())?;
        self.state.view.record_store_answer(Instant::now());
        let revision = changes.revision.max(since);
        // Without a change, the store held the watch for the whole wait. An answer with changes may
        // have been unread for as long as the process was paused.
        let seen = match changes.changes.is_empty() {
            true => (started + wait).min(Instant::now()),
            false => started,
        };
        apply_changes(self.state, changes);
        self.observe(revision, seen);
        Ok(revision)
    }

    fn observe(&self, revision: Version, at: Instant) {
        self.state.view.observe_targets(Observation {
            version: revision.0,
            revision: revision.0,
            at,
        });
    }

    async fn record_answer(&mut self, revision: Version, started: Instant) {
        let state = self.state;
        self.needs_list = false;
        self.backoff.answered();
        self.since = Some(revision);
        state.watch_duty.set_targets_answer(Some(Instant::now()));
        state.view.record_contact(started);
        if std::mem::take(&mut self.is_lost) {
            state.watch_duty.set_lost(false);
            log::info!(kind = store::TARGETS_PREFIX, revision = revision.0; "store regained");
        }
        self.coalesce_time = Watchers::notice_gap(state.fleet.load().recipients.len());
        // The next call reports all changes of this time at once. When a data centre's engines
        // restart, each of a hundred changes would otherwise end a watch of its own.
        sleep(self.coalesce_time).await;
    }

    async fn handle_failure(
        &mut self,
        error: PlatformError,
        since: Option<Version>,
        started: Instant,
    ) {
        let state = self.state;
        // The store is available, but it no longer has the history since this revision. A list
        // replaces it.
        if error == PlatformError::Compacted {
            log::info!(kind = store::TARGETS_PREFIX; "history of a watch gone");
            self.needs_list = true;
            return;
        }
        log::info!(
            kind = store::TARGETS_PREFIX,
            since = since.map(|since| since.0),
            error:% = error,
            received = self.received.bytes(),
            took_ms = started.elapsed().as_millis() as u64;
            "watch failed"
        );
        if !std::mem::replace(&mut self.is_lost, true) {
            // A watch that did not time out was cut off, so the store was there until now.
            let is_cut_off = started.elapsed() < state.settings.load().bounds.watch_wait();
            if since.is_some() && is_cut_off {
                state.view.record_store_answer(Instant::now());
            }
            state.metrics.add(Counter::StoreLosses, 1);
            state.watch_duty.set_lost(true);
            log::warn!(kind = store::TARGETS_PREFIX, error:% = error; "store lost");
        }
        self.needs_list |= error == PlatformError::Malformed;
        let is_relied_on = state.watch_duty.is_relied_on(&state.view);
        pause(state, error, self.backoff.failed(is_relied_on)).await;
    }
}

fn replace_targets(state: &RelayState, listing: &Listing) {
    let objects = listing.objects.iter();
    let entries = objects.filter_map(|object| decode_entry(&object.key, &object.value));
    state
        .view
        .replace_targets(entries.collect(), listing.revision.0, Source::Store);
}

fn apply_changes(state: &RelayState, changes: Changes) {
    let revision = changes.revision.0;
    let seen = changes.changes.into_iter().map(|change| {
        let entry = change
            .value
            .and_then(|value| decode_entry(&change.key, &value));
        let entry = entry.map_or_else(|| Change::Gone(target_name(&change.key)), Change::Is);
        (change.version.0, entry)
    });
    state
        .view
        .apply_changes(&seen.collect::<Vec<_>>(), revision, Source::Store);
}

fn decode_entry(key: &str, value: &[u8]) -> Option<TargetEntry> {
    let name = key.strip_prefix(store::TARGETS_PREFIX)?;
    if name.contains('/') {
        return None;
    }
    target::decode(name, value)
        .inspect_err(
            |error| log::warn!(target = name, error:% = error; "ignoring an invalid target entry"),
        )
        .ok()
}

fn target_name(key: &str) -> TargetName {
    TargetName::new(key.strip_prefix(store::TARGETS_PREFIX).unwrap_or(key))
}
