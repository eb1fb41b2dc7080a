//! Keeps the configuration current, from the store or from other instances.
//!
//! A single task makes all transfers of an instance, one after the other. Two concurrent transfers
//! would share the link, and each would be as late as both together.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc, OnceLock},
    time::Duration,
};

use celerypond_adapter::{config, store};
use celerypond_platform::{
    Changes, Client, Listing, Object, PlatformError, TransferProgress, Version,
};
use celerypond_relay::{decode, Config, Observation, StoreBackoff};
use celerypond_telemetry::{Counter, Latency};
use celerypond_types::Revision;
use tokio::time::{sleep, timeout, Instant};

use super::{
    state::RelayState,
    store_backoff::{pause, WATCH_CHECK_INTERVAL},
    store_view::Source,
    target_sync,
};

/// How long the store may take to begin its answer before peers are queried as well.
const MAX_STORE_DELAY: Duration = Duration::from_millis(150);
/// How long a watch may take to report a version that other instances have.
const MAX_WATCH_LAG: Duration = Duration::from_millis(200);
/// The maximum size of a watch's answer without changes, in bytes.
const MAX_EMPTY_ANSWER_BYTES: u64 = 256;
/// If the store held a watch for at least this time, it had nothing to report when the watch began.
const MIN_HELD_TIME: Duration = Duration::from_millis(50);
/// The maximum delay of the first bytes of a watch's answer.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// The interval at which a watch is checked for the beginning of its answer.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which a transfer in progress is recorded.
const TRANSFER_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The interval between two rounds of queries to peers.
const PEER_ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// The number of peers that are queried in one round.
const PEERS_PER_ROUND: usize = 4;
/// The timeout of a transfer of a configuration from a peer. A peer sends two at a time, and a
/// configuration has a megabyte at most.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Keeps the configuration current until the instance ends.
pub(super) async fn run(state: Arc<RelayState>) {
    let mut sync = ConfigSync::new(&state);
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            () = sync.poll_once() => {}
        }
    }
}

struct ConfigSync<'a> {
    state: &'a RelayState,
    store: Client,
    /// The bytes received of the store's answer to the current call.
    received: TransferProgress,
    backoff: StoreBackoff,
    /// Whether the store no longer has the history since the known revision, so that a list is
    /// needed.
    needs_list: bool,
    /// Whether the store has not answered since a call to it failed.
    is_lost: bool,
}

impl<'a> ConfigSync<'a> {
    fn new(state: &'a RelayState) -> Self {
        let (store, received) = state.store.with_progress();
        Self {
            state,
            store,
            received,
            backoff: StoreBackoff::default(),
            needs_list: false,
            is_lost: false,
        }
    }

    async fn poll_once(&mut self) {
        let state = self.state;
        if state.view.has_config() && !state.watch_duty.must_watch() {
            return self.sync_with_watchers().await;
        }
        let revision = state.view.config_revision();
        let answer = match revision.filter(|_| !self.needs_list) {
            Some(revision) => self.watch(revision).await,
            None => self.list().await,
        };
        match answer {
            Ok(Source::Store) => self.record_answer(),
            Ok(_) => {}
            Err(error) => self.handle_failure(error).await,
        }
    }

    /// Waits until a newer version is known to exist, and fetches it.
    async fn sync_with_watchers(&mut self) {
        let state = self.state;
        state.watch_duty.set_config_answer(None);
        self.is_lost = false;
        // Watchers report a revision from which the store still has the history.
        self.needs_list = false;
        if !self.is_outdated() {
            tokio::select! {
                () = state.newer_config.notified() => {}
                () = sleep(WATCH_CHECK_INTERVAL) => {}
            }
            return;
        }
        let previous = state.view.config_version();
        match self.fetch().await {
            Ok(_) if state.view.config_version() > previous || !self.is_outdated() => {
                self.backoff.answered()
            }
            // The newer version cannot be fetched yet.
            Ok(_) => sleep(*self.backoff.failed(false).start()).await,
            Err(error) => pause(state, error, self.backoff.failed(true)).await,
        }
    }

    /// Waits until a newer version is known to exist.
    async fn wait_outdated(&self) {
        while !self.is_outdated() {
            tokio::select! {
                () = self.state.newer_config.notified() => {}
                () = sleep(WATCH_CHECK_INTERVAL) => {}
            }
        }
    }

    fn is_outdated(&self) -> bool {
        self.state.newest_config() > self.state.view.config_version()
    }

