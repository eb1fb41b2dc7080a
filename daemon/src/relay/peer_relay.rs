//! Relays requests through other instances while this one reaches no target of their service.
//!
//! Responses are relayed as they arrive, which calls by `tarpc` cannot do, so instances speak HTTP
//! to each other here, on a port that callers do not use. A request that arrives there is never
//! relayed through another instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_adapter::headers;
use celerypond_relay::{AttemptFailure, Urgency};
use celerypond_telemetry::Counter;
use celerypond_types::TargetName;
use http::{header::HeaderValue, HeaderMap, HeaderName, Request};
use rand::seq::SliceRandom as _;
use tokio::{
    net::TcpListener,
    time::{timeout_at, Instant},
};

use super::{
    attempt::OpenResponse,
    callers,
    connections::ReusedConnection,
    reply::{Reason, Reply},
    request::Origin,
    request_body::RequestBody,
    routed_request::RoutedRequest,
    run_copy::{CopyLocation, OrderedCopy},
    sender::Sender,
    state::RelayState,
    statements,
};

/// The version of the configuration by which the sending instance has admitted a request. An older
/// one must not decide about it.
const CONFIG_VERSION: HeaderName = HeaderName::from_static("config-version");
/// Where a copy of the memory of a stream's run is: the engine that holds it and, if the copy was
/// ordered, where from and under which name, the start of that engine and for how long it was not
/// known to run in milliseconds, separated by spaces.
const RUN_COPY: HeaderName = HeaderName::from_static("run-copy");
/// The targets that ended while they ran a request, as a notice in JSON.
const TARGET_LOSSES: HeaderName = HeaderName::from_static("target-losses");
/// The level of the urgency of a request, which stays that of its admission.
const URGENCY: HeaderName = HeaderName::from_static("run-urgency");
/// Whether the stream was admitted by its urgency. An instance that reaches no engine relays streams
/// without having admitted them.
const ADMITTED: HeaderName = HeaderName::from_static("run-admitted");
/// At how many targets the request has run that did not end.
const RUN_COUNT: HeaderName = HeaderName::from_static("run-count");
/// The target whose response an instance relays to another one.
const RUN_TARGET: HeaderName = HeaderName::from_static("run-target");
/// The distance of the port for relayed requests from the first port for other instances.
const PORT_OFFSET: u16 = 1;
/// The maximum number of instances that are tried for one request if they cannot be connected to.
const MAX_PEERS: usize = 3;

/// Returns the address at which the instance with this peer address accepts relayed requests.
pub(super) const fn address(peer: SocketAddr) -> SocketAddr {
    let mut address = peer;
    address.set_port(peer.port() + PORT_OFFSET);
    address
}

/// Serves the requests that other instances relay until the instance closes to callers.
pub(super) async fn run(state: Arc<RelayState>, listener: Arc<TcpListener>) {
    callers::run(state, listener, Origin::Peer).await;
}

/// Removes the version of the configuration from the headers of a relayed request and returns it.
pub(super) fn take_config_version(headers: &mut HeaderMap) -> Option<u64> {
    let version = headers.remove(CONFIG_VERSION)?;
    version.to_str().ok()?.parse().ok()
}

/// What another instance tells of a request that it relays.
#[derive(Debug, Default)]
pub(super) struct RelayedState {
    /// The copy of its run.
    pub(super) copy: Option<CopyLocation>,
    /// Its urgency.
    pub(super) urgency: Option<Urgency>,
    /// Whether it was admitted by its urgency.
    pub(super) is_admitted: bool,
    /// The number of its runs.
    pub(super) runs: u32,
}

impl RelayedState {
    /// Removes it from the headers of a request, and records the targets that ended while they ran
    /// the request.
    pub(super) fn take(state: &RelayState, headers: &mut HeaderMap) -> Self {
        take_losses(state, headers);
        Self {
            copy: take_copy(state, headers),
            urgency: take_urgency(headers),
            is_admitted: take_admitted(headers),
            runs: take_runs(headers),
        }
    }
}

