//! A single attempt at a target, up to the head of its response.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_adapter::headers;
use celerypond_relay::{AttemptFailure, TargetRequestHead, TargetResponseHead};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use tokio::time::{timeout, Instant};

use super::{
    connections::{Connections, ReusedConnection},
    fullness,
    lease::Lease,
    metered_body::MeteredBody,
    rate_limits,
    reachability::record_connection,
    request_body::RequestBody,
    sender::Sender,
    state::RelayState,
    statements,
};

/// The time within which a target resets a request on a connection that it does not accept: a
/// network round trip and the wait for a processor share.
const RESET_WINDOW: Duration = Duration::from_millis(30);

/// How long the rest of a refusal may take to arrive.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a new connection has to last before a request that must not be repeated is sent on it,
/// as a multiple of the time that it took to connect.
const CONFIRMATION_ROUND_TRIPS: u32 = 2;
/// The minimum of that time, which the target's process needs to accept the connection.
const MIN_CONFIRMATION: Duration = Duration::from_millis(1);

/// A caller's request, with its whole body.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub(super) method: Method,
    /// The path and query, as the caller sent them.
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
    /// The request id.
    pub(super) id: smol_str::SmolStr,
}

/// A response whose body has not been read yet.
pub(super) struct OpenResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) head: TargetResponseHead,
    pub(super) body: MeteredBody,
    sender: Sender,
}

impl OpenResponse {
    /// Creates a response that arrived on a connection.
    pub(super) fn new(response: Response<MeteredBody>, sender: Sender) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status,
            head: headers::parse_target_response(&parts.headers),
            headers: parts.headers,
            body,
            sender,
        }
    }

    /// Returns whether the status is that of a response at all: neither a number without a meaning in
    /// HTTP nor a change of protocols, which is never asked for.
    pub(super) fn has_final_status(&self) -> bool {
        (200..600).contains(&self.status.as_u16())
    }

    /// Keeps the connection for further requests. The body must have been read to its end.
    pub(super) fn keep(self, state: &RelayState, lease: &Lease) {
        self.keep_in(&state.connections, lease.address);
    }

    /// Keeps the connection in a pool.
    pub(super) fn keep_in(self, connections: &Connections, address: SocketAddr) {
        let keep_alive = self.head.keep_alive;
        connections.keep(address, self.sender, keep_alive, Instant::now());
    }
}

/// Sends a request and waits up to `limit` for the head of the response.
///
/// # Errors
///
/// The failure of the attempt if no response to this request arrived.
pub(super) async fn send(
    state: &Arc<RelayState>,
    lease: &mut Lease,
    caller_request: &CallerRequest,
    head: &TargetRequestHead<'_>,
    limit: Duration,
) -> Result<OpenResponse, AttemptFailure> {
    let until = Instant::now() + limit;
    let mut request = make_request(caller_request, head);
    loop {
        let ReusedConnection {
            mut sender,
            idle_for,
        } = acquire_connection(state, lease).await?;
        let started = Instant::now();
        if lease.has_withdrawn(started) {
            return Err(AttemptFailure::Left);
        }
        let response = match tokio::time::timeout_at(until, sender.try_send_request(request)).await
        {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                // If the target had closed the idle connection, nothing of the request was sent.
                Some(unsent) => {
                    request = unsent;
                    continue;
                }
                None => {
                    if started.elapsed() < RESET_WINDOW {
                        match idle_for {
                            Some(idle_for) => lease.record_idle_reset(idle_for),
                            None => record_reset(state, lease),
                        }
                    }
                    return Err(AttemptFailure::Broken);
                }
            },
            Err(_) => return Err(AttemptFailure::Silent),
        };
        return validate_response(state, caller_request, lease, (response, started), sender);
    }
}

