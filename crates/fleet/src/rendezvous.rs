//! Which instances do a job, agreed on without a message.

use celerypond_types::{DataCentre, InstanceName};
use rapidhash::v3::rapidhash_v3;

/// An instance that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a InstanceName,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
}

/// Chooses `count` instances for `key`, each in a data centre of its own as long as there are any.
///
/// All who know the same candidates choose the same ones, in the same order, and a candidate that
/// comes or goes changes only the choices that it is part of. Those who know different candidates
/// may choose differently: a choice says where to look first and never who may write.
///
/// # Examples
///
/// ```
/// use celerypond_fleet::{Candidate, choose_instances};
/// use celerypond_types::{DataCentre, InstanceName};
///
/// let names = ["a", "b", "c"].map(InstanceName::from);
/// let centres = ["east", "east", "west"].map(DataCentre::from);
/// let all: Vec<Candidate<'_>> = names
///     .iter()
///     .zip(&centres)
///     .map(|(name, data_centre)| Candidate { name, data_centre })
///     .collect();
/// let keepers = choose_instances(b"request-7", &all, 2);
/// assert_ne!(keepers[0].data_centre, keepers[1].data_centre);
/// ```
pub fn choose_instances<'a>(
    key: &[u8],
    candidates: &[Candidate<'a>],
    count: usize,
) -> Vec<Candidate<'a>> {
    let key = rapidhash_v3(key);
    let mut ranked: Vec<(u64, Candidate<'a>)> = candidates
        .iter()
        .map(|candidate| (weight(key, candidate.name), *candidate))
        .collect();
    let mut chosen: Vec<Candidate<'a>> = Vec::with_capacity(count);
    for apart in [true, false] {
        while chosen.len() < count {
            let Some(at) = first(&ranked, &chosen, apart) else {
                break;
            };
            chosen.push(ranked.swap_remove(at).1);
        }
    }
    chosen
}

/// Returns the place of the heaviest candidate, if `apart` outside the data centres of the chosen.
///
/// A pass for each choice costs less than to put all in order, as few are chosen of many.
fn first(ranked: &[(u64, Candidate<'_>)], chosen: &[Candidate<'_>], apart: bool) -> Option<usize> {
    let near = |candidate: &Candidate<'_>| {
        let mut centres = chosen.iter().map(|c| c.data_centre);
        apart && centres.any(|centre| centre == candidate.data_centre)
    };
    let open = ranked.iter().enumerate().filter(|(_, (_, c))| !near(c));
    open.max_by_key(|(_, (weight, candidate))| (*weight, candidate.name))
        .map(|(at, _)| at)
}

/// Returns the weight of an instance for the hash of a key.
fn weight(key: u64, name: &InstanceName) -> u64 {
    let name = rapidhash_v3(name.as_str().as_bytes());
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&name.to_le_bytes());
    rapidhash_v3(&bytes)
}