    async fn watch(&mut self, since: u64) -> Result<Source, PlatformError> {
        let wait = self.state.settings.load().bounds.watch_wait();
        let started = Instant::now();
        let answer_sent = OnceLock::new();
        // Bytes of the previous call must not be taken for the beginning of this answer.
        self.received.reset();
        let changes = tokio::select! {
            changes = self.store.watch(store::CONFIG_PREFIX, Version(since), wait) => changes,
            () = self.wait_watch_lag() => return self.fetch().await,
            never = self.report_transfer(since, started, &answer_sent) => match never {},
        };
        self.state.view.is_receiving.store(false, Relaxed);
        let changes = changes.map_err(|report| *report.current_context())?;
        // Without a change, the store held the watch for the whole wait.
        let held_until = (started + wait).min(Instant::now());
        self.apply_changes(changes, answer_sent.get().copied().unwrap_or(held_until));
        Ok(Source::Store)
    }

    /// Reports to other instances as soon as a watch begins to send a newer version, so that they
    /// fetch it at the same time and not after the transfer.
    async fn report_transfer(
        &self,
        since: u64,
        started: Instant,
        answer_sent: &OnceLock<Instant>,
    ) -> Infallible {
        let received = self.received.wait_until_above(MAX_EMPTY_ANSWER_BYTES);
        let mut received = std::pin::pin!(received);
        // A process that was paused reads late what arrived during the pause. So the answer is
        // dated by the last check without an answer, ignoring checks that were themselves delayed
        // by a pause.
        let (mut last_empty, mut last_poll) = (started, Instant::now());
        while timeout(ANSWER_POLL_INTERVAL, received.as_mut())
            .await
            .is_err()
        {
            let now = Instant::now();
            if now.saturating_duration_since(last_poll) < ANSWER_POLL_INTERVAL * 2 {
                last_empty = now;
            }
            last_poll = now;
        }
        let sent_at = last_empty.checked_sub(MAX_ANSWER_DELAY);
        let sent_at = sent_at.map_or(started, |sent_at| sent_at.max(started));
        answer_sent.get_or_init(|| sent_at);
        let view = &self.state.view;
        let now = Instant::now();
        if last_empty.saturating_duration_since(started) > MIN_HELD_TIME {
            // The store had nothing to report until it sent this answer.
            self.observe(Version(since), sent_at);
        }
        let version = view.config_version();
        view.config_freshness().record_transfer(version, now);
        view.is_receiving.store(true, Relaxed);
        view.unreported_change.notify_one();
        loop {
            // The store is answering during the transfer, so other instances do not need to watch
            // it.
            self.state
                .watch_duty
                .set_config_answer(Some(Instant::now()));
            sleep(TRANSFER_REPORT_INTERVAL).await;
            view.config_freshness()
                .record_transfer(version, Instant::now());
        }
    }

    /// Waits until a newer version is known to exist although the current watch does not begin to
    /// send one.
    async fn wait_watch_lag(&self) {
        loop {
            sleep(MAX_WATCH_LAG).await;
            if !self.is_outdated() {
                continue;
            }
            sleep(MAX_WATCH_LAG).await;
            if self.is_outdated() && self.received.bytes() == 0 {
                return;
            }
        }
    }

    async fn list(&mut self) -> Result<Source, PlatformError> {
        let started = Instant::now();
        let has_no_config = !self.state.view.has_config();
        let listing = tokio::select! {
            listing = self.store.list_all(store::CONFIG_PREFIX) => listing,
            () = self.poll_peers(0), if has_no_config => return Ok(Source::Peer),
        };
        let listing = listing.map_err(|report| *report.current_context());
        self.record_fetch(0, listing.as_ref().err().copied(), started);
        self.apply_listing(listing?, started);
        self.needs_list = false;
        Ok(Source::Store)
    }

    /// Fetches the newest known version from the store, or from a peer if the store does not send
    /// it.
    async fn fetch(&mut self) -> Result<Source, PlatformError> {
        let newest = self.state.newest_config();
        let started = Instant::now();
        let object = tokio::select! {
            object = self.store.get(store::CONFIG_KEY) => object,
            () = self.poll_peers(newest) => return Ok(Source::Peer),
        };
        let object = object.map_err(|report| *report.current_context());
        self.record_fetch(newest, object.as_ref().err().copied(), started);
        match object {
            Ok(object) => {
                self.apply_object(&object, started);
                Ok(Source::Store)
            }
            Err(_) if self.query_peers(newest).await => Ok(Source::Peer),
            Err(error) => Err(error),
        }
    }

    fn apply_listing(&self, listing: Listing, started: Instant) {
        for object in listing.objects {
            apply_value(self.state, &object.key, &object.value);
        }
        self.observe(listing.revision, started);
        self.state.view.config_freshness().confirm_read(started);
    }

    fn apply_changes(&self, changes: Changes, at: Instant) {
        for change in changes.changes {
            if let Some(value) = change.value {
                apply_value(self.state, &change.key, &value);
            }
        }
        self.observe(changes.revision, at);
        self.state
            .view
            .config_freshness()
            .confirm_read(Instant::now());
    }

