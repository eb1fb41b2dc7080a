//! Rendezvous hashing, by which instances agree on who does a job without communication.

use celerypond_types::{DataCentre, InstanceName};
use rapidhash::v3::rapidhash_v3;

/// An instance that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The name.
    pub name: &'a InstanceName,
    /// The data centre.
    pub data_centre: &'a DataCentre,
}

/// Chooses `count` instances for `key` by rendezvous hashing, each in a different data centre as far as
/// possible.
///
/// With the same candidates, all instances choose the same ones in the same order. Adding or removing
/// a candidate affects only the choices that it is part of. Instances that know different candidates
/// may choose differently, so the result must not decide which instance may write.
///
/// # Examples
///
/// ```
/// use celerypond_fleet::{Candidate, choose_instances};
/// use celerypond_types::{DataCentre, InstanceName};
///
/// let names = ["a", "b", "c"].map(InstanceName::from);
/// let data_centres = ["east", "east", "west"].map(DataCentre::from);
/// let all: Vec<Candidate<'_>> = names
///     .iter()
///     .zip(&data_centres)
///     .map(|(name, data_centre)| Candidate { name, data_centre })
///     .collect();
/// let chosen = choose_instances(b"request-7", &all, 2);
/// assert_ne!(chosen[0].data_centre, chosen[1].data_centre);
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
    for in_new_data_centre in [true, false] {
        while chosen.len() < count {
            let Some(index) = heaviest(&ranked, &chosen, in_new_data_centre) else {
                break;
            };
            chosen.push(ranked.swap_remove(index).1);
        }
    }
    chosen
}

/// Returns the index of the candidate with the highest weight; with `in_new_data_centre`, only among
/// those in a data centre of which none has been chosen.
///
/// Since few of many are chosen, one pass for each choice is cheaper than sorting all candidates.
fn heaviest(
    ranked: &[(u64, Candidate<'_>)],
    chosen: &[Candidate<'_>],
    in_new_data_centre: bool,
) -> Option<usize> {
    let is_excluded = |candidate: &Candidate<'_>| {
        let mut data_centres = chosen.iter().map(|c| c.data_centre);
        in_new_data_centre && data_centres.any(|data_centre| data_centre == candidate.data_centre)
    };
    let eligible = ranked
        .iter()
        .enumerate()
        .filter(|(_, (_, c))| !is_excluded(c));
    eligible
        .max_by_key(|(_, (weight, candidate))| (*weight, candidate.name))
        .map(|(index, _)| index)
}

/// Returns the weight of an instance for the hash of a key.
fn weight(key: u64, name: &InstanceName) -> u64 {
    let name = rapidhash_v3(name.as_str().as_bytes());
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&name.to_le_bytes());
    rapidhash_v3(&bytes)
}
