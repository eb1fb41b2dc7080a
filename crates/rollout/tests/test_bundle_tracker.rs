//! An accepted bundle comes into force everywhere and never reverts.

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
const NODES: usize = 7;
/// How many ticks of 50 ms may pass until all have a bundle that some instance knows: 5 s.
const BOUND: usize = 100;

struct Node {
    name: InstanceName,
    tracker: BundleTracker,
    best: Revision,
}

struct Fleet {
    store: FakeStore,
    nodes: Vec<Node>,
    now: Instant,
    rng: SmallRng,
    old: Option<StoreReply>,
    settles: bool,
    watchers: Vec<bool>,
}

impl Fleet {
    fn new(store: FakeStore, seed: u64) -> Self {
        let node = |at: usize| Node {
            name: InstanceName::new(format!("i{at}")),
            tracker: BundleTracker::default(),
            best: Revision(0),
        };
        let nodes: Vec<_> = (0..NODES).map(node).collect();
        let names: Vec<_> = nodes.iter().map(|node| node.name.clone()).collect();
        let live: Vec<_> = names
            .iter()
            .map(|name| (name.clone(), "almaty".into()))
            .collect();
        Self {
            store,
            nodes,
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            old: None,
            settles: true,
            watchers: names
                .iter()
                .map(|name| is_watcher(name, &"almaty".into(), &live))
                .collect(),
        }
    }

    fn names(&self) -> Vec<InstanceName> {
        self.nodes.iter().map(|node| node.name.clone()).collect()
    }

    fn read_current(&mut self, at: usize) {
        let is_stale = self.rng.random_bool(0.2);
        let fresh = self.store.call(&StoreCall::read(CURRENT_KEY));
        let reply = self
            .old
            .clone()
            .filter(|_| is_stale && !self.store.down)
            .unwrap_or(fresh);
        if let StoreReply::Found { value, .. } = reply {
            let current: CurrentBundle = parse_json(&value).unwrap();
            self.nodes[at]
                .tracker
                .note_header(current.header(), Source::Store);
            if !is_stale {
                self.nodes[at].tracker.mark_answered(Source::Store);
            }
        }
    }

    fn gossip(&mut self, at: usize) {
        let peer = self.rng.random_range(0..NODES);
        if let Some(header) = self.nodes[at].tracker.newest_header().cloned() {
            let from = Source::Peer(self.nodes[at].name.clone());
            self.nodes[peer].tracker.note_header(header, from.clone());
            self.nodes[peer].tracker.mark_answered(from);
        }
    }

    fn fetch(&mut self, at: usize) {
        let names = self.names();
        let asked = self.nodes[at]
            .tracker
            .next_fetch(self.now, &names, &mut self.rng);
        let body = match asked {
            Some((Source::Store, digest)) => {
                match self.store.call(&StoreCall::read(bundle_key(digest))) {
                    StoreReply::Found { value, .. } => {
                        Some(parse_json::<Submission>(&value).unwrap().bundle)
                    }
                    _ => None,
                }
            }
            Some((Source::Peer(peer), digest)) => {
                let node = self.nodes.iter().find(|node| node.name == peer).unwrap();
                let held = node.tracker.active();
                held.filter(|(held, _)| held.digest == digest)
                    .map(|(_, body)| (**body).clone())
            }
            None => None,
        };
        if let Some(body) = body {
            self.nodes[at].tracker.accept_bundle(body).unwrap();
        }
    }

    /// One tick: watches, polls, gossip, bodies; then no instance may serve less than it did.
    fn tick(&mut self) {
        self.now += TICK;
        let names = self.names();
        for at in 0..NODES {
            let is_watcher = self.watchers[at];
            let is_due = self.nodes[at].tracker.poll_due(self.now, &mut self.rng);
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
            let node = &mut self.nodes[at];
            let serves = !self.settles || node.tracker.is_ready(&peers);
            if serves && node.tracker.active().is_some() {
                let revision = node.tracker.revision();
                assert!(
                    revision >= node.best,
                    "{} reverted from {} to {revision}",
                    node.name,
                    node.best
                );
                node.best = revision;
            }
        }
    }

