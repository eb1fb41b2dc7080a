//! Use and overshoot of an account's rate limit when its callers move between instances.
//!
//! The model: 7 instances share a limit of 100 requests per second. Callers send 150 per second to
//! one instance and switch to the next every 60 s. A change of demand reaches the other instances
//! after a random delay of less than `DEMAND_PROPAGATION_MS`.

use celerypond_route::{
    quantize_rate, Demand, DemandMap, LimitShare, ShareAllocator, ShareInputs,
    DEMAND_PROPAGATION_MS, INCREASE_DELAY_MS,
};
use celerypond_types::InstanceName;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::table::Row;

const INSTANCES: usize = 7;
const LIMIT_PER_S: f64 = 100.0;
const DEMAND_PER_S: f64 = 150.0;
const MOVE_INTERVAL_MS: u64 = 60_000;
const END_MS: u64 = 360_000;
const TICK_MS: u64 = 500;

/// The name of a policy, and how long it delays an increase of a share. `None` splits the limit
/// evenly, whatever the demand.
type Policy = (&'static str, Option<u64>);

const POLICIES: [Policy; 3] = [
    ("baseline: evenly", None),
    ("baseline: by demand, at once", Some(0)),
    ("by demand, rises held", Some(INCREASE_DELAY_MS)),
];

/// Runs the benchmark.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (name, increase_delay_ms) in POLICIES {
        let runs: Vec<(f64, f64)> = (0..seeds)
            .map(|seed| simulate(seed, increase_delay_ms))
            .collect();
        let used = runs.iter().map(|(used, _)| *used).collect();
        let max_sum = runs.iter().map(|(_, max_sum)| *max_sum).collect();
        rows.push(Row::of("limit: used when asked for", name, "share", used));
        rows.push(Row::of(
            "limit: largest sum of parts",
            name,
            "share",
            max_sum,
        ));
    }
    rows
}

struct Instance {
    name: InstanceName,
    demands: DemandMap,
    allocator: ShareAllocator,
    own_demand: Demand,
}

/// Runs one simulation. Returns the fraction of the limit that callers could use, and the highest
/// sum of the shares of all instances; above 1 the limit can be exceeded.
fn simulate(seed: u64, increase_delay_ms: Option<u64>) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let instance = |index: usize| Instance {
        name: format!("instance-{index}").as_str().into(),
        demands: DemandMap::default(),
        allocator: ShareAllocator::with_increase_delay(increase_delay_ms.unwrap_or(0)),
        own_demand: Demand::default(),
    };
    let mut instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
    let mut undelivered: Vec<(u64, usize, DemandMap)> = Vec::new();
    let (mut used, mut max_sum) = (0.0, 0.0_f64);
    for ms in (0..END_MS).step_by(TICK_MS as usize) {
        let busy = (ms / MOVE_INTERVAL_MS) as usize % INSTANCES;
        for (index, instance) in instances.iter_mut().enumerate() {
            let requests = quantize_rate(if index == busy { DEMAND_PER_S } else { 0.0 });
            if requests != instance.own_demand.requests {
                instance.own_demand = Demand {
                    sequence: instance.own_demand.sequence + 1,
                    requests,
                    tokens: 0,
                };
                let update = DemandMap::single(instance.name.clone(), instance.own_demand);
                let others = (0..INSTANCES).filter(|receiver| *receiver != index);
                undelivered.extend(others.map(|receiver| {
                    (
                        ms + rng.random_range(0..DEMAND_PROPAGATION_MS),
                        receiver,
                        update.clone(),
                    )
                }));
            }
        }
        for (_, receiver, update) in undelivered.extract_if(.., |(due, ..)| *due <= ms) {
            instances[receiver].demands = instances[receiver].demands.merge(&update);
        }
        let shares: Vec<f64> = instances
            .iter_mut()
            .map(|instance| instance.share(increase_delay_ms, ms))
            .collect();
        used += (shares[busy] * LIMIT_PER_S).min(DEMAND_PER_S) / LIMIT_PER_S;
        max_sum = max_sum.max(shares.iter().sum());
    }
    (used / (END_MS / TICK_MS) as f64, max_sum)
}

impl Instance {
    fn share(&mut self, increase_delay_ms: Option<u64>, ms: u64) -> f64 {
        if increase_delay_ms.is_none() {
            return 1.0 / INSTANCES as f64;
        }
        let inputs = ShareInputs {
            instance: &self.name,
            demands: &self.demands,
            instances: INSTANCES,
            expected_instances: INSTANCES,
            in_contact: true,
            requests_per_s: LIMIT_PER_S as u32,
            tokens_per_s: 1,
        };
        let (allocator, LimitShare { requests, .. }) =
            self.allocator.update(self.own_demand, &inputs, ms);
        self.allocator = allocator;
        requests
    }
}
