//! The configuration of routed requests, as set by operators.

use std::time::Duration;

use celerypond_types::{AccountName, ServiceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A version of the configuration: routes, services and accounts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version number; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// The client accounts; if there are none, no request needs a key.
    pub accounts: Vec<Account>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
}

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests are idempotent.
    Safe,
    /// A request must run at most once.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// Whether a broken stream may be continued by another target.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may already have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// A route for requests to a host with a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: SmolStr,
    /// The host of the request.
    pub host: SmolStr,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// The maximum time that a caller waits.
    pub timeout: Duration,
    /// The latency target of a response; for streams, of the first event.
    pub aim: Duration,
    /// The maximum time between two events of a stream that meets its latency target.
    pub gap_aim: Option<Duration>,
    /// The maximum number of targets that one request may run at.
    pub attempts: u32,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The services that share the requests of the route, by weight.
    pub backends: Vec<Backend>,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
}

/// A service and its weight on a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// The weight among the route's services.
    pub weight: u32,
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The path of its health check.
    pub health: SmolStr,
    /// The maximum number of connections that one target accepts from all instances together.
    pub connections: u32,
    /// The limits of its engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
}

/// The limits and capabilities of a service's engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The KV cache capacity of an engine, in tokens.
    pub tokens: u64,
    /// Whether the KV cache of a running request can be backed up to another engine as it grows.
    pub backups: bool,
    /// Whether the KV cache of a running request can be copied to another engine on demand.
    pub copies: bool,
    /// The number of tokens in an event of a stream; `None` if it is not stated.
    pub event_tokens: Option<u32>,
    /// How long a backup is kept after its last update.
    pub backup_ttl: Duration,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The name.
    pub name: AccountName,
    /// The API keys of the account.
    pub keys: Vec<SmolStr>,
    /// The priority of its requests; it overrides the priority of the route.
    pub priority: Option<u8>,
}

/// Limits on the size of a caller's requests and the time that they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time for receiving a request head.
    pub head_time: Duration,
    /// The maximum time that a connection may stay open without a request.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// The limits before the first configuration is received: usual values of web servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
