//! What the end of an attempt proves.

use std::time::Duration;

use celerypond_relay::{AttemptFailure, AttemptState, NextStep, RouteKind, SilenceLimits};
use rstest::rstest;

const SAFE: RouteKind = RouteKind::Safe;
const UNSAFE: RouteKind = RouteKind::Unsafe;
const FIXED: RouteKind = RouteKind::Stream { resumable: false };
const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };

fn situation(kind: RouteKind, runs: u32) -> AttemptState {
    AttemptState {
        kind,
        runs,
        attempts: 3,
        refusals: 0,
        unreached: 0,
        time_left: Duration::from_secs(1),
    }
}

/// A reservation is sent, and then the connection breaks, or nothing comes, or another request's
/// response does. It may have run, so no other target gets it, and its caller is not told that it
/// has not run.
#[rstest]
fn what_may_have_run_is_never_sent_again(
    #[values(
        AttemptFailure::Broken,
        AttemptFailure::Silent,
        AttemptFailure::Dead,
        AttemptFailure::Foreign,
        AttemptFailure::Failed(503)
    )]
    ended: AttemptFailure,
    #[values(UNSAFE, FIXED)] kind: RouteKind,
) {
    assert!(!ended.proves_not_run());
    let next = situation(kind, 1).next_step(ended, || panic!("no send is to be asked for"));
    assert!(
        matches!(next, NextStep::Failed | NextStep::Expired),
        "{next:?}"
    );
}

#[rstest]
fn what_has_not_run_goes_elsewhere_whatever_its_kind(
    #[values(
        AttemptFailure::Unsent,
        AttemptFailure::NotRun,
        AttemptFailure::Misdirected
    )]
    ended: AttemptFailure,
    #[values(SAFE, UNSAFE, FIXED, RESUMABLE)] kind: RouteKind,
) {
    assert!(ended.proves_not_run());
    assert_eq!(
        situation(kind, 0).next_step(ended, || true),
        NextStep::Elsewhere
    );
}

#[rstest]
#[case::safe(SAFE, AttemptFailure::Broken)]
#[case::stream(RESUMABLE, AttemptFailure::Silent)]
fn what_may_be_repeated_goes_elsewhere(#[case] kind: RouteKind, #[case] ended: AttemptFailure) {
    assert_eq!(
        situation(kind, 1).next_step(ended, || true),
        NextStep::Elsewhere
    );
}

/// A third of 180 engines falls silent. A stream tries several of them in a row, which have refused
/// nothing, before it finds one that lives. Where nobody can be reached at all, it ends.
#[test]
fn targets_that_take_no_connection_are_not_full() {
    let after = |unreached| AttemptState {
        unreached,
        ..situation(RESUMABLE, 1)
    };
    assert_eq!(
        after(12).next_step(AttemptFailure::Unsent, || true),
        NextStep::Elsewhere
    );
    assert_eq!(
        after(20).next_step(AttemptFailure::Unsent, || true),
        NextStep::Failed
    );
}

/// All targets fail at once, and each failed request would be sent again. The budget ends that, and
/// the caller hears at once.
#[rstest]
#[case::not_run(0, AttemptFailure::NotRun, NextStep::NotRun)]
#[case::run(1, AttemptFailure::Broken, NextStep::Failed)]
fn without_budget_the_caller_hears_at_once(
    #[case] runs: u32,
    #[case] ended: AttemptFailure,
    #[case] expected: NextStep,
) {
    assert_eq!(situation(SAFE, runs).next_step(ended, || false), expected);
}

/// Engines die, and for a moment the budget is used up. A stream waits for it; its caller would have to
/// begin anew.
#[rstest]
#[case::begun(1, NextStep::Later)]
#[case::not_run(0, NextStep::NotRun)]
#[case::asked_too_often(3, NextStep::Failed)]
fn a_stream_waits_for_budget(#[case] runs: u32, #[case] expected: NextStep) {
    let ended = if runs == 0 {
        AttemptFailure::NotRun
    } else {
        AttemptFailure::Broken
    };
    assert_eq!(
        situation(RESUMABLE, runs).next_step(ended, || false),
        expected
    );
}

/// Many targets take no connection at once. A send that reached none costs the targets nothing, so
/// the next one needs no budget.
#[test]
fn a_send_that_reached_nobody_needs_no_budget() {
    let next = situation(SAFE, 1).next_step(AttemptFailure::Unsent, || false);
    assert_eq!(next, NextStep::Elsewhere);
}

#[test]
fn no_more_targets_are_asked_than_the_route_allows() {
    let next = situation(SAFE, 3).next_step(AttemptFailure::Broken, || true);
    assert_eq!(next, NextStep::Failed);
}

/// A service is full: each of its targets refuses. The caller is told to come back instead of
/// having every target refuse it in turn.
#[test]
fn a_full_service_is_not_asked_for_ever() {
    let full = AttemptState {
        refusals: 6,
        ..situation(SAFE, 0)
    };
    assert_eq!(
        full.next_step(AttemptFailure::NotRun, || true),
        NextStep::NotRun
    );
}

#[rstest]
#[case::not_run(0, NextStep::NotRun)]
#[case::may_have_run(1, NextStep::Expired)]
fn when_the_time_is_over_nothing_is_sent(#[case] runs: u32, #[case] expected: NextStep) {
    let over = AttemptState {
        time_left: Duration::ZERO,
        ..situation(SAFE, runs)
    };
    assert_eq!(over.next_step(AttemptFailure::Unsent, || true), expected);
}

/// A request whose route allows one attempt was given up after half of its time, though nobody else
/// could be asked; its target answered a moment later.
#[test]
fn the_last_attempt_gets_all_the_time_that_is_left() {
    let (aim, left) = (Duration::from_millis(100), Duration::from_millis(1_000));
    assert_eq!(SilenceLimits::for_request(aim, left, false), left);
    assert_eq!(SilenceLimits::for_request(aim, left, true), aim * 2);
}

/// Two prompts are read at one engine. The first event takes twice as long, and giving the engine
/// up would have both prompts read once more.
#[test]
fn patience_grows_with_what_the_engine_has_to_read() {
    let gap = Some(Duration::from_millis(700));
    let one = SilenceLimits::for_stream(8_000, gap);
    let two = SilenceLimits::for_stream(16_000, gap);
    assert_eq!(two.first - one.first, Duration::from_millis(1_600));
}

/// A silent engine must be found while there is time to go on elsewhere within the pause that is
/// still on time, and pauses beside the reading of others, 130 ms, must not look like silence.
#[test]
fn silence_is_questioned_between_usual_pauses_and_the_aim() {
    let aim = Duration::from_millis(700);
    let patience = SilenceLimits::for_stream(8_000, Some(aim));
    assert!(patience.probe_gap > Duration::from_millis(130));
    assert!(patience.probe_gap < aim / 3);
    assert!(patience.gap > patience.probe_gap * 2);
    assert!(patience.gap + Duration::from_millis(200) < aim);
}
