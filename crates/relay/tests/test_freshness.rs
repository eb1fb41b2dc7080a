//! The freshness of the configuration and the list of targets.

use std::time::Duration;

use celerypond_relay::{Freshness, Notice, Observation, Stale, StaleWait};
use rstest::rstest;
use tokio::time::Instant;

/// How long a superseded version may be used.
const LIMIT: Duration = Duration::from_secs(2);

fn seen(version: u64, revision: u64, at: Instant) -> Observation {
    Observation {
        version,
        revision,
        at,
    }
}

// Guards against a watch from an old revision, whose history is gone, and against transferring a
// known version again.
#[test]
fn watch_goes_on_where_the_version_in_force_was_last_seen() {
    let now = Instant::now();
    let mut freshness = Freshness::new(now);
    freshness.observe(seen(2, 40, now));
    freshness.set_current(2);
    for step in 1..20 {
        freshness.observe(seen(2, 40 + step, now + Duration::from_secs(step)));
    }
    assert_eq!(freshness.revision(), Some(59));
}

// Guards against a watch that starts after the change that it should report.
#[test]
fn watch_begins_before_a_version_that_is_not_in_force() {
    let now = Instant::now();
    let mut freshness = Freshness::new(now);
    freshness.observe(seen(2, 40, now));
    freshness.set_current(2);
    freshness.observe(seen(3, 52, now));
    freshness.observe(seen(3, 60, now));
    assert_eq!((freshness.newest(now), freshness.revision()), (3, Some(40)));
    freshness.set_current(3);
    assert_eq!(freshness.revision(), Some(60));
}

// Guards against a late datagram that moves the watch back or hides a newer version.
#[test]
fn older_observations_change_nothing() {
    let now = Instant::now();
    let mut freshness = Freshness::new(now);
    freshness.observe(seen(3, 52, now));
    freshness.set_current(3);
    freshness.observe(seen(2, 40, now));
    freshness.observe(seen(3, 50, now));
    assert_eq!((freshness.newest(now), freshness.revision()), (3, Some(52)));
}

// Guards against a watch from revision 0 after a peer sent the configuration.
#[test]
fn version_from_a_peer_has_no_revision() {
    let now = Instant::now();
    let mut freshness = Freshness::new(now);
    freshness.set_current(4);
    assert_eq!((freshness.newest(now), freshness.revision()), (4, None));
    freshness.observe(seen(4, 0, now));
    assert_eq!(freshness.revision(), None);
    freshness.observe(seen(4, 70, now));
    assert_eq!(freshness.revision(), Some(70));
}

/// Returns the state of an instance with peers whose version was the newest one at `now`.
fn current(now: Instant) -> Freshness {
    let mut freshness = Freshness::new(now);
    freshness.observe(seen(2, 40, now));
    freshness.set_current(2);
    freshness.set_has_peers(true);
    freshness
}

/// Records contact every half second until a moment.
fn keep_contact(freshness: &mut Freshness, from: Instant, until: Instant) {
    let mut at = from;
    while at < until {
        freshness.record_contact(at);
        at += Duration::from_millis(500);
    }
    freshness.record_contact(until);
}

// Guards against using an old version for as long as the transfer of a newer one does not end.
#[test]
fn superseded_version_is_used_until_the_limit_only() {
    let now = Instant::now();
    let mut freshness = current(now);
    let mut stale = Vec::new();
    for step in 0..30 {
        let at = now + Duration::from_millis(100) * step;
        freshness.record_contact(at);
        freshness.observe(seen(3, 52, at));
        stale.push(freshness.stale(LIMIT, at));
    }
    assert!(stale[..=20].iter().all(Option::is_none));
    assert!(stale[21..]
        .iter()
        .all(|stale| *stale == Some(Stale::Superseded)));
    freshness.set_current(3);
    assert_eq!(freshness.stale(LIMIT, now + Duration::from_secs(3)), None);
}

