//! The command line of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers of celerypond.
    cmd celerypondd {
        /// The settings file, in JSON.
        optional --config config: PathBuf
        /// Relays routed requests, using the settings file written by the platform instead of --config.
        optional --relay
        /// Checks the settings, prints every fault and exits.
        optional --check
    }
}
