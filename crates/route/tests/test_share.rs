//! Rate limits of accounts: division among instances with differing knowledge, token buckets and
//! the limiter.

use std::collections::BTreeMap;

use celerypond_bundle::Account;
use celerypond_route::{
    quantize_rate, AccountLimiter, Demand, DemandMap, LimitShare, ShareAllocator, ShareInputs,
    TokenBucket, CONTACT_TIMEOUT_MS, DEMAND_PROPAGATION_MS, IDLE_SHARE, INCREASE_DELAY_MS,
};
use celerypond_types::{Digest, InstanceName};
use rand::{rngs::SmallRng, Rng};
use rstest::rstest;

use crate::test_fixture::rng;

const TICK_MS: u64 = 500;
const LIMIT_PER_S: u32 = 100;
const EXPECTED: usize = 5;
const LIST_LAG_MS: u64 = 10_000;

struct Instance {
    name: InstanceName,
    demand: Demand,
    demands: DemandMap,
    last_heard: BTreeMap<InstanceName, u64>,
    allocator: ShareAllocator,
    /// Which side of the network partition it is on.
    side: bool,
    joined: u64,
}

struct Message {
    due: u64,
    to: InstanceName,
    from: InstanceName,
    demand: Demand,
}

struct Fleet {
    instances: Vec<Instance>,
    messages: Vec<Message>,
    rng: SmallRng,
    increase_delay_ms: u64,
    partitioned: bool,
    joined_count: u32,
    now: u64,
    /// Instances that left, and when.
    gone: BTreeMap<InstanceName, u64>,
}

impl Fleet {
    fn new(seed: u64, increase_delay_ms: u64) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            messages: Vec::new(),
            rng: rng(seed),
            increase_delay_ms,
            partitioned: false,
            joined_count: 0,
            now: 0,
            gone: BTreeMap::new(),
        };
        (0..EXPECTED).for_each(|_| fleet.join());
        fleet
    }

    fn join(&mut self) {
        self.joined_count += 1;
        self.instances.push(Instance {
            name: format!("instance-{}", self.joined_count).as_str().into(),
            demand: Demand::default(),
            demands: DemandMap::default(),
            last_heard: BTreeMap::new(),
            allocator: ShareAllocator::with_increase_delay(self.increase_delay_ms),
            side: self.rng.random_bool(0.5),
            joined: self.now,
        });
    }

    /// Makes instances join, leave and be partitioned, and shifts demand between them.
    fn vary(&mut self) {
        if self.rng.random_bool(0.02) && self.instances.len() < 9 {
            self.join();
        }
        if self.rng.random_bool(0.02) && self.instances.len() > EXPECTED {
            let index = self.rng.random_range(0..self.instances.len());
            let name = self.instances.remove(index).name;
            self.gone.insert(name, self.now);
        }
        if self.rng.random_bool(0.02) {
            self.partitioned = !self.partitioned;
        }
        for instance in &mut self.instances {
            if self.rng.random_bool(0.15) {
                let rate = [0.0, 1.0, 50.0, 500.0][self.rng.random_range(0..4)];
                instance.demand = Demand {
                    sequence: instance.demand.sequence + 1,
                    requests: quantize_rate(rate),
                    tokens: 0,
                };
            }
        }
    }

    fn send(&mut self, now: u64) {
        for from in &self.instances {
            for to in &self.instances {
                if from.name == to.name || self.partitioned && from.side != to.side {
                    continue;
                }
                self.messages.push(Message {
                    due: now + self.rng.random_range(0..DEMAND_PROPAGATION_MS),
                    to: to.name.clone(),
                    from: from.name.clone(),
                    demand: from.demand,
                });
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, rest) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message: &Message| message.due <= now);
        self.messages = rest;
        let due: Vec<Message> = due;
        for message in due {
            let to = self
                .instances
                .iter_mut()
                .find(|instance| instance.name == message.to);
            let Some(to) = to else { continue };
            to.last_heard.insert(message.from.clone(), now);
            to.demands = to
                .demands
                .merge(&DemandMap::single(message.from, message.demand));
        }
    }

    /// Returns the instances in the platform's list as `by` sees it; the list lags.
    fn listed(&self, by: &Instance) -> Vec<InstanceName> {
        let is_listed = |at_ms: u64| at_ms == 0 || at_ms + LIST_LAG_MS <= self.now;
        let live = self.instances.iter();
        let live = live.filter(|instance| is_listed(instance.joined) || instance.name == by.name);
        let left = self
            .gone
            .iter()
            .filter(|(_, left_at)| !is_listed(**left_at));
        let left = left.map(|(name, _)| name.clone());
        live.map(|instance| instance.name.clone())
            .chain(left)
            .collect()
    }

    /// Returns the sum of all shares and its bound.
    fn step(&mut self, now: u64) -> (f64, f64) {
        self.now = now;
        self.vary();
        self.send(now);
        self.deliver(now);
        let lists: Vec<_> = self
            .instances
            .iter()
            .map(|instance| self.listed(instance))
            .collect();
        let (mut sum, mut least) = (0.0, usize::MAX);
        let gone = &self.gone;
        for (instance, listed) in self.instances.iter_mut().zip(&lists) {
            let is_gone = |name: &InstanceName| gone.contains_key(name) && !listed.contains(name);
            instance.demands = instance.demands.without(is_gone);
            let last_heard = &instance.last_heard;
            let recent = |name| {
                last_heard
                    .get(name)
                    .is_some_and(|at| now - at <= CONTACT_TIMEOUT_MS)
            };
            let mut others = listed.iter().filter(|name| **name != instance.name);
            let inputs = ShareInputs {
                instance: &instance.name,
                demands: &instance.demands,
                instances: listed.len(),
                expected_instances: EXPECTED,
                in_contact: others.all(recent),
                requests_per_s: LIMIT_PER_S,
                tokens_per_s: 1,
            };
            let (allocator, share) = instance.allocator.update(instance.demand, &inputs, now);
            instance.allocator = allocator;
            sum += share.requests;
            least = least.min(listed.len().max(EXPECTED));
        }
        let more = lists.len() as f64 / least as f64;
        (sum, more.max(1.0) + IDLE_SHARE)
    }
}

