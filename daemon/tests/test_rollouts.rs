//! Rollouts of model versions by whole instances.

use std::{
    sync::atomic::{AtomicBool, Ordering::Relaxed},
    time::Duration,
};

use celerypond_testutils::fault::{BadVersion, EngineFault};
use serde_json::{json, Value};

use crate::fleet::{completion_request, receive_tokens, Fleet, ACCOUNT_KEY};

/// Number of concurrent callers.
const CALLERS: u64 = 24;

fn bundle_with_v2(fleet: &Fleet) -> Value {
    let mut bundle = fleet.bundle();
    let targets = bundle["models"][0]["versions"][0]["targets"].clone();
    let version = json!({"name": "v2", "weights": "drafts/v2", "targets": targets});
    let versions = bundle["models"][0]["versions"].as_array_mut().unwrap();
    versions.push(version);
    bundle["models"][0]["shares"] = json!([{"version": "v2", "percent": 100}]);
    bundle["models"][0]["deadline_ms"] = json!(2_000);
    bundle
}

/// Rolls the bundle with `v2` while callers send requests, and returns the status when the rollout has
/// ended or after 60 seconds.
async fn roll(fleet: &Fleet) -> Value {
    let digest = fleet.submit_and_approve(&bundle_with_v2(fleet)).await;
    fleet.roll(digest).await;
    let is_ended = AtomicBool::new(false);
    let caller = async |caller: u64| {
        let address = fleet.instances[caller as usize % 3].address;
        let client = celerypond_cli::Client::new(vec![address], ACCOUNT_KEY).unwrap();
        let mut seed = caller << 32;
        while !is_ended.load(Relaxed) {
            seed += 1;
            // Some answers of a bad version fail; the rollout must detect this.
            let _ = receive_tokens(&client, completion_request("p", seed, 4), |_| {}).await;
        }
    };
    let watch = async {
        let until = tokio::time::Instant::now() + Duration::from_secs(60);
        loop {
            let status = fleet.status(0).await.unwrap_or_default();
            let ended = status["rollout"]["ending"].is_string();
            if ended || tokio::time::Instant::now() > until {
                is_ended.store(true, Relaxed);
                return status;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let callers = futures::future::join_all((0..CALLERS).map(caller));
    let (_, status) = tokio::join!(callers, watch);
    status
}

// The engines load the new version by orders, and then 60% of its answers fail. The rollout must end as
// `taken_back`.
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

// A rollout of a version without faults must end as `done` before its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_is_completed() {
    let fleet = Fleet::start(Duration::from_millis(1)).await;
    let status = roll(&fleet).await;
    assert_eq!(status["rollout"]["ending"], "done", "{status:#}");
}
