//! What callers say in headers.

use std::time::Duration;

use bytes::Bytes;
use celerypond_types::{Priority, RequestKey};
use gotham::{helpers::http::Body, hyper::HeaderMap};
use rand::Rng;

use crate::{
    body::{self, BodyError},
    front::problem::{Kind, Problem},
    node::Node,
};

/// The header by which a caller names a request across its retries.
pub const KEY: &str = "idempotency-key";
/// The header that says how long the caller waits, in milliseconds.
pub const DEADLINE: &str = "celerypond-deadline-ms";
/// The header that says how urgent the request is.
pub const PRIORITY: &str = "celerypond-priority";
const LONGEST_KEY: usize = 128;

/// Returns the caller's name for the request, or a random one.
///
/// # Errors
///
/// `BadRequest` for a key that is not safe in paths and logs.
pub fn request_key(headers: &HeaderMap, rng: &mut impl Rng) -> Result<RequestKey, Problem> {
    match given_key(headers)? {
        Some(key) => Ok(key),
        None => Ok(RequestKey::new(format!("{:032x}", rng.random::<u128>()))),
    }
}

/// Returns the caller's name for the request, if it gave one.
///
/// # Errors
///
/// `BadRequest` for a key that is not safe in paths and logs.
pub fn given_key(headers: &HeaderMap) -> Result<Option<RequestKey>, Problem> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if key.is_empty() || key.len() > LONGEST_KEY || !key.chars().all(plain) {
        let message = "idempotency-key must be 1 to 128 of a-z, A-Z, 0-9, '.', '_' and '-'";
        return Err(Problem::new(Kind::BadRequest, message));
    }
    Ok(Some(RequestKey::new(key)))
}

/// Returns how long the caller waits, at most `longest`.
///
/// # Errors
///
/// `BadRequest` for a text that is no number.
pub fn deadline(headers: &HeaderMap, longest: Duration) -> Result<Duration, Problem> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(longest);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    match millis {
        Some(millis) => Ok(longest.min(Duration::from_millis(millis))),
        None => Err(Problem::new(
            Kind::BadRequest,
            "celerypond-deadline-ms must be a whole number of milliseconds",
        )),
    }
}

/// Returns how urgent the request is.
///
/// # Errors
///
/// `BadRequest` for a text that is no priority.
pub fn priority(headers: &HeaderMap, default: Priority) -> Result<Priority, Problem> {
    match headers.get(PRIORITY).map(|value| value.as_bytes()) {
        None => Ok(default),
        Some(b"interactive") => Ok(Priority::Interactive),
        Some(b"draft") => Ok(Priority::Draft),
        Some(_) => Err(Problem::new(
            Kind::BadRequest,
            "celerypond-priority must be interactive or draft",
        )),
    }
}

/// Reads a body of at most the length that the settings allow.
///
/// # Errors
///
/// `TooLarge` or `BadRequest`.
pub async fn read_body(node: &Node, body: Body) -> Result<Bytes, Problem> {
    let limit = node.settings.body_limit;
    body::read(body, limit).await.map_err(|error| {
        let kind = match error {
            BodyError::TooLong => Kind::TooLarge,
            BodyError::CutShort => Kind::BadRequest,
        };
        Problem::new(kind, error)
    })
}
