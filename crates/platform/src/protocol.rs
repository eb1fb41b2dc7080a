//! How the calls of a store are put into HTTP, and how its answers are read.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};

use crate::{Changes, Listing, PlatformError, Version};

/// One call on the objects of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// Reads the object with this key.
    Get(&'a str),
    /// Lists up to `limit` objects under `prefix` whose keys are greater than `after`.
    List {
        /// What the keys begin with.
        prefix: &'a str,
        /// The last key of the page before; empty for the first page.
        after: &'a str,
        /// The most objects that the page may have.
        limit: usize,
    },
    /// Lists the first page of objects under a prefix as they were a moment ago, where the store has a
    /// cheaper way for that.
    ListStale(&'a str),
    /// Waits up to `wait` for a change under `prefix` after the revision `since`.
    Watch {
        /// What the keys begin with.
        prefix: &'a str,
        /// The revision up to which changes are known.
        since: Version,
        /// The longest wait.
        wait: Duration,
    },
    /// Creates the object with this key if there is none.
    Create(&'a str),
    /// Replaces the object with this key if it still has the version.
    Update(&'a str, Version),
    /// Deletes the object with this key if it still has the version.
    Delete(&'a str, Version),
}

/// A call as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedCall {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The condition of a write, where a header carries it.
    pub condition: Option<(HeaderName, String)>,
    /// The body.
    pub body: Bytes,
}

/// An answer of the store, read to its end.
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

/// The form in which a store speaks; the client keeps to budgets, timeouts and failures, which are
/// the same for all.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Puts a call with its value into HTTP.
    pub encode: fn(&Call<'_>, Bytes) -> EncodedCall,
    /// Reads the version of an object or of a write, and the value of an object that was asked for
    /// by this key.
    pub object: fn(&str, &Response) -> Result<VersionedValue, PlatformError>,
    /// Reads a page of a list under a prefix.
    pub listing: fn(&str, &[u8]) -> Result<Listing, PlatformError>,
    /// Reads what a watch under a prefix saw.
    pub changes: fn(&str, &[u8]) -> Result<Changes, PlatformError>,
}
