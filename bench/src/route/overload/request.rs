//! Requests of the overload simulation and the attempts to serve them.

use celerypond_route::InFlight;
use celerypond_types::Priority;
use rand::{rngs::SmallRng, Rng};

use super::{ACCOUNTS, END_MS, LARGE_ACCOUNT_FRACTION};

const DRAFT_FRACTION: f64 = 0.3;
const INTERACTIVE_MS: f64 = 300.0;
const DRAFT_MS: f64 = 1_500.0;
/// The mean service time of a request.
pub(crate) const MEAN_SERVICE_MS: f64 =
    INTERACTIVE_MS * (1.0 - DRAFT_FRACTION) + DRAFT_MS * DRAFT_FRACTION;

/// A simulated request. Times are in milliseconds since the start.
pub(crate) struct Request {
    pub(crate) account: usize,
    pub(crate) instance: usize,
    pub(crate) priority: Priority,
    pub(crate) arrival: u64,
    /// The time by which it must start, after which its caller gives up.
    pub(crate) deadline: u64,
    /// Its service time in milliseconds.
    pub(crate) service: f64,
    pub(crate) started: Option<u64>,
    pub(crate) refused: Option<u64>,
    pub(crate) failed: bool,
    pub(crate) attempts: u32,
    /// The number of attempts that are queued or running.
    pub(crate) pending_attempts: u32,
    /// The engines where an attempt has failed.
    pub(crate) failed_engines: Vec<usize>,
}

/// An attempt to serve a request at an engine.
pub(crate) struct Attempt {
    /// The index of the request.
    pub(crate) request: usize,
    pub(crate) engine: usize,
    pub(crate) sent_ms: u64,
    pub(crate) started: bool,
    pub(crate) ended: bool,
    pub(crate) in_flight: Option<InFlight>,
}

impl Request {
    /// Returns whether the request started before its deadline and has not failed.
    pub(crate) fn is_good(&self) -> bool {
        !self.failed && self.started.is_some_and(|at| at <= self.deadline)
    }

    /// Returns how long the caller waits for the request to start.
    pub(crate) fn max_wait_ms(&self) -> u64 {
        self.deadline - self.arrival
    }

    fn draw(rng: &mut SmallRng, arrival: u64, instances: usize) -> Self {
        let is_draft = rng.random_bool(DRAFT_FRACTION);
        let (priority, mean, max_wait_ms) = match is_draft {
            true => (Priority::Draft, DRAFT_MS, 8_000),
            false => (Priority::Interactive, INTERACTIVE_MS, 2_000),
        };
        let account_draw: f64 = rng.random();
        let account = match account_draw {
            _ if account_draw < LARGE_ACCOUNT_FRACTION => 0,
            _ if account_draw < 2.0 * LARGE_ACCOUNT_FRACTION => 1,
            _ => rng.random_range(2..ACCOUNTS),
        };
        Self {
            account,
            instance: rng.random_range(0..instances),
            priority,
            arrival,
            deadline: arrival + max_wait_ms,
            service: (-rng.random::<f64>().ln() * mean).max(1.0),
            started: None,
            refused: None,
            failed: false,
            attempts: 0,
            pending_attempts: 0,
            failed_engines: Vec::new(),
        }
    }
}

/// Draws all requests of a run, with exponential intervals and `per_ms` arrivals per millisecond on
/// average.
pub(crate) fn draw_arrivals(rng: &mut SmallRng, per_ms: f64, instances: usize) -> Vec<Request> {
    let mut at = 0.0;
    let mut requests = Vec::new();
    loop {
        at += -rng.random::<f64>().ln() / per_ms;
        if at >= END_MS as f64 {
            return requests;
        }
        requests.push(Request::draw(rng, at as u64, instances));
    }
}
