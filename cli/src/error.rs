//! The ways in which a request to celerypond fails.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A failure that an instance reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Its kind, such as `not_run` or `unknown`.
    pub kind: String,
    /// What happened.
    pub message: String,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// A failed request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ClientError {
    /// No instance accepted a connection; nothing was sent.
    #[error("no instance could be reached, the last tried was {0}")]
    Unreachable(SocketAddr),
    /// The connection ended before the answer; the request may have run.
    #[error("the connection ended before the answer")]
    Broken,
    /// No answer came in time; the request may have run.
    #[error("no answer came within {0:?}")]
    Timeout(Duration),
    /// The answer is not of the agreed form.
    #[error("the answer is not of the agreed form")]
    Malformed,
    /// The request can't be sent as given.
    #[error("the request is not valid")]
    Request,
    /// The instance answered with a failure.
    #[error("{}: {}", .0.kind, .0.message)]
    Problem(Problem),
}

impl ClientError {
    /// Returns whether the error proves that the request did not run.
    pub fn proves_not_run(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Request => true,
            Self::Problem(problem) => problem.kind == "not_run",
            _ => false,
        }
    }
}