// Guards against using each version for longer than the limit by an instance that always lags one
// version behind.
#[test]
fn each_of_many_versions_is_used_until_the_limit_only() {
    let now = Instant::now();
    let mut freshness = current(now);
    for step in 1..40_u64 {
        let at = now + Duration::from_millis(300) * step as u32;
        freshness.record_contact(at);
        // The previous version is in force now, and was the newest one until a moment ago.
        freshness.set_current(1 + step);
        freshness.observe(seen(1 + step, 39 + step, at));
        freshness.observe(seen(2 + step, 40 + step, at));
        assert_eq!(freshness.stale(LIMIT, at), None);
        assert_eq!(
            freshness.stale(LIMIT, at + LIMIT + Duration::from_millis(1)),
            Some(Stale::Isolated)
        );
    }
}

// Guards against using an old version that a restarted instance got from an outdated peer.
#[test]
fn unverified_version_is_not_used_once_a_newer_one_is_known() {
    let now = Instant::now();
    let mut freshness = Freshness::new(now);
    freshness.set_current(2);
    assert_eq!(freshness.stale(LIMIT, now), None);
    freshness.observe(seen(3, 52, now));
    assert_eq!(freshness.stale(LIMIT, now), Some(Stale::Superseded));
}

// Guards against a fleet that refuses all callers because of a version that one instance saw before
// it was lost along with the store.
#[test]
fn version_that_is_no_longer_reported_is_not_waited_for() {
    let now = Instant::now();
    let mut freshness = current(now);
    freshness.observe(seen(3, 52, now + Duration::from_secs(1)));
    let soon = now + Duration::from_millis(2_500);
    keep_contact(&mut freshness, now, soon);
    assert_eq!(freshness.stale(LIMIT, soon), Some(Stale::Superseded));
    let later = now + Duration::from_millis(3_100);
    freshness.record_contact(later);
    assert_eq!(freshness.stale(LIMIT, later), None);
}

// Guards against serving by an instance that is partitioned from all others and cannot learn of a
// newer version.
#[test]
fn instance_without_contact_does_not_serve() {
    let now = Instant::now();
    let mut freshness = current(now);
    let later = now + LIMIT + Duration::from_millis(1);
    assert_eq!(freshness.stale(LIMIT, later), Some(Stale::Isolated));
    freshness.set_has_peers(false);
    assert_eq!(freshness.stale(LIMIT, later), None);
}

// Guards against using known state after a process was paused, before it has read the changes
// since.
#[test]
fn resumed_process_does_not_use_its_previous_state() {
    let now = Instant::now();
    let mut freshness = current(now);
    let resumed = now + Duration::from_secs(4);
    assert_eq!(freshness.stale(LIMIT, resumed), Some(Stale::Isolated));
    freshness.record_contact(resumed);
    assert_eq!(freshness.stale(LIMIT, resumed), Some(Stale::Resuming));
    // A report that waited unread is too old to verify a version, but shows that there is a newer
    // one.
    freshness.observe(seen(3, 52, now));
    freshness.report(3, resumed);
    assert_eq!(freshness.stale(LIMIT, resumed), Some(Stale::Superseded));
    freshness.set_current(3);
    assert_eq!(freshness.stale(LIMIT, resumed), Some(Stale::Resuming));
    freshness.observe(seen(3, 60, resumed));
    assert_eq!(freshness.stale(LIMIT, resumed), None);
}

// Guards against refusals by a resumed instance for as long as the store is unavailable.
#[test]
fn resumed_process_serves_without_the_store_once_peers_could_report_changes() {
    let now = Instant::now();
    let mut freshness = current(now);
    let resumed = now + Duration::from_secs(4);
    let later = resumed + Duration::from_secs(1);
    keep_contact(&mut freshness, resumed, later);
    assert_eq!(freshness.stale(LIMIT, later), None);
}

// Guards against using a version although a peer, rather than a watcher, reports a newer one.
#[test]
fn version_that_a_peer_acts_on_supersedes_for_as_long_as_it_is_reported() {
    let now = Instant::now();
    let mut freshness = current(now);
    for step in 1..20 {
        let at = now + Duration::from_millis(500) * step;
        freshness.record_contact(at);
        freshness.report(3, at);
        let is_refused = freshness.stale(LIMIT, at) == Some(Stale::Superseded);
        assert_eq!(is_refused, at > now + LIMIT);
    }
    freshness.set_current(3);
    assert_eq!(freshness.stale(LIMIT, now + Duration::from_secs(10)), None);
}

