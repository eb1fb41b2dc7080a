//! What failures of a service prove about a call, tested with real sockets.

use std::time::Duration;

use celerypond_ledger::{Failure, NotRunCodes, RetryDecision};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

const TIMEOUT: Duration = Duration::from_millis(100);
const REQUEST: &[u8] = b"POST /holds HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}";
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// A step of a service that handles a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Read,
    /// Runs the call.
    Run,
    Respond(&'static [u8]),
    Hang,
}

use Step::{Hang, Read, Respond, Run};

// Guards against a failure that is reported as "not run" although it can also occur after a run.
// Each failure is caused once by a service that ran the call and once by one that did not; the client
// can't tell them apart.
#[rstest]
#[case::closed(&[], &[Read, Run], Failure::Closed)]
#[case::closed_after_reading(&[Read], &[Read, Run], Failure::Closed)]
#[case::no_response(&[Read, Hang], &[Read, Run, Hang], Failure::Timeout)]
#[case::unavailable(&[Read, Respond(UNAVAILABLE)], &[Read, Run, Respond(UNAVAILABLE)], Failure::Status(503))]
#[tokio::test]
async fn failure_that_can_follow_a_run_leaves_the_outcome_unknown(
    #[case] steps_without_run: &'static [Step],
    #[case] steps_with_run: &'static [Step],
    #[case] failure: Failure,
) {
    for (steps, runs) in [(steps_without_run, 0), (steps_with_run, 1)] {
        assert_eq!(exchange(steps).await, (failure, runs), "{steps:?}");
    }
    let decision = |idempotent| failure.retry_decision(idempotent, &NotRunCodes::default());
    assert_eq!(decision(false), RetryDecision::Unknown);
    assert_eq!(decision(true), RetryDecision::RetryIdempotent);
}

// Only a connection that was never established proves that the call did not run.
#[tokio::test]
async fn refused_connection_is_retried() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = TcpStream::connect(address).await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
    for idempotent in [false, true] {
        let decision = Failure::Refused.retry_decision(idempotent, &NotRunCodes::default());
        assert_eq!(decision, RetryDecision::RetryNotRun);
    }
}

#[rstest]
#[case::declared(429, &[429], RetryDecision::RetryNotRun)]
#[case::not_declared(429, &[], RetryDecision::Unknown)]
#[case::other_code_declared(503, &[429], RetryDecision::Unknown)]
#[case::success_cannot_be_declared(200, &[200], RetryDecision::Final)]
#[case::rejected(422, &[], RetryDecision::Final)]
fn status_is_retried_only_if_declared_in_the_bundle(
    #[case] status: u16,
    #[case] codes: &[u16],
    #[case] decision: RetryDecision,
) {
    let failure = Failure::Status(status);
    assert_eq!(
        failure.retry_decision(false, &NotRunCodes::new(codes)),
        decision
    );
}

/// Sends one request to a service that goes through `steps`. Returns the failure that the client
/// observes and how often the call ran.
async fn exchange(steps: &'static [Step]) -> (Failure, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (mut service, _) = listener.accept().await.unwrap();
    let failure = async {
        caller.write_all(REQUEST).await.unwrap();
        observe_failure(&mut caller).await
    };
    let serve = async {
        let mut runs = 0;
        for step in steps {
            match step {
                Read => service
                    .read_exact(&mut [0; REQUEST.len()])
                    .await
                    .map(drop)
                    .unwrap(),
                Run => runs += 1,
                Respond(text) => service.write_all(text).await.unwrap(),
                Hang => tokio::time::sleep(2 * TIMEOUT).await,
            }
        }
        drop(service);
        runs
    };
    tokio::join!(failure, serve)
}

async fn observe_failure(caller: &mut TcpStream) -> Failure {
    let mut response = [0; 256];
    match tokio::time::timeout(TIMEOUT, caller.read(&mut response)).await {
        Err(_elapsed) => Failure::Timeout,
        Ok(Err(_) | Ok(0)) => Failure::Closed,
        Ok(Ok(count)) => {
            let text = String::from_utf8_lossy(&response[..count]).into_owned();
            let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
            Failure::Status(status.unwrap())
        }
    }
}
