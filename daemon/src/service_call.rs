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

/// The largest answer of a service, in bytes.
const ANSWER: usize = 16 << 20;
/// When to come back if a service gives no time.
const COME_BACK: Duration = Duration::from_secs(1);
/// The headers that go on to a service.
const PASSED: [HeaderName; 3] = [
    header::CONTENT_TYPE,
    header::ACCEPT,
    HeaderName::from_static("idempotency-key"),
];

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The service, as the bundle declared it when the call came.
    pub service: Arc<Service>,
    /// The method.
    pub method: Method,
    /// The path and query below the service.
    pub path: SmolStr,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the caller no longer waits.
    pub deadline: Instant,
    /// The hop that the call came over; the task that sends it is another's.
    pub trace: Option<TraceContext>,
}

/// A connection to a target that was chosen for a call.
struct Connected {
    route: Route,
    key: TargetKey,
    target: Arc<Target>,
    fresh: NewConnection,
    load: InFlight,
}

/// What one try brought.
enum Tried {
    Answer(ServiceResponse, Option<Duration>),
    Failed(Failure),
}

/// The tries of one call so far.
#[derive(Default)]
struct Tries {
    excluded: Vec<TargetKey>,
    /// How many tries were sent.
    sent: u32,
    last: Option<ServiceResponse>,
    /// The target of the last try.
    target: Option<Arc<Target>>,
}

impl Tries {
    /// Takes a retry from the budgets of this instance and of the target that failed.
    ///
    /// The failure: one target fails all its calls, and their retries use up what this instance may
    /// retry, so that the failures of all others go to their callers.
    fn may_retry(&self, node: &Node) -> bool {
        match &self.target {
            Some(target) => node.retry_budget.try_take_both(&target.state.retry_budget),
            None => node.retry_budget.try_take(),
        }
    }

    /// Ends the call; one that was sent is never said not to have run.
    fn give_up(self, reason: NotRunReason) -> Outcome<ServiceResponse> {
        match self.last {
            Some(reply) => Outcome::Ran(reply),
            None if self.sent > 0 => Outcome::Unknown,
            None => Outcome::NotRun {
                reason,
                retry_after: COME_BACK,
            },
        }
    }
}

impl ServiceCall {
    /// Makes a call with those of the caller's headers that go on.
    pub fn new(
        service: Arc<Service>,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
        deadline: Instant,
    ) -> Self {
        let mut kept = HeaderMap::new();
        for name in PASSED {
            if let Some(value) = headers.get(&name) {
                kept.insert(name, value.clone());
            }
        }
        Self {
            service,
            method,
            path: path.into(),
            headers: kept,
            body,
            deadline,
            trace: TraceContext::from_span(&Span::current()),
        }
    }

    /// Sends a call that may not be repeated, once.
    ///
    /// Until a connection stands no byte can have reached a service, so another target may be
    /// tried. From the first write on, only an answer tells what became of the call.
    pub async fn send_once(&self, node: &Node, unsent: UnsentCall) -> FinishedCall {
        let connected = match self.connect(node, &mut Vec::new()).await {
            Ok(connected) => connected,
            Err(reason) => return unsent.not_run(reason, COME_BACK),
        };
        let sent = match unsent.mark_sent(Instant::now()) {
            Ok(sent) => sent,
            Err(finished) => return finished,
        };
        match self.exchange(node, connected).await {
            Tried::Answer(reply, after) => {
                let not_run_codes = NotRunCodes::new(&self.service.not_run_codes);
                sent.answered(reply, after.unwrap_or(COME_BACK), &not_run_codes)
            }
            Tried::Failed(_) => sent.unanswered(),
        }
    }

