//! Graceful shutdown fails no request; selection of entry points.

use celerypond_route::{
    select_entry_points, Drain, DrainEffect, DrainStage, EntryPoint, ENTRY_POINTS_TTL,
    IDLE_CLOSE_MS, KEEP_ALIVE_MS, LEAVING_PROPAGATION_MS,
};
use rand::Rng;
use rstest::rstest;

use crate::test_fixture::rng;

const SHUTDOWN_MS: u64 = 20_000;

/// How the instance shuts down: as designed, or without one of the precautions.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    AsDesigned,
    RefuseAtOnce,
    ExitAtOnce,
    CloseIdle,
}

/// A client's connection.
struct Connection {
    /// When its last request started.
    began: u64,
    /// When its last request ends or ended.
    ends: u64,
}

impl Connection {
    fn idle(&self, ms: u64) -> Option<u64> {
        ms.checked_sub(self.ends)
    }

    /// Returns whether the client may send another request on it.
    fn is_reusable(&self, ms: u64) -> bool {
        self.idle(ms).is_some_and(|idle| idle < KEEP_ALIVE_MS)
    }
}

#[derive(Debug, Default, PartialEq)]
struct Failures {
    refused: usize,
    aborted: usize,
}

/// Shuts an instance down while clients with cached answers connect and send requests. Returns the
/// failed requests and the time at which the instance exited.
fn shut_down(seed: u64, strategy: Strategy) -> (Failures, u64) {
    let mut rng = rng(seed);
    let mut drain = Drain::default();
    let mut failures = Failures::default();
    // One peer learns of the shutdown as late as possible.
    let last_answer = SHUTDOWN_MS + rng.random_range(0..LEAVING_PROPAGATION_MS);
    let (mut expiries, mut open): (Vec<u64>, Vec<Connection>) = Default::default();
    for ms in (0..400_000).step_by(50) {
        if ms == SHUTDOWN_MS || ms == SHUTDOWN_MS + 2_000 {
            drain = drain.start(ms).0;
        }
        let leaving = drain.stage() != DrainStage::Serving;
        if ms < last_answer && rng.random_bool(0.2) {
            expiries.push(ms + ENTRY_POINTS_TTL.as_millis() as u64);
        }
        expiries.retain(|until| *until > ms);
        // A response whose head was sent after the shutdown began announces that its connection
        // closes.
        let closed = |connection: &Connection| {
            connection.idle(ms).is_some() && leaving && connection.began >= SHUTDOWN_MS
        };
        open.retain(|connection| {
            !closed(connection) && connection.idle(ms).is_none_or(|idle| idle < IDLE_CLOSE_MS)
        });
        let mut request = || Connection {
            began: ms,
            ends: ms + rng.random_range(10..90_000),
        };
        for connection in open
            .iter_mut()
            .filter(|connection| connection.is_reusable(ms))
        {
            if ms % 700 == connection.began % 700 {
                *connection = request();
            }
        }
        if !expiries.is_empty() && ms % 150 == 0 {
            let refuses = drain.stage() == DrainStage::Refusing
                || leaving && strategy == Strategy::RefuseAtOnce;
            match refuses {
                true => failures.refused += 1,
                false => open.push(request()),
            }
        }
        let (next, effect) = drain.step(ms, open.len());
        drain = next;
        if effect == Some(DrainEffect::CloseListener) && strategy == Strategy::CloseIdle {
            failures.aborted += open
                .iter()
                .filter(|connection| connection.is_reusable(ms))
                .count();
            open.retain(|connection| connection.idle(ms).is_none());
        }
        let exits = effect == Some(DrainEffect::CloseListener) && strategy == Strategy::ExitAtOnce;
        if exits || drain.stage() == DrainStage::Done {
            let busy = |connection: &&Connection| {
                connection.idle(ms).is_none() || connection.is_reusable(ms)
            };
            failures.aborted += open.iter().filter(busy).count();
            return (failures, ms);
        }
    }
    (failures, u64::MAX)
}

// An instance is told twice to shut down. Clients still have its address from answers given up to 5
// s later, reuse idle connections and wait up to 90 s for responses. If it refused connections at
// once, clients would fail to connect; if it exited at once, responses would be aborted. A response
// that started before the shutdown did not announce that its connection closes, so if the instance
// closed idle connections, a client might be sending on one at that moment.
#[rstest]
#[case::as_designed(Strategy::AsDesigned, true)]
#[case::refusing_at_once(Strategy::RefuseAtOnce, false)]
#[case::exiting_at_once(Strategy::ExitAtOnce, false)]
#[case::closing_idle_connections(Strategy::CloseIdle, false)]
fn graceful_shutdown_fails_no_request(#[case] strategy: Strategy, #[case] succeeds: bool) {
    let mut sum = Failures::default();
    for seed in 0..20 {
        let (failures, end) = shut_down(seed, strategy);
        sum.refused += failures.refused;
        sum.aborted += failures.aborted;
        // The shutdown terminates: each connection had its last request started while its address
        // was known, and at most one more after that.
        assert!(
            end < SHUTDOWN_MS + 15_000 + 2 * 90_000 + 2 * IDLE_CLOSE_MS,
            "{end}"
        );
    }
    assert_eq!(sum == Failures::default(), succeeds, "{sum:?}");
}

fn instances(leaving: &[usize]) -> Vec<EntryPoint> {
    let entry = |index: usize| EntryPoint {
        name: format!("instance-{index}").as_str().into(),
        address: ([10, 0, 0, index as u8], 80).into(),
        data_centre: format!("dc-{}", index % 3).as_str().into(),
        leaving: leaving.contains(&index),
    };
    (0..30).map(entry).collect()
}

#[test]
fn clients_are_spread_over_the_nearest_data_centre() {
    let all = instances(&[4, 7]);
    let near = ["dc-1".into(), "dc-2".into()];
    let mut first_choices = [0; 30];
    for client in 0..8_000 {
        let chosen = select_entry_points(&all, &near, client);
        assert_eq!(chosen, select_entry_points(&all, &near, client));
        let data_centres: Vec<&str> = chosen
            .iter()
            .map(|entry| entry.data_centre.as_str())
            .collect();
        assert_eq!(
            data_centres,
            ["dc-1", "dc-1", "dc-1", "dc-1", "dc-2", "dc-2"]
        );
        assert!(chosen.iter().all(|entry| !entry.leaving));
        first_choices[usize::from(
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
    let used: Vec<i32> = first_choices
        .into_iter()
        .filter(|count| *count > 0)
        .collect();
    assert_eq!(used.len(), 8);
    assert!(
        used.iter().all(|count| (850..1_150).contains(count)),
        "{used:?}"
    );
}

#[test]
fn a_failed_data_centre_leaves_entry_points_in_others() {
    let all = instances(&(0..30).filter(|index| index % 3 != 0).collect::<Vec<_>>());
    let chosen = select_entry_points(&all, &["dc-1".into()], 5);
    assert_eq!(chosen.len(), 6);
    assert!(select_entry_points(&[], &["dc-1".into()], 5).is_empty());
}
