//! What engines tell of their tracker.

use celerypond_route::{CacheEvent, PrefixTracker};
use celerypond_types::TargetKey;
use rstest::rstest;
use slotmap::SlotMap;

/// Callers wait longer for their first token, when their requests go to an engine for a prefix that it
/// no longer holds. The engine has told of prefixes 1 to 3; then an answer brings these prefixes as
/// the events after the second, and the next answer those after the number that is asked for then.
#[rstest]
#[case::nothing_new(&[(3, 3)], 2, &[1, 2, 3])]
#[case::one_more(&[(3, 3), (4, 4)], 3, &[1, 2, 3, 4])]
#[case::one_was_missed(&[(3, 3), (5, 5)], 4, &[1, 2, 3, 5])]
#[case::started_anew_with_less(&[], 0, &[])]
#[case::started_anew_with_as_much(&[(3, 9)], 0, &[])]
#[case::started_anew_with_more(&[(3, 9), (4, 10)], 0, &[])]
fn an_engine_that_may_have_started_anew(
    #[case] events: &[(u64, u64)],
    #[case] since: u64,
    #[case] held: &[u64],
) {
    let mut arena = SlotMap::<TargetKey, ()>::with_key();
    let engine = arena.insert(());
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
    assert_eq!(tracker.poll_after(engine), since);
    let index = tracker.build_index();
    let holds = |prefix: &u64| !index.holders(*prefix).is_empty();
    assert_eq!((1..12).filter(holds).collect::<Vec<u64>>(), held);
}
