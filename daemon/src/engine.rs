//! Calls to engines, in the forms of `docs/design/wire.md`.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use celerypond_telemetry::TraceContext;
use celerypond_types::{
    AdapterName, Attempt, ModelName, Position, Priority, RequestKey, TokenId, VersionName,
};
use error_stack::Report;
use futures::{Stream, StreamExt};
use http::{header, Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use sse_stream::SseStream;
use tokio::time::Instant;

use crate::{
    body,
    http_call::{Answer, CallError, Connection, NewConnection},
};

/// The longest wait for the head of an answer; an engine answers it before it generates.
const HEAD: Duration = Duration::from_secs(10);
/// The longest wait for a probe, a load report or a cancellation.
const SMALL: Duration = Duration::from_millis(500);
/// The longest health or load answer, in bytes.
const SMALL_BODY: usize = 1 << 20;

/// What is asked of an engine.
#[derive(Clone, Debug, Serialize)]
pub struct Generate<'a> {
    /// The request.
    pub request: &'a RequestKey,
    /// The attempt.
    pub attempt: Attempt,
    /// The model.
    pub model: &'a ModelName,
    /// The version.
    pub version: &'a VersionName,
    /// The adapter.
    pub adapter: Option<&'a AdapterName>,
    /// The prompt.
    pub prompt: &'a str,
    /// The tokens that the answer has so far.
    pub prefix: &'a [TokenId],
    /// How many tokens the whole answer has at most.
    pub max_tokens: u32,
    /// The seed.
    pub seed: u64,
    /// How urgent the request is.
    pub priority: Priority,
}

/// An engine's word about itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Health {
    /// Whether it takes new work.
    pub state: celerypond_platform::Presence,
    /// The versions it has loaded; a plain service has none.
    #[serde(default)]
    pub versions: Vec<VersionName>,
}

/// An engine's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    #[serde(default)]
    pub queued: u32,
    /// How long ago this was sampled, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// An event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheChange {
    /// Its place among the engine's events; numbers that are missing were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheKind,
    /// The hash of the prefix.
    pub prefix: u64,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheKind {
    /// The engine holds it from now on.
    Stored,
    /// The engine no longer holds it.
    Evicted,
}

#[derive(Deserialize)]
struct CacheChanges {
    events: Vec<CacheChange>,
}

/// A stream that an engine has accepted.
pub struct OpenStream {
    answer: Answer,
}

/// The answer to a request for a stream.
pub enum StreamResponse {
    /// The stream goes on.
    Stream(OpenStream),
    /// The engine refused with this status.
    Refused(StatusCode),
}

impl OpenStream {
    /// Returns the data of each event; ends when the connection does.
    pub fn events(self) -> impl Stream<Item = String> + Send {
        let Answer {
            response,
            connection,
        } = self.answer;
        let events = SseStream::new(response.into_body());
        events
            .take_while(|event| std::future::ready(event.is_ok()))
            .filter_map(|event| std::future::ready(event.ok().and_then(|event| event.data)))
            .map(move |data| {
                // The connection lives as long as the stream of its events.
                let _: &Connection = &connection;
                data
            })
    }
}

/// Starts a generation.
///
/// # Errors
///
/// A [`CallError`].
pub async fn generate(
    address: SocketAddr,
    call: &Generate<'_>,
) -> Result<StreamResponse, Report<CallError>> {
    // The type has text keys only, so it always has a JSON form.
    let value = serde_json::to_vec(call).unwrap_or_default();
    open(address, Method::POST, "/v1/generate", value).await
}

/// Reads a stream that the engine has, from a position.
///
/// # Errors
///
/// A [`CallError`].
pub async fn resume(
    address: SocketAddr,
    request: &RequestKey,
    attempt: Attempt,
    from: Position,
) -> Result<StreamResponse, Report<CallError>> {
    let path = format!("/v1/streams/{request}/{attempt}?from={from}");
    open(address, Method::GET, &path, Vec::new()).await
}

/// Stops a stream; returns whether the engine knew it.
///
/// # Errors
///
/// A [`CallError`].
pub async fn cancel(
    address: SocketAddr,
    request: &RequestKey,
    attempt: Attempt,
) -> Result<bool, Report<CallError>> {
    let path = format!("/v1/streams/{request}/{attempt}");
    let (status, _) = short_call(address, Method::DELETE, &path, Vec::new()).await?;
    Ok(status.is_success())
}

