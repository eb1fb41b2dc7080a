//! Calls to plain services that must not run twice.
//!
//! The calls place holds on items at the service `desk`, as declared in the bundle with
//! `idempotent: false`.

use std::time::{Duration, Instant};

use celerypond_cli::{Client, ServiceCall};
use celerypond_testutils::fault::{PlatformFault, ServiceFault};

use crate::fleet::{Fleet, ACCOUNT_KEY};

const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
const CALL_TIMEOUT: Duration = Duration::from_millis(1900);

fn hold_request(key: Option<&str>) -> ServiceCall {
    ServiceCall {
        service: "desk".into(),
        method: "POST".into(),
        path: "/holds".into(),
        body: "{\"item\":4}".into(),
        key: key.map(str::to_owned),
    }
}

fn run_count(fleet: &Fleet, key: &str) -> usize {
    let log = fleet.service.stand_in.log();
    log.iter().filter(|run| run.key == key).count()
}

// Nine callers send one hold with the same key to three instances at once. The hold must run once, and all
// callers must get the reply of this run.
#[tokio::test(flavor = "multi_thread")]
async fn one_hold_is_sent_to_all_instances_at_once() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let clients: Vec<Client> = (0..9)
        .map(|i| Client::new(vec![fleet.instances[i % 3].address], ACCOUNT_KEY).unwrap())
        .collect();
    let request = hold_request(Some("hold-1"));
    let calls = clients
        .iter()
        .map(|client| client.call(&request, CALL_TIMEOUT));
    let answers = futures::future::join_all(calls).await;
    let bodies: Vec<_> = answers
        .into_iter()
        .map(|answer| answer.unwrap().body)
        .collect();
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    assert_eq!(run_count(&fleet, "hold-1"), 1);
}

// The replies of the store to the next writes are lost after the writes took effect. The instance must read
// back what was written, and a retry must not run the hold again.
#[tokio::test(flavor = "multi_thread")]
async fn replies_of_the_store_are_lost() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.platform.set_faults(PlatformFault {
        lose_replies: Some(2),
        ..PlatformFault::default()
    });
    // A call may time out or end as unknown; the test only checks that no retry runs the hold again.
    for _ in 0..3 {
        let _ = client
            .call(&hold_request(Some("hold-2")), CALL_TIMEOUT)
            .await;
    }
    let answer = client
        .call(&hold_request(Some("hold-2")), CALL_TIMEOUT)
        .await;
    assert!(run_count(&fleet, "hold-2") <= 1, "{answer:?}");
}

// The service runs the hold and never replies. At the deadline, and again when it retries, the caller must
// be told that the hold may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_runs_a_hold_and_does_not_answer() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.service.stand_in.set_faults(ServiceFault {
        swallow: Some(1),
        ..ServiceFault::default()
    });
    for _ in 0..2 {
        let error = client
            .call(&hold_request(Some("hold-3")), CALL_TIMEOUT)
            .await
            .unwrap_err();
        assert!(!error.current_context().proves_not_run(), "{error:?}");
    }
    assert_eq!(run_count(&fleet, "hold-3"), 1);
}

// The service replies with a failure after it has run the hold, and the bundle does not declare that its
// failures prove that a call has not run. The caller must be told that the hold may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_fails_after_it_has_run_a_hold() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.service.stand_in.set_faults(ServiceFault {
        fail_after_run: Some(1),
        ..ServiceFault::default()
    });
    let error = client
        .call(&hold_request(None), CALL_TIMEOUT)
        .await
        .unwrap_err();
    assert!(error.to_string().starts_with("unknown"), "{error:?}");
    assert_eq!(fleet.service.stand_in.log().len(), 1);
}

// The store that must record the hold is down. The caller must be refused without delay, with an error that
// proves that the hold did not run.
#[tokio::test(flavor = "multi_thread")]
async fn the_store_is_down_when_a_hold_comes() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let addresses = vec![fleet.instances[0].address];
    let client = Client::new(addresses, ACCOUNT_KEY).unwrap();
    fleet.platform.set_faults(PlatformFault {
        down: Some(true),
        ..PlatformFault::default()
    });
    let started = Instant::now();
    // The timeout is shorter than the retry delay in the reply, so the caller does not retry.
    let error = client
        .call(&hold_request(Some("hold-4")), Duration::from_millis(150))
        .await;
    let error = error.unwrap_err();
    assert!(error.current_context().proves_not_run(), "{error:?}");
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(run_count(&fleet, "hold-4"), 0);
}

// An instance dies while it runs a hold, and the caller sends the hold again to another instance. This one
// must find the record of the first run and not run the hold again.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_dies_while_it_runs_a_hold() {
    let mut fleet = Fleet::start(TOKEN_INTERVAL).await;
    fleet.service.stand_in.set_faults(ServiceFault {
        slow_ms: Some(100),
        ..ServiceFault::default()
    });
    for (delay, key) in [(5, "hold-5"), (40, "hold-6"), (120, "hold-7")] {
        let first_client = Client::new(vec![fleet.instances[0].address], ACCOUNT_KEY).unwrap();
        let request = hold_request(Some(key));
        let call =
            tokio::spawn(async move { first_client.call(&request, CALL_TIMEOUT).await.is_ok() });
        tokio::time::sleep(Duration::from_millis(delay)).await;
        fleet.instances[0].kill();
        call.abort();
        let second_client = Client::new(vec![fleet.instances[1].address], ACCOUNT_KEY).unwrap();
        let answer = second_client
            .call(&hold_request(Some(key)), CALL_TIMEOUT)
            .await;
        assert!(run_count(&fleet, key) <= 1, "{key}: {answer:?}");
        fleet.instances[0].restart();
        fleet.await_revision(1).await;
    }
}
