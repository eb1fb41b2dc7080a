//! Relays streams of events, and resumes them at other engines.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use celerypond_adapter::headers;
use celerypond_relay::{
    running_timeout_at, AttemptFailure, CopyName, EngineWait, EventTimer, FirstEventWait, NextStep,
    PlacementSchedule, SilenceLimits, TargetRequestHead,
};
use celerypond_telemetry::{Counter, Latency};
use celerypond_types::{TargetKey, TargetName};
use futures::FutureExt as _;
use http::{HeaderMap, StatusCode};
use hyper::body::Frame;
use rand::Rng as _;
use tokio::time::{timeout, Instant};

use super::{
    attempt::{send, OpenResponse},
    event_buffer::EventBuffer,
    lease::{record_responsive, record_unresponsive, Lease},
    peer_relay::PeerResponse,
    probed_wait::{ProbedWait, WaitOutcome},
    relocation,
    reply::{Broken, Reason},
    routed_request::RoutedRequest,
    run_copy::{new_run_room, CopiedRun, CopyLocation, RunCopy},
};

/// A stream of events that is relayed from engines to its caller.
pub(super) struct RelayedStream {
    pub(super) request: RoutedRequest,
    pub(super) events: EventBuffer,
    pub(super) current: Option<CurrentEngine>,
    /// The engine that was given up for another one, until that may have begun the stream.
    pub(super) previous: Option<CurrentEngine>,
    /// The response of another instance through which the stream is relayed instead.
    pub(super) peer: Option<PeerResponse>,
    /// Whether the engine that answered last resumed from a copy of the run's memory.
    pub(super) from_copy: bool,
    /// Whether the last engine's stream has ended completely.
    pub(super) is_complete: bool,
    /// Why the stream was not resumed when that was last tried.
    pub(super) resume_failure: Option<NextStep>,
    /// How often the stream was ordered to move, without those orders that were refused.
    pub(super) moves: u32,
}

/// The response head that the caller gets: that of the first engine, also if the stream is resumed
/// at another one later.
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) reason: Reason,
}

impl ResponseHead {
    fn new(response: &OpenResponse, reason: Reason) -> Self {
        Self {
            status: response.status,
            headers: response.headers.clone(),
            reason,
        }
    }
}

/// The engine at which a stream currently runs.
pub(super) struct CurrentEngine {
    pub(super) lease: Lease,
    pub(super) response: OpenResponse,
    silence_limits: SilenceLimits,
    /// The copy of the run's memory, or `None` if the engines make no copies.
    pub(super) run_copy: Option<RunCopy>,
    /// When it is checked next whether the stream should move to another engine.
    pub(super) next_check: Instant,
    event_timer: EventTimer,
}

/// A failed attempt, with the lease that it still holds.
struct FailedAttempt {
    lease: Lease,
    failure: AttemptFailure,
}

/// The error that no engine accepted the stream.
pub(super) struct NoEngine {
    /// What to do next.
    pub(super) next: NextStep,
    /// Whether an engine may accept the stream later.
    pub(super) is_temporary: bool,
}

/// How long an engine may take to refuse a stream. Beyond that it may have begun the stream.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Waits for the result of an attempt. Drops the engine that was given up for it as soon as the
/// attempt may have begun the stream elsewhere, and otherwise returns it as well.
async fn keep_until_begun<T>(
    attempt: impl Future<Output = Result<T, AttemptFailure>>,
    previous: Option<CurrentEngine>,
) -> (Result<T, AttemptFailure>, Option<CurrentEngine>) {
    let Some(previous) = previous else {
        return (attempt.await, None);
    };
    let mut attempt = pin!(attempt);
    match timeout(REFUSAL_TIMEOUT, attempt.as_mut()).await {
        Ok(Err(failure)) if failure.proves_not_run() => (Err(failure), Some(previous)),
        Ok(result) => (result, None),
        Err(_) => {
            drop(previous);
            (attempt.await, None)
        }
    }
}

