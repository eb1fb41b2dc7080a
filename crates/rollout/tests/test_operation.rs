//! Operations of operators, alone and racing.

use celerypond_bundle::{Bundle, FORMAT};
use celerypond_rollout::{
    approval_key, parse_json, Action, AuditRecord, CurrentBundle, Operation, OperationError,
    OperationOutcome, OperationRequest, OperationStep, Signature, StoreCall, StoreReply,
    AUDIT_PREFIX, CURRENT_KEY,
};
use celerypond_types::{Digest, Revision};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rstest::rstest;

use crate::fake_store::{FakeStore, Faults};

pub(crate) fn bundle(title: &str) -> Bundle {
    Bundle {
        format: FORMAT,
        title: title.into(),
        targets: Vec::new(),
        models: Vec::new(),
        services: Vec::new(),
        accounts: Vec::new(),
    }
}

pub(crate) fn signed(operator: &str, nonce: u64) -> Signature {
    Signature {
        operator: operator.into(),
        at_ms: 1_000 + nonce,
        nonce,
    }
}

pub(crate) fn roll(digest: Digest) -> OperationRequest {
    OperationRequest::Roll {
        digest,
        expected: None,
    }
}

/// Returns a store with bundles that `aigul` submitted and `bolat` approved, and their digests.
pub(crate) fn approved(titles: &[&str]) -> (FakeStore, Vec<Digest>) {
    let mut store = FakeStore::default();
    let mut digests = Vec::new();
    for (at, title) in titles.iter().enumerate() {
        let bundle = bundle(title);
        let digest = bundle.digest();
        let nonce = 2 * at as u64;
        let submit = OperationRequest::Submit(Box::new(bundle));
        store.run(submit, signed("aigul", nonce)).unwrap();
        store
            .run(
                OperationRequest::Approve(digest),
                signed("bolat", nonce + 1),
            )
            .unwrap();
        digests.push(digest);
    }
    (store, digests)
}

fn audits(store: &FakeStore) -> Vec<AuditRecord> {
    let records = store
        .objects
        .iter()
        .filter(|(key, _)| key.starts_with(AUDIT_PREFIX));
    records
        .map(|(_, (_, value))| parse_json(value).unwrap())
        .collect()
}

#[test]
fn rolled_bundle_has_a_complete_audit_trail() {
    let (mut store, digests) = approved(&["first"]);
    let done = store.run(roll(digests[0]), signed("dana", 9)).unwrap();
    assert!(matches!(
        done,
        OperationOutcome::Rolled(CurrentBundle {
            revision: Revision(1),
            ..
        })
    ));
    let steps: Vec<_> = audits(&store)
        .into_iter()
        .map(|audit| (audit.action, audit.signature.operator.to_string()))
        .collect();
    let rolled = Action::Rolled {
        revision: Revision(1),
        previous: None,
    };
    let wanted = [
        (Action::Submitted, "aigul".to_owned()),
        (Action::Approved, "bolat".to_owned()),
        (rolled, "dana".to_owned()),
    ];
    assert_eq!(steps, wanted);
}

#[rstest]
#[case::approved_by_the_submitter(OperationRequest::Approve(bundle("a").digest()), "aigul", OperationError::SelfApproval)]
#[case::unknown_bundle(
    OperationRequest::Approve(Digest::of(b"")),
    "bolat",
    OperationError::BundleNotFound(Digest::of(b""))
)]
#[case::rolled_without_approval(roll(bundle("a").digest()), "dana", OperationError::NotApproved(bundle("a").digest()))]
fn operation_without_valid_approval_is_refused(
    #[case] request: OperationRequest,
    #[case] operator: &str,
    #[case] error: OperationError,
) {
    let mut store = FakeStore::default();
    let submit = OperationRequest::Submit(Box::new(bundle("a")));
    store.run(submit, signed("aigul", 1)).unwrap();
    assert_eq!(store.run(request, signed(operator, 2)), Err(error));
    assert!(!store.objects.contains_key(CURRENT_KEY));
}

#[test]
fn approval_of_other_content_does_not_count() {
    // The approval of one bundle is stored under the key of another. The approval contains the
    // digest of the approved content, so the roll of the other bundle must be refused.
    let (mut store, digests) = approved(&["seen", "unseen"]);
    let seen = store.objects[&approval_key(digests[0])].clone();
    store.objects.insert(approval_key(digests[1]), seen);
    let end = store.run(roll(digests[1]), signed("dana", 9));
    assert_eq!(end, Err(OperationError::NotApproved(digests[1])));
}

#[test]
fn rolling_an_earlier_bundle_again_raises_the_revision() {
    let (mut store, digests) = approved(&["old", "new"]);
    for (nonce, at) in [(10, 0), (11, 1), (12, 0)] {
        store.run(roll(digests[at]), signed("dana", nonce)).unwrap();
    }
    let current: CurrentBundle = parse_json(&store.objects[CURRENT_KEY].1).unwrap();
    assert_eq!(
        (current.revision, current.digest),
        (Revision(3), digests[0])
    );
    assert_eq!(current.previous, Some(digests[1]));
}

