//! Paths and query values.

use std::fmt::Write as _;

/// Escapes `text` for a path or query value; `/` stays, as keys are made of parts.
pub(crate) fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                out.push(char::from(byte));
            }
            // Writing to a string does not fail.
            _ => _ = write!(out, "%{byte:02X}"),
        }
    }
    out
}
