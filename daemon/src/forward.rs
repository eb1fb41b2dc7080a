//! Forwards keyed calls to the instance that owns their shard.
//!
//! A single writer per shard batches all calls that arrive during a write into the next one. Only
//! the store decides which write succeeds, so if instances disagree about the owner there are
//! merely more writes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_ledger::{Answer, CallKey, ServiceResponse};
use celerypond_telemetry::{hop, TraceContext};
use celerypond_types::{NotRunReason, Outcome, ServiceName};
use gotham::hyper::{HeaderMap, Method};
use http::{HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;
use tracing::{Instrument, Span};

use crate::{gossip, ledger, node::Node, peers::PeerCallError, service_call::ServiceCall};

/// The retry delay for callers if the owner does not know the service yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The time left until the deadline is divided by this to get the part that is reserved for running
/// the call here if the owner does not respond.
const LOCAL_DIVISOR: u32 = 3;

/// A keyed call as it is sent to the owner of its shard.
#[derive(Serialize, Deserialize)]
struct ForwardedCall {
    key: CallKey,
    service: ServiceName,
    method: SmolStr,
    path: SmolStr,
    headers: Vec<(SmolStr, SmolStr)>,
    body: Vec<u8>,
    left_ms: u64,
    trace: Option<SmolStr>,
}

/// The answer of the owner.
#[derive(Serialize, Deserialize)]
enum ForwardedAnswer {
    Ran(ServiceResponse),
    NotRun {
        reason: ForwardedReason,
        retry_after_ms: u64,
    },
    Unknown,
    KeyReused,
}

/// The reasons for a call that has not run, as instances exchange them.
#[derive(Clone, Copy, Serialize, Deserialize)]
enum ForwardedReason {
    NoTarget,
    StoreDown,
    NotConnected,
    Refused,
    Overload,
    Stopping,
}

/// Runs a keyed call at most once, at the owner of its shard if it responds and otherwise here.
///
/// An owner that cannot be connected to has not received the call. An owner that was sent the call
/// and does not respond may still run it. The call is then run here, which finds the record of the
/// owner in the ledger if there is one. If there is none yet, the owner may still write it, so this
/// instance must not answer "not run".
pub async fn call(node: &Arc<Node>, key: CallKey, service_call: ServiceCall) -> Answer {
    let mut is_sent = false;
    if let Some(owner) = owner(node, key) {
        match forward(node, owner, key, &service_call).await {
            Ok(answer) => return answer,
            Err(error) => is_sent = matches!(error, PeerCallError::NoAnswer(_)),
        }
    }
    let answer = node.ledger.call(node, key, service_call).await;
    match answer.unwrap_or(Answer::Outcome(Outcome::Unknown)) {
        Answer::Outcome(Outcome::NotRun { .. }) if is_sent => Answer::Outcome(Outcome::Unknown),
        answer => answer,
    }
}

/// Returns the number of shards that this instance owns.
pub fn owned_shards(node: &Node) -> usize {
    let shards = 0..ledger::SHARD_COUNT;
    shards
        .filter(|shard| shard_owner(node, *shard).is_none())
        .count()
}

/// Handles a call that another instance forwarded.
pub async fn answer(node: &Arc<Node>, call: &[u8]) -> Vec<u8> {
    let answer = match serde_json::from_slice::<ForwardedCall>(call) {
        Ok(call) => {
            let trace = call.trace.as_ref().and_then(|text| text.parse().ok());
            run(node, call).instrument(hop("peer", trace)).await
        }
        Err(_) => not_run(NotRunReason::NoTarget, RETRY_AFTER),
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}

async fn run(node: &Arc<Node>, forwarded: ForwardedCall) -> ForwardedAnswer {
    let active = node.active_bundle.load_full();
    let service = active
        .as_ref()
        .and_then(|active| active.service(&forwarded.service));
    let (Some(service), Ok(method)) = (service, Method::from_bytes(forwarded.method.as_bytes()))
    else {
        return not_run(NotRunReason::NoTarget, RETRY_AFTER);
    };
    let call = ServiceCall {
        service: Arc::new(service.clone()),
        method,
        path: forwarded.path,
        headers: forwarded.headers.iter().filter_map(header).collect(),
        body: Bytes::from(forwarded.body),
        deadline: Instant::now() + Duration::from_millis(forwarded.left_ms),
        trace: TraceContext::from_span(&Span::current()),
    };
    match node.ledger.call(node, forwarded.key, call).await {
        Some(Answer::Outcome(Outcome::Ran(response))) => ForwardedAnswer::Ran(response),
        Some(Answer::Outcome(Outcome::NotRun {
            reason,
            retry_after,
        })) => not_run(reason, retry_after),
        Some(Answer::KeyReused) => ForwardedAnswer::KeyReused,
        Some(Answer::Outcome(Outcome::Unknown)) | None => ForwardedAnswer::Unknown,
    }
}

async fn forward(
    node: &Node,
    owner: SocketAddr,
    key: CallKey,
    service_call: &ServiceCall,
) -> Result<Answer, PeerCallError> {
    let time_left = service_call
        .deadline
        .saturating_duration_since(Instant::now());
    let timeout = time_left - time_left / LOCAL_DIVISOR;
    let forwarded = ForwardedCall {
        key,
        service: service_call.service.name.clone(),
        method: service_call.method.as_str().into(),
        path: service_call.path.clone(),
        headers: header_texts(&service_call.headers),
        body: service_call.body.to_vec(),
        left_ms: timeout.as_millis() as u64,
        trace: service_call.trace.map(|trace| format_smolstr!("{trace}")),
    };
    let request = serde_json::to_vec(&forwarded).unwrap_or_default();
    let result = node.peers.forward_call(owner, request, timeout).await;
    let response = result.map_err(|report| *report.current_context())?;
    match serde_json::from_slice(&response) {
        Ok(answer) => Ok(into_answer(answer)),
        Err(_) => Err(PeerCallError::NoAnswer(owner)),
    }
}

fn into_answer(answer: ForwardedAnswer) -> Answer {
    Answer::Outcome(match answer {
        ForwardedAnswer::Ran(response) => Outcome::Ran(response),
        ForwardedAnswer::NotRun {
            reason,
            retry_after_ms,
        } => Outcome::NotRun {
            reason: reason.into(),
            retry_after: Duration::from_millis(retry_after_ms),
        },
        ForwardedAnswer::Unknown => Outcome::Unknown,
        ForwardedAnswer::KeyReused => return Answer::KeyReused,
    })
}

/// Returns the address of the owner of a key's shard; `None` if it is this instance.
fn owner(node: &Node, key: CallKey) -> Option<SocketAddr> {
    shard_owner(node, key.shard(ledger::SHARD_COUNT))
}

/// Returns the address of the owner of a shard; `None` if it is this instance.
fn shard_owner(node: &Node, shard: u16) -> Option<SocketAddr> {
    gossip::responsible_instance(node, &format!("ledger shard {shard}"))?.address
}

fn header_texts(headers: &HeaderMap) -> Vec<(SmolStr, SmolStr)> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.as_str().into(), value.to_str().ok()?.into()))
    };
    headers.iter().filter_map(text).collect()
}

