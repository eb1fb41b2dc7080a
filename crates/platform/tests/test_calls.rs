//! Tests for calls and the errors that they return.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use celerypond_platform::{Change, Object, PlatformError, Version, WriteOutcome};
use rstest::rstest;

use crate::server::{client, reply, Reply, Server, HIGH_RATES, TIMEOUT};

const LIMITED: PlatformError = PlatformError::RateLimited {
    retry_after: Duration::from_secs(7),
};

#[rstest]
#[case::not_found("404 Not Found", PlatformError::Missing, PlatformError::Missing)]
#[case::condition(
    "412 Precondition Failed",
    PlatformError::Conflict,
    PlatformError::Conflict
)]
#[case::down("503 Service Unavailable", PlatformError::Down, PlatformError::Down)]
#[case::limited("429 Too Many Requests", LIMITED, LIMITED)]
#[case::failed(
    "500 Internal Server Error",
    PlatformError::Status(500),
    PlatformError::Ambiguous
)]
#[case::gateway(
    "504 Gateway Timeout",
    PlatformError::Status(504),
    PlatformError::Ambiguous
)]
#[case::no_condition(
    "428 Precondition Required",
    PlatformError::Status(428),
    PlatformError::Status(428)
)]
#[tokio::test]
async fn status_code_maps_to_an_error(
    #[case] status: &'static str,
    #[case] read: PlatformError,
    #[case] write: PlatformError,
) {
    let server = Server::start(move |_, _, _| reply(status, "retry-after: 7\r\n", "")).await;
    let platform = client(server.address, HIGH_RATES);
    let value = || "v".into();
    let created = platform.create("k", value()).await.unwrap_err();
    let updated = platform.update("k", Version(1), value()).await.unwrap_err();
    let deleted = platform.delete("k", Version(1)).await.unwrap_err();
    let got = platform.get("k").await.unwrap_err();
    for report in [created, updated, deleted] {
        assert_eq!(*report.current_context(), write);
    }
    assert_eq!(*got.current_context(), read);
}

#[derive(Clone, Copy)]
enum ConnectionFailure {
    Refused,
    Closed,
    Silent,
    Stuck,
    CutOff,
}

const PARTIAL_RESPONSE: &str = "HTTP/1.1 200 OK\r\netag: \"5\"\r\ncontent-length: 9\r\n\r\nhalf";

// Guards against reporting a write as having had no effect when it may have taken effect. Only a
// connection that was never opened proves that the request was not processed. A connection that
// breaks at any later moment proves nothing.
#[rstest]
#[case::refused(ConnectionFailure::Refused, PlatformError::Down, PlatformError::Down)]
#[case::closed(
    ConnectionFailure::Closed,
    PlatformError::Down,
    PlatformError::Ambiguous
)]
#[case::silent(
    ConnectionFailure::Silent,
    PlatformError::Down,
    PlatformError::Ambiguous
)]
#[case::stuck(
    ConnectionFailure::Stuck,
    PlatformError::Down,
    PlatformError::Ambiguous
)]
#[case::cut_off(
    ConnectionFailure::CutOff,
    PlatformError::Down,
    PlatformError::Ambiguous
)]
#[tokio::test]
async fn write_on_a_broken_connection_is_ambiguous_unless_it_was_not_sent(
    #[case] failure: ConnectionFailure,
    #[case] read: PlatformError,
    #[case] write: PlatformError,
) {
    let server = Server::start(move |_, _, _| match failure {
        ConnectionFailure::Refused | ConnectionFailure::Silent => Reply::Silent,
        ConnectionFailure::Closed => Reply::Close,
        ConnectionFailure::Stuck => Reply::Send(PARTIAL_RESPONSE.to_owned()),
        ConnectionFailure::CutOff => Reply::SendClose(PARTIAL_RESPONSE.to_owned()),
    })
    .await;
    let address = server.address;
    let platform = client(address, HIGH_RATES);
    if matches!(failure, ConnectionFailure::Refused) {
        drop(server);
        tokio::time::sleep(TIMEOUT).await;
        assert_errors(&platform, read, write).await;
    } else {
        assert_errors(&platform, read, write).await;
    }
}

async fn assert_errors(
    platform: &celerypond_platform::Client,
    read: PlatformError,
    write: PlatformError,
) {
    let bound = TIMEOUT * 4;
    let write_result = tokio::time::timeout(bound, platform.create("k", "v".into())).await;
    let read_result = tokio::time::timeout(bound, platform.get("k")).await;
    let watch_result = tokio::time::timeout(bound, platform.watch("k", Version(1), TIMEOUT)).await;
    assert_eq!(*write_result.unwrap().unwrap_err().current_context(), write);
    assert_eq!(*read_result.unwrap().unwrap_err().current_context(), read);
    assert_eq!(*watch_result.unwrap().unwrap_err().current_context(), read);
}

