//! Detection of a partition of this instance from the targets of a service.
//!
//! An instance that cannot connect to a target does not know whether the target or its own link is
//! at fault. If it cannot connect to nearly any target of a service, its own link is more likely,
//! and other instances may reach them.

use std::{collections::HashMap, time::Duration};

use celerypond_types::{ServiceName, TargetKey};
use rand::{seq::SliceRandom as _, Rng};
use tokio::time::Instant;

use crate::{target::service_hash, Target, Targets};

/// The number of unreachable targets from which a partition is suspected. Fewer targets often fail
/// by themselves. In smaller services all have to be unreachable.
const MIN_FAILING: usize = 3;
/// A partition is suspected if this many times more targets are unreachable than were reached since
/// the first of them failed.
const FAILING_FACTOR: usize = 3;
/// The number of targets that are probed to tell a partition from the loss of many targets. Those
/// that were lost together, as in one data centre, are a part of all.
const CONFIRMING_PROBES: usize = 6;
/// The number of targets that are probed at a time to find the end of a partition.
const RECOVERY_PROBES: usize = 3;
/// How long a service stays unreachable at least. The probes that end a partition would otherwise
/// alternate with requests that fail, if only some of the targets are reached.
const MIN_PARTITION: Duration = Duration::from_millis(500);

/// The links to the targets of a service.
#[derive(Clone, Debug, Default)]
struct LinkCounts {
    usable: usize,
    failing: usize,
    connected: usize,
    untested: Vec<TargetKey>,
}

impl LinkCounts {
    fn suggest_partition(&self) -> bool {
        self.failing >= MIN_FAILING.min(self.usable.max(1))
            && self.failing >= self.connected * FAILING_FACTOR
    }
}

impl Targets {
    /// Records whether this instance could connect to a target.
    pub fn record_connection(&mut self, key: TargetKey, is_connected: bool, now: Instant) {
        if let Some(target) = self.arena.get_mut(key) {
            target.link.record(is_connected, now);
        }
    }

    /// Returns the targets to probe because this instance may be partitioned from a service; `None`
    /// if it is not suspected to be. The list is empty if all targets were tried.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    /// use celerypond_types::ServiceName;
    /// use rand::{rngs::SmallRng, SeedableRng as _};
    /// use tokio::time::Instant;
    ///
    /// let (targets, service) = (Targets::default(), ServiceName::new("writer"));
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// assert_eq!(targets.suspect_partition(&service, &mut rng, Instant::now()), None);
    /// ```
    pub fn suspect_partition(
        &self,
        service: &ServiceName,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Vec<TargetKey>> {
        let counts = self.link_counts(service, now);
        counts
            .suggest_partition()
            .then(|| choose(counts.untested, CONFIRMING_PROBES, rng))
    }

    /// Returns whether this instance may be partitioned from a service, as far as known without
    /// probing more targets.
    pub fn suspects_partition(&self, service: &ServiceName, now: Instant) -> bool {
        self.link_counts(service, now).suggest_partition()
    }

    /// Returns whether connections to some targets of a service fail and none was made since. Idle
    /// connections to the others may hang as well.
    pub fn distrusts_idle_connections(&self, service: &ServiceName, now: Instant) -> bool {
        let counts = self.link_counts(service, now);
        counts.failing > 0 && counts.connected == 0
    }

    /// Returns targets of a service to probe for the end of a partition.
    pub fn recovery_probes(&self, service: &ServiceName, rng: &mut impl Rng) -> Vec<TargetKey> {
        let usable = self.usable_targets(service).map(|(key, _)| key);
        choose(usable.collect(), RECOVERY_PROBES, rng)
    }

    /// Forgets the failures at the targets of a service, which were due to this instance's own link.
    pub fn forget_link_failures(&mut self, service: &ServiceName) {
        let of_service = self.arena.values_mut();
        for target in of_service.filter(|target| target.entry.service == *service) {
            target.forget_link_failures();
        }
    }

    /// Forgets the results of requests to a service's targets, and what this instance reported of
    /// them.
    pub fn forget_results(&mut self, service: &ServiceName) {
        let of_service = self.arena.values_mut();
        for target in of_service.filter(|target| target.entry.service == *service) {
            target.found_dead_at = None;
            self.quality.forget(target.name_hash);
        }
    }

    fn link_counts(&self, service: &ServiceName, now: Instant) -> LinkCounts {
        let failing = |target: &Target| target.link.failing_since(now);
        let since = self
            .usable_targets(service)
            .filter_map(|(_, target)| failing(target))
            .min();
        let Some(since) = since else {
            return LinkCounts::default();
        };
        let mut counts = LinkCounts::default();
        for (key, target) in self.usable_targets(service) {
            counts.usable += 1;
            if failing(target).is_some() {
                counts.failing += 1;
            } else if target.link.connected_since(since) {
                counts.connected += 1;
            } else {
                counts.untested.push(key);
            }
        }
        counts
    }
}

fn choose(mut keys: Vec<TargetKey>, count: usize, rng: &mut impl Rng) -> Vec<TargetKey> {
    keys.shuffle(rng);
    keys.truncate(count);
    keys
}

/// The services whose targets this instance does not reach.
#[derive(Clone, Debug, Default)]
pub struct Partitions {
    since: HashMap<ServiceName, Instant>,
}

impl Partitions {
    /// Returns whether this instance reaches no target of a service.
    pub fn contains(&self, service: &ServiceName) -> bool {
        self.since.contains_key(service)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// Returns the number of services.
    pub fn len(&self) -> usize {
        self.since.len()
    }

    /// Records the results of probes; returns whether the service became unreachable or reachable.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Partitions;
    /// use celerypond_types::ServiceName;
    /// use tokio::time::{Duration, Instant};
    ///
    /// let (now, writer) = (Instant::now(), ServiceName::new("writer"));
    /// let mut partitions = Partitions::default();
    /// assert!(partitions.record_probes(&writer, &[false, false, true, false], now));
    /// assert!(partitions.contains(&writer));
    /// assert!(!partitions.record_probes(&writer, &[false, false, true], now));
    /// let later = now + Duration::from_secs(1);
    /// assert!(partitions.record_probes(&writer, &[true, false, true], later));
    /// assert!(!partitions.contains(&writer));
    /// ```
    pub fn record_probes(
        &mut self,
        service: &ServiceName,
        connected: &[bool],
        now: Instant,
    ) -> bool {
        let made = connected
            .iter()
            .filter(|is_connected| **is_connected)
            .count();
        match self.since.get(service) {
            Some(since) => {
                let is_over = now.saturating_duration_since(*since) >= MIN_PARTITION;
                let is_reached = is_over && made > 0 && made * 2 >= connected.len();
                is_reached && self.since.remove(service).is_some()
            }
            None => {
                let is_partitioned = made * (FAILING_FACTOR + 1) <= connected.len();
                is_partitioned && self.since.insert(service.clone(), now).is_none()
            }
        }
    }

    /// Removes services that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&ServiceName) -> bool) {
        self.since.retain(|service, _| exists(service));
    }

    /// Returns the hashes of the services' names, by which instances refer to them in messages.
    pub fn hashes(&self) -> Vec<u64> {
        let names = self.since.keys();
        names.map(service_hash).collect()
    }
}
