//! Tracking of engines' prefix caches.

use celerypond_route::{CacheEvent, PrefixTracker};
use celerypond_types::TargetKey;
use rstest::rstest;
use slotmap::SlotMap;

/// If the restart of an engine goes unnoticed, requests keep going to it for prefixes that it no
/// longer holds, and clients wait longer for their first token. The engine has reported prefixes 1
/// to 3; `events` is what the next poll returns. Checked are the sequence number that the poll
/// after it starts from and the prefixes that are still tracked.
#[rstest]
#[case::no_new_events(&[(3, 3)], 2, &[1, 2, 3])]
#[case::one_new_event(&[(3, 3), (4, 4)], 3, &[1, 2, 3, 4])]
#[case::one_lost_event(&[(3, 3), (5, 5)], 4, &[1, 2, 3, 5])]
#[case::restarted_with_fewer_events(&[], 0, &[])]
#[case::restarted_with_as_many_events(&[(3, 9)], 0, &[])]
#[case::restarted_with_more_events(&[(3, 9), (4, 10)], 0, &[])]
fn detects_restarts_of_engines(
    #[case] events: &[(u64, u64)],
    #[case] next_poll_after: u64,
    #[case] tracked: &[u64],
) {
    let mut targets = SlotMap::<TargetKey, ()>::with_key();
    let engine = targets.insert(());
    let mut tracker = PrefixTracker::default();
    let stored = |events: &[(u64, u64)]| -> Vec<(u64, CacheEvent)> {
        let events = events.iter();
        events
            .map(|(sequence, prefix)| (*sequence, CacheEvent::Stored(*prefix)))
            .collect()
    };
    tracker.apply_poll(engine, &stored(&[(1, 1), (2, 2), (3, 3)]));
    assert_eq!(tracker.poll_after(engine), 2);
    tracker.apply_poll(engine, &stored(events));
    assert_eq!(tracker.poll_after(engine), next_poll_after);
    let index = tracker.build_index();
    let is_tracked = |prefix: &u64| !index.holders(*prefix).is_empty();
    assert_eq!((1..12).filter(is_tracked).collect::<Vec<u64>>(), tracked);
}
