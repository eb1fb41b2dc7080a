//! Calls as a caller makes them: the same client for the direct way and the way over an instance.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use celerypond_daemon::http_call::{Answer, NewConnection};
use error_stack::{Report, ResultExt};
use http::{header, Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::{json, Value};
use tokio::time::Instant;

use super::{stand::ACCOUNT_KEY, PathError};

/// How long the head of an answer may take.
const HEAD: Duration = Duration::from_secs(30);
/// What a token's event holds and no other event does.
const TOKEN: &[u8] = b"\"token\":";

/// Where a call goes and what it says.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) address: SocketAddr,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: String,
    pub(super) key: Option<String>,
}

impl Sent {
    /// Asks an engine for tokens, as an instance would.
    pub(super) fn direct(address: SocketAddr, request: &str, tokens: u32) -> Self {
        let body = json!({
            "request": request, "attempt": 0, "model": "drafts", "version": "v1",
            "adapter": null, "prompt": "a letter", "max_tokens": tokens, "seed": 1,
        });
        Self::post(address, "/v1/generate", &body)
    }

    /// Asks an instance for tokens.
    pub(super) fn completion(address: SocketAddr, tokens: u32) -> Self {
        let body = json!({
            "model": "drafts", "prompt": "a letter", "max_tokens": tokens, "seed": 1,
            "stream": true,
        });
        Self::post(address, "/v1/completions", &body)
    }

    /// Reads a stream that an engine has, from its start.
    pub(super) fn stream(address: SocketAddr, name: &str) -> Self {
        let path = format!("/v1/streams/{name}?from=0");
        Self {
            method: Method::GET,
            ..Self::post(address, &path, &Value::Null)
        }
    }

    pub(super) fn post(address: SocketAddr, path: &str, body: &Value) -> Self {
        Self {
            address,
            method: Method::POST,
            path: path.to_owned(),
            body: body.to_string(),
            key: None,
        }
    }

    /// Sends the call on a new connection, and waits for the head of the answer.
    pub(super) async fn open(&self) -> Result<Answer, Report<PathError>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {ACCOUNT_KEY}"));
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        if self.method == Method::PUT {
            request = request.header(header::IF_NONE_MATCH, "*");
        }
        let request = request
            .body(Full::new(Bytes::from(self.body.clone())))
            .change_context(PathError::Call)?;
        let fresh = NewConnection::connect(self.address).await;
        let answer = fresh.change_context(PathError::Call)?.send(request, HEAD);
        let answer = answer.await.change_context(PathError::Call)?;
        if !answer.response.status().is_success() {
            let status = answer.response.status();
            let body = answer.response.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(Report::new(PathError::Status(status.as_u16())).attach(text));
        }
        Ok(answer)
    }

    /// Makes the call and returns how long it took, in microseconds.
    pub(super) async fn timed(&self) -> Result<f64, Report<PathError>> {
        let began = Instant::now();
        let answer = self.open().await?;
        let body = answer.response.into_body().collect().await;
        body.change_context(PathError::Call)?;
        Ok(began.elapsed().as_secs_f64() * 1e6)
    }

    /// Reads a stream to its end and returns when it was asked for and when each token came.
    pub(super) async fn tokens(&self) -> Result<(Instant, Vec<Instant>), Report<PathError>> {
        let began = Instant::now();
        let answer = self.open().await?;
        let mut body = answer.response.into_body();
        let mut times = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.change_context(PathError::Call)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            // Events are small, and each is written as a whole.
            let now = Instant::now();
            let count = data.windows(TOKEN.len()).filter(|part| *part == TOKEN);
            times.extend(count.map(|_| now));
        }
        Ok((began, times))
    }
}

/// Reads an answer and forgets it.
pub(super) async fn drain(answer: Answer) {
    let Answer {
        response,
        connection,
    } = answer;
    let mut body = response.into_body();
    while body.frame().await.is_some() {}
    drop(connection);
}
