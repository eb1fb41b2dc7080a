//! Leases of targets, which count the requests that are open there.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_relay::{
    AttemptFailure, Load, PaceJudgement, PlacementKey, Target, TargetRun, Targets, Urgency,
};
use celerypond_telemetry::Counter;
use celerypond_types::{TargetKey, TargetName, VersionName};
use tokio::time::Instant;

use super::{
    connections::ConnectionShare,
    rate_limits,
    reachability::{is_partitioned_from, probe},
    routed_request::TargetRequirements,
    state::RelayState,
};

/// A request's lease of a target. The request counts as open there until the lease is dropped.
pub(super) struct Lease {
    state: Arc<RelayState>,
    pub(super) key: TargetKey,
    pub(super) name: TargetName,
    pub(super) address: SocketAddr,
    pub(super) version: VersionName,
    /// When the target was started, in Unix milliseconds.
    pub(super) born: Option<u64>,
    /// The connections that the target accepts, and the instances that share them.
    pub(super) connection_share: ConnectionShare,
    /// Whether a new connection has to prove that the target keeps it before a request is sent, as
    /// that request must not be repeated.
    pub(super) confirms_connection: bool,
    /// Whether the engine had read the prompt before, so that it need not be read there again.
    pub(super) had_prompt: bool,
    /// When the target was leased.
    leased: Instant,
    /// When its answer began to arrive.
    began: Option<Instant>,
    stream: Option<PlacementKey>,
}

impl Lease {
    /// Leases a target for a request. Returns `None` if the target may get no request now.
    pub(super) fn for_request(
        state: &Arc<RelayState>,
        key: TargetKey,
        requirements: &TargetRequirements,
    ) -> Option<Self> {
        Self::new(state, &mut state.view.targets(), key, requirements)
    }

    /// Leases an engine for a stream, which may have begun. Returns `None` if the engine may get no
    /// request now.
    pub(super) fn for_stream(
        state: &Arc<RelayState>,
        key: TargetKey,
        part: u64,
        requirements: &TargetRequirements,
        has_begun: bool,
    ) -> Option<Self> {
        let urgency = requirements.urgency.unwrap_or_default();
        let mut targets = state.view.targets();
        let mut lease = Self::new(state, &mut targets, key, requirements)?;
        // During a burst, less urgent streams would open all connections that this instance may open.
        // Those that have begun would break without one.
        let is_first = requirements.urgency.is_none_or(Urgency::is_first);
        lease.connection_share.kept = u32::from(!is_first && !has_begun);
        lease.stream = targets.add_stream(key, part, requirements.tokens, urgency, Instant::now());
        drop(targets);
        state.placements_changed.notify_one();
        Some(lease)
    }

    fn new(
        state: &Arc<RelayState>,
        targets: &mut Targets,
        key: TargetKey,
        requirements: &TargetRequirements,
    ) -> Option<Self> {
        let (now, query) = (Instant::now(), requirements.query(&[]).send_query());
        targets.check_send(key, query, now).ok()?;
        let target = targets.get_mut(key)?;
        rate_limits::spend(state, target);
        target.open_requests += 1;
        target.admission_rate.spend(state.instance_count(), now);
        target.cooldown.spend(now);
        let table = state.view.table();
        let service = table.service(&target.entry.service);
        Some(Self {
            state: Arc::clone(state),
            key,
            name: target.entry.name.clone(),
            address: target.entry.address,
            version: target.entry.version.clone(),
            born: target.entry.born,
            connection_share: ConnectionShare {
                accepted: service.map_or(u32::MAX, |service| service.connections),
                instances: state.instance_count(),
                kept: 0,
            },
            confirms_connection: false,
            had_prompt: false,
            leased: now,
            began: None,
            stream: None,
        })
    }

    /// Records that the target responded, and the load that it reported.
    pub(super) fn record_response(&mut self, load: Option<Load>) {
        let mut targets = self.state.view.targets();
        targets.record_response(self.key, load, Instant::now());
    }

    /// Records how long it took to connect to the target.
    pub(super) fn record_connection_time(&self, took: Duration) {
        if let Some(target) = self.state.view.targets().get_mut(self.key) {
            target.response_time.record_connection(took);
        }
    }

    /// Records that the target stated how many rejections within a second it bears.
    pub(super) fn record_brittle(&self, max_rejections: u32) {
        if let Some(target) = self.state.view.targets().get_mut(self.key) {
            let limit = &mut target.rejection_limit;
            limit.record_statement(max_rejections, Instant::now());
        }
    }

    /// Records the result of a request whose response is not a stream.
    pub(super) fn record_result(&self, is_good: bool, time: Duration, aim: Duration) {
        // A failure is due to this instance's own links.
        if !is_good && is_partitioned_from(&self.state, self.key) {
            return;
        }
        let now = Instant::now();
        let mut targets = self.state.view.targets();
        targets.record_result(self.key, is_good, time, now);
        if let Some(target) = targets.get_mut(self.key) {
            let was_limited = target.admission_rate.is_limited();
            target.record_response_time(time, aim, now);
            self.log_limit(target, was_limited);
        }
        let judgements = targets.take_judgements();
        drop(targets);
        log_judgements(&self.state, judgements);
    }

