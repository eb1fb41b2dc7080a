//! Targets and instances that leave.

use std::time::Duration;

use celerypond_testutils::fault::EngineFault;

use crate::fleet::{get, prompt, receive, reference, wait_for, Fleet, ACCOUNT_KEY};

const GAP: Duration = Duration::from_millis(2);

/// Callers see nothing of it. An engine says that it leaves; three seconds later it gets no new work
/// from any instance, and what it had goes on to its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work_after_three_seconds() {
    let fleet = Fleet::start(GAP).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.engines[0].stand_in.fault(EngineFault {
        leaving: Some(true),
        ..EngineFault::default()
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = fleet.engines[0].stand_in.log().starts.len();
    for seed in 0..30 {
        let tokens = receive(&client, prompt("p", seed, 3), |_| {}).await;
        assert_eq!(tokens.unwrap(), reference("v1", "p", seed, 3));
    }
    assert_eq!(fleet.engines[0].stand_in.log().starts.len(), before);
}

/// Callers see all of their answers. An instance is asked to stop while it streams one, while an idle
/// connection stays open and while a caller who holds its address connects anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request() {
    let mut fleet = Fleet::start(Duration::from_millis(10)).await;
    let address = fleet.instances[0].address;
    let client = celerypond_cli::Client::new(vec![address], ACCOUNT_KEY).unwrap();
    let idle = tokio::net::TcpStream::connect(address).await.unwrap();
    let running = {
        let client = client.clone();
        tokio::spawn(async move { receive(&client, prompt("long", 1, 300), |_| {}).await })
    };
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.instances[0].stop().await;
    wait_for(async || {
        let (_, entries) = get(address, "/v1/entries").await.unwrap();
        !entries.to_string().contains(&address.to_string())
    })
    .await;
    // Someone who was given the address before is still served.
    let (status, _) = get(address, "/v1/health").await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(
        running.await.unwrap().unwrap(),
        reference("v1", "long", 1, 300)
    );
    fleet.instances[0].stop().await;
    tokio::time::timeout(Duration::from_secs(10), fleet.instances[0].ended())
        .await
        .expect("an idle connection must not hold up the stop");
    drop(idle);
}
