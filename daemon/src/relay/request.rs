//! Receives, admits and answers the requests of callers.

use std::{convert::Infallible, mem, sync::Arc, time::Duration};

use celerypond_adapter::headers;
use celerypond_relay::{
    CallerHead, Denied, RequestDeadline, Route, RouteKind, RoutingTable, StaleWait, Urgency,
};
use celerypond_telemetry::{Counter, Latency};
use celerypond_types::{AccountName, ServiceName};
use http::{
    header::{EXPECT, HOST, TRANSFER_ENCODING},
    Request, Response, StatusCode,
};
use hyper::body::Body as _;
use rand::Rng as _;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{
    attempt::CallerRequest,
    body_receiver::{self, BodyFailure},
    caller_connection::CallerConnection,
    members,
    metered_body::MeteredBody,
    open_request::{OpenRequest, RequestRecord, TrackedBody},
    peer_relay::{self, RelayedState},
    reply::{self, Reason, Reply},
    request_body::RequestBody,
    routed_request::RoutedRequest,
    single_response,
    state::{Outdated, RelayState},
    stream,
};
use crate::body;

/// How long a request waits until an instance that has just started knows the configuration and the
/// targets.
///
/// Callers connect to a restarted instance within milliseconds and would be told to retry although
/// the store's answer is about to arrive. That takes some milliseconds, or some hundred for a
/// peer's answer when the store is unavailable.
const STARTUP_WAIT: Duration = Duration::from_millis(500);

/// The deadline that is assumed for a caller that sends none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

/// When a caller may retry at an instance that still knows no configuration after `STARTUP_WAIT`.
///
/// If all instances restart while the store is unavailable, none of them can learn the
/// configuration from another. Outages last seconds, but callers would retry after a third of a
/// second, most of them only once, and then give up. A draft whose prompt is read after this time
/// still begins within about four seconds.
const STARTUP_RETRY_AFTER: Duration = Duration::from_secs(2);

/// When a caller may retry whose request was refused for want of memory. What others hold without
/// need is free by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// From a caller.
    Caller,
    /// From another instance, which got it from a caller and reaches no target.
    Peer,
}

/// Answers a request.
pub(super) async fn answer(
    state: Arc<RelayState>,
    mut request: Request<MeteredBody>,
    origin: Origin,
    caller: Arc<CallerConnection>,
) -> Result<Response<TrackedBody>, Infallible> {
    let started = Instant::now();
    let active = caller.begin_request(!request.body().is_end_stream(), started);
    // A body without a length is read by its chunks. If the request also has a length, a proxy
    // before this instance may delimit it differently, and the bytes that follow would look like a
    // request that no caller sent (request smuggling). So nothing is read after such a body.
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let head = headers::parse_caller_head(request.headers());
    let id = head.request.clone();
    let method = request.method().clone();
    let open_request = OpenRequest::new(&state, id.clone(), origin, started, active);
    let mut reply = match refuse_peer(&state, &mut request, origin, &head, &caller) {
        Some(refusal) => refusal,
        None => route_request(&state, &mut request, head, open_request.record(), &caller).await,
    };
    if origin == Origin::Peer {
        peer_relay::name_target(&mut reply);
    }
    discard_rest(&state, request);
    if is_chunked || state.stopping.is_cancelled() {
        reply::close_after(&mut reply);
    }
    count_reply(&state, &reply);
    log_reply(&state, id.as_deref(), &reply, started);
    Ok(open_request.into_response(reply, &method))
}

/// Returns whether a request's head, counted without optional spaces, is longer than the
/// configuration allows. Before there is one, no limit is known.
fn exceeds_limit(state: &RelayState, request: &Request<MeteredBody>) -> bool {
    let target = request.uri().path_and_query();
    let mut size = request.method().as_str().len()
        + target.map_or(0, |target| target.as_str().len())
        + "  HTTP/1.1\r\n\r\n".len();
    for (name, value) in request.headers() {
        size += name.as_str().len() + value.len() + ":\r\n".len();
    }
    state.view.has_config() && size > state.view.table().config().limits.head_bytes
}

