//! Routes a request to targets: chooses and leases them, and records what they measure.

use std::{
    sync::{atomic::AtomicBool, Arc},
    time::Duration,
};

use celerypond_relay::{
    AttemptFailure, Prompt, PromptPart, RemainingEvents, RequestDeadline, Route, RouteKind,
    Selection, SilenceLimits, StaleWait, StreamRequest, TargetQuery, TimeNeeded, Urgency,
    VersionChoice,
};
use celerypond_telemetry::Counter;
use celerypond_types::{AccountName, DataCentre, ServiceName, TargetKey, TargetName};
use http::StatusCode;
use tokio::time::Instant;

use super::{
    attempt::CallerRequest,
    held_prompts,
    lease::Lease,
    open_request::{Progress, RequestRecord},
    prompt_parts::PromptParts,
    request::Origin,
    request_losses::RequestLosses,
    run_copy::CopyLocation,
    state::RelayState,
};

/// The time over which callers retry after targets accept requests again, so that they do not all
/// return at the same moment.
const COOLDOWN_RETRY_SPREAD: Duration = Duration::from_secs(1);

/// What a request requires of the targets that it may be sent to.
#[derive(Clone, Debug)]
pub(super) struct TargetRequirements {
    pub(super) service: ServiceName,
    pub(super) affinity: Option<u64>,
    /// The maximum number of tokens of prompt and answer.
    pub(super) tokens: u64,
    /// The number of tokens of the prompt.
    pub(super) prompt_tokens: u64,
    /// The last part of the prompt, which only this request has.
    prompt_part: Option<PromptPart>,
    /// The memory of one engine, in tokens.
    capacity: Option<u64>,
    /// The maximum number of tokens of other prompts that an engine may have to read first.
    max_backlog: Option<u64>,
    /// The versions of the service that may run the request.
    version_choice: VersionChoice,
    /// Whether the caller has waited for too long for the response to be on time.
    pub(super) is_late: bool,
    /// The urgency, which stays that of the request's admission; `None` if all requests of the
    /// service are equally urgent.
    pub(super) urgency: Option<Urgency>,
    /// The number of live instances.
    instances: usize,
    local_data_centre: DataCentre,
    tie_breaker: u64,
    /// The latency target.
    aim: Duration,
    /// Whether the request may be repeated.
    may_repeat: bool,
}

impl TargetRequirements {
    /// Returns the query for a target that excludes those that were tried already.
    pub(super) fn query<'a>(&'a self, tried: &'a [TargetKey]) -> TargetQuery<'a> {
        TargetQuery {
            service: &self.service,
            choice: &self.version_choice,
            local_data_centre: &self.local_data_centre,
            tried,
            affinity: self.affinity,
            tie_breaker: self.tie_breaker,
            tokens: self.tokens,
            prompt_tokens: self.prompt_tokens,
            capacity: self.capacity,
            max_backlog: self.max_backlog,
            is_late: self.is_late,
            urgency: self.urgency,
            instances: self.instances,
            aim: self.aim,
            may_repeat: self.may_repeat,
        }
    }
}

/// A request while it is routed to targets, with the state that decides about retries.
pub(super) struct RoutedRequest {
    pub(super) state: Arc<RelayState>,
    pub(super) caller_request: CallerRequest,
    pub(super) route: Route,
    pub(super) account: Option<AccountName>,
    pub(super) deadline: RequestDeadline,
    pub(super) requirements: TargetRequirements,
    pub(super) losses: RequestLosses,
    pub(super) parts: PromptParts,
    pub(super) tried: Vec<TargetKey>,
    /// Engines that the run has moved away from, the most recent one last. They have read its
    /// prompt.
    previous_engines: Vec<TargetKey>,
    pub(super) runs: u32,
    /// The number of these at targets that ended, which do not count as attempts.
    pub(super) ended_runs: u32,
    pub(super) refusals: u32,
    pub(super) unreached: u32,
    /// Whether an attempt may have reached a target.
    pub(super) has_reached_target: bool,
    /// Whether a target accepted no connection.
    pub(super) has_failed_connection: bool,
    /// Whether the caller of a stream has a part of the response.
    pub(super) has_begun: bool,
    /// Whether the next retry has already been spent from the budget.
    pub(super) has_spent_retry: AtomicBool,
    pub(super) origin: Origin,
    /// Whether its stream was admitted, here or at the instance that relays it.
    pub(super) is_admitted: bool,
    record: Arc<RequestRecord>,
    /// The target that was leased last.
    last_target: Option<TargetName>,
    /// When the first target was leased.
    first_attempt: Option<Instant>,
    /// The number of events of a stream that were sent to the caller, and the id of the last one
    /// that was received. Set when the stream ends.
    pub(super) events: u64,
    pub(super) last_event: Option<u64>,
    /// How the last failed attempt ended.
    pub(super) last_failure: Option<AttemptFailure>,
    /// The copy of the run's memory, if another instance has passed one on.
    pub(super) passed_copy: Option<CopyLocation>,
}

