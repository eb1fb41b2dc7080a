//! Answers by which a service proves that a call did not run.

/// The status codes by which a service proves that a call did not run, from the bundle.
///
/// Without such a word no status is a proof: a service can fail, or time out a part of its own,
/// after it has done the work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NotRunCodes(Box<[u16]>);

impl NotRunCodes {
    /// Takes the codes of a bundle's service. Codes below 400 prove nothing and are left out.
    pub fn new(codes: &[u16]) -> Self {
        Self(codes.iter().copied().filter(|code| *code >= 400).collect())
    }

    /// Returns whether an answer with this status proves that the call did not run.
    pub fn contains(&self, status: u16) -> bool {
        self.0.contains(&status)
    }
}
