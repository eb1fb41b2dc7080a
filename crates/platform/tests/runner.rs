//! All integration tests of this crate, in one binary.

mod server;
mod test_call_budget;
mod test_calls;
mod test_connections;