impl RelayedStream {
    pub(super) fn new(mut request: RoutedRequest) -> Self {
        let last = headers::parse_caller_head(&request.caller_request.headers).last_event;
        request.has_begun = last.is_some();
        let events = EventBuffer::resume_after(last, &request.state.response_memory);
        Self {
            request,
            events,
            current: None,
            previous: None,
            peer: None,
            from_copy: false,
            is_complete: false,
            resume_failure: None,
            moves: 0,
        }
    }

    /// Tries engines until one has sent its first event, or until the failure is final.
    ///
    /// # Errors
    ///
    /// How the caller's request is to be answered if no engine started the stream.
    pub(super) async fn start(&mut self) -> Result<ResponseHead, NextStep> {
        let started = Instant::now();
        let copies: Vec<CopyLocation> = self.request.passed_copy.take().into_iter().collect();
        if copies.is_empty() && !self.request.prefers_peer() {
            self.check_time().await?;
            self.request.is_admitted = true;
        }
        self.find_engine(copies, true).await?;
        let latencies = &self.request.state.latencies;
        latencies.add(Latency::FirstEvent, started.elapsed());
        self.response_head().ok_or(NextStep::Failed)
    }

    fn response_head(&self) -> Option<ResponseHead> {
        if let Some(peer) = &self.peer {
            let reason = Reason::Peer(peer.address);
            return Some(ResponseHead::new(&peer.response, reason));
        }
        let current = self.current.as_ref()?;
        let reason = Reason::Relayed(current.lease.name.clone());
        Some(ResponseHead::new(&current.response, reason))
    }

    /// Checks that the stream can be completed within its deadline, and that its first event will
    /// be on time if it has not begun. Engines that hold its prompt do not need to read it, so they
    /// are looked up first.
    ///
    /// # Errors
    ///
    /// `TooLate` or `Overloaded` if it cannot.
    async fn check_time(&self) -> Result<(), NextStep> {
        let last = self.events.last_id().unwrap_or_default();
        // A caller that already has a part of the answer retries because its instance was lost,
        // possibly together with others, so this instance does not know where the prompt is.
        if last > 0 || self.request.lacking_time(last).is_some() {
            self.request.query_prompt_location().await;
        }
        let Some(needed) = self.request.lacking_time(last) else {
            return match last {
                0 => self.request.admit_stream(),
                _ => Ok(()),
            };
        };
        log::info!(
            request = self.request.caller_request.id.as_str(),
            last,
            read_ms = needed.read.as_millis() as u64,
            run_ms = needed.run.as_millis() as u64,
            left_ms = self.request.time_left().as_millis() as u64;
            "too late to be served"
        );
        Err(NextStep::TooLate)
    }

    /// Tries engines until one answers. Waits if no engine accepts the stream, until one returns,
    /// or until the retry budget allows another round. Engines that hold a copy of the run's memory
    /// are tried first.
    ///
    /// If `may_ask_now` is false, waits before the first round as well.
    ///
    /// # Errors
    ///
    /// What to do next if no engine was found in time.
    pub(super) async fn find_engine(
        &mut self,
        mut copies: Vec<CopyLocation>,
        may_ask_now: bool,
    ) -> Result<(), NextStep> {
        let started = Instant::now();
        let mut next_step = (!may_ask_now).then_some(NextStep::Failed);
        loop {
            if let Some(next) = next_step.take() {
                self.wait_for_retry(started, next).await?;
            }
            match self.try_engines(std::mem::take(&mut copies)).await {
                Ok(()) => return Ok(()),
                Err(no_engine) if !no_engine.is_temporary || self.previous.is_some() => {
                    return Err(no_engine.next);
                }
                Err(no_engine) => next_step = Some(no_engine.next),
            }
        }
    }

    /// Waits until engines may be tried again.
    ///
    /// # Errors
    ///
    /// Returns `next` once the stream has waited for as long as it may.
    async fn wait_for_retry(&mut self, started: Instant, next: NextStep) -> Result<(), NextStep> {
        let wait = self.engine_wait();
        let has_begun = self.events.forwarded() > 0;
        loop {
            if !wait.may_continue(started.elapsed(), has_begun)
                || self.request.time_left() < wait.poll_interval * 2
            {
                return Err(next);
            }
            tokio::time::sleep(wait.poll_interval).await;
            if self.request.start_retry_round() {
                return Ok(());
            }
        }
    }

