//! An HTTP request on a connection of its own.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{header, HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time};

use crate::{ApiError, ClientError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to an instance.
#[derive(Clone, Debug)]
pub(crate) struct ApiRequest {
    /// The method.
    pub(crate) method: Method,
    /// The path with the query.
    pub(crate) path: String,
    /// Headers other than `host`.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub(crate) body: Bytes,
    /// How long to wait for the response headers.
    pub(crate) timeout: Duration,
}

/// A response and its connection.
pub(crate) struct ApiResponse {
    /// The response headers and the unread body.
    pub(crate) inner: Response<Incoming>,
    guard: ConnectionGuard,
}

/// Closes the connection when dropped.
pub(crate) struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ApiRequest {
    /// Creates a request without headers and body.
    pub(crate) fn new(method: Method, path: impl Into<String>, timeout: Duration) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout,
        }
    }

    /// Adds a header.
    pub(crate) fn header(
        mut self,
        name: &'static str,
        value: &str,
    ) -> Result<Self, Report<ClientError>> {
        let value = HeaderValue::from_str(value).change_context(ClientError::InvalidRequest)?;
        self.headers.push((HeaderName::from_static(name), value));
        Ok(self)
    }

    /// Connects to an instance, sends the request and waits for the response headers.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
    ) -> Result<ApiResponse, Report<ClientError>> {
        let request = self.request(address)?;
        let socket = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .change_context(ClientError::Unreachable(address))?
            .change_context(ClientError::Unreachable(address))?;
        let _ = socket.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .change_context(ClientError::Unreachable(address))?;
        let guard = ConnectionGuard(tokio::spawn(async move {
            // The sender and the body report the same error.
            let _ = connection.await;
        }));
        let inner = time::timeout(self.timeout, sender.send_request(request))
            .await
            .change_context(ClientError::Timeout(self.timeout))?
            .change_context(ClientError::ConnectionClosed)?;
        Ok(ApiResponse { inner, guard })
    }

    fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, Report<ClientError>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, address.to_string());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        request
            .body(Full::new(self.body.clone()))
            .change_context(ClientError::InvalidRequest)
    }
}

impl ApiResponse {
    /// Returns the body and the guard that keeps its connection open.
    pub(crate) fn split(self) -> (Incoming, ConnectionGuard) {
        (self.inner.into_body(), self.guard)
    }

    /// Reads the whole body.
    pub(crate) async fn body(&mut self, timeout: Duration) -> Result<Bytes, Report<ClientError>> {
        let body = time::timeout(timeout, self.inner.body_mut().collect())
            .await
            .change_context(ClientError::Timeout(timeout))?
            .change_context(ClientError::ConnectionClosed)?;
        Ok(body.to_bytes())
    }
}

/// Parses the error in a response body.
pub(crate) fn parse_error(body: &[u8]) -> Report<ClientError> {
    #[derive(serde::Deserialize)]
    struct ErrorBody {
        error: ApiError,
    }

    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => Report::new(ClientError::Api(body.error)),
        Err(_) => Report::new(ClientError::InvalidResponse),
    }
}
