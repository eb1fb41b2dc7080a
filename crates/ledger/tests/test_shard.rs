//! Single steps of a shard that histories reach too seldom.

use std::time::Duration;

use celerypond_ledger::{
    Answer, Call, CallId, CallKey, Effect, ListReply, NotRunCodes, RequestFingerprint,
    ServiceResponse, Settings, Shard, ShardNumber, UnsentCall, WriteReply,
};
use celerypond_platform::Object;
use celerypond_types::{NotRunReason, Outcome};
use rstest::rstest;
use tokio::time::Instant;

use crate::store::Store;

const RETENTION: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(300);

/// A shard over a store that answers at once.
struct Node {
    shard: Shard,
    /// Effects that are not of the store.
    seen: Vec<Effect>,
}

impl Node {
    fn new(seed: u64, now: Instant) -> Self {
        let settings = Settings {
            retention: RETENTION,
            ..Settings::default()
        };
        Self {
            shard: Shard::new(ShardNumber(0), settings, seed, now),
            seen: Vec::new(),
        }
    }

    fn call(&mut self, store: &mut Store, id: u64, key: &str, now: Instant) {
        let effects = self.shard.handle_call(call(id, key, now), now);
        self.go(store, effects, now);
    }

    fn tick(&mut self, store: &mut Store, now: Instant) {
        let effects = self.shard.tick(now);
        self.go(store, effects, now);
    }

    fn go(&mut self, store: &mut Store, effects: Vec<Effect>, now: Instant) {
        for effect in effects {
            let next = match effect {
                Effect::List { .. } => {
                    let all = store.page("", usize::MAX);
                    self.shard.handle_list_reply(ListReply::Listed(all), now)
                }
                Effect::Get { key } => self.shard.handle_read_reply(store.get(&key), now),
                write @ (Effect::Create { .. } | Effect::Update { .. }) => {
                    self.shard.handle_write_reply(store.write(&write), now)
                }
                other => {
                    self.seen.push(other);
                    continue;
                }
            };
            self.go(store, next, now);
        }
    }

    /// Takes the permissions to send that came so far.
    fn unsent(&mut self) -> Vec<UnsentCall> {
        let seen = std::mem::take(&mut self.seen);
        let unsent = seen.into_iter().filter_map(|effect| match effect {
            Effect::Dispatch { unsent, .. } => Some(unsent),
            _ => None,
        });
        unsent.collect()
    }

    fn answer(&mut self, store: &mut Store, unsent: UnsentCall, body: Vec<u8>, now: Instant) {
        let sent = unsent.mark_sent(now).unwrap();
        let reply = ServiceResponse::new(200, "text/plain", body);
        let finished = sent.answered(reply, Duration::ZERO, &NotRunCodes::default());
        let effects = self.shard.handle_finished_call(finished, now);
        self.go(store, effects, now);
    }
}

fn call(id: u64, key: &str, now: Instant) -> Call {
    Call {
        id: CallId(id),
        key: CallKey::of(&"account".into(), &key.into()),
        fingerprint: RequestFingerprint::of("POST", "/holds", b""),
        send_by: now + Duration::from_secs(2),
        service_timeout: Duration::from_secs(5),
    }
}

// Twenty results, each as large as is kept, and the release of key "x" wait for the log; they do not
// fit into one batch. Then "x" is called again. Its new intent must not get into the log before the
// release of the old one, which would free the key while the new call runs.
#[test]
fn a_release_that_waits_for_room_comes_before_the_next_intent() {
    let (mut store, mut now) = (Store::new(), Instant::now());
    let mut a = Node::new(1, now);
    a.call(&mut store, 0, "first", now);
    for id in 1..21 {
        a.call(&mut store, id, &format!("k{id}"), now);
    }
    a.call(&mut store, 21, "x", now);
    now += STEP;
    a.tick(&mut store, now);
    let mut unsent = a.unsent();
    let x = unsent.pop().unwrap();
    for unsent in unsent {
        a.answer(&mut store, unsent, vec![b'x'; 16 << 10], now);
    }
    let refused = x.not_run(NotRunReason::NotConnected, Duration::ZERO);
    a.shard.handle_finished_call(refused, now);
    a.call(&mut store, 22, "x", now);
    for _ in 0..4 {
        now += STEP;
        a.tick(&mut store, now);
    }
    assert_eq!(a.unsent().len(), 1);
    let mut b = Node::new(2, now);
    b.call(&mut store, 23, "x", now);
    assert_eq!(b.unsent().len(), 0, "the call would run twice");
}

