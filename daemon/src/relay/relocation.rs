//! The move of a running stream to another engine.

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

/// The time between two looks whether a stream runs well where it is. Prompts come to its engine at any
/// time.
const LOOK: Duration = Duration::from_millis(200);
/// How long a stream stays where it went on, or after a move that did not come about.
pub(super) const REST: Duration = Duration::from_secs(1);
/// How long an order to move may take. Memory is copied within some ten milliseconds; the events wait
/// meanwhile.
const ORDER: Duration = Duration::from_millis(250);
/// How long the events that were made before the stop may be on their way.
const DRAIN: Duration = Duration::from_millis(60);

/// What came of an order to move a run.
enum Moved {
    /// The run goes on where it was.
    Stays,
    /// The run has stopped; its memory is at the other engine, or still only where it ran.
    Stopped { handle: SmolStr, is_copied: bool },
    /// The engine did not answer in time, so the run may have stopped.
    Unknown,
}

impl RelayedStream {
    /// Moves the stream if it would be done sooner elsewhere; returns whether it still runs.
    pub(super) async fn relocate(&mut self) -> bool {
        let now = Instant::now();
        let Some(at) = self.at.as_mut().filter(|at| at.look <= now) else {
            return true;
        };
        at.look = now + LOOK;
        let from = at.lease.key;
        if !is_framed(&at.opened.headers) {
            return true;
        }
        let Some(better) = self.better_engine(from) else {
            return true;
        };
        if !self.run.take_move() {
            return true;
        }
        let to = better.key;
        match self.order(from, &better).await {
            Moved::Stopped { handle, is_copied } => {
                let holders = if is_copied {
                    vec![to, from]
                } else {
                    vec![from]
                };
                self.go_to(&holders, &handle, now).await
            }
            Moved::Stays | Moved::Unknown => {
                if let Some(at) = self.at.as_mut() {
                    at.look = now + REST;
                }
                true
            }
        }
    }

    /// Returns whether a stream will leave an engine as soon as its prompt is read there, by what is known
    /// now. The copy that the engine would keep from the start is then made in vain.
    pub(super) fn will_move(&self, at: TargetKey, copy: Option<&CopyLocation>) -> bool {
        copy.is_none() && self.run.may_move() && self.better_engine(at).is_some()
    }

    /// Returns the engine that the stream should move to.
    fn better_engine(&self, from: TargetKey) -> Option<BetterEngine> {
        let table = self.run.state.known.table();
        let engine = table.service(&self.run.wish.service)?.engine.as_ref()?;
        if !engine.copies || !self.run.kind().may_repeat() {
            return None;
        }
        let want = self.run.wish.want(&[]);
        let ahead = self.run.ahead(self.passage.last().unwrap_or_default());
        let targets = self.run.state.known.targets();
        targets.better_engine(from, &want, ahead, Instant::now())
    }

    async fn order(&self, from: TargetKey, better: &BetterEngine) -> Moved {
        let known = &self.run.state.known;
        let (Some(source), Some(target)) = (known.address_of(from), known.address_of(better.key))
        else {
            return Moved::Stays;
        };
        let moved = order(&self.run.state, &self.run.asked.id, source, target).await;
        let how = match &moved {
            Moved::Stays => "refused",
            Moved::Stopped {
                is_copied: true, ..
            } => "moved",
            Moved::Stopped { .. } => "stopped",
            Moved::Unknown => "no answer",
        };
        log::info!(
            request = self.run.asked.id.as_str(),
            from:% = source,
            to:% = target,
            last = self.passage.last(),
            here_ms = better.here_ms as u64,
            there_ms = better.there_ms as u64,
            reading = better.reading_tokens,
            beside = better.other_streams,
            how;
            "stream ordered to move"
        );
        moved
    }

    /// Goes on at the first of the engines that have the run's memory; returns whether the stream runs.
    async fn go_to(&mut self, holders: &[TargetKey], handle: &SmolStr, begun: Instant) -> bool {
        let Some(mut at) = self.at.take() else {
            return false;
        };
        self.drain(&mut at).await;
        let from = at.lease.address;
        drop(at.opened);
        self.run.moves(at.lease.key);
        drop(at.lease);
        // The copy that was kept where it ran is worth nothing any more.
        if let Some(copies) = at.copies {
            copies.finish();
        }
        let copies = holders.iter().map(|holder| CopyLocation {
            holder: *holder,
            ordered: Some(OrderedCopy {
                from,
                handle: handle.clone(),
            }),
        });
        let found = self.find(copies.collect(), true).await;
        self.run.state.metrics.add(Counter::StreamsMoved, 1);
        log::info!(
            request = self.run.asked.id.as_str(),
            from:% = from,
            by_copy = self.by_copy,
            last = self.passage.last(),
            failed:? = found.as_ref().err(),
            took_ms = begun.elapsed().as_millis() as u64;
            "stream moved"
        );
        found.is_ok() && self.is_well()
    }

    /// Takes in the events that the engine made before it stopped the run. Its stream ends early, which
    /// is not the end of the answer.
    async fn drain(&mut self, at: &mut CurrentEngine) {
        use http_body_util::BodyExt as _;
        let until = Instant::now() + DRAIN;
        while let Ok(Some(Ok(frame))) = timeout_at(until, at.opened.body.frame()).await {
            if self.passage.take_in(&frame).is_err() {
                break;
            }
        }
        self.passage.drop_rest();
    }
}

/// Returns whether the end of a response can be told from a connection that closes early.
///
/// The failure: an engine stops a run that is moved, and the answer to the order is lost. Of a response
/// that ends with its connection, the part that was made would look like the whole.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn order(state: &RelayState, request: &str, from: SocketAddr, to: SocketAddr) -> Moved {
    let Ok(path) = engine::COPY_PATH.parse() else {
        return Moved::Stays;
    };
    let body = engine::encode_move(request, to);
    let Some(answer) = engine_calls::ask(state, from, Method::POST, path, body, ORDER).await else {
        return Moved::Unknown;
    };
    match engine::decode_copy(&answer.body) {
        Ok(handle) => Moved::Stopped {
            handle,
            is_copied: answer.status == StatusCode::OK,
        },
        Err(_) => Moved::Stays,
    }
}
