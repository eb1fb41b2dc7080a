//! Goodput, fairness, refusals and retries under overload and when targets die.
//!
//! The model: 3 instances before 20 engines of 8 slots; requests come at random, 70% interactive
//! (0.3 s of work on average, start within 2 s) and 30% drafts (1.5 s, start within 8 s); 10
//! accounts of equal weight, of which two ask for 35% each. Load reports come every 0.5 s and are
//! 1 s old. A try that has not started after a quarter of the caller's patience is tried again. A
//! request is good when it starts in its caller's patience; work for others is wasted. Goodput is
//! good work over what the live engines can do.

mod job;
mod model;

use celerypond_route::RetryBudget;
use celerypond_types::Priority;

use crate::table::Row;
use job::Job;
use model::Model;

pub(crate) const ACCOUNTS: usize = 10;
/// What each of the two large accounts asks for.
pub(crate) const LARGE: f64 = 0.35;
const WARM_MS: u64 = 5_000;
pub(crate) const END_MS: u64 = 25_000;

/// How requests are handled.
#[derive(Clone, Copy)]
pub(crate) struct Way {
    name: &'static str,
    /// Choose by load, and let requests wait in a fair queue with admission; otherwise engines are
    /// drawn at random and requests wait there, first in, first out.
    pub(crate) decides: bool,
    /// Keep retries within a budget.
    pub(crate) budget: bool,
    /// Engines drop a request whose caller has gone before it starts.
    pub(crate) cancels: bool,
}

const WAYS: [Way; 4] = [
    Way {
        name: "baseline: random, FIFO, retries",
        decides: false,
        budget: false,
        cancels: false,
    },
    Way {
        name: "baseline, and cancels",
        decides: false,
        budget: false,
        cancels: true,
    },
    Way {
        name: "baseline, cancels, retry budget",
        decides: false,
        budget: true,
        cancels: true,
    },
    Way {
        name: "celerypond",
        decides: true,
        budget: true,
        cancels: true,
    },
];

/// A scene: its name, the load over capacity, and whether a third of the engines dies.
const SCENES: [(&str, f64, bool); 5] = [
    ("0.8x", 0.8, false),
    ("1x", 1.0, false),
    ("2x", 2.0, false),
    ("10x", 10.0, false),
    ("0.6x, a third dies", 0.6, true),
];

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (scene, load, dies) in SCENES {
        for way in WAYS {
            let runs: Vec<Figures> = (0..seeds)
                .map(|seed| figures(seed, load, dies, way))
                .collect();
            let row = |measure, unit, of: fn(&Figures) -> f64| {
                let name = format!("{}, {scene}", way.name);
                Row::of(measure, name, unit, runs.iter().map(of).collect())
            };
            rows.push(row("goodput", "share", |f| f.goodput));
            rows.push(row("fairness (Jain)", "index", |f| f.fairness));
            rows.push(row("tries for a request", "ratio", |f| f.tries));
            rows.push(row("good requests", "share", |f| f.good));
            let name = format!("{}, {scene}", way.name);
            let waits = runs.iter().flat_map(|f| f.waits.iter().copied()).collect();
            rows.push(Row::of(
                "wait to start, interactive",
                name.clone(),
                "ms",
                waits,
            ));
            if way.decides {
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

struct Figures {
    goodput: f64,
    fairness: f64,
    tries: f64,
    good: f64,
    waits: Vec<f64>,
    refusals: Vec<f64>,
}

fn figures(seed: u64, load: f64, dies: bool, way: Way) -> Figures {
    let mut model = Model::new(seed, load, dies, way);
    model.run();
    let window = WARM_MS..END_MS;
    let came: Vec<&Job> = model
        .jobs
        .iter()
        .filter(|job| window.contains(&job.arrival))
        .collect();
    let began = |job: &&Job| job.is_good() && job.started.is_some_and(|at| window.contains(&at));
    let good: Vec<&Job> = model.jobs.iter().filter(began).collect();
    let capacity = model.live_slots(WARM_MS) * (END_MS - WARM_MS) as f64;
    let tried = came.iter().filter(|job| job.tries > 0);
    let waits = good
        .iter()
        .filter(|job| job.priority == Priority::Interactive);
    let refused = came
        .iter()
        .filter_map(|job| Some(job.refused? - job.arrival));
    Figures {
        goodput: good.iter().map(|job| job.service).sum::<f64>() / capacity,
        fairness: fairness(&came, &good, capacity),
        tries: came.iter().map(|job| f64::from(job.tries)).sum::<f64>() / tried.count() as f64,
        good: came.iter().filter(|job| job.is_good()).count() as f64 / came.len() as f64,
        waits: waits
            .filter_map(|job| Some((job.started? - job.arrival) as f64))
            .collect(),
        refusals: refused.map(|ms| ms as f64).collect(),
    }
}

/// Returns Jain's index of each account's good work over its max-min fair part of the capacity.
fn fairness(came: &[&Job], good: &[&Job], capacity: f64) -> f64 {
    let sum = |jobs: &[&Job], account: usize| {
        let of = jobs.iter().filter(|job| job.account == account);
        of.map(|job| job.service).sum::<f64>()
    };
    let asked: Vec<f64> = (0..ACCOUNTS).map(|account| sum(came, account)).collect();
    let fair = max_min(&asked, capacity);
    let parts = (0..ACCOUNTS).map(|account| sum(good, account) / fair[account].max(1.0));
    let parts: Vec<f64> = parts.collect();
    let total: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|part| part * part).sum();
    total * total / (ACCOUNTS as f64 * squares)
}

fn max_min(asked: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..asked.len()).collect();
    order.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut fair = vec![0.0; asked.len()];
    let mut rest = capacity;
    for (done, at) in order.iter().enumerate() {
        fair[*at] = asked[*at].min(rest / (asked.len() - done) as f64);
        rest -= fair[*at];
    }
    fair
}

/// The budget of an instance.
pub(crate) fn budget() -> RetryBudget {
    RetryBudget::per_instance()
}
