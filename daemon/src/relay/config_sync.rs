//! Keeps the configuration current, from the store or from other instances.
//!
//! One task makes all transfers of an instance, one after the other: two of them share its link, and each is then as
//! late as both together.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc, OnceLock},
    time::Duration,
};

use celerypond_adapter::{config, store};
use celerypond_platform::{Changes, Client, Listing, Object, PlatformError, Received, Version};
use celerypond_relay::{unpack, Config, Observation, StoreRest};
use celerypond_telemetry::{Counter, Latency};
use celerypond_types::Revision;
use rand::seq::SliceRandom as _;
use tokio::time::{sleep, timeout, Instant};

use super::{
    follow,
    knowledge::Source,
    site::Site,
    store_rest::{rest, WATCH_POLL},
};

/// How long the store may take to begin its answer before other instances are asked as well.
const STORE_START: Duration = Duration::from_millis(150);
/// How long a watch may take to begin to tell of a version that other instances know.
const WATCH_LAG: Duration = Duration::from_millis(200);
/// The largest answer of a watch that tells of no change, in bytes.
const EMPTY_ANSWER: u64 = 256;
/// A watch that the store held for so long had nothing to tell when it began.
const WATCH_HELD: Duration = Duration::from_millis(50);
/// How often the others are told that a transfer is still under way.
const TRANSFER_POLL: Duration = Duration::from_millis(200);
/// The time between two rounds of questions to other instances.
const PEER_ROUND: Duration = Duration::from_millis(300);
/// How many instances are asked in one round.
const PEERS_PER_ROUND: usize = 4;
/// How long an instance may take to send a configuration. It sends two at a time, and one has a megabyte at most.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Keeps the configuration current until the instance ends.
pub(super) async fn run(site: Arc<Site>) {
    let mut sync = Sync::new(&site);
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            () = sync.turn() => {}
        }
    }
}

/// Who told a configuration, or that there is none that is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    ByStore,
    ByPeer,
}

struct Sync<'a> {
    site: &'a Site,
    store: Client,
    /// What has arrived of the store's answer to the call under way.
    received: Received,
    rest: StoreRest,
    /// Whether the history since the known revision is gone, so that only a list tells what is there.
    must_list: bool,
    is_lost: bool,
}

impl<'a> Sync<'a> {
    fn new(site: &'a Site) -> Self {
        let (store, received) = site.store.counting();
        Self {
            site,
            store,
            received,
            rest: StoreRest::default(),
            must_list: false,
            is_lost: false,
        }
    }

    async fn turn(&mut self) {
        let site = self.site;
        if site.known.has_config() && !site.duty.must_watch() {
            return self.follow().await;
        }
        let revision = site.known.config_revision();
        let told = match revision.filter(|_| !self.must_list) {
            Some(revision) => self.watch(revision).await,
            None => self.list().await,
        };
        match told {
            Ok(Told::ByStore) => self.answered(),
            Ok(Told::ByPeer) => {}
            Err(error) => self.failed(error).await,
        }
    }

    /// Waits for the word of a newer version and fetches it.
    async fn follow(&mut self) {
        let site = self.site;
        site.duty.set_config_answer(None);
        self.is_lost = false;
        // Watchers tell a revision to watch from whose history is there.
        self.must_list = false;
        if !self.is_behind() {
            tokio::select! {
                () = site.newer_config.notified() => {}
                () = sleep(WATCH_POLL) => {}
            }
            return;
        }
        let before = site.known.version();
        match self.fetch().await {
            Ok(_) if site.known.version() > before || !self.is_behind() => self.rest.answered(),
            // What others know is not to be had yet.
            Ok(_) => sleep(*self.rest.failed(false).start()).await,
            Err(error) => rest(site, error, self.rest.failed(true)).await,
        }
    }

    /// Waits until other instances are known to have a newer version.
    async fn wait_behind(&self) {
        while !self.is_behind() {
            tokio::select! {
                () = self.site.newer_config.notified() => {}
                () = sleep(WATCH_POLL) => {}
            }
        }
    }

    fn is_behind(&self) -> bool {
        self.site.newest_config() > self.site.known.version()
    }

