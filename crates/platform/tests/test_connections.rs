//! Connections that fall silent.

use std::time::Duration;

use celerypond_platform::{PlatformError, Version};

use crate::server::{client, client_of, reply, text, Reply, Server, PLENTY, TIMEOUT};

// Four calls at once leave four idle connections. Something on the way then loses track of all of
// them: they take requests and never answer, while new connections work. The first call after
// that times out. The second must not, or each idle connection costs a call its answer.
#[tokio::test]
async fn one_timeout_retires_all_connections_that_were_open() {
    let server = Server::start(|connection, request, _| match (connection, request) {
        (0..4, 1..) => Reply::Silent,
        _ => Reply::Late(
            Duration::from_millis(20),
            text("200 OK", "etag: \"5\"\r\n", ""),
        ),
    })
    .await;
    let platform = client(server.address, PLENTY);
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

// The first answer arrives after its caller gave up. The second call must get its own answer and
// not the late one, which would be read if the connection went back to the pool.
#[tokio::test]
async fn a_late_answer_reaches_nobody() {
    let server = Server::start(|connection, request, _| match (connection, request) {
        (0, 0) => Reply::Late(
            TIMEOUT + TIMEOUT / 2,
            text("200 OK", "etag: \"1\"\r\n", "late"),
        ),
        _ => reply("200 OK", "etag: \"2\"\r\n", "own"),
    })
    .await;
    let platform = client(server.address, PLENTY);
    assert!(platform.get("first").await.is_err());
    tokio::time::sleep(TIMEOUT).await;
    let object = platform.get("second").await.unwrap();
    assert_eq!(
        (object.version, &object.value[..]),
        (Version(2), &b"own"[..])
    );
}

// The first address of the platform is down. One call learns that; the next goes to the second
// address, and all later ones stay there.
#[tokio::test]
async fn calls_go_on_at_another_address() {
    let server = Server::start(|_, _, _| reply("200 OK", "etag: \"5\"\r\n", "")).await;
    let nobody = "127.0.0.1:1".parse().unwrap();
    let platform = client_of(vec![nobody, server.address], PLENTY);
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

// Guards against a transfer over a narrow link that is given up in the middle and begun again for ever.
#[tokio::test]
async fn answer_that_keeps_arriving_is_read_to_its_end() {
    let pause = TIMEOUT / 3;
    let server = Server::start(move |_, _, _| trickle(pause, 9)).await;
    let platform = client(server.address, PLENTY);
    let (counting, progress) = platform.with_progress();
    let object = counting.get("k").await.unwrap();
    assert_eq!((object.value.len(), progress.bytes()), (9, 9));
}

// Guards against a connection that delivers a byte now and then and holds up its caller for good.
#[tokio::test]
async fn answer_that_never_ends_is_given_up() {
    let pause = TIMEOUT / 3;
    let server = Server::start(move |_, _, _| trickle(pause, 1_000)).await;
    let platform = client(server.address, PLENTY);
    let begun = tokio::time::Instant::now();
    let error = platform.get("k").await.unwrap_err();
    assert_eq!(*error.current_context(), PlatformError::Down);
    assert!(begun.elapsed() < TIMEOUT * 15);
}
