//! What failures of a service prove, seen on sockets.

use std::time::Duration;

use celerypond_ledger::{Failure, NotRunCodes, RetryDecision};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

const WAIT: Duration = Duration::from_millis(100);
const REQUEST: &[u8] = b"POST /holds HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}";
const BUSY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// What the service does with a connection, step by step.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Read,
    Run,
    Answer(&'static [u8]),
    Hang,
}

use Step::{Answer, Hang, Read, Run};

// The same failure is made once by a service that ran the call and once by one that did not. What a
// caller can see is equal in both, so to say "not run" for it would be false in one of them. Only a
// connection that was never made comes with no run at all.
#[rstest]
#[case::closed(&[], &[Read, Run], Failure::Closed)]
#[case::closed_after_reading(&[Read], &[Read, Run], Failure::Closed)]
#[case::silent(&[Read, Hang], &[Read, Run, Hang], Failure::Timeout)]
#[case::busy(&[Read, Answer(BUSY)], &[Read, Run, Answer(BUSY)], Failure::Status(503))]
#[tokio::test]
async fn a_failure_that_looks_the_same_after_a_run_is_no_proof(
    #[case] idle: &'static [Step],
    #[case] ran: &'static [Step],
    #[case] failure: Failure,
) {
    for (steps, runs) in [(idle, 0), (ran, 1)] {
        assert_eq!(exchange(steps).await, (failure, runs), "{steps:?}");
    }
    let decision = |idempotent| failure.retry_decision(idempotent, &NotRunCodes::default());
    assert_eq!(decision(false), RetryDecision::Unknown);
    assert_eq!(decision(true), RetryDecision::RetryIdempotent);
}

#[tokio::test]
async fn a_refused_connection_is_a_proof() {
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
#[case::word_of_the_bundle(429, &[429], RetryDecision::RetryNotRun)]
#[case::no_word(429, &[], RetryDecision::Unknown)]
#[case::another_word(503, &[429], RetryDecision::Unknown)]
#[case::done_is_no_word(200, &[200], RetryDecision::Final)]
#[case::rejected(422, &[], RetryDecision::Final)]
fn a_status_proves_what_the_bundle_says(
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

/// Sends one request to a service that goes through `steps`, and returns what the caller sees and
/// how often the call ran.
async fn exchange(steps: &'static [Step]) -> (Failure, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (mut service, _) = listener.accept().await.unwrap();
    let seen = async {
        caller.write_all(REQUEST).await.unwrap();
        see(&mut caller).await
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
                Answer(text) => service.write_all(text).await.unwrap(),
                Hang => tokio::time::sleep(2 * WAIT).await,
            }
        }
        drop(service);
        runs
    };
    tokio::join!(seen, serve)
}

async fn see(caller: &mut TcpStream) -> Failure {
    let mut answer = [0; 256];
    match tokio::time::timeout(WAIT, caller.read(&mut answer)).await {
        Err(_elapsed) => Failure::Timeout,
        Ok(Err(_) | Ok(0)) => Failure::Closed,
        Ok(Ok(count)) => {
            let text = String::from_utf8_lossy(&answer[..count]).into_owned();
            let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
            Failure::Status(status.unwrap())
        }
    }
}
