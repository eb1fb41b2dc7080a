//! `/v1/services/<service>/…`: calls to plain services.

use std::{sync::Arc, time::Duration};

use celerypond_bundle::Service;
use celerypond_ledger::{Answer, CallKey, ServiceResponse, UnsentCall};
use celerypond_telemetry::Counter;
use celerypond_types::{NotRunReason, Outcome, ServiceName};
use gotham::hyper::{Response, StatusCode};
use http::{header, HeaderValue};
use tokio::time::Instant;

use crate::{
    active_bundle::ActiveBundle,
    body,
    charge::Charge,
    forward,
    front::{
        auth, headers,
        problem::{Kind, Problem},
        Call, Reply,
    },
    node::Node,
    service_call::ServiceCall,
};

const PREFIX: &str = "/v1/services/";
/// When to come back if no bundle is in force yet, or this instance ends.
const COME_BACK: Duration = Duration::from_secs(1);
/// The header by which an answer of a service is told from one of this instance.
const OUTCOME: &str = "celerypond-outcome";

/// Calls a plain service.
pub async fn call(node: Arc<Node>, call: Call) -> Reply {
    node.metrics.add(Counter::Requests, 1);
    match run(&node, call).await {
        Ok(reply) => reply,
        Err(problem) => {
            let counter = match problem.kind {
                Kind::Unknown => Counter::Unknown,
                _ => Counter::Refused,
            };
            node.metrics.add(counter, 1);
            problem.reply()
        }
    }
}

async fn run(node: &Arc<Node>, call: Call) -> Result<Reply, Problem> {
    let Some(active) = node.active_bundle.load_full() else {
        return Err(Problem::not_run(NotRunReason::NoTarget, COME_BACK));
    };
    let account = auth::account(&active, &call.headers)?;
    let key = headers::given_key(&call.headers)?;
    let (service, path) = find(&active, &call)?;
    let is_idempotent = service.is_idempotent(call.method.as_str(), &path);
    let longest = Duration::from_millis(service.deadline_ms);
    let deadline = Instant::now() + headers::deadline(&call.headers, longest)?;
    let body = headers::read_body(node, call.body).await?;
    Charge::new(node, account, 0)?;
    let send = ServiceCall::new(service, call.method, &path, &call.headers, body, deadline);
    let outcome = match key {
        _ if is_idempotent => send.send_idempotent(node).await,
        None => {
            let finished = send.send_once(node, UnsentCall::unkeyed(deadline)).await;
            finished.outcome()
        }
        Some(key) => run_keyed(node, CallKey::of(&account.name, &key), send).await?,
    };
    match outcome {
        Outcome::Ran(reply) => Ok(ran(reply)),
        Outcome::NotRun {
            reason,
            retry_after,
        } => Err(Problem::not_run(reason, retry_after)),
        Outcome::Unknown => Err(Problem::new(Kind::Unknown, "the call may have run")),
    }
}

/// Finds the service that a call names, and the path below it.
fn find(active: &ActiveBundle, call: &Call) -> Result<(Arc<Service>, String), Problem> {
    let whole = call.uri.path_and_query().map_or("", |path| path.as_str());
    let rest = whole.strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let path = if path.is_empty() { "/" } else { path };
    let service = active
        .service(&ServiceName::new(name))
        .ok_or_else(|| Problem::new(Kind::NotFound, format_args!("there is no service {name}")))?;
    Ok((Arc::new(service.clone()), path.to_owned()))
}

async fn run_keyed(
    node: &Arc<Node>,
    key: CallKey,
    send: ServiceCall,
) -> Result<Outcome<ServiceResponse>, Problem> {
    match forward::call(node, key, send).await {
        Answer::Outcome(outcome) => Ok(outcome),
        Answer::KeyReused => {
            let message = "the key was used for another call";
            Err(Problem::new(Kind::Conflict, message))
        }
    }
}

fn ran(answer: ServiceResponse) -> Reply {
    let mut reply = Response::new(body::whole(answer.body));
    *reply.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = reply.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static("ran"));
    if let Ok(media) = HeaderValue::from_str(&answer.media_type) {
        headers.insert(header::CONTENT_TYPE, media);
    }
    if answer.truncated {
        // The whole answer went to the first caller; only its start was kept.
        headers.insert("celerypond-body", HeaderValue::from_static("cut"));
    }
    reply
}
