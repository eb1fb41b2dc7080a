//! The share of account limits that one of several instances admits.

use std::{sync::Arc, time::Duration};

use celerypond_bundle::Account;
use celerypond_daemon::{gossip, limits, node::Node};
use celerypond_platform::InstanceList;
use celerypond_route::{AccountLimiter, IDLE_SHARE};
use celerypond_telemetry::Metrics;
use celerypond_types::Digest;
use rstest::rstest;
use serde_json::{from_value, json};
use tokio::{sync::mpsc, time};

use crate::fleet::{settings, wait_until, InstanceAddresses};

const LIMIT: u32 = 10_000;
/// The share of a limit that all idle instances together get while the active ones may use the rest.
const IDLE_INSTANCES_SHARE: f64 = IDLE_SHARE / (1.0 + IDLE_SHARE);

fn new_node() -> Arc<Node> {
    let platform = "127.0.0.1:1".parse().unwrap();
    let (events, _) = mpsc::channel(1);
    Node::new(
        settings(0, InstanceAddresses::new(), platform),
        Metrics::local(),
        events,
    )
}

/// Returns a list of `count` instances, with the tested one first; the others do not respond.
fn instance_list(count: usize) -> InstanceList {
    let instance = |i| {
        json!({"name": format!("entry-{i}"), "address": "127.0.0.1:2",
               "peer_address": "127.0.0.1:3", "data_centre": "east", "state": "live"})
    };
    let instances: Vec<_> = (0..count).map(instance).collect();
    from_value(json!({ "instances": instances })).unwrap()
}

fn bundle() -> celerypond_bundle::Bundle {
    let account = json!({"name": "showroom", "key_digest": Digest::of(b"key"),
                         "requests_per_s": LIMIT, "tokens_per_s": LIMIT});
    from_value(json!({"format": 1, "title": "test", "targets": [], "accounts": [account]})).unwrap()
}

/// Returns the share of the limit that a limiter with full buckets admits at once.
fn admitted_share(limiter: &AccountLimiter, now_ms: u64) -> f64 {
    let taken = (0..LIMIT).take_while(|_| limiter.admit(0, now_ms).is_ok());
    taken.count() as f64 / f64::from(LIMIT)
}

// Guards against an account that exceeds its limit because an instance that has just started and knows no
// peer yet admits all of it. The instance may admit its part of the share of idle instances, also when the
// platform lists instances that it has not heard of, and the whole limit only if it is listed alone.
#[rstest]
#[case::no_list(None, IDLE_INSTANCES_SHARE / 7.0)]
#[case::others_are_listed(Some(3), IDLE_INSTANCES_SHARE / 3.0)]
#[case::listed_alone(Some(1), 1.0)]
#[tokio::test]
async fn an_instance_that_heard_of_nobody(
    #[case] listed: Option<usize>,
    #[case] expected_share: f64,
) {
    let node = new_node();
    if let Some(count) = listed {
        node.set_instance_list(instance_list(count));
    }
    let now = time::Instant::now();
    node.view.rcu(|view| view.with_bundle(&bundle(), now));
    let account: Account = bundle().accounts[0].clone();
    let limiter = {
        let view = node.view.load();
        let key = view.accounts().key(&account.name).unwrap();
        Arc::clone(&view.accounts().get(key).unwrap().limiter)
    };
    limiter.set_account_limit(&account, limits::initial_share(&node), 0);
    assert_near(admitted_share(&limiter, 60_000), expected_share);
    let task = tokio::spawn(limits::run(Arc::clone(&node)));
    time::sleep(Duration::from_millis(200)).await;
    node.shutdown.cancel();
    task.await.unwrap();
    assert_near(admitted_share(&limiter, 120_000), expected_share);
}

fn assert_near(admitted_share: f64, expected: f64) {
    assert!(
        (admitted_share - expected).abs() < 0.001,
        "the admitted share is {admitted_share}, expected {expected}"
    );
}

// Guards against instances that each assume to be the only one and fill all slots. Requests would then
// wait in the queues of the engines, which are not fair between accounts.
#[tokio::test]
async fn the_view_counts_the_listed_instances() {
    let node = new_node();
    node.set_instance_list(instance_list(3));
    let tasks = [
        tokio::spawn(gossip::run(Arc::clone(&node))),
        tokio::spawn(limits::run(Arc::clone(&node))),
    ];
    wait_until(async || node.view.load().instances() == 3).await;
    node.shutdown.cancel();
    for task in tasks {
        task.await.unwrap();
    }
}