// A's write seems to fail as the store is down, but took effect. Its intent is in the log, and
// nobody else may say what became of it. Once A finds it, it frees the key, and a retry runs.
#[test]
fn an_intent_that_got_into_the_log_unseen_is_released_by_its_writer() {
    let (mut store, mut now) = (Store::new(), Instant::now());
    let mut a = Node::new(1, now);
    a.call(&mut store, 0, "other", now);
    now += STEP;
    let effects = a.shard.handle_call(call(1, "x", now), now);
    for write in &effects {
        store.write(write);
    }
    let effects = a.shard.handle_write_reply(WriteReply::NotApplied, now);
    a.go(&mut store, effects, now);
    let mut b = Node::new(2, now);
    b.call(&mut store, 2, "x", now);
    assert_eq!(b.unsent().len(), 0);
    a.unsent();
    for id in 3..6 {
        now += STEP;
        a.call(&mut store, id, &format!("k{id}"), now);
        b.tick(&mut store, now);
    }
    assert_eq!(b.unsent().len(), 1);
}

// A runs a call and hears nothing of the log while B writes many batches. A then has to list the log
// anew, and finds its own intent there. The call still runs, so the key must stay taken.
#[test]
fn a_running_call_keeps_its_key_over_a_new_list() {
    let (mut store, mut now) = (Store::new(), Instant::now());
    let (mut a, mut b) = (Node::new(1, now), Node::new(2, now));
    a.call(&mut store, 1, "x", now);
    assert_eq!(a.unsent().len(), 1);
    for id in 10..60 {
        now += Duration::from_millis(25);
        b.call(&mut store, id, &format!("k{id}"), now);
    }
    b.unsent();
    a.call(&mut store, 2, "y", now);
    now += STEP;
    a.tick(&mut store, now);
    assert_eq!(a.unsent().len(), 1);
    now += STEP;
    a.tick(&mut store, now);
    b.call(&mut store, 3, "x", now);
    assert_eq!(b.unsent().len(), 0, "the call would run twice");
}

// A's release of key "x" waits through an outage that is longer than keys are remembered. Meanwhile
// the key is forgotten and B runs a call of the same name. The release then arrives; it is about
// A's intent and must not free B's.
#[test]
fn a_late_release_frees_no_later_call() {
    let (mut store, mut now) = (Store::new(), Instant::now());
    let (mut a, mut b) = (Node::new(1, now), Node::new(2, now));
    a.call(&mut store, 1, "x", now);
    let x = a.unsent().pop().unwrap();
    a.shard
        .handle_finished_call(x.not_run(NotRunReason::NotConnected, Duration::ZERO), now);
    for id in 10..20 {
        now += RETENTION / 5;
        b.call(&mut store, id, &format!("k{id}"), now);
    }
    b.unsent();
    b.call(&mut store, 2, "x", now);
    now += STEP;
    b.tick(&mut store, now);
    assert_eq!(b.unsent().len(), 1, "the key was not forgotten");
    for _ in 0..4 {
        a.tick(&mut store, now);
        now += STEP;
    }
    let mut c = Node::new(3, now);
    c.call(&mut store, 3, "x", now);
    assert_eq!(c.unsent().len(), 0, "the call would run twice");
}

// A task of A hangs with the permission to send "x" until the key is forgotten, and A runs a new call
// of that name. The task then ends as not run. That is about the old intent: it must neither tell the
// new caller "not run" nor free the key while the new call runs.
#[test]
fn an_outcome_of_an_old_intent_ends_no_later_call() {
    let (mut store, mut now) = (Store::new(), Instant::now());
    let mut a = Node::new(1, now);
    a.call(&mut store, 1, "x", now);
    let old = a.unsent().pop().unwrap();
    for id in 10..24 {
        now += RETENTION / 5;
        a.call(&mut store, id, &format!("k{id}"), now);
    }
    a.unsent();
    a.call(&mut store, 2, "x", now);
    now += STEP;
    a.tick(&mut store, now);
    assert_eq!(a.unsent().len(), 1, "the key was not forgotten");
    let finished = old.not_run(NotRunReason::NotConnected, Duration::ZERO);
    let effects = a.shard.handle_finished_call(finished, now);
    a.go(&mut store, effects, now);
    now += STEP;
    a.tick(&mut store, now);
    assert!(a.seen.is_empty(), "the new caller was answered");
    let mut c = Node::new(3, now);
    c.call(&mut store, 3, "x", now);
    assert_eq!(c.unsent().len(), 0, "the call would run twice");
}

