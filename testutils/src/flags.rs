//! The command line of `celerypond-standin`.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Runs a stand-in until it is stopped, or the load generator.
    cmd celerypond-standin {
        /// Runs a platform: object store, instance list and weight store.
        cmd platform {
            /// The address on which to listen.
            required listen: SocketAddr
            /// The file with the instance list, as JSON.
            required instances: PathBuf
            /// The delay with which changes to the list become visible, in milliseconds.
            optional --lag-ms lag_ms: u64
        }
        /// Runs an engine.
        cmd engine {
            /// The address on which to listen.
            required listen: SocketAddr
            /// The model versions that are loaded at the start.
            repeated versions: String
            /// The time to generate one token, in milliseconds.
            optional --gap-ms gap_ms: u64
            /// The maximum number of concurrent streams.
            optional --slots slots: usize
            /// Refuse orders with an outdated fencing number.
            optional --checks-fencing
        }
        /// Sends generation requests from concurrent callers and prints a summary as JSON.
        cmd load {
            /// The addresses of the instances, separated by commas.
            required at: String
            /// The key of the client account.
            required key: String
            /// The name of the model.
            required model: String
            /// The number of concurrent callers.
            optional --callers callers: u64
            /// The time for which to send requests, in seconds.
            optional --seconds seconds: u64
            /// The maximum number of tokens of an answer.
            optional --tokens tokens: u32
        }
        /// Runs a plain service.
        cmd service {
            /// The address on which to listen.
            required listen: SocketAddr
        }
    }
}
