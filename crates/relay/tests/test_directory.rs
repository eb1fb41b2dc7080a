//! Addresses of instances that callers are given.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
};

use celerypond_relay::directory_addresses;

const MOST: usize = 64;

fn instances(n: u16) -> Vec<SocketAddr> {
    let address = |n: u16| format!("10.1.{}.{}:8740", n / 200, n % 200 + 1);
    (0..n).map(|n| address(n).parse().unwrap()).collect()
}

fn callers(n: u16) -> impl Iterator<Item = IpAddr> {
    (0..n).map(|n| {
        format!("100.64.{}.{}", n / 200, n % 200 + 1)
            .parse()
            .unwrap()
    })
}

/// 600 callers query a fleet of 300. Guards against giving all of them the first 64 instances; each
/// instance must be given to about the same number.
#[test]
fn all_instances_of_a_large_fleet_get_callers() {
    let all = instances(300);
    let mut given: HashMap<SocketAddr, usize> = HashMap::new();
    for caller in callers(600) {
        for address in directory_addresses(caller, all.clone(), MOST) {
            *given.entry(address).or_default() += 1;
        }
    }
    // The mean is 128.
    assert_eq!(given.len(), 300);
    assert!(
        given.values().all(|count| (85..180).contains(count)),
        "{given:?}"
    );
}

/// An instance leaves. Guards against a response that leaves out other addresses as well, to which
/// callers would drop their connections.
#[test]
fn response_changes_only_by_the_instance_that_left() {
    let before = instances(300);
    let gone = before[17];
    let after: Vec<SocketAddr> = before.iter().copied().filter(|one| *one != gone).collect();
    for caller in callers(50) {
        let first: HashSet<_> = directory_addresses(caller, before.clone(), MOST)
            .into_iter()
            .collect();
        let second: HashSet<_> = directory_addresses(caller, after.clone(), MOST)
            .into_iter()
            .collect();
        assert!(first.difference(&second).all(|one| *one == gone));
    }
}
