//! Exit codes and hints for the person at the terminal.

use std::process::ExitCode;

use celerypond_cli::{ClientError, ExplainError};
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The command line or the environment is not complete.
    #[error("{0}")]
    Usage(&'static str),
    /// A file could not be read.
    #[error("{0}: {1}")]
    File(std::path::PathBuf, #[source] std::io::Error),
    /// A document has faults, which were printed.
    #[error("{0} faults")]
    Faults(usize),
    /// A digest, an address or a number is not of its form.
    #[error("{0} is not {1}")]
    Form(String, &'static str),
    /// Another operator came first.
    #[error("another roll came first; `celerypond status` shows it")]
    Outrun,
    /// The rollout ended by being taken back.
    #[error("the rollout was taken back")]
    TakenBack,
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
    /// Returns the exit code, as `docs/cli.md` lists them.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::File(..) | Self::Explain(_) => 1,
            Self::Usage(_) | Self::Faults(_) | Self::Form(..) => 2,
            Self::Outrun => 6,
            Self::TakenBack => 8,
            Self::Client(error) => client_code(error),
        })
    }

    /// Returns what the person may do next.
    pub(crate) fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Usage(_) => Some("celerypond --help lists all commands"),
            Self::Explain(_) => Some("give the files of all instances, and the id of one attempt"),
            Self::Outrun => {
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

fn client_code(error: &ClientError) -> u8 {
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
