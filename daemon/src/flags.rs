//! The command line of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers of celerypond.
    cmd celerypondd {
        /// The settings, as JSON.
        optional --config config: PathBuf
        /// Relays routed requests by the settings that the platform wrote, instead of --config.
        optional --relay
        /// Checks the settings, prints every fault and exits.
        optional --check
    }
}
