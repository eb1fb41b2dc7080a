//! HTTP calls of the benchmark, made by the same client directly and through an instance.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use celerypond_daemon::http_call::{Answer, NewConnection};
use error_stack::{Report, ResultExt};
use http::{header, Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::{json, Value};
use tokio::time::Instant;

use super::{test_bed::ACCOUNT_KEY, PathError};

/// The timeout for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Occurs in every event that carries a token, and in no other event.
const TOKEN_MARKER: &[u8] = b"\"token\":";

/// An HTTP call: its destination, content and idempotency key.
#[derive(Clone, Debug)]
pub(super) struct HttpCall {
    pub(super) address: SocketAddr,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: String,
    pub(super) key: Option<String>,
}

impl HttpCall {
    /// Creates a call that asks an engine for tokens, as an instance does.
    pub(super) fn direct(address: SocketAddr, request: &str, tokens: u32) -> Self {
        let body = json!({
            "request": request, "attempt": 0, "model": "drafts", "version": "v1",
            "adapter": null, "prompt": "a letter", "max_tokens": tokens, "seed": 1,
        });
        Self::post(address, "/v1/generate", &body)
    }

    /// Creates a call that asks an instance for tokens.
    pub(super) fn completion(address: SocketAddr, tokens: u32) -> Self {
        let body = json!({
            "model": "drafts", "prompt": "a letter", "max_tokens": tokens, "seed": 1,
            "stream": true,
        });
        Self::post(address, "/v1/completions", &body)
    }

    /// Creates a call that reads an existing stream of an engine from its start.
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

    /// Sends the call on a new connection and waits for the head of the answer.
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
        let connection = NewConnection::connect(self.address).await;
        let answer = connection
            .change_context(PathError::Call)?
            .send(request, HEAD_TIMEOUT);
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

    /// Makes the call and returns its duration in microseconds.
    pub(super) async fn timed(&self) -> Result<f64, Report<PathError>> {
        let started_at = Instant::now();
        let answer = self.open().await?;
        let body = answer.response.into_body().collect().await;
        body.change_context(PathError::Call)?;
        Ok(started_at.elapsed().as_secs_f64() * 1e6)
    }

    /// Reads a stream to its end. Returns the time of the call and the arrival time of each token.
    pub(super) async fn tokens(&self) -> Result<(Instant, Vec<Instant>), Report<PathError>> {
        let started_at = Instant::now();
        let answer = self.open().await?;
        let mut body = answer.response.into_body();
        let mut times = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.change_context(PathError::Call)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            // Events are small and each is written at once, so none is split between two frames.
            let now = Instant::now();
            let tokens = data
                .windows(TOKEN_MARKER.len())
                .filter(|window| *window == TOKEN_MARKER);
            times.extend(tokens.map(|_| now));
        }
        Ok((started_at, times))
    }
}

/// Reads the body of an answer to its end and discards it.
pub(super) async fn drain(answer: Answer) {
    let Answer {
        response,
        connection,
    } = answer;
    let mut body = response.into_body();
    while body.frame().await.is_some() {}
    drop(connection);
}