    /// Returns the tag by which the reuse of a key for another call is found.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let path = format!("{}{}", self.service.name, self.path);
        RequestFingerprint::of(self.method.as_str(), &path, &self.body)
    }

    /// Sends a call that may be repeated, again while the deadline and the retry budget allow it.
    pub async fn send_idempotent(&self, node: &Node) -> Outcome<ServiceResponse> {
        let mut tries = Tries::default();
        let mut rng = node.rng();
        let mut pause = Duration::ZERO;
        loop {
            let failure = match self.try_once(node, &mut tries).await {
                Ok(reply) => return Outcome::Ran(reply),
                Err(Some(failure)) => failure,
                Err(None) => return tries.give_up(NotRunReason::NoTarget),
            };
            let floor = match failure.retry_decision() {
                RetryDecision::OtherTarget => Duration::ZERO,
                RetryDecision::AfterBackoff(floor) => floor,
                RetryDecision::Never => return tries.give_up(NotRunReason::Refused),
            };
            // The failure: a call that ends targets is carried from one to the next.
            if tries.sent >= failure.max_attempts() {
                return tries.give_up(NotRunReason::Refused);
            }
            if !tries.may_retry(node) {
                node.metrics.add(Counter::RetriesWithheld, 1);
                return tries.give_up(NotRunReason::RetryBudget);
            }
            pause = node.backoff.next_delay(pause, floor, &mut rng);
            if Instant::now() + pause >= self.deadline {
                return tries.give_up(NotRunReason::Overload);
            }
            node.metrics.add(Counter::Retries, 1);
            time::sleep(pause).await;
        }
    }

    /// Tries once; `Err(None)` when no target is left.
    async fn try_once(
        &self,
        node: &Node,
        tries: &mut Tries,
    ) -> Result<ServiceResponse, Option<Failure>> {
        let connected = self
            .connect(node, &mut tries.excluded)
            .await
            .map_err(|_| None)?;
        let target = Arc::clone(&connected.target);
        tries.excluded.push(connected.key);
        tries.sent += 1;
        tries.last = None;
        tries.target = Some(Arc::clone(&target));
        match self.exchange(node, connected).await {
            Tried::Failed(failure) => Err(Some(failure)),
            Tried::Answer(reply, after) => {
                let failure = status(&reply, after);
                if reply.status < 400 || failure.retry_decision() == RetryDecision::Never {
                    node.retry_budget.record_success();
                    target.state.retry_budget.record_success();
                    return Ok(reply);
                }
                tries.last = Some(reply);
                Err(Some(failure))
            }
        }
    }

    async fn connect(
        &self,
        node: &Node,
        excluded: &mut Vec<TargetKey>,
    ) -> Result<Connected, NotRunReason> {
        let mut reason = NotRunReason::NoTarget;
        let mut refused = 0;
        while refused < Failure::Refused.max_attempts() && Instant::now() < self.deadline {
            let view = node.view.load_full();
            let service = view.service_key(&self.service.name).ok_or(reason)?;
            let route = Route::Service(service);
            let key = pick(node, &view, route, excluded).ok_or(reason)?;
            let target = view.target(key).ok_or(reason)?;
            let is_live = is_live(node, key, target).await;
            let begun = is_live.then(|| target.state.begin_request(node.now_ms()));
            let Some(load) = begun.flatten() else {
                excluded.push(key);
                continue;
            };
            match NewConnection::connect(target.address).await {
                Ok(fresh) => {
                    return Ok(Connected {
                        route,
                        key,
                        target: Arc::clone(target),
                        fresh,
                        load,
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

    async fn exchange(&self, node: &Node, connected: Connected) -> Tried {
        let Connected {
            route,
            key,
            target,
            fresh,
            load,
        } = connected;
        let began = Instant::now();
        let tried = self.call(target.address, fresh).await;
        load.end(node.now_ms());
        let failure = match &tried {
            Tried::Answer(reply, _) if reply.status < 400 => {
                let latency_ms = began.elapsed().as_secs_f64() * 1e3;
                node.report_target_event(TargetEvent::Succeeded {
                    route,
                    target: key,
                    latency_ms,
                });
                return tried;
            }
            Tried::Answer(reply, after) => status(reply, *after),
            Tried::Failed(failure) => *failure,
        };
        judge(node, route, key, &target, failure);
        tried
    }

    async fn call(&self, address: SocketAddr, fresh: NewConnection) -> Tried {
        let span = hop("target", self.trace);
        let Ok(request) = self.request(address, &span) else {
            return Tried::Failed(Failure::Protocol);
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let exchange = async {
            let answer = fresh.send(request, left).instrument(span).await?;
            let (head, body) = answer.response.into_parts();
            // The connection is closed with its answer, so no later call can meet a late one.
            let value = body::read(body, ANSWER).await;
            drop(answer.connection);
            value
                .map(|value| (head, value))
                .map_err(|error| error_stack::Report::new(error).change_context(CallError::Reset))
        };
        match time::timeout(left, exchange).await {
            Ok(Ok((head, value))) => {
                let media = text(&head.headers, &header::CONTENT_TYPE);
                let after = text(&head.headers, &header::RETRY_AFTER).parse().ok();
                let reply = ServiceResponse::new(head.status.as_u16(), media, value);
                Tried::Answer(reply, after.map(Duration::from_secs))
            }
            Ok(Err(report)) => Tried::Failed(match report.current_context() {
                CallError::Connect => Failure::Refused,
                CallError::Reset => Failure::Reset,
                CallError::Timeout => Failure::Timeout,
            }),
            Err(_) => Tried::Failed(Failure::Timeout),
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

fn status(reply: &ServiceResponse, retry_after: Option<Duration>) -> Failure {
    Failure::Status {
        code: reply.status,
        retry_after,
    }
}

/// Tells of a failure that speaks against the target; whether it does, a probe may have to say.
fn judge(node: &Node, route: Route, key: TargetKey, target: &Arc<Target>, failure: Failure) {
    let events = node.target_events.clone();
    let tell = move || {
        // A full channel means that plenty is known already.
        let _ = events.try_send(TargetEvent::Failed { route, target: key });
    };
    match failure {
        Failure::Reset | Failure::Timeout => {
            let target = Arc::clone(target);
            node.background_tasks.spawn(async move {
                let health = engine::health(target.address, health_path(target.kind)).await;
                let is_well = matches!(health, Ok(Some(_)));
                if failure.attribution(Some(is_well)) == Attribution::Target {
                    tell();
                }
            });
        }
        _ if failure.attribution(None) == Attribution::Target => tell(),
        _ => {}
    }
}

/// Chooses a target; one that failed a moment ago only when there is no other.
fn pick(
    node: &Node,
    view: &RoutingView,
    route: Route,
    excluded: &[TargetKey],
) -> Option<TargetKey> {
    let now = Instant::now();
    let suspects = node.suspects.add_to(excluded.to_vec(), now);
    let choose = |excluded| {
        let ask = PickCriteria {
            excluded,
            preferred_data_centre: Some(&node.settings.data_centre),
            ..PickCriteria::default()
        };
        view.pick(route, &ask, now, &mut node.rng())
    };
    let picked = choose(&suspects).or_else(|_| choose(excluded));
    Some(picked.ok()?.target)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).map(HeaderValue::to_str);
    value.and_then(Result::ok).unwrap_or_default()
}
