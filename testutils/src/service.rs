//! A stand-in for a plain service. It does not deduplicate calls: each execution takes effect.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time;

use crate::{
    fault::{self, ServiceFault},
    reply::{self, Reply},
    server::Server,
};

/// How long a connection stays open whose call gets no reply. Stands for never replying.
const NO_REPLY_DELAY: Duration = Duration::from_secs(3600);

/// A stand-in plain service. Clones share its state.
#[derive(Clone, Default)]
pub struct Service {
    shared: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    executions: Vec<Execution>,
    calls_to_fail: u32,
    replies_to_lose: u32,
    calls_to_refuse: u32,
    delay: Duration,
    leaving: bool,
    running: usize,
}

/// One execution of a call that takes effect, which is any but a GET.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The idempotency key of the call, or an empty string if it had none.
    pub key: SmolStr,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path.
    pub path: SmolStr,
    /// The body.
    pub body: String,
}

#[derive(Serialize)]
struct Health {
    state: &'static str,
    running: usize,
}

#[derive(Serialize)]
struct Answer<'a> {
    number: usize,
    path: &'a str,
    echo: &'a str,
}

enum CallOutcome {
    Answer(usize),
    FailAfterRun,
    NoReply,
    Refuse,
}

impl Service {
    /// Starts serving on `address`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let service = self.clone();
        let handle = move |request| {
            let service = service.clone();
            async move { service.handle_request(request).await }
        };
        Server::start(address, handle).await
    }

    /// Changes the faults that the service simulates.
    pub fn set_faults(&self, change: ServiceFault) {
        let mut state = self.lock();
        state.calls_to_fail = change.fail_after_run.unwrap_or(state.calls_to_fail);
        state.replies_to_lose = change.swallow.unwrap_or(state.replies_to_lose);
        state.calls_to_refuse = change.refuse.unwrap_or(state.calls_to_refuse);
        state.leaving = change.leaving.unwrap_or(state.leaving);
        state.delay = change.slow_ms.map_or(state.delay, Duration::from_millis);
    }

    /// Returns all executions so far, in order.
    pub fn log(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    async fn handle_request(&self, request: Request<Bytes>) -> Reply {
        match request.uri().path() {
            "/_fault" => match serde_json::from_slice(request.body()) {
                Ok(change) => {
                    self.set_faults(change);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => reply::bytes(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/_log" => reply::json(StatusCode::OK, &self.log()),
            "/health" => reply::json(StatusCode::OK, &self.health()),
            _ => self.handle_call(&request).await,
        }
    }

    fn health(&self) -> Health {
        let state = self.lock();
        Health {
            state: if state.leaving { "leaving" } else { "live" },
            running: state.running,
        }
    }

    async fn handle_call(&self, request: &Request<Bytes>) -> Reply {
        let delay = self.lock().delay;
        time::sleep(delay).await;
        match self.execute(request) {
            CallOutcome::Answer(number) => {
                let answer = Answer {
                    number,
                    path: request.uri().path(),
                    echo: std::str::from_utf8(request.body()).unwrap_or_default(),
                };
                reply::json(StatusCode::OK, &answer)
            }
            CallOutcome::FailAfterRun => reply::empty(StatusCode::INTERNAL_SERVER_ERROR),
            CallOutcome::Refuse => reply::unavailable(1),
            CallOutcome::NoReply => {
                time::sleep(NO_REPLY_DELAY).await;
                reply::empty(StatusCode::OK)
            }
        }
    }

    fn execute(&self, request: &Request<Bytes>) -> CallOutcome {
        let mut state = self.lock();
        if fault::consume(&mut state.calls_to_refuse) {
            return CallOutcome::Refuse;
        }
        let key = request.headers().get("idempotency-key");
        let key = key
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let has_effect = request.method() != Method::GET;
        if has_effect {
            state.executions.push(Execution {
                key: key.into(),
                method: request.method().as_str().into(),
                path: request.uri().path().into(),
                body: String::from_utf8_lossy(request.body()).into_owned(),
            });
        }
        if has_effect && fault::consume(&mut state.calls_to_fail) {
            return CallOutcome::FailAfterRun;
        }
        if has_effect && fault::consume(&mut state.replies_to_lose) {
            return CallOutcome::NoReply;
        }
        CallOutcome::Answer(state.executions.len())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
