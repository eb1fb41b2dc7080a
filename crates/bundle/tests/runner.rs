//! All integration tests of this crate, in one binary.

mod test_bundle;
mod test_diff;
mod test_schema;
mod test_settings;
