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

fn waiting(account: AccountKey, weight: u32, item: u32) -> QueuedRequest<u32> {
    QueuedRequest {
        account,
        weight,
        priority: Priority::Interactive,
        cost: 1,
        deadline: u64::MAX / 2,
        item,
    }
}

// One account floods the queue before the others come. First in, first out, the others would wait
// behind the whole flood; fairly queued, each gets its weight of what is served.
#[rstest]
#[case::equal([1, 1, 1], [40, 40, 40])]
#[case::weighted([1, 1, 4], [20, 20, 80])]
fn accounts_get_their_weight(#[case] weights: [u32; 3], #[case] served: [u32; 3]) {
    let accounts = keys(3);
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 1_000.0);
    for (account, weight) in accounts.iter().zip(weights) {
        for _ in 0..200 {
            queue.try_push(waiting(*account, weight, 0), 0).unwrap();
        }
    }
    let taken: Vec<_> = (0..120).map_while(|at| queue.pop(at)).collect();
    for (account, count) in accounts.iter().zip(served) {
        let of = taken.iter().filter(|one| one.account == *account).count();
        assert!(of.abs_diff(count as usize) <= 1, "{of}");
    }
}

#[test]
fn costs_count_and_not_requests() {
    let accounts = keys(2);
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 1_000.0);
    for at in 0..200 {
        queue
            .try_push(
                QueuedRequest {
                    cost: 10,
                    ..waiting(accounts[0], 1, at)
                },
                0,
            )
            .unwrap();
        queue.try_push(waiting(accounts[1], 1, at), 0).unwrap();
    }
    let taken = (0..110).map_while(|at| queue.pop(at));
    let dear = taken.filter(|one| one.account == accounts[0]).count();
    assert!((9..=11).contains(&dear), "{dear}");
}

#[test]
fn interactive_requests_go_first_and_drafts_do_not_starve() {
    let account = keys(1)[0];
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 1_000.0);
    for at in 0..100 {
        let draft = Priority::Draft;
        queue
            .try_push(
                QueuedRequest {
                    priority: draft,
                    ..waiting(account, 1, at)
                },
                0,
            )
            .unwrap();
        queue.try_push(waiting(account, 1, at), 0).unwrap();
    }
    let taken: Vec<_> = (0..80).map_while(|at| queue.pop(at)).collect();
    assert!(taken[..7]
        .iter()
        .all(|one| one.priority == Priority::Interactive));
    let drafts = taken.iter().filter(|one| one.priority == Priority::Draft);
    assert_eq!(drafts.count(), 10);
    let urgent = queue.pop_interactive(80).unwrap();
    assert_eq!(urgent.priority, Priority::Interactive);
}

#[test]
fn a_queue_is_bounded_in_all_and_for_each_account() {
    let accounts = keys(2);
    let limits = QueueLimits {
        total: 5,
        per_account: 3,
    };
    let mut queue = AdmissionQueue::new(limits, 1_000.0);
    let mut offer = |account| queue.try_push(waiting(account, 1, 0), 0).is_ok();
    assert_eq!(
        [0; 4].map(|_| offer(accounts[0])),
        [true, true, true, false]
    );
    assert_eq!([0; 3].map(|_| offer(accounts[1])), [true, true, false]);
}

// Targets stand still. Requests that wait are refused when their deadline comes, and new ones at
// once, since a standstill is expected to last.
#[test]
fn a_standstill_refuses_new_requests_at_once() {
    let account = keys(1)[0];
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 100.0);
    queue
        .try_push(
            QueuedRequest {
                deadline: 3_000,
                ..waiting(account, 1, 1)
            },
            0,
        )
        .unwrap();
    let refused = queue.try_push(
        QueuedRequest {
            deadline: 4_000,
            ..waiting(account, 1, 2)
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

// Ten times more comes than can be served. A request that is let in and refused when its deadline
// comes has cost its caller the time to go elsewhere, so nearly all are refused when they come. One
// account asks for most of it, the others get what they ask for, and drafts get their turns.
#[rstest]
fn under_overload_refusals_come_at_once(#[values(1, 2, 3)] seed: u64) {
    let mut rng = crate::test_fixture::rng(seed);
    let accounts = keys(5);
    let mut queue = AdmissionQueue::new(QueueLimits::default(), 200.0);
    let (mut refused, mut late) = (0, 0);
    let (mut starts, mut drafts, mut small) = (0, 0, 0);
    for ms in 0..30_000 {
        // About two requests a millisecond come, and one in 5 ms starts.
        for item in 0..2 {
            let account = if rng.random_bool(0.95) {
                0
            } else {
                rng.random_range(1..5)
            };
            let draft = rng.random_bool(0.3);
            let (priority, patience) = match draft {
                true => (Priority::Draft, 8_000),
                false => (Priority::Interactive, 2_000),
            };
            let one = waiting(accounts[account], 1, item);
            let one = QueuedRequest {
                priority,
                deadline: ms + patience,
                ..one
            };
            refused += usize::from(queue.try_push(one, ms).is_err());
        }
        late += queue.expire(ms).len();
        if ms % 5 == 0 {
            // Now and then there is only room for interactive requests.
            let one = if rng.random_bool(0.8) {
                queue.pop_interactive(ms)
            } else {
                queue.pop(ms)
            };
            starts += usize::from(one.is_some());
            drafts += usize::from(one.is_some_and(|one| one.priority == Priority::Draft));
            small += usize::from(one.is_some_and(|one| one.account != accounts[0]));
        }
    }
    assert!(late * 100 < refused, "{late} of {refused} late");
    // A draft's turn is one in eight.
    assert!(drafts * 9 > starts, "{drafts} of {starts}");
    assert!(small > 2_000, "{small}");
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer {
        account: usize,
        draft: bool,
        patience: u64,
        cost: u32,
    },
    Pop,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4_usize, any::<bool>(), 1..2_000_u64, 1..20_u32).prop_map(
            |(account, draft, patience, cost)| Step::Offer { account, draft, patience, cost }
        ),
        2 => Just(Step::Pop),
        1 => (1..300_u64).prop_map(Step::Wait),
    ]
}

// Whatever comes in whatever order, each request is refused when offered, served before its
// deadline, or refused when its deadline comes: exactly one of them, and nothing is kept back.
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
            let (mut now, mut offered, mut ends) = (0, 0, Vec::new());
            for step in steps {
                match step {
                    Step::Offer {
                        account,
                        draft,
                        patience,
                        cost,
                    } => {
                        let priority = if draft {
                            Priority::Draft
                        } else {
                            Priority::Interactive
                        };
                        let deadline = now + patience;
                        let one = QueuedRequest {
                            priority,
                            deadline,
                            cost,
                            ..waiting(accounts[account], 1, offered)
                        };
                        if queue.try_push(one, now).is_err() {
                            ends.push(offered);
                        }
                        offered += 1;
                    }
                    Step::Pop => ends.extend(queue.pop(now).map(|one| one.item)),
                    Step::Wait(ms) => now += ms,
                }
                let late = queue.expire(now);
                prop_assert!(late.iter().all(|(one, _)| one.deadline <= now));
                ends.extend(late.iter().map(|(one, _)| one.item));
                prop_assert!(queue.next_expiry().is_none_or(|at| at > now));
                prop_assert_eq!(queue.len() + ends.len(), offered as usize);
            }
            while let Some(one) = queue.pop(now) {
                prop_assert!(one.deadline > now);
                ends.push(one.item);
            }
            ends.sort_unstable();
            prop_assert_eq!(ends, (0..offered).collect::<Vec<_>>());
            Ok(())
        })
        .unwrap();
}