    /// Tries each engine once until one answers, first those that hold a copy of the run's memory.
    async fn try_engines(&mut self, copies: Vec<CopyLocation>) -> Result<(), NoEngine> {
        let known_copy = copies.first().cloned();
        let mut copies = copies.into_iter();
        let mut is_retry = self.events.forwarded() > 0;
        loop {
            let allowed = self.request.check_losses().await;
            allowed.map_err(|next| NoEngine {
                next,
                is_temporary: false,
            })?;
            // A request that has not been sent again after refusals is known not to have run.
            if let Some(needed) = self.lacking_run_time() {
                self.record_too_late(None, needed);
                return Err(NoEngine {
                    next: self.request.step_too_late(),
                    is_temporary: false,
                });
            }
            let uses_copy =
                !self.request.is_partitioned() && self.request.losses.separation().is_none();
            let copy_holder = match uses_copy {
                true => self.lease_copy_holder(&mut copies).await,
                false => None,
            };
            let prefers_peer = copy_holder.is_none() && self.request.prefers_peer();
            if prefers_peer && self.start_at_peer(known_copy.as_ref()).await? {
                return Ok(());
            }
            if is_retry && copy_holder.is_none() {
                self.wait_retry_spread().await;
            }
            is_retry = true;
            let (lease, copy) = match copy_holder {
                Some((lease, copy)) => (Some(lease), Some(copy)),
                None => (self.request.lease_target(), None),
            };
            let Some(lease) = lease else {
                if self.request.may_use_peer() && self.start_at_peer(known_copy.as_ref()).await? {
                    return Ok(());
                }
                let is_cooling_down = self.request.cooling_down_until().is_some();
                return Err(NoEngine {
                    next: self.request.step_without_target(),
                    // The caller of a stream that has not begun is told when engines accept requests.
                    is_temporary: !is_cooling_down || self.events.forwarded() > 0,
                });
            };
            let failed_attempt = match self.try_engine(lease, copy).await {
                Ok(()) => return Ok(()),
                Err(failed_attempt) => failed_attempt,
            };
            self.events.discard_partial();
            let is_temporary = failed_attempt.failure.proves_not_run();
            let next = self
                .request
                .record_failure(&failed_attempt.lease, failed_attempt.failure)
                .await;
            match next {
                NextStep::Elsewhere => {}
                NextStep::Later => {
                    return Err(NoEngine {
                        next: NextStep::Failed,
                        is_temporary: true,
                    });
                }
                NextStep::NotRun | NextStep::Failed
                    if is_temporary
                        && self.request.may_use_peer()
                        && self.start_at_peer(known_copy.as_ref()).await? =>
                {
                    return Ok(());
                }
                next => return Err(NoEngine { next, is_temporary }),
            }
        }
    }

    /// Leases the next engine that holds a copy and accepts new work.
    async fn lease_copy_holder(
        &mut self,
        copies: &mut impl Iterator<Item = CopyLocation>,
    ) -> Option<(Lease, CopyLocation)> {
        for copy in copies {
            if let Some(ordered) = &copy.ordered
                && !ordered.is_current(&self.request.state).await
            {
                log::info!(
                    request = self.request.caller_request.id.as_str(),
                    from:% = ordered.from;
                    "copy not used, its engine started again"
                );
                continue;
            }
            if let Some(lease) = self.request.lease_copy_holder(copy.holder) {
                return Some((lease, copy));
            }
        }
        None
    }

