//! Takes one measure, or all, and prints a table; `--json FILE` writes the rows as well, and
//! `--plot FILE` draws them.
//!
//! Every measure compares with a baseline in the same run. Nothing here asserts a time.

use std::{fs, process::ExitCode};

mod answer;
mod flags;
mod fleet;
mod host;
mod ledger;
mod orders;
mod path;
mod plot;
mod rollout;
mod route;
mod table;

use table::Row;

/// A measure: its name and the function that takes it with a number of seeds.
type Measure = (&'static str, fn(u64) -> Vec<Row>);

const MEASURES: [Measure; 8] = [
    ("host", host::run),
    ("answer", answer::run),
    ("ledger", ledger::run),
    ("route", route::run),
    ("rollout", rollout::run),
    ("fleet", fleet::run),
    ("orders", orders::run),
    ("path", path::run),
];

const DEFAULT_SEEDS: u64 = 20;

fn main() -> ExitCode {
    let flags = flags::CelerypondBench::from_env_or_exit();
    let seeds = flags.seeds.unwrap_or(DEFAULT_SEEDS);
    let rows: Vec<Row> = MEASURES
        .iter()
        .filter(|(name, _)| {
            flags
                .measure
                .as_deref()
                .is_none_or(|wanted| wanted == *name)
        })
        .flat_map(|(_, run)| run(seeds))
        .collect();
    table::print(&rows);
    if let Some(Err(error)) = flags.json.map(|path| fs::write(path, table::json(&rows))) {
        eprintln!("the rows could not be written: {error}");
        return ExitCode::FAILURE;
    }
    if let Some(Err(report)) = flags.plot.map(|path| plot::write(&path, &rows)) {
        eprintln!("{report:#}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
