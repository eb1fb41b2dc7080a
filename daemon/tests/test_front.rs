//! HTTP replies of an instance: errors of invalid requests, status codes and limits.

use std::time::Duration;

use celerypond_cli::{Client, ServiceCall};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use serde_json::{json, Value};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::sleep,
};

use crate::fleet::{get, Fleet, ACCOUNT_KEY};

const TOKEN_INTERVAL: Duration = Duration::from_millis(1);

async fn post(fleet: &Fleet, path: &str, headers: &[(&str, &str)], body: Vec<u8>) -> (u16, Value) {
    let address = fleet.instances[0].address;
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "x");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).unwrap();
    let connection = celerypond_daemon::http_call::NewConnection::connect(address)
        .await
        .unwrap();
    let answer = connection
        .send(request, Duration::from_secs(5))
        .await
        .unwrap();
    let status = answer.response.status().as_u16();
    let body = answer
        .response
        .into_body()
        .collect()
        .await
        .unwrap()
        .to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_their_errors() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let key = ("authorization", "Bearer showroom-key");
    let wrong_key = ("authorization", "Bearer nobody");
    let good = json!({"model": "drafts", "prompt": "x", "max_tokens": 2});
    let cases = [
        ("no key", vec![], good.clone(), 401, "unauthorized"),
        (
            "wrong key",
            vec![wrong_key],
            good.clone(),
            401,
            "unauthorized",
        ),
        (
            "no model",
            vec![key],
            json!({"model": "x", "prompt": "x"}),
            404,
            "not_found",
        ),
        (
            "field",
            vec![key],
            json!({"model": "drafts", "colour": 1}),
            400,
            "bad_request",
        ),
        (
            "tokens",
            vec![key],
            json!({"model": "drafts", "prompt": "x", "max_tokens": 0}),
            400,
            "bad_request",
        ),
        (
            "request key",
            vec![key, ("idempotency-key", "a/b")],
            good.clone(),
            400,
            "bad_request",
        ),
        (
            "deadline",
            vec![key, ("celerypond-deadline-ms", "soon")],
            good.clone(),
            400,
            "bad_request",
        ),
        (
            "priority",
            vec![key, ("celerypond-priority", "high")],
            good.clone(),
            400,
            "bad_request",
        ),
        (
            "token",
            vec![key, ("last-event-id", "abc")],
            good.clone(),
            400,
            "bad_request",
        ),
    ];
    for (name, headers, body, status, kind) in cases {
        let (actual_status, answer) =
            post(&fleet, "/v1/completions", &headers, body.to_string().into()).await;
        assert_eq!(
            (actual_status, answer["error"]["kind"].as_str()),
            (status, Some(kind)),
            "{name}: {answer}"
        );
    }
    let (status, answer) = post(&fleet, "/v1/completions", &[key], vec![b' '; 5 << 20]).await;
    assert_eq!(
        (status, answer["error"]["kind"].as_str()),
        (413, Some("too_large"))
    );
    let (status, answer) = post(&fleet, "/v1/completions", &[key], good.to_string().into()).await;
    assert_eq!(
        (status, &answer["usage"]["completion_tokens"]),
        (200, &json!(2)),
        "{answer}"
    );
}

// Guards against a refusal that is lost because the connection is reset while the caller still sends its body.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_long_body_reaches_a_caller_that_still_sends_it() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let body = vec![b' '; 5 << 20];
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer showroom-key\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(fleet.instances[0].address)
        .await
        .unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let (first, rest) = body.split_at(body.len() - (256 << 10));
    stream.write_all(first).await.unwrap();
    for piece in rest.chunks(64 << 10) {
        sleep(Duration::from_millis(50)).await;
        stream.write_all(piece).await.unwrap();
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 413");
}

#[rstest]
#[case::health("/v1/health", 200)]
#[case::ready("/v1/ready", 200)]
#[case::entries("/v1/entries", 200)]
#[case::metrics("/v1/metrics", 200)]
#[case::nothing("/v1/nothing", 404)]
#[case::history_without_key("/v1/operator/history", 401)]
#[tokio::test(flavor = "multi_thread")]
async fn paths_answer_with_their_status(#[case] path: &str, #[case] status: u16) {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let (actual_status, _) = get(fleet.instances[0].address, path).await.unwrap();
    assert_eq!(actual_status, status);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_passes_through() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = Client::new(vec![fleet.instances[0].address], ACCOUNT_KEY).unwrap();
    let request_to_service = ServiceCall {
        service: "desk".into(),
        method: "GET".into(),
        path: "/stock?item=4".into(),
        body: "".into(),
        key: None,
    };
    let response = client
        .call(&request_to_service, Duration::from_secs(2))
        .await
        .unwrap();
    assert_eq!(response.status, 200);
}

// Calls to plain services once bypassed the limit of the account. Beyond it, callers must get 429 with the
// time after which to retry.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_services_count_against_the_limit_of_the_account() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let mut bundle = fleet.bundle();
    bundle["accounts"][0]["requests_per_s"] = json!(3);
    let digest = fleet.submit_and_approve(&bundle).await;
    fleet.roll(digest).await;
    fleet.await_revision(2).await;
    // Instances recompute their shares of the limit every second.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let key = ("authorization", "Bearer showroom-key");
    let mut refused = 0;
    for _ in 0..12 {
        let path = "/v1/services/desk/prices/query";
        let (status, answer) = post(&fleet, path, &[key], b"{}".to_vec()).await;
        if status == 429 {
            assert_eq!(answer["error"]["kind"], "not_run");
            assert!(answer["error"]["retry_after_ms"].as_u64() > Some(0));
            refused += 1;
        }
    }
    assert!(
        refused >= 6,
        "{refused} of 12 calls were refused, with a limit of 3 per second over three instances"
    );
}