/// Runs several operations with their calls interleaved; a crash ends an operation after its
/// current call.
fn interleave(
    store: &mut FakeStore,
    requests: &[(OperationRequest, Signature)],
    faults: Faults,
    crash_probability: f64,
    rng: &mut SmallRng,
) -> Vec<Option<Result<OperationOutcome, OperationError>>> {
    let mut ends = vec![None; requests.len()];
    let mut open: Vec<(usize, Operation, StoreCall)> = Vec::new();
    for (at, (request, signature)) in requests.iter().enumerate() {
        let (operation, step) = Operation::begin(request.clone(), signature.clone());
        let OperationStep::Call(call) = step else {
            panic!()
        };
        open.push((at, operation, call));
    }
    while !open.is_empty() {
        let (at, mut operation, call) = open.swap_remove(rng.random_range(0..open.len()));
        if rng.random_bool(crash_probability) {
            store.call(&call);
            continue;
        }
        let reply = store.call_with_faults(&call, faults, rng);
        match operation.reply(reply) {
            OperationStep::Call(call) => open.push((at, operation, call)),
            OperationStep::Finished(end) => ends[at] = Some(end),
        }
    }
    ends
}

#[test]
fn racing_operators_get_correct_outcomes_despite_lost_replies() {
    // Three operators roll at once while calls are refused, replies are lost before and after the
    // call takes effect, and daemons crash between calls. Each outcome must match the audit trail,
    // and the trail must be complete after the next roll.
    let faults = Faults {
        down: 0.03,
        lost: 0.2,
    };
    let (mut rolled, mut lost_race, mut unknown) = (0, 0, 0);
    for seed in 0..1_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut store, digests) = approved(&["a", "b", "c"]);
        let mut nonce = 100;
        let mut results = Vec::new();
        for _ in 0..3 {
            let requests: Vec<_> = digests
                .iter()
                .map(|digest| {
                    nonce += 1;
                    (roll(*digest), signed("dana", nonce))
                })
                .collect();
            let ends = interleave(&mut store, &requests, faults, 0.02, &mut rng);
            for (end, (_, signature)) in ends.iter().zip(&requests) {
                match end {
                    Some(Ok(OperationOutcome::Rolled(_))) => {
                        (results.push((true, signature.nonce)), rolled += 1).1
                    }
                    Some(
                        Ok(OperationOutcome::LostRace { .. }) | Err(OperationError::StoreDown),
                    ) => {
                        results.push((false, signature.nonce));
                        lost_race += 1;
                    }
                    Some(Err(OperationError::OutcomeUnknown)) | None => unknown += 1,
                    other => panic!("seed {seed}: {other:?}"),
                }
            }
        }
        store.run(roll(digests[0]), signed("dana", 999)).unwrap();
        let trail = audits(&store);
        let rolls: Vec<_> = trail
            .iter()
            .filter_map(|audit| match audit.action {
                Action::Rolled { revision, .. } => Some((revision.0, audit.signature.nonce)),
                _ => None,
            })
            .collect();
        let revisions: Vec<_> = rolls.iter().map(|roll| roll.0).collect();
        let all: Vec<_> = (1..=revisions.len() as u64).collect();
        assert_eq!(revisions, all, "seed {seed}: an audit record is missing");
        for (has_won, nonce) in results {
            let took_effect = rolls.iter().any(|roll| roll.1 == nonce);
            assert_eq!(
                has_won, took_effect,
                "seed {seed}: wrong outcome for nonce {nonce}"
            );
        }
    }
    assert!(
        rolled > 1_000 && lost_race > 1_000 && unknown > 100,
        "{rolled} {lost_race} {unknown}"
    );
}

#[test]
fn stale_read_after_a_conflict_is_not_the_winner() {
    // A roll loses a race. The read after the conflict comes from a lagging replica and returns the
    // bundle from before the race, which must not be reported as the winner; only the next read
    // returns it.
    let (mut store, digests) = approved(&["old", "mine", "theirs"]);
    store.run(roll(digests[0]), signed("dana", 50)).unwrap();
    let old = store.clone().call(&StoreCall::read(CURRENT_KEY));
    let (mut operation, mut step) = Operation::begin(roll(digests[1]), signed("dana", 51));
    let mut stale = Some(old);
    let mut conflicts = 0;
    let end = loop {
        let OperationStep::Call(call) = step else {
            break step;
        };
        if call.key() == CURRENT_KEY && matches!(call, StoreCall::Write { .. }) {
            store.run(roll(digests[2]), signed("erlan", 52)).unwrap();
        }
        let is_stale = conflicts > 0 && stale.is_some();
        let reply = if is_stale {
            stale.take().unwrap()
        } else {
            store.call(&call)
        };
        conflicts += u32::from(reply == StoreReply::Conflict && call.key() == CURRENT_KEY);
        step = operation.reply(reply);
    };
    let OperationStep::Finished(Ok(OperationOutcome::LostRace {
        winner: Some(winner),
    })) = end
    else {
        panic!("{end:?}")
    };
    assert_eq!(winner.digest, digests[2]);
}