/// Returns by how much the sum of shares exceeds its bound at most during a run; negative if it
/// never does.
fn max_excess(seed: u64, increase_delay_ms: u64) -> f64 {
    let mut fleet = Fleet::new(seed, increase_delay_ms);
    let sums = (0..600).map(|tick| fleet.step(tick * TICK_MS));
    sums.map(|(sum, bound)| sum - bound)
        .fold(f64::MIN, f64::max)
}

// The clients of a large account move from one instance to another. The new instance sees them at
// once and the others learn of it seconds later. In that time both could admit the account's whole
// limit, and its targets would get twice the agreed load. Meanwhile instances join, leave and are
// partitioned.
#[rstest]
#[case::delayed(INCREASE_DELAY_MS, true)]
#[case::not_delayed(0, false)]
fn shares_stay_within_the_bound(#[case] increase_delay_ms: u64, #[case] succeeds: bool) {
    let excess = (0..60)
        .map(|seed| max_excess(seed, increase_delay_ms))
        .fold(f64::MIN, f64::max);
    assert_eq!(excess <= 1e-9, succeeds, "{excess}");
}

#[test]
fn shares_of_a_settled_fleet_add_up_to_the_limit() {
    let names: Vec<InstanceName> = (0..5)
        .map(|index| format!("i-{index}").as_str().into())
        .collect();
    let demand = |index: usize| Demand {
        sequence: 1,
        requests: [0, 0, 5, 50, 500][index] * 1_000,
        tokens: 0,
    };
    let demands = names
        .iter()
        .enumerate()
        .fold(DemandMap::default(), |all, (index, name)| {
            all.merge(&DemandMap::single(name.clone(), demand(index)))
        });
    let shares: Vec<f64> = (0..5)
        .map(|index| {
            let inputs = ShareInputs {
                instance: &names[index],
                demands: &demands,
                instances: 5,
                expected_instances: 5,
                in_contact: true,
                requests_per_s: LIMIT_PER_S,
                tokens_per_s: 1,
            };
            let (allocator, _) = ShareAllocator::default().update(demand(index), &inputs, 0);
            allocator
                .update(demand(index), &inputs, INCREASE_DELAY_MS)
                .1
                .requests
        })
        .collect();
    assert!(
        (shares.iter().sum::<f64>() - 1.0).abs() < 1e-9,
        "{shares:?}"
    );
    assert!(shares[0] > 0.0 && shares[4] > 0.85, "{shares:?}");
}

