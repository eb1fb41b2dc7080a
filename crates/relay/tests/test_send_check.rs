//! Whether targets may get requests, and which part of that other work keeps to.

use std::time::Duration;

use celerypond_relay::{AttemptFailure, Change, HoldReason, Presence, Targets};
use celerypond_types::{ServiceName, TargetKey, TargetName};
use rstest::rstest;
use tokio::time::Instant;

use crate::fixture::{engine, key, name, three_data_centres, Queries};

const PAUSE: Duration = Duration::from_secs(3);

/// Records that a target wants no requests for some time.
fn cool_down(targets: &mut Targets, key: TargetKey, time: Duration, now: Instant) {
    let target = targets.get_mut(key).unwrap();
    assert!(target.cooldown.record_statement(time, 1, 0.0, now));
}

// Guards against callers that are told to retry later than the first target accepts requests again, or
// earlier than that.
#[test]
fn service_is_held_until_its_first_target_gets_requests_again() {
    let (now, queries) = (Instant::now(), Queries::new());
    let query = queries.stream(7).send_query();
    let service = ServiceName::new("writer");
    let mut targets = three_data_centres(1);
    let [first, second, third] =
        ["east-0-1", "mid-0-1", "west-0-1"].map(|name| key(&targets, name));
    cool_down(&mut targets, first, PAUSE, now);
    cool_down(&mut targets, second, PAUSE * 2, now);
    assert_eq!(targets.service_hold(&service, query, now), None);
    assert_eq!(targets.all_cooling_until(&service, now), None);
    let failing = targets.get_mut(third).unwrap();
    failing.record_failure(AttemptFailure::Unsent, now);
    let hold = targets.service_hold(&service, query, now).unwrap();
    let failed_until = targets.get(third).unwrap().avoided_until();
    assert_eq!(
        (hold.reason, hold.until),
        (HoldReason::Failed, failed_until)
    );
    assert_eq!(targets.all_cooling_until(&service, now), None);
    cool_down(&mut targets, third, PAUSE / 2, now);
    let hold = targets.service_hold(&service, query, now).unwrap();
    assert_eq!(hold.reason, HoldReason::CoolingDown);
    assert_eq!(hold.until, failed_until.max(Some(now + PAUSE / 2)));
    let cooling_until = targets.all_cooling_until(&service, now);
    assert_eq!(cooling_until, Some(now + PAUSE / 2));
    let later = now + PAUSE;
    assert_eq!(targets.service_hold(&service, query, later), None);
}

// Guards against copies, moves and queries for prompts that go to an engine which wants no requests, or
// has stated that it leaves.
#[rstest]
#[case::cools_down(false)]
#[case::leaves(true)]
fn engine_that_declines_requests_gets_no_other_work(#[case] leaves: bool) {
    let (now, queries) = (Instant::now(), Queries::new());
    let mut targets = three_data_centres(2);
    let main = key(&targets, "east-0-1");
    for part in 0..50 {
        let holder = targets.select_backup(main, &queries.stream(part), now);
        let holder = name(&targets, holder.unwrap());
        if holder == "mid-0-1" {
            let declined = key(&targets, "mid-0-1");
            match leaves {
                true => assert!(targets.get_mut(declined).unwrap().record_leaving(Some(1))),
                false => cool_down(&mut targets, declined, PAUSE, now),
            }
        }
    }
    let declined = key(&targets, "mid-0-1");
    assert!(!targets.accepts_work(declined, now));
    for part in 0..50 {
        let query = queries.stream(part);
        assert_ne!(targets.select_backup(main, &query, now), Some(declined));
        assert_ne!(
            targets.select(&query, now).map(|selection| selection.key),
            Some(declined)
        );
    }
    let queried = targets.engines_to_query(&queries.stream(1), now);
    assert!(!queried.contains(&declined));
    assert_eq!(targets.accepts_work(declined, now + PAUSE), !leaves);
}

// Guards against an entry that is removed and listed again, as after an outage of the store, and makes an
// instance forget what the same process has stated.
#[test]
fn statements_outlast_the_entry_of_a_process() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let (east, mid) = (TargetName::new("east-0-1"), TargetName::new("mid-0-1"));
    let cooling = targets.key_of(&east).unwrap();
    cool_down(&mut targets, cooling, PAUSE, now);
    let leaving = targets.key_of(&mid).unwrap();
    let leaving = targets.get_mut(leaving).unwrap();
    assert!(leaving.record_leaving(Some(1)));
    for name in [&east, &mid, &east] {
        targets.apply(&Change::Gone(name.clone()), now);
    }
    targets.apply(&Change::Is(engine("east", 0, 1)), now);
    targets.apply(&Change::Is(engine("mid", 0, 1)), now);
    let cooling = targets.key_of(&east).unwrap();
    assert!(targets.is_cooling_down(cooling, now));
    let leaving = targets.key_of(&mid).unwrap();
    assert!(!targets.is_usable(leaving));
    let mut restarted = engine("mid", 0, 1);
    restarted.born = Some(2);
    targets.apply(&Change::Is(restarted), now);
    let restarted = targets.key_of(&mid).unwrap();
    assert!(targets.is_usable(restarted));
}

// Guards against a target whose entry the store rewrites as ready after it has stated that it leaves, and
// against the word of an earlier process that counts for a later one.
#[test]
fn leaving_belongs_to_a_process() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let key = key(&targets, "east-0-1");
    let target = targets.get_mut(key).unwrap();
    assert!(!target.record_leaving(Some(0)));
    assert!(target.record_leaving(Some(1)));
    assert!(!target.record_leaving(Some(1)));
    let mut rewritten = engine("east", 0, 1);
    rewritten.cold = Duration::from_secs(1);
    assert_eq!(rewritten.presence, Presence::Ready);
    targets.apply(&Change::Is(rewritten), now);
    assert!(!targets.is_usable(key));
}
