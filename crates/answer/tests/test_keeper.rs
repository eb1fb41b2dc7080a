//! Storing records at a keeper.

use std::time::Duration;

use celerypond_answer::{
    ChainDigest, Keeper, KeeperRecord, Origin, PutError, RecordError, StreamId,
};
use celerypond_types::{Attempt, TokenId};
use rstest::rstest;
use tokio::time::Instant;

fn record(attempt: u32, tokens: u32) -> KeeperRecord {
    let prefix: Vec<TokenId> = (0..tokens).map(TokenId).collect();
    KeeperRecord {
        key: "r".into(),
        origin: Origin {
            attempt: Attempt(attempt),
            stream: StreamId {
                target: "e1".into(),
                attempt: Attempt(attempt),
            },
            version: "v1".into(),
            seed: 1,
        },
        instance: "a".into(),
        digest: ChainDigest::of(&prefix),
        prefix,
        text: String::new(),
        remaining: 1000,
    }
}

// An instance that was paused while another one took over its request continues and stores its
// record again. If it replaced the later record, both instances would continue to drive the
// request.
#[rstest]
#[case::later_attempt_wins((1, 0), (2, 0), 2, false)]
#[case::earlier_attempt_is_fenced((2, 0), (1, 9), 2, true)]
#[case::same_attempt_is_renewed((2, 0), (2, 5), 2, false)]
fn higher_attempt_wins(
    #[case] (first, length): (u32, u32),
    #[case] (second, longer): (u32, u32),
    #[case] expected: u32,
    #[case] fenced: bool,
) {
    let now = Instant::now();
    let mut keeper = Keeper::default();
    assert_eq!(keeper.put(now, record(first, length)), Ok(()));
    let result = keeper.put(now, record(second, longer));
    assert_eq!(matches!(result, Err(PutError::Fenced(_))), fenced);
    assert_eq!(result.is_ok(), !fenced);
    assert_eq!(
        keeper.get(now, &"r".into()).unwrap().attempt(),
        Attempt(expected)
    );
    keeper.remove(&"r".into(), Attempt(expected - 1));
    assert_eq!(keeper.len(), 1, "an earlier driver removed the record");
    keeper.remove(&"r".into(), Attempt(expected));
    assert!(keeper.is_empty());
}

#[test]
fn record_expires_at_the_callers_deadline() {
    let now = Instant::now();
    let late = now + Duration::from_millis(1000);
    let mut keeper = Keeper::default();
    assert_eq!(keeper.put(now, record(9, 0)), Ok(()));
    assert!(keeper.get(late, &"r".into()).is_none());
    assert_eq!(
        keeper.put(late, record(1, 0)),
        Ok(()),
        "fenced by an expired record"
    );
    keeper.expire(late);
    assert_eq!(keeper.len(), 1);
    keeper.expire(late + Duration::from_millis(1000));
    assert!(keeper.is_empty());
}

#[test]
fn truncated_or_changed_record_is_rejected() {
    let whole = record(3, 4);
    let bytes = whole.encode();
    assert_eq!(KeeperRecord::decode(&bytes).unwrap(), whole);
    for length in 0..bytes.len() {
        assert!(
            KeeperRecord::decode(&bytes[..length]).is_err(),
            "truncated at {length}"
        );
    }
    let changed = KeeperRecord {
        prefix: vec![TokenId(7)],
        ..whole
    };
    let error = KeeperRecord::decode(&changed.encode());
    assert!(matches!(error, Err(RecordError::Digest)));
}

// A keeper without a memory limit could exhaust the memory of its instance, which would lose all
// answers that it drives.
#[test]
fn memory_is_limited_and_freed_after_expiry() {
    let now = Instant::now();
    let mut keeper = Keeper::new(10_000);
    let of = |at: usize| KeeperRecord {
        key: format!("r{at}").as_str().into(),
        ..record(1, 0)
    };
    let stored = (0..1_000)
        .filter(|at| keeper.put(now, of(*at)).is_ok())
        .count();
    assert!((20..40).contains(&stored), "{stored}");
    assert_eq!(keeper.put(now, of(1_000)), Err(PutError::Full));
    let later = now + Duration::from_millis(1000);
    assert_eq!(keeper.put(later, of(1_000)), Ok(()));
    assert_eq!(keeper.len(), 1);
}