    fn apply_object(&self, object: &Object, started: Instant) {
        apply_value(self.state, &object.key, &object.value);
        self.observe(object.version, started);
        self.state.view.config_freshness().confirm_read(started);
    }

    /// Records that the current version is the newest one that can be read at this revision of the
    /// store.
    fn observe(&self, revision: Version, at: Instant) {
        self.state.view.observe_config(Observation {
            version: self.state.view.config_version(),
            revision: revision.0,
            at,
        });
        self.state.view.record_contact(at);
    }

    fn record_answer(&mut self) {
        self.backoff.answered();
        self.state
            .watch_duty
            .set_config_answer(Some(Instant::now()));
        if std::mem::take(&mut self.is_lost) {
            log::info!(kind = store::CONFIG_PREFIX; "store regained");
        }
    }

    async fn handle_failure(&mut self, error: PlatformError) {
        // The store is available, but it no longer has the history since this revision. A list
        // replaces it.
        if error == PlatformError::Compacted {
            log::info!(kind = store::CONFIG_PREFIX; "history of a watch gone");
            self.needs_list = true;
            return;
        }
        self.needs_list |= error == PlatformError::Malformed;
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(kind = store::CONFIG_PREFIX, error:% = error; "store lost");
        }
        let view = &self.state.view;
        if view.has_config() && !self.is_outdated() {
            let is_relied_on = self.state.watch_duty.is_relied_on(view);
            let limits = self.backoff.failed(is_relied_on);
            tokio::select! {
                () = pause(self.state, error, limits) => {}
                () = self.wait_outdated() => {}
            }
        } else if !self.query_peers(self.state.newest_config()).await {
            pause(self.state, error, self.backoff.failed(true)).await;
        }
    }

    /// Queries peers until one has sent a configuration of at least this version, while the store
    /// has not begun to answer.
    async fn poll_peers(&self, version: u64) {
        sleep(MAX_STORE_DELAY).await;
        loop {
            if self.received.bytes() == 0 && self.query_peers(version).await {
                return;
            }
            sleep(PEER_ROUND_INTERVAL).await;
        }
    }

    /// Queries a few peers and returns whether one sent a configuration of at least this version.
    ///
    /// They are chosen at random. If all instances queried the watcher, its link would be saturated
    /// for seconds.
    async fn query_peers(&self, version: u64) -> bool {
        let peers = target_sync::peers(self.state);
        for peer in peers.into_iter().take(PEERS_PER_ROUND) {
            if query_peer(self.state, peer, version).await {
                return true;
            }
        }
        false
    }

    /// Counts and logs a read from the store.
    fn record_fetch(&self, version: u64, error: Option<PlatformError>, started: Instant) {
        let state = self.state;
        let received = self.received.bytes();
        let elapsed = started.elapsed();
        if error.is_none() {
            state.latencies.add(Latency::Store, elapsed);
        }
        count_fetch(state, error.is_none(), received);
        log::info!(
            source = "store",
            wanted = version,
            known = state.view.config_version(),
            error = error.map(|error| error.to_string()),
            received,
            took_ms = elapsed.as_millis() as u64;
            "configuration fetch ended"
        );
    }
}

/// Queries a peer for a configuration of at least this version and returns whether it sent one.
async fn query_peer(state: &RelayState, peer: SocketAddr, version: u64) -> bool {
    let started = Instant::now();
    let response = timeout(
        PEER_TIMEOUT,
        state.peers.fetch_bundle(peer, Revision(version)),
    )
    .await;
    let is_answered = matches!(response, Ok(Ok(_)));
    let response = response.ok().and_then(Result::ok).flatten();
    let received = response.as_ref().map_or(0, Vec::len);
    count_fetch(state, response.is_some(), received as u64);
    log::info!(
        source:% = peer,
        wanted = version,
        known = state.view.config_version(),
        is_answered,
        received,
        took_ms = started.elapsed().as_millis() as u64;
        "configuration fetch ended"
    );
    let Some(bytes) = response else {
        return false;
    };
    match decode::<Config>(&bytes) {
        Ok(config) => {
            state.view.record_contact(started);
            state.view.apply_config(config, Source::Peer);
        }
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "cannot decode a peer's configuration");
            return false;
        }
    }
    true
}

fn count_fetch(state: &RelayState, is_complete: bool, received: u64) {
    let counter = match is_complete {
        true => Counter::ConfigFetches,
        false => Counter::ConfigFetchFailures,
    };
    state.metrics.add(counter, 1);
    state.metrics.add(Counter::ConfigBytes, received);
}

fn apply_value(state: &RelayState, key: &str, value: &[u8]) {
    if key != store::CONFIG_KEY {
        return;
    }
    match config::decode(value) {
        Ok(config) => state.view.apply_config(config, Source::Store),
        Err(error) => log::error!(error:% = error; "cannot decode the configuration"),
    }
}
