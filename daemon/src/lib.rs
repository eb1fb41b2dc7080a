//! The daemon `celerypondd` as a library: the I/O around the crates that make decisions.
//!
//! Those crates consist of state machines without I/O, tasks or clocks. This crate owns the sockets,
//! the clock and the tasks, passes inputs to the state machines and carries out their effects.

pub mod active_bundle;
pub mod admission;
pub mod body;
pub mod bundle_subset;
pub mod charge;
pub mod engine;
pub mod engine_stream;
pub mod forward;
pub mod front;
pub mod generation;
pub mod gossip;
pub mod http_call;
pub mod keeper_records;
pub mod ledger;
pub mod limits;
pub mod listener;
pub mod node;
pub mod orders;
pub mod peer_server;
pub mod peers;
pub mod progress_timeouts;
pub mod relay;
pub mod resident_memory;
pub mod rollouts;
pub mod roster;
pub mod server;
pub mod service_call;
pub mod store;
pub mod supervised;
pub mod suspects;
pub mod target_watch;
pub mod watch;
