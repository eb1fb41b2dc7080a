//! Bundles in force, under outages and restarts.

use std::time::Duration;

use celerypond_testutils::fault::PlatformFault;
use serde_json::json;

use crate::fleet::Fleet;

const GAP: Duration = Duration::from_millis(5);

fn down(fleet: &Fleet, down: bool) {
    fleet.platform.set_faults(PlatformFault {
        down: Some(down),
        ..PlatformFault::default()
    });
}

/// Operators see the new revision at every instance, and never an older one after it. The store goes
/// down right after the roll was accepted; the instance that rolled passes the bundle on.
#[tokio::test(flavor = "multi_thread")]
async fn the_store_goes_down_right_after_a_roll() {
    let fleet = Fleet::start(GAP).await;
    let mut bundle = fleet.bundle();
    bundle["title"] = json!("second");
    let digest = fleet.sign(&bundle).await;
    fleet.roll(digest).await;
    down(&fleet, true);
    fleet.await_revision(2).await;
    for instance in 0..3 {
        let status = fleet.status(instance).await.unwrap();
        assert_eq!(status["title"], "second");
    }
}

/// Operators see the newest revision at an instance that starts during an outage of the store: it has
/// kept nothing and takes the bundle from the others.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_starts_while_the_store_is_down() {
    let mut fleet = Fleet::start(GAP).await;
    let mut bundle = fleet.bundle();
    bundle["title"] = json!("second");
    let digest = fleet.sign(&bundle).await;
    fleet.roll(digest).await;
    fleet.await_revision(2).await;
    fleet.instances[2].kill();
    // The list of instances is read before the outage, else nobody could tell whom to ask.
    fleet.instances[2].restart();
    tokio::time::sleep(Duration::from_millis(300)).await;
    down(&fleet, true);
    fleet.await_revision(2).await;
}

/// One of two operators who roll at the same moment is told who won; the revision rises once for each
/// accepted roll.
#[tokio::test(flavor = "multi_thread")]
async fn two_operators_roll_at_once() {
    let fleet = Fleet::start(GAP).await;
    let mut digests = Vec::new();
    for title in ["second", "third"] {
        let mut bundle = fleet.bundle();
        bundle["title"] = json!(title);
        digests.push(fleet.sign(&bundle).await);
    }
    let (one, two) = tokio::join!(fleet.roll(digests[0]), fleet.roll(digests[1]));
    let won = [&one, &two]
        .into_iter()
        .filter(|answer| answer.get("revision").is_some());
    let won = won.count() as u64;
    assert!(won >= 1, "{one} {two}");
    fleet.await_revision(1 + won).await;
    let status = fleet.status(0).await.unwrap();
    assert_eq!(status["revision"], 1 + won);
}
