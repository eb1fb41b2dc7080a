//! The operators' steps, alone and racing.

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

/// A store in which each of these bundles was submitted by `aigul` and approved by `bolat`.
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
fn a_bundle_in_force_leaves_its_whole_trail() {
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
#[case::by_the_submitter(OperationRequest::Approve(bundle("a").digest()), "aigul", OperationError::SelfApproval)]
#[case::of_nothing(
    OperationRequest::Approve(Digest::of(b"")),
    "bolat",
    OperationError::BundleNotFound(Digest::of(b""))
)]
#[case::without_approval(roll(bundle("a").digest()), "dana", OperationError::NotApproved(bundle("a").digest()))]
fn a_step_that_is_not_signed_off_is_refused(
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
fn an_approval_of_other_content_signs_nothing_off() {
    // The caller sees a roll refused. Someone put the approval of one bundle under the key of
    // another; the approval names the digest that was really read, so the two differ.
    let (mut store, digests) = approved(&["seen", "unseen"]);
    let seen = store.objects[&approval_key(digests[0])].clone();
    store.objects.insert(approval_key(digests[1]), seen);
    let end = store.run(roll(digests[1]), signed("dana", 9));
    assert_eq!(end, Err(OperationError::NotApproved(digests[1])));
}

#[test]
fn a_digest_taken_back_is_rolled_under_a_higher_revision() {
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

/// Runs steps of several operators with their calls interleaved; a killed step just stops.
fn interleave(
    store: &mut FakeStore,
    requests: &[(OperationRequest, Signature)],
    faults: Faults,
    killed: f64,
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
        if rng.random_bool(killed) {
            store.call(&call);
            continue;
        }
        let reply = store.faulty(&call, faults, rng);
        match operation.reply(reply) {
            OperationStep::Call(call) => open.push((at, operation, call)),
            OperationStep::Finished(end) => ends[at] = Some(end),
        }
    }
    ends
}

#[test]
fn racing_operators_learn_the_truth_under_lost_replies() {
    // Three operators roll at once and each sees that it won, that it was outrun and by whom, or
    // that this is not known. Replies are lost before and after the effect, calls are refused and
    // daemons die between any two calls. The next roll finds the trail of all before it complete.
    let faults = Faults {
        down: 0.03,
        lost: 0.2,
    };
    let (mut rolled, mut outrun, mut unknown) = (0, 0, 0);
    for seed in 0..1_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut store, digests) = approved(&["a", "b", "c"]);
        let mut nonce = 100;
        let mut won = Vec::new();
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
                        (won.push((true, signature.nonce)), rolled += 1).1
                    }
                    Some(
                        Ok(OperationOutcome::LostRace { .. }) | Err(OperationError::StoreDown),
                    ) => {
                        won.push((false, signature.nonce));
                        outrun += 1;
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
        assert_eq!(revisions, all, "seed {seed}: the trail has a hole");
        for (is_won, nonce) in won {
            let took_effect = rolls.iter().any(|roll| roll.1 == nonce);
            assert_eq!(
                is_won, took_effect,
                "seed {seed}: nonce {nonce} was told otherwise"
            );
        }
    }
    assert!(
        rolled > 1_000 && outrun > 1_000 && unknown > 100,
        "{rolled} {outrun} {unknown}"
    );
}

#[test]
fn a_stale_read_back_is_not_taken_for_the_winner() {
    // The caller loses a race and is told who won. The read after the conflict is served by a copy
    // that lags, and shows the bundle from before the race; only the second read shows the winner.
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
