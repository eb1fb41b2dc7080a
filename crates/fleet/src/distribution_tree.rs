//! Who tells whom what the store says.

use celerypond_types::{DataCentre, InstanceName};

use crate::{choose_instances, Candidate};

/// How many instances watch the store for all. One may die while the others are told by the second.
const WATCHERS: usize = 2;
/// The job for which the instances that watch the store are chosen.
const WATCH_JOB: &[u8] = b"watch the store";
/// The job for which the instances that tell others of their data centre are chosen.
const TELL_JOB: &[u8] = b"tell the data centre";
/// The largest fleet in which the watchers tell all others themselves; each of the others asks them for what
/// changed, over links of 10 Mbit/s.
const FLAT_MOST: usize = 100;
/// How many instances one that tells its data centre tells, about; each is told by two.
const TOLD: usize = 20;
/// How many tell one instance.
const TELLERS: usize = 2;

/// Who tells whom what the store says.
///
/// The load it answers: each change of the store has to reach all instances within a part of a second, and
/// an instance's link carries it to some tens of others only. Two instances watch the store. In a small
/// fleet they tell all others. In a large one they tell a few in each data centre, and these the others
/// there, so that a change crosses to a data centre a few times and not once for each instance.
///
/// All who know the same instances agree on it without a message. Whoever is told by nobody watches the store
/// itself, so nothing depends on that.
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
    /// Those that tell the others of their data centre; empty in a small fleet.
    tellers: Vec<Candidate<'a>>,
}

impl<'a> DistributionTree<'a> {
    /// Chooses among these instances.
    pub fn new(all: Vec<Candidate<'a>>) -> Self {
        let watchers = choose_instances(WATCH_JOB, &all, WATCHERS);
        let tellers = match all.len() > FLAT_MOST {
            true => tellers(&all),
            false => Vec::new(),
        };
        Self {
            all,
            watchers,
            tellers,
        }
    }

    /// Returns the instances that watch the store for all.
    pub fn watchers(&self) -> &[Candidate<'a>] {
        &self.watchers
    }

    /// Returns over how many instances a change reaches the last one.
    pub fn hops(&self) -> u32 {
        if self.tellers.is_empty() {
            1
        } else {
            2
        }
    }

    /// Returns whom an instance tells; `watches` is whether it watches the store, chosen or not.
    pub fn recipients_of(&self, own: &InstanceName, watches: bool) -> Vec<&'a InstanceName> {
        let others = self.all.iter().filter(|one| one.name != own);
        if self.tellers.is_empty() {
            let told = others.filter(|_| watches);
            return told.map(|one| one.name).collect();
        }
        let is_watcher = contains(&self.watchers, own);
        let teller = self.tellers.iter().find(|one| one.name == own);
        let near = teller.map_or_else(Vec::new, |teller| self.tellers_of(teller.data_centre));
        let told = others.filter(|one| match contains(&self.tellers, one.name) {
            true => is_watcher,
            false => near.first().is_some_and(|first| {
                one.data_centre == first.data_centre
                    && contains(
                        &choose_instances(one.name.as_str().as_bytes(), &near, TELLERS),
                        own,
                    )
            }),
        });
        told.map(|one| one.name).collect()
    }

    fn tellers_of(&self, data_centre: &DataCentre) -> Vec<Candidate<'a>> {
        let tellers = self.tellers.iter();
        let near = tellers.filter(|one| one.data_centre == data_centre);
        near.copied().collect()
    }
}

/// Chooses those that tell the others of each data centre.
fn tellers<'a>(all: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let mut data_centres: Vec<&DataCentre> = all.iter().map(|one| one.data_centre).collect();
    data_centres.sort();
    data_centres.dedup();
    let of = |data_centre: &DataCentre| {
        let near = all.iter().filter(|one| one.data_centre == data_centre);
        let near: Vec<Candidate<'a>> = near.copied().collect();
        let count = (near.len() * TELLERS).div_ceil(TOLD).max(TELLERS);
        choose_instances(TELL_JOB, &near, count)
    };
    data_centres.into_iter().flat_map(of).collect()
}

fn contains(some: &[Candidate<'_>], name: &InstanceName) -> bool {
    some.iter().any(|one| one.name == name)
}
