//! Moves running streams to other engines.

use std::{net::SocketAddr, time::Duration};

use celerypond_adapter::engine;
use celerypond_relay::BetterEngine;
use celerypond_telemetry::Counter;
use celerypond_types::TargetKey;
use http::{
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    HeaderMap, Method, StatusCode,
};
use smol_str::SmolStr;
use tokio::time::{timeout_at, Instant};

use super::{
    engine_calls,
    relayed_stream::{CurrentEngine, RelayedStream},
    run_copy::{CopyLocation, OrderedCopy},
    state::RelayState,
};

/// The interval between two checks whether a stream should move. Prompts may be sent to its engine
/// at any time.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The minimum time that a stream stays at an engine after it was resumed there from a copy, or
/// after an order to move it had no effect.
pub(super) const MOVE_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of moves of a stream whose engines state their pace, which changes many times
/// a second.
const MAX_MOVES: u32 = 2;
/// The timeout of an order to move a run. The memory is copied within tens of milliseconds, during
/// which the stream's events wait.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long events that the engine made before it stopped the run may take to arrive.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(60);

/// The result of an order to move a run.
enum MoveResult {
    /// The run continues at its engine.
    Stays,
    /// The run has stopped. Its memory is at the other engine if it was copied, otherwise only at
    /// the engine where it ran.
    Stopped { handle: SmolStr, is_copied: bool },
    /// The engine did not answer in time, so it is unknown whether the run has stopped.
    Unknown,
}

impl RelayedStream {
    /// Moves the stream if it would be completed sooner at another engine. Returns whether the
    /// stream still runs.
    pub(super) async fn relocate(&mut self) -> bool {
        let now = Instant::now();
        let Some(current) = self
            .current
            .as_mut()
            .filter(|current| current.next_check <= now)
        else {
            return true;
        };
        current.next_check = now + CHECK_INTERVAL;
        let from = current.lease.key;
        if !is_framed(&current.response.headers) || self.request.losses.separation().is_some() {
            return true;
        }
        let Some(better) = self.better_engine(from) else {
            return true;
        };
        // If the other engine refuses the run, resuming it here takes a retry.
        if !self.request.may_retry() || !self.request.try_spend_move() {
            return true;
        }
        let to = better.key;
        let result = self.order_move(from, &better).await;
        self.moves += u32::from(!matches!(result, MoveResult::Stays));
        match result {
            MoveResult::Stopped { handle, is_copied } => {
                let holders = if is_copied {
                    vec![to, from]
                } else {
                    vec![from]
                };
                self.resume_at(&holders, &handle, now).await
            }
            MoveResult::Stays | MoveResult::Unknown => {
                if let Some(current) = self.current.as_mut() {
                    current.next_check = now + MOVE_INTERVAL;
                }
                true
            }
        }
    }

    /// Returns whether a stream is expected to move away from an engine as soon as its prompt is
    /// read there. A backup copy that this engine makes from the start of the run would then be
    /// useless.
    pub(super) fn will_move(&self, current: TargetKey, copy: Option<&CopyLocation>) -> bool {
        copy.is_none() && self.request.may_move() && self.better_engine(current).is_some()
    }

    /// Returns the engine that the stream should move to, if there is a better one.
    fn better_engine(&self, from: TargetKey) -> Option<BetterEngine> {
        let table = self.request.state.view.table();
        let engine = table
            .service(&self.request.requirements.service)?
            .engine
            .as_ref()?;
        if !engine.copies || !self.request.kind().may_repeat() {
            return None;
        }
        let query = self.request.requirements.query(&[]);
        let remaining = self
            .request
            .remaining_events(self.events.last_id().unwrap_or_default());
        let targets = self.request.state.view.targets();
        let now = Instant::now();
        if self.moves >= MAX_MOVES && targets.states_pace(query.service, now) {
            return None;
        }
        targets.better_engine(from, &query, remaining, now)
    }

    async fn order_move(&self, from: TargetKey, better: &BetterEngine) -> MoveResult {
        let view = &self.request.state.view;
        let (Some(from_address), Some(to_address)) =
            (view.address_of(from), view.address_of(better.key))
        else {
            return MoveResult::Stays;
        };
        let result = request_move(
            &self.request.state,
            &self.request.caller_request.id,
            from_address,
            to_address,
        )
        .await;
        let how = match &result {
            MoveResult::Stays => "refused",
            MoveResult::Stopped {
                is_copied: true, ..
            } => "moved",
            MoveResult::Stopped { .. } => "stopped",
            MoveResult::Unknown => "no answer",
        };
        log::info!(
            request = self.request.caller_request.id.as_str(),
            from:% = from_address,
            to:% = to_address,
            last = self.events.last_id(),
            here_ms = better.here_ms as u64,
            there_ms = better.there_ms as u64,
            reading = better.reading_tokens,
            beside = better.other_streams,
            how;
            "stream ordered to move"
        );
        result
    }

    /// Resumes the stream at the first of the engines that have the run's memory. Returns whether
    /// the stream runs.
    async fn resume_at(
        &mut self,
        holders: &[TargetKey],
        handle: &SmolStr,
        started: Instant,
    ) -> bool {
        let Some(mut current) = self.current.take() else {
            return false;
        };
        self.drain(&mut current).await;
        let (from, born) = (current.lease.address, current.lease.born);
        drop(current.response);
        self.request.record_move(current.lease.key);
        drop(current.lease);
        // The backup copy of the run at its previous engine is no longer useful.
        if let Some(copies) = current.run_copy {
            copies.finish();
        }
        let copies = holders.iter().map(|holder| CopyLocation {
            holder: *holder,
            ordered: Some(OrderedCopy {
                from,
                handle: handle.clone(),
                born,
                known_at: started,
            }),
        });
        let result = self.find_engine(copies.collect(), true).await;
        self.resume_failure = result.as_ref().err().copied();
        self.request.state.metrics.add(Counter::StreamsMoved, 1);
        log::info!(
            request = self.request.caller_request.id.as_str(),
            from:% = from,
            by_copy = self.from_copy,
            last = self.events.last_id(),
            failed:? = result.as_ref().err(),
            took_ms = started.elapsed().as_millis() as u64;
            "stream moved"
        );
        result.is_ok() && self.has_success_status()
    }

    /// Receives the events that the engine made before it stopped the run. The stream of that
    /// engine ends early, which is not the end of the answer.
    async fn drain(&mut self, current: &mut CurrentEngine) {
        use http_body_util::BodyExt as _;
        let until = Instant::now() + DRAIN_TIMEOUT;
        while let Ok(Some(Ok(frame))) = timeout_at(until, current.response.body.frame()).await {
            if self.events.push(&frame).is_err() {
                break;
            }
        }
        self.events.discard_partial();
    }
}

/// Returns whether the end of a response can be distinguished from a connection that closes early.
///
/// An engine may stop a run to move it while its answer to the order is lost. If the response ended
/// with its connection, the part that was made would look like the whole answer.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn request_move(
    state: &RelayState,
    request: &str,
    from: SocketAddr,
    to: SocketAddr,
) -> MoveResult {
    let Ok(path) = engine::COPY_PATH.parse() else {
        return MoveResult::Stays;
    };
    let body = engine::encode_move_order(request, to);
    let Some(answer) =
        engine_calls::call(state, from, Method::POST, path, body, ORDER_TIMEOUT).await
    else {
        return MoveResult::Unknown;
    };
    match engine::decode_copy_handle(&answer.body) {
        Ok(handle) => MoveResult::Stopped {
            handle,
            is_copied: answer.status == StatusCode::OK,
        },
        Err(_) => MoveResult::Stays,
    }
}
