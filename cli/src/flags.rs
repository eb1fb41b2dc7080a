//! The command line, declared with `xflags`.

use std::path::PathBuf;

xflags::xflags! {
    /// Operates celerypond, or sends requests to it.
    ///
    /// The addresses are taken from --at or CELERYPOND_AT, the key from --key-file or CELERYPOND_KEY.
    cmd celerypond {
        /// Addresses of instances, separated by commas.
        optional --at at: String
        /// The file with the key.
        optional --key-file key_file: PathBuf
        /// Print JSON.
        optional --json
        /// Validates a bundle without an instance and prints all errors.
        cmd check {
            /// The file with the bundle.
            required file: PathBuf
            /// The file contains the settings of an instance instead of a bundle.
            optional --settings
        }
        /// Prints the differences between two bundles.
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
            /// The file with the bundle.
            required file: PathBuf
        }
        /// Approves a bundle that another operator submitted.
        cmd approve {
            /// The digest that `submit` printed.
            required digest: String
        }
        /// Puts an approved bundle in force.
        cmd roll {
            /// The digest of the bundle.
            required digest: String
            /// Fail if the revision in force is not this one.
            optional --expected expected: u64
            /// Wait until the rollout has ended, and print its progress.
            optional --wait
        }
        /// Prints which bundle is in force on how many instances, and the state of its rollout.
        cmd status {}
        /// Prints the steps of operators.
        cmd history {}
        /// Prints what became of a routed request and why, from the log files of instances.
        cmd explain {
            /// The id of the request.
            required request: String
            /// Log files, one or more for each instance.
            repeated files: PathBuf
        }
        /// Counts the outcomes of routed requests over time, from the log files of instances.
        cmd losses {
            /// The time interval of a row in seconds, 2 by default.
            optional --part part: u64
            /// Log files, one or more for each instance.
            repeated files: PathBuf
        }
        /// Prints the entry points, the addresses that callers should connect to.
        cmd entries {}
        /// Requests a completion and prints it as it is generated.
        cmd generate {
            /// The name of the model.
            required model: String
            /// The prompt; `-` reads standard input.
            required prompt: String
            /// The maximum number of tokens.
            optional --max-tokens max_tokens: u32
            /// The random seed.
            optional --seed seed: u64
            /// The adapter of the model.
            optional --adapter adapter: String
            /// The idempotency key of the request.
            optional --key key: String
            /// The timeout in seconds.
            optional --limit-s limit_s: u64
        }
        /// Calls a plain service.
        cmd call {
            /// The name of the service.
            required service: String
            /// The HTTP method.
            required method: String
            /// The path within the service.
            required path: String
            /// The body; `-` reads standard input.
            optional body: String
            /// The idempotency key; calls with the same key run at most once.
            optional --key key: String
            /// The timeout in seconds.
            optional --limit-s limit_s: u64
        }
    }
}
