//! Rows of figures and their printed forms.

use serde::Serialize;

/// One figure.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    /// What was measured.
    pub(crate) measure: &'static str,
    /// Which way it was done; `baseline` names what the others compare with.
    pub(crate) way: String,
    /// The unit of the figures.
    pub(crate) unit: &'static str,
    /// The median over the runs.
    pub(crate) median: f64,
    /// The 99th percentile over the runs.
    pub(crate) p99: f64,
    /// How many samples stand behind the figures.
    pub(crate) samples: u64,
}

impl Row {
    /// Makes a row from samples, in any order.
    pub(crate) fn of(
        measure: &'static str,
        way: impl Into<String>,
        unit: &'static str,
        mut samples: Vec<f64>,
    ) -> Self {
        samples.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let rank = (part * samples.len() as f64).ceil() as usize;
            samples
                .get(rank.saturating_sub(1))
                .copied()
                .unwrap_or(f64::NAN)
        };
        Self {
            measure,
            way: way.into(),
            unit,
            median: at(0.5),
            p99: at(0.99),
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
