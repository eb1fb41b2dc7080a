//! What stopping instances still take.

use std::time::Duration;

use celerypond_relay::{PeerCounts, PlannedStop};
use rstest::rstest;
use tokio::time::Instant;

const GRACE: Duration = Duration::from_secs(8);
/// How long the streams run that an instance has open when it stops.
const DRAIN: Duration = Duration::from_millis(6_500);
/// How long an instance takes to start again.
const RESTART: Duration = Duration::from_millis(700);
const LOOK: Duration = Duration::from_millis(50);

/// One instance of the model: when it is told to stop.
#[derive(Clone, Copy)]
struct Told(Instant);

impl Told {
    fn is_leaving(self, now: Instant) -> bool {
        now >= self.0 && now < self.0 + DRAIN
    }

    fn is_live(self, now: Instant) -> bool {
        now < self.0 || now >= self.0 + DRAIN + RESTART
    }
}

/// Returns for how long no instance of a fleet takes callers that is told to stop one after the other.
fn closed_for(fleet: u32, gap: Duration, goes_on: bool) -> Duration {
    let begin = Instant::now();
    let told: Vec<Told> = (0..fleet).map(|n| Told(begin + gap * n)).collect();
    let mut closed = Duration::ZERO;
    let mut now = begin;
    while now < begin + gap * fleet + GRACE * 2 {
        let takes = |at: usize| {
            let one = told[at];
            if one.is_live(now) {
                return true;
            }
            let others = || told.iter().enumerate().filter(|(n, _)| *n != at);
            let count = |is: &dyn Fn(Told) -> bool| others().filter(|(_, one)| is(**one)).count();
            let others = PeerCounts {
                live: count(&|one| one.is_live(now)),
                leaving: count(&|one| one.is_leaving(now)),
            };
            let stop = PlannedStop::new(one.0, GRACE);
            let is_taken = match goes_on {
                true => stop.accepts_callers(others, now),
                false => stop.accepts_all(now),
            };
            one.is_leaving(now) && is_taken
        };
        if !(0..told.len()).any(takes) {
            closed += LOOK;
        }
        now += LOOK;
    }
    closed
}

/// All instances of a fleet are told to stop, one after the other, faster than they drain, or at once. If each
/// takes callers for the first part of its grace only, none does for seconds. As long as too few others do,
/// those that drain go on to.
#[rstest]
#[case::three_in_two_seconds(7, 700)]
#[case::two_a_second(7, 500)]
#[case::at_once(7, 0)]
#[case::alone(1, 0)]
fn a_fleet_that_stops_is_never_closed_while_it_drains(#[case] fleet: u32, #[case] gap_ms: u64) {
    let gap = Duration::from_millis(gap_ms);
    assert!(closed_for(fleet, gap, false) > Duration::from_secs(1));
    let closed = closed_for(fleet, gap, true);
    // All that were stopped at once start anew at once.
    assert!(closed <= RESTART + LOOK, "{closed:?}");
}

/// One of seven instances stops, or two do. The others take their callers, so these close as soon as
/// callers have heard of it, and start anew the sooner.
#[rstest]
#[case(6, 0)]
#[case(5, 1)]
#[case(3, 3)]
fn an_instance_with_enough_others_takes_no_more_callers(
    #[case] live: usize,
    #[case] leaving: usize,
) {
    let begun = Instant::now();
    let stop = PlannedStop::new(begun, GRACE);
    let others = PeerCounts { live, leaving };
    assert!(stop.accepts_callers(others, begun + Duration::from_millis(1_500)));
    assert!(!stop.accepts_callers(others, begun + Duration::from_millis(1_700)));
}

/// Whatever is admitted after the first part of the grace ends before callers are cut off.
#[test]
fn nothing_is_begun_that_would_be_cut_off() {
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

/// All instances stop. Who is not admitted comes back when this one may be there again, though so soon that
/// the answer can still be on time; where others take callers, that is at once.
#[test]
fn callers_come_back_when_an_instance_may_be_there() {
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
