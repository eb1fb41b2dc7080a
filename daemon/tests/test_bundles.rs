//! Activation of bundles during outages of the store, restarts and concurrent rolls.

use std::time::Duration;

use celerypond_testutils::fault::PlatformFault;
use serde_json::json;

use crate::fleet::Fleet;

const TOKEN_INTERVAL: Duration = Duration::from_millis(5);

fn set_store_down(fleet: &Fleet, is_down: bool) {
    fleet.platform.set_faults(PlatformFault {
        down: Some(is_down),
        ..PlatformFault::default()
    });
}

// The store goes down right after a roll was accepted. The instance that accepted it must pass the bundle
// on, so that all instances activate the new revision.
#[tokio::test(flavor = "multi_thread")]
async fn the_store_goes_down_right_after_a_roll() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let mut bundle = fleet.bundle();
    bundle["title"] = json!("second");
    let digest = fleet.submit_and_approve(&bundle).await;
    fleet.roll(digest).await;
    set_store_down(&fleet, true);
    fleet.await_revision(2).await;
    for instance in 0..3 {
        let status = fleet.status(instance).await.unwrap();
        assert_eq!(status["title"], "second");
    }
}

// An instance without local state starts during an outage of the store. It must get the newest bundle from
// the other instances.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_starts_while_the_store_is_down() {
    let mut fleet = Fleet::start(TOKEN_INTERVAL).await;
    let mut bundle = fleet.bundle();
    bundle["title"] = json!("second");
    let digest = fleet.submit_and_approve(&bundle).await;
    fleet.roll(digest).await;
    fleet.await_revision(2).await;
    fleet.instances[2].kill();
    // The instance reads the list of instances before the outage; without it, it would know no peer to ask.
    fleet.instances[2].restart();
    tokio::time::sleep(Duration::from_millis(300)).await;
    set_store_down(&fleet, true);
    fleet.await_revision(2).await;
}

// Two operators roll different bundles at the same moment. At least one roll must be accepted, and the
// revision must increase by one for each accepted roll.
#[tokio::test(flavor = "multi_thread")]
async fn two_operators_roll_at_once() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let mut digests = Vec::new();
    for title in ["second", "third"] {
        let mut bundle = fleet.bundle();
        bundle["title"] = json!(title);
        digests.push(fleet.submit_and_approve(&bundle).await);
    }
    let (first_reply, second_reply) = tokio::join!(fleet.roll(digests[0]), fleet.roll(digests[1]));
    let accepted = [&first_reply, &second_reply]
        .into_iter()
        .filter(|reply| reply.get("revision").is_some());
    let accepted = accepted.count() as u64;
    assert!(accepted >= 1, "{first_reply} {second_reply}");
    fleet.await_revision(1 + accepted).await;
    let status = fleet.status(0).await.unwrap();
    assert_eq!(status["revision"], 1 + accepted);
}
