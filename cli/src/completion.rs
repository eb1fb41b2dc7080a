//! Streamed completions of models.

use std::{
    net::SocketAddr,
    pin::Pin,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt};
use futures::StreamExt;
use http::{Method, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sse_stream::SseStream;
use tokio::time::{self, Instant};

use crate::{
    connection::{self, ApiRequest, ConnectionGuard},
    ApiError, Client, ClientError,
};

/// Timeout for the response headers, that is, for the start of the response.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the body of an error response.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long to wait for the next event before reconnecting to another instance.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay before connecting again after a connection error.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// A request to complete a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The name of the model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The maximum number of tokens.
    pub max_tokens: u32,
    /// The random seed; the same seed gives the same completion.
    pub seed: Option<u64>,
    /// The adapter of the model, if any.
    pub adapter: Option<String>,
    /// The idempotency key; generated if `None`.
    pub key: Option<String>,
    /// How long to wait for the complete response.
    pub timeout: Duration,
}

/// A token of a completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The index of the token in the completion, from 0.
    pub position: u32,
    /// The token id.
    pub token: u32,
    /// The text of the token.
    pub text: String,
}

/// A summary of a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CompletionSummary {
    /// The version of the model that generated it.
    pub version: String,
    /// The number of tokens.
    pub tokens: u32,
    /// How often the client reconnected.
    pub reconnects: u32,
}

/// A completion that is being received.
pub struct CompletionStream<'a> {
    client: &'a Client,
    request: CompletionRequest,
    key: String,
    addresses: Vec<SocketAddr>,
    deadline: Instant,
    last_event_id: Option<String>,
    prefix: Vec<u32>,
    reconnects: u32,
    connection: Option<EventConnection>,
}

struct EventConnection {
    events: Pin<Box<SseStream<Incoming>>>,
    _guard: ConnectionGuard,
}

#[derive(Serialize)]
struct RequestBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    seed: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "<[u32]>::is_empty")]
    prefix: &'a [u32],
}

#[derive(Deserialize)]
struct Chunk {
    choices: [Choice; 1],
    version: Option<String>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    position: Option<u32>,
    token: Option<u32>,
    text: String,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u32,
}

/// The outcome of waiting for the next event.
enum NextEvent {
    Token(Token),
    Complete(CompletionSummary),
    /// The connection closed, or no event came in time.
    Disconnected,
}

impl Client {
    /// Prepares a completion request, which is sent when the first token is awaited.
    pub async fn generate(&self, request: CompletionRequest) -> CompletionStream<'_> {
        let key = request.key.clone().unwrap_or_else(generated_key);
        CompletionStream {
            client: self,
            key,
            addresses: self.addresses().await,
            deadline: Instant::now() + request.timeout,
            request,
            last_event_id: None,
            prefix: Vec::new(),
            reconnects: 0,
            connection: None,
        }
    }
}

impl CompletionStream<'_> {
    /// Waits for the next token.
    ///
    /// If the connection closes or no event comes in time, the client resumes the stream at the
    /// next instance. It sends the id of the last event, which serves as resume token, and the
    /// tokens received so far, so that no token is missing or repeated.
    ///
    /// # Errors
    ///
    /// Returns `Err(Ok(_))` after the last token of a complete response, and `Err(Err(_))` with a
    /// [`ClientError`] if the request failed.
    pub async fn next(&mut self) -> Result<Token, Result<CompletionSummary, Report<ClientError>>> {
        loop {
            if self.connection.is_none() {
                self.connect().await.map_err(Err)?;
            }
            match self.next_event().await.map_err(Err)? {
                NextEvent::Token(token) => {
                    self.prefix.push(token.token);
                    return Ok(token);
                }
                NextEvent::Complete(summary) => return Err(Ok(summary)),
                NextEvent::Disconnected => {
                    self.connection = None;
                    self.reconnects += 1;
                    self.addresses.rotate_left(1);
                }
            }
        }
    }

    async fn connect(&mut self) -> Result<(), Report<ClientError>> {
        loop {
            let error = match self.try_connect().await {
                Ok(connection) => {
                    self.connection = Some(connection);
                    return Ok(());
                }
                Err(error) => error,
            };
            let delay = match error.current_context() {
                ClientError::Unreachable(_)
                | ClientError::ConnectionClosed
                | ClientError::Timeout(_) => RECONNECT_DELAY,
                ClientError::Api(ApiError {
                    kind,
                    retry_after_ms: Some(delay_ms),
                    ..
                }) if kind == "not_run" => Duration::from_millis(*delay_ms),
                _ => return Err(error),
            };
            if Instant::now() + delay >= self.deadline {
                return Err(error);
            }
            time::sleep(delay).await;
            self.reconnects += 1;
            self.addresses.rotate_left(1);
        }
    }

    async fn try_connect(&self) -> Result<EventConnection, Report<ClientError>> {
        let mut response = self.api_request()?.send(self.addresses[0]).await?;
        if response.inner.status() != StatusCode::OK {
            let body = response.body(ERROR_BODY_TIMEOUT).await?;
            return Err(connection::parse_error(&body));
        }
        let (body, guard) = response.split();
        Ok(EventConnection {
            events: Box::pin(SseStream::new(body)),
            _guard: guard,
        })
    }

    fn api_request(&self) -> Result<ApiRequest, Report<ClientError>> {
        let body = RequestBody {
            model: &self.request.model,
            prompt: &self.request.prompt,
            max_tokens: self.request.max_tokens,
            stream: true,
            seed: self.request.seed,
            adapter: self.request.adapter.as_deref(),
            prefix: &self.prefix,
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut request = ApiRequest::new(Method::POST, "/v1/completions", HEADERS_TIMEOUT)
            .header("idempotency-key", &self.key)?
            .header("celerypond-deadline-ms", &left.as_millis().to_string())?;
        request.body = serde_json::to_vec(&body)
            .change_context(ClientError::InvalidRequest)?
            .into();
        if let Some(id) = &self.last_event_id {
            request = request.header("last-event-id", id)?;
        }
        Ok(self.client.authorize(request))
    }

    async fn next_event(&mut self) -> Result<NextEvent, Report<ClientError>> {
        let Some(current) = &mut self.connection else {
            return Ok(NextEvent::Disconnected);
        };
        let Ok(Some(Ok(event))) = time::timeout(EVENT_TIMEOUT, current.events.next()).await else {
            return Ok(NextEvent::Disconnected);
        };
        let data = event.data.unwrap_or_default();
        if event.event.as_deref() == Some("error") {
            return Err(connection::parse_error(data.as_bytes()));
        }
        let chunk: Chunk =
            serde_json::from_str(&data).change_context(ClientError::InvalidResponse)?;
        if let (Some(version), Some(usage)) = (chunk.version, chunk.usage) {
            return Ok(NextEvent::Complete(CompletionSummary {
                version,
                tokens: usage.completion_tokens,
                reconnects: self.reconnects,
            }));
        }
        let [choice] = chunk.choices;
        let (Some(position), Some(token)) = (choice.position, choice.token) else {
            return Err(Report::new(ClientError::InvalidResponse));
        };
        self.last_event_id = event.id;
        Ok(NextEvent::Token(Token {
            position,
            token,
            text: choice.text,
        }))
    }
}

fn generated_key() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |duration| duration.as_nanos());
    format!("cli-{}-{nanos:x}", std::process::id())
}
