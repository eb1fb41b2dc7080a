//! What operators put in force for routed requests.

use std::time::Duration;

use celerypond_types::{AccountName, ServiceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The routes, services and accounts of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// The client accounts; where there are none, no request needs a key.
    pub accounts: Vec<Account>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests are idempotent.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// Whether a broken stream may go on at another target.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// One route: requests to a host under a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: SmolStr,
    /// The host that callers name.
    pub host: SmolStr,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The latency within which a response is on time; to the first event for streams.
    pub aim: Duration,
    /// The longest pause between events with which a stream is still on time.
    pub gap_aim: Option<Duration>,
    /// The most targets that one request may run at.
    pub attempts: u32,
    /// The rank; 0 goes first.
    pub priority: u8,
    /// The services that share the route's requests, by weight.
    pub backends: Vec<Backend>,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// A service and its share of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// The weight among the route's services.
    pub weight: u32,
}

/// A service behind routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The path of its health check.
    pub health: SmolStr,
    /// The most connections that one target accepts from all callers together.
    pub connections: u32,
    /// The limits of its engines; nothing for a plain service.
    pub engine: Option<EngineLimits>,
}

/// What the engines of a service can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// The memory of one engine, in tokens.
    pub tokens: u64,
    /// Whether a running request's memory can be copied to another engine as it grows.
    pub backups: bool,
    /// Whether a running request's memory can be copied to another engine by order.
    pub copies: bool,
    /// How long such a copy is kept after its last part.
    pub backup_ttl: Duration,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The name.
    pub name: AccountName,
    /// The keys that its callers send.
    pub keys: Vec<SmolStr>,
    /// The rank of its requests; it goes before the route's.
    pub priority: Option<u8>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// The limits before the first configuration: those that web servers usually have.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
