//! HTTP status codes by which a service guarantees that a call did not run.

/// The status codes by which a service guarantees that a call did not run, as declared in the
/// bundle.
///
/// Without this declaration no status is a guarantee: a service can fail, or time out on one of its
/// own dependencies, after it has done the work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NotRunCodes(Box<[u16]>);

impl NotRunCodes {
    /// Creates the set from the codes that the bundle lists for a service. Codes below 400 are
    /// ignored, as they do not report a failure.
    pub fn new(codes: &[u16]) -> Self {
        Self(codes.iter().copied().filter(|code| *code >= 400).collect())
    }

    /// Returns whether a response with this status guarantees that the call did not run.
    pub fn contains(&self, status: u16) -> bool {
        self.0.contains(&status)
    }
}
