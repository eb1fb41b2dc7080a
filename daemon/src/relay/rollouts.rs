//! Orders to move a service to another version: one instance drives them, all act on them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_adapter::rollout;
use celerypond_platform::{Listing, PlatformError, Version};
use celerypond_relay::{Fleet, Order, Phase, Report, Rollout, Stage, Versions};
use celerypond_telemetry::Counter;
use celerypond_types::ServiceName;
use smol_str::SmolStr;
use tokio::{net::UdpSocket, time::Instant};

use super::{
    board::{self, Datagram},
    fleet,
    site::Site,
};

/// The time between two stages that the driver tells, and between two reports of the others. A bad
/// version must be found out and left within seconds.
const TURN: Duration = Duration::from_millis(250);
/// The time between two looks for orders; they may run for ten seconds in all.
const LOOK: Duration = Duration::from_secs(1);
/// How long all requests go to a version before it is said to be good. The targets of the others stop at
/// that word, and what is still under way there is lost; calls take some 60 ms.
const SETTLE: Duration = Duration::from_millis(300);

/// This instance's side in rollouts.
#[derive(Default)]
pub(super) struct Rollouts {
    versions: Mutex<Versions>,
    /// The orders that this instance drives; empty while it drives none.
    driven: Mutex<HashMap<ServiceName, Driven>>,
}

struct Driven {
    rollout: Rollout,
    key: SmolStr,
    /// The version of the order's object in the store.
    version: Version,
    /// What the store is known to say of it.
    said: Option<Phase>,
}

/// An order in the store, with what was said of it.
struct Found {
    key: SmolStr,
    version: Version,
    order: Order,
    said: Option<Phase>,
}

impl Rollouts {
    /// Returns which versions take requests.
    pub(super) fn versions(&self) -> MutexGuard<'_, Versions> {
        lock(&self.versions)
    }

    /// Takes in how far an order has come, from the instance that drives it.
    pub(super) fn hear_stage(&self, stage: Stage) {
        self.versions().hear(stage, Instant::now());
    }

    /// Takes in what another instance saw, if this one drives the order.
    pub(super) fn hear_report(&self, service: &ServiceName, report: Report) {
        let mut driven = lock(&self.driven);
        let rollout = driven.get_mut(service).map(|driven| &mut driven.rollout);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.version == report.version) {
            rollout.evidence.hear(report, Instant::now());
        }
    }

    fn stages(&self) -> Vec<Stage> {
        let now = Instant::now();
        let driven = lock(&self.driven);
        let stage = |driven: &Driven| Stage {
            order: driven.rollout.order.clone(),
            phase: driven.rollout.phase,
            age_ms: u32::try_from(driven.rollout.age(now).as_millis()).unwrap_or(u32::MAX),
        };
        driven.values().map(stage).collect()
    }
}

/// Drives orders while it is this instance's turn, and reports to the one that does otherwise.
pub(super) async fn run(site: Arc<Site>, socket: Arc<UdpSocket>) {
    let mut turn = tokio::time::interval(TURN);
    let mut looked: Option<Instant> = None;
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            _ = turn.tick() => {}
        }
        match fleet::driver(&site) {
            Some(driver) => {
                lock(&site.rollouts.driven).clear();
                report(&site, &socket, driver).await;
            }
            None => {
                if looked.is_none_or(|at| at.elapsed() >= LOOK) {
                    looked = Some(Instant::now());
                    look(&site).await;
                }
                drive(&site, &socket).await;
            }
        }
    }
}

async fn report(site: &Site, socket: &UdpSocket, driver: SocketAddr) {
    let reports = site.rollouts.versions().reports(site.fleet.load().origin);
    for (service, report) in reports {
        board::send(socket, &[driver], &Datagram::Report(service, report)).await;
    }
}

/// Takes in the orders that the store holds.
async fn look(site: &Site) {
    match site.store.list_stale(rollout::ORDERS_PREFIX).await {
        Ok(listing) => take_in(site, read(&listing)),
        Err(report) => {
            let error = report.current_context();
            log::info!(error:% = error; "the store told no orders");
        }
    }
}

fn read(listing: &Listing) -> Vec<Found> {
    let objects = listing.objects.iter();
    let specs = objects.filter(|object| !is_status(&object.key));
    specs
        .filter_map(|object| {
            let order = rollout::decode(&object.value)
                .inspect_err(|error| log::warn!(key = object.key.as_str(), error:% = error; "order not used"))
                .ok()?;
            let key = rollout::status_key(&object.key);
            let status = listing.objects.iter().find(|status| status.key == key);
            let said = status.and_then(|status| rollout::decode_status(&status.value).ok());
            // What was said of an earlier order of the service says nothing of this one.
            let said = said.filter(|(version, _)| *version == order.version);
            Some(Found {
                key: object.key.clone(),
                version: object.version,
                order,
                said: said.map(|(_, phase)| phase),
            })
        })
        .collect()
}

fn is_status(key: &str) -> bool {
    key.matches('/').count() > 1
}

