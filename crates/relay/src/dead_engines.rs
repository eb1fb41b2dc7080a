//! Engines that die and restart.

use std::{net::SocketAddr, time::Duration};

use celerypond_types::{ServiceName, TargetName};
use tokio::time::Instant;

use crate::{
    restart::Restart,
    target::Unlisted,
    targets::{LISTING_TIME, RESTART_TTL},
    Target, TargetEntry, Targets,
};

/// How long after its death an engine is first probed: it takes about a second to start.
const FIRST_PROBE_AFTER: Duration = Duration::from_millis(900);
/// How long after its death an engine is no longer probed.
const LAST_PROBE_AFTER: Duration = Duration::from_secs(10);

/// How long after this instance found a target dead it reports that to others. Reports are repeated
/// with each full list, as datagrams may be lost.
const REPORT_TIME: Duration = Duration::from_millis(1_200);

/// An engine that was found dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadEngine {
    /// Its name.
    pub name: TargetName,
    /// The hash of its name.
    pub name_hash: u64,
    /// The service that it belonged to.
    pub service: ServiceName,
    /// Where it listened.
    pub address: SocketAddr,
}

impl Targets {
    /// Returns the dead engines to probe, as they may have restarted. Instances probe at different
    /// times, each up to `stagger` later than the earliest time.
    pub fn dead_engines(&self, now: Instant, stagger: Duration) -> Vec<DeadEngine> {
        if !self.is_unverified(now) {
            return Vec::new();
        }
        let late = stagger.mul_f64(self.lateness);
        let is_due = |target: &Target| {
            let dead_for = target
                .dead_since
                .map(|since| now.saturating_duration_since(since));
            dead_for
                .is_some_and(|time| (FIRST_PROBE_AFTER + late..LAST_PROBE_AFTER).contains(&time))
        };
        let dead = self.arena.iter();
        dead.filter(|(key, target)| is_due(target) && self.owns_address(*key))
            .map(|(_, target)| DeadEngine {
                name: target.entry.name.clone(),
                name_hash: target.name_hash,
                service: target.entry.service.clone(),
                address: target.entry.address,
            })
            .collect()
    }

    /// Returns whether the list of targets is so old that an engine which answers now may have
    /// started after it.
    fn is_unverified(&self, seen: Instant) -> bool {
        self.verified.is_none_or(|at| at + LISTING_TIME <= seen)
    }

    /// Records that the engine whose name had this hash answers under a name, which may be the
    /// same. Returns whether the name is used and was not known.
    pub fn add_restarted_engine(
        &mut self,
        previous_hash: u64,
        name: &TargetName,
        now: Instant,
    ) -> bool {
        self.add_restarted_engine_seen(previous_hash, name, now, now)
    }

    /// Records an answer from an earlier time.
    ///
    /// The store's list takes precedence over an answer: an engine that is missing in a list of the
    /// same time may have been removed from it, and still answers for a while.
    pub(crate) fn add_restarted_engine_seen(
        &mut self,
        previous_hash: u64,
        name: &TargetName,
        seen: Instant,
        now: Instant,
    ) -> bool {
        let is_recent = now.saturating_duration_since(seen) < RESTART_TTL;
        if !is_recent || !self.is_unverified(seen) {
            return false;
        }
        let old = self
            .arena
            .iter()
            .find(|(_, target)| target.name_hash == previous_hash);
        let Some((key, old)) = old else {
            return false;
        };
        if old.entry.name == *name {
            if let Some(target) = self.arena.get_mut(key) {
                target.record_response(None, now);
            }
            return true;
        }
        // An engine may still answer after its entry was removed.
        if self.names.contains_key(name) || self.departed.contains_key(name) {
            return false;
        }
        let entry = TargetEntry {
            name: name.clone(),
            // Later than the start that it follows, and earlier than any that the store will list.
            born: old.entry.born.map(|born| born + 1),
            ..old.entry.clone()
        };
        let mut restarted = Target::new(entry);
        restarted.unlisted = Some(Unlisted { seen, absent: None });
        self.insert(restarted);
        self.restarts.push(Restart {
            previous_hash,
            name: name.clone(),
            seen,
            received_at: now,
        });
        true
    }

    /// Returns the name hashes of engines that this instance recently found dead, without those for
    /// which `was_reported` is true.
    pub(crate) fn dead(
        &self,
        now: Instant,
        was_reported: impl Fn(Instant) -> bool,
    ) -> impl Iterator<Item = u64> {
        let is_due =
            move |at: Instant| now.saturating_duration_since(at) < REPORT_TIME && !was_reported(at);
        let dead = self.arena.values();
        let dead =
            dead.filter(move |target| target.is_dead && target.found_dead_at.is_some_and(&is_due));
        dead.map(|target| target.name_hash)
    }
}
