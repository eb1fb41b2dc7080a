//! Sends calls to plain services.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_bundle::Service;
use celerypond_ledger::{
    FinishedCall, NotRunCodes, RequestFingerprint, ServiceResponse, UnsentCall,
};
use celerypond_route::{
    Attribution, Failure, InFlight, PickCriteria, RetryDecision, Route, RoutingView, Target,
};
use celerypond_telemetry::{hop, Counter, TraceContext};
use celerypond_types::{NotRunReason, Outcome, TargetKey};
use gotham::hyper::{HeaderMap, Method};
use http::{header, HeaderName, HeaderValue, Request};
use http_body_util::Full;
use smol_str::SmolStr;
use tokio::time::{self, Instant};
use tracing::{Instrument, Span};

use crate::{
    body, engine,
    http_call::{CallError, NewConnection},
    node::Node,
    target_watch::{health_path, is_live, TargetEvent},
};

/// The maximum size of a service's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The retry delay for callers if the service names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The request headers that are forwarded to a service.
const FORWARDED_HEADERS: [HeaderName; 3] = [
    header::CONTENT_TYPE,
    header::ACCEPT,
    HeaderName::from_static("idempotency-key"),
];

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The service, as declared by the bundle that was in force when the call arrived.
    pub service: Arc<Service>,
    /// The method.
    pub method: Method,
    /// The path and query, relative to the service.
    pub path: SmolStr,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The trace context of the span in which the call arrived; another task sends the call.
    pub trace: Option<TraceContext>,
}

/// A connection to the target that was picked for a call.
struct TargetConnection {
    route: Route,
    key: TargetKey,
    target: Arc<Target>,
    connection: NewConnection,
    in_flight: InFlight,
}

/// The result of one attempt.
enum AttemptResult {
    /// A response, with its `retry-after`.
    Response(ServiceResponse, Option<Duration>),
    Failed(Failure),
}

/// The attempts of one call so far.
#[derive(Default)]
struct Attempts {
    excluded: Vec<TargetKey>,
    /// The number of attempts sent.
    sent: u32,
    /// The response of the last attempt, if it got one.
    last_response: Option<ServiceResponse>,
    /// The target of the last attempt.
    last_target: Option<Arc<Target>>,
}

impl Attempts {
    /// Takes a retry from the budgets of this instance and of the target that failed.
    ///
    /// Without a budget for each target, the retries of one target that fails all its calls would
    /// use up the budget of this instance, and the failures of all other targets would reach the
    /// callers.
    fn take_retry(&self, node: &Node) -> bool {
        match &self.last_target {
            Some(target) => node.retry_budget.try_take_both(&target.state.retry_budget),
            None => node.retry_budget.try_take(),
        }
    }

    /// Returns the outcome of a call that is not retried again.
    ///
    /// A call that was sent is never reported as not run.
    fn into_outcome(self, reason: NotRunReason) -> Outcome<ServiceResponse> {
        match self.last_response {
            Some(response) => Outcome::Ran(response),
            None if self.sent > 0 => Outcome::Unknown,
            None => Outcome::NotRun {
                reason,
                retry_after: DEFAULT_RETRY_AFTER,
            },
        }
    }
}

impl ServiceCall {
    /// Creates a call, with those of the caller's headers that are forwarded.
    pub fn new(
        service: Arc<Service>,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
        deadline: Instant,
    ) -> Self {
        let mut forwarded = HeaderMap::new();
        for name in FORWARDED_HEADERS {
            if let Some(value) = headers.get(&name) {
                forwarded.insert(name, value.clone());
            }
        }
        Self {
            service,
            method,
            path: path.into(),
            headers: forwarded,
            body,
            deadline,
            trace: TraceContext::from_span(&Span::current()),
        }
    }

    /// Sends a call that may not be repeated, at most once.
    ///
    /// Before a connection is established, no byte can have reached a service, so other targets may
    /// be tried. From the first write on, only a response shows whether the call ran.
    pub async fn send_once(&self, node: &Node, unsent: UnsentCall) -> FinishedCall {
        let connection = match self.connect(node, &mut Vec::new()).await {
            Ok(connection) => connection,
            Err(reason) => return unsent.not_run(reason, DEFAULT_RETRY_AFTER),
        };
        let sent = match unsent.mark_sent(Instant::now()) {
            Ok(sent) => sent,
            Err(finished) => return finished,
        };
        match self.exchange(node, connection).await {
            AttemptResult::Response(response, retry_after) => {
                let not_run_codes = NotRunCodes::new(&self.service.not_run_codes);
                sent.answered(
                    response,
                    retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
                    &not_run_codes,
                )
            }
            AttemptResult::Failed(_) => sent.unanswered(),
        }
    }

