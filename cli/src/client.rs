//! A client for callers and operators.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::{self, Instant};

use crate::{
    connection::{self, ApiRequest},
    ApiError, ClientError, Response, ServiceCall,
};

/// Timeout of an operator request, for which the instance makes several calls to the store.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a request for the entry points.
const ENTRY_POINTS_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before a retry when the instance does not specify one.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The minimum time before the deadline for a retry. A healthy instance responds within a few
/// milliseconds, a busy machine within tens of milliseconds.
///
/// If a call is refused with a retry delay that ends just before the deadline, a retry would time
/// out, and the caller would have to assume that the call may have run. Without the retry, the
/// refusal proves that it did not run.
const MIN_RETRY_TIME: Duration = Duration::from_millis(100);

/// The entry points that an instance returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPoints {
    /// The entry points, in order of preference.
    pub entries: Vec<EntryPoint>,
    /// How long the list may be cached, in seconds.
    pub ttl_s: u64,
}

/// An address that clients may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPoint {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The data centre of the instance.
    pub data_centre: String,
}

/// A client with one key and the addresses of some instances, from which it gets the entry points.
///
/// # Examples
///
/// ```no_run
/// # async fn example() -> Result<(), error_stack::Report<celerypond_cli::ClientError>> {
/// let client = celerypond_cli::Client::new(vec!["127.0.0.1:7001".parse().unwrap()], "key")?;
/// let list = client.entry_points().await?;
/// println!("{} entry points", list.entries.len());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    bootstrap_addresses: Vec<SocketAddr>,
    authorization: HeaderValue,
}

impl Client {
    /// Creates a client that requests the entry points from `bootstrap_addresses`, tried in order.
    ///
    /// # Errors
    ///
    /// Fails with [`ClientError::InvalidRequest`] if the key is not a valid header value.
    pub fn new(
        bootstrap_addresses: Vec<SocketAddr>,
        key: &str,
    ) -> Result<Self, Report<ClientError>> {
        let mut authorization = HeaderValue::from_str(&format!("Bearer {key}"))
            .change_context(ClientError::InvalidRequest)?;
        authorization.set_sensitive(true);
        Ok(Self {
            bootstrap_addresses,
            authorization,
        })
    }

    /// Requests the entry points.
    ///
    /// # Errors
    ///
    /// Fails with the [`ClientError`] of the last address that was tried.
    pub async fn entry_points(&self) -> Result<EntryPoints, Report<ClientError>> {
        let body = self
            .send_to_any(&ApiRequest::new(
                Method::GET,
                "/v1/entries",
                ENTRY_POINTS_TIMEOUT,
            ))
            .await?;
        serde_json::from_slice(&body).change_context(ClientError::InvalidResponse)
    }

    /// Returns the addresses of the entry points, or the bootstrap addresses if there are none or
    /// the request for them fails.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        match self.entry_points().await {
            Ok(list) if !list.entries.is_empty() => {
                list.entries.iter().map(|entry| entry.address).collect()
            }
            _ => self.bootstrap_addresses.clone(),
        }
    }

    /// Sends an operator request and returns the response.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
    pub async fn operator(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Value, Report<ClientError>> {
        let request = ApiRequest {
            body: body.into(),
            ..ApiRequest::new(method, format!("/v1/operator/{path}"), OPERATOR_TIMEOUT)
        };
        let body = self.send_to_any(&request).await?;
        serde_json::from_slice(&body).change_context(ClientError::InvalidResponse)
    }

    /// Calls a plain service.
    ///
    /// A call with an idempotency key is retried, also on other instances, until there is a
    /// response or `timeout` has passed: the system runs it at most once. A call without a key is
    /// retried only if the error proves that it did not run.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`]; see [`ClientError::proves_not_run`].
    pub async fn call(
        &self,
        call: &ServiceCall,
        timeout: Duration,
    ) -> Result<Response, Report<ClientError>> {
        let deadline = Instant::now() + timeout;
        let mut attempts = 0;
        loop {
            let addresses = self.addresses().await;
            let address = addresses[attempts % addresses.len()];
            attempts += 1;
            let left = deadline.saturating_duration_since(Instant::now());
            let error = match self.call_once(call, address, left).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let delay = retry_delay(error.current_context(), call.key.is_some());
            match delay {
                Some(delay) if Instant::now() + delay + MIN_RETRY_TIME < deadline => {
                    time::sleep(delay).await;
                }
                _ => return Err(error),
            }
        }
    }

    async fn call_once(
        &self,
        call: &ServiceCall,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Response, Report<ClientError>> {
        let method = Method::from_bytes(call.method.as_bytes())
            .change_context(ClientError::InvalidRequest)?;
        let path = format!("/v1/services/{}{}", call.service, call.path);
        let timeout_ms = timeout.as_millis().to_string();
        let mut request = ApiRequest {
            body: call.body.clone(),
            ..ApiRequest::new(method, path, timeout)
        }
        .header("celerypond-deadline-ms", &timeout_ms)?;
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key)?;
        }
        let mut response = self.authorize(request).send(address).await?;
        let has_run = response.inner.headers().contains_key("celerypond-outcome");
        let status = response.inner.status().as_u16();
        let body = response.body(timeout).await?;
        if !has_run {
            return Err(connection::parse_error(&body));
        }
        Ok(Response { status, body })
    }

    /// Sends a request to the bootstrap addresses in order, until one accepts the connection.
    ///
    /// The request must have no effect, or be harmless to repeat.
    async fn send_to_any(&self, request: &ApiRequest) -> Result<Bytes, Report<ClientError>> {
        let request = self.authorize(request.clone());
        let mut last_error = None;
        for address in &self.bootstrap_addresses {
            match request.send(*address).await {
                Ok(mut response) => {
                    let status = response.inner.status();
                    let body = response.body(request.timeout).await?;
                    return match status {
                        StatusCode::OK => Ok(body),
                        // The body names the operator whose concurrent `roll` came first.
                        StatusCode::CONFLICT if body.starts_with(b"{\"outrun_by\"") => Ok(body),
                        _ => Err(connection::parse_error(&body)),
                    };
                }
                Err(error) => match error.current_context() {
                    ClientError::Unreachable(_) => last_error = Some(error),
                    _ => return Err(error),
                },
            }
        }
        Err(last_error.unwrap_or_else(|| Report::new(ClientError::InvalidRequest)))
    }

    /// Adds the key to a request.
    pub(crate) fn authorize(&self, mut request: ApiRequest) -> ApiRequest {
        let header = (http::header::AUTHORIZATION, self.authorization.clone());
        request.headers.push(header);
        request
    }
}

/// Returns the delay before a call is retried, or `None` if it must not be.
fn retry_delay(error: &ClientError, has_key: bool) -> Option<Duration> {
    match error {
        ClientError::Unreachable(_) => Some(RETRY_DELAY),
        ClientError::Api(ApiError {
            kind,
            retry_after_ms,
            ..
        }) if kind == "not_run" => Some(retry_after_ms.map_or(RETRY_DELAY, Duration::from_millis)),
        ClientError::ConnectionClosed if has_key => Some(RETRY_DELAY),
        _ => None,
    }
}
