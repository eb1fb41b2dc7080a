//! Authentication of client accounts and operators.

use celerypond_bundle::{Account, Operator};
use celerypond_types::Digest;
use gotham::hyper::HeaderMap;
use http::header;

use crate::{
    active_bundle::ActiveBundle,
    front::api_error::{ApiError, ErrorKind},
    node::Node,
};

const SCHEME: &str = "Bearer ";

/// Finds the account whose key the request carries.
///
/// # Errors
///
/// `Unauthorized`, with the same message for a missing and a wrong key.
pub fn account<'a>(active: &'a ActiveBundle, headers: &HeaderMap) -> Result<&'a Account, ApiError> {
    let digest = key_digest(headers).ok_or_else(unauthorized)?;
    active.account(&digest).ok_or_else(unauthorized)
}

/// Finds the operator whose key the request carries.
///
/// # Errors
///
/// `Unauthorized`, with the same message for a missing and a wrong key.
pub fn operator<'a>(node: &'a Node, headers: &HeaderMap) -> Result<&'a Operator, ApiError> {
    let digest = key_digest(headers).ok_or_else(unauthorized)?;
    let operators = node.settings.operators.iter();
    // Only digests are compared, so the time that it takes reveals nothing about a key.
    operators
        .into_iter()
        .find(|operator| operator.key_digest == digest)
        .ok_or_else(unauthorized)
}

fn key_digest(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix(SCHEME)?.trim();
    (!key.is_empty()).then(|| Digest::of(key.as_bytes()))
}

fn unauthorized() -> ApiError {
    ApiError::new(ErrorKind::Unauthorized, "the key is missing or wrong")
}
