//! The integration tests of the crate, in one binary.

mod test_cache;
mod test_drain;
mod test_fixture;
mod test_leaving;
mod test_pick;
mod test_queue;
mod test_retries;
mod test_scripts;
mod test_share;
