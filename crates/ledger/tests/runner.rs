//! The integration tests of the crate, in one binary.

mod history;
mod memory_store;
mod simulation;
mod test_failure;
mod test_history;
mod test_replies;
mod test_scripts;
mod test_shard;
mod test_slot_reuse;
mod test_sockets;
