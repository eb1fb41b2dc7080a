//! Rollouts through whole instances.

use std::{
    sync::atomic::{AtomicBool, Ordering::Relaxed},
    time::Duration,
};

use celerypond_testutils::fault::{BadVersion, EngineFault};
use serde_json::{json, Value};

use crate::fleet::{prompt, receive, Fleet, ACCOUNT_KEY};

/// How many callers ask at once.
const CALLERS: u64 = 24;

fn second(fleet: &Fleet) -> Value {
    let mut bundle = fleet.bundle();
    let targets = bundle["models"][0]["versions"][0]["targets"].clone();
    let version = json!({"name": "v2", "weights": "drafts/v2", "targets": targets});
    let versions = bundle["models"][0]["versions"].as_array_mut().unwrap();
    versions.push(version);
    bundle["models"][0]["shares"] = json!([{"version": "v2", "percent": 100}]);
    bundle["models"][0]["deadline_ms"] = json!(2_000);
    bundle
}

/// Rolls the second bundle with callers at work, and returns the status at its end.
async fn roll(fleet: &Fleet) -> Value {
    let digest = fleet.sign(&second(fleet)).await;
    fleet.roll(digest).await;
    let over = AtomicBool::new(false);
    let caller = async |caller: u64| {
        let address = fleet.instances[caller as usize % 3].address;
        let client = celerypond_cli::Client::new(vec![address], ACCOUNT_KEY).unwrap();
        let mut seed = caller << 32;
        while !over.load(Relaxed) {
            seed += 1;
            // Some answers of a bad version fail; this is what the rollout must find out.
            let _ = receive(&client, prompt("p", seed, 4), |_| {}).await;
        }
    };
    let watch = async {
        let until = tokio::time::Instant::now() + Duration::from_secs(60);
        loop {
            let status = fleet.status(0).await.unwrap_or_default();
            let ended = status["rollout"]["ending"].is_string();
            if ended || tokio::time::Instant::now() > until {
                over.store(true, Relaxed);
                return status;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let callers = futures::future::join_all((0..CALLERS).map(caller));
    let (_, status) = tokio::join!(callers, watch);
    status
}

/// Operators are told `taken_back`. The engines load the new version by orders, and then 60 of 100 of
/// its answers fail; after that the version gets no request.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_taken_back() {
    let fleet = Fleet::start(Duration::from_millis(1)).await;
    for engine in &fleet.engines {
        engine.stand_in.set_faults(EngineFault {
            bad: Some(BadVersion {
                version: "v2".into(),
                fail_percent: 60,
                slow_ms: 0,
            }),
            ..EngineFault::default()
        });
    }
    let status = roll(&fleet).await;
    assert_eq!(status["rollout"]["ending"], "taken_back", "{status:#}");
    assert_eq!(status["rollout"]["cause"], "failures", "{status:#}");
}

/// Operators are told `done`, before the deadline of the rollout.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_is_completed() {
    let fleet = Fleet::start(Duration::from_millis(1)).await;
    let status = roll(&fleet).await;
    assert_eq!(status["rollout"]["ending"], "done", "{status:#}");
}
