//! A rolled bundle comes into force on all instances and never reverts.

use std::time::Duration;

use celerypond_rollout::{
    bundle_key, is_watcher, parse_json, AcceptError, BundleHeader, BundleTracker, Condition,
    CurrentBundle, OperationRequest, Source, StoreCall, StoreReply, Submission, CURRENT_KEY,
};
use celerypond_types::{InstanceName, Revision};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

use crate::{
    fake_store::FakeStore,
    test_operation::{approved, bundle, roll, signed},
};

const TICK: Duration = Duration::from_millis(50);
const INSTANCES: usize = 7;
/// Maximum number of ticks until all instances have a bundle that one of them knows: 5 s.
const MAX_TICKS: usize = 100;

struct FakeInstance {
    name: InstanceName,
    tracker: BundleTracker,
    highest_served: Revision,
}

struct Fleet {
    store: FakeStore,
    instances: Vec<FakeInstance>,
    now: Instant,
    rng: SmallRng,
    /// Reply of a stale read of the current bundle.
    stale_reply: Option<StoreReply>,
    waits_until_ready: bool,
    watchers: Vec<bool>,
}

impl Fleet {
    fn new(store: FakeStore, seed: u64) -> Self {
        let instance = |at: usize| FakeInstance {
            name: InstanceName::new(format!("i{at}")),
            tracker: BundleTracker::default(),
            highest_served: Revision(0),
        };
        let instances: Vec<_> = (0..INSTANCES).map(instance).collect();
        let names: Vec<_> = instances
            .iter()
            .map(|instance| instance.name.clone())
            .collect();
        let live: Vec<_> = names
            .iter()
            .map(|name| (name.clone(), "almaty".into()))
            .collect();
        Self {
            store,
            instances,
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            stale_reply: None,
            waits_until_ready: true,
            watchers: names
                .iter()
                .map(|name| is_watcher(name, &"almaty".into(), &live))
                .collect(),
        }
    }

    fn names(&self) -> Vec<InstanceName> {
        self.instances
            .iter()
            .map(|instance| instance.name.clone())
            .collect()
    }

    fn read_current(&mut self, at: usize) {
        let is_stale = self.rng.random_bool(0.2);
        let fresh = self.store.call(&StoreCall::read(CURRENT_KEY));
        let reply = self
            .stale_reply
            .clone()
            .filter(|_| is_stale && !self.store.down)
            .unwrap_or(fresh);
        if let StoreReply::Found { value, .. } = reply {
            let current: CurrentBundle = parse_json(&value).unwrap();
            self.instances[at]
                .tracker
                .note_header(current.header(), Source::Store);
            if !is_stale {
                self.instances[at].tracker.mark_answered(Source::Store);
            }
        }
    }

    fn gossip(&mut self, at: usize) {
        let peer = self.rng.random_range(0..INSTANCES);
        if let Some(header) = self.instances[at].tracker.newest_header().cloned() {
            let from = Source::Peer(self.instances[at].name.clone());
            self.instances[peer]
                .tracker
                .note_header(header, from.clone());
            self.instances[peer].tracker.mark_answered(from);
        }
    }

    fn fetch(&mut self, at: usize) {
        let names = self.names();
        let source = self.instances[at]
            .tracker
            .next_fetch(self.now, &names, &mut self.rng);
        let bundle = match source {
            Some((Source::Store, digest)) => {
                match self.store.call(&StoreCall::read(bundle_key(digest))) {
                    StoreReply::Found { value, .. } => {
                        Some(parse_json::<Submission>(&value).unwrap().bundle)
                    }
                    _ => None,
                }
            }
            Some((Source::Peer(peer), digest)) => {
                let instance = self
                    .instances
                    .iter()
                    .find(|instance| instance.name == peer)
                    .unwrap();
                let active = instance.tracker.active();
                active
                    .filter(|(header, _)| header.digest == digest)
                    .map(|(_, bundle)| (**bundle).clone())
            }
            None => None,
        };
        if let Some(bundle) = bundle {
            self.instances[at].tracker.accept_bundle(bundle).unwrap();
        }
    }

    /// Runs watches, polls, gossip and fetches for one tick; checks that no instance serves an
    /// older revision than before.
    fn tick(&mut self) {
        self.now += TICK;
        let names = self.names();
        for at in 0..INSTANCES {
            let is_watcher = self.watchers[at];
            let is_due = self.instances[at].tracker.poll_due(self.now, &mut self.rng);
            if is_watcher || is_due {
                self.read_current(at);
            }
            if self.rng.random_bool(0.25) {
                self.gossip(at);
            }
            self.fetch(at);
            let peers: Vec<_> = names
                .iter()
                .filter(|name| **name != names[at])
                .cloned()
                .collect();
            let instance = &mut self.instances[at];
            let serves = !self.waits_until_ready || instance.tracker.is_ready(&peers);
            if serves && instance.tracker.active().is_some() {
                let revision = instance.tracker.revision();
                assert!(
                    revision >= instance.highest_served,
                    "{} reverted from {} to {revision}",
                    instance.name,
                    instance.highest_served
                );
                instance.highest_served = revision;
            }
        }
    }

