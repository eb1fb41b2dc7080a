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
/// use celerypond_fleet::{Candidate, choose};
/// use celerypond_types::{DataCentre, InstanceName};
///
/// let names = ["a", "b", "c"].map(InstanceName::from);
/// let centres = ["east", "east", "west"].map(DataCentre::from);
/// let all: Vec<Candidate<'_>> = names
///     .iter()
///     .zip(&centres)
///     .map(|(name, data_centre)| Candidate { name, data_centre })
///     .collect();
/// let keepers = choose(b"request-7", &all, 2);
/// assert_ne!(keepers[0].data_centre, keepers[1].data_centre);
/// ```
pub fn choose<'a>(key: &[u8], candidates: &[Candidate<'a>], count: usize) -> Vec<Candidate<'a>> {
    let mut ranked: Vec<(u64, Candidate<'a>)> = candidates
        .iter()
        .map(|candidate| (weight(key, candidate.name), *candidate))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.name.cmp(b.1.name)));
    let mut chosen: Vec<Candidate<'a>> = Vec::with_capacity(count);
    for apart in [true, false] {
        for (_, candidate) in &ranked {
            let near = |c: &Candidate<'a>| c.data_centre == candidate.data_centre;
            let taken = chosen.contains(candidate) || apart && chosen.iter().any(near);
            if chosen.len() < count && !taken {
                chosen.push(*candidate);
            }
        }
    }
    chosen
}

/// Returns the weight of an instance for a key.
pub(crate) fn weight(key: &[u8], name: &InstanceName) -> u64 {
    let mut bytes = rapidhash_v3(key).to_le_bytes().to_vec();
    bytes.extend_from_slice(name.as_str().as_bytes());
    rapidhash_v3(&bytes)
}
