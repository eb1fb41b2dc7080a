//! Which instances share loads, and which targets they use.

use std::time::Duration;

use celerypond_types::{InstanceName, TargetName};
use rapidhash::v3::rapidhash_v3;

use crate::{choose_instances, Candidate};

/// Instances a group may have before it is split into two.
const GROUP_LIMIT: usize = 24;

/// The shortest time between two sums of a group.
const SUMMARY_LEAST: Duration = Duration::from_secs(4);

/// What each group adds to the time between two sums.
const SUMMARY_STEP: Duration = Duration::from_secs(1);

/// Watchers of each target.
const WATCHERS: usize = 2;

/// The part of the fleet that one instance deals with.
///
/// Instances and targets are put in order of a hash and cut into groups of equal size; an instance
/// sends work to the targets of its group and shares loads with the instances of its group. What it
/// holds and receives so depends on the size of a group and not on instances times targets. One
/// that joins or leaves moves at most one instance across each border.
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
    /// The ordinal of the group.
    pub group: usize,
    /// The number of groups.
    pub groups: usize,
    /// The instances of the group, this one too.
    pub peers: Vec<InstanceName>,
    /// The targets of the group.
    pub targets: Vec<TargetName>,
}

impl Subset {
    /// Returns the part of instance `own`.
    pub fn of(own: &InstanceName, instances: &[InstanceName], targets: &[TargetName]) -> Self {
        Self::with_group_limit(GROUP_LIMIT, own, instances, targets)
    }

    /// Returns the part of instance `own` where a group has at most `limit` instances.
    pub fn with_group_limit(
        limit: usize,
        own: &InstanceName,
        instances: &[InstanceName],
        targets: &[TargetName],
    ) -> Self {
        let groups = groups(instances.len(), limit);
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
            peers: slice(&instances, group, groups),
            targets: slice(&by_hash(targets, TargetName::as_str), group, groups),
        }
    }

    /// Returns how often the leader of a group publishes its sums.
    ///
    /// Sums go to the whole fleet, so what an instance receives of them is the number of groups
    /// over this time; making the time grow with the groups keeps it the same at any size.
    pub fn summary_period(&self) -> Duration {
        SUMMARY_LEAST.max(SUMMARY_STEP * self.groups as u32)
    }

    /// Returns the targets whose load this instance reads and shares.
    pub fn watched_targets(&self, own: &InstanceName, peers: &[Candidate<'_>]) -> Vec<TargetName> {
        let mine = |target: &&TargetName| {
            choose_instances(target.as_str().as_bytes(), peers, WATCHERS)
                .iter()
                .any(|chosen| chosen.name == own)
        };
        self.targets.iter().filter(mine).cloned().collect()
    }
}

/// Returns the number of groups for `instances`: a power of two, so that it changes rarely.
fn groups(instances: usize, limit: usize) -> usize {
    let mut groups = 1;
    while instances / groups > limit {
        groups *= 2;
    }
    groups
}

fn by_hash<T: Clone + Ord>(names: &[T], text: fn(&T) -> &str) -> Vec<T> {
    let mut names = names.to_vec();
    names.sort_by_cached_key(|name| (rapidhash_v3(text(name).as_bytes()), name.clone()));
    names
}

fn slice<T: Clone>(names: &[T], group: usize, groups: usize) -> Vec<T> {
    let of = |rank: usize| rank * groups / names.len();
    let ranked = names.iter().enumerate();
    ranked
        .filter(|(rank, _)| of(*rank) == group)
        .map(|(_, name)| name.clone())
        .collect()
}
