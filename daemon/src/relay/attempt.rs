//! One attempt at a target, up to the head of its response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_adapter::headers;
use celerypond_relay::{AttemptFailure, TargetRequestHead, TargetResponseHead};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{timeout, Instant};

use super::{
    connections::{ReusedConnection, Sender},
    lease::Lease,
    state::RelayState,
};

/// How soon a connection that was forgotten is reset after something was sent on it: a way there and back,
/// and the wait for a processor share.
const RESET_AT_ONCE: Duration = Duration::from_millis(30);

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub(super) method: Method,
    /// Path and query, as the caller sent them.
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The id of the request.
    pub(super) id: smol_str::SmolStr,
}

/// A response whose body is still to be read.
pub(super) struct OpenResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) answer: TargetResponseHead,
    pub(super) body: Incoming,
    sender: Sender,
}

impl OpenResponse {
    /// Keeps the connection for further requests; the body must have been read to its end.
    pub(super) fn keep(self, state: &RelayState, lease: &Lease) {
        let keep_alive = self.answer.keep_alive;
        state
            .connections
            .keep(lease.address, self.sender, keep_alive, Instant::now());
    }
}

/// Sends a request and waits up to `limit` for the head of the response.
///
/// # Errors
///
/// How the attempt ended, if no response to this request came.
pub(super) async fn send(
    state: &Arc<RelayState>,
    lease: &mut Lease,
    asked: &CallerRequest,
    head: &TargetRequestHead<'_>,
    limit: Duration,
) -> Result<OpenResponse, AttemptFailure> {
    let until = Instant::now() + limit;
    let mut request = make_request(asked, head);
    loop {
        let ReusedConnection { mut sender, rested } = connection(state, lease).await?;
        // The target may have left since it was chosen.
        if !state.known.targets().is_usable(lease.key) {
            return Err(AttemptFailure::Left);
        }
        let begun = Instant::now();
        let response = match tokio::time::timeout_at(until, sender.try_send_request(request)).await
        {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                // An idle connection that the target had closed takes nothing of the request.
                Some(unsent) => {
                    request = unsent;
                    continue;
                }
                None => {
                    if begun.elapsed() < RESET_AT_ONCE {
                        lease.connection_lost(rested);
                    }
                    return Err(AttemptFailure::Broken);
                }
            },
            Err(_) => return Err(AttemptFailure::Silent),
        };
        return check(asked, lease, response, sender);
    }
}

/// Returns a connection to the target, a kept one if there is one.
async fn connection(state: &RelayState, lease: &Lease) -> Result<ReusedConnection, AttemptFailure> {
    let now = Instant::now();
    let most = state.known.targets().idle_limit(lease.key, now);
    if let Some(kept) = state.connections.take(lease.address, most, now) {
        return Ok(kept);
    }
    let connected = state.connections.connect(lease.address).await;
    let sender = connected.map_err(|_| AttemptFailure::Unsent)?;
    Ok(ReusedConnection {
        sender,
        rested: Duration::ZERO,
    })
}

fn make_request(asked: &CallerRequest, head: &TargetRequestHead<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(asked.body.clone()));
    *request.method_mut() = asked.method.clone();
    *request.uri_mut() = asked.uri.clone();
    *request.headers_mut() = headers::to_target(&asked.headers, head);
    request
}

/// Decides whether a response belongs to the request.
///
/// The failure: a target sends a second response, or one that belongs to a request whose caller has
/// left, and it arrives where this request's is due. Its id tells; the connection is dropped.
fn check(
    asked: &CallerRequest,
    lease: &mut Lease,
    response: Response<Incoming>,
    sender: Sender,
) -> Result<OpenResponse, AttemptFailure> {
    let (parts, body) = response.into_parts();
    let answer = headers::read_answer(&parts.headers);
    if answer.request.as_ref() != Some(&asked.id) {
        return Err(AttemptFailure::Foreign);
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptFailure::Misdirected);
    }
    lease.answered(answer.load);
    if answer.not_run {
        return Err(AttemptFailure::NotRun);
    }
    let is_unsigned = parts.status.is_success() && !answer.signed;
    if is_unsigned || answer.encoded {
        return Err(AttemptFailure::Foreign);
    }
    Ok(OpenResponse {
        status: parts.status,
        headers: parts.headers,
        answer,
        body,
        sender,
    })
}

/// Reads a body whole.
///
/// # Errors
///
/// `Broken` when it ended early, `Silent` when it did not end in time.
pub(super) async fn read_whole(
    body: &mut Incoming,
    limit: Duration,
) -> Result<Bytes, AttemptFailure> {
    use http_body_util::BodyExt as _;
    match timeout(limit, body.collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(_)) => Err(AttemptFailure::Broken),
        Err(_) => Err(AttemptFailure::Silent),
    }
}