// Guards against a late report of an old version that makes the newer one in force look superseded.
#[test]
fn report_of_an_older_version_supersedes_nothing() {
    let now = Instant::now();
    let mut freshness = current(now);
    let later = now + Duration::from_secs(3);
    keep_contact(&mut freshness, now, later);
    freshness.report(1, later);
    freshness.report(2, later);
    assert_eq!(
        (freshness.newest(later), freshness.stale(LIMIT, later)),
        (2, None)
    );
}

// Guards against a list of targets that counts as never verified because it was fetched from a
// peer.
#[test]
fn newer_version_than_the_one_seen_last_is_as_recent() {
    let now = Instant::now();
    let mut freshness = current(now);
    freshness.set_current(3);
    assert_eq!(freshness.age(now), Some(Duration::ZERO));
}

// Guards against instances that stop serving because the store is unavailable to all of them.
#[test]
fn instance_in_contact_with_peers_serves_without_the_store() {
    let now = Instant::now();
    let mut freshness = current(now);
    let later = now + 100 * LIMIT;
    keep_contact(&mut freshness, now, later);
    assert_eq!(freshness.stale(LIMIT, later), None);
}

// Guards against using a superseded version for as long as the transfer of the next one takes, and
// against sending callers to other instances that do not have the next one either.
#[test]
fn version_that_is_being_transferred_supersedes() {
    let now = Instant::now();
    let mut freshness = current(now);
    let later = now + Duration::from_secs(3);
    freshness.record_contact(later);
    freshness.record_transfer(2, later);
    assert_eq!(freshness.newest(later), 3);
    assert_eq!(freshness.stale(LIMIT, later), Some(Stale::Pending));
    freshness.observe(seen(9, 52, later));
    freshness.set_current(9);
    assert_eq!(
        (freshness.newest(later), freshness.stale(LIMIT, later)),
        (9, None)
    );
}

// Guards against endless refusals and fetches after a long response of the store that contained no
// newer version.
#[test]
fn transfer_that_brought_nothing_new_is_forgotten() {
    let now = Instant::now();
    let mut freshness = current(now);
    freshness.record_transfer(2, now);
    freshness.confirm_read(now - Duration::from_millis(1));
    assert_eq!(freshness.newest(now), 3);
    freshness.confirm_read(now);
    assert_eq!(freshness.newest(now), 2);
    freshness.record_transfer(2, now);
    assert_eq!(freshness.newest(now + Duration::from_secs(2)), 2);
}

// Guards against using a superseded version for longer because of a late report that it is the
// newest one.
#[test]
fn late_report_does_not_verify_a_superseded_version() {
    let now = Instant::now();
    let mut freshness = current(now);
    let later = now + Duration::from_secs(3);
    freshness.record_contact(later);
    freshness.observe(seen(3, 52, later));
    freshness.observe(seen(2, 40, later));
    assert_eq!(freshness.stale(LIMIT, later), Some(Stale::Superseded));
}

// Guards against counting a version that a restarted instance got from a peer as observed in the
// store.
#[test]
fn notice_of_an_unverified_version_is_no_observation() {
    let now = Instant::now();
    let notice = Notice {
        origin: 1,
        revision: 7,
        config: 2,
        config_revision: 0,
        config_age_ms: None,
        targets_age_ms: None,
        orders_age_ms: None,
        is_superseded: false,
        age_ms: 10,
    };
    assert_eq!(notice.observation(now), None);
    let verified = Notice {
        config_revision: 6,
        config_age_ms: Some(300),
        ..notice
    };
    let at = now - Duration::from_millis(300);
    assert_eq!(verified.observation(now), Some(seen(2, 6, at)));
    assert_eq!(verified.targets_observation(now), None);
    let listed = Notice {
        targets_age_ms: Some(300),
        ..notice
    };
    assert_eq!(listed.targets_observation(now), Some(seen(7, 7, at)));
}

/// A limit that allows gaps of almost two seconds.
const LONG_LIMIT: Duration = Duration::from_millis(2_700);

