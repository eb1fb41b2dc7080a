//! Benchmark results and their output as a table and as JSON.

use serde::Serialize;

/// The result of one benchmark under one policy or implementation.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    /// What was measured.
    pub(crate) measure: &'static str,
    /// The policy or implementation that was measured. A name with `baseline` in it marks what the
    /// others are compared with.
    pub(crate) way: String,
    /// The unit of `median` and `p99`.
    pub(crate) unit: &'static str,
    /// The median of the samples.
    pub(crate) median: f64,
    /// The 99th percentile of the samples.
    pub(crate) p99: f64,
    /// The number of samples.
    pub(crate) samples: u64,
}

impl Row {
    /// Summarizes samples, which may be in any order.
    pub(crate) fn of(
        measure: &'static str,
        way: impl Into<String>,
        unit: &'static str,
        mut samples: Vec<f64>,
    ) -> Self {
        samples.sort_by(f64::total_cmp);
        let percentile = |fraction: f64| {
            let rank = (fraction * samples.len() as f64).ceil() as usize;
            samples
                .get(rank.saturating_sub(1))
                .copied()
                .unwrap_or(f64::NAN)
        };
        Self {
            measure,
            way: way.into(),
            unit,
            median: percentile(0.5),
            p99: percentile(0.99),
            samples: samples.len() as u64,
        }
    }
}

/// Prints rows as an aligned table.
pub(crate) fn print(rows: &[Row]) {
    println!(
        "{:<36} {:<34} {:>12} {:>12} {:>8}  unit",
        "measure", "way", "median", "p99", "samples"
    );
    for row in rows {
        println!(
            "{:<36} {:<34} {:>12.4} {:>12.4} {:>8}  {}",
            row.measure, row.way, row.median, row.p99, row.samples, row.unit
        );
    }
}

/// Renders rows as JSON.
pub(crate) fn json(rows: &[Row]) -> String {
    serde_json::to_string_pretty(rows).unwrap_or_default()
}
