//! Retry budgets, backoff, and the classification and attribution of failures.

use std::time::Duration;

use celerypond_route::{Attribution, Backoff, Failure, RetryBudget, RetryDecision, TargetState};
use rand::Rng;
use rstest::rstest;

use crate::test_fixture::rng;

/// Sends 10,000 calls with up to four attempts each, of which `failing_percent` percent fail.
/// Returns the number of attempts per call.
fn amplification(failing_percent: u32, budget: Option<&RetryBudget>) -> f64 {
    let mut rng = rng(1);
    let target = RetryBudget::per_target();
    let mut attempts = 0;
    for _ in 0..10_000 {
        for _ in 0..4 {
            attempts += 1;
            if rng.random_range(0..100) >= failing_percent {
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
    f64::from(attempts) / 10_000.0
}

// Half or all of the attempts fail. Without a budget each failed call is sent up to three more
// times, just when the remaining targets can take the least load. With budgets, retries add at most
// a tenth.
#[rstest]
#[case::half(50, 1.8)]
#[case::all(100, 3.9)]
fn retries_add_at_most_a_tenth(#[case] failing_percent: u32, #[case] unlimited: f64) {
    let limited = amplification(failing_percent, Some(&RetryBudget::per_instance()));
    assert!(limited <= 1.1, "{limited}");
    assert!(amplification(failing_percent, None) > unlimited);
}

#[test]
fn rare_failures_are_all_retried() {
    let budget = RetryBudget::per_instance();
    assert!(amplification(2, Some(&budget)) > 1.019);
    // All calls in flight at a busy target when it crashes can be retried.
    let state = TargetState::new();
    let instance_budget = RetryBudget::new(0, 100, 100);
    assert!((0..16).all(|_| instance_budget.try_take_both(&state.retry_budget)));
    assert!(!instance_budget.try_take_both(&state.retry_budget));
    // The retry that one budget refused was returned to the other.
    assert!((0..84).all(|_| instance_budget.try_take()));
    assert!(!instance_budget.try_take());
}

// A target crashes and a thousand calls fail at the same moment. Their retries are spread over the
// whole delay, also after the second and third failure, and none comes before the time that the
// target asked for.
#[test]
fn delays_spread_and_respect_retry_after() {
    let backoff = Backoff::default();
    let floor = Duration::from_millis(500);
    let mut rng = rng(3);
    let mut delays = vec![Duration::ZERO; 1_000];
    for high in [60, 180, 540, 1_620, 2_000, 2_000] {
        for delay in &mut delays {
            *delay = backoff.next_delay(*delay, Duration::ZERO, &mut rng);
            assert!((backoff.base..=Duration::from_millis(high)).contains(delay));
            assert!(backoff.next_delay(*delay, floor, &mut rng) >= floor + backoff.base);
        }
        let mut slots = [0; 20];
        let top = delays.iter().max().unwrap().as_secs_f64() + 1e-9;
        for delay in &delays {
            slots[(delay.as_secs_f64() / top * 20.0) as usize] += 1;
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

const WITHOUT_DELAY: RetryDecision = RetryDecision::AfterBackoff(Duration::ZERO);

#[rstest]
#[case::refused(Failure::Refused, RetryDecision::OtherTarget, Attribution::Target)]
#[case::unreachable(Failure::Unreachable, RetryDecision::OtherTarget, Attribution::Target)]
#[case::reset(Failure::Reset, WITHOUT_DELAY, Attribution::Target)]
#[case::timeout(Failure::Timeout, WITHOUT_DELAY, Attribution::Target)]
#[case::protocol(Failure::Protocol, RetryDecision::Never, Attribution::Target)]
#[case::request_timeout(status(408), WITHOUT_DELAY, Attribution::Neither)]
#[case::too_many(status(429), WITHOUT_DELAY, Attribution::Neither)]
#[case::bad_gateway(status(502), WITHOUT_DELAY, Attribution::Target)]
#[case::unavailable(status(503), WITHOUT_DELAY, Attribution::Neither)]
#[case::gateway_timeout(status(504), WITHOUT_DELAY, Attribution::Target)]
#[case::internal(status(500), WITHOUT_DELAY, Attribution::Target)]
#[case::not_found(status(404), RetryDecision::Never, Attribution::Neither)]
#[case::conflict(status(409), RetryDecision::Never, Attribution::Neither)]
fn classifies_failures(
    #[case] failure: Failure,
    #[case] decision: RetryDecision,
    #[case] attribution: Attribution,
) {
    assert_eq!(failure.retry_decision(), decision);
    assert!(decision == RetryDecision::Never || failure.max_attempts() > 1);
    assert_eq!(failure.attribution(None), attribution);
    assert_eq!(failure.attribution(Some(false)), attribution);
}

// A middlebox loses track of a connection. The response stalls, while a probe on a new connection
// succeeds. If such timeouts were attributed to the target, a few lost connections would eject a
// healthy engine.
#[test]
fn a_lost_connection_is_not_attributed_to_the_target() {
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
fn retry_after_delays_the_retry() {
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
