//! Limits that targets state for the requests of all instances.

use std::{collections::VecDeque, time::Duration};

use celerypond_relay::{RateEvent, RateLimit};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rstest::rstest;
use tokio::time::Instant;

/// The time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The time that is simulated.
const SECONDS: u64 = 20;

/// Instances that have requests for a target with a limit.
struct Fleet {
    limits: Vec<RateLimit>,
    /// The number of instances that have callers.
    used: usize,
    /// The requests of callers per second, over all instances.
    demand: f64,
    /// How long a notice takes, in milliseconds, and the share that is lost.
    delay_ms: u64,
    loss: f64,
}

impl Fleet {
    fn new(instances: usize, demand: f64) -> Self {
        Self {
            limits: vec![RateLimit::default(); instances],
            used: instances,
            demand,
            delay_ms: 3,
            loss: 0.0,
        }
    }

    /// Returns when requests were sent, in milliseconds. The target states its limit, which depends
    /// on the second, in each response.
    fn run(&mut self, rate: impl Fn(u64) -> f64, start: Instant) -> Vec<u64> {
        let mut rng = SmallRng::seed_from_u64(7);
        let instances = self.limits.len();
        let mut notices: VecDeque<(u64, usize, u32)> = VecDeque::new();
        let mut sent = Vec::new();
        for limit in &mut self.limits {
            limit.record_statement(Some(rate(0)), start, start);
        }
        let mut due = 0.0;
        for ms in 0..SECONDS * 1_000 {
            let now = start + Duration::from_millis(ms);
            while notices.front().is_some_and(|(at, ..)| *at <= ms) {
                let (_, origin, count) = notices.pop_front().unwrap();
                for n in (0..instances).filter(|n| *n != origin) {
                    if !rng.random_bool(self.loss) {
                        let event = RateEvent::Sent(count);
                        self.limits[n].merge(origin as u64, event, instances, now);
                    }
                }
            }
            due += self.demand / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                let n = rng.random_range(0..self.used);
                let limit = &mut self.limits[n];
                if !limit.allows(instances, now) {
                    continue;
                }
                sent.push(ms);
                if let Some(RateEvent::Sent(count)) = limit.spend(instances, rng.random(), now) {
                    notices.push_back((ms + self.delay_ms, n, count));
                }
                limit.record_statement(Some(rate(ms / 1_000)), now, now);
            }
        }
        sent
    }
}

fn most_in_window(sent: &[u64]) -> usize {
    let window = WINDOW.as_millis() as u64;
    let counts = sent.iter().map(|from| {
        let within = *from..*from + window;
        sent.iter().filter(|at| within.contains(at)).count()
    });
    counts.max().unwrap_or_default()
}

/// Returns the most requests that a target with this limit may get in a window.
fn allowed(limit: f64) -> usize {
    (limit * 1.5 * WINDOW.as_secs_f64()) as usize + 5
}

// Guards against instances that exceed a limit together, and against a limit that is not used because
// the share of each instance is less than one request.
#[rstest]
#[case::few_instances(3, 7.1, 60.0, 3)]
#[case::many_instances(59, 7.1, 250.0, 3)]
#[case::many_instances_with_slow_notices(59, 7.1, 250.0, 100)]
#[case::hundreds_of_instances(195, 7.1, 250.0, 5)]
#[case::hundreds_of_instances_under_pressure(195, 7.1, 1_000.0, 5)]
#[case::less_than_two_requests_a_second(59, 1.5, 250.0, 5)]
#[case::one_request_in_ten_seconds(59, 0.1, 250.0, 5)]
#[case::no_requests(59, 0.0, 250.0, 5)]
#[case::many_requests(59, 400.0, 2_000.0, 5)]
#[case::large_fleet(900, 30.0, 2_000.0, 10)]
fn instances_together_keep_to_a_limit_and_use_it(
    #[case] instances: usize,
    #[case] limit: f64,
    #[case] demand: f64,
    #[case] delay_ms: u64,
) {
    let mut fleet = Fleet::new(instances, demand);
    fleet.delay_ms = delay_ms;
    let sent = fleet.run(|_| limit, Instant::now());
    let most = most_in_window(&sent);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    let usable = limit * SECONDS as f64;
    assert!(
        sent.len() as f64 >= usable / 2.0,
        "{} of {usable}",
        sent.len()
    );
}