    fn restart(&mut self, at: usize) {
        self.nodes[at].tracker = BundleTracker::default();
    }
}

#[rstest]
#[case::the_store_stays_up(false, false)]
#[case::the_store_goes_down_right_after_the_accept(true, false)]
#[case::instances_restart_during_the_outage(true, true)]
fn an_accepted_bundle_reaches_all_and_never_reverts(#[case] down: bool, #[case] restarts: bool) {
    // Callers see the rules of a bundle once it is accepted, from then on. Reads of the store are
    // stale at times, the store goes down right after one instance took the bundle, instances are
    // replaced meanwhile and know nothing, and peers that lag tell of older bundles.
    for seed in 0..60 {
        let (store, digests) = approved(&["a", "b", "c"]);
        let mut fleet = Fleet::new(store, seed);
        for (round, digest) in digests.iter().enumerate() {
            fleet.store.down = false;
            fleet.old = Some(fleet.store.call(&StoreCall::read(CURRENT_KEY)));
            fleet
                .store
                .run(roll(*digest), signed("dana", 20 + round as u64))
                .unwrap();
            let value = fleet.store.objects[CURRENT_KEY].1.clone();
            let current: CurrentBundle = parse_json(&value).unwrap();
            // The instance that the operator spoke to has submitted the body and knows the roll.
            let entry = fleet.rng.random_range(0..NODES);
            fleet.nodes[entry]
                .tracker
                .note_header(current.header(), Source::Store);
            fleet.fetch(entry);
            fleet.store.down = down;
            for tick in 0..BOUND {
                if restarts && tick == 20 {
                    let at = (entry + 1) % NODES;
                    fleet.restart(at);
                }
                fleet.tick();
            }
            for node in &fleet.nodes {
                assert_eq!(
                    node.tracker.revision(),
                    current.revision,
                    "seed {seed}: {}",
                    node.name
                );
            }
        }
    }
}

#[test]
fn a_restarted_instance_waits_for_all_peers_while_the_store_is_down() {
    // The instance served revision 2 and restarts while the store is down. The first peer that answers
    // still has revision 1. Serving on its word alone would bring the old bundle back for callers.
    let header = |revision, title: &str| BundleHeader {
        revision: Revision(revision),
        digest: bundle(title).digest(),
        parts: Default::default(),
    };
    let (slow, quick) = (InstanceName::new("slow"), InstanceName::new("quick"));
    let peers = [slow.clone(), quick.clone()];
    let mut node = BundleTracker::default();
    for (peer, revision, title) in [(slow, 1, "a"), (quick, 2, "b")] {
        assert!(!node.is_ready(&peers));
        node.note_header(header(revision, title), Source::Peer(peer.clone()));
        node.mark_answered(Source::Peer(peer));
        node.accept_bundle(bundle(title)).unwrap();
    }
    assert!(node.is_ready(&peers) && node.revision() == Revision(2));
}

#[test]
fn a_body_that_does_not_fit_the_digest_is_not_taken() {
    let mut node = BundleTracker::default();
    let wanted = bundle("a").digest();
    let header = BundleHeader {
        revision: Revision(1),
        digest: wanted,
        parts: Default::default(),
    };
    node.note_header(header, Source::Store);
    let found = bundle("b").digest();
    assert_eq!(
        node.accept_bundle(bundle("b")),
        Err(AcceptError::DigestMismatch { wanted, found })
    );
    assert_eq!(node.revision(), Revision(0));
    node.accept_bundle(bundle("a")).unwrap();
    assert_eq!(node.revision(), Revision(1));
}

#[test]
fn a_roll_that_leaves_a_model_as_it_was_keeps_its_origin() {
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
