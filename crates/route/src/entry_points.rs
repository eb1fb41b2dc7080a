//! Selection of the entry points that a client may connect to.

use std::{net::SocketAddr, time::Duration};

use celerypond_types::{DataCentre, InstanceName};

use crate::hash::{hash, mix};

/// How long a client may cache the list of entry points that it was given.
pub const ENTRY_POINTS_TTL: Duration = Duration::from_secs(10);
/// The maximum number of entry points in a list.
const MAX_ENTRY_POINTS: usize = 6;
/// How many of them are reserved for data centres other than the nearest.
const MAX_REMOTE: usize = 2;

/// An instance that clients may connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPoint {
    /// The name of the instance.
    pub name: InstanceName,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Whether it is leaving, in which case its address is not handed out.
    pub leaving: bool,
}

/// Selects the entry points for a client, in the order in which to try them.
///
/// `data_centres` is ordered by distance from the client; data centres that are not listed come
/// last. `client` is a hash of the client's address: it spreads clients over the instances of a
/// data centre, and a client always gets the same order. A few addresses are in other data centres,
/// so that a client whose data centre fails need not ask again.
///
/// # Examples
///
/// ```
/// use celerypond_route::{select_entry_points, EntryPoint};
///
/// let entry = |name: &str, data_centre: &str, leaving| EntryPoint {
///     name: name.into(),
///     address: "10.0.0.1:80".parse().unwrap(),
///     data_centre: data_centre.into(),
///     leaving,
/// };
/// let all = [entry("a", "west", false), entry("b", "east", false), entry("c", "east", true)];
/// let chosen = select_entry_points(&all, &["east".into()], 7);
/// let names: Vec<&str> = chosen.iter().map(|entry| entry.name.as_str()).collect();
/// assert_eq!(names, ["b", "a"]);
/// ```
pub fn select_entry_points<'a>(
    all: &'a [EntryPoint],
    data_centres: &[DataCentre],
    client: u64,
) -> Vec<&'a EntryPoint> {
    let rank = |entry: &EntryPoint| {
        data_centres
            .iter()
            .position(|name| *name == entry.data_centre)
    };
    let distance = |entry: &EntryPoint| rank(entry).unwrap_or(data_centres.len());
    let rendezvous_hash = |entry: &EntryPoint| mix(hash(entry.name.as_str().as_bytes()), client);
    let mut live: Vec<&EntryPoint> = all.iter().filter(|entry| !entry.leaving).collect();
    live.sort_by_key(|entry| (distance(entry), rendezvous_hash(entry)));
    let nearest = live.first().map(|entry| entry.data_centre.clone());
    let (local, remote): (Vec<&EntryPoint>, Vec<&EntryPoint>) = live
        .into_iter()
        .partition(|entry| Some(&entry.data_centre) == nearest.as_ref());
    let reserved = MAX_REMOTE.min(remote.len());
    let local = local.into_iter().take(MAX_ENTRY_POINTS - reserved);
    local.chain(remote).take(MAX_ENTRY_POINTS).collect()
}
