//! How much of an account's limit is used, and how far it is passed, when its callers move.
//!
//! The model: 7 instances, a limit of 100 requests a second, callers who ask for 150 a second at
//! one instance and move to another every 60 s. Instances hear of each other's demand within 5 s.

use celerypond_route::{
    quantize_rate, Demand, DemandMap, LimitShare, ShareAllocator, ShareInputs,
    DEMAND_PROPAGATION_MS, INCREASE_DELAY_MS,
};
use celerypond_types::InstanceName;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::table::Row;

const INSTANCES: usize = 7;
const LIMIT: f64 = 100.0;
const ASKED: f64 = 150.0;
const MOVE_MS: u64 = 60_000;
const END_MS: u64 = 360_000;
const TICK_MS: u64 = 500;

/// How the limit is split; `None` is evenly.
type Way = (&'static str, Option<u64>);

const WAYS: [Way; 3] = [
    ("baseline: evenly", None),
    ("baseline: by demand, at once", Some(0)),
    ("by demand, rises held", Some(INCREASE_DELAY_MS)),
];

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (name, hold_ms) in WAYS {
        let runs: Vec<(f64, f64)> = (0..seeds).map(|seed| split(seed, hold_ms)).collect();
        let used = runs.iter().map(|(used, _)| *used).collect();
        let most = runs.iter().map(|(_, most)| *most).collect();
        rows.push(Row::of("limit: used when asked for", name, "share", used));
        rows.push(Row::of("limit: largest sum of parts", name, "share", most));
    }
    rows
}

struct Instance {
    name: InstanceName,
    demands: DemandMap,
    allocator: ShareAllocator,
    own: Demand,
}

/// Returns the share of the limit that is used, and the largest sum of parts.
fn split(seed: u64, hold_ms: Option<u64>) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let instance = |at: usize| Instance {
        name: format!("instance-{at}").as_str().into(),
        demands: DemandMap::default(),
        allocator: ShareAllocator::with_increase_delay(hold_ms.unwrap_or(0)),
        own: Demand::default(),
    };
    let mut all: Vec<Instance> = (0..INSTANCES).map(instance).collect();
    let mut sent: Vec<(u64, usize, DemandMap)> = Vec::new();
    let (mut used, mut most) = (0.0, 0.0_f64);
    for ms in (0..END_MS).step_by(TICK_MS as usize) {
        let busy = (ms / MOVE_MS) as usize % INSTANCES;
        for (at, one) in all.iter_mut().enumerate() {
            let requests = quantize_rate(if at == busy { ASKED } else { 0.0 });
            if requests != one.own.requests {
                one.own = Demand {
                    sequence: one.own.sequence + 1,
                    requests,
                    tokens: 0,
                };
                let word = DemandMap::single(one.name.clone(), one.own);
                let others = (0..INSTANCES).filter(|to| *to != at);
                sent.extend(others.map(|to| {
                    (
                        ms + rng.random_range(0..DEMAND_PROPAGATION_MS),
                        to,
                        word.clone(),
                    )
                }));
            }
        }
        for (_, to, word) in sent.extract_if(.., |(due, ..)| *due <= ms) {
            all[to].demands = all[to].demands.merge(&word);
        }
        let parts: Vec<f64> = all.iter_mut().map(|one| one.part(hold_ms, ms)).collect();
        used += (parts[busy] * LIMIT).min(ASKED) / LIMIT;
        most = most.max(parts.iter().sum());
    }
    (used / (END_MS / TICK_MS) as f64, most)
}

impl Instance {
    fn part(&mut self, hold_ms: Option<u64>, ms: u64) -> f64 {
        if hold_ms.is_none() {
            return 1.0 / INSTANCES as f64;
        }
        let known = ShareInputs {
            instance: &self.name,
            demands: &self.demands,
            instances: INSTANCES,
            expected_instances: INSTANCES,
            in_contact: true,
            requests_per_s: LIMIT as u32,
            tokens_per_s: 1,
        };
        let (allocator, LimitShare { requests, .. }) = self.allocator.update(self.own, &known, ms);
        self.allocator = allocator;
        requests
    }
}
