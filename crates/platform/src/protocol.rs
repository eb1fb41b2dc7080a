//! The HTTP protocol of an object store.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};

use crate::{Changes, Listing, PlatformError, Version};

/// A call on the objects of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// Reads the object with this key.
    Get(&'a str),
    /// Lists up to `limit` objects under `prefix` whose keys are greater than `after`.
    List {
        /// The common prefix of the keys.
        prefix: &'a str,
        /// The last key of the previous page; empty for the first page.
        after: &'a str,
        /// The maximum number of objects in the page.
        limit: usize,
    },
    /// Lists the first page of objects under a prefix. If the store has a cheaper call that returns
    /// them as they were a moment ago, it is used.
    ListStale(&'a str),
    /// Waits up to `wait` for a change under `prefix` after the revision `since`.
    Watch {
        /// The common prefix of the keys.
        prefix: &'a str,
        /// The revision after which changes are reported.
        since: Version,
        /// The maximum time to wait.
        wait: Duration,
    },
    /// Creates the object with this key if none exists.
    Create(&'a str),
    /// Replaces the object with this key if it still has this version.
    Update(&'a str, Version),
    /// Deletes the object with this key if it still has this version.
    Delete(&'a str, Version),
}

/// A call encoded as an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedCall {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The header with the precondition of a write, if the protocol uses one.
    pub condition: Option<(HeaderName, String)>,
    /// The request body.
    pub body: Bytes,
}

/// A complete HTTP response of the store.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The version and the value of an object.
pub type VersionedValue = (Version, Bytes);

/// Encodes the calls to a store as HTTP requests and decodes its responses.
///
/// Call budgets, timeouts and the classification of failures are the same for every protocol and
/// belong to the [`Client`](crate::Client).
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Encodes a call; the second argument is the value to be written.
    pub encode: fn(&Call<'_>, Bytes) -> EncodedCall,
    /// Decodes the response to a read or a write of the object with this key. The value is
    /// meaningful for a read only.
    pub object: fn(&str, &Response) -> Result<VersionedValue, PlatformError>,
    /// Decodes a page of a listing under a prefix.
    pub listing: fn(&str, &[u8]) -> Result<Listing, PlatformError>,
    /// Decodes the changes that a watch under a prefix reported.
    pub changes: fn(&str, &[u8]) -> Result<Changes, PlatformError>,
}