    /// Returns the fingerprint that detects the reuse of an idempotency key for a different call.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let path = format!("{}{}", self.service.name, self.path);
        RequestFingerprint::of(self.method.as_str(), &path, &self.body)
    }

    /// Sends a call that may be repeated, and retries it while the deadline and the retry budgets
    /// allow.
    pub async fn send_idempotent(&self, node: &Node) -> Outcome<ServiceResponse> {
        let mut attempts = Attempts::default();
        let mut rng = node.rng();
        let mut delay = Duration::ZERO;
        loop {
            let failure = match self.attempt(node, &mut attempts).await {
                Ok(response) => return Outcome::Ran(response),
                Err(Some(failure)) => failure,
                Err(None) => return attempts.into_outcome(NotRunReason::NoTarget),
            };
            let floor = match failure.retry_decision() {
                RetryDecision::OtherTarget => Duration::ZERO,
                RetryDecision::AfterBackoff(floor) => floor,
                RetryDecision::Never => return attempts.into_outcome(NotRunReason::Refused),
            };
            // Limits how many targets a call that crashes its targets can reach.
            if attempts.sent >= failure.max_attempts() {
                return attempts.into_outcome(NotRunReason::Refused);
            }
            if !attempts.take_retry(node) {
                node.metrics.add(Counter::RetriesWithheld, 1);
                return attempts.into_outcome(NotRunReason::RetryBudget);
            }
            delay = node.backoff.next_delay(delay, floor, &mut rng);
            if Instant::now() + delay >= self.deadline {
                return attempts.into_outcome(NotRunReason::Overload);
            }
            node.metrics.add(Counter::Retries, 1);
            time::sleep(delay).await;
        }
    }

    /// Makes one attempt; `Err(None)` means that no target is left.
    async fn attempt(
        &self,
        node: &Node,
        attempts: &mut Attempts,
    ) -> Result<ServiceResponse, Option<Failure>> {
        let connection = self
            .connect(node, &mut attempts.excluded)
            .await
            .map_err(|_| None)?;
        let target = Arc::clone(&connection.target);
        attempts.excluded.push(connection.key);
        attempts.sent += 1;
        attempts.last_response = None;
        attempts.last_target = Some(Arc::clone(&target));
        match self.exchange(node, connection).await {
            AttemptResult::Failed(failure) => Err(Some(failure)),
            AttemptResult::Response(response, retry_after) => {
                let failure = status_failure(&response, retry_after);
                if response.status < 400 || failure.retry_decision() == RetryDecision::Never {
                    node.retry_budget.record_success();
                    target.state.retry_budget.record_success();
                    return Ok(response);
                }
                attempts.last_response = Some(response);
                Err(Some(failure))
            }
        }
    }

    /// Connects to a target that accepts the call, and excludes those that do not.
    async fn connect(
        &self,
        node: &Node,
        excluded: &mut Vec<TargetKey>,
    ) -> Result<TargetConnection, NotRunReason> {
        let mut reason = NotRunReason::NoTarget;
        let mut refused = 0;
        while refused < Failure::Refused.max_attempts() && Instant::now() < self.deadline {
            let view = node.view.load_full();
            let service = view.service_key(&self.service.name).ok_or(reason)?;
            let route = Route::Service(service);
            let key = pick(node, &view, route, excluded).ok_or(reason)?;
            let target = view.target(key).ok_or(reason)?;
            let is_live = is_live(node, key, target).await;
            let in_flight = is_live.then(|| target.state.begin_request(node.now_ms()));
            let Some(in_flight) = in_flight.flatten() else {
                excluded.push(key);
                continue;
            };
            match NewConnection::connect(target.address).await {
                Ok(connection) => {
                    return Ok(TargetConnection {
                        route,
                        key,
                        target: Arc::clone(target),
                        connection,
                        in_flight,
                    });
                }
                Err(_) => {
                    reason = NotRunReason::NotConnected;
                    refused += 1;
                    excluded.push(key);
                    node.suspects.add(key, Instant::now());
                    node.report_target_event(TargetEvent::Failed { route, target: key });
                }
            }
        }
        Err(reason)
    }

    /// Sends the call over a connection and reports the result to outlier detection.
    async fn exchange(&self, node: &Node, connection: TargetConnection) -> AttemptResult {
        let TargetConnection {
            route,
            key,
            target,
            connection,
            in_flight,
        } = connection;
        let started = Instant::now();
        let result = self.send(target.address, connection).await;
        in_flight.end(node.now_ms());
        let failure = match &result {
            AttemptResult::Response(response, _) if response.status < 400 => {
                let latency_ms = started.elapsed().as_secs_f64() * 1e3;
                node.report_target_event(TargetEvent::Succeeded {
                    route,
                    target: key,
                    latency_ms,
                });
                return result;
            }
            AttemptResult::Response(response, retry_after) => {
                status_failure(response, *retry_after)
            }
            AttemptResult::Failed(failure) => *failure,
        };
        report_failure(node, route, key, &target, failure);
        result
    }

    async fn send(&self, address: SocketAddr, connection: NewConnection) -> AttemptResult {
        let span = hop("target", self.trace);
        let Ok(request) = self.request(address, &span) else {
            return AttemptResult::Failed(Failure::Protocol);
        };
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let exchange = async {
            let answer = connection.send(request, time_left).instrument(span).await?;
            let (head, body) = answer.response.into_parts();
            // The connection is closed after its response, so that no later call can read a late
            // response.
            let body = body::read(body, MAX_RESPONSE_BYTES).await;
            drop(answer.connection);
            body.map(|body| (head, body))
                .map_err(|error| error_stack::Report::new(error).change_context(CallError::Reset))
        };
        match time::timeout(time_left, exchange).await {
            Ok(Ok((head, body))) => {
                let content_type = header_text(&head.headers, &header::CONTENT_TYPE);
                let retry_after = header_text(&head.headers, &header::RETRY_AFTER)
                    .parse()
                    .ok();
                let response = ServiceResponse::new(head.status.as_u16(), content_type, body);
                AttemptResult::Response(response, retry_after.map(Duration::from_secs))
            }
            Ok(Err(report)) => AttemptResult::Failed(match report.current_context() {
                CallError::Connect => Failure::Refused,
                CallError::Reset => Failure::Reset,
                CallError::Timeout => Failure::Timeout,
            }),
            Err(_) => AttemptResult::Failed(Failure::Timeout),
        }
    }

    fn request(
        &self,
        address: SocketAddr,
        span: &Span,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .header(header::HOST, address.to_string());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        if let Some(context) = TraceContext::from_span(span) {
            request = request.header("traceparent", context.to_string());
        }
        request.body(Full::new(self.body.clone()))
    }
}

