//! How long connections may rest.

use std::time::Duration;

use celerypond_relay::{IdleLimits, Placements};
use tokio::time::Instant;

use crate::fixture::{key, three_data_centres};

const SERVICE: u64 = 7;
/// How long the targets of these tests let a connection rest.
const FORGOTTEN: Duration = Duration::from_millis(300);

/// Seventy instances send each of six targets a reservation every two seconds, on kept connections. The
/// targets forget connections after 300 ms, and what comes on one is reset. Each instance that kept
/// them for the usual 2.5 s would lose nearly all its reservations for as long as this lasts; with what
/// is learned and told each second, the first ones teach all.
#[test]
fn few_requests_are_lost_where_targets_forget_resting_connections() {
    const INSTANCES: usize = 70;
    let start = Instant::now();
    let mut rests = vec![IdleLimits::default(); INSTANCES];
    let (mut lost, mut sent) = (0, 0);
    for tick in 0..600_u64 {
        let now = start + Duration::from_millis(tick * 50);
        // An instance tells all others once a second.
        let teller = (tick * 70 / 20) as usize % INSTANCES;
        for teller in teller..(teller + 4).min(INSTANCES) {
            let told = rests[teller].report(now);
            rests.iter_mut().for_each(|rests| rests.merge(&told, now));
        }
        // Each instance sends three requests a second over all targets; a connection rests for two.
        for (n, own) in rests.iter_mut().enumerate() {
            if !(tick + n as u64).is_multiple_of(7) {
                continue;
            }
            sent += 1;
            let rested = Duration::from_millis(1_500 + (n as u64 * 37 + tick * 11) % 1_000);
            let is_kept = own.limit(SERVICE, now).is_none_or(|most| rested < most);
            if is_kept && rested > FORGOTTEN {
                lost += 1;
                own.record_reset(SERVICE, rested, now);
            }
        }
    }
    assert!(sent > 5_000);
    assert!(lost < 140, "{lost} of {sent} were lost");
}

#[test]
fn a_connection_that_hardly_rested_teaches_nothing() {
    let now = Instant::now();
    let mut rests = IdleLimits::default();
    assert!(!rests.record_reset(SERVICE, Duration::from_millis(3), now));
    assert_eq!(rests.limit(SERVICE, now), None);
}

/// A target forgets connections after a second, then after a tenth. The shorter rest holds, and one that
/// is lost later after a longer rest does not lengthen it.
#[test]
fn the_shortest_rest_holds() {
    let now = Instant::now();
    let mut rests = IdleLimits::default();
    assert!(rests.record_reset(SERVICE, Duration::from_millis(1_000), now));
    assert!(rests.record_reset(SERVICE, Duration::from_millis(100), now));
    assert!(!rests.record_reset(SERVICE, Duration::from_millis(900), now));
    assert_eq!(rests.limit(SERVICE, now), Some(Duration::from_millis(50)));
}

/// What is told of others is told on, with its age; it must not hold for ever by going round.
#[test]
fn what_goes_round_is_forgotten_all_the_same() {
    let start = Instant::now();
    let (mut one, mut other) = (IdleLimits::default(), IdleLimits::default());
    one.record_reset(SERVICE, Duration::from_millis(500), start);
    for second in 0..70 {
        let now = start + Duration::from_secs(second);
        other.merge(&one.report(now), now);
        one.merge(&other.report(now), now);
    }
    let now = start + Duration::from_secs(70);
    assert_eq!(one.limit(SERVICE, now), None);
    assert_eq!(other.limit(SERVICE, now), None);
}

#[test]
fn a_whole_list_tells_others_how_long_connections_rest() {
    let now = Instant::now();
    let mut targets = three_data_centres(2);
    let engine = key(&targets, "east-0-1");
    assert!(targets.record_idle_reset(engine, Duration::from_millis(400), now));
    let list = targets.placements(1, 1, None, now);
    let mut others = three_data_centres(2);
    others.merge_placements(Placements { origin: 2, ..list }, now);
    let west = key(&others, "west-1-1");
    assert_eq!(
        others.idle_limit(west, now),
        Some(Duration::from_millis(200))
    );
}
