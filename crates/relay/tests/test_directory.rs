//! Which instances callers are told of.

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

/// 600 callers ask a fleet of 300. If each answer names the first 64 that an instance knows, these get all
/// callers; every instance must be told to about as many.
#[test]
fn all_instances_of_a_large_fleet_get_callers() {
    let all = instances(300);
    let mut told: HashMap<SocketAddr, usize> = HashMap::new();
    for caller in callers(600) {
        for address in directory_addresses(caller, all.clone(), MOST) {
            *told.entry(address).or_default() += 1;
        }
    }
    // The mean is 128.
    assert_eq!(told.len(), 300);
    assert!(
        told.values().all(|count| (85..180).contains(count)),
        "{told:?}"
    );
}

/// An instance leaves. Callers drop connections to addresses that a new answer leaves out, so no other address
/// may go with it.
#[test]
fn an_answer_changes_by_the_instance_that_left() {
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
