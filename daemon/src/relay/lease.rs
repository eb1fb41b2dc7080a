//! A place at a target.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_relay::{AttemptFailure, Load, PlacementKey, Targets};
use celerypond_telemetry::Counter;
use celerypond_types::{TargetKey, TargetName, VersionName};
use tokio::time::Instant;

use super::state::RelayState;

/// A request's place at a target, counted until it is dropped.
pub(super) struct Lease {
    state: Arc<RelayState>,
    pub(super) key: TargetKey,
    pub(super) name: TargetName,
    pub(super) address: SocketAddr,
    pub(super) version: VersionName,
    stream: Option<PlacementKey>,
}

impl Lease {
    /// Takes a place for a request; nothing when the target is gone.
    pub(super) fn for_request(state: &Arc<RelayState>, key: TargetKey) -> Option<Self> {
        Self::new(state, &mut state.view.targets(), key)
    }

    /// Takes a place for a stream of so many tokens; nothing when the target is gone.
    pub(super) fn for_stream(
        state: &Arc<RelayState>,
        key: TargetKey,
        part: u64,
        tokens: u64,
    ) -> Option<Self> {
        let mut targets = state.view.targets();
        let mut lease = Self::new(state, &mut targets, key)?;
        lease.stream = targets.add_stream(key, part, tokens, Instant::now());
        drop(targets);
        state.placements_changed.notify_one();
        Some(lease)
    }

    fn new(state: &Arc<RelayState>, targets: &mut Targets, key: TargetKey) -> Option<Self> {
        let target = targets.get_mut(key)?;
        target.open_requests += 1;
        Some(Self {
            state: Arc::clone(state),
            key,
            name: target.entry.name.clone(),
            address: target.entry.address,
            version: target.entry.version.clone(),
            stream: None,
        })
    }

    /// Takes in a sign of life.
    pub(super) fn record_response(&mut self, load: Option<Load>) {
        if let Some(target) = self.state.view.targets().get_mut(self.key) {
            target.record_response(load, Instant::now());
        }
    }

    /// Takes in the result of a request in one piece.
    pub(super) fn record_result(&self, is_good: bool, time: Duration) {
        let mut targets = self.state.view.targets();
        targets.record_result(self.key, is_good, time, Instant::now());
    }

    /// Takes in that what was sent was reset at once, on a connection that had rested for so long.
    pub(super) fn record_idle_reset(&self, idle_for: Duration) {
        let mut targets = self.state.view.targets();
        if !targets.record_idle_reset(self.key, idle_for, Instant::now()) {
            return;
        }
        let idle_limit = targets.idle_limit(self.key, Instant::now());
        log::info!(
            target = self.name.as_str(),
            rested_ms = idle_for.as_millis() as u64,
            most_ms = idle_limit.map(|idle_limit| idle_limit.as_millis() as u64);
            "connections rest for less"
        );
    }

    /// Takes in that the prompt was read.
    pub(super) fn record_prompt_read(&mut self) {
        if let Some(stream) = self.stream {
            self.state
                .view
                .targets()
                .record_prompt_read(self.key, stream);
            self.state.placements_changed.notify_one();
        }
    }

    /// Takes in how the attempt ended.
    pub(super) fn record_failure(&self, failure: AttemptFailure) {
        record_target_failure(&self.state, self.key, failure);
        if failure.suggests_target_down() {
            self.state.connections.drop_idle(self.address);
            self.state.placements_changed.notify_one();
        }
        // A stream that breaks may be the sign of a dead engine, which others should know of.
        if failure == AttemptFailure::Broken && self.stream.is_some() {
            let check = check_alive(Arc::clone(&self.state), self.key, self.address);
            self.state.tasks.spawn(check);
        }
    }
}

/// Takes in how an attempt at a target ended, or that it was found dead.
fn record_target_failure(state: &RelayState, key: TargetKey, failure: AttemptFailure) {
    let mut targets = state.view.targets();
    let Some(target) = targets.get_mut(key) else {
        return;
    };
    let was_dead = target.is_dead;
    target.record_failure(failure, Instant::now());
    if target.is_dead && !was_dead {
        state.metrics.add(Counter::TargetsDead, 1);
    }
}

async fn check_alive(state: Arc<RelayState>, key: TargetKey, address: SocketAddr) {
    if state.connections.is_alive(address).await {
        return;
    }
    record_target_failure(&state, key, AttemptFailure::Dead);
    log::info!(address:% = address, reason = "no connection"; "target dead");
    state.placements_changed.notify_one();
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut targets = self.state.view.targets();
        if let Some(target) = targets.get_mut(self.key) {
            target.open_requests = target.open_requests.saturating_sub(1);
        }
        if let Some(stream) = self.stream {
            targets.remove_stream(self.key, stream);
            self.state.placements_changed.notify_one();
        }
    }
}