    /// Sends the request to one engine and waits for its first event.
    async fn try_engine(
        &mut self,
        mut lease: Lease,
        copy: Option<CopyLocation>,
    ) -> Result<(), Box<FailedAttempt>> {
        let started = Instant::now();
        let backup = match self.will_move(lease.key, copy.as_ref()) {
            true => None,
            false => self.choose_backup_engine(lease.key),
        };
        let reading = self.request.reading_before(&lease, started);
        let previous = self.previous.take();
        let sending = self.send(&mut lease, backup, copy.as_ref());
        let (result, previous) = keep_until_begun(sending, previous).await;
        self.previous = previous;
        let from_copy = copy.is_some();
        let failed_attempt = |lease, failure| Err(Box::new(FailedAttempt { lease, failure }));
        let response = match result {
            Ok(response) => response,
            // The failed attempt's backup copy is not used: an engine that dies while it reads the
            // prompt has copied too little, and nearly all holders would refuse to resume from it.
            Err(failure) => return failed_attempt(lease, failure),
        };
        if response.status.is_server_error() && self.request.kind().may_repeat() {
            return failed_attempt(lease, AttemptFailure::Failed(response.status.as_u16()));
        }
        let is_success = response.status.is_success();
        let silence_limits = self.silence_limits(lease.key);
        let mut current = CurrentEngine {
            lease,
            response,
            silence_limits,
            run_copy: None,
            next_check: match from_copy {
                true => Instant::now() + relocation::MOVE_INTERVAL,
                false => Instant::now(),
            },
            event_timer: EventTimer::new(Instant::now()),
        };
        if is_success {
            if let Err(failure) = self.read_events(&mut current, true).await {
                return failed_attempt(current.lease, failure);
            }
            current.lease.record_begin();
            self.request.parts.record_begin(&current.lease);
            current.lease.record_prompt_read();
            if !from_copy {
                let key = current.lease.key;
                let took = started.elapsed();
                if !current.lease.had_prompt {
                    self.request.record_engine_reading(key, reading, took);
                }
                self.request.record_reading_time(reading, took);
            }
            current.event_timer = EventTimer::new(Instant::now());
            self.request.record_response(
                &current.lease,
                current.response.status,
                started.elapsed(),
            );
            current.run_copy = self.start_copy(&current.lease, backup);
        }
        log::info!(
            request = self.request.caller_request.id.as_str(),
            target = current.lease.name.as_str(),
            status = current.response.status.as_u16(),
            reading,
            with_copy = from_copy,
            last = self.events.last_id(),
            took_ms = started.elapsed().as_millis() as u64;
            "engine began"
        );
        self.request.forget_refusals(current.lease.key);
        self.current = Some(current);
        self.from_copy = from_copy;
        Ok(())
    }

    async fn send(
        &self,
        lease: &mut Lease,
        backup: Option<TargetKey>,
        copy: Option<&CopyLocation>,
    ) -> Result<OpenResponse, AttemptFailure> {
        let address = |key| self.request.state.view.address_of(key);
        let resume_from = copy.and_then(|copy| match &copy.ordered {
            Some(ordered) => Some(CopyName {
                address: ordered.from,
                handle: Some(&ordered.handle),
            }),
            None => address(copy.holder).map(|address| CopyName {
                address,
                handle: None,
            }),
        });
        let target = lease.name.clone();
        let time_left = self.request.time_left();
        let head = TargetRequestHead {
            account: self.request.account.as_ref(),
            time_left,
            target: &target,
            last_event: self.events.last_id(),
            backup: backup.and_then(address),
            resume_from,
            urgency: self.request.requirements.urgency,
        };
        let silence_limits = self.silence_limits(lease.key);
        let probed_wait = self.probed_wait(lease, silence_limits, true);
        let key = lease.key;
        let sending = send(
            &self.request.state,
            lease,
            &self.request.caller_request,
            &head,
            time_left,
        );
        let waiting = probed_wait.run(sending, || {
            self.request.try_give_up(AttemptFailure::Dead, false)
        });
        self.wait_first_event(key, waiting).await?
    }

    fn probed_wait(
        &self,
        lease: &Lease,
        silence_limits: SilenceLimits,
        is_first: bool,
    ) -> ProbedWait {
        let (state, max_dead) = (&self.request.state, self.max_dead_time());
        ProbedWait::new(state, lease, silence_limits, is_first, max_dead)
    }

    /// Returns how long an engine or instance may accept no connections while the stream cannot go
    /// elsewhere.
    pub(super) fn max_dead_time(&self) -> Duration {
        let wait = self.engine_wait();
        match self.events.forwarded() {
            0 => wait.before_first_event,
            _ => wait.after_first_event,
        }
    }

