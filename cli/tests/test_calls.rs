//! Calls of plain services that the client sends again.

use std::time::Duration;

use bytes::Bytes;
use celerypond_cli::{Client, ServiceCall};

use crate::harness::serve_then_hang;

// The caller reads that its call has not run. An instance says so, and that it may come back in 390
// ms; 10 ms later its time is over. Sent once more just then, the call would get no answer, and the
// caller would have to take it for one that may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_near_the_end_of_the_time_stays_a_refusal() {
    let entries = (200, r#"{"entries":[],"ttl_s":1}"#.to_owned());
    let refusal = r#"{"error":{"kind":"not_run","message":"store","retry_after_ms":390}}"#;
    let replies = vec![entries.clone(), (503, refusal.to_owned()), entries];
    let client = Client::new(vec![serve_then_hang(replies)], "key").unwrap();
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