/// Returns a connection to the target, an idle one if there is one.
async fn acquire_connection(
    state: &RelayState,
    lease: &Lease,
) -> Result<ReusedConnection, AttemptFailure> {
    let now = Instant::now();
    let connections = &state.connections;
    if let Some(reused) = take_idle_connection(state, lease, now) {
        return Ok(reused);
    }
    let open = connections
        .reserve(lease.address, lease.connection_share, now)
        .ok_or(AttemptFailure::NoConnection)?;
    let connected = connections.connect(lease.address, open).await;
    if connected.is_ok() {
        lease.record_connection_time(now.elapsed());
    }
    let connected = connected.map_err(|error| AttemptFailure::of_connect(&error));
    if !matches!(connected, Err(AttemptFailure::NoConnection)) {
        record_connection(state, lease.key, connected.is_ok());
    }
    let sender = connected?;
    let is_reduced = connections.is_reduced(lease.address, lease.connection_share, now);
    if lease.confirms_connection || is_reduced {
        // A reset arrives within a round trip after the connection is made.
        let time = now.elapsed() * CONFIRMATION_ROUND_TRIPS;
        tokio::time::sleep(time.max(MIN_CONFIRMATION)).await;
        if sender.is_closed() {
            record_reset(state, lease);
            return Err(AttemptFailure::Reset);
        }
    }
    Ok(ReusedConnection {
        sender,
        idle_for: None,
    })
}

/// Takes an idle connection to the target, unless it may hang.
fn take_idle_connection(
    state: &RelayState,
    lease: &Lease,
    now: Instant,
) -> Option<ReusedConnection> {
    let targets = state.view.targets();
    let service = targets.get(lease.key).map(|target| &target.entry.service);
    if service.is_some_and(|service| targets.distrusts_idle_connections(service, now)) {
        return None;
    }
    let max_idle_time = targets.idle_limit(lease.key, now);
    drop(targets);
    state
        .connections
        .take_idle(lease.address, max_idle_time, now)
}

/// Records that the target reset a new connection.
fn record_reset(state: &RelayState, lease: &Lease) {
    let now = Instant::now();
    state.connections.record_reset(lease.address, now);
    log::info!(target = lease.name.as_str(); "new connection reset");
}

fn make_request(
    caller_request: &CallerRequest,
    head: &TargetRequestHead<'_>,
) -> Request<RequestBody> {
    let mut request = Request::new(caller_request.body.clone());
    *request.method_mut() = caller_request.method.clone();
    *request.uri_mut() = caller_request.uri.clone();
    *request.headers_mut() = headers::target_request_headers(&caller_request.headers, head);
    request
}

/// Checks that a response belongs to the request.
///
/// A target may send a second response, or one to a request whose caller has left, and it arrives
/// where this request's response is expected. Its request id reveals that, and the connection is
/// dropped.
fn validate_response(
    state: &Arc<RelayState>,
    caller_request: &CallerRequest,
    lease: &mut Lease,
    (response, sent): (Response<MeteredBody>, Instant),
    sender: Sender,
) -> Result<OpenResponse, AttemptFailure> {
    let response = OpenResponse::new(response, sender);
    if !response.has_final_status() {
        return Err(AttemptFailure::Foreign);
    }
    statements::record(state, lease, &caller_request.id, &response);
    if response.head.request.as_ref() != Some(&caller_request.id) {
        return Err(AttemptFailure::Foreign);
    }
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptFailure::Misdirected);
    }
    lease.record_response(response.head.load);
    statements::record_acceptance(state, lease, &response, sent);
    if let Some(max_rejections) = response.head.max_rejections {
        lease.record_brittle(max_rejections);
    }
    rate_limits::record_statement(state, lease.key, response.head.max_rate, sent);
    if response.head.not_run {
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            fullness::record_rejection(state, lease.key);
        }
        let reused = keep_refused(Arc::clone(state), lease.address, response);
        state.tasks.spawn(reused);
        return Err(AttemptFailure::NotRun);
    }
    fullness::record_acceptance(state, lease.key, sent);
    let is_unsigned = response.status.is_success() && !response.head.signed;
    if is_unsigned || response.head.encoded {
        return Err(AttemptFailure::Foreign);
    }
    Ok(response)
}

/// Keeps the connection of a target that refused a request, once the refusal was read to its end.
///
/// A full target refuses many requests. If each cost a connection, the target would soon have more
/// than it accepts, and reset them.
async fn keep_refused(state: Arc<RelayState>, address: SocketAddr, mut response: OpenResponse) {
    let read = read_body(&state, &mut response.body, REFUSAL_TIMEOUT).await;
    if read.is_ok() {
        response.keep_in(&state.connections, address);
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// `Broken` if the body ended early or is too large, `Silent` if it did not end in time.
pub(super) async fn read_body(
    state: &RelayState,
    body: &mut MeteredBody,
    limit: Duration,
) -> Result<Bytes, AttemptFailure> {
    let collected = timeout(limit, state.response_memory.collect(body)).await;
    collected.unwrap_or(Err(AttemptFailure::Silent))
}