fn refuse_long_head(id: &SmolStr) -> Reply {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let mut reply = reply::local(status, Some(id), Reason::BadRequest);
    reply::close_after(&mut reply);
    reply
}

/// Refuses a request that no other instance can have relayed, or that this one must not decide about.
/// Returns `None` for others.
fn refuse_peer(
    state: &RelayState,
    request: &mut Request<MeteredBody>,
    origin: Origin,
    head: &CallerHead,
    caller: &CallerConnection,
) -> Option<Reply> {
    if origin == Origin::Caller {
        return None;
    }
    // Whoever else connects could set the headers that only instances set for each other.
    let is_member = caller
        .address()
        .is_some_and(|ip| members::has_member_at(state, ip));
    if !is_member {
        let id = head.request.as_deref().unwrap_or_default();
        let time_left = head.deadline.unwrap_or_default();
        return Some(reply::not_run(id, time_left, None, Reason::UnknownPeer));
    }
    has_newer_config(state, request).then(|| refuse_newer_config(state, head))
}

/// Returns whether another instance has admitted a request by a configuration that is newer than
/// that of this instance.
fn has_newer_config(state: &RelayState, request: &mut Request<MeteredBody>) -> bool {
    state.metrics.add(Counter::RelayedForPeers, 1);
    let version = peer_relay::take_config_version(request.headers_mut());
    version.is_some_and(|version| version > state.view.config_version())
}

fn refuse_newer_config(state: &RelayState, head: &CallerHead) -> Reply {
    state.newer_config.notify_one();
    let id = head.request.as_deref().unwrap_or_default();
    let time_left = head.deadline.unwrap_or_default();
    reply::not_run(id, time_left, Some(Duration::ZERO), Reason::NoConfig)
}

/// Logs how a request was answered, and in which state of the store's data.
fn log_reply(state: &RelayState, request: Option<&str>, reply: &Reply, started: Instant) {
    let status = reply.status().as_u16();
    let took_ms = started.elapsed().as_millis() as u64;
    match reply.extensions().get::<Reason>() {
        Some(Reason::Relayed(target)) => {
            log::info!(request, status, target = target.as_str(), took_ms; "answered");
        }
        reason => log::warn!(
            request,
            status,
            why = reason.map(|reason| format!("{reason:?}")),
            config = state.view.config_version(),
            newest_config = state.newest_config(),
            targets_revision = state.view.targets_revision(),
            store_lost = state.watch_duty.is_lost(),
            took_ms;
            "answered"
        ),
    }
}

/// Counts how a request ended. Failures of targets that are relayed are not counted here.
fn count_reply(state: &RelayState, reply: &Reply) {
    let counter = match reply.status() {
        StatusCode::NOT_FOUND | StatusCode::UNAUTHORIZED => Counter::RoutedDenied,
        StatusCode::SERVICE_UNAVAILABLE => Counter::RoutedRefused,
        StatusCode::BAD_GATEWAY => Counter::RoutedFailed,
        StatusCode::GATEWAY_TIMEOUT => Counter::RoutedExpired,
        _ => return,
    };
    state.metrics.add(counter, 1);
}

