//! Who sends a request.

use celerypond_bundle::{Account, Operator};
use celerypond_types::Digest;
use gotham::hyper::HeaderMap;
use http::header;

use crate::{
    active_bundle::ActiveBundle,
    front::problem::{Kind, Problem},
    node::Node,
};

const SCHEME: &str = "Bearer ";

/// Finds the account whose key the request carries.
///
/// # Errors
///
/// `Unauthorized`, with the same text for a missing and a wrong key.
pub fn account<'a>(active: &'a ActiveBundle, headers: &HeaderMap) -> Result<&'a Account, Problem> {
    let digest = key_digest(headers).ok_or_else(refusal)?;
    active.account(&digest).ok_or_else(refusal)
}

/// Finds the operator whose key the request carries.
///
/// # Errors
///
/// `Unauthorized`, with the same text for a missing and a wrong key.
pub fn operator<'a>(node: &'a Node, headers: &HeaderMap) -> Result<&'a Operator, Problem> {
    let digest = key_digest(headers).ok_or_else(refusal)?;
    let operators = node.settings.operators.iter();
    // Digests are compared, not keys, so the time taken tells nothing about a key.
    operators
        .into_iter()
        .find(|operator| operator.key_digest == digest)
        .ok_or_else(refusal)
}

fn key_digest(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix(SCHEME)?.trim();
    (!key.is_empty()).then(|| Digest::of(key.as_bytes()))
}

fn refusal() -> Problem {
    Problem::new(Kind::Unauthorized, "the key is missing or wrong")
}