// B reads the list of the log page by page, while A writes and uses slots again, so the list mixes
// an early and a late state. Whatever it shows, a batch that B writes must be the next of the log, and
// must not be for a key that is remembered.
#[test]
fn a_list_read_while_others_write_leads_to_no_wrong_write() {
    let (mut store, mut now) = (Store::new(), Instant::now());
    let mut a = Node::new(1, now);
    let mut states: Vec<Vec<Object>> = Vec::new();
    for id in 0..40 {
        a.call(&mut store, id, &format!("k{id}"), now);
        a.unsent();
        now += RETENTION / 6;
        a.tick(&mut store, now);
        states.push(store.page("", usize::MAX));
    }
    let last = last_sequence(&store);
    for (early, late) in pairs(states.len()) {
        for split in 0..states[late].len() {
            let (early, late) = (&states[early], &states[late]);
            let mixed = early.iter().take(split).chain(late.iter().skip(split));
            let mixed: Vec<_> = mixed.cloned().collect();
            let after = write_after(&store, &mixed, "new", now);
            assert!(
                after.is_none_or(|after| after == last + 1),
                "a batch was overwritten"
            );
            let after = write_after(&store, &mixed, "k37", now);
            assert_eq!(after, None, "the call would run twice");
        }
    }
}

/// Lets a new instance read `list` and take a call; returns the last batch if its write succeeds.
fn write_after(store: &Store, list: &[Object], key: &str, now: Instant) -> Option<u64> {
    let mut b = Node::new(2, now).shard;
    b.handle_call(call(99, key, now), now);
    let effects = b.handle_list_reply(ListReply::Listed(list.to_vec()), now);
    let [write @ (Effect::Create { .. } | Effect::Update { .. })] = &effects[..] else {
        return None;
    };
    let mut copy = store.copy();
    let written = matches!(copy.write(write), WriteReply::Written(_));
    written.then(|| last_sequence(&copy))
}

fn pairs(count: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..count).flat_map(move |late| (0..late).map(move |early| (early, late)))
}

fn last_sequence(store: &Store) -> u64 {
    let sequences = store.objects.values().map(|object| {
        let batch: serde_json::Value = serde_json::from_slice(&object.value).unwrap();
        batch["sequence"].as_u64().unwrap()
    });
    sequences.max().unwrap()
}

// A caller uses one key for two different calls. Whatever stage the first is at, the second must not
// get its answer, which would be that of another request, nor be sent.
#[rstest]
#[case::waits_for_the_list(0)]
#[case::on_its_way_into_the_log(1)]
#[case::runs(2)]
#[case::has_ended(3)]
fn a_key_with_another_body_is_refused_at_every_stage(#[case] stage: usize) {
    let (mut store, now) = (Store::new(), Instant::now());
    let mut a = Node::new(1, now);
    let mut effects = a.shard.handle_call(call(1, "x", now), now);
    if stage > 0 {
        effects = a
            .shard
            .handle_list_reply(ListReply::Listed(Vec::new()), now);
    }
    if stage > 1 {
        a.go(&mut store, effects, now);
    }
    if stage > 2 {
        let unsent = a.unsent().pop().unwrap();
        a.answer(&mut store, unsent, Vec::new(), now);
    }
    let fingerprint = RequestFingerprint::of("POST", "/holds", b"another");
    let other = Call {
        fingerprint,
        ..call(2, "x", now)
    };
    let effects = a.shard.handle_call(other, now);
    let [Effect::Answer { id, answer }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!((*id, answer), (CallId(2), &Answer::KeyReused));
}

// While the store is down a caller waits no longer than it takes to say so, and hears when to come
// back. A call that needs no new intent is answered as ever.
#[test]
fn a_refusal_during_an_outage_is_immediate() {
    let (mut store, mut now) = (Store::new(), Instant::now());
    let mut a = Node::new(1, now);
    a.call(&mut store, 1, "x", now);
    now += STEP;
    a.shard.handle_call(call(2, "y", now), now);
    a.shard.handle_write_reply(WriteReply::NotApplied, now);
    let effects = a.shard.handle_call(call(3, "z", now), now);
    let [Effect::Answer { answer, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    let Answer::Outcome(Outcome::NotRun {
        reason,
        retry_after,
    }) = answer
    else {
        panic!("{answer:?}");
    };
    assert_eq!(*reason, NotRunReason::StoreDown);
    assert!(!retry_after.is_zero());
}
