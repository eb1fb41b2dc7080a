//! The request headers of callers, and their bodies.

use std::time::Duration;

use bytes::Bytes;
use celerypond_types::{Priority, RequestKey};
use gotham::{helpers::http::Body, hyper::HeaderMap};
use rand::Rng;

use crate::{
    body::{self, BodyError},
    front::api_error::{ApiError, ErrorKind},
    node::Node,
};

/// The header with the key that identifies a request across the caller's retries.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header with the time that the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "celerypond-deadline-ms";
/// The header with the priority of the request.
pub const PRIORITY_HEADER: &str = "celerypond-priority";
const MAX_KEY_LENGTH: usize = 128;

/// Returns the caller's key for the request, or a random one.
///
/// # Errors
///
/// `BadRequest` if the key is not safe in paths and logs.
pub fn request_key(headers: &HeaderMap, rng: &mut impl Rng) -> Result<RequestKey, ApiError> {
    match idempotency_key(headers)? {
        Some(key) => Ok(key),
        None => Ok(RequestKey::new(format!("{:032x}", rng.random::<u128>()))),
    }
}

/// Returns the caller's key for the request, if it sent one.
///
/// # Errors
///
/// `BadRequest` if the key is not safe in paths and logs.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<RequestKey>, ApiError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if key.is_empty() || key.len() > MAX_KEY_LENGTH || !key.chars().all(is_allowed) {
        let message = "idempotency-key must be 1 to 128 of a-z, A-Z, 0-9, '.', '_' and '-'";
        return Err(ApiError::new(ErrorKind::BadRequest, message));
    }
    Ok(Some(RequestKey::new(key)))
}

/// Returns how long the caller waits, but at most `max`.
///
/// # Errors
///
/// `BadRequest` if the value is not a whole number.
pub fn time_limit(headers: &HeaderMap, max: Duration) -> Result<Duration, ApiError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(max);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    match millis {
        Some(millis) => Ok(max.min(Duration::from_millis(millis))),
        None => Err(ApiError::new(
            ErrorKind::BadRequest,
            "celerypond-deadline-ms must be a whole number of milliseconds",
        )),
    }
}

/// Returns the priority of the request.
///
/// # Errors
///
/// `BadRequest` if the value is not a priority.
pub fn priority(headers: &HeaderMap, default: Priority) -> Result<Priority, ApiError> {
    match headers.get(PRIORITY_HEADER).map(|value| value.as_bytes()) {
        None => Ok(default),
        Some(b"interactive") => Ok(Priority::Interactive),
        Some(b"draft") => Ok(Priority::Draft),
        Some(_) => Err(ApiError::new(
            ErrorKind::BadRequest,
            "celerypond-priority must be interactive or draft",
        )),
    }
}

/// Reads a body, up to the maximum length in the settings.
///
/// # Errors
///
/// `TooLarge` if it is longer, `BadRequest` if it ends early.
pub async fn read_body(node: &Node, mut body: Body) -> Result<Bytes, ApiError> {
    let limit = node.settings.body_limit;
    let error = match body::read(&mut body, limit).await {
        Ok(bytes) => return Ok(bytes),
        Err(error) => error,
    };
    let kind = match error {
        BodyError::TooLong => ErrorKind::TooLarge,
        BodyError::Truncated => ErrorKind::BadRequest,
    };
    if error == BodyError::TooLong {
        body::discard(&mut body, limit).await;
    }
    Err(ApiError::new(kind, error))
}
