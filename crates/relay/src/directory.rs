//! Which instances a caller is told of.

use std::net::{IpAddr, SocketAddr};

/// Returns the instances that a caller is told of, `most` at most.
///
/// The failure: an answer has place for 64 addresses, and each instance names the same first ones. In a fleet of
/// 300 a few tens get all callers, and the rest is idle. Each caller has an order of its own here, which
/// is the same whichever instance it asks: if its answers differed each time, it would leave its
/// connections to the instances that the new one leaves out.
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
/// let told = directory_addresses(caller, all.clone(), 64);
/// assert_eq!(told.len(), 64);
/// let reversed = all.into_iter().rev().collect();
/// assert_eq!(directory_addresses(caller, reversed, 64), told);
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

/// The order by rendezvous: an instance that comes or goes changes one address of an answer at most.
fn rank(caller: IpAddr, address: SocketAddr) -> (u64, SocketAddr) {
    let text = format!("{caller} {address}");
    (celerypond_route::hash(text.as_bytes()), address)
}