    /// Waits for the first event of an engine, for as long as the engine may need for all that it
    /// has to read, and beyond that until the stream can go elsewhere. The limit is updated while
    /// waiting.
    async fn wait_first_event<T>(
        &self,
        key: TargetKey,
        waiting: impl Future<Output = WaitOutcome<T>>,
    ) -> Result<T, AttemptFailure> {
        let mut waiting = pin!(waiting);
        let started = Instant::now();
        let mut wait = FirstEventWait::new(started);
        let mut was_silent = false;
        loop {
            let now = Instant::now();
            let end = now + self.request.time_left();
            let next_check = wait.update(self.silence_limits(key).first, now);
            if let Some(needed) = self.lacking_run_time() {
                // What has arrived already is not discarded.
                if let Some(outcome) = waiting.as_mut().now_or_never() {
                    return self.end_wait(key, outcome, was_silent);
                }
                self.record_too_late(Some(key), needed);
                return Err(AttemptFailure::TooLate);
            }
            if next_check.is_some() && now >= end {
                return Err(AttemptFailure::Expired);
            }
            let next_check = next_check
                .or_else(|| {
                    was_silent = true;
                    self.wait_on(key, started, end)
                })
                .ok_or(AttemptFailure::Silent)?;
            let waited = running_timeout_at(next_check.min(end), waiting.as_mut()).await;
            if let Ok(outcome) = waited {
                return self.end_wait(key, outcome, was_silent);
            }
        }
    }

    /// Returns the shortest time to run a stream with an urgency that has not begun, if that exceeds
    /// the time left. Its engine would read its prompt for nothing, while others wait for the memory.
    fn lacking_run_time(&self) -> Option<Duration> {
        self.request.requirements.urgency?;
        match self.events.last_id() {
            None => self.request.lacking_run_time(),
            Some(_) => None,
        }
    }

    fn record_too_late(&self, key: Option<TargetKey>, needed: Duration) {
        // The targets must not stay locked while the line is written.
        let target = key.and_then(|key| {
            let targets = self.request.state.view.targets();
            targets.get(key).map(|target| target.entry.name.clone())
        });
        log::info!(
            request = self.request.caller_request.id.as_str(),
            target = target.as_ref().map(TargetName::as_str),
            urgency = self.request.requirements.urgency.map(|urgency| urgency.level()),
            run_ms = needed.as_millis() as u64,
            left_ms = self.request.time_left().as_millis() as u64;
            "stream given up before its first event, too late to complete"
        );
        self.request.state.metrics.add(Counter::StreamsTooLate, 1);
    }

    /// Returns when an engine that is silent since `since` is checked again; `None` if it is given
    /// up, or if the request's time is over.
    fn wait_on(&self, key: TargetKey, since: Instant, end: Instant) -> Option<Instant> {
        let now = Instant::now();
        let wait = self.engine_wait();
        let keeps_last = self.events.forwarded() > 0 && now < since + wait.after_first_event;
        if now >= end || self.request.try_give_up(AttemptFailure::Silent, keeps_last) {
            return None;
        }
        record_unresponsive(&self.request.state, key, AttemptFailure::Silent);
        Some(now + wait.poll_interval)
    }

    fn end_wait<T>(
        &self,
        key: TargetKey,
        outcome: WaitOutcome<T>,
        was_silent: bool,
    ) -> Result<T, AttemptFailure> {
        let output = outcome.into_result()?;
        if was_silent {
            record_responsive(&self.request.state, key);
        }
        Ok(output)
    }

    /// Waits for a random time before a retry.
    ///
    /// When engines die, several instances place each engine's streams again within the same
    /// millisecond, before they receive each other's placements. Two prompts would then meet at one
    /// engine, and both would take seconds. The wait is short compared to the time that a prompt
    /// takes to be read.
    async fn wait_retry_spread(&self) {
        let max_wait = PlacementSchedule::retry_spread(self.request.state.group_size());
        let wait = rand::rng().random_range(Duration::ZERO..max_wait);
        tokio::time::sleep(wait).await;
    }

    fn engine_wait(&self) -> EngineWait {
        let route = &self.request.route;
        EngineWait::for_route(route.aim, route.gap_aim)
    }

    fn silence_limits(&self, key: TargetKey) -> SilenceLimits {
        let reading = self
            .request
            .state
            .view
            .targets()
            .reading(key, Instant::now());
        SilenceLimits::for_stream(reading, self.request.route.gap_aim)
    }

