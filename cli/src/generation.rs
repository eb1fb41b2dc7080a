//! Answers of models.

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
    connection::{self, Ask, Guard},
    Client, ClientError, Problem,
};

/// How long an instance may take to begin an answer.
const HEAD: Duration = Duration::from_secs(30);
const BODY: Duration = Duration::from_secs(5);
/// How long an answer may be silent before the caller goes to another instance.
const SILENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(100);

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

/// A token of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Its place.
    pub position: u32,
    /// Its id.
    pub token: u32,
    /// Its text.
    pub text: String,
}

/// The end of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Ended {
    /// The version that generated it.
    pub version: String,
    /// How many tokens it has.
    pub tokens: u32,
    /// How often the caller had to connect again.
    pub reconnects: u32,
}

/// An answer on its way.
pub struct Generation<'a> {
    client: &'a Client,
    request: CompletionRequest,
    key: String,
    addresses: Vec<SocketAddr>,
    until: Instant,
    last: Option<String>,
    prefix: Vec<u32>,
    reconnects: u32,
    open: Option<Open>,
}

struct Open {
    events: Pin<Box<SseStream<Incoming>>>,
    _guard: Guard,
}

#[derive(Serialize)]
struct Body<'a> {
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

enum Step {
    Token(Token),
    Ended(Ended),
    Lost,
}

impl Client {
    /// Begins an answer.
    pub async fn generate(&self, request: CompletionRequest) -> Generation<'_> {
        let key = request.key.clone().unwrap_or_else(made_up_key);
        Generation {
            client: self,
            key,
            addresses: self.addresses().await,
            until: Instant::now() + request.timeout,
            request,
            last: None,
            prefix: Vec::new(),
            reconnects: 0,
            open: None,
        }
    }
}

impl Generation<'_> {
    /// Waits for the next token; `Err(Ok(_))` is the end of a whole answer.
    ///
    /// When the connection ends or falls silent the caller goes on at the next instance, with the
    /// resume token of the last event, so that nothing is missing or repeated.
    ///
    /// # Errors
    ///
    /// `Ok` with the end of the whole answer, or a [`ClientError`].
    pub async fn next(&mut self) -> Result<Token, Result<Ended, Report<ClientError>>> {
        loop {
            if self.open.is_none() {
                self.connect().await.map_err(Err)?;
            }
            match self.step().await.map_err(Err)? {
                Step::Token(token) => {
                    self.prefix.push(token.token);
                    return Ok(token);
                }
                Step::Ended(ended) => return Err(Ok(ended)),
                Step::Lost => {
                    self.open = None;
                    self.reconnects += 1;
                    self.addresses.rotate_left(1);
                }
            }
        }
    }

    async fn connect(&mut self) -> Result<(), Report<ClientError>> {
        loop {
            let error = match self.try_connect().await {
                Ok(open) => {
                    self.open = Some(open);
                    return Ok(());
                }
                Err(error) => error,
            };
            let pause = match error.current_context() {
                ClientError::Unreachable(_) | ClientError::Broken | ClientError::Timeout(_) => {
                    PAUSE
                }
                ClientError::Problem(Problem {
                    kind,
                    retry_after_ms: Some(after),
                    ..
                }) if kind == "not_run" => Duration::from_millis(*after),
                _ => return Err(error),
            };
            if Instant::now() + pause >= self.until {
                return Err(error);
            }
            time::sleep(pause).await;
            self.reconnects += 1;
            self.addresses.rotate_left(1);
        }
    }

    async fn try_connect(&self) -> Result<Open, Report<ClientError>> {
        let mut answer = self.ask()?.send(self.addresses[0]).await?;
        if answer.response.status() != StatusCode::OK {
            let body = answer.body(BODY).await?;
            return Err(connection::problem(&body));
        }
        let (body, guard) = answer.split();
        Ok(Open {
            events: Box::pin(SseStream::new(body)),
            _guard: guard,
        })
    }

    fn ask(&self) -> Result<Ask, Report<ClientError>> {
        let body = Body {
            model: &self.request.model,
            prompt: &self.request.prompt,
            max_tokens: self.request.max_tokens,
            stream: true,
            seed: self.request.seed,
            adapter: self.request.adapter.as_deref(),
            prefix: &self.prefix,
        };
        let left = self.until.saturating_duration_since(Instant::now());
        let mut ask = Ask::new(Method::POST, "/v1/completions", HEAD)
            .header("idempotency-key", &self.key)?
            .header("celerypond-deadline-ms", &left.as_millis().to_string())?;
        ask.body = serde_json::to_vec(&body)
            .change_context(ClientError::Request)?
            .into();
        if let Some(last) = &self.last {
            ask = ask.header("last-event-id", last)?;
        }
        Ok(self.client.signed(ask))
    }

    async fn step(&mut self) -> Result<Step, Report<ClientError>> {
        let Some(open) = &mut self.open else {
            return Ok(Step::Lost);
        };
        let Ok(Some(Ok(event))) = time::timeout(SILENCE, open.events.next()).await else {
            return Ok(Step::Lost);
        };
        let data = event.data.unwrap_or_default();
        if event.event.as_deref() == Some("error") {
            return Err(connection::problem(data.as_bytes()));
        }
        let chunk: Chunk = serde_json::from_str(&data).change_context(ClientError::Malformed)?;
        if let (Some(version), Some(usage)) = (chunk.version, chunk.usage) {
            return Ok(Step::Ended(Ended {
                version,
                tokens: usage.completion_tokens,
                reconnects: self.reconnects,
            }));
        }
        let [choice] = chunk.choices;
        let (Some(position), Some(token)) = (choice.position, choice.token) else {
            return Err(Report::new(ClientError::Malformed));
        };
        self.last = event.id;
        Ok(Step::Token(Token {
            position,
            token,
            text: choice.text,
        }))
    }
}

fn made_up_key() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since.map_or(0, |since| since.as_nanos());
    format!("cli-{}-{nanos:x}", std::process::id())
}
