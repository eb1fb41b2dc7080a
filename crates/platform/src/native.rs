//! The native store protocol, specified in `docs/design/wire.md`.

use bytes::Bytes;
use http::{
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
    Method,
};

use crate::{
    path::escape,
    protocol::{Call, EncodedCall, Protocol, Response, VersionedValue},
    PlatformError, Version,
};

/// The native store protocol.
pub(crate) const NATIVE: Protocol = Protocol {
    encode,
    object,
    listing: |_, body| decode(body),
    changes: |_, body| decode(body),
};

fn encode(call: &Call<'_>, body: Bytes) -> EncodedCall {
    let (method, path, condition) = match *call {
        Call::Get(key) => (Method::GET, object_path(key), None),
        Call::List {
            prefix,
            after,
            limit,
        } => {
            let (prefix, after) = (escape(prefix), escape(after));
            let path = format!("/v1/objects?prefix={prefix}&after={after}&limit={limit}");
            (Method::GET, path, None)
        }
        Call::ListStale(prefix) => {
            let path = format!("/v1/objects?prefix={}&after=", escape(prefix));
            (Method::GET, path, None)
        }
        Call::Watch {
            prefix,
            since,
            wait,
        } => {
            let (prefix, wait_ms) = (escape(prefix), wait.as_millis());
            let path = format!("/v1/watch?prefix={prefix}&since={since}&wait_ms={wait_ms}");
            (Method::GET, path, None)
        }
        Call::Create(key) => {
            let if_absent = (IF_NONE_MATCH, "*".to_owned());
            (Method::PUT, object_path(key), Some(if_absent))
        }
        Call::Update(key, before) => (Method::PUT, object_path(key), Some(if_match(before))),
        Call::Delete(key, before) => (Method::DELETE, object_path(key), Some(if_match(before))),
    };
    EncodedCall {
        method,
        path,
        condition,
        body,
    }
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{}", escape(key))
}

fn if_match(before: Version) -> (http::HeaderName, String) {
    (IF_MATCH, format!("\"{before}\""))
}

fn object(_: &str, response: &Response) -> Result<VersionedValue, PlatformError> {
    let tag = response.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
    tag.and_then(|tag| tag.trim_matches('"').parse().ok())
        .map(|version| (Version(version), response.body.clone()))
        .ok_or(PlatformError::Malformed)
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::Malformed)
}
