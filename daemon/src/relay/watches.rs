//! What the store tells: the configuration and the targets.

use std::{
    ops::RangeInclusive,
    sync::{atomic::Ordering::Relaxed, Arc, Mutex, PoisonError},
    time::Duration,
};

use celerypond_adapter::{config, store, target};
use celerypond_platform::{Changes, Client, Listing, PlatformError, Received, Version};
use celerypond_relay::{Change, StoreRest, TargetEntry, Watchers};
use celerypond_telemetry::{Counter, Latency};
use celerypond_types::TargetName;
use error_stack::Report;
use rand::Rng as _;
use tokio::time::{sleep, Instant};

use super::{knowledge::Source, site::Site};

/// The time between two looks whether this instance has to watch the store.
const LOOK: Duration = Duration::from_millis(100);

/// One kind of object that is watched.
#[derive(Clone, Copy)]
struct Kind {
    prefix: &'static str,
    list: fn(&Site, Listing),
    change: fn(&Site, Changes),
    /// Takes in that the store was lost or regained.
    lost: fn(&Site, bool),
    /// When the store last answered.
    answer: fn(&Site) -> &Mutex<Option<Instant>>,
    /// The store's revision up to which peers have told what there is; nothing where they have not.
    told: fn(&Site) -> Option<Version>,
    /// Whether changes may be gathered before the next call.
    is_gathered: bool,
}

/// Watches the configuration until the instance ends.
pub(super) async fn configuration(site: Arc<Site>) {
    let kind = Kind {
        prefix: store::CONFIG_PREFIX,
        list: |site, listing| {
            for object in listing.objects {
                take_config(site, &object.key, &object.value);
            }
        },
        change: |site, changes| {
            for change in changes.changes {
                if let Some(value) = change.value {
                    take_config(site, &change.key, &value);
                }
            }
        },
        lost: |_, _| {},
        answer: |site| &site.duty.config_answer,
        // Peers tell the version, which is not the store's revision of it.
        told: |_| None,
        is_gathered: false,
    };
    run(&site, kind).await;
}

/// Watches the targets until the instance ends.
pub(super) async fn targets(site: Arc<Site>) {
    let kind = Kind {
        prefix: store::TARGETS_PREFIX,
        list: |site, listing| {
            let objects = listing.objects.iter();
            let entries = objects.filter_map(|object| entry(&object.key, &object.value));
            site.known
                .list_targets(entries.collect(), listing.revision.0, source(site));
        },
        change: |site, changes| {
            let revision = changes.revision.0;
            let seen = changes.changes.into_iter().map(|change| {
                let told = change.value.and_then(|value| entry(&change.key, &value));
                let told = told.map_or_else(|| Change::Gone(name(&change.key)), Change::Is);
                (change.version.0, told)
            });
            site.known
                .change_targets(&seen.collect::<Vec<_>>(), revision, source(site));
        },
        lost: set_lost,
        answer: |site| &site.duty.targets_answer,
        told: |site| {
            let is_known = site.known.has_targets();
            is_known.then(|| Version(site.known.revision()))
        },
        is_gathered: true,
    };
    run(&site, kind).await;
}

async fn run(site: &Site, kind: Kind) {
    let mut since = None;
    // Whether what was missed cannot be told by a watch.
    let mut must_list = false;
    let mut is_lost = false;
    let mut gathered = Duration::ZERO;
    let mut failed = StoreRest::default();
    let (store, received) = site.store.counting();
    while !site.ending.is_cancelled() {
        if site.known.is_complete() && !site.duty.must_watch() {
            // Others tell what is new; what they know is newer than what was seen here.
            set(kind, site, None);
            is_lost = false;
            (kind.lost)(site, false);
            sleep(LOOK).await;
            continue;
        }
        // The failure: the watchers of a large fleet die, and all that they told watch for themselves. If each
        // began with a list, all would fetch at once what they know, some 300 bytes for each target.
        let from = match must_list {
            true => None,
            false => since.max((kind.told)(site)),
        };
        let begun = Instant::now();
        let step = tokio::select! {
            () = site.ending.cancelled() => return,
            step = step(site, &store, kind, from, gathered) => step,
        };
        match step {
            Ok(revision) => {
                must_list = false;
                failed.answered();
                since = Some(revision);
                set(kind, site, Some(Instant::now()));
                if std::mem::take(&mut is_lost) {
                    (kind.lost)(site, false);
                    log::info!(kind = kind.prefix, revision = revision.0; "store regained");
                }
                gathered = match kind.is_gathered {
                    true => gather(site).await,
                    false => Duration::ZERO,
                };
            }
            Err(report) => {
                let error = *report.current_context();
                // The store answers; only its history is too short, and a list makes that good.
                if error == PlatformError::Compacted {
                    log::info!(kind = kind.prefix; "history of a watch gone");
                    must_list = true;
                    continue;
                }
                log::info!(
                    kind = kind.prefix,
                    since = from.map(|from| from.0),
                    error:% = error,
                    received = received.bytes(),
                    took_ms = begun.elapsed().as_millis() as u64;
                    "watch failed"
                );
                if !std::mem::replace(&mut is_lost, true) {
                    (kind.lost)(site, true);
                    log::warn!(kind = kind.prefix, error:% = error; "store lost");
                }
                must_list |= error == PlatformError::Malformed;
                let is_relied_on = site.duty.is_chosen.load(Relaxed) || !site.known.is_complete();
                rest(site, error, failed.failed(is_relied_on)).await;
            }
        }
    }
}

