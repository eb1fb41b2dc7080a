//! Calls to plain services and their responses.

use bytes::Bytes;

/// The response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The name of the service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path within the service, with a leading slash.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The idempotency key. The system runs calls with the same key at most once, whichever client
    /// sends them.
    pub key: Option<String>,
}