    async fn watch(&mut self, since: u64) -> Result<Told, PlatformError> {
        let wait = self.site.settings.load().bounds.watch_wait();
        let begun = Instant::now();
        let answered = OnceLock::new();
        // What the call before has received must not be taken for the beginning of this answer.
        self.received.reset();
        let changes = tokio::select! {
            changes = self.store.watch(store::CONFIG_PREFIX, Version(since), wait) => changes,
            () = self.watch_lags() => return self.fetch().await,
            never = self.announce(since, begun, &answered) => match never {},
        };
        self.site.known.is_receiving.store(false, Relaxed);
        let changes = changes.map_err(|report| *report.current_context())?;
        self.take_changes(
            changes,
            answered.get().copied().unwrap_or_else(Instant::now),
        );
        Ok(Told::ByStore)
    }

    /// Notes when a watch begins to tell of a newer version, and tells the others at once that there is one.
    ///
    /// They fetch it while the transfer here goes on; told afterwards, they would be later by that time.
    async fn announce(
        &self,
        since: u64,
        begun: Instant,
        answered: &OnceLock<Instant>,
    ) -> Infallible {
        self.received.exceeds(EMPTY_ANSWER).await;
        let now = *answered.get_or_init(Instant::now);
        let known = &self.site.known;
        if now.saturating_duration_since(begun) > WATCH_HELD {
            // The store held the watch as it had nothing to tell until now.
            self.observe(Version(since), now);
        }
        let version = known.version();
        known.freshness().observe_newer(version, now);
        known.is_receiving.store(true, Relaxed);
        known.told.notify_one();
        loop {
            sleep(TRANSFER_POLL).await;
            known.freshness().observe_newer(version, Instant::now());
        }
    }

    /// Waits until other instances know a version of which the watch under way does not begin to tell.
    async fn watch_lags(&self) {
        loop {
            sleep(WATCH_LAG).await;
            if !self.is_behind() {
                continue;
            }
            sleep(WATCH_LAG).await;
            if self.is_behind() && self.received.bytes() == 0 {
                return;
            }
        }
    }

    async fn list(&mut self) -> Result<Told, PlatformError> {
        let begun = Instant::now();
        let knows_none = !self.site.known.has_config();
        let listing = tokio::select! {
            listing = self.store.list_all(store::CONFIG_PREFIX) => listing,
            () = self.ask_until_told(0), if knows_none => return Ok(Told::ByPeer),
        };
        let listing = listing.map_err(|report| *report.current_context());
        self.note_fetch(0, listing.as_ref().err().copied(), begun);
        self.take_listing(listing?, begun);
        self.must_list = false;
        Ok(Told::ByStore)
    }

    /// Fetches the newest version that is known of, from the store or, where that does not tell it, from another
    /// instance.
    async fn fetch(&mut self) -> Result<Told, PlatformError> {
        let wanted = self.site.newest_config();
        let begun = Instant::now();
        let object = tokio::select! {
            object = self.store.get(store::CONFIG_KEY) => object,
            () = self.ask_until_told(wanted) => return Ok(Told::ByPeer),
        };
        let object = object.map_err(|report| *report.current_context());
        self.note_fetch(wanted, object.as_ref().err().copied(), begun);
        match object {
            Ok(object) => {
                self.take_object(&object, begun);
                Ok(Told::ByStore)
            }
            Err(_) if self.ask_round(wanted).await => Ok(Told::ByPeer),
            Err(error) => Err(error),
        }
    }

    fn take_listing(&self, listing: Listing, begun: Instant) {
        for object in listing.objects {
            apply(self.site, &object.key, &object.value);
        }
        self.observe(listing.revision, begun);
        self.site.known.freshness().settle(begun);
    }

    fn take_changes(&self, changes: Changes, at: Instant) {
        for change in changes.changes {
            if let Some(value) = change.value {
                apply(self.site, &change.key, &value);
            }
        }
        self.observe(changes.revision, at);
        self.site.known.freshness().settle(Instant::now());
    }

    fn take_object(&self, object: &Object, begun: Instant) {
        apply(self.site, &object.key, &object.value);
        self.observe(object.version, begun);
        self.site.known.freshness().settle(begun);
    }

    /// Takes in that the version in force is the newest one that can be read at this revision of the store.
    fn observe(&self, revision: Version, at: Instant) {
        self.site.known.observe(Observation {
            version: self.site.known.version(),
            revision: revision.0,
            at,
        });
        self.site.known.heard(Instant::now());
    }

