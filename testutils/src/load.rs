//! Callers that ask again and again, and what became of their requests.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use celerypond_cli::{Client, CompletionRequest};
use serde::Serialize;
use tokio::time::{timeout_at, Instant};

/// How long an answer may take.
const LIMIT: Duration = Duration::from_secs(60);

/// What callers do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The addresses of the system; callers are spread over them.
    pub addresses: Vec<SocketAddr>,
    /// The account's key.
    pub key: String,
    /// The model.
    pub model: String,
    /// How many callers ask at once.
    pub callers: u64,
    /// For how long.
    pub time: Duration,
    /// How many tokens each asks for.
    pub tokens: u32,
}

/// What became of the requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Whole answers, by the version that generated them.
    pub answers: BTreeMap<String, u64>,
    /// Requests that failed, by what the caller was told.
    pub failures: BTreeMap<String, u64>,
    /// The times to the first token in milliseconds: the median and the 99th percentile.
    pub first_token_ms: (f64, f64),
}

#[derive(Default)]
struct Seen {
    outcome: Outcome,
    first: Vec<f64>,
}

impl Plan {
    /// Asks until the time is over.
    pub async fn run(&self) -> Outcome {
        let seen = Mutex::new(Seen::default());
        let until = Instant::now() + self.time;
        let callers = (0..self.callers).map(|caller| self.caller(caller, until, &seen));
        futures::future::join_all(callers).await;
        let mut seen = seen.into_inner().unwrap_or_else(PoisonError::into_inner);
        seen.first.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let rank = (seen.first.len() as f64 * part) as usize;
            seen.first.get(rank).copied().unwrap_or(0.0)
        };
        seen.outcome.first_token_ms = (at(0.5), at(0.99));
        seen.outcome
    }

    async fn caller(&self, caller: u64, until: Instant, seen: &Mutex<Seen>) {
        let mut known = self.addresses.clone();
        let turn = caller as usize % known.len().max(1);
        known.rotate_left(turn);
        let Ok(client) = Client::new(known, &self.key) else {
            return;
        };
        let mut seed = caller << 32;
        while Instant::now() < until {
            seed += 1;
            // An answer that is still on its way at the end is left out.
            let _ = timeout_at(until, self.ask(&client, seed, seen)).await;
        }
    }

    async fn ask(&self, client: &Client, seed: u64, seen: &Mutex<Seen>) {
        let prompt = CompletionRequest {
            model: self.model.clone(),
            prompt: format!("cut list {seed}"),
            max_tokens: self.tokens,
            seed: Some(seed),
            adapter: None,
            key: None,
            timeout: LIMIT,
        };
        let began = Instant::now();
        let mut answer = client.generate(prompt).await;
        let mut first = None;
        let ended = loop {
            match answer.next().await {
                Ok(_) => first = first.or(Some(began.elapsed().as_secs_f64() * 1e3)),
                Err(ended) => break ended,
            }
        };
        let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.first.extend(first);
        let (counts, name) = match ended {
            Ok(ended) => (&mut seen.outcome.answers, ended.version),
            Err(report) => (
                &mut seen.outcome.failures,
                report.current_context().to_string(),
            ),
        };
        *counts.entry(name).or_default() += 1;
    }
}
