//! Division of instances and targets into groups.

use std::time::Duration;

use celerypond_types::{InstanceName, TargetName};
use rapidhash::v3::rapidhash_v3;

use crate::{choose_instances, Candidate};

/// Maximum number of instances in a group, unless the caller gives another one.
const MAX_GROUP_INSTANCES: usize = 24;

/// The minimum time between two summaries of a group.
const MIN_SUMMARY_PERIOD: Duration = Duration::from_secs(4);

/// The time between two summaries of a group, for each group of the fleet.
const SUMMARY_PERIOD_PER_GROUP: Duration = Duration::from_secs(1);

/// Number of instances that watch each target.
const WATCHERS_PER_TARGET: usize = 2;

/// The group of instances and targets that one instance belongs to.
///
/// Instances and targets are sorted by hash and divided into groups of equal size. An instance sends
/// work to the targets of its group and shares load reports with the instances of its group. Its
/// memory and traffic thus depend on the size of a group and not on the product of instances and
/// targets. An instance that joins or leaves moves at most one other across each group boundary.
///
/// # Examples
///
/// ```
/// use celerypond_fleet::Subset;
/// use celerypond_types::{InstanceName, TargetName};
///
/// let instances: Vec<InstanceName> = (0..7).map(|i| format!("i{i}").as_str().into()).collect();
/// let targets: Vec<TargetName> = (0..40).map(|i| format!("t{i}").as_str().into()).collect();
/// let subset = Subset::of(&instances[0], &instances, &targets);
/// assert_eq!(subset.targets.len(), 40);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// The index of the group.
    pub group: usize,
    /// The number of groups.
    pub groups: usize,
    /// The instances of the group, including this one.
    pub peers: Vec<InstanceName>,
    /// The targets of the group.
    pub targets: Vec<TargetName>,
}

impl Subset {
    /// Returns the group of instance `own`.
    pub fn of(own: &InstanceName, instances: &[InstanceName], targets: &[TargetName]) -> Self {
        Self::with_group_limit(MAX_GROUP_INSTANCES, own, instances, targets)
    }

    /// Returns the group of instance `own`, where a group has at most about `limit` instances.
    pub fn with_group_limit(
        limit: usize,
        own: &InstanceName,
        instances: &[InstanceName],
        targets: &[TargetName],
    ) -> Self {
        let groups = group_count(instances.len(), limit);
        let mut instances = by_hash(instances, InstanceName::as_str);
        if !instances.contains(own) {
            instances = by_hash(
                &[instances, vec![own.clone()]].concat(),
                InstanceName::as_str,
            );
        }
        let rank = instances.iter().position(|name| name == own).unwrap_or(0);
        let group = rank * groups / instances.len();
        Self {
            group,
            groups,
            peers: in_group(&instances, group, groups),
            targets: in_group(&by_hash(targets, TargetName::as_str), group, groups),
        }
    }

    /// Returns the time between two summaries that the leader of a group publishes.
    ///
    /// Summaries go to the whole fleet, so an instance receives one from each group in every period.
    /// A period that grows with the number of groups keeps that traffic constant.
    pub fn summary_period(&self) -> Duration {
        MIN_SUMMARY_PERIOD.max(SUMMARY_PERIOD_PER_GROUP * self.groups as u32)
    }

    /// Returns the targets of which instance `own` reads and publishes the load.
    pub fn watched_targets(&self, own: &InstanceName, peers: &[Candidate<'_>]) -> Vec<TargetName> {
        let is_watched = |target: &&TargetName| {
            choose_instances(target.as_str().as_bytes(), peers, WATCHERS_PER_TARGET)
                .iter()
                .any(|watcher| watcher.name == own)
        };
        self.targets.iter().filter(is_watched).cloned().collect()
    }
}

/// Returns the number of groups for a number of instances. It is a power of two, so that it rarely
/// changes.
fn group_count(instances: usize, limit: usize) -> usize {
    let mut groups = 1;
    while instances / groups > limit {
        groups *= 2;
    }
    groups
}

/// Returns the names sorted by hash.
fn by_hash<T: Clone + Ord>(names: &[T], text: fn(&T) -> &str) -> Vec<T> {
    let mut names = names.to_vec();
    names.sort_by_cached_key(|name| (rapidhash_v3(text(name).as_bytes()), name.clone()));
    names
}

/// Returns the names at the ranks that belong to `group`.
fn in_group<T: Clone>(names: &[T], group: usize, groups: usize) -> Vec<T> {
    let group_of = |rank: usize| rank * groups / names.len();
    let ranked = names.iter().enumerate();
    ranked
        .filter(|(rank, _)| group_of(*rank) == group)
        .map(|(_, name)| name.clone())
        .collect()
}
