//! An instance that relays routed requests, on the users' platform.
//!
//! The decisions are in `celerypond-relay`, the platform's words in `celerypond-adapter`; here are
//! the sockets, the tasks and the clock.

mod attempt;
mod board;
mod callers;
mod connections;
mod flow;
mod lease;
mod listen;
mod members;
mod plain;
mod questions;
mod reload;
mod reply;
mod request;
mod revive;
mod run;
mod site;
mod start;
mod stop;
mod stream;
mod watches;

pub use start::{run, RelayError};
