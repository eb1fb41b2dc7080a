//! `/v1/operator/…`: the operations of operators on bundles.

use std::sync::Arc;

use celerypond_bundle::Bundle;
use celerypond_rollout::{
    bundle_key, parse_json, AuditRecord, Coverage, CurrentBundle, Operation, OperationError,
    OperationOutcome, OperationRequest, OperationStep, Signature, StoreCall, StoreReply,
    Submission, AUDIT_PREFIX,
};
use celerypond_types::{Digest, Revision};
use gotham::hyper::StatusCode;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::{
    front::{
        api_error::{self, ApiError, ErrorKind},
        auth, headers, FrontRequest, Reply,
    },
    node::{self, Node},
    rollouts::RolloutStatus,
    store, watch,
};

/// The retry delay of operations while the store is down, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Approve {
    digest: Digest,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Roll {
    digest: Digest,
    expected: Option<Revision>,
}

#[derive(Serialize)]
struct Submitted {
    digest: Digest,
    operator: String,
}

#[derive(Serialize)]
struct LostRace {
    outrun_by: Option<CurrentBundle>,
}

#[derive(Serialize)]
struct Status {
    instance: String,
    revision: u64,
    digest: Option<Digest>,
    title: Option<String>,
    in_force: Coverage,
    rollout: Option<RolloutStatus>,
    rollouts: Vec<RolloutStatus>,
}

#[derive(Serialize)]
struct History {
    steps: Vec<AuditRecord>,
}

/// Stores a bundle for approval.
pub async fn submit(node: Arc<Node>, request: FrontRequest) -> Reply {
    handle_operation(node, request, |body| {
        let body = String::from_utf8_lossy(body);
        let bundle = Bundle::parse(&body).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            ApiError::new(ErrorKind::BadRequest, lines.join("\n"))
        })?;
        Ok(OperationRequest::Submit(Box::new(bundle)))
    })
    .await
}

/// Approves a submitted bundle.
pub async fn approve(node: Arc<Node>, request: FrontRequest) -> Reply {
    handle_operation(node, request, |body| {
        let approve: Approve = read_json(body)?;
        Ok(OperationRequest::Approve(approve.digest))
    })
    .await
}

/// Rolls an approved bundle, which brings it into force.
pub async fn roll(node: Arc<Node>, request: FrontRequest) -> Reply {
    handle_operation(node, request, |body| {
        let roll: Roll = read_json(body)?;
        Ok(OperationRequest::Roll {
            digest: roll.digest,
            expected: roll.expected,
        })
    })
    .await
}

/// Returns the bundle in force and the state of the rollouts.
pub async fn status(node: Arc<Node>, request: FrontRequest) -> Reply {
    if let Err(error) = auth::operator(&node, &request.headers) {
        return error.reply();
    }
    let active = node.active_bundle.load();
    let active = active.as_ref();
    let (in_force, rollouts) = node.rollouts.status(&node);
    let status = Status {
        instance: node.settings.instance.to_string(),
        revision: active.map_or(0, |active| active.revision().0),
        digest: active.map(|active| active.header.digest),
        title: active.map(|active| active.bundle.title.to_string()),
        in_force,
        // For clients that expect a single rollout: one that has not ended, if there is any.
        rollout: rollouts
            .iter()
            .min_by_key(|rollout| rollout.ending.is_some())
            .cloned(),
        rollouts,
    };
    api_error::json(StatusCode::OK, &status)
}

/// Lists all operations, oldest first.
pub async fn history(node: Arc<Node>, request: FrontRequest) -> Reply {
    if let Err(error) = auth::operator(&node, &request.headers) {
        return error.reply();
    }
    match node.platform.list_all(AUDIT_PREFIX).await {
        Ok(listing) => {
            let objects = listing.objects.iter();
            let steps = objects
                .filter_map(|object| parse_json(&object.value))
                .collect();
            api_error::json(StatusCode::OK, &History { steps })
        }
        Err(report) => {
            with_retry_after(ApiError::new(ErrorKind::NotRun, report.current_context())).reply()
        }
    }
}

