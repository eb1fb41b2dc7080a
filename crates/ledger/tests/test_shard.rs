//! Cases of a shard that the random histories reach too rarely.

use std::time::Duration;

use celerypond_ledger::{
    Answer, Call, CallId, CallKey, Effect, ListReply, NotRunCodes, RequestFingerprint,
    ServiceResponse, Settings, Shard, ShardNumber, UnsentCall, WriteReply,
};
use celerypond_platform::Object;
use celerypond_types::{NotRunReason, Outcome};
use rstest::rstest;
use tokio::time::Instant;

use crate::memory_store::MemoryStore;

const RETENTION: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(300);

/// A shard with a store that replies immediately.
struct Instance {
    shard: Shard,
    /// Effects other than operations of the store.
    other_effects: Vec<Effect>,
}

impl Instance {
    fn new(seed: u64, now: Instant) -> Self {
        let settings = Settings {
            retention: RETENTION,
            ..Settings::default()
        };
        Self {
            shard: Shard::new(ShardNumber(0), settings, seed, now),
            other_effects: Vec::new(),
        }
    }

    fn call(&mut self, store: &mut MemoryStore, id: u64, key: &str, now: Instant) {
        let effects = self.shard.handle_call(call(id, key, now), now);
        self.carry_out(store, effects, now);
    }

    fn tick(&mut self, store: &mut MemoryStore, now: Instant) {
        let effects = self.shard.tick(now);
        self.carry_out(store, effects, now);
    }

