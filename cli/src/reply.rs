//! Answers of plain services.

use bytes::Bytes;

/// An answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The service's status code.
    pub status: u16,
    /// The service's answer.
    pub body: Bytes,
}

/// What to call at a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Called {
    /// The service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path below the service, which begins with a slash.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The key by which the call runs at most once, whoever sends it again.
    pub key: Option<String>,
}
