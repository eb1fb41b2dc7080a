//! The time for which a target wants no requests.

use std::time::Duration;

use celerypond_relay::Cooldown;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rstest::rstest;
use tokio::time::Instant;

/// How long requests may still arrive after a statement, and how many may after that.
const TRANSIT_TIME: Duration = Duration::from_millis(500);
const MAX_REQUESTS: usize = 2;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against a later statement of a shorter time, or a request that is accepted meanwhile, which
// ends the time early.
#[test]
fn time_is_not_shortened() {
    let start = Instant::now();
    let mut cooldown = Cooldown::default();
    assert!(cooldown.record_statement(millis(3_000), 1, 0.0, start));
    assert!(!cooldown.record_statement(millis(1_000), 1, 0.0, start + millis(100)));
    let accepted = cooldown.record_acceptance(start - millis(50), start + millis(200));
    assert_eq!(accepted, None);
    let accepted = cooldown.record_acceptance(start + millis(250), start + millis(300));
    assert_eq!(accepted, None);
    let end = start + millis(3_000);
    assert_eq!(cooldown.held_until(start + millis(300)), Some(end));
    assert_eq!(cooldown.held_until(end), None);
}

// Guards against an implausible time, for which a target would get no requests.
#[rstest]
#[case(Duration::ZERO)]
#[case(Duration::from_secs(24 * 60 * 60 + 1))]
#[case(Duration::MAX)]
fn implausible_time_has_no_effect(#[case] time: Duration) {
    let mut cooldown = Cooldown::default();
    assert!(!cooldown.record_statement(time, 900, 1.0, Instant::now()));
    assert_eq!(cooldown.held_until(Instant::now()), None);
}

// Guards against a request that was selected before the target stated the time, and is sent after it.
#[test]
fn request_selected_before_the_statement_is_recognized() {
    let start = Instant::now();
    let mut cooldown = Cooldown::default();
    cooldown.record_statement(millis(3_000), 1, 0.0, start);
    let now = start + millis(10);
    assert!(cooldown.began_after(start - millis(1), now));
    assert!(!cooldown.began_after(start + millis(1), now));
    assert!(!cooldown.began_after(start - millis(1), start + millis(3_000)));
}

/// Sends requests of one instance, one each 10 ms, to a target that refuses until `refuses_for` and
/// states `time` each time. Returns when requests were sent, and when the target stated the time.
fn play(time: Duration, refuses_for: Duration, total: Duration) -> (Vec<Instant>, Vec<Instant>) {
    let start = Instant::now();
    let mut cooldown = Cooldown::default();
    let (mut sent, mut stated) = (Vec::new(), Vec::new());
    let mut now = start;
    while now < start + total {
        if cooldown.held_until(now).is_none() {
            cooldown.spend(now);
            sent.push(now);
            if now - start < refuses_for {
                stated.push(now);
                cooldown.record_statement(time, 7, 0.5, now);
            } else {
                cooldown.record_acceptance(now, now);
            }
        }
        now += millis(10);
    }
    (sent, stated)
}

// Guards against more requests within a stated time than may be sent in it, and against a target that
// gets none after it.
#[rstest]
#[case(millis(300), 2_000)]
#[case(millis(1_500), 6_000)]
#[case(millis(3_000), 9_000)]
#[case(millis(59_000), 150_000)]
#[case(millis(700_000), 1_000_000)]
#[case(millis(86_400_000), 3_000_000)]
fn few_requests_are_sent_within_a_stated_time(#[case] time: Duration, #[case] refuses_ms: u64) {
    let refuses_for = millis(refuses_ms);
    let (sent, stated) = play(
        time,
        refuses_for,
        refuses_for + time.min(millis(10_000)) + millis(2_000),
    );
    for at in &stated {
        let unwanted = *at + TRANSIT_TIME..*at + time;
        let count = sent.iter().filter(|sent| unwanted.contains(sent)).count();
        assert!(count <= MAX_REQUESTS, "{count} requests");
    }
    if time < millis(10_000) {
        let last = *stated.last().unwrap();
        let first = sent.iter().find(|sent| **sent > last).unwrap();
        assert!(*first - last < time + millis(100), "{:?}", *first - last);
        assert!(sent.len() > 100, "{} requests", sent.len());
    }
}

// Guards against a wrong figure that takes a target away for a day, although it accepts requests.
#[test]
fn target_that_accepts_a_request_in_a_long_time_is_used_again() {
    let (sent, stated) = play(millis(86_400_000), millis(20), millis(70_000));
    assert_eq!(stated.len(), 1);
    assert!(sent.len() > 100, "{} requests", sent.len());
}

// Guards against instances that all send again in the same moment to a target that was just full.
#[rstest]
#[case(59)]
#[case(195)]
#[case(900)]
fn instances_do_not_return_as_one(#[case] instances: usize) {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut returns: Vec<Instant> = Vec::new();
    for _ in 0..instances {
        let mut cooldown = Cooldown::default();
        cooldown.record_statement(millis(3_000), instances, rng.random(), start);
        returns.push(cooldown.held_until(start).unwrap());
    }
    returns.sort_unstable();
    let spread = *returns.last().unwrap() - returns[0];
    assert!(spread <= millis(1_000), "{spread:?}");
    let even = instances as f64 * 20.0 / spread.as_millis() as f64;
    let within = |from: &Instant| {
        let window = *from..*from + millis(20);
        returns.iter().filter(|at| window.contains(at)).count()
    };
    let most = returns.iter().map(within).max().unwrap();
    assert!((most as f64) < even * 3.0, "{most} for {even}");
}