    /// Records that the target refused a request whose response is not a stream.
    pub(super) fn record_refusal(&self) {
        if let Some(target) = self.state.view.targets().get_mut(self.key) {
            let was_limited = target.admission_rate.is_limited();
            target.admission_rate.record_refusal(Instant::now());
            self.log_limit(target, was_limited);
        }
    }

    /// Logs whether the rate of requests to the target begins or ceases to be limited.
    fn log_limit(&self, target: &Target, was_limited: bool) {
        let is_limited = target.admission_rate.is_limited();
        if is_limited != was_limited {
            log::info!(target = self.name.as_str(), is_limited; "rate of requests limited by the queue");
        }
    }

    /// Records that a request was reset at once on a connection that had been idle for this time. A
    /// target that accepts no new connection has not reset it for being idle.
    pub(super) fn record_idle_reset(&self, idle_for: Duration) {
        let (state, key) = (Arc::clone(&self.state), self.key);
        self.state.tasks.spawn(async move {
            if probe(&state, key).await {
                learn_idle_limit(&state, key, idle_for);
            }
        });
    }

    /// Returns the run of the target's process.
    pub(super) fn run(&self) -> TargetRun {
        TargetRun::new(self.name.as_str(), self.born)
    }

    /// Records that the target's answer begins to arrive.
    pub(super) fn record_begin(&mut self) {
        self.began = Some(Instant::now());
    }

    /// Returns whether the target stopped accepting requests after it was leased.
    pub(super) fn has_withdrawn(&self, now: Instant) -> bool {
        let targets = self.state.view.targets();
        targets.has_withdrawn(self.key, self.leased, now)
    }

    /// Returns how long ago the target was leased.
    pub(super) fn age(&self) -> Duration {
        self.leased.elapsed()
    }

    /// Returns how long ago its answer began to arrive; `None` if it has not.
    pub(super) fn answer_age(&self) -> Option<Duration> {
        self.began.map(|began| began.elapsed())
    }

    /// Records that the engine has read the stream's prompt.
    pub(super) fn record_prompt_read(&mut self) {
        if let Some(stream) = self.stream {
            let mut targets = self.state.view.targets();
            targets.record_reading_end(self.key, Instant::now());
            targets.record_prompt_read(self.key, stream);
            drop(targets);
            self.state.placements_changed.notify_one();
        }
    }

    /// Records how the attempt failed.
    pub(super) fn record_failure(&self, failure: AttemptFailure) {
        if failure.suggests_target_down() && is_partitioned_from(&self.state, self.key) {
            return;
        }
        record_target_failure(&self.state, self.key, failure);
        // Connections that break are closed by themselves.
        if failure.suggests_target_down() && failure != AttemptFailure::Broken {
            self.state.connections.drop_idle(self.address);
        }
        if failure.suggests_target_down() {
            self.state.placements_changed.notify_one();
        }
    }
}

/// Records that nothing arrives from a target for a request that is not given up, so that other
/// requests avoid the target meanwhile.
pub(super) fn record_unresponsive(state: &RelayState, key: TargetKey, failure: AttemptFailure) {
    let now = Instant::now();
    let is_avoided = |target: &Target| target.is_avoided(now);
    let was_avoided = state.view.targets().get(key).is_none_or(is_avoided);
    if !was_avoided && !is_partitioned_from(state, key) {
        record_target_failure(state, key, failure);
    }
}

/// Records that a target responds again for a request that was not given up.
pub(super) fn record_responsive(state: &RelayState, key: TargetKey) {
    if let Some(target) = state.view.targets().get_mut(key) {
        target.record_response(None, Instant::now());
    }
}

/// Records how an attempt at a target failed, or that the target was found dead.
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

fn learn_idle_limit(state: &RelayState, key: TargetKey, idle_for: Duration) {
    let now = Instant::now();
    let mut targets = state.view.targets();
    if !targets.record_idle_reset(key, idle_for, now) {
        return;
    }
    let name = targets.get(key).map(|target| target.entry.name.as_str());
    let idle_limit = targets.idle_limit(key, now);
    log::info!(
        target = name,
        rested_ms = idle_for.as_millis() as u64,
        most_ms = idle_limit.map(|idle_limit| idle_limit.as_millis() as u64);
        "connections rest for less"
    );
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

/// Logs and counts plain targets that were judged slow, or usual again.
pub(super) fn log_judgements(state: &RelayState, judgements: Vec<PaceJudgement>) {
    for judgement in judgements {
        if judgement.is_slow {
            state.metrics.add(Counter::TargetsJudgedSlow, 1);
        }
        log::info!(
            target = judgement.target.as_str(),
            is_slow = judgement.is_slow,
            expected_ms = judgement.expected_ms.round(),
            pace = judgement.pace;
            "pace of a target judged"
        );
    }
}
