//! The addresses of instances that callers are given.

use std::net::{IpAddr, SocketAddr};

/// Returns the addresses of instances that a caller is given, up to `most`.
///
/// A response has room for 64 addresses. If each instance listed the same first ones, some tens of
/// instances in a fleet of 300 would get all callers while the others are idle. The selection
/// therefore differs by caller. It is the same regardless of which instance is asked: otherwise a
/// caller would close its connections to the instances that the next response leaves out.
///
/// # Examples
///
/// ```
/// use std::net::SocketAddr;
///
/// use celerypond_relay::directory_addresses;
///
/// let all: Vec<SocketAddr> = (1..=100).map(|n| format!("10.0.0.{n}:80").parse().unwrap()).collect();
/// let caller = "10.9.0.1".parse().unwrap();
/// assert_eq!(directory_addresses(caller, all.clone(), 100), all);
/// let given = directory_addresses(caller, all.clone(), 64);
/// assert_eq!(given.len(), 64);
/// let reversed = all.into_iter().rev().collect();
/// assert_eq!(directory_addresses(caller, reversed, 64), given);
/// ```
pub fn directory_addresses(
    caller: IpAddr,
    mut all: Vec<SocketAddr>,
    most: usize,
) -> Vec<SocketAddr> {
    if all.len() <= most {
        return all;
    }
    all.sort_by_cached_key(|address| rank(caller, *address));
    all.truncate(most);
    all
}

/// Rendezvous hashing: an instance that joins or leaves changes at most one address of a response.
fn rank(caller: IpAddr, address: SocketAddr) -> (u64, SocketAddr) {
    let text = format!("{caller} {address}");
    (celerypond_route::hash(text.as_bytes()), address)
}