/// Removes the location of a run's copy from the headers of a relayed request and returns it.
fn take_copy(state: &RelayState, headers: &mut HeaderMap) -> Option<CopyLocation> {
    let value = headers.remove(RUN_COPY)?;
    let mut fields = value.to_str().ok()?.split(' ');
    let holder = TargetName::new(fields.next()?);
    let ordered = match (fields.next(), fields.next()) {
        (Some(from), Some(handle)) => {
            let born = fields.next().and_then(|born| born.parse().ok());
            let age = fields.next().and_then(|age| age.parse().ok());
            let age = Duration::from_millis(age.unwrap_or(u64::from(u32::MAX)));
            Some(OrderedCopy {
                from: from.parse().ok()?,
                handle: handle.into(),
                born,
                known_at: Instant::now().checked_sub(age)?,
            })
        }
        _ => None,
    };
    let holder = state.view.targets().key_of(&holder)?;
    Some(CopyLocation { holder, ordered })
}

/// Removes the urgency from the headers of a relayed request and returns it.
fn take_urgency(headers: &mut HeaderMap) -> Option<Urgency> {
    let level = headers.remove(URGENCY)?;
    Some(Urgency::new(level.to_str().ok()?.parse().ok()?))
}

/// Removes whether the stream was admitted from the headers of a relayed request and returns it.
fn take_admitted(headers: &mut HeaderMap) -> bool {
    headers.remove(ADMITTED).is_some()
}

/// Removes the number of a relayed request's runs from its headers and returns it.
fn take_runs(headers: &mut HeaderMap) -> u32 {
    let count = headers.remove(RUN_COUNT);
    let count = count.and_then(|count| count.to_str().ok()?.parse().ok());
    count.unwrap_or_default()
}

/// Removes the targets that ended while they ran a relayed request from its headers, and records
/// them.
fn take_losses(state: &RelayState, headers: &mut HeaderMap) {
    let value = headers.remove(TARGET_LOSSES);
    let notice = value.and_then(|value| serde_json::from_slice(value.as_bytes()).ok());
    if let Some(notice) = notice {
        state.losses().merge(&notice, Instant::now());
    }
}

/// Names the target in a response that is relayed to another instance.
pub(super) fn name_target(reply: &mut Reply) {
    let Some(Reason::Relayed(target)) = reply.extensions().get::<Reason>() else {
        return;
    };
    if let Ok(name) = HeaderValue::from_str(target.as_str()) {
        reply.headers_mut().insert(RUN_TARGET, name);
    }
}

/// Removes the name of the target from the headers of a relayed response and returns it.
fn take_target(headers: &mut HeaderMap) -> Option<TargetName> {
    let name = headers.remove(RUN_TARGET)?;
    Some(TargetName::new(name.to_str().ok()?))
}

fn losses_header(request: &RoutedRequest) -> Option<HeaderValue> {
    let notice = serde_json::to_string(&request.losses.notice()?).ok()?;
    HeaderValue::from_str(&notice).ok()
}

fn copy_header(state: &RelayState, copy: &CopyLocation) -> Option<HeaderValue> {
    let targets = state.view.targets();
    let holder = targets.get(copy.holder)?.entry.name.as_str();
    let text = match &copy.ordered {
        Some(ordered) => {
            let OrderedCopy { from, handle, .. } = ordered;
            let born = ordered
                .born
                .map_or_else(|| "-".to_owned(), |born| born.to_string());
            let age = ordered.known_at.elapsed().as_millis();
            format!("{holder} {from} {handle} {born} {age}")
        }
        None => holder.to_owned(),
    };
    HeaderValue::from_str(&text).ok()
}

/// The run of a stream that is resumed through another instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResumedRun<'a> {
    /// The last event that was received.
    pub(super) last_event: Option<u64>,
    /// The copy of its memory.
    pub(super) copy: Option<&'a CopyLocation>,
}

/// A response that another instance relays.
pub(super) struct PeerResponse {
    pub(super) address: SocketAddr,
    pub(super) response: OpenResponse,
}

impl PeerResponse {
    /// Keeps the connection for further requests. The body must have been read to its end.
    pub(super) fn keep(self, state: &RelayState) {
        self.response.keep_in(&state.peer_connections, self.address);
    }
}

