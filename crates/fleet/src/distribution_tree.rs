//! Distribution of changes of the store among the instances.

use celerypond_types::{DataCentre, InstanceName};

use crate::{choose_instances, Candidate};

/// Number of instances that watch the store for the others. With two, changes still arrive if one
/// dies.
const WATCHERS: usize = 2;
/// Hash key by which the watchers are chosen. Must be the same in all instances.
const WATCHER_KEY: &[u8] = b"watch the store";
/// Hash key by which the forwarders are chosen. Must be the same in all instances.
const FORWARDER_KEY: &[u8] = b"tell the data centre";
/// Maximum size of a fleet without forwarders. In such a fleet, all instances fetch the changes from
/// the watchers, over links of 10 Mbit/s.
const MAX_FLAT_SIZE: usize = 100;
/// Approximate number of recipients of each forwarder.
const RECIPIENTS_PER_FORWARDER: usize = 20;
/// Number of forwarders that notify each instance.
const FORWARDERS_PER_INSTANCE: usize = 2;

/// Determines which instance notifies which others of changes of the store.
///
/// Every change must reach all instances within a fraction of a second, but the link of an instance can
/// carry it to only a few tens of others. Two instances, the watchers, watch the store. In a small
/// fleet they notify all others. In a large fleet they notify a few forwarders in each data centre,
/// which notify the others there, so that a change is sent to a data centre only a few times instead
/// of once for each instance.
///
/// Instances that know the same members compute the same tree without communication. Correctness does
/// not depend on that: an instance that is not notified watches the store itself.
///
/// # Examples
///
/// ```
/// use celerypond_fleet::{Candidate, DistributionTree};
/// use celerypond_types::{DataCentre, InstanceName};
///
/// let names: Vec<InstanceName> = (0..7).map(|n| format!("i{n}").as_str().into()).collect();
/// let home = DataCentre::from("east");
/// let all = names.iter().map(|name| Candidate { name, data_centre: &home });
/// let tree = DistributionTree::new(all.collect());
/// let watcher = tree.watchers()[0].name;
/// assert_eq!(tree.recipients_of(watcher, true).len(), 6);
/// ```
#[derive(Clone, Debug)]
pub struct DistributionTree<'a> {
    all: Vec<Candidate<'a>>,
    watchers: Vec<Candidate<'a>>,
    /// Instances that notify the others of their data centre; empty in a small fleet.
    forwarders: Vec<Candidate<'a>>,
}

impl<'a> DistributionTree<'a> {
    /// Computes the tree for the given instances.
    pub fn new(all: Vec<Candidate<'a>>) -> Self {
        let watchers = choose_instances(WATCHER_KEY, &all, WATCHERS);
        let forwarders = match all.len() > MAX_FLAT_SIZE {
            true => choose_forwarders(&all),
            false => Vec::new(),
        };
        Self {
            all,
            watchers,
            forwarders,
        }
    }

    /// Returns the instances that watch the store for the others.
    pub fn watchers(&self) -> &[Candidate<'a>] {
        &self.watchers
    }

    /// Returns the maximum number of hops from a watcher to an instance.
    pub fn hops(&self) -> u32 {
        if self.forwarders.is_empty() {
            1
        } else {
            2
        }
    }

    /// Returns the instances that `own` notifies, given whether it watches the store, chosen or not.
    pub fn recipients_of(&self, own: &InstanceName, is_watching: bool) -> Vec<&'a InstanceName> {
        let others = self.all.iter().filter(|peer| peer.name != own);
        if self.forwarders.is_empty() {
            let recipients = others.filter(|_| is_watching);
            return recipients.map(|peer| peer.name).collect();
        }
        let is_watcher = contains(&self.watchers, own);
        let forwarder = self.forwarders.iter().find(|peer| peer.name == own);
        let local = forwarder.map_or_else(Vec::new, |forwarder| {
            self.forwarders_in(forwarder.data_centre)
        });
        let recipients = others.filter(|peer| match contains(&self.forwarders, peer.name) {
            true => is_watcher,
            false => local.first().is_some_and(|first| {
                peer.data_centre == first.data_centre
                    && contains(
                        &choose_instances(
                            peer.name.as_str().as_bytes(),
                            &local,
                            FORWARDERS_PER_INSTANCE,
                        ),
                        own,
                    )
            }),
        });
        recipients.map(|peer| peer.name).collect()
    }

    /// Returns the forwarders in a data centre.
    fn forwarders_in(&self, data_centre: &DataCentre) -> Vec<Candidate<'a>> {
        let forwarders = self.forwarders.iter();
        let local = forwarders.filter(|candidate| candidate.data_centre == data_centre);
        local.copied().collect()
    }
}

/// Chooses the forwarders of each data centre.
fn choose_forwarders<'a>(all: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let mut data_centres: Vec<&DataCentre> =
        all.iter().map(|candidate| candidate.data_centre).collect();
    data_centres.sort();
    data_centres.dedup();
    let forwarders_in = |data_centre: &DataCentre| {
        let local = all
            .iter()
            .filter(|candidate| candidate.data_centre == data_centre);
        let local: Vec<Candidate<'a>> = local.copied().collect();
        let count = (local.len() * FORWARDERS_PER_INSTANCE)
            .div_ceil(RECIPIENTS_PER_FORWARDER)
            .max(FORWARDERS_PER_INSTANCE);
        choose_instances(FORWARDER_KEY, &local, count)
    };
    data_centres.into_iter().flat_map(forwarders_in).collect()
}

fn contains(some: &[Candidate<'_>], name: &InstanceName) -> bool {
    some.iter().any(|candidate| candidate.name == name)
}
