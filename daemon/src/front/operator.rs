//! The operators' steps over HTTP.

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
        auth, headers,
        problem::{self, Kind, Problem},
        Call, Reply,
    },
    node::{self, Node},
    rollouts::RolloutStatus,
    store, watch,
};

/// When operators may try again while the store is down, in milliseconds.
const COME_BACK_MS: u64 = 1_000;

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
struct Outrun {
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
pub async fn submit(node: Arc<Node>, call: Call) -> Reply {
    step(node, call, |text| {
        let text = String::from_utf8_lossy(text);
        let bundle = Bundle::parse(&text).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            Problem::new(Kind::BadRequest, lines.join("\n"))
        })?;
        Ok(OperationRequest::Submit(Box::new(bundle)))
    })
    .await
}

/// Signs a bundle off.
pub async fn approve(node: Arc<Node>, call: Call) -> Reply {
    step(node, call, |text| {
        let approve: Approve = read_json(text)?;
        Ok(OperationRequest::Approve(approve.digest))
    })
    .await
}

/// Puts an approved bundle in force.
pub async fn roll(node: Arc<Node>, call: Call) -> Reply {
    step(node, call, |text| {
        let roll: Roll = read_json(text)?;
        Ok(OperationRequest::Roll {
            digest: roll.digest,
            expected: roll.expected,
        })
    })
    .await
}

/// Tells what is in force.
pub async fn status(node: Arc<Node>, call: Call) -> Reply {
    if let Err(problem) = auth::operator(&node, &call.headers) {
        return problem.reply();
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
        // The one that is furthest from its end stands for all.
        rollout: rollouts
            .iter()
            .min_by_key(|rollout| rollout.ending.is_some())
            .cloned(),
        rollouts,
    };
    problem::json(StatusCode::OK, &status)
}

/// Lists all steps of operators, oldest first.
pub async fn history(node: Arc<Node>, call: Call) -> Reply {
    if let Err(problem) = auth::operator(&node, &call.headers) {
        return problem.reply();
    }
    match node.platform.list_all(AUDIT_PREFIX).await {
        Ok(listing) => {
            let objects = listing.objects.iter();
            let steps = objects
                .filter_map(|object| parse_json(&object.value))
                .collect();
            problem::json(StatusCode::OK, &History { steps })
        }
        Err(report) => come_back(Problem::new(Kind::NotRun, report.current_context())).reply(),
    }
}

/// Returns a submitted bundle.
pub async fn bundle(node: Arc<Node>, call: Call) -> Reply {
    let found = match asked_digest(&node, &call) {
        Ok(digest) => read_bundle(&node, digest).await,
        Err(problem) => Err(problem),
    };
    match found {
        Ok(bundle) => problem::json(StatusCode::OK, &bundle),
        Err(problem) => problem.reply(),
    }
}

fn asked_digest(node: &Node, call: &Call) -> Result<Digest, Problem> {
    auth::operator(node, &call.headers)?;
    let name = call.uri.path().rsplit('/').next().unwrap_or_default();
    name.parse()
        .map_err(|error| Problem::new(Kind::BadRequest, error))
}

async fn read_bundle(node: &Node, digest: Digest) -> Result<Bundle, Problem> {
    let read = StoreCall::read(bundle_key(digest));
    match store::call(&node.platform, &node.metrics, &read).await {
        StoreReply::Found { value, .. } => parse_json::<Submission>(&value)
            .map(|submission| submission.bundle)
            .ok_or_else(|| Problem::new(Kind::Incomplete, OperationError::Malformed)),
        StoreReply::Missing => Err(Problem::new(
            Kind::NotFound,
            OperationError::BundleNotFound(digest),
        )),
        _ => Err(come_back(Problem::new(
            Kind::NotRun,
            OperationError::StoreDown,
        ))),
    }
}

async fn step(
    node: Arc<Node>,
    call: Call,
    request: impl FnOnce(&[u8]) -> Result<OperationRequest, Problem>,
) -> Reply {
    let result = async {
        let operator = auth::operator(&node, &call.headers)?;
        let signature = Signature {
            operator: operator.name.clone(),
            at_ms: node::wall_ms(),
            nonce: node.nonce(),
        };
        let text = headers::read_body(&node, call.body).await?;
        let request = request(&text)?;
        run(&node, request, signature)
            .await
            .map_err(|error| operation_problem(&error))
    };
    match result.await {
        Ok(done) => reply(&node, done).await,
        Err(problem) => problem.reply(),
    }
}

async fn run(
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
            OperationStep::Finished(end) => return end,
        }
    }
}

async fn reply(node: &Arc<Node>, done: OperationOutcome) -> Reply {
    match done {
        OperationOutcome::Submitted(digest, signature) => {
            let operator = signature.operator.to_string();
            problem::json(StatusCode::OK, &Submitted { digest, operator })
        }
        OperationOutcome::Approved(approval) => problem::json(StatusCode::OK, &approval),
        OperationOutcome::Rolled(current) => {
            // The roll is accepted whether or not this instance can read it back now.
            watch::fetch_from_store(node).await;
            problem::json(StatusCode::OK, &current)
        }
        OperationOutcome::LostRace { winner } => {
            problem::json(StatusCode::CONFLICT, &Outrun { outrun_by: winner })
        }
    }
}

fn operation_problem(error: &OperationError) -> Problem {
    let kind = match error {
        OperationError::StoreDown => Kind::NotRun,
        OperationError::OutcomeUnknown => Kind::Unknown,
        OperationError::BundleNotFound(_) => Kind::NotFound,
        OperationError::SelfApproval | OperationError::NotApproved(_) => Kind::Conflict,
        OperationError::TooLarge(_) => Kind::TooLarge,
        OperationError::Malformed => Kind::Incomplete,
    };
    come_back(Problem::new(kind, error))
}

/// Says when to come back if nothing was run.
fn come_back(problem: Problem) -> Problem {
    let is_not_run = problem.kind == Kind::NotRun;
    Problem {
        retry_after_ms: is_not_run.then_some(COME_BACK_MS),
        ..problem
    }
}

fn read_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(text).map_err(|error| Problem::new(Kind::BadRequest, error))
}