async fn route_request(
    state: &Arc<RelayState>,
    request: &mut Request<MeteredBody>,
    head: CallerHead,
    record: &Arc<RequestRecord>,
    caller: &CallerConnection,
) -> Reply {
    let (started, origin) = (record.received, record.origin);
    let Some(id) = head.request.clone() else {
        return reply::local(StatusCode::BAD_REQUEST, None, Reason::BadRequest);
    };
    state.view.wait_known(started + STARTUP_WAIT).await;
    // Another instance has accepted the head that it relays, and adds to it.
    if origin == Origin::Caller && exceeds_limit(state, request) {
        return refuse_long_head(&id);
    }
    let wait = StaleWait::new(started, head.deadline.unwrap_or(DEFAULT_DEADLINE));
    if let Some(outdated) = state.wait_current(&wait).await {
        return refuse_stale(state, outdated, &id, &head, started);
    }
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default().to_owned();
    let path = request.uri().path().to_owned();
    let Some(admission) = admit(state, &host, &path, &head) else {
        return reply::not_run(
            &id,
            head.deadline
                .unwrap_or_default()
                .saturating_sub(started.elapsed()),
            Some(STARTUP_RETRY_AFTER),
            Reason::NoConfig,
        );
    };
    let Admitted {
        route,
        account,
        service,
        urgency,
    } = match admission {
        Ok(admitted) => admitted,
        Err(denied) => return denial(denied, &id),
    };
    let deadline = RequestDeadline::new(started, head.deadline, route.timeout);
    let relayed = match origin {
        Origin::Caller => RelayedState::default(),
        Origin::Peer => RelayedState::take(state, request.headers_mut()),
    };
    let limit = state.view.table().config().limits.body_bytes;
    let received = receive_body(request, id.clone(), limit, &deadline, caller).await;
    let caller_request = match received {
        Ok(caller_request) => caller_request,
        Err(failure) => return refuse_body(state, failure, &id, &deadline),
    };
    let now = Instant::now();
    let planned_stop = state.planned_stop.load_full();
    if let Some(planned_stop) =
        planned_stop.filter(|planned_stop| !planned_stop.admits(deadline.remaining(now), now))
    {
        let retry_after = planned_stop.retry_after(members::peer_counts(state), route.aim, now);
        return reply::not_run(&id, deadline.remaining(now), retry_after, Reason::Stopping);
    }
    let Some(service) = service else {
        return reply::not_run(
            &id,
            deadline.remaining(Instant::now()),
            None,
            Reason::NoTarget,
        );
    };
    let mut routed = RoutedRequest::new(
        state,
        caller_request,
        head.prompt.as_ref(),
        &route,
        service,
        account,
        (deadline, record),
    );
    routed.passed_copy = relayed.copy;
    routed.is_admitted = relayed.is_admitted;
    routed.runs = relayed.runs;
    routed.requirements.urgency = relayed.urgency.or(urgency);
    // A relayed request has the time that the other instance has left.
    let usual_deadline = head.deadline.filter(|_| origin == Origin::Caller);
    if let Some(deadline) = usual_deadline {
        routed.requirements.is_late = state.record_deadline(&route, deadline);
    }
    match route.kind {
        RouteKind::Stream { .. } => stream::relay(routed).await,
        RouteKind::Safe | RouteKind::Unsafe => {
            let reply = single_response::relay(routed).await;
            state.latencies.add(Latency::Request, started.elapsed());
            reply
        }
    }
}

/// What the configuration determines about a request.
struct Admitted {
    route: Route,
    account: Option<AccountName>,
    /// The service that is to serve it; `None` if the route has none.
    service: Option<ServiceName>,
    /// The urgency; `None` if all requests of the service are equally urgent.
    urgency: Option<Urgency>,
}

type Admission = Result<Admitted, Denied>;

/// Finds the route, the account and the service. Returns `None` while no configuration is known.
fn admit(state: &RelayState, host: &str, path: &str, head: &CallerHead) -> Option<Admission> {
    if !state.view.has_config() {
        return None;
    }
    let table: arc_swap::Guard<Arc<RoutingTable>> = state.view.table();
    let admission = table.resolve(host, path, head.key.as_deref());
    Some(admission.map(|(route, account)| {
        let service = choose_service(route);
        let urgency = service.as_ref();
        Admitted {
            urgency: urgency.and_then(|service| table.urgency(service, route, account)),
            account: account.map(|account| account.name.clone()),
            route: route.clone(),
            service,
        }
    }))
}

