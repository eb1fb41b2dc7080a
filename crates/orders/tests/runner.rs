//! Runs the tests of the crate.
