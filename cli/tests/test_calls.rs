//! Tests of retries of calls to plain services.

use std::time::Duration;

use bytes::Bytes;
use celerypond_cli::{Client, ServiceCall};

use crate::harness::serve_then_hang;

// Guards against a retry just before the deadline. An instance refuses the call without running it
// and asks for a retry after 390 ms, which is 10 ms before the deadline. A retry would time out, and
// the caller would have to assume that the call may have run.
#[tokio::test(flavor = "multi_thread")]
async fn no_retry_just_before_the_deadline() {
    let entry_points = (200, r#"{"entries":[],"ttl_s":1}"#.to_owned());
    let refusal = r#"{"error":{"kind":"not_run","message":"store","retry_after_ms":390}}"#;
    let responses = vec![
        entry_points.clone(),
        (503, refusal.to_owned()),
        entry_points,
    ];
    let client = Client::new(vec![serve_then_hang(responses)], "key").unwrap();
    let call = ServiceCall {
        service: "desk".to_owned(),
        method: "POST".to_owned(),
        path: "/holds".to_owned(),
        body: Bytes::new(),
        key: Some("hold-1".to_owned()),
    };
    let error = client.call(&call, Duration::from_millis(400)).await;
    let error = error.unwrap_err();
    assert!(error.current_context().proves_not_run(), "{error:?}");
}