// Guards against an instance that gets only its share although the others have no callers.
#[test]
fn one_instance_with_all_callers_uses_the_whole_limit() {
    let mut fleet = Fleet::new(59, 60.0);
    fleet.used = 1;
    let sent = fleet.run(|_| 7.1, Instant::now());
    assert!(most_in_window(&sent) <= allowed(7.1));
    assert!(
        sent.len() as f64 > 7.1 * SECONDS as f64 * 0.7,
        "{}",
        sent.len()
    );
}

// Guards against requests that are never counted because the notice of them was lost.
#[test]
fn lost_notices_are_made_up_for_by_later_ones() {
    let mut fleet = Fleet::new(7, 250.0);
    fleet.loss = 0.3;
    let sent = fleet.run(|_| 7.1, Instant::now());
    let most = most_in_window(&sent);
    assert!(most <= allowed(7.1), "{most}");
}

// Guards against requests that accrue at an earlier, higher limit.
#[test]
fn limit_that_changes_each_second_is_kept() {
    let rate = |second: u64| if second.is_multiple_of(2) { 20.0 } else { 2.0 };
    let sent = Fleet::new(7, 250.0).run(rate, Instant::now());
    let most = most_in_window(&sent);
    assert!(most <= allowed(11.0), "{most}");
}

// Guards against many requests at once after an instance did not run for a while.
#[test]
fn limit_is_kept_after_a_pause() {
    let start = Instant::now();
    let mut limit = RateLimit::default();
    limit.record_statement(Some(7.1), start, start);
    let now = start + Duration::from_secs(10);
    let mut sent = 0;
    while limit.allows(1, now) {
        limit.spend(1, 0.5, now);
        sent += 1;
    }
    assert_eq!(sent, 1);
}

// Guards against a limit that ends by a response to a request from before it, and against one that
// never ends.
#[test]
fn limit_ends_by_a_response_to_a_later_request() {
    let at = |ms| Instant::now() + Duration::from_millis(ms);
    let [start, early, late] = [at(100), at(50), at(150)];
    let mut limit = RateLimit::default();
    assert!(!limit.record_statement(None, early, start));
    assert!(limit.record_statement(Some(2.0), start, start));
    assert!(!limit.record_statement(Some(2.0), start, start));
    assert!(!limit.record_statement(None, early, late));
    assert!(!limit.allows(7, late));
    assert!(limit.record_statement(None, late, late));
    assert!(limit.allows(7, late));
    // A request is sent nevertheless, whose response can end the limit.
    assert!(limit.record_statement(Some(0.0), late, late));
    assert!(!limit.allows(7, late));
    assert!(limit.allows(7, late + Duration::from_secs(10)));
}

// Guards against a count that starts anew and is taken for thousands of requests.
#[test]
fn count_of_a_peer_that_starts_anew_is_taken_as_it_is() {
    let start = Instant::now();
    let mut limit = RateLimit::default();
    limit.record_statement(Some(10.0), start, start);
    limit.merge(1, RateEvent::Sent(500), 3, start);
    limit.merge(1, RateEvent::Sent(1), 3, start);
    limit.merge(2, RateEvent::Sent(0), 3, start);
    assert!(limit.wait(2, start).unwrap() < Duration::from_secs(1));
}

// Guards against a target that gets no requests because it states the largest number there is, or what is not a number.
#[rstest]
#[case(f64::MAX)]
#[case(f64::INFINITY)]
#[case(f64::NAN)]
fn extreme_limit_allows_requests(#[case] rate: f64) {
    let start = Instant::now();
    let mut limit = RateLimit::default();
    limit.record_statement(Some(rate), start, start);
    for second in 1..100 {
        let now = start + Duration::from_secs(second * 10);
        assert!(limit.allows(7, now), "{second}");
        limit.spend(7, 0.9, now);
        limit.merge(1, RateEvent::Sent(second as u32), 7, now);
    }
}
