//! Tests for the call budget.

use std::time::Duration;

use celerypond_platform::{CallBudget, CallKind, PlatformError, Rates};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

use crate::server::{client, reply, Server};

const RATES: Rates = Rates {
    reads: 50.0,
    writes: 7.0,
    burst: Duration::from_millis(500),
};

#[rstest]
fn calls_in_any_interval_stay_within_rate_and_burst(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut budget = CallBudget::new(RATES, start);
    let mut now = start;
    let mut calls = Vec::new();
    for _ in 0..2000 {
        now += Duration::from_micros(rng.random_range(0..60_000));
        if let Err(wait) = budget.take(CallKind::Write, now) {
            // Waiting for the returned time suffices.
            now += wait + Duration::from_micros(1);
            budget.take(CallKind::Write, now).unwrap();
        }
        calls.push(now);
    }
    for (from, first) in calls.iter().enumerate() {
        for (count, last) in calls[from..].iter().enumerate().take(100) {
            let allowed = 3.5 + RATES.writes * (*last - *first).as_secs_f64();
            assert!(count as f64 + 1.0 <= allowed + 1e-3, "{from} {count}");
        }
    }
}

#[test]
fn lower_rates_apply_as_soon_as_they_are_set() {
    let start = Instant::now();
    let mut budget = CallBudget::new(RATES, start);
    budget.set_rates(RATES.share(7), start);
    let calls = (0..10).filter(|_| budget.take(CallKind::Write, start).is_ok());
    assert_eq!(calls.count(), 1);
}

// Guards against sending more calls to the platform than this instance may. A call that exceeds the
// budget fails at once.
#[tokio::test]
async fn call_that_exceeds_the_budget_is_rejected_and_not_sent() {
    let server = Server::start(|_, request, _| {
        assert_eq!(request, 0, "a second request was sent");
        reply("200 OK", "etag: \"5\"\r\n", "")
    })
    .await;
    let rates = Rates {
        writes: 0.5,
        ..RATES
    };
    let platform = client(server.address, rates);
    platform.create("a", "".into()).await.unwrap();
    let error = platform.create("b", "".into()).await.unwrap_err();
    let PlatformError::BudgetExhausted { retry_after } = error.current_context() else {
        panic!("{error:?}");
    };
    assert!(*retry_after > Duration::from_millis(1500));
}