fn take_in(site: &Site, found: Vec<Found>) {
    let now = Instant::now();
    let known: Vec<Stage> = site.rollouts.versions().stages().cloned().collect();
    let mut driven = lock(&site.rollouts.driven);
    driven.retain(|service, _| found.iter().any(|found| found.order.service == *service));
    for found in found {
        let service = found.order.service.clone();
        let is_same = |driven: &Driven| driven.rollout.order == found.order;
        if driven.get(&service).is_some_and(is_same) {
            continue;
        }
        // The instance that drove the order before told how long it runs.
        let before = known.iter().find(|stage| stage.order == found.order);
        let age = before.map_or(0, |stage| stage.age_ms);
        let mut rollout = Rollout::new(found.order, Duration::from_millis(age.into()), now);
        let ended = before.map(|stage| stage.phase).into_iter();
        let ended = ended.chain(found.said).find(|phase| phase.is_ended());
        rollout.phase = ended.unwrap_or(rollout.phase);
        log::info!(
            service = service.as_str(),
            version = rollout.order.version.as_str(),
            time_ms = rollout.order.time.as_millis() as u64,
            age_ms = age,
            phase:? = rollout.phase;
            "order taken"
        );
        let one = Driven {
            rollout,
            key: found.key,
            version: found.version,
            said: found.said,
        };
        driven.insert(service, one);
    }
}

/// Decides about all orders, tells the others, and then the store.
async fn drive(site: &Site, socket: &UdpSocket) {
    let reports = site.rollouts.versions().reports(site.fleet.load().origin);
    for (service, report) in reports {
        site.rollouts.hear_report(&service, report);
    }
    let has_completed = decide(site);
    tell(site, socket).await;
    if has_completed {
        tokio::time::sleep(SETTLE).await;
    }
    say(site).await;
}

/// Tells all instances, this one included, how far the orders have come.
async fn tell(site: &Site, socket: &UdpSocket) {
    let stages = site.rollouts.stages();
    if stages.is_empty() {
        return;
    }
    let fleet = site.fleet.load_full();
    for stage in stages {
        board::send(socket, &fleet.others, &Datagram::Stage(stage.clone())).await;
        site.rollouts.hear_stage(stage);
    }
}

/// Decides how far each order has come; returns whether a version was found good.
fn decide(site: &Site) -> bool {
    let bounds = site.settings.load().bounds;
    let mut has_completed = false;
    for driven in lock(&site.rollouts.driven).values_mut() {
        let rollout = &mut driven.rollout;
        let fleet = fleet(site, &rollout.order);
        let next = rollout.next(&bounds, fleet, Instant::now());
        let before = std::mem::replace(&mut rollout.phase, next);
        if next.is_ended() && next != before {
            let seen = rollout.evidence.sum();
            log::info!(
                service = rollout.order.service.as_str(),
                version = rollout.order.version.as_str(),
                phase:? = next,
                age_ms = rollout.age(Instant::now()).as_millis() as u64,
                new:? = seen.new,
                old:? = seen.old,
                targets:? = fleet;
                "order decided"
            );
            has_completed |= next == Phase::Completed;
            if next == Phase::TakenBack {
                site.metrics.add(Counter::Brakes, 1);
            }
        }
    }
    has_completed
}

fn fleet(site: &Site, order: &Order) -> Fleet {
    let targets = site.known.targets();
    let usable = targets
        .iter()
        .filter(|(key, target)| target.entry.service == order.service && targets.is_usable(*key));
    let (new, old): (Vec<_>, Vec<_>) =
        usable.partition(|(_, target)| target.entry.version == order.version);
    Fleet {
        new: new.len(),
        old: old.len(),
    }
}

/// Says in the store how far each order has come, where the store does not say so yet.
///
/// A write whose answer was lost may have been done; the next turn reads the object and writes the same
/// words again, which changes nothing.
async fn say(site: &Site) {
    let unsaid: Vec<(ServiceName, SmolStr, Version, Vec<u8>, Phase)> = {
        let driven = lock(&site.rollouts.driven);
        let unsaid = driven
            .iter()
            .filter(|(_, driven)| !is_said(driven.said, driven.rollout.phase));
        unsaid
            .map(|(service, driven)| {
                let phase = driven.rollout.phase;
                let value = rollout::encode_status(&driven.rollout.order.version, phase);
                let key = driven.key.clone();
                (service.clone(), key, driven.version, value, phase)
            })
            .collect()
    };
    for (service, key, before, value, phase) in unsaid {
        let status = rollout::status_key(&key);
        let written = site.store.update(&status, before, value.into()).await;
        let (version, said) = match written {
            Ok(version) => (version, Some(phase)),
            Err(report) => {
                let error = *report.current_context();
                log::warn!(service = service.as_str(), phase:? = phase, error:% = error; "order not reported");
                (current(site, &key, before, error).await, None)
            }
        };
        if let Some(driven) = lock(&site.rollouts.driven).get_mut(&service) {
            driven.version = version;
            driven.said = said.or(driven.said);
        }
    }
}

/// Returns the version of the order's object after a write that failed.
async fn current(site: &Site, key: &str, before: Version, error: PlatformError) -> Version {
    match error {
        PlatformError::Conflict | PlatformError::Ambiguous => {
            let found = site.store.get(key).await;
            found.map_or(before, |object| object.version)
        }
        _ => before,
    }
}

/// The store does not say what share a version has.
const fn is_said(said: Option<Phase>, phase: Phase) -> bool {
    matches!(
        (said, phase),
        (Some(Phase::Running { .. }), Phase::Running { .. })
            | (Some(Phase::Completed), Phase::Completed)
            | (Some(Phase::TakenBack), Phase::TakenBack)
    )
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