    fn choose_backup_engine(&self, main: TargetKey) -> Option<TargetKey> {
        let table = self.request.state.view.table();
        let engine = table
            .service(&self.request.requirements.service)?
            .engine
            .as_ref()?;
        if !engine.backups || !self.request.kind().may_repeat() {
            return None;
        }
        let state = &self.request.state;
        if new_run_room(state, &self.request.requirements).yields() {
            return None;
        }
        self.request.select_backup(main)
    }

    fn start_copy(&self, lease: &Lease, backup_holder: Option<TargetKey>) -> Option<RunCopy> {
        let table = self.request.state.view.table();
        let engine = table
            .service(&self.request.requirements.service)?
            .engine
            .as_ref()?;
        if !engine.copies || !self.request.kind().may_repeat() {
            return backup_holder.map(RunCopy::of_engine);
        }
        let source = CopiedRun {
            request: self.request.caller_request.id.clone(),
            engine: lease.key,
            address: lease.address,
            born: lease.born,
            requirements: self.request.requirements.clone(),
        };
        Some(RunCopy::start(&self.request.state, source, backup_holder))
    }

    /// Reads until there is a whole event to forward or the stream has ended.
    async fn read_events(
        &mut self,
        current: &mut CurrentEngine,
        is_first: bool,
    ) -> Result<(), AttemptFailure> {
        use http_body_util::BodyExt as _;
        let started = Instant::now();
        while !self.events.has_pending() && !self.is_complete {
            let silence_limits = current.silence_limits;
            let probed_wait = self.probed_wait(&current.lease, silence_limits, is_first);
            let key = current.lease.key;
            let waiting = probed_wait.run(current.response.body.frame(), || {
                self.request.try_give_up(AttemptFailure::Dead, false)
            });
            let frame = match is_first {
                true => self.wait_first_event(key, waiting).await?,
                false => {
                    let until = started + silence_limits.gap;
                    self.wait_next_event(key, waiting, until).await?
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let events = self.events.push(&frame)?;
                    self.request.has_begun = self.events.last_id().is_some();
                    if let Some(event_ms) = current.event_timer.record(events, Instant::now()) {
                        let mut targets = self.request.state.view.targets();
                        targets.record_event_time(current.lease.key, event_ms, Instant::now());
                    }
                }
                Some(Err(_)) => return Err(AttemptFailure::Broken),
                None if self.events.has_partial() => return Err(AttemptFailure::Broken),
                None => self.is_complete = true,
            }
        }
        Ok(())
    }

    /// Waits for the next event of an engine until `until`, and beyond that until the stream can go
    /// elsewhere.
    async fn wait_next_event<T>(
        &self,
        key: TargetKey,
        waiting: impl Future<Output = WaitOutcome<T>>,
        mut until: Instant,
    ) -> Result<T, AttemptFailure> {
        let mut waiting = pin!(waiting);
        let started = Instant::now();
        let end = started + self.request.deadline.remaining(started);
        let mut was_silent = false;
        loop {
            let waited = running_timeout_at(until.min(end), waiting.as_mut()).await;
            if let Ok(outcome) = waited {
                return self.end_wait(key, outcome, was_silent);
            }
            if Instant::now() < until {
                return Err(AttemptFailure::Expired);
            }
            was_silent = true;
            let next_check = self.wait_on(key, started, end);
            until = next_check.ok_or(AttemptFailure::Silent)?;
        }
    }

