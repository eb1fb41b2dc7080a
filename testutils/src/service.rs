//! The stand-in for a plain service whose calls take effect each time they run.

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

const FOREVER: Duration = Duration::from_secs(3600);

/// The state of the stand-in service, shared by its connections.
#[derive(Clone, Default)]
pub struct Service {
    shared: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    runs: Vec<Run>,
    fail_after_run: u32,
    swallow: u32,
    refuse: u32,
    slow: Duration,
    leaving: bool,
    running: usize,
}

/// One execution of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The idempotency key that came with the call, or an empty text.
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

enum Fate {
    Answer(usize),
    Fail,
    Swallow,
    Refuse,
}

impl Service {
    /// Serves on an address.
    ///
    /// # Errors
    ///
    /// Gives the system's error when the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let service = self.clone();
        let handle = move |request| {
            let service = service.clone();
            async move { service.answer(request).await }
        };
        Server::start(address, handle).await
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: ServiceFault) {
        let mut inner = self.lock();
        inner.fail_after_run = change.fail_after_run.unwrap_or(inner.fail_after_run);
        inner.swallow = change.swallow.unwrap_or(inner.swallow);
        inner.refuse = change.refuse.unwrap_or(inner.refuse);
        inner.leaving = change.leaving.unwrap_or(inner.leaving);
        inner.slow = change.slow_ms.map_or(inner.slow, Duration::from_millis);
    }

    /// Returns every execution so far, in order.
    pub fn log(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    async fn answer(&self, request: Request<Bytes>) -> Reply {
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
            _ => self.call(&request).await,
        }
    }

    fn health(&self) -> Health {
        let inner = self.lock();
        Health {
            state: if inner.leaving { "leaving" } else { "live" },
            running: inner.running,
        }
    }

    async fn call(&self, request: &Request<Bytes>) -> Reply {
        let slow = self.lock().slow;
        time::sleep(slow).await;
        match self.run(request) {
            Fate::Answer(number) => {
                let answer = Answer {
                    number,
                    path: request.uri().path(),
                    echo: std::str::from_utf8(request.body()).unwrap_or_default(),
                };
                reply::json(StatusCode::OK, &answer)
            }
            Fate::Fail => reply::empty(StatusCode::INTERNAL_SERVER_ERROR),
            Fate::Refuse => reply::unavailable(1),
            Fate::Swallow => {
                time::sleep(FOREVER).await;
                reply::empty(StatusCode::OK)
            }
        }
    }

    fn run(&self, request: &Request<Bytes>) -> Fate {
        let mut inner = self.lock();
        if fault::take(&mut inner.refuse) {
            return Fate::Refuse;
        }
        let key = request.headers().get("idempotency-key");
        let key = key
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let changes = request.method() != Method::GET;
        if changes {
            inner.runs.push(Run {
                key: key.into(),
                method: request.method().as_str().into(),
                path: request.uri().path().into(),
                body: String::from_utf8_lossy(request.body()).into_owned(),
            });
        }
        if changes && fault::take(&mut inner.fail_after_run) {
            return Fate::Fail;
        }
        if changes && fault::take(&mut inner.swallow) {
            return Fate::Swallow;
        }
        Fate::Answer(inner.runs.len())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
