//! How a request goes on after a failed attempt: at another target, at another instance, later, or
//! not at all.

use std::{
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_relay::{AttemptFailure, AttemptState, NextStep, RouteKind, TargetQuery, Urgency};
use celerypond_telemetry::Counter;
use celerypond_types::{AccountName, TargetKey};
use tokio::time::Instant;

use super::{
    lease::Lease, reachability, request::Origin, request_losses, routed_request::RoutedRequest,
};

impl RoutedRequest {
    /// Records how an attempt failed and returns what to do next.
    pub(super) async fn record_failure(
        &mut self,
        lease: &Lease,
        failure: AttemptFailure,
    ) -> NextStep {
        let failure = self.classify_failure(lease, failure).await;
        // A response that takes longer than the request's time counts for the version as well.
        if matches!(failure, AttemptFailure::Silent | AttemptFailure::Expired) {
            self.record_silence(lease);
        } else if failure.blames_version() {
            self.record_version_result(lease, true, Duration::ZERO);
        }
        self.state.metrics.add(Counter::AttemptsEnded, 1);
        self.last_failure = Some(failure);
        if failure.proves_not_run() {
            self.runs -= 1;
            if let Some(part) = self.requirements.affinity {
                let mut targets = self.state.view.targets();
                targets.forget_prompt_location(lease.key, part);
            }
        }
        self.has_reached_target |= !failure.proves_unsent();
        self.has_failed_connection |=
            matches!(failure, AttemptFailure::Unsent | AttemptFailure::Dead);
        match failure {
            _ if failure.proves_unsent() => self.unreached += 1,
            _ => self.refusals += u32::from(failure.proves_not_run()),
        }
        let next = match self.blocked_for() {
            None => self
                .attempt_state()
                .next_step(failure, || self.take_retry()),
            Some(_) => self.record_blocked(),
        };
        log::info!(
            request = self.caller_request.id.as_str(),
            target = lease.name.as_str(),
            route = self.route.name.as_str(),
            account = self.account.as_ref().map(AccountName::as_str),
            ended:? = failure,
            runs = self.runs,
            refusals = self.refusals,
            unreached = self.unreached,
            left_ms = self.time_left().as_millis() as u64,
            next:? = next;
            "attempt ended"
        );
        next
    }

    /// Records how an attempt failed. If its connection broke, finds out whether its target has
    /// ended.
    async fn classify_failure(&mut self, lease: &Lease, failure: AttemptFailure) -> AttemptFailure {
        // Finding out whether the target ended takes time.
        let answered = lease.answer_age();
        lease.record_failure(failure);
        let may_have_ended = failure == AttemptFailure::Broken;
        let failure = match may_have_ended && self.route.kind != RouteKind::Unsafe {
            true => request_losses::confirm_end(&self.state, lease).await,
            false => failure,
        };
        if may_have_ended && failure == AttemptFailure::Ended {
            lease.record_failure(failure);
        }
        if failure.ended_target() && !reachability::is_partitioned_from(&self.state, lease.key) {
            // Ends have a limit of their own, so they need not count as attempts.
            self.ended_runs += u32::from(self.losses.record(lease, &self.parts));
            self.parts.record_end(lease.run(), answered);
            self.losses.wait_notices(self.parts.is_near_limit()).await;
        }
        failure
    }

    /// Returns the step for a stream that can no longer complete and is not sent again.
    pub(super) fn step_too_late(&self) -> NextStep {
        self.attempt_state()
            .next_step(AttemptFailure::TooLate, || false)
    }

    fn attempt_state(&self) -> AttemptState {
        AttemptState {
            kind: self.route.kind,
            runs: self.runs,
            attempts: self.max_runs(),
            refusals: self.refusals,
            unreached: self.unreached,
            is_partitioned: self.is_partitioned(),
            time_left: self.time_left(),
        }
    }

    /// Returns the number of runs that count towards the limit of the route.
    pub(super) const fn counted_runs(&self) -> u32 {
        self.runs.saturating_sub(self.ended_runs)
    }

    /// Returns the number of targets at which the request may run.
    const fn max_runs(&self) -> u32 {
        self.route.attempts + self.ended_runs
    }

    /// Waits until it is known whether the request may be sent to a target.
    ///
    /// # Errors
    ///
    /// `TargetsLost` if too many targets ended under it or under a part of its prompt.
    pub(super) async fn check_losses(&mut self) -> Result<(), NextStep> {
        if self.losses.blocked_for().is_none() && self.parts.acquire().await {
            return Ok(());
        }
        Err(self.record_blocked())
    }

    /// Returns how long the request must not be sent to any target, as too many ended under it or
    /// under a part of its prompt; `None` if it may be.
    pub(super) fn blocked_for(&self) -> Option<Duration> {
        self.losses.blocked_for().max(self.parts.blocked_for())
    }

    /// Records that the request is not sent on, and returns what to do next.
    fn record_blocked(&self) -> NextStep {
        match self.losses.blocked_for() {
            Some(_) => self.losses.record_blocked(),
            None => self.parts.record_blocked(&self.caller_request.id),
        }
        NextStep::TargetsLost
    }

    /// Returns what to do when no target is left to try.
    pub(super) const fn step_without_target(&self) -> NextStep {
        match self.runs {
            0 => NextStep::NotRun,
            _ => NextStep::Failed,
        }
    }

    /// Starts another round of attempts at all targets, and returns whether the retry budget allows
    /// it. A request that has not reached any target does not spend from the budget.
    pub(super) fn start_retry_round(&mut self) -> bool {
        if self.has_reached_target && !self.try_spend_retry() {
            return false;
        }
        self.tried.clear();
        self.refusals = 0;
        self.unreached = 0;
        true
    }

    /// Forgets the targets that refused the request or were not reached, as it runs at `current`.
    pub(super) fn forget_refusals(&mut self, current: TargetKey) {
        self.tried.clear();
        self.tried.push(current);
        self.refusals = 0;
        self.unreached = 0;
    }

    /// Records a missing response if the target accepts a new connection. Otherwise its link may be
    /// at fault rather than the version that it runs.
    fn record_silence(&self, lease: &Lease) {
        let (state, key) = (Arc::clone(&self.state), lease.key);
        let (service, version) = (self.requirements.service.clone(), lease.version.clone());
        let route = celerypond_route::hash(self.route.name.as_bytes());
        self.state.tasks.spawn(async move {
            if reachability::probe(&state, key).await {
                let mut versions = state.rollouts.versions();
                versions.record_response(&service, &version, route, true, Duration::ZERO);
            }
        });
    }

    /// Returns whether the request may have run.
    pub(super) const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether another target may be asked if the current one does not answer.
    pub(super) const fn may_ask_another(&self) -> bool {
        self.route.kind.may_repeat() && self.runs < self.max_runs()
    }

    /// Returns whether the current target, which does not respond, is given up. The retry that
    /// follows has then been spent from the budget.
    pub(super) fn try_give_up(&self, failure: AttemptFailure, keeps_last: bool) -> bool {
        self.try_give_up_run(&self.attempt_state(), failure, keeps_last)
    }

    /// Returns whether the instance through which the request is relayed, and which accepts no
    /// connections, is given up.
    pub(super) fn try_give_up_peer(&self) -> bool {
        let attempt_state = AttemptState {
            runs: self.runs + 1,
            ..self.attempt_state()
        };
        self.try_give_up_run(&attempt_state, AttemptFailure::Dead, false)
    }

    fn try_give_up_run(
        &self,
        attempt_state: &AttemptState,
        failure: AttemptFailure,
        keeps_last: bool,
    ) -> bool {
        let try_spend_retry = || {
            let has_spent_retry = match failure {
                AttemptFailure::Silent => self.try_spend_spare_retry(),
                _ => self.try_spend_retry(),
            };
            self.has_spent_retry.store(has_spent_retry, Relaxed);
            has_spent_retry
        };
        let has_alternative = || self.has_alternative(failure);
        attempt_state.may_give_up(failure, keeps_last, has_alternative, try_spend_retry)
    }

    /// Returns whether there is another instance or a target that was not tried yet. After a silence,
    /// the target must not have failed recently either.
    fn has_alternative(&self, failure: AttemptFailure) -> bool {
        if !self.losses.allows(usize::from(failure.ended_target())) {
            return false;
        }
        if self.prefers_peer() {
            return true;
        }
        if self.state.stale_targets().is_some() {
            return false;
        }
        let versions = self.state.rollouts.versions();
        let choice = versions.choose_for_retry(&self.requirements.service);
        drop(versions);
        let query = TargetQuery {
            choice: &choice,
            ..self.requirements.query(&self.tried)
        };
        let targets = self.state.view.targets();
        let selection = targets.select(&query, Instant::now());
        selection.is_some_and(|selection| failure == AttemptFailure::Dead || !selection.is_doubtful)
    }

    /// Returns whether this instance reaches no target of the service.
    pub(super) fn is_partitioned(&self) -> bool {
        let partitions = self.state.partitions();
        partitions.contains(&self.requirements.service)
    }

    /// Returns whether the request is to be relayed through another instance, as this one reaches no
    /// target or, after a failed connection, probably reaches none.
    pub(super) fn prefers_peer(&self) -> bool {
        let is_suspected = || {
            let targets = self.state.view.targets();
            targets.suspects_partition(&self.requirements.service, Instant::now())
        };
        self.may_send_to_peer()
            && (self.is_partitioned() || (self.has_failed_connection && is_suspected()))
    }

    /// Returns whether the request may be relayed through another instance once no target is left,
    /// because this instance could not connect to some.
    pub(super) fn may_use_peer(&self) -> bool {
        self.may_send_to_peer() && self.has_failed_connection
    }

    fn may_send_to_peer(&self) -> bool {
        let may_run = self.runs == 0 || self.route.kind.may_repeat();
        self.origin == Origin::Caller
            && may_run
            && self.runs < self.max_runs()
            && !self.time_left().is_zero()
    }

    /// Records that another instance did not answer the request, which may have run.
    pub(super) fn record_peer_failure(&mut self, failure: AttemptFailure) -> NextStep {
        self.runs += 1;
        self.has_reached_target = true;
        self.last_failure = Some(failure);
        let next = self
            .attempt_state()
            .next_step(failure, || self.take_retry());
        log::info!(
            request = self.caller_request.id.as_str(),
            ended:? = failure,
            next:? = next;
            "relay through another instance failed"
        );
        next
    }

    /// Returns whether the retry of a failed attempt is allowed, and spends it from the budget unless
    /// that was done before the target was given up.
    fn take_retry(&self) -> bool {
        self.has_spent_retry.swap(false, Relaxed) || self.try_spend_retry()
    }

    /// Returns whether the retry budget currently allows a retry.
    pub(super) fn may_retry(&self) -> bool {
        let instances = self.state.instance_count();
        let (urgency, service) = (self.retry_urgency(), &self.requirements.service);
        let mut retries = self.state.retries();
        retries.allows_ranked(urgency, service, instances, Instant::now())
    }

    fn try_spend_retry(&self) -> bool {
        let instances = self.state.instance_count();
        let (urgency, service) = (self.retry_urgency(), &self.requirements.service);
        let mut retries = self.state.retries();
        retries.try_spend_ranked(urgency, service, instances, Instant::now())
    }

    /// Returns the urgency by which retries are reserved for other requests. None are reserved from a
    /// stream that has begun, as what its caller has would be lost.
    fn retry_urgency(&self) -> Option<Urgency> {
        let urgency = self.requirements.urgency;
        urgency.filter(|_| !self.has_begun)
    }

    fn try_spend_spare_retry(&self) -> bool {
        let instances = self.state.instance_count();
        let mut retries = self.state.retries();
        retries.try_spend_spare(&self.requirements.service, instances, Instant::now())
    }
}
