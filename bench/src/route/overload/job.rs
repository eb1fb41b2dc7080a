//! A request and its tries.

use celerypond_route::InFlight;
use celerypond_types::Priority;
use rand::{rngs::SmallRng, Rng};

use super::{ACCOUNTS, END_MS, LARGE};

const DRAFTS: f64 = 0.3;
const INTERACTIVE_MS: f64 = 300.0;
const DRAFT_MS: f64 = 1_500.0;
/// The mean work of a request.
pub(crate) const MEAN_MS: f64 = INTERACTIVE_MS * (1.0 - DRAFTS) + DRAFT_MS * DRAFTS;

/// A request.
pub(crate) struct Job {
    pub(crate) account: usize,
    pub(crate) instance: usize,
    pub(crate) priority: Priority,
    pub(crate) arrival: u64,
    /// When its caller stops waiting for it to start.
    pub(crate) deadline: u64,
    /// Its work, in milliseconds.
    pub(crate) service: f64,
    pub(crate) started: Option<u64>,
    pub(crate) refused: Option<u64>,
    pub(crate) failed: bool,
    pub(crate) tries: u32,
    /// How many tries wait or run.
    pub(crate) live: u32,
    /// The engines that failed it.
    pub(crate) avoid: Vec<usize>,
}

/// One try of a request at an engine.
pub(crate) struct Try {
    pub(crate) job: usize,
    pub(crate) at: usize,
    pub(crate) sent: u64,
    pub(crate) started: bool,
    pub(crate) over: bool,
    pub(crate) open: Option<InFlight>,
}

impl Job {
    pub(crate) fn is_good(&self) -> bool {
        !self.failed && self.started.is_some_and(|at| at <= self.deadline)
    }

    pub(crate) fn patience(&self) -> u64 {
        self.deadline - self.arrival
    }

    fn draw(rng: &mut SmallRng, arrival: u64, instances: usize) -> Self {
        let is_draft = rng.random_bool(DRAFTS);
        let (priority, mean, patience) = match is_draft {
            true => (Priority::Draft, DRAFT_MS, 8_000),
            false => (Priority::Interactive, INTERACTIVE_MS, 2_000),
        };
        let drawn: f64 = rng.random();
        let account = match drawn {
            _ if drawn < LARGE => 0,
            _ if drawn < 2.0 * LARGE => 1,
            _ => rng.random_range(2..ACCOUNTS),
        };
        Self {
            account,
            instance: rng.random_range(0..instances),
            priority,
            arrival,
            deadline: arrival + patience,
            service: (-rng.random::<f64>().ln() * mean).max(1.0),
            started: None,
            refused: None,
            failed: false,
            tries: 0,
            live: 0,
            avoid: Vec::new(),
        }
    }
}

/// Draws all requests of a run, which come at `per_ms` on average.
pub(crate) fn draw(rng: &mut SmallRng, per_ms: f64, instances: usize) -> Vec<Job> {
    let mut at = 0.0;
    let mut jobs = Vec::new();
    loop {
        at += -rng.random::<f64>().ln() / per_ms;
        if at >= END_MS as f64 {
            return jobs;
        }
        jobs.push(Job::draw(rng, at as u64, instances));
    }
}