/// Waits until the others may be told anew, and returns for how long; what changes meanwhile is seen by one call.
///
/// The load it answers: a data centre's engines die and start again, and each of a hundred changes ends a
/// watch. With 71 instances that was 1,758 calls a quiet day of 48 s, nearly all for changes that the others
/// were told together.
async fn gather(site: &Site) -> Duration {
    let gap = Watchers::word_gap(site.fleet.load().told.len());
    tokio::select! {
        () = site.ending.cancelled() => {}
        () = sleep(gap) => {}
    }
    gap
}

fn set_lost(site: &Site, is_lost: bool) {
    if is_lost {
        site.metrics.add(Counter::StoreLosses, 1);
    }
    site.duty.set_lost(is_lost);
}

/// Returns what the store is as a source: its first answer after a time without one may lack entries
/// that lapsed meanwhile.
fn source(site: &Site) -> Source {
    match site.duty.is_lost() {
        true => Source::StoreRegained,
        false => Source::Store,
    }
}

fn set(kind: Kind, site: &Site, answer: Option<Instant>) {
    let held = (kind.answer)(site);
    *held.lock().unwrap_or_else(PoisonError::into_inner) = answer;
}

async fn step(
    site: &Site,
    store: &Client,
    kind: Kind,
    since: Option<Version>,
    gathered: Duration,
) -> Result<Version, Report<PlatformError>> {
    let Some(since) = since else {
        let begun = Instant::now();
        let listing = store.list_all(kind.prefix).await?;
        site.latencies.add(Latency::Store, begun.elapsed());
        let revision = listing.revision;
        (kind.list)(site, listing);
        return Ok(revision);
    };
    // Others rely on an answer of the store within this time.
    let wait = site.settings.load().bounds.watch_wait();
    let wait = wait.saturating_sub(gathered);
    let changes = store.watch(kind.prefix, since, wait).await?;
    let revision = changes.revision;
    (kind.change)(site, changes);
    Ok(revision.max(since))
}

/// Reads the configuration once; returns whether it then has at least this version.
pub(super) async fn read_config(site: &Site, version: u64) -> bool {
    let begun = Instant::now();
    let (store, received) = site.store.counting();
    let object = store.get(store::CONFIG_KEY).await;
    let error = object
        .as_ref()
        .err()
        .map(|report| *report.current_context());
    note_fetch(site, "store", version, error, &received, begun);
    if let Ok(object) = object {
        site.latencies.add(Latency::Store, begun.elapsed());
        take_config(site, &object.key, &object.value);
    }
    site.known.version() >= version
}

/// Counts a call for a configuration and writes its line.
fn note_fetch(
    site: &Site,
    source: &str,
    wanted: u64,
    error: Option<PlatformError>,
    received: &Received,
    begun: Instant,
) {
    let bytes = received.bytes();
    let counter = match error {
        None => Counter::ConfigFetches,
        Some(_) => Counter::ConfigFetchFailures,
    };
    site.metrics.add(counter, 1);
    site.metrics.add(Counter::ConfigBytes, bytes);
    log::info!(
        source,
        wanted,
        known = site.known.version(),
        error = error.map(|error| error.to_string()),
        received = bytes,
        took_ms = begun.elapsed().as_millis() as u64;
        "configuration fetched"
    );
}

async fn rest(site: &Site, error: PlatformError, bounds: RangeInclusive<Duration>) {
    let least = match error {
        PlatformError::RateLimited { retry_after } | PlatformError::OverBudget { retry_after } => {
            retry_after.min(Duration::from_secs(1))
        }
        _ => Duration::ZERO,
    };
    let drawn = rand::rng().random_range(bounds);
    tokio::select! {
        () = site.ending.cancelled() => {}
        () = sleep(least + drawn) => {}
    }
}

fn take_config(site: &Site, key: &str, value: &[u8]) {
    if key != store::CONFIG_KEY {
        return;
    }
    match config::decode(value) {
        Ok(config) => site.known.apply(config, Source::Store),
        Err(error) => log::error!(error:% = error; "the configuration cannot be read"),
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
