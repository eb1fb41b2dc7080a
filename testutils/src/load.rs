//! A load generator: callers that send one request after another, and a summary of the outcomes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use celerypond_cli::{Client, CompletionRequest};
use serde::Serialize;
use tokio::time::{timeout_at, Instant};

/// The maximum time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// The settings of a load generator.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The addresses of the instances. Callers are spread over them.
    pub addresses: Vec<SocketAddr>,
    /// The key of the client account.
    pub key: String,
    /// The model.
    pub model: String,
    /// The number of concurrent callers.
    pub callers: u64,
    /// The time for which callers send requests.
    pub duration: Duration,
    /// The maximum number of tokens of an answer.
    pub max_tokens: u32,
}

/// The outcomes of the requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The number of complete answers by the model version that generated them.
    pub answers: BTreeMap<String, u64>,
    /// The number of failed requests by the error that the caller received.
    pub failures: BTreeMap<String, u64>,
    /// The median and the 99th percentile of the time to the first token, in milliseconds.
    pub first_token_ms: (f64, f64),
}

#[derive(Default)]
struct Results {
    outcome: Outcome,
    first_token_ms: Vec<f64>,
}

impl LoadPlan {
    /// Sends requests until the duration has passed.
    pub async fn run(&self) -> Outcome {
        let results = Mutex::new(Results::default());
        let end = Instant::now() + self.duration;
        let callers = (0..self.callers).map(|caller| self.run_caller(caller, end, &results));
        futures::future::join_all(callers).await;
        let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
        results.first_token_ms.sort_by(f64::total_cmp);
        let percentile = |fraction: f64| {
            let rank = (results.first_token_ms.len() as f64 * fraction) as usize;
            results.first_token_ms.get(rank).copied().unwrap_or(0.0)
        };
        results.outcome.first_token_ms = (percentile(0.5), percentile(0.99));
        results.outcome
    }

    async fn run_caller(&self, caller: u64, end: Instant, results: &Mutex<Results>) {
        let mut addresses = self.addresses.clone();
        let offset = caller as usize % addresses.len().max(1);
        addresses.rotate_left(offset);
        let Ok(client) = Client::new(addresses, &self.key) else {
            return;
        };
        let mut seed = caller << 32;
        while Instant::now() < end {
            seed += 1;
            // A request that is unfinished at the end is not counted.
            let _ = timeout_at(end, self.send_request(&client, seed, results)).await;
        }
    }

    async fn send_request(&self, client: &Client, seed: u64, results: &Mutex<Results>) {
        let prompt = CompletionRequest {
            model: self.model.clone(),
            prompt: format!("cut list {seed}"),
            max_tokens: self.max_tokens,
            seed: Some(seed),
            adapter: None,
            key: None,
            timeout: ANSWER_TIMEOUT,
        };
        let start = Instant::now();
        let mut answer = client.generate(prompt).await;
        let mut first_token_ms = None;
        let result = loop {
            match answer.next().await {
                Ok(_) => {
                    first_token_ms = first_token_ms.or(Some(start.elapsed().as_secs_f64() * 1e3))
                }
                Err(result) => break result,
            }
        };
        let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
        results.first_token_ms.extend(first_token_ms);
        let (counts, name) = match result {
            Ok(completed) => (&mut results.outcome.answers, completed.version),
            Err(report) => (
                &mut results.outcome.failures,
                report.current_context().to_string(),
            ),
        };
        *counts.entry(name).or_default() += 1;
    }
}
