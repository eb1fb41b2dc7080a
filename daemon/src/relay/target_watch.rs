//! Watches the targets that the store lists.

use std::{sync::Arc, time::Duration};

use celerypond_adapter::{store, target};
use celerypond_platform::{Changes, Client, Listing, PlatformError, Received, Version};
use celerypond_relay::{Change, Observation, StoreBackoff, TargetEntry, Watchers};
use celerypond_telemetry::{Counter, Latency};
use celerypond_types::TargetName;
use tokio::time::{sleep, Instant};

use super::{
    state::RelayState,
    store_backoff::{pause, WATCH_POLL},
    store_view::Source,
};

/// Watches the targets until the instance ends.
pub(super) async fn run(state: Arc<RelayState>) {
    let mut watch = Watch::new(&state);
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            () = watch.turn() => {}
        }
    }
}

struct Watch<'a> {
    state: &'a RelayState,
    store: Client,
    received: Received,
    /// The revision up to which the store reported changes to this instance.
    since: Option<Version>,
    /// Whether the history of a watch is gone.
    must_list: bool,
    is_lost: bool,
    /// How long changes were gathered after the last call.
    gathered: Duration,
    backoff: StoreBackoff,
}

impl<'a> Watch<'a> {
    fn new(state: &'a RelayState) -> Self {
        let (store, received) = state.store.counting();
        Self {
            state,
            store,
            received,
            since: None,
            must_list: false,
            is_lost: false,
            gathered: Duration::ZERO,
            backoff: StoreBackoff::default(),
        }
    }

    async fn turn(&mut self) {
        let state = self.state;
        if state.known.is_complete() && !state.duty.must_watch() {
            // Watchers report changes; what they report is newer than what was seen here.
            state.duty.set_targets_answer(None);
            self.is_lost = false;
            state.duty.set_lost(false);
            sleep(WATCH_POLL).await;
            return;
        }
        let begun = Instant::now();
        let from = self.from();
        match self.call(from).await {
            Ok(revision) => self.answered(revision, begun).await,
            Err(error) => self.failed(error, from, begun).await,
        }
    }

    /// Returns the revision to watch from; nothing where a list is needed.
    ///
    /// The failure: the watchers of a large fleet die, and all others watch for themselves. If each began with a list,
    /// all would fetch at once what they have.
    fn from(&self) -> Option<Version> {
        let known = &self.state.known;
        let cached = known.has_targets().then(|| Version(known.revision()));
        self.since.max(cached).filter(|_| !self.must_list)
    }

    async fn call(&self, from: Option<Version>) -> Result<Version, PlatformError> {
        let Some(since) = from else {
            let begun = Instant::now();
            let listing = self.store.list_all(store::TARGETS_PREFIX).await;
            let listing = listing.map_err(|report| *report.current_context())?;
            self.state.latencies.add(Latency::Store, begun.elapsed());
            let revision = listing.revision;
            list(self.state, &listing);
            self.observe(revision, begun);
            return Ok(revision);
        };
        // Others rely on an answer of the store within this time.
        let wait = self.state.settings.load().bounds.watch_wait();
        let wait = wait.saturating_sub(self.gathered);
        let begun = Instant::now();
        let changes = self.store.watch(store::TARGETS_PREFIX, since, wait).await;
        let changes = changes.map_err(|report| *report.current_context())?;
        let revision = changes.revision.max(since);
        // Without a change the store has held the watch for the whole wait. An answer with changes may have been unread
        // for as long as the process was paused.
        let seen = match changes.changes.is_empty() {
            true => (begun + wait).min(Instant::now()),
            false => begun,
        };
        change(self.state, changes);
        self.observe(revision, seen);
        Ok(revision)
    }

    fn observe(&self, revision: Version, at: Instant) {
        self.state.known.observe_targets(Observation {
            version: revision.0,
            revision: revision.0,
            at,
        });
    }

    async fn answered(&mut self, revision: Version, begun: Instant) {
        let state = self.state;
        self.must_list = false;
        self.backoff.answered();
        self.since = Some(revision);
        state.duty.set_targets_answer(Some(Instant::now()));
        state.known.record_contact(begun);
        if std::mem::take(&mut self.is_lost) {
            state.duty.set_lost(false);
            log::info!(kind = store::TARGETS_PREFIX, revision = revision.0; "store regained");
        }
        self.gathered = Watchers::notice_gap(state.fleet.load().told.len());
        // One call then reports all that changed meanwhile: when a data centre's engines restart, each of a hundred
        // changes would end a watch of its own.
        sleep(self.gathered).await;
    }

    async fn failed(&mut self, error: PlatformError, from: Option<Version>, begun: Instant) {
        let state = self.state;
        // The store answers; only its history is too short, and a list makes that good.
        if error == PlatformError::Compacted {
            log::info!(kind = store::TARGETS_PREFIX; "history of a watch gone");
            self.must_list = true;
            return;
        }
        log::info!(
            kind = store::TARGETS_PREFIX,
            since = from.map(|from| from.0),
            error:% = error,
            received = self.received.bytes(),
            took_ms = begun.elapsed().as_millis() as u64;
            "watch failed"
        );
        if !std::mem::replace(&mut self.is_lost, true) {
            state.metrics.add(Counter::StoreLosses, 1);
            state.duty.set_lost(true);
            log::warn!(kind = store::TARGETS_PREFIX, error:% = error; "store lost");
        }
        self.must_list |= error == PlatformError::Malformed;
        let is_relied_on = state.duty.is_relied_on(&state.known);
        pause(state, error, self.backoff.failed(is_relied_on)).await;
    }
}

fn list(state: &RelayState, listing: &Listing) {
    let objects = listing.objects.iter();
    let entries = objects.filter_map(|object| entry(&object.key, &object.value));
    state
        .known
        .list_targets(entries.collect(), listing.revision.0, source(state));
}

fn change(state: &RelayState, changes: Changes) {
    let revision = changes.revision.0;
    let seen = changes.changes.into_iter().map(|change| {
        let told = change.value.and_then(|value| entry(&change.key, &value));
        let told = told.map_or_else(|| Change::Gone(name(&change.key)), Change::Is);
        (change.version.0, told)
    });
    state
        .known
        .change_targets(&seen.collect::<Vec<_>>(), revision, source(state));
}

/// Returns what the store is as a source: its first answer after a time without one may lack entries
/// that lapsed meanwhile.
fn source(state: &RelayState) -> Source {
    match state.duty.is_lost() {
        true => Source::StoreRegained,
        false => Source::Store,
    }
}

fn entry(key: &str, value: &[u8]) -> Option<TargetEntry> {
    let name = key.strip_prefix(store::TARGETS_PREFIX)?;
    if name.contains('/') {
        return None;
    }
    target::decode(name, value)
        .inspect_err(|error| log::warn!(target = name, error:% = error; "entry not used"))
        .ok()
}

fn name(key: &str) -> TargetName {
    TargetName::new(key.strip_prefix(store::TARGETS_PREFIX).unwrap_or(key))
}
