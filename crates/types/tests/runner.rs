//! All integration tests of this crate, in one binary.

mod test_digest;
