//! Requests of callers and operators.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::{self, Instant};

use crate::{
    connection::{self, Ask},
    ClientError, Problem, Response, ServiceCall,
};

/// How long an operator's step may take; it makes several calls to the store.
const STEP: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_secs(3);
/// The wait before the next try when an instance does not say how long.
const PAUSE: Duration = Duration::from_millis(200);
/// The least time that a call must have left to be sent again; a sound instance answers within some
/// milliseconds, and a busy machine takes tens.
///
/// The failure: an instance says that a call has not run and when to come back, which is just before
/// the caller's time ends. Sent once more, the call gets no answer, and the caller is told that it may
/// have run. Without that send the caller has the proof that it has not.
const LEAST_LEFT: Duration = Duration::from_millis(100);

/// The addresses that the system gives out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The addresses, the one to use first at the front.
    pub entries: Vec<EntryAddress>,
    /// How long this answer may be kept, in seconds.
    pub ttl_s: u64,
}

/// An address that the system gives out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Where to connect.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
}

/// A client that knows some addresses of the system and one key.
///
/// # Examples
///
/// ```no_run
/// # async fn example() -> Result<(), error_stack::Report<celerypond_cli::ClientError>> {
/// let client = celerypond_cli::Client::new(vec!["127.0.0.1:7001".parse().unwrap()], "key")?;
/// let entries = client.entries().await?;
/// println!("{} addresses", entries.entries.len());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    known: Vec<SocketAddr>,
    authorization: HeaderValue,
}

impl Client {
    /// Makes a client that asks the addresses `known`, in order, for those to use.
    ///
    /// # Errors
    ///
    /// `Request` when the key can't stand in a header.
    pub fn new(known: Vec<SocketAddr>, key: &str) -> Result<Self, Report<ClientError>> {
        let mut authorization =
            HeaderValue::from_str(&format!("Bearer {key}")).change_context(ClientError::Request)?;
        authorization.set_sensitive(true);
        Ok(Self {
            known,
            authorization,
        })
    }

    /// Asks the system which of its addresses to use.
    ///
    /// # Errors
    ///
    /// A [`ClientError`] of the last address that was tried.
    pub async fn entries(&self) -> Result<Entries, Report<ClientError>> {
        let body = self
            .anywhere(&Ask::new(Method::GET, "/v1/entries", SHORT))
            .await?;
        serde_json::from_slice(&body).change_context(ClientError::Malformed)
    }

    /// Returns the addresses to use now: those that the system gives out, else those known.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        match self.entries().await {
            Ok(given) if !given.entries.is_empty() => {
                given.entries.iter().map(|entry| entry.address).collect()
            }
            _ => self.known.clone(),
        }
    }

    /// Sends an operator's step or question and returns the answer.
    ///
    /// # Errors
    ///
    /// A [`ClientError`].
    pub async fn operator(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Value, Report<ClientError>> {
        let ask = Ask {
            body: body.into(),
            ..Ask::new(method, format!("/v1/operator/{path}"), STEP)
        };
        let body = self.anywhere(&ask).await?;
        serde_json::from_slice(&body).change_context(ClientError::Malformed)
    }

    /// Calls a plain service.
    ///
    /// A call with a key is sent again, also to other instances, until it has an answer or
    /// `limit` has passed: the system runs it at most once. Without a key it is sent again only when
    /// it is proved that it did not run.
    ///
    /// # Errors
    ///
    /// A [`ClientError`]; see [`ClientError::proves_not_run`].
    pub async fn call(
        &self,
        called: &ServiceCall,
        limit: Duration,
    ) -> Result<Response, Report<ClientError>> {
        let until = Instant::now() + limit;
        let mut tries = 0;
        loop {
            let addresses = self.addresses().await;
            let to = addresses[tries % addresses.len()];
            tries += 1;
            let left = until.saturating_duration_since(Instant::now());
            let error = match self.call_once(called, to, left).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let pause = pause(error.current_context(), called.key.is_some());
            match pause {
                Some(pause) if Instant::now() + pause + LEAST_LEFT < until => {
                    time::sleep(pause).await;
                }
                _ => return Err(error),
            }
        }
    }

    async fn call_once(
        &self,
        called: &ServiceCall,
        to: SocketAddr,
        limit: Duration,
    ) -> Result<Response, Report<ClientError>> {
        let method =
            Method::from_bytes(called.method.as_bytes()).change_context(ClientError::Request)?;
        let path = format!("/v1/services/{}{}", called.service, called.path);
        let limit_ms = limit.as_millis().to_string();
        let mut ask = Ask {
            body: called.body.clone(),
            ..Ask::new(method, path, limit)
        }
        .header("celerypond-deadline-ms", &limit_ms)?;
        if let Some(key) = &called.key {
            ask = ask.header("idempotency-key", key)?;
        }
        let mut answer = self.signed(ask).send(to).await?;
        let ran = answer.response.headers().contains_key("celerypond-outcome");
        let status = answer.response.status().as_u16();
        let body = answer.body(limit).await?;
        if !ran {
            return Err(connection::problem(&body));
        }
        Ok(Response { status, body })
    }

    /// Sends a request that changes nothing, or whose repetition is harmless, to the first address
    /// that answers.
    async fn anywhere(&self, ask: &Ask) -> Result<Bytes, Report<ClientError>> {
        let ask = self.signed(ask.clone());
        let mut last = None;
        for to in &self.known {
            match ask.send(*to).await {
                Ok(mut answer) => {
                    let status = answer.response.status();
                    let body = answer.body(ask.limit).await?;
                    return match status {
                        StatusCode::OK => Ok(body),
                        // An operator who lost a race is told who won.
                        StatusCode::CONFLICT if body.starts_with(b"{\"outrun_by\"") => Ok(body),
                        _ => Err(connection::problem(&body)),
                    };
                }
                Err(error) => match error.current_context() {
                    ClientError::Unreachable(_) => last = Some(error),
                    _ => return Err(error),
                },
            }
        }
        Err(last.unwrap_or_else(|| Report::new(ClientError::Request)))
    }

    pub(crate) fn signed(&self, mut ask: Ask) -> Ask {
        let signature = (http::header::AUTHORIZATION, self.authorization.clone());
        ask.headers.push(signature);
        ask
    }
}

/// Returns how long to wait before a call may be sent again, if it may.
fn pause(error: &ClientError, has_key: bool) -> Option<Duration> {
    match error {
        ClientError::Unreachable(_) => Some(PAUSE),
        ClientError::Problem(Problem {
            kind,
            retry_after_ms,
            ..
        }) if kind == "not_run" => Some(retry_after_ms.map_or(PAUSE, Duration::from_millis)),
        ClientError::Broken if has_key => Some(PAUSE),
        _ => None,
    }
}
