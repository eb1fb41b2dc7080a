//! One HTTP call on a connection of its own.
//!
//! Such a call separates a connection that could not be made from a request that may have been
//! sent, and it can't meet an answer that was meant for an earlier request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, task::JoinHandle, time};

/// How long a connection may take; data centres are milliseconds apart.
const CONNECT: Duration = Duration::from_secs(1);

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be made, so nothing was sent.
    #[error("no connection could be made")]
    Connect,
    /// The connection ended after bytes may have been sent.
    #[error("the connection ended before the answer")]
    Reset,
    /// No answer came in time.
    #[error("no answer came in time")]
    Timeout,
}

/// A connection on which nothing was sent yet.
pub struct NewConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

/// An answer and the connection that carries it.
pub struct Answer {
    /// The answer; its body arrives while the connection is open.
    pub response: Response<Incoming>,
    /// Closes the connection when dropped.
    pub connection: Connection,
}

/// A connection in use; dropping it closes it, so that it is never used again.
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl NewConnection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// `Connect`: nothing was sent.
    pub async fn connect(address: SocketAddr) -> Result<Self, Report<CallError>> {
        Self::over(socket(address).await?).await
    }

    /// Connects so that a close discards what was not sent yet.
    ///
    /// # Errors
    ///
    /// `Connect`: nothing was sent.
    pub async fn connect_resetting(address: SocketAddr) -> Result<Self, Report<CallError>> {
        let socket = socket(address).await?;
        socket
            .set_zero_linger()
            .change_context(CallError::Connect)?;
        Self::over(socket).await
    }

    async fn over(socket: TcpStream) -> Result<Self, Report<CallError>> {
        let (sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .change_context(CallError::Connect)?;
        let driver = tokio::spawn(async move {
            // The sender or the body reports the failure to whoever waits for it.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// `Reset` or `Timeout`: the request may have been processed.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, Report<CallError>> {
        let connection = Connection(self.driver);
        let response = time::timeout(limit, self.sender.send_request(request))
            .await
            .change_context(CallError::Timeout)?
            .change_context(CallError::Reset)?;
        Ok(Answer {
            response,
            connection,
        })
    }
}

async fn socket(address: SocketAddr) -> Result<TcpStream, Report<CallError>> {
    let socket = time::timeout(CONNECT, TcpStream::connect(address))
        .await
        .change_context(CallError::Connect)?
        .change_context(CallError::Connect)?;
    // Without this, the second small write of a request waits for an acknowledgement.
    socket
        .set_nodelay(true)
        .change_context(CallError::Connect)?;
    Ok(socket)
}
