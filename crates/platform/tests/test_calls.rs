//! Calls and their failures.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use celerypond_platform::{Change, Object, PlatformError, Version, WriteOutcome};
use rstest::rstest;

use crate::server::{client, reply, Reply, Server, PLENTY, TIMEOUT};

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
async fn a_status_tells_what_failed(
    #[case] status: &'static str,
    #[case] read: PlatformError,
    #[case] write: PlatformError,
) {
    let server = Server::start(move |_, _, _| reply(status, "retry-after: 7\r\n", "")).await;
    let platform = client(server.address, PLENTY);
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
enum Loss {
    Refused,
    Closed,
    Silent,
    Stuck,
    CutOff,
}

const HALF: &str = "HTTP/1.1 200 OK\r\netag: \"5\"\r\ncontent-length: 9\r\n\r\nhalf";

// The caller of a write hears that it took no effect, or that it may have. Only a connection that
// was never made proves the first; a connection lost at any later moment proves nothing.
#[rstest]
#[case::refused(Loss::Refused, PlatformError::Down, PlatformError::Down)]
#[case::closed(Loss::Closed, PlatformError::Down, PlatformError::Ambiguous)]
#[case::silent(Loss::Silent, PlatformError::Down, PlatformError::Ambiguous)]
#[case::stuck(Loss::Stuck, PlatformError::Down, PlatformError::Ambiguous)]
#[case::cut_off(Loss::CutOff, PlatformError::Down, PlatformError::Ambiguous)]
#[tokio::test]
async fn a_lost_connection_proves_only_what_it_can(
    #[case] loss: Loss,
    #[case] read: PlatformError,
    #[case] write: PlatformError,
) {
    let server = Server::start(move |_, _, _| match loss {
        Loss::Refused | Loss::Silent => Reply::Silent,
        Loss::Closed => Reply::Close,
        Loss::Stuck => Reply::Send(HALF.to_owned()),
        Loss::CutOff => Reply::SendClose(HALF.to_owned()),
    })
    .await;
    let address = server.address;
    let platform = client(address, PLENTY);
    if matches!(loss, Loss::Refused) {
        drop(server);
        tokio::time::sleep(TIMEOUT).await;
        assert_lost(&platform, read, write).await;
    } else {
        assert_lost(&platform, read, write).await;
    }
}

async fn assert_lost(
    platform: &celerypond_platform::Client,
    read: PlatformError,
    write: PlatformError,
) {
    let bound = TIMEOUT * 4;
    let wrote = tokio::time::timeout(bound, platform.create("k", "v".into())).await;
    let got = tokio::time::timeout(bound, platform.get("k")).await;
    let watched = tokio::time::timeout(bound, platform.watch("k", Version(1), TIMEOUT)).await;
    assert_eq!(*wrote.unwrap().unwrap_err().current_context(), write);
    assert_eq!(*got.unwrap().unwrap_err().current_context(), read);
    assert_eq!(*watched.unwrap().unwrap_err().current_context(), read);
}

#[tokio::test]
async fn requests_have_the_agreed_form() {
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
    let platform = client(server.address, PLENTY);
    let created = platform.create("a/b c", "v".into()).await.unwrap();
    let updated = platform.update("k", created, "w".into()).await.unwrap();
    platform.delete("k", updated).await.unwrap();
    let object = platform.get("k").await.unwrap();
    assert_eq!(
        (object.version, &object.value[..]),
        (Version(41), &b"{}"[..])
    );
    // The body of this answer is not a list.
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
async fn a_list_is_read_to_its_end_though_pages_are_short() {
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
    let listing = client(server.address, PLENTY).list_all("p/").await.unwrap();
    let values: Vec<_> = listing.objects.iter().map(|o| &o.value[..]).collect();
    assert_eq!(
        (listing.revision, values),
        (Version(8), vec![&b"a"[..], &b""[..]])
    );
}

#[tokio::test]
async fn a_watch_waits_longer_than_the_timeout_of_a_call() {
    let body = r#"{"revision":6,"changes":[{"key":"k","version":6,"value":null}]}"#;
    let text = crate::server::text("200 OK", "", body);
    let server = Server::start(move |_, _, _| Reply::Late(TIMEOUT * 2, text.clone())).await;
    let platform = client(server.address, PLENTY);
    let seen = platform.watch("k", Version(5), TIMEOUT * 3).await.unwrap();
    let change = Change {
        key: "k".into(),
        version: Version(6),
        value: None,
    };
    assert_eq!((seen.revision, seen.changes), (Version(6), vec![change]));
}

#[tokio::test]
async fn a_value_over_a_megabyte_is_not_sent() {
    let server = Server::start(|_, _, _| panic!("a request was sent")).await;
    let value = vec![0; (1 << 20) + 1].into();
    let error = client(server.address, PLENTY).create("k", value).await;
    assert_eq!(
        *error.unwrap_err().current_context(),
        PlatformError::TooLarge
    );
}

// The writer of an update whose reply was lost reads back. A value of another writer does not tell
// whether its own was there before, so only its own value or the old version settle it.
#[rstest]
#[case::ours(Some((9, "nonce-1")), WriteOutcome::Applied(Version(9)))]
#[case::not_yet(Some((5, "old")), WriteOutcome::Pending)]
#[case::other(Some((9, "nonce-2")), WriteOutcome::Other(object(9, "nonce-2")))]
#[case::deleted(None, WriteOutcome::Pending)]
fn a_lost_reply_is_settled_by_reading_back(
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
