//! Which entry addresses a caller is told.

use std::{net::SocketAddr, time::Duration};

use celerypond_types::{DataCentre, InstanceName};

use crate::hash::{hash, mix};

/// How long a caller may keep an answer.
pub const ENTRY_POINTS_TTL: Duration = Duration::from_secs(10);
/// How many addresses an answer has at most.
const ANSWER_LEN: usize = 6;
/// How many of them are kept for other data centres than the nearest.
const ELSEWHERE: usize = 2;

/// An instance that callers may connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPoint {
    /// Its name.
    pub name: InstanceName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Whether it is leaving; its address is given to nobody.
    pub leaving: bool,
}

/// Chooses the entry addresses for a caller, the one to try first at the front.
///
/// `near` lists the data centres by their distance from the caller, those not named come last.
/// `caller` is a hash of the caller's address: callers are spread over the instances of a data
/// centre, and one caller gets the same order again. A few addresses are in other data centres, so
/// a caller whose data centre is lost need not ask anew.
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
    near: &[DataCentre],
    caller: u64,
) -> Vec<&'a EntryPoint> {
    let place = |entry: &EntryPoint| near.iter().position(|name| *name == entry.data_centre);
    let distance = |entry: &EntryPoint| place(entry).unwrap_or(near.len());
    let draw = |entry: &EntryPoint| mix(hash(entry.name.as_str().as_bytes()), caller);
    let mut live: Vec<&EntryPoint> = all.iter().filter(|entry| !entry.leaving).collect();
    live.sort_by_key(|entry| (distance(entry), draw(entry)));
    let first = live.first().map(|entry| entry.data_centre.clone());
    let (home, away): (Vec<&EntryPoint>, Vec<&EntryPoint>) = live
        .into_iter()
        .partition(|entry| Some(&entry.data_centre) == first.as_ref());
    let kept = ELSEWHERE.min(away.len());
    let home = home.into_iter().take(ANSWER_LEN - kept);
    home.chain(away).take(ANSWER_LEN).collect()
}
