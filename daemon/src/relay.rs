//! An instance that relays routed requests, on the users' platform.
//!
//! The decisions are in `celerypond-relay`, the platform's words in `celerypond-adapter`; here are
//! the sockets, the tasks and the clock.

mod attempt;
mod board;
mod callers;
mod config_sync;
mod connections;
mod control;
mod copies;
mod fleet;
mod flow;
mod follow;
mod inbox;
mod knowledge;
mod lease;
mod listen;
mod members;
mod order_store;
mod passage;
mod peer_service;
mod plain;
mod prompts;
mod questions;
mod reload;
mod relocation;
mod reply;
mod request;
mod revive;
mod rollouts;
mod run;
mod site;
mod start;
mod stop;
mod store_backoff;
mod stream;
mod watch_duty;
mod watches;

use celerypond_telemetry::Volume;

pub use inbox::Inbox;
pub use start::{run, Instance, RelayError};

/// The bound on log lines: routine ones and those of failures, a second. A request writes about
/// three lines, so that the lines of 300 requests a second are kept; a line takes some microseconds.
pub static LOG_VOLUME: Volume = Volume::new(1_000, 500);