/// Sends a request to another instance that reaches its service, and waits for the head of the
/// response. Returns `None` if there is none that can be connected to.
///
/// # Errors
///
/// `Broken` or `Silent` if the request may have run, but no response arrived.
pub(super) async fn send(
    request: &RoutedRequest,
    run: &ResumedRun<'_>,
) -> Option<Result<PeerResponse, AttemptFailure>> {
    let state = &request.state;
    for peer in candidates(request) {
        let address = address(peer);
        let Some(connection) = connect(state, address).await else {
            continue;
        };
        log::info!(
            request = request.caller_request.id.as_str(),
            peer:% = peer;
            "relayed through another instance"
        );
        state.metrics.add(Counter::RelayedThroughPeers, 1);
        return Some(exchange(request, connection, address, run).await);
    }
    None
}

/// Returns whether another instance is known that reaches the service.
pub(super) fn has_candidates(request: &RoutedRequest) -> bool {
    !candidates(request).is_empty()
}

/// Returns some instances that reach the service, in random order, so that all get a share.
fn candidates(request: &RoutedRequest) -> Vec<SocketAddr> {
    let state = &request.state;
    let now = Instant::now();
    let fleet = state.fleet.load();
    let peers = state.peer_partitions();
    let service = &request.requirements.service;
    let reaching = fleet.live_peers.iter().copied();
    let reaching = reaching.filter(|peer| peers.reaches(*peer, service, now));
    let mut candidates: Vec<SocketAddr> = reaching.collect();
    drop(peers);
    let (chosen, _) = candidates.partial_shuffle(&mut rand::rng(), MAX_PEERS);
    chosen.to_vec()
}

async fn connect(state: &RelayState, address: SocketAddr) -> Option<Sender> {
    let connections = &state.peer_connections;
    if let Some(ReusedConnection { sender, .. }) =
        connections.take_idle(address, None, Instant::now())
    {
        return Some(sender);
    }
    let open = connections.reserve_probe(address);
    connections.connect(address, open).await.ok()
}

async fn exchange(
    request: &RoutedRequest,
    mut connection: Sender,
    address: SocketAddr,
    run: &ResumedRun<'_>,
) -> Result<PeerResponse, AttemptFailure> {
    let until = Instant::now() + request.time_left();
    let message = message(request, run);
    let response = timeout_at(until, connection.send_request(message)).await;
    let response = response.map_err(|_| AttemptFailure::Silent)?;
    let response = response.map_err(|_| AttemptFailure::Broken)?;
    let mut response = OpenResponse::new(response, connection);
    let target = take_target(&mut response.headers);
    if let Some(target) = target.filter(|_| response.head.is_leaving) {
        statements::record_relayed(&request.state, &target);
    }
    if !response.has_final_status()
        || response.head.request.as_ref() != Some(&request.caller_request.id)
    {
        return Err(AttemptFailure::Foreign);
    }
    Ok(PeerResponse { address, response })
}

fn message(request: &RoutedRequest, run: &ResumedRun<'_>) -> Request<RequestBody> {
    let caller_request = &request.caller_request;
    let mut message = Request::new(caller_request.body.clone());
    *message.method_mut() = caller_request.method.clone();
    *message.uri_mut() = caller_request.uri.clone();
    let time_left: Duration = request.time_left();
    let mut headers =
        headers::relayed_request_headers(&caller_request.headers, time_left, run.last_event);
    let version = request.state.view.config_version();
    headers.insert(CONFIG_VERSION, HeaderValue::from(version));
    // One of the caller's own would be taken for that of this instance.
    headers.remove(RUN_COPY);
    headers.remove(TARGET_LOSSES);
    headers.remove(URGENCY);
    headers.remove(ADMITTED);
    headers.insert(RUN_COUNT, HeaderValue::from(request.counted_runs()));
    if let Some(urgency) = request.requirements.urgency {
        headers.insert(URGENCY, HeaderValue::from(urgency.level()));
        if request.is_admitted {
            headers.insert(ADMITTED, HeaderValue::from_static("1"));
        }
    }
    if let Some(losses) = losses_header(request) {
        headers.insert(TARGET_LOSSES, losses);
    }
    if let Some(copy) = run.copy.and_then(|copy| copy_header(&request.state, copy)) {
        headers.insert(RUN_COPY, copy);
    }
    *message.headers_mut() = headers;
    message
}
