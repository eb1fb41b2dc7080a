//! Fair queueing and admission.

use celerypond_route::{AdmissionQueue, QueueLimits, QueuedRequest};
use celerypond_types::{AccountKey, NotRunReason, Priority};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::Rng;
use rstest::rstest;
use slotmap::SlotMap;

fn keys(count: usize) -> Vec<AccountKey> {
    let mut arena = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

fn request(account: AccountKey, weight: u32, item: u32) -> QueuedRequest<u32> {
    QueuedRequest {
        account,
        weight,
        priority: Priority::Interactive,
        cost: 1,
        deadline: u64::MAX / 2,
        item,
    }
}

// One account fills the queue before the others send. In FIFO order the others would wait for all
// its requests; with fair queueing each account is served in proportion to its weight.
#[rstest]
#[case::equal([1, 1, 1], [40, 40, 40])]
#[case::weighted([1, 1, 4], [20, 20, 80])]
fn accounts_are_served_by_weight(#[case] weights: [u32; 3], #[case] served: [u32; 3]) {
    let accounts = keys(3);
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 1_000.0);
    for (account, weight) in accounts.iter().zip(weights) {
        for _ in 0..200 {
            queue.try_push(request(*account, weight, 0), 0).unwrap();
        }
    }
    let taken: Vec<_> = (0..120).map_while(|now_ms| queue.pop(now_ms)).collect();
    for (account, count) in accounts.iter().zip(served) {
        let of = taken
            .iter()
            .filter(|request| request.account == *account)
            .count();
        assert!(of.abs_diff(count as usize) <= 1, "{of}");
    }
}

#[test]
fn accounts_are_served_by_cost_rather_than_count() {
    let accounts = keys(2);
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 1_000.0);
    for item in 0..200 {
        queue
            .try_push(
                QueuedRequest {
                    cost: 10,
                    ..request(accounts[0], 1, item)
                },
                0,
            )
            .unwrap();
        queue.try_push(request(accounts[1], 1, item), 0).unwrap();
    }
    let taken = (0..110).map_while(|now_ms| queue.pop(now_ms));
    let costly = taken
        .filter(|request| request.account == accounts[0])
        .count();
    assert!((9..=11).contains(&costly), "{costly}");
}

#[test]
fn interactive_requests_have_priority_without_starving_drafts() {
    let account = keys(1)[0];
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 1_000.0);
    for item in 0..100 {
        let draft = Priority::Draft;
        queue
            .try_push(
                QueuedRequest {
                    priority: draft,
                    ..request(account, 1, item)
                },
                0,
            )
            .unwrap();
        queue.try_push(request(account, 1, item), 0).unwrap();
    }
    let taken: Vec<_> = (0..80).map_while(|now_ms| queue.pop(now_ms)).collect();
    assert!(taken[..7]
        .iter()
        .all(|request| request.priority == Priority::Interactive));
    let drafts = taken
        .iter()
        .filter(|request| request.priority == Priority::Draft);
    assert_eq!(drafts.count(), 10);
    let interactive = queue.pop_interactive(80).unwrap();
    assert_eq!(interactive.priority, Priority::Interactive);
}

#[test]
fn queue_is_bounded_in_total_and_per_account() {
    let accounts = keys(2);
    let limits = QueueLimits {
        total: 5,
        per_account: 3,
    };
    let mut queue = AdmissionQueue::new(limits, 1_000.0);
    let mut offer = |account| queue.try_push(request(account, 1, 0), 0).is_ok();
    assert_eq!(
        [0; 4].map(|_| offer(accounts[0])),
        [true, true, true, false]
    );
    assert_eq!([0; 3].map(|_| offer(accounts[1])), [true, true, false]);
}

// No request starts at the targets. Queued requests are refused at their deadlines, and new ones
// immediately, since the stall is expected to continue.
#[test]
fn stalled_targets_cause_immediate_refusals() {
    let account = keys(1)[0];
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 100.0);
    queue
        .try_push(
            QueuedRequest {
                deadline: 3_000,
                ..request(account, 1, 1)
            },
            0,
        )
        .unwrap();
    let refused = queue.try_push(
        QueuedRequest {
            deadline: 4_000,
            ..request(account, 1, 2)
        },
        2_500,
    );
    let refusal = refused.unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::Overload);
    assert!(refusal.retry_after.as_millis() >= 1_000, "{refusal:?}");
    assert_eq!(queue.next_expiry(), Some(3_000));
    assert!(queue.expire(2_999).is_empty());
    assert_eq!(queue.expire(3_000).len(), 1);
    assert!(queue.is_empty() && queue.pop(3_001).is_none());
}