impl RoutedRequest {
    pub(super) fn new(
        state: &Arc<RelayState>,
        caller_request: CallerRequest,
        prompt: Option<&Prompt>,
        route: &Route,
        service: ServiceName,
        account: Option<AccountName>,
        (deadline, record): (RequestDeadline, &Arc<RequestRecord>),
    ) -> Self {
        let origin = record.origin;
        // The instance that got the request from its caller has counted it.
        if origin == Origin::Caller {
            state.retries().record_request(&service, Instant::now());
        }
        state.moves().record_request(&service, Instant::now());
        let version_choice = state.rollouts.versions().choose(&service, Instant::now());
        let losses = RequestLosses::new(state, &caller_request, prompt, account.as_ref(), origin);
        let parts = PromptParts::new(state, &service, prompt);
        let requirements = TargetRequirements {
            service,
            version_choice,
            affinity: None,
            tokens: 0,
            prompt_tokens: 0,
            prompt_part: None,
            capacity: None,
            max_backlog: None,
            is_late: false,
            urgency: None,
            instances: state.instance_count(),
            local_data_centre: state.settings.load().data_centre.clone(),
            tie_breaker: rand::random(),
            aim: route.aim,
            may_repeat: route.kind.may_repeat(),
        };
        let mut request = Self {
            state: Arc::clone(state),
            caller_request,
            route: route.clone(),
            account,
            deadline,
            requirements,
            losses,
            parts,
            tried: Vec::new(),
            previous_engines: Vec::new(),
            runs: 0,
            ended_runs: 0,
            refusals: 0,
            unreached: 0,
            has_reached_target: false,
            has_failed_connection: false,
            has_begun: false,
            has_spent_retry: AtomicBool::new(false),
            origin,
            is_admitted: false,
            record: Arc::clone(record),
            last_target: None,
            first_attempt: None,
            events: 0,
            last_event: None,
            last_failure: None,
            passed_copy: None,
        };
        request.set_prompt(prompt);
        request
    }

    fn progress(&self) -> Progress {
        Progress {
            route: self.route.name.clone(),
            account: self.account.clone(),
            deadline: self.deadline,
            is_stream: matches!(self.route.kind, RouteKind::Stream { .. }),
            target: self.last_target.clone(),
            first_attempt: self.first_attempt,
            runs: self.runs,
            events: self.events,
            last_event: self.last_event,
            failure: self.last_failure,
        }
    }

    /// Records that the stream cannot go on.
    pub(super) fn record_broken_stream(&self, cause: &str) {
        self.record.record_broken_stream(&self.progress(), cause);
    }

