//! Runs one benchmark, or all, and prints a table. `--json FILE` also writes the rows as JSON, and
//! `--plot FILE` draws them as a chart.
//!
//! Every benchmark compares with a baseline in the same run. No benchmark fails on a duration.

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

/// The name of a benchmark, and the function that runs it with a number of seeds.
type Benchmark = (&'static str, fn(u64) -> Vec<Row>);

const BENCHMARKS: [Benchmark; 8] = [
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
    let rows: Vec<Row> = BENCHMARKS
        .iter()
        .filter(|(name, _)| {
            flags
                .measure
                .as_deref()
                .is_none_or(|selected| selected == *name)
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