fn status_failure(response: &ServiceResponse, retry_after: Option<Duration>) -> Failure {
    Failure::Status {
        code: response.status,
        retry_after,
    }
}

/// Reports a failure to outlier detection if it is attributed to the target.
///
/// After a reset or a timeout, a health check decides about the attribution.
fn report_failure(
    node: &Node,
    route: Route,
    key: TargetKey,
    target: &Arc<Target>,
    failure: Failure,
) {
    let events = node.target_events.clone();
    let report = move || {
        // If the channel is full, the detector has many events to handle already; drop this one.
        let _ = events.try_send(TargetEvent::Failed { route, target: key });
    };
    match failure {
        Failure::Reset | Failure::Timeout => {
            let target = Arc::clone(target);
            node.background_tasks.spawn(async move {
                let health = engine::health(target.address, health_path(target.kind)).await;
                let is_healthy = matches!(health, Ok(Some(_)));
                if failure.attribution(Some(is_healthy)) == Attribution::Target {
                    report();
                }
            });
        }
        _ if failure.attribution(None) == Attribution::Target => report(),
        _ => {}
    }
}

/// Picks a target, a suspect only if there is no other.
fn pick(
    node: &Node,
    view: &RoutingView,
    route: Route,
    excluded: &[TargetKey],
) -> Option<TargetKey> {
    let now = Instant::now();
    let suspects = node.suspects.add_to(excluded.to_vec(), now);
    let pick_without = |excluded| {
        let criteria = PickCriteria {
            excluded,
            preferred_data_centre: Some(&node.settings.data_centre),
            ..PickCriteria::default()
        };
        view.pick(route, &criteria, now, &mut node.rng())
    };
    let picked = pick_without(&suspects).or_else(|_| pick_without(excluded));
    Some(picked.ok()?.target)
}

/// Returns the value of a header, empty if it is missing or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).map(HeaderValue::to_str);
    value.and_then(Result::ok).unwrap_or_default()
}
