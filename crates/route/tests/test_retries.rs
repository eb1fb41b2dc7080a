//! Retries: budgets, time between tries, classes of failures, blame.

use std::time::Duration;

use celerypond_route::{Attribution, Backoff, Failure, RetryBudget, RetryDecision, TargetState};
use rand::Rng;
use rstest::rstest;

use crate::test_fixture::rng;

/// Sends 10,000 calls, of which `dead` in 100 fail at each try, with up to four tries each, and
/// returns tries over calls.
fn amplification(dead: u32, budget: Option<&RetryBudget>) -> f64 {
    let mut rng = rng(1);
    let target = RetryBudget::per_target();
    let mut tries = 0;
    for _ in 0..10_000 {
        for _ in 0..4 {
            tries += 1;
            if rng.random_range(0..100) >= dead {
                budget
                    .into_iter()
                    .chain([&target])
                    .for_each(RetryBudget::record_success);
                break;
            }
            if budget.is_some_and(|budget| !budget.try_take_both(&target)) {
                break;
            }
        }
    }
    f64::from(tries) / 10_000.0
}

// Half or all of the targets fail. Each call that failed is sent up to three times more, just when
// the targets that are left can take least. With budgets the tries add a tenth at most.
#[rstest]
#[case::half(50, 1.8)]
#[case::all(100, 3.9)]
fn retries_add_a_tenth_at_most(#[case] dead: u32, #[case] unlimited: f64) {
    let limited = amplification(dead, Some(&RetryBudget::per_instance()));
    assert!(limited <= 1.1, "{limited}");
    assert!(amplification(dead, None) > unlimited);
}

#[test]
fn rare_failures_are_all_tried_again() {
    let budget = RetryBudget::per_instance();
    assert!(amplification(2, Some(&budget)) > 1.019);
    // What a full target had open when it died can all be tried again.
    let state = TargetState::new();
    let overall = RetryBudget::new(0, 100, 100);
    assert!((0..16).all(|_| overall.try_take_both(&state.retry_budget)));
    assert!(!overall.try_take_both(&state.retry_budget));
    // The retry that was refused by one budget was given back to the other.
    assert!((0..84).all(|_| overall.try_take()));
    assert!(!overall.try_take());
}

// A target dies and a thousand calls fail at the same moment. They come back spread over the whole
// wait, also the second and third time, and none before the time that its target asked for.
#[test]
fn waits_spread_and_respect_the_target() {
    let backoff = Backoff::default();
    let floor = Duration::from_millis(500);
    let mut rng = rng(3);
    let mut waits = vec![Duration::ZERO; 1_000];
    for high in [60, 180, 540, 1_620, 2_000, 2_000] {
        for wait in &mut waits {
            *wait = backoff.next_delay(*wait, Duration::ZERO, &mut rng);
            assert!((backoff.base..=Duration::from_millis(high)).contains(wait));
            assert!(backoff.next_delay(*wait, floor, &mut rng) >= floor + backoff.base);
        }
        let mut slots = [0; 20];
        let top = waits.iter().max().unwrap().as_secs_f64() + 1e-9;
        for wait in &waits {
            slots[(wait.as_secs_f64() / top * 20.0) as usize] += 1;
        }
        assert!(slots.iter().all(|count| *count < 400), "{slots:?}");
    }
}

const fn status(code: u16) -> Failure {
    Failure::Status {
        code,
        retry_after: None,
    }
}

const NOW: RetryDecision = RetryDecision::AfterBackoff(Duration::ZERO);

#[rstest]
#[case::refused(Failure::Refused, RetryDecision::OtherTarget, Attribution::Target)]
#[case::unreachable(Failure::Unreachable, RetryDecision::OtherTarget, Attribution::Target)]
#[case::reset(Failure::Reset, NOW, Attribution::Target)]
#[case::timeout(Failure::Timeout, NOW, Attribution::Target)]
#[case::protocol(Failure::Protocol, RetryDecision::Never, Attribution::Target)]
#[case::request_timeout(status(408), NOW, Attribution::Neither)]
#[case::too_many(status(429), NOW, Attribution::Neither)]
#[case::bad_gateway(status(502), NOW, Attribution::Target)]
#[case::unavailable(status(503), NOW, Attribution::Neither)]
#[case::gateway_timeout(status(504), NOW, Attribution::Target)]
#[case::internal(status(500), NOW, Attribution::Target)]
#[case::not_found(status(404), RetryDecision::Never, Attribution::Neither)]
#[case::conflict(status(409), RetryDecision::Never, Attribution::Neither)]
fn failures_have_classes(
    #[case] failure: Failure,
    #[case] verdict: RetryDecision,
    #[case] blame: Attribution,
) {
    assert_eq!(failure.retry_decision(), verdict);
    assert!(verdict == RetryDecision::Never || failure.max_attempts() > 1);
    assert_eq!(failure.attribution(None), blame);
    assert_eq!(failure.attribution(Some(false)), blame);
}

// Something between the ends loses track of a connection. The caller's answer stalls, and a probe
// on a new connection is answered at once. Were it counted against the target, a few lost
// connections would eject an engine that works.
#[test]
fn a_silent_connection_does_not_speak_against_its_target() {
    assert_eq!(
        Failure::Timeout.attribution(Some(true)),
        Attribution::Connection
    );
    assert_eq!(
        Failure::Reset.attribution(Some(true)),
        Attribution::Connection
    );
    assert_eq!(
        Failure::Refused.attribution(Some(true)),
        Attribution::Target
    );
}

#[test]
fn the_target_says_when_to_come_back() {
    let retry_after = Some(Duration::from_secs(3));
    let failure = Failure::Status {
        code: 503,
        retry_after,
    };
    assert_eq!(
        failure.retry_decision(),
        RetryDecision::AfterBackoff(Duration::from_secs(3))
    );
}
