//! Callers and requests that stopping instances accept.

use std::time::Duration;

use celerypond_relay::{PeerCounts, PlannedStop};
use rstest::rstest;
use tokio::time::Instant;

const GRACE: Duration = Duration::from_secs(8);
/// How long the open streams of a stopping instance run.
const DRAIN: Duration = Duration::from_millis(6_500);
/// How long an instance takes to restart.
const RESTART: Duration = Duration::from_millis(700);
const STEP: Duration = Duration::from_millis(50);

/// An instance of the model, by the time at which its stop begins.
#[derive(Clone, Copy)]
struct StoppedInstance(Instant);

impl StoppedInstance {
    fn is_leaving(self, now: Instant) -> bool {
        now >= self.0 && now < self.0 + DRAIN
    }

    fn is_live(self, now: Instant) -> bool {
        now < self.0 || now >= self.0 + DRAIN + RESTART
    }
}

/// Returns for how long no instance of a fleet accepts callers, if all are stopped one after the
/// other.
fn time_without_callers(fleet: u32, gap: Duration, continues: bool) -> Duration {
    let begin = Instant::now();
    let instances: Vec<StoppedInstance> = (0..fleet)
        .map(|n| StoppedInstance(begin + gap * n))
        .collect();
    let mut without_callers = Duration::ZERO;
    let mut now = begin;
    while now < begin + gap * fleet + GRACE * 2 {
        let accepts_callers = |at: usize| {
            let instance = instances[at];
            if instance.is_live(now) {
                return true;
            }
            let others = || instances.iter().enumerate().filter(|(n, _)| *n != at);
            let count = |is: &dyn Fn(StoppedInstance) -> bool| {
                others().filter(|(_, instance)| is(**instance)).count()
            };
            let others = PeerCounts {
                live: count(&|instance| instance.is_live(now)),
                leaving: count(&|instance| instance.is_leaving(now)),
            };
            let stop = PlannedStop::new(instance.0, GRACE);
            let is_accepted = match continues {
                true => stop.accepts_callers(others, now),
                false => stop.accepts_all(now),
            };
            instance.is_leaving(now) && is_accepted
        };
        if !(0..instances.len()).any(accepts_callers) {
            without_callers += STEP;
        }
        now += STEP;
    }
    without_callers
}

/// All instances of a fleet are stopped at once, or one after the other faster than they drain.
/// Guards against a fleet that accepts no callers for seconds, as each accepts them only for the
/// first part of its grace: instances with too few live peers must continue to accept callers while
/// they drain.
#[rstest]
#[case::three_in_two_seconds(7, 700)]
#[case::two_a_second(7, 500)]
#[case::at_once(7, 0)]
#[case::alone(1, 0)]
fn fleet_that_stops_accepts_callers_while_it_drains(#[case] fleet: u32, #[case] gap_ms: u64) {
    let gap = Duration::from_millis(gap_ms);
    assert!(time_without_callers(fleet, gap, false) > Duration::from_secs(1));
    let without_callers = time_without_callers(fleet, gap, true);
    // Instances that were stopped at the same time also restart at the same time.
    assert!(without_callers <= RESTART + STEP, "{without_callers:?}");
}

/// One or two of seven instances stop. Guards against accepting callers for longer than necessary,
/// which delays the restart, as the other instances can take them over.
#[rstest]
#[case(6, 0)]
#[case(5, 1)]
#[case(3, 3)]
fn instance_with_enough_peers_accepts_no_more_callers(#[case] live: usize, #[case] leaving: usize) {
    let begun = Instant::now();
    let stop = PlannedStop::new(begun, GRACE);
    let others = PeerCounts { live, leaving };
    assert!(stop.accepts_callers(others, begun + Duration::from_millis(1_500)));
    assert!(!stop.accepts_callers(others, begun + Duration::from_millis(1_700)));
}

/// Guards against admitting requests, after the first part of the grace, that would not end before
/// callers are cut off.
#[test]
fn requests_that_would_be_cut_off_are_refused() {
    let begun = Instant::now();
    let stop = PlannedStop::new(begun, GRACE);
    for after_ms in (1_600..8_000).step_by(100) {
        let now = begun + Duration::from_millis(after_ms);
        for longest_ms in (0..9_000).step_by(100) {
            let longest = Duration::from_millis(longest_ms);
            assert_eq!(stop.admits(longest, now), now + longest <= stop.cutoff());
        }
    }
}

/// All instances stop. Guards against retries before an instance may accept callers again, and
/// against retries so late that the response would not be on time. If other instances accept
/// callers, refused callers retry at once.
#[test]
fn refused_callers_retry_when_an_instance_may_accept_them() {
    let begun = Instant::now();
    let stop = PlannedStop::new(begun, GRACE);
    let aim = Duration::from_millis(4_500);
    let alone = PeerCounts {
        live: 0,
        leaving: 6,
    };
    let early = begun + Duration::from_secs(2);
    assert_eq!(stop.retry_after(alone, aim, early), Some(aim / 2));
    let late = stop.cutoff() - Duration::from_millis(700);
    let back = stop.retry_after(alone, aim, late);
    assert_eq!(back, Some(Duration::from_millis(700)));
    let others = PeerCounts { live: 2, ..alone };
    assert_eq!(stop.retry_after(others, aim, early), None);
}
