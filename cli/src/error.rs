//! Errors of requests to instances.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An error that an instance reported in a response body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// The error code, such as `not_run` or `unknown`.
    pub kind: String,
    /// A description for people.
    pub message: String,
    /// How long to wait before sending the request again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Why a request failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ClientError {
    /// No instance accepted a connection, so nothing was sent. Names the last address tried.
    #[error("no instance could be reached, the last tried was {0}")]
    Unreachable(SocketAddr),
    /// The connection closed before the response was complete; the request may have run.
    #[error("the connection ended before the answer")]
    ConnectionClosed,
    /// No response came in time; the request may have run.
    #[error("no answer came within {0:?}")]
    Timeout(Duration),
    /// The response does not follow the protocol.
    #[error("the answer is not of the agreed form")]
    InvalidResponse,
    /// The request cannot be sent: a header or the method is invalid, or there is no address.
    #[error("the request is not valid")]
    InvalidRequest,
    /// The instance reported an error.
    #[error("{}: {}", .0.kind, .0.message)]
    Api(ApiError),
}

impl ClientError {
    /// Returns whether the error proves that the request did not run.
    pub fn proves_not_run(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::InvalidRequest => true,
            Self::Api(error) => error.kind == "not_run",
            _ => false,
        }
    }
}
