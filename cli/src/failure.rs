//! Errors of subcommands, with their exit codes and hints.

use std::process::ExitCode;

use celerypond_cli::{ClientError, ExplainError};
use thiserror::Error;

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// A required flag or environment variable is missing.
    #[error("{0}")]
    Usage(&'static str),
    /// A file could not be read.
    #[error("{0}: {1}")]
    File(std::path::PathBuf, #[source] std::io::Error),
    /// A document is invalid; its errors have been printed.
    #[error("{0} faults")]
    InvalidDocument(usize),
    /// An argument is not valid: the argument, and what was expected.
    #[error("{0} is not {1}")]
    InvalidArgument(String, &'static str),
    /// Another operator rolled a bundle first.
    #[error("another roll came first; `celerypond status` shows it")]
    Superseded,
    /// The rollout was rolled back.
    #[error("the rollout was taken back")]
    RolledBack,
    /// The request cannot be explained.
    #[error("{0}")]
    Explain(ExplainError),
    /// The request failed.
    #[error("{0}")]
    Client(ClientError),
}

impl From<error_stack::Report<ClientError>> for Failure {
    fn from(report: error_stack::Report<ClientError>) -> Self {
        Self::Client(report.current_context().clone())
    }
}

impl Failure {
    /// Returns the exit code; `docs/cli.md` lists all codes.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::File(..) | Self::Explain(_) => 1,
            Self::Usage(_) | Self::InvalidDocument(_) | Self::InvalidArgument(..) => 2,
            Self::Superseded => 6,
            Self::RolledBack => 8,
            Self::Client(error) => client_exit_code(error),
        })
    }

    /// Returns a hint on what to do next.
    pub(crate) fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Usage(_) => Some("celerypond --help lists all commands"),
            Self::Explain(_) => Some("give the files of all instances, and the id of one attempt"),
            Self::Superseded => {
                Some("compare with `celerypond diff`, then roll again if it still fits")
            }
            Self::Client(ClientError::Unreachable(_)) => {
                Some("check --at, and that an instance runs there")
            }
            Self::Client(ClientError::Api(error)) => match error.kind.as_str() {
                "unauthorized" => Some("check --key-file or CELERYPOND_KEY"),
                "not_run" => Some("nothing was run; the command may be given again"),
                "unknown" => Some("it may have run; give the command again with the same --key"),
                _ => None,
            },
            _ => None,
        }
    }
}

fn client_exit_code(error: &ClientError) -> u8 {
    match error {
        ClientError::InvalidRequest | ClientError::InvalidResponse => 1,
        ClientError::Unreachable(_) => 3,
        ClientError::ConnectionClosed | ClientError::Timeout(_) => 4,
        ClientError::Api(error) => match error.kind.as_str() {
            "bad_request" | "too_large" | "not_found" => 2,
            "not_run" => 3,
            "unknown" => 4,
            "incomplete" => 5,
            "conflict" => 6,
            "unauthorized" => 7,
            _ => 1,
        },
    }
}
