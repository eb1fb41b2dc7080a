//! The integration tests of the crate, in one binary.

mod simulation;
mod test_history;
mod test_keeper;
mod test_resume;
mod test_resume_scheduler;
mod test_scripts;
mod test_sequence;
mod test_takeover;
mod test_timeouts;
