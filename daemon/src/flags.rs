//! The command line of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers of celerypond.
    cmd celerypondd {
        /// The settings, as JSON.
        required --config config: PathBuf
        /// Checks the settings, prints every fault and exits.
        optional --check
    }
}
