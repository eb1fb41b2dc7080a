//! Tests for metrics and their publication.

use celerypond_telemetry::{Counter, Gauge, Metrics};

#[test]
fn publish_sends_increments_since_the_last_call() {
    let (receiver, sink) = cadence::SpyMetricSink::new();
    let metrics = Metrics::with_sink(sink);
    metrics.add(Counter::Orders, 3);
    metrics.publish().unwrap();
    metrics.add(Counter::Orders, 2);
    metrics.set(Gauge::Revision, 7);
    metrics.publish().unwrap();
    metrics.publish().unwrap();
    let sent: Vec<String> = receiver
        .try_iter()
        .map(|bytes| String::from_utf8(bytes).unwrap())
        .filter(|line| line.contains("orders.sent"))
        .collect();
    assert_eq!(
        sent,
        ["celerypond.orders.sent:3|c", "celerypond.orders.sent:2|c"]
    );
    assert_eq!(metrics.count(Counter::Orders), 5);
    assert!(metrics.render().contains("celerypond.rollout.revision 7\n"));
}

#[test]
fn names_are_unique_and_discriminants_index_all() {
    let mut names: Vec<&str> = Counter::ALL.iter().map(|c| c.name()).collect();
    names.extend(Gauge::ALL.iter().map(|g| g.name()));
    let len = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), len);
    for (at, counter) in Counter::ALL.iter().enumerate() {
        assert_eq!(*counter as usize, at);
    }
}
