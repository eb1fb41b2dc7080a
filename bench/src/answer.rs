//! Benchmarks of the `answer` crate: recovery policies under faults, and the cost per token.

use std::time::Duration;

use celerypond_answer::ResumeLimits;

use crate::table::Row;

mod cost;
mod model;
mod policy;

use model::{Model, RunResults};
use policy::{Fault, Policy, TakeOverPolicy};

/// One run of the model has about a thousand answers, so few seeds are enough.
const MODEL_SEEDS: u64 = 5;
/// Longer than any run of the model, so that it never expires.
const NO_TIMEOUT: Duration = Duration::from_secs(600);
const FIXED_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the benchmarks.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = cost::run(seeds);
    for (fault, policies) in scenarios() {
        let seeds = seeds.min(MODEL_SEEDS);
        for policy in policies {
            rows.extend(measure(fault, policy, seeds));
        }
    }
    rows
}

/// Returns each fault with the policies that are compared under it.
fn scenarios() -> Vec<(Fault, Vec<Policy>)> {
    let implemented = Policy::IMPLEMENTED;
    let variant = |name, change: fn(&mut Policy)| {
        let mut policy = Policy {
            name,
            ..implemented
        };
        change(&mut policy);
        policy
    };
    let restart_elsewhere = variant("baseline: start anew elsewhere", |policy| {
        policy.sends_prefix = false;
        policy.probes_engine = false;
        policy.fixed_timeout = Some(NO_TIMEOUT);
    });
    let prefix_elsewhere = variant("prefix elsewhere, no probe", |policy| {
        policy.probes_engine = false
    });
    let health_probe = variant("health probe, then resume", |policy| {
        policy.probe_round_trips = 2
    });
    let fixed_timeout = variant("baseline: fixed timeout of 5 s", |policy| {
        policy.fixed_timeout = Some(FIXED_TIMEOUT);
    });
    let takeover_policies = vec![
        variant("baseline: start from zero", |policy| {
            policy.takeover = TakeOverPolicy::Restart
        }),
        variant("a: resume token", |policy| {
            policy.takeover = TakeOverPolicy::Token
        }),
        variant("a+b: token and stub", |policy| {
            policy.takeover = TakeOverPolicy::Record
        }),
        variant("c: copy each 64 tokens", |policy| {
            policy.takeover = TakeOverPolicy::PeriodicCopy(64)
        }),
        variant("d: caller brings its tokens", |policy| {
            policy.takeover = TakeOverPolicy::CallerPrefix
        }),
    ];
    let paced = |name, per_target| Policy {
        name,
        resume_limits: Some(ResumeLimits { per_target }),
        ..implemented
    };
    let pacing_policies = vec![
        variant("baseline: not paced", |_| ()),
        paced("paced, 1 a target", 1),
        paced("paced, 2 a target", 2),
        paced("paced, 4 a target", 4),
        paced("paced, 8 a target", 8),
        paced("paced, 16 a target", 16),
    ];
    vec![
        (
            Fault::EngineDeath,
            vec![restart_elsewhere, prefix_elsewhere, implemented],
        ),
        (
            Fault::SilentConnections,
            vec![fixed_timeout, prefix_elsewhere, health_probe, implemented],
        ),
        (
            Fault::EnginePause,
            vec![fixed_timeout, prefix_elsewhere, implemented],
        ),
        (Fault::InstanceDeath, takeover_policies.clone()),
        (Fault::EngineThenInstanceDeath, takeover_policies.clone()),
        (Fault::EngineAndInstanceDeath, takeover_policies),
        (Fault::ThirdOfEnginesDeath, pacing_policies),
    ]
}

/// Runs the model with each seed and returns the rows for the combined results.
fn measure(fault: Fault, policy: Policy, seeds: u64) -> Vec<Row> {
    let mut totals = RunResults::default();
    for seed in 0..seeds {
        let results = Model::new(policy, fault, seed).run();
        totals.resume_gap_ms.extend(results.resume_gap_ms);
        totals.unaffected_gap_ms.extend(results.unaffected_gap_ms);
        totals.first_token_ms.extend(results.first_token_ms);
        totals
            .generated_per_delivered
            .extend(results.generated_per_delivered);
        totals.prefill_ms.extend(results.prefill_ms);
        totals.lost += results.lost;
    }
    let measures = match fault {
        Fault::EngineDeath => ["engine death: gap seen", "engine death: tokens made/shown"],
        Fault::SilentConnections => ["silence: gap seen", "silence: tokens made/shown"],
        Fault::EnginePause => ["engine pause: gap seen", "engine pause: tokens made/shown"],
        Fault::InstanceDeath => ["router death: gap seen", "router death: tokens made/shown"],
        Fault::EngineThenInstanceDeath => [
            "engine, then router: gap seen",
            "engine, then router: made/shown",
        ],
        Fault::EngineAndInstanceDeath => [
            "engine and router: gap seen",
            "engine and router: made/shown",
        ],
        Fault::ThirdOfEnginesDeath => {
            ["third of engines: gap seen", "third of engines: made/shown"]
        }
    };
    let mut rows = vec![
        Row::of(measures[0], policy.name, "ms", totals.resume_gap_ms),
        Row::of(
            measures[1],
            policy.name,
            "ratio",
            totals.generated_per_delivered,
        ),
    ];
    if totals.lost > 0 {
        let lost = vec![totals.lost as f64 / seeds as f64];
        rows.push(Row::of(
            "answers not gone on in 80 s",
            policy.name,
            "a run",
            lost,
        ));
    }
    if policy.name == Policy::IMPLEMENTED.name {
        rows.push(Row::of(
            "reading prompt and prefix alone",
            policy.name,
            "ms",
            totals.prefill_ms,
        ));
    }
    if fault.hits_third_of_engines() {
        rows.push(Row::of(
            "third: longest gap of others",
            policy.name,
            "ms",
            totals.unaffected_gap_ms,
        ));
        rows.push(Row::of(
            "third: first token of new",
            policy.name,
            "ms",
            totals.first_token_ms,
        ));
    }
    rows
}
