//! Calls that may not be repeated.

use std::time::{Duration, Instant};

use celerypond_cli::{Client, ServiceCall};
use celerypond_testutils::fault::{PlatformFault, ServiceFault};

use crate::fleet::{Fleet, ACCOUNT_KEY};

const GAP: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_millis(1900);

fn hold(key: Option<&str>) -> ServiceCall {
    ServiceCall {
        service: "desk".into(),
        method: "POST".into(),
        path: "/holds".into(),
        body: "{\"item\":4}".into(),
        key: key.map(str::to_owned),
    }
}

fn runs(fleet: &Fleet, key: &str) -> usize {
    let log = fleet.desk.stand_in.log();
    log.iter().filter(|run| run.key == key).count()
}

/// All callers see the one answer. Nine callers send one hold under one key to three instances at
/// once; one of them runs it and the others wait for its result.
#[tokio::test(flavor = "multi_thread")]
async fn one_hold_is_sent_to_all_instances_at_once() {
    let fleet = Fleet::start(GAP).await;
    let clients: Vec<Client> = (0..9)
        .map(|i| Client::new(vec![fleet.instances[i % 3].address], ACCOUNT_KEY).unwrap())
        .collect();
    let called = hold(Some("hold-1"));
    let calls = clients.iter().map(|client| client.call(&called, LIMIT));
    let answers = futures::future::join_all(calls).await;
    let bodies: Vec<_> = answers
        .into_iter()
        .map(|answer| answer.unwrap().body)
        .collect();
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    assert_eq!(runs(&fleet, "hold-1"), 1);
}

/// Each caller sees an answer or an honest "unknown". The store's replies to the next writes are lost
/// after the writes took effect; what was written is found by reading it back.
#[tokio::test(flavor = "multi_thread")]
async fn replies_of_the_store_are_lost() {
    let fleet = Fleet::start(GAP).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.platform.set_faults(PlatformFault {
        lose_replies: Some(2),
        ..PlatformFault::default()
    });
    // The answer itself may be late; what counts is that no repetition runs the hold again.
    for _ in 0..3 {
        let _ = client.call(&hold(Some("hold-2")), LIMIT).await;
    }
    let answer = client.call(&hold(Some("hold-2")), LIMIT).await;
    assert!(runs(&fleet, "hold-2") <= 1, "{answer:?}");
}

/// The caller is told that the hold may have run, at the end of its deadline, and so it is told when
/// it asks again. The service runs the hold and never answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_runs_a_hold_and_does_not_answer() {
    let fleet = Fleet::start(GAP).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.desk.stand_in.set_faults(ServiceFault {
        swallow: Some(1),
        ..ServiceFault::default()
    });
    for _ in 0..2 {
        let error = client.call(&hold(Some("hold-3")), LIMIT).await.unwrap_err();
        assert!(!error.current_context().proves_not_run(), "{error:?}");
    }
    assert_eq!(runs(&fleet, "hold-3"), 1);
}

/// The caller is told that the call may have run. The service fails after it has run the hold, and
/// the bundle does not say that its failures prove anything.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_fails_after_it_has_run_a_hold() {
    let fleet = Fleet::start(GAP).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.desk.stand_in.set_faults(ServiceFault {
        fail_after_run: Some(1),
        ..ServiceFault::default()
    });
    let error = client.call(&hold(None), LIMIT).await.unwrap_err();
    assert!(error.to_string().starts_with("unknown"), "{error:?}");
    assert_eq!(fleet.desk.stand_in.log().len(), 1);
}

/// The caller is refused at once and told when to come back, and its hold did not run. The store that
/// must record the hold is down.
#[tokio::test(flavor = "multi_thread")]
async fn the_store_is_down_when_a_hold_comes() {
    let fleet = Fleet::start(GAP).await;
    let known = vec![fleet.instances[0].address];
    let client = Client::new(known, ACCOUNT_KEY).unwrap();
    fleet.platform.set_faults(PlatformFault {
        down: Some(true),
        ..PlatformFault::default()
    });
    let started = Instant::now();
    // A limit shorter than the time to come back, so that the client does not ask again.
    let error = client
        .call(&hold(Some("hold-4")), Duration::from_millis(150))
        .await;
    let error = error.unwrap_err();
    assert!(error.current_context().proves_not_run(), "{error:?}");
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(runs(&fleet, "hold-4"), 0);
}

/// No hold runs twice. An instance dies right after it took the hold; the caller sends it again to
/// another instance, which finds the record of the first.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_dies_while_it_runs_a_hold() {
    let mut fleet = Fleet::start(GAP).await;
    fleet.desk.stand_in.set_faults(ServiceFault {
        slow_ms: Some(100),
        ..ServiceFault::default()
    });
    for (delay, key) in [(5, "hold-5"), (40, "hold-6"), (120, "hold-7")] {
        let first = Client::new(vec![fleet.instances[0].address], ACCOUNT_KEY).unwrap();
        let called = hold(Some(key));
        let call = tokio::spawn(async move { first.call(&called, LIMIT).await.is_ok() });
        tokio::time::sleep(Duration::from_millis(delay)).await;
        fleet.instances[0].kill();
        call.abort();
        let second = Client::new(vec![fleet.instances[1].address], ACCOUNT_KEY).unwrap();
        let answer = second.call(&hold(Some(key)), LIMIT).await;
        assert!(runs(&fleet, key) <= 1, "{key}: {answer:?}");
        fleet.instances[0].restart();
        fleet.await_revision(1).await;
    }
}