    fn carry_out(&mut self, store: &mut MemoryStore, effects: Vec<Effect>, now: Instant) {
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
                    self.other_effects.push(other);
                    continue;
                }
            };
            self.carry_out(store, next, now);
        }
    }

    /// Returns the calls that the shard has handed out to be sent since the last time.
    fn take_unsent(&mut self) -> Vec<UnsentCall> {
        let other_effects = std::mem::take(&mut self.other_effects);
        let unsent = other_effects.into_iter().filter_map(|effect| match effect {
            Effect::Dispatch { unsent, .. } => Some(unsent),
            _ => None,
        });
        unsent.collect()
    }

    fn answer_call(
        &mut self,
        store: &mut MemoryStore,
        unsent: UnsentCall,
        body: Vec<u8>,
        now: Instant,
    ) {
        let sent = unsent.mark_sent(now).unwrap();
        let reply = ServiceResponse::new(200, "text/plain", body);
        let finished = sent.answered(reply, Duration::ZERO, &NotRunCodes::default());
        let effects = self.shard.handle_finished_call(finished, now);
        self.carry_out(store, effects, now);
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

// Guards against a release that frees a key while a later call with this key runs.
//
// Twenty results of the maximum stored size and the release of key "x" wait to be written; they do
// not fit into one batch. Then "x" is called again. Its new intent must not be written before the
// release of the old one.
#[test]
fn delayed_release_precedes_the_next_intent_of_its_key() {
    let (mut store, mut now) = (MemoryStore::new(), Instant::now());
    let mut a = Instance::new(1, now);
    a.call(&mut store, 0, "first", now);
    for id in 1..21 {
        a.call(&mut store, id, &format!("k{id}"), now);
    }
    a.call(&mut store, 21, "x", now);
    now += TICK;
    a.tick(&mut store, now);
    let mut unsent = a.take_unsent();
    let unsent_x = unsent.pop().unwrap();
    for unsent in unsent {
        a.answer_call(&mut store, unsent, vec![b'x'; 16 << 10], now);
    }
    let finished = unsent_x.not_run(NotRunReason::NotConnected, Duration::ZERO);
    a.shard.handle_finished_call(finished, now);
    a.call(&mut store, 22, "x", now);
    for _ in 0..4 {
        now += TICK;
        a.tick(&mut store, now);
    }
    assert_eq!(a.take_unsent().len(), 1);
    let mut b = Instance::new(2, now);
    b.call(&mut store, 23, "x", now);
    assert_eq!(b.take_unsent().len(), 0, "the call would run twice");
}

// Guards against a key that stays taken although its call was never sent.
//
// The store reports A's write as not applied, but it took effect. The intent is in the log, and only
// A may release it. Once A finds it there, it releases the key, and a retry runs.
#[test]
fn intent_of_a_write_reported_as_not_applied_is_released_by_its_writer() {
    let (mut store, mut now) = (MemoryStore::new(), Instant::now());
    let mut a = Instance::new(1, now);
    a.call(&mut store, 0, "other", now);
    now += TICK;
    let effects = a.shard.handle_call(call(1, "x", now), now);
    for write in &effects {
        store.write(write);
    }
    let effects = a.shard.handle_write_reply(WriteReply::NotApplied, now);
    a.carry_out(&mut store, effects, now);
    let mut b = Instance::new(2, now);
    b.call(&mut store, 2, "x", now);
    assert_eq!(b.take_unsent().len(), 0);
    a.take_unsent();
    for id in 3..6 {
        now += TICK;
        a.call(&mut store, id, &format!("k{id}"), now);
        b.tick(&mut store, now);
    }
    assert_eq!(b.take_unsent().len(), 1);
}

// Guards against the release of an intent whose call still runs.
//
// A runs a call and does not read the log while B writes many batches. A then lists the log and finds
// its own intent there.
#[test]
fn running_call_keeps_its_key_when_the_log_is_listed_again() {
    let (mut store, mut now) = (MemoryStore::new(), Instant::now());
    let (mut a, mut b) = (Instance::new(1, now), Instance::new(2, now));
    a.call(&mut store, 1, "x", now);
    assert_eq!(a.take_unsent().len(), 1);
    for id in 10..60 {
        now += Duration::from_millis(25);
        b.call(&mut store, id, &format!("k{id}"), now);
    }
    b.take_unsent();
    a.call(&mut store, 2, "y", now);
    now += TICK;
    a.tick(&mut store, now);
    assert_eq!(a.take_unsent().len(), 1);
    now += TICK;
    a.tick(&mut store, now);
    b.call(&mut store, 3, "x", now);
    assert_eq!(b.take_unsent().len(), 0, "the call would run twice");
}

// Guards against a late release that frees the key of another writer's call.
//
// A's release of key "x" is delayed for longer than keys are remembered. Meanwhile the key is
// forgotten and B runs a call with the same key. Then A writes its release.
#[test]
fn late_release_does_not_free_the_key_of_a_later_call() {
    let (mut store, mut now) = (MemoryStore::new(), Instant::now());
    let (mut a, mut b) = (Instance::new(1, now), Instance::new(2, now));
    a.call(&mut store, 1, "x", now);
    let unsent_x = a.take_unsent().pop().unwrap();
    a.shard.handle_finished_call(
        unsent_x.not_run(NotRunReason::NotConnected, Duration::ZERO),
        now,
    );
    for id in 10..20 {
        now += RETENTION / 5;
        b.call(&mut store, id, &format!("k{id}"), now);
    }
    b.take_unsent();
    b.call(&mut store, 2, "x", now);
    now += TICK;
    b.tick(&mut store, now);
    assert_eq!(b.take_unsent().len(), 1, "the key was not forgotten");
    for _ in 0..4 {
        a.tick(&mut store, now);
        now += TICK;
    }
    let mut c = Instance::new(3, now);
    c.call(&mut store, 3, "x", now);
    assert_eq!(c.take_unsent().len(), 0, "the call would run twice");
}

// Guards against an outcome that is applied to a later call with the same key.
//
// A task of A holds the permission to send "x" until the key is forgotten, and A runs a new call with
// this key. Then the task finishes as not run. The new caller must not be told "not run", and the key
// must not be released while the new call runs.
#[test]
fn outcome_of_an_old_intent_does_not_finish_a_later_call() {
    let (mut store, mut now) = (MemoryStore::new(), Instant::now());
    let mut a = Instance::new(1, now);
    a.call(&mut store, 1, "x", now);
    let old_unsent = a.take_unsent().pop().unwrap();
    for id in 10..24 {
        now += RETENTION / 5;
        a.call(&mut store, id, &format!("k{id}"), now);
    }
    a.take_unsent();
    a.call(&mut store, 2, "x", now);
    now += TICK;
    a.tick(&mut store, now);
    assert_eq!(a.take_unsent().len(), 1, "the key was not forgotten");
    let finished = old_unsent.not_run(NotRunReason::NotConnected, Duration::ZERO);
    let effects = a.shard.handle_finished_call(finished, now);
    a.carry_out(&mut store, effects, now);
    now += TICK;
    a.tick(&mut store, now);
    assert!(a.other_effects.is_empty(), "the new caller was answered");
    let mut c = Instance::new(3, now);
    c.call(&mut store, 3, "x", now);
    assert_eq!(c.take_unsent().len(), 0, "the call would run twice");
}

// Guards against a batch that overwrites another one, or repeats a call, after an inconsistent list.
//
// B lists the log page by page while A writes and reuses slots, so the list mixes an early and a late
// state. A batch that B then writes must be the next one of the log and must not contain an intent for
// a key that is remembered.
#[test]
fn inconsistent_list_does_not_lead_to_a_wrong_write() {
    let (mut store, mut now) = (MemoryStore::new(), Instant::now());
    let mut a = Instance::new(1, now);
    let mut states: Vec<Vec<Object>> = Vec::new();
    for id in 0..40 {
        a.call(&mut store, id, &format!("k{id}"), now);
        a.take_unsent();
        now += RETENTION / 6;
        a.tick(&mut store, now);
        states.push(store.page("", usize::MAX));
    }
    let last = last_sequence(&store);
    for (early, late) in ordered_pairs(states.len()) {
        for split in 0..states[late].len() {
            let (early, late) = (&states[early], &states[late]);
            let mixed = early.iter().take(split).chain(late.iter().skip(split));
            let mixed: Vec<_> = mixed.cloned().collect();
            let appended = append_after_listing(&store, &mixed, "new", now);
            assert!(
                appended.is_none_or(|appended| appended == last + 1),
                "a batch was overwritten"
            );
            let appended = append_after_listing(&store, &mixed, "k37", now);
            assert_eq!(appended, None, "the call would run twice");
        }
    }
}

/// Lets a new instance load `list` and handle a call. Returns the sequence number of the last batch if
/// the instance writes one successfully.
fn append_after_listing(
    store: &MemoryStore,
    list: &[Object],
    key: &str,
    now: Instant,
) -> Option<u64> {
    let mut b = Instance::new(2, now).shard;
    b.handle_call(call(99, key, now), now);
    let effects = b.handle_list_reply(ListReply::Listed(list.to_vec()), now);
    let [write @ (Effect::Create { .. } | Effect::Update { .. })] = &effects[..] else {
        return None;
    };
    let mut copy = store.copy();
    let written = matches!(copy.write(write), WriteReply::Written(_));
    written.then(|| last_sequence(&copy))
}

fn ordered_pairs(count: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..count).flat_map(move |late| (0..late).map(move |early| (early, late)))
}