    fn restart(&mut self, at: usize) {
        self.instances[at].tracker = BundleTracker::default();
    }
}

#[rstest]
#[case::the_store_stays_up(false, false)]
#[case::the_store_goes_down_right_after_the_roll(true, false)]
#[case::instances_restart_during_the_outage(true, true)]
fn rolled_bundle_reaches_all_instances_and_never_reverts(
    #[case] down: bool,
    #[case] restarts: bool,
) {
    // Callers must not see the rules of an older bundle again. Some reads of the store are stale,
    // the store goes down right after one instance got the bundle, restarted instances know
    // nothing, and lagging peers announce older bundles.
    for seed in 0..60 {
        let (store, digests) = approved(&["a", "b", "c"]);
        let mut fleet = Fleet::new(store, seed);
        for (round, digest) in digests.iter().enumerate() {
            fleet.store.down = false;
            fleet.stale_reply = Some(fleet.store.call(&StoreCall::read(CURRENT_KEY)));
            fleet
                .store
                .run(roll(*digest), signed("dana", 20 + round as u64))
                .unwrap();
            let value = fleet.store.objects[CURRENT_KEY].1.clone();
            let current: CurrentBundle = parse_json(&value).unwrap();
            // The instance that performed the roll knows the bundle.
            let entry = fleet.rng.random_range(0..INSTANCES);
            fleet.instances[entry]
                .tracker
                .note_header(current.header(), Source::Store);
            fleet.fetch(entry);
            fleet.store.down = down;
            for tick in 0..MAX_TICKS {
                if restarts && tick == 20 {
                    let at = (entry + 1) % INSTANCES;
                    fleet.restart(at);
                }
                fleet.tick();
            }
            for instance in &fleet.instances {
                assert_eq!(
                    instance.tracker.revision(),
                    current.revision,
                    "seed {seed}: {}",
                    instance.name
                );
            }
        }
    }
}

#[test]
fn restarted_instance_waits_for_all_peers_while_the_store_is_down() {
    // The instance served revision 2 and restarts while the store is down. The first peer that
    // answers still has revision 1. If the instance served then, its callers would see the older
    // bundle again.
    let header = |revision, title: &str| BundleHeader {
        revision: Revision(revision),
        digest: bundle(title).digest(),
        parts: Default::default(),
    };
    let (slow, quick) = (InstanceName::new("slow"), InstanceName::new("quick"));
    let peers = [slow.clone(), quick.clone()];
    let mut instance = BundleTracker::default();
    for (peer, revision, title) in [(slow, 1, "a"), (quick, 2, "b")] {
        assert!(!instance.is_ready(&peers));
        instance.note_header(header(revision, title), Source::Peer(peer.clone()));
        instance.mark_answered(Source::Peer(peer));
        instance.accept_bundle(bundle(title)).unwrap();
    }
    assert!(instance.is_ready(&peers) && instance.revision() == Revision(2));
}

#[test]
fn bundle_with_wrong_digest_is_not_accepted() {
    let mut instance = BundleTracker::default();
    let wanted = bundle("a").digest();
    let header = BundleHeader {
        revision: Revision(1),
        digest: wanted,
        parts: Default::default(),
    };
    instance.note_header(header, Source::Store);
    let found = bundle("b").digest();
    assert_eq!(
        instance.accept_bundle(bundle("b")),
        Err(AcceptError::DigestMismatch { wanted, found })
    );
    assert_eq!(instance.revision(), Revision(0));
    instance.accept_bundle(bundle("a")).unwrap();
    assert_eq!(instance.revision(), Revision(1));
}

#[test]
fn roll_without_change_of_a_model_keeps_its_origin() {
    let mut store = FakeStore::default();
    let mut origins = Vec::new();
    for (at, (title, percent)) in [("a", 0), ("b", 0), ("c", 50)].into_iter().enumerate() {
        let bundle = crate::test_share_increase::with_model(title, "v1", percent);
        let digest = bundle.digest();
        let nonce = 10 * at as u64;
        store
            .run(
                OperationRequest::Submit(Box::new(bundle)),
                signed("aigul", nonce),
            )
            .unwrap();
        store
            .run(
                OperationRequest::Approve(digest),
                signed("bolat", nonce + 1),
            )
            .unwrap();
        store.run(roll(digest), signed("dana", nonce + 2)).unwrap();
        let current: CurrentBundle = parse_json(&store.objects[CURRENT_KEY].1).unwrap();
        origins.push(current.parts[&"draft".into()].origin.0);
    }
    assert_eq!(origins, [1, 1, 3]);
    let stale = StoreCall::write(CURRENT_KEY, Condition::Version(1), &0);
    assert_eq!(store.call(&stale), StoreReply::Conflict);
}