// Guards against refusing requests just before missed changes have been reported.
#[rstest]
#[case::plain(2_000)]
#[case::stream(25_000)]
fn request_waits_until_missed_changes_have_been_reported(#[case] deadline: u64) {
    let now = Instant::now();
    let mut freshness = current(now);
    let resumed = now + Duration::from_secs(4);
    keep_contact(&mut freshness, resumed, resumed + Duration::from_secs(2));
    for step in 0..16 {
        let begun = resumed + Duration::from_millis(50) * step;
        let stale = freshness.stale(LIMIT, begun).unwrap();
        let wait = StaleWait::new(begun, Duration::from_millis(deadline));
        let until = wait.for_config(stale, freshness.current_at(LIMIT, begun), begun);
        assert_eq!(freshness.stale(LIMIT, until.unwrap()), None);
    }
}

// Guards against waits of callers that are known to end too late.
#[test]
fn request_that_missed_changes_would_make_too_late_is_refused_at_once() {
    let now = Instant::now();
    let mut freshness = current(now);
    let resumed = now + Duration::from_secs(4);
    freshness.record_contact(resumed);
    let wait = StaleWait::new(resumed, Duration::from_secs(1));
    let stale = freshness.stale(LIMIT, resumed).unwrap();
    let current = freshness.current_at(LIMIT, resumed);
    assert_eq!(wait.for_config(stale, current, resumed), None);
    assert_eq!(wait.for_targets(stale, current, resumed), None);
}

// Guards against refusals after a gap in which no change can have become older than the limit.
#[test]
fn gap_that_is_short_beside_the_limit_does_not_stop_service() {
    let now = Instant::now();
    let mut freshness = current(now);
    let mut at = now;
    for _ in 0..10 {
        at += Duration::from_millis(1_900);
        freshness.record_contact(at);
        assert_eq!(freshness.stale(LONG_LIMIT, at), None);
    }
    at += Duration::from_millis(1_901);
    freshness.record_contact(at);
    assert_eq!(freshness.stale(LONG_LIMIT, at), Some(Stale::Resuming));
}

// Guards against requests that are served without a change that is older than the limit, because it
// was missed in a gap.
#[rstest]
#[case(LIMIT)]
#[case(LONG_LIMIT)]
fn change_in_a_gap_is_known_before_it_is_older_than_the_limit(#[case] limit: Duration) {
    let reported = Duration::from_millis(800);
    for gap in (0..6_000).step_by(100).map(Duration::from_millis) {
        let now = Instant::now();
        let mut freshness = current(now);
        let long_ago = now + Duration::from_secs(60);
        keep_contact(&mut freshness, now, long_ago);
        let resumed = long_ago + gap;
        keep_contact(&mut freshness, resumed, resumed + reported);
        // The change happened right after the last contact before the gap.
        for step in 0..8 {
            let at = resumed + Duration::from_millis(100) * step;
            let is_served = freshness.stale(limit, at).is_none();
            assert!(!is_served || at - long_ago <= limit, "{gap:?} {step}");
        }
    }
}

// Guards against forgetting a long gap because of a short one just after it.
#[test]
fn short_gap_after_a_long_one_does_not_end_the_catching_up() {
    let now = Instant::now();
    let mut freshness = current(now);
    let resumed = now + Duration::from_secs(4);
    freshness.record_contact(resumed);
    freshness.record_contact(resumed + Duration::from_millis(300));
    let soon = resumed + Duration::from_millis(700);
    assert_eq!(freshness.stale(LIMIT, soon), Some(Stale::Resuming));
}

// Guards against sending callers from one instance to the next while all of them are receiving the
// missing version.
#[test]
fn request_waits_for_a_version_in_transfer_while_its_caller_has_time_for_the_work() {
    let now = Instant::now();
    let wait = StaleWait::new(now, Duration::from_secs(2));
    let until = wait.for_config(Stale::Pending, None, now).unwrap();
    assert_eq!(until, now + Duration::from_millis(1_500));
    assert_eq!(wait.for_config(Stale::Pending, None, until), None);
    assert_eq!(wait.for_config(Stale::Superseded, None, now), None);
    assert_eq!(wait.for_targets(Stale::Isolated, None, now), None);
}