/// Refuses a request because other instances may have newer data. Its caller retries at another
/// instance, and the connection is closed.
fn refuse_stale(
    state: &RelayState,
    outdated: Outdated,
    id: &SmolStr,
    head: &CallerHead,
    started: Instant,
) -> Reply {
    state.metrics.add(Counter::RoutedStale, 1);
    if matches!(outdated, Outdated::Targets(_)) {
        state.metrics.add(Counter::RoutedStaleTargets, 1);
    }
    let time_left = head.deadline.unwrap_or_default();
    let time_left = time_left.saturating_sub(started.elapsed());
    let mut reply = reply::not_run(
        id,
        time_left,
        Some(Duration::ZERO),
        Reason::Outdated(outdated),
    );
    reply::close_after(&mut reply);
    reply
}

fn denial(denied: Denied, id: &SmolStr) -> Reply {
    let status = match denied {
        Denied::NoRoute => StatusCode::NOT_FOUND,
        Denied::UnknownKey => StatusCode::UNAUTHORIZED,
    };
    reply::local(status, Some(id), Reason::Denied(denied))
}

/// Receives the body, and takes the headers from the request before.
async fn receive_body(
    request: &mut Request<MeteredBody>,
    id: SmolStr,
    limit: usize,
    deadline: &RequestDeadline,
    caller: &CallerConnection,
) -> Result<CallerRequest, BodyFailure> {
    let headers = mem::take(request.headers_mut());
    let body = request.body_mut();
    let body = match body.is_end_stream() {
        true => RequestBody::default(),
        false => {
            let received = body_receiver::receive(body, limit, deadline.end, caller).await;
            received.inspect_err(|_| caller.set_body(0))?
        }
    };
    caller.record_whole();
    Ok(CallerRequest {
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers,
        body,
        id,
    })
}

/// Answers a request whose body was not received, and which has not run.
fn refuse_body(
    state: &RelayState,
    failure: BodyFailure,
    id: &SmolStr,
    deadline: &RequestDeadline,
) -> Reply {
    let (status, reason, counter) = match failure {
        BodyFailure::Broken => {
            return reply::local(StatusCode::BAD_REQUEST, Some(id), Reason::BadRequest)
        }
        BodyFailure::NoMemory => {
            let time_left = deadline.remaining(Instant::now());
            let retry_after = Some(MEMORY_RETRY_AFTER);
            let mut reply = reply::not_run(id, time_left, retry_after, Reason::NoMemory);
            reply::close_after(&mut reply);
            return reply;
        }
        BodyFailure::TooLong => (
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BadRequest,
            Counter::BodiesTooLong,
        ),
        BodyFailure::TimedOut => (
            StatusCode::REQUEST_TIMEOUT,
            Reason::BodyTimeout,
            Counter::BodiesTimedOut,
        ),
    };
    state.metrics.add(counter, 1);
    let mut reply = reply::local(status, Some(id), reason);
    reply::close_after(&mut reply);
    reply
}

/// Reads and drops what the caller still sends of the body while the response is sent, within the
/// limit on a body's size.
///
/// If the connection were closed before that, it would be reset, and a caller that writes its whole
/// body first would not get the response.
fn discard_rest(state: &RelayState, request: Request<MeteredBody>) {
    // A caller that waits until it is told to go on has not sent the body, and reading would tell
    // it to. The header is taken from a request whose body was read.
    if request.body().is_end_stream() || request.headers().contains_key(EXPECT) {
        return;
    }
    let limit = state.view.table().config().limits.body_bytes;
    let rest = body::discard(request.into_body(), limit);
    state.tasks.spawn(rest);
}

/// Chooses one of a route's services at random by their weights.
fn choose_service(route: &Route) -> Option<ServiceName> {
    let weights = route
        .backends
        .iter()
        .map(|backend| u64::from(backend.weight));
    let total: u64 = weights.sum();
    if total == 0 {
        return None;
    }
    let mut remaining_weight = rand::rng().random_range(0..total);
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if remaining_weight < weight {
            return Some(backend.service.clone());
        }
        remaining_weight -= weight;
    }
    None
}
