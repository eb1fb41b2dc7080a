//! Calls to engines and the health calls to plain services; `docs/design/wire.md` specifies them.

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

/// The timeout for a response head; an engine sends it before it generates.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout for a short call, such as a health check, a load report or a cancellation.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of the response body of a short call, in bytes.
const MAX_SHORT_BODY_BYTES: usize = 1 << 20;

/// The request body of a generation.
#[derive(Clone, Debug, Serialize)]
pub struct Generate<'a> {
    /// The key of the request.
    pub request: &'a RequestKey,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The model.
    pub model: &'a ModelName,
    /// The version.
    pub version: &'a VersionName,
    /// The adapter.
    pub adapter: Option<&'a AdapterName>,
    /// The prompt.
    pub prompt: &'a str,
    /// The tokens that the answer has already.
    pub prefix: &'a [TokenId],
    /// The maximum number of tokens of the whole answer.
    pub max_tokens: u32,
    /// The sampling seed.
    pub seed: u64,
    /// The priority of the request.
    pub priority: Priority,
}

/// The response of a target to a health check.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Health {
    /// Whether it accepts new requests.
    pub state: celerypond_platform::Presence,
    /// The versions it has loaded; a plain service has none.
    #[serde(default)]
    pub versions: Vec<VersionName>,
}

/// The load report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    #[serde(default)]
    pub queued: u32,
    /// How long ago this was sampled, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheChange {
    /// Its number in the sequence of the engine's changes; a gap means that changes were lost.
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
    /// The engine has stored the prefix.
    Stored,
    /// The engine has evicted the prefix.
    Evicted,
}

#[derive(Deserialize)]
struct CacheChanges {
    events: Vec<CacheChange>,
}

/// The event stream of an answer.
pub struct OpenStream {
    answer: Answer,
}

/// The response to a request for a stream.
pub enum StreamResponse {
    /// The engine sends the stream.
    Stream(OpenStream),
    /// The engine refused the request with this status.
    Refused(StatusCode),
}

impl OpenStream {
    /// Returns the data of each event until the connection ends.
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
                // The closure holds the connection, so that it stays open as long as the stream.
                let _: &Connection = &connection;
                data
            })
    }
}

/// Starts a generation and returns its stream.
///
/// # Errors
///
/// A [`CallError`].
pub async fn generate(
    address: SocketAddr,
    call: &Generate<'_>,
) -> Result<StreamResponse, Report<CallError>> {
    // Serialization cannot fail, since the type has only text keys.
    let body = serde_json::to_vec(call).unwrap_or_default();
    open(address, Method::POST, "/v1/generate", body).await
}

/// Reads an existing stream of an engine from a position.
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

/// Checks the health of a target on a new connection; `None` if the response body is not valid.
///
/// # Errors
///
/// A [`CallError`].
pub async fn health(address: SocketAddr, path: &str) -> Result<Option<Health>, Report<CallError>> {
    let (_, body) = short_call(address, Method::GET, path, Vec::new()).await?;
    Ok(serde_json::from_slice(&body).ok())
}

/// Reads the load of a target; `None` if the response body is not valid.
///
/// # Errors
///
/// A [`CallError`].
pub async fn load(address: SocketAddr, path: &str) -> Result<Option<Load>, Report<CallError>> {
    let (_, body) = short_call(address, Method::GET, path, Vec::new()).await?;
    Ok(serde_json::from_slice(&body).ok())
}

/// Reads the changes of an engine's cache after a sequence number.
///
/// # Errors
///
/// A [`CallError`].
pub async fn cache(address: SocketAddr, since: u64) -> Result<Vec<CacheChange>, Report<CallError>> {
    let path = format!("/v1/cache?since={since}");
    let (_, body) = short_call(address, Method::GET, &path, Vec::new()).await?;
    let changes: Option<CacheChanges> = serde_json::from_slice(&body).ok();
    Ok(changes.map_or_else(Vec::new, |changes| changes.events))
}

async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<StreamResponse, Report<CallError>> {
    let request = request(address, method, path, body)?;
    let answer = NewConnection::connect(address)
        .await?
        .send(request, RESPONSE_HEAD_TIMEOUT)
        .await?;
    Ok(match answer.response.status() {
        StatusCode::OK => StreamResponse::Stream(OpenStream { answer }),
        status => StreamResponse::Refused(status),
    })
}

/// Sends an order and returns the response status and the `retry-after`; `None` if nothing was sent
/// because the write deadline has passed.
///
/// The deadline is checked after the connection is established. Otherwise an order that waits for a
/// connection could be written long after the check. After the timeout the connection is reset.
/// Otherwise the kernel could continue to send an order that is considered to have ended.
///
/// # Errors
///
/// A [`CallError`]; after `Connect` nothing was sent.
pub async fn send_order(
    address: SocketAddr,
    body: Vec<u8>,
    write_deadline: Instant,
    timeout: Duration,
) -> Result<Option<(StatusCode, Option<Duration>)>, Report<CallError>> {
    let request = request(address, Method::POST, "/v1/orders", body)?;
    let connection = NewConnection::connect_resetting(address).await?;
    if Instant::now() >= write_deadline {
        return Ok(None);
    }
    let answer = connection.send(request, timeout).await?;
    let retry_after = answer.response.headers().get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let status = answer.response.status();
    Ok(Some((status, retry_after.map(Duration::from_secs))))
}

/// Makes a call whose response is short, and returns its status and body.
///
/// # Errors
///
/// A [`CallError`].
pub async fn short_call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes), Report<CallError>> {
    let request = request(address, method, path, body)?;
    let new_connection = NewConnection::connect(address).await?;
    let exchange = async {
        let Answer {
            response,
            connection,
        } = new_connection.send(request, SHORT_CALL_TIMEOUT).await?;
        let status = response.status();
        let body = body::read(response.into_body(), MAX_SHORT_BODY_BYTES).await;
        drop(connection);
        match body {
            Ok(body) => Ok((status, body)),
            Err(error) => Err(Report::new(error).change_context(CallError::Reset)),
        }
    };
    match tokio::time::timeout(SHORT_CALL_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Report::new(CallError::Timeout)),
    }
}

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
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
        .body(Full::new(body.into()))
        .map_err(|error| Report::new(error).change_context(CallError::Connect))
}
