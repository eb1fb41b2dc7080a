//! Measures of the `answer` crate.

use std::time::Duration;

use celerypond_answer::ResumeLimits;

use crate::table::Row;

mod cost;
mod model;
mod way;

use model::{Model, Seen};
use way::{Fault, TakeOverWay, Way};

/// One run of the model has a thousand answers, so few seeds are enough.
const MODEL_SEEDS: u64 = 5;
const NO_TIMEOUT: Duration = Duration::from_secs(600);
const FIXED_TIMEOUT: Duration = Duration::from_secs(5);

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = cost::run(seeds);
    for (fault, ways) in plans() {
        let seeds = seeds.min(MODEL_SEEDS);
        for way in ways {
            rows.extend(measure(fault, way, seeds));
        }
    }
    rows
}

fn plans() -> Vec<(Fault, Vec<Way>)> {
    let ours = Way::OURS;
    let with = |name, change: fn(&mut Way)| {
        let mut way = Way { name, ..ours };
        change(&mut way);
        way
    };
    let anew = with("baseline: start anew elsewhere", |way| {
        way.prefix = false;
        way.probe = false;
        way.timeout = Some(NO_TIMEOUT);
    });
    let elsewhere = with("prefix elsewhere, no probe", |way| way.probe = false);
    let health = with("health probe, then resume", |way| way.trips = 2);
    let fixed = with("baseline: fixed timeout of 5 s", |way| {
        way.timeout = Some(FIXED_TIMEOUT);
    });
    let takes = vec![
        with("baseline: start from zero", |way| {
            way.takeover = TakeOverWay::Restart
        }),
        with("a: resume token", |way| way.takeover = TakeOverWay::Token),
        with("a+b: token and stub", |way| {
            way.takeover = TakeOverWay::Stub
        }),
        with("c: copy each 64 tokens", |way| {
            way.takeover = TakeOverWay::Copy(64)
        }),
        with("d: caller brings its tokens", |way| {
            way.takeover = TakeOverWay::Brought
        }),
    ];
    let pace = |name, target| Way {
        name,
        pace: Some(ResumeLimits { per_target: target }),
        ..ours
    };
    let paced = vec![
        with("baseline: not paced", |_| ()),
        pace("paced, 1 a target", 1),
        pace("paced, 2 a target", 2),
        pace("paced, 4 a target", 4),
        pace("paced, 8 a target", 8),
        pace("paced, 16 a target", 16),
    ];
    vec![
        (Fault::Death, vec![anew, elsewhere, ours]),
        (Fault::Silence, vec![fixed, elsewhere, health, ours]),
        (Fault::Pause, vec![fixed, elsewhere, ours]),
        (Fault::Router, takes.clone()),
        (Fault::Later, takes.clone()),
        (Fault::Both, takes),
        (Fault::Third, paced),
    ]
}

fn measure(fault: Fault, way: Way, seeds: u64) -> Vec<Row> {
    let mut all = Seen::default();
    for seed in 0..seeds {
        let seen = Model::new(way, fault, seed).run();
        all.resumed.extend(seen.resumed);
        all.others.extend(seen.others);
        all.first.extend(seen.first);
        all.extra.extend(seen.extra);
        all.read.extend(seen.read);
        all.lost += seen.lost;
    }
    let names = match fault {
        Fault::Death => ["engine death: gap seen", "engine death: tokens made/shown"],
        Fault::Silence => ["silence: gap seen", "silence: tokens made/shown"],
        Fault::Pause => ["engine pause: gap seen", "engine pause: tokens made/shown"],
        Fault::Router => ["router death: gap seen", "router death: tokens made/shown"],
        Fault::Later => [
            "engine, then router: gap seen",
            "engine, then router: made/shown",
        ],
        Fault::Both => [
            "engine and router: gap seen",
            "engine and router: made/shown",
        ],
        Fault::Third => ["third of engines: gap seen", "third of engines: made/shown"],
    };
    let mut rows = vec![
        Row::of(names[0], way.name, "ms", all.resumed),
        Row::of(names[1], way.name, "ratio", all.extra),
    ];
    if all.lost > 0 {
        let lost = vec![all.lost as f64 / seeds as f64];
        rows.push(Row::of(
            "answers not gone on in 80 s",
            way.name,
            "a run",
            lost,
        ));
    }
    if way.name == Way::OURS.name {
        rows.push(Row::of(
            "reading prompt and prefix alone",
            way.name,
            "ms",
            all.read,
        ));
    }
    if fault.third() {
        rows.push(Row::of(
            "third: longest gap of others",
            way.name,
            "ms",
            all.others,
        ));
        rows.push(Row::of(
            "third: first token of new",
            way.name,
            "ms",
            all.first,
        ));
    }
    rows
}
