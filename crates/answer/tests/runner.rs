//! The integration tests of the crate, in one binary.

mod test_history;
mod test_keeper;
mod test_pace;
mod test_resume;
mod test_scripts;
mod test_splice;
mod test_takeover;
mod test_timeouts;
mod world;
