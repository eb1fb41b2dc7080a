//! The integration tests of the crate, in one binary.

mod test_history;
mod test_resume;
mod test_splice;
mod world;
