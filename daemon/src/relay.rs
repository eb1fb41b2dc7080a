//! An instance that relays requests on the users' platform.
//!
//! The decisions are made in `celerypond-relay`, and the platform's protocols are in
//! `celerypond-adapter`. This module has the sockets, the tasks and the clock.

mod attempt;
mod body_receiver;
mod caller_account;
mod caller_connection;
mod caller_socket;
mod callers;
mod config_sync;
mod connections;
mod datagrams;
mod driven_order;
mod endpoints;
mod engine_calls;
mod event_buffer;
mod failed_attempt;
mod fleet;
mod framing_meter;
mod fullness;
mod held_prompts;
mod idle_timer;
mod inbox;
mod lease;
mod members;
mod metered_body;
mod notices;
mod observed_socket;
mod open_request;
mod order_proxy;
mod order_store;
mod peer_relay;
mod peer_service;
mod peer_stream;
mod probed_wait;
mod prompt_parts;
mod rate_limits;
mod reachability;
mod relayed_stream;
mod reload;
mod relocation;
mod reply;
mod request;
mod request_body;
mod request_losses;
mod response_memory;
mod restarted_engines;
mod returns;
mod rollout_driver;
mod rollouts;
mod routed_request;
mod run_copy;
mod sender;
mod signals;
mod single_response;
mod sockets;
mod start;
mod state;
mod statements;
mod stop;
mod store_backoff;
mod store_view;
mod stream;
mod stream_admission;
mod target_sync;
mod target_watch;
mod upload;
mod watch_duty;

use celerypond_telemetry::LogRateLimiter;

pub use inbox::{Inbox, Received};
pub use reload::read_settings;
pub use signals::ignore_signals;
pub use start::{run, Instance, RelayError};

/// The maximum number of log lines per second, for routine lines and for failures. A request writes
/// about three lines, so all lines of 300 requests per second are kept. A line takes a few
/// microseconds.
pub static LOG_LIMITER: LogRateLimiter = LogRateLimiter::new(1_000, 500);
