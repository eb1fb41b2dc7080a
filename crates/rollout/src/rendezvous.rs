//! Rendezvous choice of instances for a role.

use celerypond_types::{DataCentre, Digest, InstanceName, ModelName, Revision};

use crate::{plan::MAX_REPORTERS, rollout::sender_role};

/// How many instances of each data centre hold a watch on the store.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Sorts instances by their rank for a role; all who know the same instances agree on the order.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::rendezvous_order;
///
/// let names = ["a".into(), "b".into(), "c".into()];
/// let mut reversed = names.clone();
/// reversed.reverse();
/// assert_eq!(rendezvous_order("canary 7", &names), rendezvous_order("canary 7", &reversed));
/// ```
pub fn rendezvous_order(role: &str, instances: &[InstanceName]) -> Vec<InstanceName> {
    let weight = |name: &InstanceName| Digest::of(format!("{role}\0{name}").as_bytes());
    let mut ranked = instances.to_vec();
    ranked.sort_by_cached_key(weight);
    ranked
}

/// Returns the instances whose reports count as evidence of a rollout, senders first.
pub fn evidence_reporters(
    origin: Revision,
    model: &ModelName,
    instances: &[InstanceName],
) -> Vec<InstanceName> {
    let mut ranked = rendezvous_order(&sender_role(origin, model), instances);
    ranked.truncate(MAX_REPORTERS as usize);
    ranked
}

/// Returns whether an instance holds a watch: it is among the first of its data centre.
///
/// Instances that differ about who lives may choose more watchers than needed, or none for a while.
/// The first costs a call, the second is covered by gossip from other data centres and by polls.
pub fn is_watcher(
    me: &InstanceName,
    centre: &DataCentre,
    live: &[(InstanceName, DataCentre)],
) -> bool {
    let near = live.iter().filter(|(_, other)| other == centre);
    let mut names: Vec<_> = near.map(|(name, _)| name.clone()).collect();
    if !names.contains(me) {
        names.push(me.clone());
    }
    let ranked = rendezvous_order(&format!("watch {centre}"), &names);
    ranked
        .iter()
        .take(WATCHERS_PER_DATA_CENTRE)
        .any(|name| name == me)
}
