//! The command line of the stand-ins.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Runs one stand-in on loopback until it is stopped.
    cmd celerypond-standin {
        /// The platform: objects, instance list and weights.
        cmd platform {
            /// Where to listen.
            required listen: SocketAddr
            /// The instance list, as JSON.
            required instances: PathBuf
            /// How late the list is, in milliseconds.
            optional --lag-ms lag_ms: u64
        }
        /// An engine.
        cmd engine {
            /// Where to listen.
            required listen: SocketAddr
            /// The versions that are loaded at the start.
            repeated versions: String
            /// The time between tokens, in milliseconds.
            optional --gap-ms gap_ms: u64
            /// How many streams run at once.
            optional --slots slots: usize
            /// Refuse orders with an old fencing number.
            optional --checks-fencing
        }
        /// Callers that ask again and again; prints what became of their requests as JSON.
        cmd load {
            /// Addresses of the system, separated by commas.
            required at: String
            /// The account's key.
            required key: String
            /// The model.
            required model: String
            /// How many callers ask at once.
            optional --callers callers: u64
            /// For how many seconds.
            optional --seconds seconds: u64
            /// How many tokens each asks for.
            optional --tokens tokens: u32
        }
        /// A plain service.
        cmd service {
            /// Where to listen.
            required listen: SocketAddr
        }
    }
}
