//! One HTTP exchange with an instance.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{header, HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time};

use crate::{ClientError, Problem};

const CONNECT: Duration = Duration::from_secs(2);

/// A request to an instance.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// The method.
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: String,
    /// Headers beside those that every request has.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub(crate) body: Bytes,
    /// How long to wait for the head of the answer.
    pub(crate) limit: Duration,
}

/// An answer and its connection.
pub(crate) struct Answer {
    /// The answer.
    pub(crate) response: Response<Incoming>,
    guard: Guard,
}

/// Closes a connection when dropped.
pub(crate) struct Guard(JoinHandle<()>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Ask {
    /// Makes a request without headers and body.
    pub(crate) fn new(method: Method, path: impl Into<String>, limit: Duration) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            limit,
        }
    }

    /// Adds a header.
    pub(crate) fn header(
        mut self,
        name: &'static str,
        value: &str,
    ) -> Result<Self, Report<ClientError>> {
        let value = HeaderValue::from_str(value).change_context(ClientError::Request)?;
        self.headers.push((HeaderName::from_static(name), value));
        Ok(self)
    }

    /// Sends the request to an instance and waits for the head of the answer.
    pub(crate) async fn send(&self, to: SocketAddr) -> Result<Answer, Report<ClientError>> {
        let request = self.request(to)?;
        let socket = time::timeout(CONNECT, TcpStream::connect(to))
            .await
            .change_context(ClientError::Unreachable(to))?
            .change_context(ClientError::Unreachable(to))?;
        let _ = socket.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .change_context(ClientError::Unreachable(to))?;
        let guard = Guard(tokio::spawn(async move {
            // The sender or the body reports the failure to whoever waits for it.
            let _ = connection.await;
        }));
        let response = time::timeout(self.limit, sender.send_request(request))
            .await
            .change_context(ClientError::Timeout(self.limit))?
            .change_context(ClientError::Broken)?;
        Ok(Answer { response, guard })
    }

    fn request(&self, to: SocketAddr) -> Result<Request<Full<Bytes>>, Report<ClientError>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, to.to_string());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        request
            .body(Full::new(self.body.clone()))
            .change_context(ClientError::Request)
    }
}

impl Answer {
    /// Separates the body from what keeps its connection open.
    pub(crate) fn split(self) -> (Incoming, Guard) {
        (self.response.into_body(), self.guard)
    }

    /// Reads the whole body.
    pub(crate) async fn body(&mut self, limit: Duration) -> Result<Bytes, Report<ClientError>> {
        let body = time::timeout(limit, self.response.body_mut().collect())
            .await
            .change_context(ClientError::Timeout(limit))?
            .change_context(ClientError::Broken)?;
        Ok(body.to_bytes())
    }
}

/// Reads a failure that an instance reported.
pub(crate) fn problem(body: &[u8]) -> Report<ClientError> {
    #[derive(serde::Deserialize)]
    struct Wrapped {
        error: Problem,
    }

    match serde_json::from_slice::<Wrapped>(body) {
        Ok(wrapped) => Report::new(ClientError::Problem(wrapped.error)),
        Err(_) => Report::new(ClientError::Malformed),
    }
}