// Requests arrive at ten times the capacity. A request that is queued and refused at its deadline
// has cost its client the time in which to try elsewhere, so nearly all refusals must come on
// arrival. One account sends most of the load; the others are served in full, and drafts get their
// turns.
#[rstest]
fn overload_refuses_requests_on_arrival(#[values(1, 2, 3)] seed: u64) {
    let mut rng = crate::test_fixture::rng(seed);
    let accounts = keys(5);
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 200.0);
    let (mut refused, mut expired) = (0, 0);
    let (mut starts, mut drafts, mut small) = (0, 0, 0);
    for ms in 0..30_000 {
        // About two requests arrive per millisecond, and one starts every 5 ms.
        for item in 0..2 {
            let account = if rng.random_bool(0.95) {
                0
            } else {
                rng.random_range(1..5)
            };
            let draft = rng.random_bool(0.3);
            let (priority, max_wait) = match draft {
                true => (Priority::Draft, 8_000),
                false => (Priority::Interactive, 2_000),
            };
            let request = request(accounts[account], 1, item);
            let request = QueuedRequest {
                priority,
                deadline: ms + max_wait,
                ..request
            };
            refused += usize::from(queue.try_push(request, ms).is_err());
        }
        expired += queue.expire(ms).len();
        if ms % 5 == 0 {
            // Most of the time there is capacity only for interactive requests.
            let request = if rng.random_bool(0.8) {
                queue.pop_interactive(ms)
            } else {
                queue.pop(ms)
            };
            starts += usize::from(request.is_some());
            drafts +=
                usize::from(request.is_some_and(|request| request.priority == Priority::Draft));
            small += usize::from(request.is_some_and(|request| request.account != accounts[0]));
        }
    }
    assert!(expired * 100 < refused, "{expired} of {refused} expired");
    // One turn in eight is a draft's.
    assert!(drafts * 9 > starts, "{drafts} of {starts}");
    assert!(small > 2_000, "{small}");
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer {
        account: usize,
        draft: bool,
        max_wait: u64,
        cost: u32,
    },
    Pop,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4_usize, any::<bool>(), 1..2_000_u64, 1..20_u32).prop_map(
            |(account, draft, max_wait, cost)| Step::Offer { account, draft, max_wait, cost }
        ),
        2 => Just(Step::Pop),
        1 => (1..300_u64).prop_map(Step::Wait),
    ]
}

// For any sequence of calls, each request has exactly one outcome: refused on arrival, served
// before its deadline, or refused at its deadline.
#[test]
fn each_request_is_served_or_refused_exactly_once() {
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), seed);
    let steps = prop::collection::vec(step(), 1..120);
    runner
        .run(&steps, |steps| {
            let accounts = keys(4);
            let mut queue = AdmissionQueue::new(
                QueueLimits {
                    total: 30,
                    per_account: 12,
                },
                20.0,
            );
            let (mut now, mut offered, mut finished) = (0, 0, Vec::new());
            for step in steps {
                match step {
                    Step::Offer {
                        account,
                        draft,
                        max_wait,
                        cost,
                    } => {
                        let priority = if draft {
                            Priority::Draft
                        } else {
                            Priority::Interactive
                        };
                        let deadline = now + max_wait;
                        let request = QueuedRequest {
                            priority,
                            deadline,
                            cost,
                            ..request(accounts[account], 1, offered)
                        };
                        if queue.try_push(request, now).is_err() {
                            finished.push(offered);
                        }
                        offered += 1;
                    }
                    Step::Pop => finished.extend(queue.pop(now).map(|request| request.item)),
                    Step::Wait(ms) => now += ms,
                }
                let expired = queue.expire(now);
                prop_assert!(expired.iter().all(|(request, _)| request.deadline <= now));
                finished.extend(expired.iter().map(|(request, _)| request.item));
                prop_assert!(queue.next_expiry().is_none_or(|deadline| deadline > now));
                prop_assert_eq!(queue.len() + finished.len(), offered as usize);
            }
            while let Some(request) = queue.pop(now) {
                prop_assert!(request.deadline > now);
                finished.push(request.item);
            }
            finished.sort_unstable();
            prop_assert_eq!(finished, (0..offered).collect::<Vec<_>>());
            Ok(())
        })
        .unwrap();
}
