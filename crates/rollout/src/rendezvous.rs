//! Rendezvous hashing: selects instances for a role without coordination.

use celerypond_types::{DataCentre, Digest, InstanceName, ModelName, Revision};

use crate::{plan::MAX_REPORTERS, rollout::sender_role};

/// Number of instances in each data centre that watch the store.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Sorts instances by their hash for a role; all that know the same instances get the same order.
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
    let hash = |name: &InstanceName| Digest::of(format!("{role}\0{name}").as_bytes());
    let mut ranked = instances.to_vec();
    ranked.sort_by_cached_key(hash);
    ranked
}

/// Returns the instances that report evidence of a rollout, senders first.
pub fn evidence_reporters(
    origin: Revision,
    model: &ModelName,
    instances: &[InstanceName],
) -> Vec<InstanceName> {
    let mut ranked = rendezvous_order(&sender_role(origin, model), instances);
    ranked.truncate(MAX_REPORTERS as usize);
    ranked
}

/// Returns whether an instance is one of those in its data centre that watch the store.
///
/// Instances with different lists of live instances may select too many watchers, or none for a
/// while. The first costs a call; for the second, gossip from other data centres and polls make up.
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