    /// Returns the next bytes for the caller, or `None` at the end of the stream.
    pub(super) async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        loop {
            if let Some(bytes) = self.events.take_pending() {
                return Some(Ok(Frame::data(bytes)));
            }
            if self.is_complete {
                self.finish();
                return None;
            }
            if let Some(peer) = self.peer.take() {
                if !self.continue_at_peer(peer).await {
                    return Some(Err(self.break_off()));
                }
                continue;
            }
            if !self.relocate().await {
                return Some(Err(self.break_off()));
            }
            if self.events.has_pending() {
                continue;
            }
            let mut current = self.current.take()?;
            match self.read_events(&mut current, false).await {
                Ok(()) => self.current = Some(current),
                Err(failure) => {
                    if !self.resume(current, failure).await {
                        return Some(Err(self.break_off()));
                    }
                }
            }
        }
    }

    /// Records that the stream cannot go on.
    fn break_off(&mut self) -> Broken {
        self.record_events();
        let status = self.response_head().map(|head| head.status.as_u16());
        let cause = match (self.resume_failure, status) {
            (Some(step), _) => format!("{step:?}"),
            (None, Some(status)) => format!("Status({status})"),
            (None, None) => "NoEngine".to_owned(),
        };
        self.request.record_broken_stream(&cause);
        Broken
    }

    fn record_events(&mut self) {
        self.request.events = self.events.forwarded();
        self.request.last_event = self.events.last_id();
    }

    /// Resumes the stream at another engine, and returns whether that succeeded.
    ///
    /// The connection to the lost engine is closed first, since two engines must not work on one
    /// request. If its run may still work, it is closed once another engine may have begun, and the
    /// stream stays if all refuse it.
    async fn resume(&mut self, current: CurrentEngine, failure: AttemptFailure) -> bool {
        let started = Instant::now();
        let copies = current.run_copy.as_ref().and_then(RunCopy::location);
        let copies: Vec<CopyLocation> = copies.into_iter().collect();
        let next = self.request.record_failure(&current.lease, failure).await;
        let may_still_work = matches!(failure, AttemptFailure::Silent | AttemptFailure::Dead);
        if may_still_work && next == NextStep::Elsewhere && !self.events.has_partial() {
            self.previous = Some(current);
        } else {
            drop(current);
            self.events.discard_partial();
        }
        let result = match next {
            NextStep::Elsewhere => self.find_engine(copies, true).await,
            NextStep::Later => self.find_engine(copies, false).await,
            next => Err(next),
        };
        if let (Err(_), Some(previous)) = (&result, self.previous.take()) {
            log::info!(
                request = self.request.caller_request.id.as_str(),
                target = previous.lease.name.as_str(),
                ended:? = failure,
                took_ms = started.elapsed().as_millis() as u64;
                "stream stays at its engine, no other accepts it"
            );
            self.request.forget_refusals(previous.lease.key);
            self.current = Some(previous);
            return true;
        }
        let has_succeeded = self.has_success_status();
        let state = &self.request.state;
        state.latencies.add(Latency::Resume, started.elapsed());
        if result.is_ok() {
            let counter = match self.from_copy {
                true => Counter::ResumedByCopy,
                false => Counter::ResumedByReading,
            };
            state.metrics.add(counter, 1);
        }
        self.resume_failure = result.as_ref().err().copied();
        log::info!(
            request = self.request.caller_request.id.as_str(),
            by_copy = self.from_copy,
            last = self.events.last_id(),
            is_well = has_succeeded,
            failed:? = result.err(),
            took_ms = started.elapsed().as_millis() as u64;
            "stream goes on"
        );
        result.is_ok() && has_succeeded
    }

    /// Returns whether the current engine, or the other instance, answered with a success status.
    pub(super) fn has_success_status(&self) -> bool {
        let head = self.response_head();
        head.is_some_and(|head| head.status.is_success())
    }

    fn finish(&mut self) {
        if let Some(peer) = self.peer.take() {
            peer.keep(&self.request.state);
        }
        if let Some(current) = self.current.take() {
            current.response.keep(&self.request.state, &current.lease);
            if let Some(copies) = current.run_copy {
                copies.finish();
            }
        }
        if let Some(last) = self.events.last_id() {
            self.request.record_event_count(last);
        }
        self.request.losses.forget();
        self.request.state.metrics.add(Counter::StreamsComplete, 1);
        log::info!(
            request = self.request.caller_request.id.as_str(),
            events = self.events.forwarded(),
            last = self.events.last_id();
            "stream complete"
        );
    }

    /// Takes the response of the current engine, which the caller of this method then reads itself.
    pub(super) fn take_response(&mut self) -> Option<OpenResponse> {
        let current = self.current.take().map(|current| current.response);
        current.or_else(|| self.peer.take().map(|peer| peer.response))
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        self.record_events();
    }
}
