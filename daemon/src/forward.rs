//! Passes keyed calls on to the instance that batches for their shard.
//!
//! One writer a shard puts all calls that arrive meanwhile into one write. Who writes is decided by
//! the store alone, so an instance that is wrong about the owner only writes more often.

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

/// When to come back if the owner has not heard of the service yet.
const COME_BACK: Duration = Duration::from_secs(1);
/// The part of the deadline that is left to go on without an owner that does not answer.
const OWN_PART: u32 = 3;

/// A keyed call on its way to the owner of its shard.
#[derive(Serialize, Deserialize)]
struct Sent {
    key: CallKey,
    service: ServiceName,
    method: SmolStr,
    path: SmolStr,
    headers: Vec<(SmolStr, SmolStr)>,
    body: Vec<u8>,
    left_ms: u64,
    trace: Option<SmolStr>,
}

/// What became of it.
#[derive(Serialize, Deserialize)]
enum Came {
    Ran(ServiceResponse),
    NotRun { reason: Reason, retry_after_ms: u64 },
    Unknown,
    KeyReused,
}

/// The reasons that an owner gives.
#[derive(Clone, Copy, Serialize, Deserialize)]
enum Reason {
    NoTarget,
    StoreDown,
    NotConnected,
    Refused,
    Overload,
    Stopping,
}

/// Runs a keyed call at most once, through the owner of its shard if that answers.
///
/// An owner that can't be connected to has got nothing. One that was sent the call and does not answer
/// may run it: the call then goes on here, where the record of the owner, if there is one, is found.
/// If there is none yet the owner may still write it, so this instance must not say "not run".
pub async fn call(node: &Arc<Node>, key: CallKey, send: ServiceCall) -> Answer {
    let mut is_sent = false;
    if let Some(owner) = owner(node, key) {
        match pass_on(node, owner, key, &send).await {
            Ok(answer) => return answer,
            Err(error) => is_sent = matches!(error, PeerCallError::NoAnswer(_)),
        }
    }
    let answer = node.ledger.call(node, key, send).await;
    match answer.unwrap_or(Answer::Outcome(Outcome::Unknown)) {
        Answer::Outcome(Outcome::NotRun { .. }) if is_sent => Answer::Outcome(Outcome::Unknown),
        answer => answer,
    }
}

/// Returns how many shards fall to this instance.
pub fn owned_shards(node: &Node) -> usize {
    let shards = 0..ledger::SHARD_COUNT;
    shards
        .filter(|shard| owner_of(node, *shard).is_none())
        .count()
}

/// Answers a call that another instance passed on.
pub async fn answer(node: &Arc<Node>, call: &[u8]) -> Vec<u8> {
    let came = match serde_json::from_slice::<Sent>(call) {
        Ok(sent) => {
            let trace = sent.trace.as_ref().and_then(|text| text.parse().ok());
            run(node, sent).instrument(hop("peer", trace)).await
        }
        Err(_) => not_run(NotRunReason::NoTarget, COME_BACK),
    };
    serde_json::to_vec(&came).unwrap_or_default()
}

async fn run(node: &Arc<Node>, sent: Sent) -> Came {
    let force = node.active_bundle.load_full();
    let service = force
        .as_ref()
        .and_then(|force| force.service(&sent.service));
    let (Some(service), Ok(method)) = (service, Method::from_bytes(sent.method.as_bytes())) else {
        return not_run(NotRunReason::NoTarget, COME_BACK);
    };
    let call = ServiceCall {
        service: Arc::new(service.clone()),
        method,
        path: sent.path,
        headers: sent.headers.iter().filter_map(header).collect(),
        body: Bytes::from(sent.body),
        deadline: Instant::now() + Duration::from_millis(sent.left_ms),
        trace: TraceContext::from_span(&Span::current()),
    };
    match node.ledger.call(node, sent.key, call).await {
        Some(Answer::Outcome(Outcome::Ran(reply))) => Came::Ran(reply),
        Some(Answer::Outcome(Outcome::NotRun {
            reason,
            retry_after,
        })) => not_run(reason, retry_after),
        Some(Answer::KeyReused) => Came::KeyReused,
        Some(Answer::Outcome(Outcome::Unknown)) | None => Came::Unknown,
    }
}

async fn pass_on(
    node: &Node,
    owner: SocketAddr,
    key: CallKey,
    send: &ServiceCall,
) -> Result<Answer, PeerCallError> {
    let left = send.deadline.saturating_duration_since(Instant::now());
    let limit = left - left / OWN_PART;
    let sent = Sent {
        key,
        service: send.service.name.clone(),
        method: send.method.as_str().into(),
        path: send.path.clone(),
        headers: texts(&send.headers),
        body: send.body.to_vec(),
        left_ms: limit.as_millis() as u64,
        trace: send.trace.map(|trace| format_smolstr!("{trace}")),
    };
    let value = serde_json::to_vec(&sent).unwrap_or_default();
    let result = node.peers.forward_call(owner, value, limit).await;
    let value = result.map_err(|report| *report.current_context())?;
    match serde_json::from_slice(&value) {
        Ok(came) => Ok(came_back(came)),
        Err(_) => Err(PeerCallError::NoAnswer(owner)),
    }
}

fn came_back(came: Came) -> Answer {
    Answer::Outcome(match came {
        Came::Ran(reply) => Outcome::Ran(reply),
        Came::NotRun {
            reason,
            retry_after_ms,
        } => Outcome::NotRun {
            reason: reason.into(),
            retry_after: Duration::from_millis(retry_after_ms),
        },
        Came::Unknown => Outcome::Unknown,
        Came::KeyReused => return Answer::KeyReused,
    })
}

fn owner(node: &Node, key: CallKey) -> Option<SocketAddr> {
    owner_of(node, key.shard(ledger::SHARD_COUNT))
}

/// Returns where the owner of a shard is, or nothing when it is this instance.
fn owner_of(node: &Node, shard: u16) -> Option<SocketAddr> {
    gossip::responsible_instance(node, &format!("ledger shard {shard}"))?.address
}

fn texts(headers: &HeaderMap) -> Vec<(SmolStr, SmolStr)> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.as_str().into(), value.to_str().ok()?.into()))
    };
    headers.iter().filter_map(text).collect()
}

fn header((name, value): &(SmolStr, SmolStr)) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    Some((name, HeaderValue::from_str(value).ok()?))
}

fn not_run(reason: NotRunReason, retry_after: Duration) -> Came {
    Came::NotRun {
        reason: reason.into(),
        retry_after_ms: retry_after.as_millis() as u64,
    }
}

impl From<NotRunReason> for Reason {
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

impl From<Reason> for NotRunReason {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::NoTarget => Self::NoTarget,
            Reason::StoreDown => Self::StoreDown,
            Reason::NotConnected => Self::NotConnected,
            Reason::Refused => Self::Refused,
            Reason::Overload => Self::Overload,
            Reason::Stopping => Self::Stopping,
        }
    }
}