    fn answered(&mut self) {
        self.rest.answered();
        self.site.duty.set_config_answer(Some(Instant::now()));
        if std::mem::take(&mut self.is_lost) {
            log::info!(kind = store::CONFIG_PREFIX; "store regained");
        }
    }

    async fn failed(&mut self, error: PlatformError) {
        // The store answers; only its history is too short, and a list makes that good.
        if error == PlatformError::Compacted {
            log::info!(kind = store::CONFIG_PREFIX; "history of a watch gone");
            self.must_list = true;
            return;
        }
        self.must_list |= error == PlatformError::Malformed;
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(kind = store::CONFIG_PREFIX, error:% = error; "store lost");
        }
        let is_relied_on = self.site.duty.is_relied_on(&self.site.known);
        if !self.is_behind() {
            let limits = self.rest.failed(is_relied_on);
            tokio::select! {
                () = rest(self.site, error, limits) => {}
                () = self.wait_behind() => {}
            }
        } else if !self.ask_round(self.site.newest_config()).await {
            rest(self.site, error, self.rest.failed(true)).await;
        }
    }

    /// Asks other instances, unless the store begins to answer, until one has told a configuration of at least this
    /// version.
    async fn ask_until_told(&self, version: u64) {
        sleep(STORE_START).await;
        loop {
            if self.received.bytes() == 0 && self.ask_round(version).await {
                return;
            }
            sleep(PEER_ROUND).await;
        }
    }

    /// Asks a few other instances; returns whether one told a configuration of at least this version.
    ///
    /// They are drawn anew each time: if all asked the watcher whose word they heard, its link would be full for
    /// seconds.
    async fn ask_round(&self, version: u64) -> bool {
        let mut peers = follow::peers(self.site);
        peers.shuffle(&mut rand::rng());
        for peer in peers.into_iter().take(PEERS_PER_ROUND) {
            if ask(self.site, peer, version).await {
                return true;
            }
        }
        false
    }

    /// Counts a call of the store for a configuration and writes its line.
    fn note_fetch(&self, wanted: u64, error: Option<PlatformError>, begun: Instant) {
        let site = self.site;
        let received = self.received.bytes();
        let took = begun.elapsed();
        if error.is_none() {
            site.latencies.add(Latency::Store, took);
        }
        count(site, error.is_none(), received);
        log::info!(
            source = "store",
            wanted,
            known = site.known.version(),
            error = error.map(|error| error.to_string()),
            received,
            took_ms = took.as_millis() as u64;
            "configuration fetched"
        );
    }
}

/// Asks an instance for a configuration of at least this version; returns whether it told one.
async fn ask(site: &Site, peer: SocketAddr, version: u64) -> bool {
    let begun = Instant::now();
    let told = timeout(PEER_TIMEOUT, site.peers.bundle(peer, Revision(version))).await;
    let is_answered = matches!(told, Ok(Ok(_)));
    let told = told.ok().and_then(Result::ok).flatten();
    let received = told.as_ref().map_or(0, Vec::len);
    count(site, told.is_some(), received as u64);
    log::info!(
        source:% = peer,
        wanted = version,
        known = site.known.version(),
        is_answered,
        received,
        took_ms = begun.elapsed().as_millis() as u64;
        "configuration fetched"
    );
    let Some(bytes) = told else {
        return false;
    };
    match unpack::<Config>(&bytes) {
        Ok(config) => {
            site.known.heard(Instant::now());
            site.known.apply(config, Source::Peer);
        }
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "a peer's configuration cannot be read");
            return false;
        }
    }
    true
}

fn count(site: &Site, is_told: bool, received: u64) {
    let counter = match is_told {
        true => Counter::ConfigFetches,
        false => Counter::ConfigFetchFailures,
    };
    site.metrics.add(counter, 1);
    site.metrics.add(Counter::ConfigBytes, received);
}

fn apply(site: &Site, key: &str, value: &[u8]) {
    if key != store::CONFIG_KEY {
        return;
    }
    match config::decode(value) {
        Ok(config) => site.known.apply(config, Source::Store),
        Err(error) => log::error!(error:% = error; "the configuration cannot be read"),
    }
}
