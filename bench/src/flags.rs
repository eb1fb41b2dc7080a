//! The command line of the program.

use std::path::PathBuf;

xflags::xflags! {
    /// Takes measures of celerypond against baselines.
    cmd celerypond-bench {
        /// The measure to take; all when left out.
        optional measure: String
        /// How many seeds each row covers.
        optional --seeds seeds: u64
        /// Writes the rows to this file as JSON.
        optional --json json: PathBuf
        /// Draws the rows to this file as an SVG chart.
        optional --plot plot: PathBuf
    }
}