/// Returns a submitted bundle.
pub async fn bundle(node: Arc<Node>, request: FrontRequest) -> Reply {
    let found = match requested_digest(&node, &request) {
        Ok(digest) => read_bundle(&node, digest).await,
        Err(error) => Err(error),
    };
    match found {
        Ok(bundle) => api_error::json(StatusCode::OK, &bundle),
        Err(error) => error.reply(),
    }
}

fn requested_digest(node: &Node, request: &FrontRequest) -> Result<Digest, ApiError> {
    auth::operator(node, &request.headers)?;
    let name = request.uri.path().rsplit('/').next().unwrap_or_default();
    name.parse()
        .map_err(|error| ApiError::new(ErrorKind::BadRequest, error))
}

async fn read_bundle(node: &Node, digest: Digest) -> Result<Bundle, ApiError> {
    let read = StoreCall::read(bundle_key(digest));
    match store::call(&node.platform, &node.metrics, &read).await {
        StoreReply::Found { value, .. } => parse_json::<Submission>(&value)
            .map(|submission| submission.bundle)
            .ok_or_else(|| ApiError::new(ErrorKind::Incomplete, OperationError::Malformed)),
        StoreReply::Missing => Err(ApiError::new(
            ErrorKind::NotFound,
            OperationError::BundleNotFound(digest),
        )),
        _ => Err(with_retry_after(ApiError::new(
            ErrorKind::NotRun,
            OperationError::StoreDown,
        ))),
    }
}

async fn handle_operation(
    node: Arc<Node>,
    request: FrontRequest,
    parse: impl FnOnce(&[u8]) -> Result<OperationRequest, ApiError>,
) -> Reply {
    let result = async {
        let operator = auth::operator(&node, &request.headers)?;
        let signature = Signature {
            operator: operator.name.clone(),
            at_ms: node::wall_ms(),
            nonce: node.nonce(),
        };
        let body = headers::read_body(&node, request.body).await?;
        let operation = parse(&body)?;
        run_operation(&node, operation, signature)
            .await
            .map_err(|error| api_error(&error))
    };
    match result.await {
        Ok(outcome) => outcome_reply(&node, outcome).await,
        Err(error) => error.reply(),
    }
}

async fn run_operation(
    node: &Node,
    request: OperationRequest,
    signature: Signature,
) -> Result<OperationOutcome, OperationError> {
    let (mut operation, mut step) = Operation::begin(request, signature);
    loop {
        match step {
            OperationStep::Call(call) => {
                let reply = store::call(&node.platform, &node.metrics, &call).await;
                step = operation.reply(reply);
            }
            OperationStep::Finished(result) => return result,
        }
    }
}

async fn outcome_reply(node: &Arc<Node>, outcome: OperationOutcome) -> Reply {
    match outcome {
        OperationOutcome::Submitted(digest, signature) => {
            let operator = signature.operator.to_string();
            api_error::json(StatusCode::OK, &Submitted { digest, operator })
        }
        OperationOutcome::Approved(approval) => api_error::json(StatusCode::OK, &approval),
        OperationOutcome::Rolled(current) => {
            // The roll has succeeded even if this instance cannot read it back now.
            watch::fetch_from_store(node).await;
            api_error::json(StatusCode::OK, &current)
        }
        OperationOutcome::LostRace { winner } => {
            api_error::json(StatusCode::CONFLICT, &LostRace { outrun_by: winner })
        }
    }
}

fn api_error(error: &OperationError) -> ApiError {
    let kind = match error {
        OperationError::StoreDown => ErrorKind::NotRun,
        OperationError::OutcomeUnknown => ErrorKind::Unknown,
        OperationError::BundleNotFound(_) => ErrorKind::NotFound,
        OperationError::SelfApproval | OperationError::NotApproved(_) => ErrorKind::Conflict,
        OperationError::TooLarge(_) => ErrorKind::TooLarge,
        OperationError::Malformed => ErrorKind::Incomplete,
    };
    with_retry_after(ApiError::new(kind, error))
}

/// Sets the retry delay if the operation was not run.
fn with_retry_after(error: ApiError) -> ApiError {
    let is_not_run = error.kind == ErrorKind::NotRun;
    ApiError {
        retry_after_ms: is_not_run.then_some(RETRY_AFTER_MS),
        ..error
    }
}

fn read_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|error| ApiError::new(ErrorKind::BadRequest, error))
}
