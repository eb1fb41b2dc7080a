//! What callers make an instance hold, and which of them give it up.

use std::time::Duration;

use celerypond_relay::{
    CallerBudget, CallerKey, CallerShare, CallerStage, Eviction, TooManyCallers,
};
use rstest::rstest;
use tokio::time::Instant;

const MAX_BYTES: usize = 4 << 20;
const BODY: usize = 512 << 10;

struct Callers {
    budget: CallerBudget,
    now: Instant,
}

impl Callers {
    fn new(max_connections: usize) -> Self {
        Self {
            budget: CallerBudget::new(MAX_BYTES, max_connections),
            now: Instant::now(),
        }
    }

    fn open(&mut self) -> CallerKey {
        self.budget.open(self.now).unwrap().key
    }

    fn enter(&mut self, key: CallerKey, stage: CallerStage) {
        assert_eq!(self.budget.enter(key, stage, self.now), []);
    }

    /// Opens a connection that has received this part of a body.
    fn receive(&mut self, bytes: usize) -> (CallerKey, Vec<Eviction>) {
        let key = self.open();
        self.enter(key, CallerStage::Receiving);
        (
            key,
            self.budget.resize(key, CallerShare::Body, bytes, self.now),
        )
    }

    /// Opens connections with whole bodies until one is refused; returns their number.
    fn fill(&mut self) -> usize {
        for count in 0.. {
            let (key, evicted) = self.receive(BODY);
            if evicted == [Eviction::Reject(key)] {
                self.budget.close(key);
                return count;
            }
            assert_eq!(evicted, []);
            self.enter(key, CallerStage::Serving);
        }
        unreachable!("the memory is never full")
    }
}

// Guards against a process that reads into memory for many connections what others were told to give up, but still hold.
#[rstest]
#[case::rejected(CallerStage::Receiving, CallerShare::Body)]
#[case::closed(CallerStage::Waiting, CallerShare::Buffer)]
fn bytes_that_were_given_up_count_until_they_are_freed(
    #[case] stage: CallerStage,
    #[case] share: CallerShare,
) {
    let mut callers = Callers::new(100);
    let mut evicted = Vec::new();
    for _ in 0..32 {
        let key = callers.open();
        callers.enter(key, stage);
        callers.now += Duration::from_millis(1);
        evicted.extend(callers.budget.resize(key, share, BODY, callers.now));
    }
    assert!(callers.budget.used() <= MAX_BYTES);
    assert!(callers.budget.is_releasing());
    for eviction in evicted {
        match eviction {
            Eviction::Reject(key) => {
                callers.budget.resize(key, share, 0, callers.now);
            }
            Eviction::Close(key) => callers.budget.close(key),
        }
    }
    assert!(!callers.budget.is_releasing());
}

// Guards against small requests that are refused because large ones take all memory.
#[test]
fn small_body_is_received_beside_large_ones_that_wait() {
    let mut callers = Callers::new(100);
    assert!(callers.fill() >= 4);
    let (_, evicted) = callers.receive(1_000);
    assert_eq!(evicted, []);
    assert!(callers.budget.used() < MAX_BYTES);
}

// Guards against a body that is refused because others have stopped.
#[test]
fn body_that_stopped_gives_way_to_one_that_arrives() {
    let mut callers = Callers::new(100);
    let stopped: Vec<CallerKey> = (0..6).map(|_| callers.receive(BODY).0).collect();
    callers.now += Duration::from_secs(3);
    for _ in 0..6 {
        let (key, evicted) = callers.receive(BODY);
        let is_stopped =
            |it: &Eviction| matches!(it, Eviction::Reject(key) if stopped.contains(key));
        assert!(evicted.iter().all(is_stopped), "{evicted:?}");
        callers.enter(key, CallerStage::Serving);
    }
}

// Guards against callers that never end a body and are each told so again and again.
#[test]
fn connection_gives_way_once() {
    let mut callers = Callers::new(2);
    let (stopped, _) = callers.receive(BODY);
    let (other, _) = callers.receive(BODY);
    callers.now += Duration::from_secs(1);
    let opened = callers.budget.open(callers.now).unwrap();
    assert_eq!(opened.evicted.len(), 1);
    let next = callers.budget.open(callers.now).unwrap();
    assert_eq!(next.evicted.len(), 1);
    assert_ne!(opened.evicted, next.evicted);
    for key in [stopped, other, opened.key, next.key] {
        callers.budget.close(key);
    }
    assert_eq!(callers.budget.used(), 0);
}

// Guards against a new caller who is shut out by connections without a request.
#[test]
fn connection_that_waits_longest_is_closed_for_a_new_one() {
    let mut callers = Callers::new(3);
    let first = callers.open();
    callers.now += Duration::from_secs(1);
    callers.open();
    let served = callers.open();
    callers.enter(served, CallerStage::Serving);
    callers.now += Duration::from_secs(1);
    let opened = callers.budget.open(callers.now).unwrap();
    assert_eq!(opened.evicted, [Eviction::Close(first)]);
}

// Guards against a request that is being served and loses its connection to a new one.
#[test]
fn connections_with_requests_are_kept() {
    let mut callers = Callers::new(2);
    for _ in 0..2 {
        let key = callers.open();
        callers.enter(key, CallerStage::Serving);
    }
    assert_eq!(callers.budget.open(callers.now), Err(TooManyCallers));
}

// Guards against memory that stays counted after what held it has ended.
#[rstest]
#[case::body(CallerShare::Body)]
#[case::buffer(CallerShare::Buffer)]
#[case::response(CallerShare::Response)]
fn memory_is_returned(#[case] share: CallerShare) {
    let mut callers = Callers::new(10);
    let empty = callers.budget.used();
    let key = callers.open();
    let open = callers.budget.used();
    callers.budget.resize(key, share, 1_000, callers.now);
    assert_eq!(callers.budget.used(), open + 1_000);
    callers.budget.resize(key, share, 0, callers.now);
    assert_eq!(callers.budget.used(), open);
    callers.budget.close(key);
    assert_eq!(callers.budget.used(), empty);
}

// Guards against a caller whose refusal stays unread and who keeps the connection for good.
#[test]
fn rejected_connection_can_be_closed_later() {
    let mut callers = Callers::new(100);
    let (stopped, _) = callers.receive(3 * BODY);
    callers.now += Duration::from_secs(1);
    let (other, evicted) = callers.receive(3 * BODY);
    assert_eq!(evicted, [Eviction::Reject(stopped)]);
    callers.enter(other, CallerStage::Serving);
    callers.enter(stopped, CallerStage::Waiting);
    let evicted = callers
        .budget
        .resize(stopped, CallerShare::Buffer, 3 * BODY, callers.now);
    assert_eq!(evicted, [Eviction::Close(stopped)]);
}
