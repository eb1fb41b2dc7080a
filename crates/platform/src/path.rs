//! Percent-encoding of paths and query values.

use std::fmt::Write as _;

/// Percent-encodes `text` for use in a path or as a query value. `/` is kept because it separates
/// the segments of a key.
pub(crate) fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                out.push(char::from(byte));
            }
            // Writing to a string cannot fail.
            _ => _ = write!(out, "%{byte:02X}"),
        }
    }
    out
}
