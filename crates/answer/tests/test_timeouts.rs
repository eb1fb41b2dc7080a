//! Timeouts estimated from gaps between tokens.

use std::time::Duration;

use celerypond_answer::{TimeoutEstimator, TimeoutLimits};
use rstest::rstest;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[rstest]
#[case::not_observed(&[], ms(700))]
#[case::too_few_gaps(&[(99, 10)], ms(700))]
#[case::fast_target_gets_the_floor(&[(1000, 20)], ms(250))]
#[case::slow_target_gets_three_times_its_longest_gaps(&[(1000, 50), (10, 150)], ms(450))]
#[case::very_slow_target_gets_the_ceiling(&[(1000, 500)], ms(700))]
#[case::old_gaps_are_discarded(&[(1000, 500), (9000, 20)], ms(250))]
fn timeout_is_derived_from_observed_gaps(
    #[case] gaps: &[(usize, u64)],
    #[case] expected: Duration,
) {
    let mut estimator = TimeoutEstimator::new(TimeoutLimits::default());
    for (count, gap) in gaps {
        (0..*count).for_each(|_| estimator.observe(ms(*gap)));
    }
    let found = estimator.timeouts(0).token_gap;
    let error = found.abs_diff(expected);
    assert!(error <= expected / 50, "{found:?}");
}

#[test]
fn first_token_timeout_grows_with_the_prompt() {
    let estimator = TimeoutEstimator::new(TimeoutLimits::default());
    let more = estimator.timeouts(5000).first_token - estimator.timeouts(0).first_token;
    assert_eq!(more, TimeoutLimits::default().prefill_per_token * 5000);
}
