//! The command line of the tool.

use std::path::PathBuf;

xflags::xflags! {
    /// Drives celerypond as an operator, or calls it.
    ///
    /// The addresses come from --at or CELERYPOND_AT, the key from --key-file or CELERYPOND_KEY.
    cmd celerypond {
        /// Addresses of the system, separated by commas.
        optional --at at: String
        /// The file that holds the key.
        optional --key-file key_file: PathBuf
        /// Prints JSON.
        optional --json
        /// Checks a bundle offline and prints every fault.
        cmd check {
            /// The bundle.
            required file: PathBuf
            /// The file holds settings of an instance instead.
            optional --settings
        }
        /// Lists what differs between two bundles.
        cmd diff {
            /// The first bundle: a file or a digest.
            required before: String
            /// The second bundle: a file or a digest.
            required after: String
        }
        /// Prints the JSON Schema of bundles or settings.
        cmd schema {
            /// `bundle` or `settings`.
            required kind: String
        }
        /// Submits a bundle for approval.
        cmd submit {
            /// The bundle.
            required file: PathBuf
        }
        /// Approves a bundle that another operator submitted.
        cmd approve {
            /// The digest that the submission gave.
            required digest: String
        }
        /// Puts an approved bundle in force.
        cmd roll {
            /// The digest.
            required digest: String
            /// Refuse if another revision than this is in force.
            optional --expected expected: u64
            /// Wait until the rollout has ended, and show its progress.
            optional --wait
        }
        /// Tells what is in force where, and how the rollout stands.
        cmd status {}
        /// Lists the operators' steps.
        cmd history {}
        /// Tells what became of a routed request and why, from the log lines of instances.
        cmd explain {
            /// The id of the request.
            required request: String
            /// Files of log lines, one or several an instance.
            repeated files: PathBuf
        }
        /// Counts what became of routed requests and when, from the log lines of instances.
        cmd losses {
            /// Seconds of a row; 2 if it is left out.
            optional --part part: u64
            /// Files of log lines, one or several an instance.
            repeated files: PathBuf
        }
        /// Lists the addresses that callers should use.
        cmd entries {}
        /// Generates an answer.
        cmd generate {
            /// The model.
            required model: String
            /// The prompt; `-` reads standard input.
            required prompt: String
            /// How many tokens at most.
            optional --max-tokens max_tokens: u32
            /// The seed.
            optional --seed seed: u64
            /// The adapter.
            optional --adapter adapter: String
            /// The key of the request.
            optional --key key: String
            /// How many seconds to wait.
            optional --limit-s limit_s: u64
        }
        /// Calls a plain service.
        cmd call {
            /// The service.
            required service: String
            /// The HTTP method.
            required method: String
            /// The path below the service.
            required path: String
            /// The body; `-` reads standard input.
            optional body: String
            /// The key by which the call runs at most once.
            optional --key key: String
            /// How many seconds to wait.
            optional --limit-s limit_s: u64
        }
    }
}