fn last_sequence(store: &MemoryStore) -> u64 {
    let sequences = store.objects.values().map(|object| {
        let batch: serde_json::Value = serde_json::from_slice(&object.value).unwrap();
        batch["sequence"].as_u64().unwrap()
    });
    sequences.max().unwrap()
}

// Guards against a caller that uses one key for two different requests and gets the response to the
// other one. The second call must not be sent either.
#[rstest]
#[case::waiting_for_the_list(0)]
#[case::writing_the_intent(1)]
#[case::running(2)]
#[case::finished(3)]
fn key_reused_for_another_request_is_refused_at_every_stage(#[case] stage: usize) {
    let (mut store, now) = (MemoryStore::new(), Instant::now());
    let mut a = Instance::new(1, now);
    let mut effects = a.shard.handle_call(call(1, "x", now), now);
    if stage > 0 {
        effects = a
            .shard
            .handle_list_reply(ListReply::Listed(Vec::new()), now);
    }
    if stage > 1 {
        a.carry_out(&mut store, effects, now);
    }
    if stage > 2 {
        let unsent = a.take_unsent().pop().unwrap();
        a.answer_call(&mut store, unsent, Vec::new(), now);
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

// Guards against callers that wait until their deadline while the store is down. They must be refused
// immediately, with the time to retry after. Calls that need no new intent are still answered.
#[test]
fn call_during_an_outage_is_refused_immediately() {
    let (mut store, mut now) = (MemoryStore::new(), Instant::now());
    let mut a = Instance::new(1, now);
    a.call(&mut store, 1, "x", now);
    now += TICK;
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