#[tokio::test]
async fn requests_follow_the_native_protocol() {
    let heads = Arc::new(Mutex::new(Vec::new()));
    let seen = heads.clone();
    let server = Server::start(move |_, _, head| {
        seen.lock().unwrap().push(head.to_owned());
        match head.split_whitespace().next() {
            Some("DELETE") => reply("204 No Content", "", ""),
            _ => reply("200 OK", "etag: \"41\"\r\n", "{}"),
        }
    })
    .await;
    let platform = client(server.address, HIGH_RATES);
    let created = platform.create("a/b c", "v".into()).await.unwrap();
    let updated = platform.update("k", created, "w".into()).await.unwrap();
    platform.delete("k", updated).await.unwrap();
    let object = platform.get("k").await.unwrap();
    assert_eq!(
        (object.version, &object.value[..]),
        (Version(41), &b"{}"[..])
    );
    // The body of this response is not a listing.
    let error = platform.list("l/", "l/a&b", 9).await.unwrap_err();
    assert_eq!(*error.current_context(), PlatformError::Malformed);
    let seen = heads.lock().unwrap();
    let lines = ["if-none-match: *", "if-match: \"41\"", "if-match: \"41\""];
    for (head, line) in seen.iter().zip(lines) {
        assert!(head.contains(line), "{head}");
    }
    assert!(seen[0].starts_with("PUT /v1/objects/a/b%20c HTTP/1.1"));
    assert!(seen[4].starts_with("GET /v1/objects?prefix=l/&after=l/a%26b&limit=9 "));
}

#[tokio::test]
async fn list_all_reads_pages_until_one_is_empty() {
    let server = Server::start(|_, _, head| {
        let page = match head {
            head if head.contains("after=&") => r#"[{"key":"p/1","version":3,"value":"YQ=="}]"#,
            head if head.contains("after=p/1&") => r#"[{"key":"p/2","version":4,"value":""}]"#,
            _ => "[]",
        };
        let revision = if page == "[]" { 9 } else { 8 };
        let body = format!("{{\"revision\":{revision},\"objects\":{page}}}");
        reply("200 OK", "", &body)
    })
    .await;
    let listing = client(server.address, HIGH_RATES)
        .list_all("p/")
        .await
        .unwrap();
    let values: Vec<_> = listing.objects.iter().map(|o| &o.value[..]).collect();
    assert_eq!(
        (listing.revision, values),
        (Version(8), vec![&b"a"[..], &b""[..]])
    );
}

#[tokio::test]
async fn watch_may_take_longer_than_the_call_timeout() {
    let body = r#"{"revision":6,"changes":[{"key":"k","version":6,"value":null}]}"#;
    let text = crate::server::text("200 OK", "", body);
    let server = Server::start(move |_, _, _| Reply::Delayed(TIMEOUT * 2, text.clone())).await;
    let platform = client(server.address, HIGH_RATES);
    let watch = platform.watch("k", Version(5), TIMEOUT * 3).await.unwrap();
    let change = Change {
        key: "k".into(),
        version: Version(6),
        value: None,
    };
    assert_eq!((watch.revision, watch.changes), (Version(6), vec![change]));
}

#[tokio::test]
async fn value_over_a_mebibyte_is_rejected_and_not_sent() {
    let server = Server::start(|_, _, _| panic!("a request was sent")).await;
    let value = vec![0; (1 << 20) + 1].into();
    let error = client(server.address, HIGH_RATES).create("k", value).await;
    assert_eq!(
        *error.unwrap_err().current_context(),
        PlatformError::TooLarge
    );
}

// Guards against a wrong verdict on an update whose response was lost. The writer reads the object
// back. A value of another writer does not tell whether its own value was there before, so only its
// own value or the old version are conclusive.
#[rstest]
#[case::applied(Some((9, "nonce-1")), WriteOutcome::Applied(Version(9)))]
#[case::not_yet(Some((5, "old")), WriteOutcome::Pending)]
#[case::other(Some((9, "nonce-2")), WriteOutcome::Other(object(9, "nonce-2")))]
#[case::deleted(None, WriteOutcome::Pending)]
fn outcome_of_a_write_follows_from_reading_back(
    #[case] found: Option<(u64, &'static str)>,
    #[case] outcome: WriteOutcome,
) {
    let found = found.map(|(version, value)| object(version, value));
    assert_eq!(
        WriteOutcome::from_read_back(Some(Version(5)), b"nonce-1", found),
        outcome
    );
}

fn object(version: u64, value: &'static str) -> Object {
    Object {
        key: "k".into(),
        version: Version(version),
        value: value.into(),
    }
}
