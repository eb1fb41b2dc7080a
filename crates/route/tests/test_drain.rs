//! G8: a planned stop cuts off no request. And the answers that lead callers to an instance.

use celerypond_route::{
    select_entry_points, Drain, DrainEffect, DrainStage, EntryPoint, ENTRY_POINTS_TTL,
    IDLE_CLOSE_MS, KEEP_ALIVE_MS, LEAVING_PROPAGATION_MS,
};
use rand::Rng;
use rstest::rstest;

use crate::test_fixture::rng;

const STOP_MS: u64 = 20_000;

/// How the instance stops.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    AsDecided,
    RefuseAtOnce,
    EndAtOnce,
    CloseIdle,
}

/// A caller's connection.
struct Connection {
    /// When its last request began.
    began: u64,
    /// When its last request ends or ended.
    ends: u64,
}

impl Connection {
    fn idle(&self, ms: u64) -> Option<u64> {
        ms.checked_sub(self.ends)
    }

    /// Returns whether its caller may be sending on it.
    fn is_kept(&self, ms: u64) -> bool {
        self.idle(ms).is_some_and(|idle| idle < KEEP_ALIVE_MS)
    }
}

#[derive(Debug, Default, PartialEq)]
struct Harm {
    refused: usize,
    cut_off: usize,
}

/// Stops an instance while callers with cached answers come and go; returns the harm and the end.
fn stop(seed: u64, way: Way) -> (Harm, u64) {
    let mut rng = rng(seed);
    let mut drain = Drain::default();
    let mut harm = Harm::default();
    // Some peer hears of the stop as late as it may.
    let last_answer = STOP_MS + rng.random_range(0..LEAVING_PROPAGATION_MS);
    let (mut known, mut open): (Vec<u64>, Vec<Connection>) = Default::default();
    for ms in (0..400_000).step_by(50) {
        if ms == STOP_MS || ms == STOP_MS + 2_000 {
            drain = drain.start(ms).0;
        }
        let left = drain.stage() != DrainStage::Serving;
        if ms < last_answer && rng.random_bool(0.2) {
            known.push(ms + ENTRY_POINTS_TTL.as_millis() as u64);
        }
        known.retain(|until| *until > ms);
        // A response whose head was sent after the stop says that its connection closes.
        let closed = |one: &Connection| one.idle(ms).is_some() && left && one.began >= STOP_MS;
        open.retain(|one| !closed(one) && one.idle(ms).is_none_or(|idle| idle < IDLE_CLOSE_MS));
        let mut request = || Connection {
            began: ms,
            ends: ms + rng.random_range(10..90_000),
        };
        for one in open.iter_mut().filter(|one| one.is_kept(ms)) {
            if ms % 700 == one.began % 700 {
                *one = request();
            }
        }
        if !known.is_empty() && ms % 150 == 0 {
            let refuses = drain.stage() == DrainStage::Refusing || left && way == Way::RefuseAtOnce;
            match refuses {
                true => harm.refused += 1,
                false => open.push(request()),
            }
        }
        let (next, effect) = drain.step(ms, open.len());
        drain = next;
        if effect == Some(DrainEffect::CloseListener) && way == Way::CloseIdle {
            harm.cut_off += open.iter().filter(|one| one.is_kept(ms)).count();
            open.retain(|one| one.idle(ms).is_none());
        }
        let ends = effect == Some(DrainEffect::CloseListener) && way == Way::EndAtOnce;
        if ends || drain.stage() == DrainStage::Done {
            let busy = |one: &&Connection| one.idle(ms).is_none() || one.is_kept(ms);
            harm.cut_off += open.iter().filter(busy).count();
            return (harm, ms);
        }
    }
    (harm, u64::MAX)
}

// An instance is stopped twice while callers still have its address from answers given up to 5 s
// later, use idle connections and wait for answers of a minute and a half. Refused at once, a
// caller would see its connection fail; ended at once, its answer would break off. And a response
// that began before the stop has not said that its connection closes, so its caller may send on it
// just when the instance closes what is idle.
#[rstest]
#[case::as_decided(Way::AsDecided, true)]
#[case::refusing_at_once(Way::RefuseAtOnce, false)]
#[case::ending_at_once(Way::EndAtOnce, false)]
#[case::closing_what_is_idle(Way::CloseIdle, false)]
fn a_planned_stop_harms_no_caller(#[case] way: Way, #[case] holds: bool) {
    let mut sum = Harm::default();
    for seed in 0..20 {
        let (harm, end) = stop(seed, way);
        sum.refused += harm.refused;
        sum.cut_off += harm.cut_off;
        // It does end: each connection had a last request in the time that its address was known,
        // and one more after it at most.
        assert!(
            end < STOP_MS + 15_000 + 2 * 90_000 + 2 * IDLE_CLOSE_MS,
            "{end}"
        );
    }
    assert_eq!(sum == Harm::default(), holds, "{sum:?}");
}

fn fleet(leaving: &[usize]) -> Vec<EntryPoint> {
    let entry = |at: usize| EntryPoint {
        name: format!("instance-{at}").as_str().into(),
        address: ([10, 0, 0, at as u8], 80).into(),
        data_centre: format!("dc-{}", at % 3).as_str().into(),
        leaving: leaving.contains(&at),
    };
    (0..30).map(entry).collect()
}

#[test]
fn callers_are_spread_over_the_nearest_data_centre() {
    let all = fleet(&[4, 7]);
    let near = ["dc-1".into(), "dc-2".into()];
    let mut first = [0; 30];
    for caller in 0..8_000 {
        let chosen = select_entry_points(&all, &near, caller);
        assert_eq!(chosen, select_entry_points(&all, &near, caller));
        let places: Vec<&str> = chosen.iter().map(|one| one.data_centre.as_str()).collect();
        assert_eq!(places, ["dc-1", "dc-1", "dc-1", "dc-1", "dc-2", "dc-2"]);
        assert!(chosen.iter().all(|one| !one.leaving));
        first[usize::from(
            chosen[0]
                .address
                .ip()
                .to_string()
                .rsplit('.')
                .next()
                .unwrap()
                .parse::<u8>()
                .unwrap(),
        )] += 1;
    }
    let used: Vec<i32> = first.into_iter().filter(|count| *count > 0).collect();
    assert_eq!(used.len(), 8);
    assert!(
        used.iter().all(|count| (850..1_150).contains(count)),
        "{used:?}"
    );
}

#[test]
fn a_lost_data_centre_leaves_addresses_elsewhere() {
    let all = fleet(&(0..30).filter(|at| at % 3 != 0).collect::<Vec<_>>());
    let chosen = select_entry_points(&all, &["dc-1".into()], 5);
    assert_eq!(chosen.len(), 6);
    assert!(select_entry_points(&[], &["dc-1".into()], 5).is_empty());
}
