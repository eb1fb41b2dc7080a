//! The integration tests of the crate, in one binary.

mod test_bundle;
mod test_diff;
mod test_schema;
mod test_settings;
