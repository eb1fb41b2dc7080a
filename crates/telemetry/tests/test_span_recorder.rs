//! Tests for the spans of a request across its hops.

use std::fs;

use celerypond_telemetry::{hop, Output, SpanRecorder, SpanSettings, TraceContext};
use serde_json::Value;

fn record_hops(share: f64, parent: Option<TraceContext>) -> (Option<TraceContext>, Vec<Value>) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("spans");
    let recorder = SpanRecorder::new(&SpanSettings {
        output: Output::File(path.clone()),
        share,
    })
    .unwrap();
    let sent = tracing::subscriber::with_default(recorder.subscriber(), || {
        let front = hop("front", parent);
        let target = front.in_scope(|| hop("target", None));
        TraceContext::from_span(&target)
    });
    recorder.shutdown().unwrap();
    let lines = fs::read_to_string(path).unwrap();
    let lines = lines.lines().map(|l| serde_json::from_str(l).unwrap());
    (sent, lines.collect())
}

#[test]
fn hops_belong_to_the_trace_of_the_caller() {
    let text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    let parent: TraceContext = text.parse().unwrap();
    let (sent, lines) = record_hops(0.0, Some(parent));
    let sent = sent.unwrap();
    assert_eq!(sent.trace, parent.trace);
    let names: Vec<&str> = lines.iter().map(|l| l["name"].as_str().unwrap()).collect();
    assert_eq!(names, ["target", "front"]);
    assert_eq!(lines[1]["parent"], "00f067aa0ba902b7");
    assert_eq!(lines[0]["parent"], lines[1]["span"]);
    assert_eq!(lines[0]["span"], format!("{:016x}", sent.span));
}

#[test]
fn unsampled_trace_is_propagated_but_not_recorded() {
    let (sent, lines) = record_hops(0.0, None);
    assert!(!sent.unwrap().sampled);
    assert!(lines.is_empty());
}
