//! Goodput, fairness, refusals and retries under overload and when engines crash.
//!
//! The model: 3 instances in front of 20 engines of 8 slots. Requests arrive as a Poisson process,
//! 70% interactive (0.3 s of work on average, must start within 2 s) and 30% drafts (1.5 s, must
//! start within 8 s). Of 10 accounts of equal weight, two send 35% of the requests each. Load
//! reports arrive every 0.5 s and are 1 s old. An attempt that has not started after a quarter of
//! the allowed time is retried. A request is good if it starts in the allowed time; work on others
//! is wasted. Goodput is the good work divided by the capacity of the live engines.

mod request;
mod simulation;

use celerypond_route::RetryBudget;
use celerypond_types::Priority;

use crate::table::Row;
use request::Request;
use simulation::Simulation;

pub(crate) const ACCOUNTS: usize = 10;
/// The fraction of requests that each of the two large accounts sends.
pub(crate) const LARGE_ACCOUNT_FRACTION: f64 = 0.35;
const WARM_UP_MS: u64 = 5_000;
pub(crate) const END_MS: u64 = 25_000;

/// How requests are handled.
#[derive(Clone, Copy)]
pub(crate) struct Policy {
    name: &'static str,
    /// Pick engines by load and queue requests in the instance, with fair queueing and admission
    /// control. Otherwise requests go to random engines, which queue them in FIFO order.
    pub(crate) balances_load: bool,
    /// Limit retries by a budget.
    pub(crate) retry_budget: bool,
    /// Engines drop a queued attempt if its request is past the deadline or has started elsewhere.
    pub(crate) drops_expired: bool,
}

const POLICIES: [Policy; 4] = [
    Policy {
        name: "baseline: random, FIFO, retries",
        balances_load: false,
        retry_budget: false,
        drops_expired: false,
    },
    Policy {
        name: "baseline, and cancels",
        balances_load: false,
        retry_budget: false,
        drops_expired: true,
    },
    Policy {
        name: "baseline, cancels, retry budget",
        balances_load: false,
        retry_budget: true,
        drops_expired: true,
    },
    Policy {
        name: "celerypond",
        balances_load: true,
        retry_budget: true,
        drops_expired: true,
    },
];

/// The name of a scenario, its load as a multiple of the capacity, and whether a third of the
/// engines crashes.
const SCENARIOS: [(&str, f64, bool); 5] = [
    ("0.8x", 0.8, false),
    ("1x", 1.0, false),
    ("2x", 2.0, false),
    ("10x", 10.0, false),
    ("0.6x, a third dies", 0.6, true),
];

/// Runs the benchmark for each scenario and policy.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (scenario, load, engines_crash) in SCENARIOS {
        for policy in POLICIES {
            let runs: Vec<Outcome> = (0..seeds)
                .map(|seed| simulate(seed, load, engines_crash, policy))
                .collect();
            let row = |measure, unit, of: fn(&Outcome) -> f64| {
                let name = format!("{}, {scenario}", policy.name);
                Row::of(measure, name, unit, runs.iter().map(of).collect())
            };
            rows.push(row("goodput", "share", |f| f.goodput));
            rows.push(row("fairness (Jain)", "index", |f| f.fairness));
            rows.push(row("tries for a request", "ratio", |f| f.attempts));
            rows.push(row("good requests", "share", |f| f.good));
            let name = format!("{}, {scenario}", policy.name);
            let waits = runs.iter().flat_map(|f| f.waits.iter().copied()).collect();
            rows.push(Row::of(
                "wait to start, interactive",
                name.clone(),
                "ms",
                waits,
            ));
            if policy.balances_load {
                let all = runs
                    .iter()
                    .flat_map(|f| f.refusals.iter().copied())
                    .collect();
                rows.push(Row::of("a refusal, virtual time", name, "ms", all));
            }
        }
    }
    rows
}

struct Outcome {
    goodput: f64,
    fairness: f64,
    attempts: f64,
    good: f64,
    waits: Vec<f64>,
    refusals: Vec<f64>,
}

fn simulate(seed: u64, load: f64, engines_crash: bool, policy: Policy) -> Outcome {
    let mut simulation = Simulation::new(seed, load, engines_crash, policy);
    simulation.run();
    let window = WARM_UP_MS..END_MS;
    let arrived: Vec<&Request> = simulation
        .requests
        .iter()
        .filter(|request| window.contains(&request.arrival))
        .collect();
    let started_in_window = |request: &&Request| {
        request.is_good() && request.started.is_some_and(|at| window.contains(&at))
    };
    let good: Vec<&Request> = simulation
        .requests
        .iter()
        .filter(started_in_window)
        .collect();
    let capacity = simulation.live_slots(WARM_UP_MS) * (END_MS - WARM_UP_MS) as f64;
    let attempted = arrived.iter().filter(|request| request.attempts > 0);
    let waits = good
        .iter()
        .filter(|request| request.priority == Priority::Interactive);
    let refused = arrived
        .iter()
        .filter_map(|request| Some(request.refused? - request.arrival));
    Outcome {
        goodput: good.iter().map(|request| request.service).sum::<f64>() / capacity,
        fairness: fairness(&arrived, &good, capacity),
        attempts: arrived
            .iter()
            .map(|request| f64::from(request.attempts))
            .sum::<f64>()
            / attempted.count() as f64,
        good: arrived.iter().filter(|request| request.is_good()).count() as f64
            / arrived.len() as f64,
        waits: waits
            .filter_map(|request| Some((request.started? - request.arrival) as f64))
            .collect(),
        refusals: refused.map(|ms| ms as f64).collect(),
    }
}

/// Returns Jain's fairness index over the accounts, each with its good work divided by its max-min
/// fair share of the capacity.
fn fairness(arrived: &[&Request], good: &[&Request], capacity: f64) -> f64 {
    let sum = |requests: &[&Request], account: usize| {
        let of_account = requests.iter().filter(|request| request.account == account);
        of_account.map(|request| request.service).sum::<f64>()
    };
    let demands: Vec<f64> = (0..ACCOUNTS).map(|account| sum(arrived, account)).collect();
    let fair_shares = max_min_shares(&demands, capacity);
    let ratios = (0..ACCOUNTS).map(|account| sum(good, account) / fair_shares[account].max(1.0));
    let ratios: Vec<f64> = ratios.collect();
    let total: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    total * total / (ACCOUNTS as f64 * squares)
}

/// Returns the max-min fair share of `capacity` for each demand.
fn max_min_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut fair_shares = vec![0.0; demands.len()];
    let mut remaining = capacity;
    for (done, account) in order.iter().enumerate() {
        fair_shares[*account] = demands[*account].min(remaining / (demands.len() - done) as f64);
        remaining -= fair_shares[*account];
    }
    fair_shares
}

/// Returns the retry budget of an instance.
pub(crate) fn retry_budget() -> RetryBudget {
    RetryBudget::per_instance()
}
