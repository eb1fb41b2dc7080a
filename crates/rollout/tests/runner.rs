//! Builds all tests of the crate as one binary.

mod fake_fleet;
mod fake_store;
mod test_bundle_tracker;
mod test_merge;
mod test_operation;
mod test_rollout;
mod test_scripts;
mod test_share_increase;
