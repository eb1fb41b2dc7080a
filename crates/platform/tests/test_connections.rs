//! Tests for connections that stop responding and for slow transfers.

use std::time::Duration;

use celerypond_platform::{PlatformError, Version};

use crate::server::{
    client, client_with_addresses, reply, text, Reply, Server, HIGH_RATES, TIMEOUT,
};

// Guards against every idle connection costing a call its response. Four concurrent calls leave
// four idle connections. A network device on the path then loses the state of all of them: requests
// on them are never answered, while new connections work. The first call after that times out. The
// second must not.
#[tokio::test]
async fn timeout_replaces_all_idle_connections() {
    let server = Server::start(|connection, request, _| match (connection, request) {
        (0..4, 1..) => Reply::Silent,
        _ => Reply::Delayed(
            Duration::from_millis(20),
            text("200 OK", "etag: \"5\"\r\n", ""),
        ),
    })
    .await;
    let platform = client(server.address, HIGH_RATES);
    let calls = (0..4).map(|_| platform.get("k"));
    assert!(futures::future::join_all(calls)
        .await
        .iter()
        .all(Result::is_ok));
    let error = platform.get("k").await.unwrap_err();
    assert_eq!(*error.current_context(), PlatformError::Down);
    for _ in 0..4 {
        platform.get("k").await.unwrap();
    }
}

// Guards against a call that gets the response of an earlier one. The first response arrives after
// its caller has given up. The next call would read it if the connection went back to the pool.
#[tokio::test]
async fn late_response_is_discarded() {
    let server = Server::start(|connection, request, _| match (connection, request) {
        (0, 0) => Reply::Delayed(
            TIMEOUT + TIMEOUT / 2,
            text("200 OK", "etag: \"1\"\r\n", "late"),
        ),
        _ => reply("200 OK", "etag: \"2\"\r\n", "own"),
    })
    .await;
    let platform = client(server.address, HIGH_RATES);
    assert!(platform.get("first").await.is_err());
    tokio::time::sleep(TIMEOUT).await;
    let object = platform.get("second").await.unwrap();
    assert_eq!(
        (object.version, &object.value[..]),
        (Version(2), &b"own"[..])
    );
}

// The first address of the platform is unreachable. One call fails because of that. All later calls
// use the second address.
#[tokio::test]
async fn calls_after_a_failure_use_the_next_address() {
    let server = Server::start(|_, _, _| reply("200 OK", "etag: \"5\"\r\n", "")).await;
    let unreachable = "127.0.0.1:1".parse().unwrap();
    let platform = client_with_addresses(vec![unreachable, server.address], HIGH_RATES);
    let error = platform.get("k").await.unwrap_err();
    assert_eq!(*error.current_context(), PlatformError::Down);
    for _ in 0..3 {
        assert_eq!(platform.get("k").await.unwrap().version, Version(5));
    }
}

fn trickle(pause: Duration, pieces: usize) -> Reply {
    let body = "x".repeat(pieces);
    let head = text("200 OK", "etag: \"5\"\r\n", &body);
    let head = head.trim_end_matches('x').to_owned();
    let pieces = std::iter::repeat_n("x".to_owned(), pieces);
    Reply::Trickle(pause, [head].into_iter().chain(pieces).collect())
}

// Guards against a transfer over a slow link that is aborted and restarted forever.
#[tokio::test]
async fn response_that_keeps_arriving_is_read_to_its_end() {
    let pause = TIMEOUT / 3;
    let server = Server::start(move |_, _, _| trickle(pause, 9)).await;
    let platform = client(server.address, HIGH_RATES);
    let (counting, progress) = platform.with_progress();
    let object = counting.get("k").await.unwrap();
    assert_eq!((object.value.len(), progress.bytes()), (9, 9));
}

// Guards against a connection that delivers a byte now and then and blocks its caller forever.
#[tokio::test]
async fn response_that_never_ends_is_aborted() {
    let pause = TIMEOUT / 3;
    let server = Server::start(move |_, _, _| trickle(pause, 1_000)).await;
    let platform = client(server.address, HIGH_RATES);
    let start = tokio::time::Instant::now();
    let error = platform.get("k").await.unwrap_err();
    assert_eq!(*error.current_context(), PlatformError::Down);
    assert!(start.elapsed() < TIMEOUT * 15);
}
