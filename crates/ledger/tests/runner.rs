//! The integration tests of the crate, in one binary.

mod history;
mod store;
mod test_failure;
mod test_history;
mod test_replies;
mod test_scripts;
mod test_shard;
mod test_sockets;
mod test_trace;
mod world;