    /// Sets the prompt of a request to an engine. Plain services have no prompts, so it is ignored
    /// for them.
    fn set_prompt(&mut self, prompt: Option<&Prompt>) {
        let table = self.state.view.table();
        let engine = table.service(&self.requirements.service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        let (Some(prompt), Some(engine)) = (prompt, engine) else {
            return;
        };
        self.requirements.prompt_part = prompt.parts.last().copied();
        self.requirements.affinity = self.requirements.prompt_part.map(|part| part.id);
        self.requirements.prompt_tokens = prompt.prompt_tokens;
        self.requirements.tokens = prompt.prompt_tokens + prompt.max_output_tokens;
        self.requirements.capacity = Some(engine.tokens);
        self.requirements.max_backlog = Some(SilenceLimits::max_backlog(self.route.aim));
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.remaining(Instant::now())
    }

    pub(super) const fn kind(&self) -> RouteKind {
        self.route.kind
    }

    /// Waits until the list of targets is recent enough to choose from, or until the wait takes too
    /// long.
    pub(super) async fn wait_targets(&self) {
        let wait = StaleWait::new(Instant::now(), self.time_left());
        self.state.wait_targets(&wait).await;
    }

    /// Leases the best target that was not tried yet.
    pub(super) fn lease_target(&mut self) -> Option<Lease> {
        let now = Instant::now();
        if let Some(key) = self.select_apart(now) {
            let lease = self.acquire_lease(key)?;
            log::info!(
                request = self.caller_request.id.as_str(),
                target = lease.name.as_str();
                "engine chosen apart from requests that lost the same engines"
            );
            return Some(lease);
        }
        if let Some(lease) = self.lease_previous_engine(now) {
            return Some(lease);
        }
        if !self.tried.is_empty() {
            let versions = self.state.rollouts.versions();
            self.requirements.version_choice =
                versions.choose_for_retry(&self.requirements.service);
        }
        let Some(selection) = self.select(now) else {
            self.record_hold(now);
            return None;
        };
        if self.requirements.affinity.is_some() {
            let targets = self.state.view.targets();
            let name = targets
                .get(selection.key)
                .map(|target| target.entry.name.as_str());
            let query = self.requirements.query(&self.tried);
            let expected_ms = targets.expected_ms(selection.key, &query, now);
            log::info!(
                request = self.caller_request.id.as_str(),
                target = name,
                reading = targets.reading(selection.key, now),
                expected_ms = expected_ms,
                tokens = self.requirements.tokens,
                part = self.requirements.affinity,
                is_doubtful = selection.is_doubtful,
                tried = self.tried.len();
                "engine chosen"
            );
        }
        self.acquire_lease(selection.key)
    }

    /// Selects an engine for a stream that runs apart from others.
    fn select_apart(&self, now: Instant) -> Option<TargetKey> {
        self.requirements.affinity?;
        let separation = self.losses.separation()?;
        let targets = self.state.view.targets();
        targets.select_apart(&self.requirements.query(&self.tried), separation, now)
    }

    /// Leases an engine that the run has moved away from, unless it is likely to be dead. The
    /// prompt does not have to be read there again.
    fn lease_previous_engine(&mut self, now: Instant) -> Option<Lease> {
        while let Some(key) = self.previous_engines.pop() {
            let targets = self.state.view.targets();
            let query = self.requirements.query(&self.tried);
            let is_avoided = targets.get(key).is_none_or(|target| target.is_avoided(now));
            if is_avoided || !targets.is_usable(key) || targets.is_doubtful(key, &query, now) {
                continue;
            }
            drop(targets);
            let mut lease = self.acquire_lease(key)?;
            lease.had_prompt = true;
            return Some(lease);
        }
        None
    }

    /// Counts the request if it has no target because all want none, or have as many as they accept.
    fn record_hold(&self, now: Instant) {
        let (service, instances) = (&self.requirements.service, self.requirements.instances);
        let targets = self.state.view.targets();
        if targets.all_cooling_until(service, now).is_some() {
            self.state.metrics.add(Counter::CooledDown, 1);
            return;
        }
        let wait = targets.time_until_rate_allows(service, instances, 0.0, now);
        if wait.is_some() {
            self.state.metrics.add(Counter::RateLimited, 1);
        }
    }

    /// Returns until when all targets of the service want no requests; `None` if one may get some.
    pub(super) fn cooling_down_until(&self) -> Option<Instant> {
        let targets = self.state.view.targets();
        targets.all_cooling_until(&self.requirements.service, Instant::now())
    }

    /// Selects a target of the versions that may run the request, or of other versions if those
    /// have none left and that is allowed.
    fn select(&mut self, now: Instant) -> Option<Selection> {
        let targets = self.state.view.targets();
        let selection = targets.select(&self.requirements.query(&self.tried), now);
        if selection.is_some() {
            return selection;
        }
        self.requirements.version_choice = self.requirements.version_choice.fallback()?;
        targets.select(&self.requirements.query(&self.tried), now)
    }

    /// Records that a target gave the response that is relayed to the caller.
    pub(super) fn record_response(&self, lease: &Lease, status: StatusCode, elapsed: Duration) {
        self.record_version_result(lease, status.is_server_error(), elapsed);
    }

    pub(super) fn record_version_result(&self, lease: &Lease, is_bad: bool, elapsed: Duration) {
        let mut versions = self.state.rollouts.versions();
        let route = celerypond_route::hash(self.route.name.as_bytes());
        versions.record_response(
            &self.requirements.service,
            &lease.version,
            route,
            is_bad,
            elapsed,
        );
    }

    /// Leases an engine that holds a copy, unless it no longer accepts new work.
    pub(super) fn lease_copy_holder(&mut self, key: TargetKey) -> Option<Lease> {
        let mut lease = self.acquire_lease(key)?;
        // With the copy hardly anything is left to read, so the engine's other streams are not
        // delayed.
        lease.record_prompt_read();
        Some(lease)
    }

    /// Records the number of events of a complete answer.
    pub(super) fn record_event_count(&self, events: u64) {
        let mut targets = self.state.view.targets();
        targets
            .history
            .record_event_count(&self.requirements.service, events);
    }

    /// Records how long it took to read the prompt at an engine that had this number of tokens to
    /// read, including those of this stream.
    pub(super) fn record_reading_time(&self, reading: u64, elapsed: Duration) {
        let mut targets = self.state.view.targets();
        let history = &mut targets.history;
        let (service, took_ms) = (&self.requirements.service, elapsed.as_secs_f64() * 1_000.0);
        if reading <= self.requirements.tokens {
            history.record_reading(service, self.requirements.prompt_tokens, took_ms);
            return;
        }
        history.record_queued_reading(service, self.queued_tokens(reading), took_ms);
    }

    /// Records the same for the pace of this engine, which had not read the prompt before.
    pub(super) fn record_engine_reading(&self, key: TargetKey, reading: u64, elapsed: Duration) {
        let took_ms = elapsed.as_secs_f64() * 1_000.0;
        let is_queued = reading > self.requirements.tokens;
        let tokens = match is_queued {
            true => self.queued_tokens(reading),
            false => self.requirements.prompt_tokens,
        };
        let mut targets = self.state.view.targets();
        targets.record_engine_reading(key, tokens, is_queued, took_ms, Instant::now());
    }

    /// Returns the prompt tokens among tokens to read. Those count each request with the full length
    /// of its answer.
    fn queued_tokens(&self, reading: u64) -> u64 {
        let prompt_tokens = self.requirements.prompt_tokens;
        let prompt_share = prompt_tokens as f64 / self.requirements.tokens.max(1) as f64;
        (reading as f64 * prompt_share) as u64
    }

    /// Returns whether an engine that holds the prompt is known.
    fn locate_prompt(&self) -> bool {
        let mut targets = self.state.view.targets();
        let part = self.requirements.prompt_part;
        part.is_some_and(|part| targets.locate_part(part, Instant::now()))
    }

    /// Queries engines for the prompts that they hold if no holder is known, as in an instance that
    /// started recently.
    pub(super) async fn query_prompt_location(&self) {
        if self.locate_prompt() {
            return;
        }
        let now = Instant::now();
        let query = self.requirements.query(&[]);
        let keys = self.state.view.targets().engines_to_query(&query, now);
        let queried = keys.len();
        let queries = keys
            .into_iter()
            .map(|key| held_prompts::query(Arc::clone(&self.state), key));
        futures::future::join_all(queries).await;
        let is_found = self.locate_prompt();
        log::info!(
            request = self.caller_request.id.as_str(),
            asked = queried,
            is_found,
            took_ms = now.elapsed().as_millis() as u64;
            "engines asked for a prompt"
        );
    }

    /// Returns the minimum time that the stream needs after the event `last`, if that exceeds the
    /// time left.
    pub(super) fn lacking_time(&self, last: u64) -> Option<TimeNeeded> {
        let needed = self.time_needed(last)?;
        (!needed.fits_within(self.time_left())).then_some(needed)
    }

    /// Returns the minimum time from the first event of the stream to its end; zero if too few
    /// streams were observed.
    pub(super) fn min_run_time(&self) -> Duration {
        self.time_needed(0)
            .map_or(Duration::ZERO, |needed| needed.run)
    }

    fn time_needed(&self, last: u64) -> Option<TimeNeeded> {
        let stream_request = StreamRequest {
            prompt_tokens: self.requirements.prompt_tokens,
            last_event: last,
            time_left: self.time_left(),
        };
        let targets = self.state.view.targets();
        targets.time_needed(
            &self.requirements.query(&[]),
            &stream_request,
            Instant::now(),
        )
    }

    /// Returns the shortest time from the first event of the stream to its end, if that exceeds the
    /// time left.
    pub(super) fn lacking_run_time(&self) -> Option<Duration> {
        let (all, prompt) = (self.requirements.tokens, self.requirements.prompt_tokens);
        let targets = self.state.view.targets();
        let max_output = all.saturating_sub(prompt);
        let run = targets.shortest_run(&self.requirements.service, max_output)?;
        (run > self.time_left()).then_some(run)
    }

    /// Returns when the caller of a stream that has not begun should retry, if engines have too
    /// much to read for its first event to be on time. Returns `None` if the stream can be placed.
    pub(super) fn overload_backoff(&self) -> Option<Duration> {
        let now = Instant::now();
        let query = self.requirements.query(&[]);
        let targets = self.state.view.targets();
        let selection = targets.select(&query, now)?;
        let queueing =
            targets.estimate_queue(selection.key, &query, self.requirements.prompt_tokens, now)?;
        let backoff = queueing.backoff(self.route.aim)?;
        log::info!(
            request = self.caller_request.id.as_str(),
            wait_ms = queueing.wait.as_millis() as u64,
            read_ms = queueing.read.as_millis() as u64,
            backoff_ms = backoff.as_millis() as u64;
            "engines have too much to read"
        );
        Some(backoff)
    }

    /// Returns the estimated number of events that follow the event `last`.
    pub(super) fn remaining_events(&self, last: u64) -> RemainingEvents {
        let targets = self.state.view.targets();
        let events_left = targets
            .history
            .typical_events_left(&self.requirements.service, last);
        events_left.map_or_else(RemainingEvents::default, |events| RemainingEvents {
            events,
        })
    }

    /// Records that the run moves from a target to another one, where it continues as the same run.
    pub(super) fn record_move(&mut self, from: TargetKey) {
        self.runs = self.runs.saturating_sub(1);
        self.tried.retain(|key| *key != from);
        self.previous_engines.push(from);
    }

    /// Returns whether an engine is known to have read the prompt.
    fn holds_prompt(&self, key: TargetKey) -> bool {
        let targets = self.state.view.targets();
        let part = self.requirements.affinity;
        let holder = part.and_then(|part| targets.holder(part, Instant::now()));
        let target = targets.get(key).map(|target| target.name_hash);
        let is_holder = holder.is_some() && holder == target;
        is_holder || self.previous_engines.contains(&key)
    }

    /// Leases a target. Returns `None` while the list of targets is outdated, because the target
    /// may have left without this instance having been told.
    fn acquire_lease(&mut self, key: TargetKey) -> Option<Lease> {
        if let Some(stale) = self.state.stale_targets() {
            self.state.metrics.add(Counter::PlacementsStale, 1);
            log::info!(
                request = self.caller_request.id.as_str(),
                stale:? = stale,
                revision = self.state.view.targets_revision();
                "list of targets is outdated, no target chosen"
            );
            return None;
        }
        let had_prompt = self.holds_prompt(key);
        let mut lease = match self.requirements.affinity {
            Some(part) => {
                Lease::for_stream(&self.state, key, part, &self.requirements, self.has_begun)?
            }
            None => Lease::for_request(&self.state, key, &self.requirements)?,
        };
        lease.confirms_connection = !self.route.kind.may_repeat();
        lease.had_prompt = had_prompt;
        self.tried.push(key);
        self.runs += 1;
        self.last_target = Some(lease.name.clone());
        self.first_attempt.get_or_insert_with(Instant::now);
        Some(lease)
    }

    /// Selects the engine that is to hold the backup copy of a run's memory.
    pub(super) fn select_backup(&self, main: TargetKey) -> Option<TargetKey> {
        self.state.view.targets().select_backup(
            main,
            &self.requirements.query(&self.tried),
            Instant::now(),
        )
    }

    /// Returns when a caller may retry whose request has not run because all targets want none; `None`
    /// if one may get some.
    pub(super) fn cooldown_retry_after(&self) -> Option<Duration> {
        let until = self.cooling_down_until()?;
        let spread = COOLDOWN_RETRY_SPREAD.mul_f64(rand::random());
        Some(until.saturating_duration_since(Instant::now()) + spread)
    }

    /// Returns when a caller whose request has not run for another reason may retry, which is when a
    /// target accepts requests again. While queues are long, the caller's response would be late, and
    /// it is only served if others leave capacity, so it retries as late as it can.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let now = Instant::now();
        let (service, instances) = (&self.requirements.service, self.requirements.instances);
        let targets = self.state.view.targets();
        if targets.is_limited(service) {
            return Some(self.time_left());
        }
        let rate_wait = targets.time_until_rate_allows(service, instances, rand::random(), now);
        rate_wait.or_else(|| {
            let query = self.requirements.query(&[]).send_query();
            let until = targets.service_hold(service, query, now)?.until?;
            Some(until.saturating_duration_since(now))
        })
    }

    /// Returns whether the budget of moves currently allows one.
    pub(super) fn may_move(&self) -> bool {
        let instances = self.state.instance_count();
        let (urgency, service) = (self.requirements.urgency, &self.requirements.service);
        let mut moves = self.state.moves();
        moves.allows_ranked(urgency, service, instances, Instant::now())
    }

    /// Spends a move from the budget, and returns whether the budget allows it.
    pub(super) fn try_spend_move(&self) -> bool {
        let instances = self.state.instance_count();
        let (urgency, service) = (self.requirements.urgency, &self.requirements.service);
        let mut moves = self.state.moves();
        moves.try_spend_ranked(urgency, service, instances, Instant::now())
    }
}

impl Drop for RoutedRequest {
    fn drop(&mut self) {
        self.record.set_progress(self.progress());
    }
}