fn header((name, value): &(SmolStr, SmolStr)) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    Some((name, HeaderValue::from_str(value).ok()?))
}

fn not_run(reason: NotRunReason, retry_after: Duration) -> ForwardedAnswer {
    ForwardedAnswer::NotRun {
        reason: reason.into(),
        retry_after_ms: retry_after.as_millis() as u64,
    }
}

impl From<NotRunReason> for ForwardedReason {
    fn from(reason: NotRunReason) -> Self {
        match reason {
            NotRunReason::NoTarget => Self::NoTarget,
            NotRunReason::StoreDown => Self::StoreDown,
            NotRunReason::NotConnected => Self::NotConnected,
            NotRunReason::Refused => Self::Refused,
            NotRunReason::Stopping => Self::Stopping,
            NotRunReason::Overload | NotRunReason::AccountLimit | NotRunReason::RetryBudget => {
                Self::Overload
            }
        }
    }
}

impl From<ForwardedReason> for NotRunReason {
    fn from(reason: ForwardedReason) -> Self {
        match reason {
            ForwardedReason::NoTarget => Self::NoTarget,
            ForwardedReason::StoreDown => Self::StoreDown,
            ForwardedReason::NotConnected => Self::NotConnected,
            ForwardedReason::Refused => Self::Refused,
            ForwardedReason::Overload => Self::Overload,
            ForwardedReason::Stopping => Self::Stopping,
        }
    }
}