/// Asks a target for its health on a new connection; `None` when the answer says nothing.
///
/// # Errors
///
/// A [`CallError`].
pub async fn health(address: SocketAddr, path: &str) -> Result<Option<Health>, Report<CallError>> {
    let (_, value) = short_call(address, Method::GET, path, Vec::new()).await?;
    Ok(serde_json::from_slice(&value).ok())
}

/// Asks a target for its load; `None` when the answer says nothing.
///
/// # Errors
///
/// A [`CallError`].
pub async fn load(address: SocketAddr, path: &str) -> Result<Option<Load>, Report<CallError>> {
    let (_, value) = short_call(address, Method::GET, path, Vec::new()).await?;
    Ok(serde_json::from_slice(&value).ok())
}

/// Asks an engine for the events of its cache after a sequence number.
///
/// # Errors
///
/// A [`CallError`].
pub async fn cache(address: SocketAddr, since: u64) -> Result<Vec<CacheChange>, Report<CallError>> {
    let path = format!("/v1/cache?since={since}");
    let (_, value) = short_call(address, Method::GET, &path, Vec::new()).await?;
    let changes: Option<CacheChanges> = serde_json::from_slice(&value).ok();
    Ok(changes.map_or_else(Vec::new, |changes| changes.events))
}

async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    value: Vec<u8>,
) -> Result<StreamResponse, Report<CallError>> {
    let request = request(address, method, path, value)?;
    let answer = NewConnection::connect(address)
        .await?
        .send(request, HEAD)
        .await?;
    Ok(match answer.response.status() {
        StatusCode::OK => StreamResponse::Stream(OpenStream { answer }),
        status => StreamResponse::Refused(status),
    })
}

/// Sends an order, if it can be written before `last`, and gives it up after `limit`; returns the
/// status and when to come back.
///
/// The connection is made before the clock is looked at: an order that waits for a connection would
/// be written long after the look. A connection that is given up is reset, or the kernel would go on
/// sending an order that counts as over.
///
/// # Errors
///
/// A [`CallError`]; after `Connect` nothing was sent.
pub async fn send_order(
    address: SocketAddr,
    value: Vec<u8>,
    last: Instant,
    limit: Duration,
) -> Result<Option<(StatusCode, Option<Duration>)>, Report<CallError>> {
    let request = request(address, Method::POST, "/v1/orders", value)?;
    let fresh = NewConnection::connect_resetting(address).await?;
    if Instant::now() >= last {
        return Ok(None);
    }
    let answer = fresh.send(request, limit).await?;
    let after = answer.response.headers().get(header::RETRY_AFTER);
    let after = after.and_then(|value| value.to_str().ok()?.parse().ok());
    let status = answer.response.status();
    Ok(Some((status, after.map(Duration::from_secs))))
}

/// Makes a call with a small answer.
///
/// # Errors
///
/// A [`CallError`].
pub async fn short_call(
    address: SocketAddr,
    method: Method,
    path: &str,
    value: Vec<u8>,
) -> Result<(StatusCode, Bytes), Report<CallError>> {
    let request = request(address, method, path, value)?;
    let fresh = NewConnection::connect(address).await?;
    let exchange = async {
        let Answer {
            response,
            connection,
        } = fresh.send(request, SMALL).await?;
        let status = response.status();
        let value = body::read(response.into_body(), SMALL_BODY).await;
        drop(connection);
        match value {
            Ok(value) => Ok((status, value)),
            Err(error) => Err(Report::new(error).change_context(CallError::Reset)),
        }
    };
    match tokio::time::timeout(SMALL, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Report::new(CallError::Timeout)),
    }
}

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    value: Vec<u8>,
) -> Result<Request<Full<Bytes>>, Report<CallError>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(context) = TraceContext::from_span(&tracing::Span::current()) {
        request = request.header("traceparent", context.to_string());
    }
    request
        .body(Full::new(value.into()))
        .map_err(|error| Report::new(error).change_context(CallError::Connect))
}
