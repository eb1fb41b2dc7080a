//! What one of several instances takes of the limits.

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

use crate::fleet::{settings, wait_for};

const LIMIT: u32 = 10_000;
/// The part of a limit that idle instances share when the others may use all the rest.
const IDLE: f64 = IDLE_SHARE / (1.0 + IDLE_SHARE);

fn node() -> Arc<Node> {
    let platform = "127.0.0.1:1".parse().unwrap();
    let (events, _) = mpsc::channel(1);
    Node::new(
        settings(0, 20_001, 20_002, platform),
        Metrics::local(),
        events,
    )
}

/// Returns a list of so many instances, this one first; the others do not answer.
fn list(count: usize) -> InstanceList {
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

/// Returns the part of the limit that a full limiter admits at once.
fn part(limiter: &AccountLimiter, now_ms: u64) -> f64 {
    let taken = (0..LIMIT).take_while(|_| limiter.admit(0, now_ms).is_ok());
    taken.count() as f64 / f64::from(LIMIT)
}

/// Callers of one account together get more than their limit, if an instance that has just started
/// takes the whole of it. It knows nobody; then the platform lists instances that it has not heard
/// of. It may take its part of what idle instances have, and the whole only if it is listed alone.
#[rstest]
#[case::no_list(None, IDLE / 7.0)]
#[case::others_are_listed(Some(3), IDLE / 3.0)]
#[case::listed_alone(Some(1), 1.0)]
#[tokio::test]
async fn an_instance_that_heard_of_nobody(#[case] listed: Option<usize>, #[case] most: f64) {
    let node = node();
    if let Some(count) = listed {
        node.set_instance_list(list(count));
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
    assert_near(part(&limiter, 60_000), most);
    let task = tokio::spawn(limits::run(Arc::clone(&node)));
    time::sleep(Duration::from_millis(200)).await;
    node.shutdown.cancel();
    task.await.unwrap();
    assert_near(part(&limiter, 120_000), most);
}

fn assert_near(part: f64, wanted: f64) {
    assert!((part - wanted).abs() < 0.001, "{part} is not {wanted}");
}

/// Callers wait in the queues of the engines, where accounts are not treated fairly, if each of
/// three instances takes itself for the only one and fills all slots.
#[tokio::test]
async fn the_view_counts_the_listed_instances() {
    let node = node();
    node.set_instance_list(list(3));
    let tasks = [
        tokio::spawn(gossip::run(Arc::clone(&node))),
        tokio::spawn(limits::run(Arc::clone(&node))),
    ];
    wait_for(async || node.view.load().instances() == 3).await;
    node.shutdown.cancel();
    for task in tasks {
        task.await.unwrap();
    }
}