// Five new instances, which know of no demand elsewhere, join five that use the whole limit.
// Computed only from what they know, each would take an equal share, and together they would exceed
// the limit by half.
#[test]
fn new_instances_use_no_more_than_the_idle_share() {
    let name: InstanceName = "new".into();
    let inputs = ShareInputs {
        instance: &name,
        demands: &DemandMap::default(),
        instances: 10,
        expected_instances: 5,
        in_contact: false,
        requests_per_s: LIMIT_PER_S,
        tokens_per_s: 1,
    };
    let own = Demand {
        sequence: 1,
        requests: quantize_rate(500.0),
        tokens: 0,
    };
    let (allocator, _) = ShareAllocator::default().update(own, &inputs, 0);
    let (_, share) = allocator.update(own, &inputs, 10 * INCREASE_DELAY_MS);
    assert!(share.requests < IDLE_SHARE / 10.0, "{share:?}");
}

// However the rate changes, no more tokens are taken in any period than the rates provide, plus the
// burst.
#[rstest]
fn a_bucket_never_exceeds_its_rates(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = rng(seed);
    let bucket = TokenBucket::new(0);
    let (mut rate, mut balance) = (0.0_f64, 0.0_f64);
    for ms in (0..60_000).step_by(10) {
        if rng.random_bool(0.02) {
            rate = [0.0, 1.0, 40.0, 900.0][rng.random_range(0..4)];
            bucket.set_rate(rate, ms);
            balance = balance.min(rate);
        }
        balance = (balance + rate * 0.01).min(rate);
        for _ in 0..rng.random_range(0..12) {
            if bucket.try_take(1, ms).is_ok() {
                balance -= 1.0;
            }
        }
        // Up to one token may be borrowed, and rates are rounded to whole nanoseconds per token.
        assert!(balance > -1.2, "{balance} at {ms}");
    }
}

#[test]
fn limiter_charges_estimates_and_reconciles() {
    let account = Account {
        name: "mill".into(),
        key_digest: Digest::of(b"key"),
        requests_per_s: 100,
        tokens_per_s: 1_000,
        weight: 1,
        priority: Default::default(),
    };
    let limiter = AccountLimiter::new(0);
    limiter.set_account_limit(
        &account,
        LimitShare {
            requests: 1.0,
            tokens: 1.0,
        },
        0,
    );
    assert!(limiter.admit(1_000, 1_000).is_ok());
    let wait = limiter.admit(500, 1_000).unwrap_err();
    assert_eq!(wait.as_millis(), 500);
    limiter.reconcile(1_000, 400);
    assert!(limiter.admit(500, 1_000).is_ok());
    // A response longer than estimated leaves a debt that later requests wait for.
    limiter.reconcile(500, 2_500);
    assert!(limiter.admit(1, 2_500).is_err());
    // A refused request takes nothing from the request limit, and calls that generate no tokens do
    // not wait for the debt.
    assert!((0..100).all(|_| limiter.admit(0, 2_500).is_ok()));
    assert!(limiter.admit(0, 2_500).is_err());
    assert_eq!(limiter.take_demand().0, 105);
}
