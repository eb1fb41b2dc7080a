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
        api_error::{ApiError, ErrorKind},
        auth, headers, FrontRequest, Reply,
    },
    node::Node,
    service_call::ServiceCall,
};

const PATH_PREFIX: &str = "/v1/services/";
/// The retry delay while no bundle is in force.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The header that distinguishes a service's reply from one of this instance.
const OUTCOME_HEADER: &str = "celerypond-outcome";

/// Handles a call to a plain service.
pub async fn call(node: Arc<Node>, request: FrontRequest) -> Reply {
    node.metrics.add(Counter::Requests, 1);
    match try_call(&node, request).await {
        Ok(reply) => reply,
        Err(error) => {
            let counter = match error.kind {
                ErrorKind::Unknown => Counter::Unknown,
                _ => Counter::Refused,
            };
            node.metrics.add(counter, 1);
            error.reply()
        }
    }
}

async fn try_call(node: &Arc<Node>, request: FrontRequest) -> Result<Reply, ApiError> {
    let Some(active) = node.active_bundle.load_full() else {
        return Err(ApiError::not_run(NotRunReason::NoTarget, RETRY_AFTER));
    };
    let account = auth::account(&active, &request.headers)?;
    let key = headers::idempotency_key(&request.headers)?;
    let (service, path) = find_service(&active, &request)?;
    let is_idempotent = service.is_idempotent(request.method.as_str(), &path);
    let max = Duration::from_millis(service.deadline_ms);
    let deadline = Instant::now() + headers::time_limit(&request.headers, max)?;
    let body = headers::read_body(node, request.body).await?;
    Charge::new(node, account, 0)?;
    let call = ServiceCall::new(
        service,
        request.method,
        &path,
        &request.headers,
        body,
        deadline,
    );
    let outcome = match key {
        _ if is_idempotent => call.send_idempotent(node).await,
        None => {
            let finished = call.send_once(node, UnsentCall::unkeyed(deadline)).await;
            finished.outcome()
        }
        Some(key) => call_with_key(node, CallKey::of(&account.name, &key), call).await?,
    };
    match outcome {
        Outcome::Ran(reply) => Ok(service_reply(reply)),
        Outcome::NotRun {
            reason,
            retry_after,
        } => Err(ApiError::not_run(reason, retry_after)),
        Outcome::Unknown => Err(ApiError::new(ErrorKind::Unknown, "the call may have run")),
    }
}

/// Returns the service that a request names, and the path below it.
fn find_service(
    active: &ActiveBundle,
    request: &FrontRequest,
) -> Result<(Arc<Service>, String), ApiError> {
    let path_and_query = request
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str());
    let rest = path_and_query.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let path = if path.is_empty() { "/" } else { path };
    let service = active.service(&ServiceName::new(name)).ok_or_else(|| {
        ApiError::new(
            ErrorKind::NotFound,
            format_args!("there is no service {name}"),
        )
    })?;
    Ok((Arc::new(service.clone()), path.to_owned()))
}

async fn call_with_key(
    node: &Arc<Node>,
    key: CallKey,
    call: ServiceCall,
) -> Result<Outcome<ServiceResponse>, ApiError> {
    match forward::call(node, key, call).await {
        Answer::Outcome(outcome) => Ok(outcome),
        Answer::KeyReused => {
            let message = "the key was used for another call";
            Err(ApiError::new(ErrorKind::Conflict, message))
        }
    }
}

fn service_reply(answer: ServiceResponse) -> Reply {
    let mut reply = Response::new(body::full(answer.body));
    *reply.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = reply.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    if let Ok(media) = HeaderValue::from_str(&answer.media_type) {
        headers.insert(header::CONTENT_TYPE, media);
    }
    if answer.truncated {
        // The ledger stores only the beginning of a long reply; the first caller got all of it.
        headers.insert("celerypond-body", HeaderValue::from_static("cut"));
    }
    reply
}
