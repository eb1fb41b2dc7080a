//! A request on its way through targets.

use std::{sync::Arc, time::Duration};

use celerypond_relay::{
    AttemptFailure, AttemptState, NextStep, Prompt, PromptPart, RemainingEvents, RequestDeadline,
    Route, RouteKind, Selection, SilenceLimits, StaleWait, StreamRequest, TargetQuery, TimeNeeded,
    VersionChoice,
};
use celerypond_telemetry::Counter;
use celerypond_types::{AccountName, DataCentre, ServiceName, TargetKey};
use http::StatusCode;
use tokio::time::Instant;

use super::{attempt::CallerRequest, held_prompts, lease::Lease, state::RelayState};

/// What a request wants of its targets.
#[derive(Clone, Debug)]
pub(super) struct TargetRequirements {
    pub(super) service: ServiceName,
    affinity: Option<u64>,
    /// Tokens that it takes at most.
    tokens: u64,
    /// Tokens of its prompt.
    prompt: u64,
    /// The prompt part that belongs to the request alone.
    part: Option<PromptPart>,
    /// The memory of one engine, in tokens.
    capacity: Option<u64>,
    /// The most tokens of other prompts that an engine may have to read first.
    backlog: Option<u64>,
    /// The versions that may run it.
    choice: VersionChoice,
    near: DataCentre,
    lot: u64,
}

impl TargetRequirements {
    /// Returns what is wanted of a target besides those that were tried.
    pub(super) fn want<'a>(&'a self, tried: &'a [TargetKey]) -> TargetQuery<'a> {
        TargetQuery {
            service: &self.service,
            choice: &self.choice,
            local_data_centre: &self.near,
            tried,
            affinity: self.affinity,
            tie_breaker: self.lot,
            tokens: self.tokens,
            capacity: self.capacity,
            max_backlog: self.backlog,
        }
    }
}

/// A request on its way through targets.
pub(super) struct RoutedRequest {
    pub(super) state: Arc<RelayState>,
    pub(super) asked: CallerRequest,
    pub(super) route: Route,
    pub(super) account: Option<AccountName>,
    pub(super) clock: RequestDeadline,
    pub(super) wish: TargetRequirements,
    tried: Vec<TargetKey>,
    /// Engines that the run has left, the last one at the end. They have read its prompt.
    left_at: Vec<TargetKey>,
    runs: u32,
    refusals: u32,
    unreached: u32,
    /// Whether it has reached a target.
    has_arrived: bool,
}

impl RoutedRequest {
    pub(super) fn new(
        state: &Arc<RelayState>,
        asked: CallerRequest,
        route: &Route,
        service: ServiceName,
        account: Option<AccountName>,
        clock: RequestDeadline,
    ) -> Self {
        state.retries().record_request(&service, Instant::now());
        state.moves().record_request(&service, Instant::now());
        let choice = state.rollouts.versions().choose(&service, Instant::now());
        let wish = TargetRequirements {
            service,
            choice,
            affinity: None,
            tokens: 0,
            prompt: 0,
            part: None,
            capacity: None,
            backlog: None,
            near: state.settings.load().data_centre.clone(),
            lot: rand::random(),
        };
        Self {
            state: Arc::clone(state),
            asked,
            route: route.clone(),
            account,
            clock,
            wish,
            tried: Vec::new(),
            left_at: Vec::new(),
            runs: 0,
            refusals: 0,
            unreached: 0,
            has_arrived: false,
        }
    }

    /// Takes in the prompt of a request to an engine; plain services read none.
    pub(super) fn take_prompt(&mut self, prompt: Option<&Prompt>) {
        let table = self.state.known.table();
        let engine = table.service(&self.wish.service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        let (Some(prompt), Some(engine)) = (prompt, engine) else {
            return;
        };
        self.wish.part = prompt.parts.last().copied();
        self.wish.affinity = self.wish.part.map(|part| part.id);
        self.wish.prompt = prompt.prompt_tokens;
        self.wish.tokens = prompt.prompt_tokens + prompt.max_output_tokens;
        self.wish.capacity = Some(engine.tokens);
        self.wish.backlog = Some(SilenceLimits::max_backlog(self.route.aim));
    }

    pub(super) fn left(&self) -> Duration {
        self.clock.remaining(Instant::now())
    }

    /// Returns whether another target may be asked if the one that is asked now does not answer.
    pub(super) const fn may_ask_another(&self) -> bool {
        self.route.kind.may_repeat() && self.runs < self.route.attempts
    }

    pub(super) const fn kind(&self) -> RouteKind {
        self.route.kind
    }

    /// Waits until targets can be chosen by the list of them, or that takes too long.
    pub(super) async fn wait_targets(&self) {
        let wait = StaleWait::new(Instant::now(), self.left());
        self.state.wait_targets(&wait).await;
    }

    /// Takes a place at the best target that was not tried yet.
    pub(super) fn place(&mut self) -> Option<Lease> {
        let now = Instant::now();
        if let Some(lease) = self.place_at_left(now) {
            return Some(lease);
        }
        if !self.tried.is_empty() {
            let versions = self.state.rollouts.versions();
            self.wish.choice = versions.choose_for_retry(&self.wish.service);
        }
        let pick = self.pick(now)?;
        if self.wish.affinity.is_some() {
            let targets = self.state.known.targets();
            let name = targets
                .get(pick.key)
                .map(|target| target.entry.name.as_str());
            log::info!(
                request = self.asked.id.as_str(),
                target = name,
                reading = targets.reading(pick.key, now),
                tokens = self.wish.tokens,
                part = self.wish.affinity,
                is_doubtful = pick.is_doubtful,
                tried = self.tried.len();
                "engine chosen"
            );
        }
        self.place_at(pick.key)
    }

    /// Takes a place at an engine that the run has left and that is not likely to be dead. The prompt
    /// need not be read there again.
    fn place_at_left(&mut self, now: Instant) -> Option<Lease> {
        while let Some(key) = self.left_at.pop() {
            let targets = self.state.known.targets();
            let want = self.wish.want(&self.tried);
            let is_avoided = targets.get(key).is_none_or(|target| target.is_avoided(now));
            if is_avoided || !targets.is_usable(key) || targets.is_doubtful(key, &want, now) {
                continue;
            }
            drop(targets);
            return self.place_at(key);
        }
        None
    }

    /// Chooses a target of the versions that may run the request, or of others where those have none
    /// left and it is allowed.
    fn pick(&mut self, now: Instant) -> Option<Selection> {
        let targets = self.state.known.targets();
        let pick = targets.select(&self.wish.want(&self.tried), now);
        if pick.is_some() {
            return pick;
        }
        self.wish.choice = self.wish.choice.fallback()?;
        targets.select(&self.wish.want(&self.tried), now)
    }

    /// Takes in that a target gave the answer that its caller gets.
    pub(super) fn note(&self, lease: &Lease, status: StatusCode, took: Duration) {
        self.note_version(lease, status.is_server_error(), took);
    }

    fn note_version(&self, lease: &Lease, is_bad: bool, took: Duration) {
        let mut versions = self.state.rollouts.versions();
        let route = celerypond_route::hash(self.route.name.as_bytes());
        versions.record_response(&self.wish.service, &lease.version, route, is_bad, took);
    }

    /// Takes a place at the engine that holds a copy, unless it takes no new work any more.
    pub(super) fn place_at_copy(&mut self, key: TargetKey) -> Option<Lease> {
        let is_usable = self.state.known.targets().is_usable(key);
        let mut lease = is_usable.then(|| self.place_at(key)).flatten()?;
        // Nearly nothing is read there, so streams beside it need not give way.
        lease.has_read();
        Some(lease)
    }

    /// Takes in that the answer is complete.
    pub(super) fn note_length(&self, events: u64) {
        let mut targets = self.state.known.targets();
        targets
            .history
            .record_event_count(&self.wish.service, events);
    }

    /// Takes in how long the prompt took at an engine that had so many tokens to read, this stream's among them.
    pub(super) fn note_reading(&self, reading: u64, took: Duration) {
        let mut targets = self.state.known.targets();
        let history = &mut targets.history;
        let (service, took_ms) = (&self.wish.service, took.as_secs_f64() * 1_000.0);
        if reading <= self.wish.tokens {
            history.record_reading(service, self.wish.prompt, took_ms);
            return;
        }
        // What is read counts with its answer at full length.
        let prompt_share = self.wish.prompt as f64 / self.wish.tokens.max(1) as f64;
        let tokens = (reading as f64 * prompt_share) as u64;
        history.record_queued_reading(service, tokens, took_ms);
    }

    /// Returns whether an engine is known that holds the prompt.
    fn find_prompt(&self) -> bool {
        let mut targets = self.state.known.targets();
        let part = self.wish.part;
        part.is_some_and(|part| targets.locate_part(part, Instant::now()))
    }

    /// Asks engines whether they hold the prompt; instances that started a while ago do not know it.
    pub(super) async fn look_for_prompt(&self) {
        if self.find_prompt() {
            return;
        }
        let now = Instant::now();
        let want = self.wish.want(&[]);
        let keys = self.state.known.targets().engines_to_query(&want, now);
        let asked = keys.len();
        let asking = keys
            .into_iter()
            .map(|key| held_prompts::ask(Arc::clone(&self.state), key));
        futures::future::join_all(asking).await;
        let is_found = self.find_prompt();
        log::info!(
            request = self.asked.id.as_str(),
            asked,
            is_found,
            took_ms = now.elapsed().as_millis() as u64;
            "engines asked for a prompt"
        );
    }

    /// Returns the least time that the stream needs after the event `last`, if that is more than is left.
    pub(super) fn lacks_time(&self, last: u64) -> Option<TimeNeeded> {
        let asks = StreamRequest {
            prompt_tokens: self.wish.prompt,
            last_event: last,
            time_left: self.left(),
        };
        let targets = self.state.known.targets();
        let needs = targets.time_needed(&self.wish.want(&[]), &asks, Instant::now())?;
        (!needs.fits_within(asks.time_left)).then_some(needs)
    }

    /// Returns when the caller of a stream that has not begun may come back if engines have too much to read for it to be on
    /// time; nothing where it is to be placed.
    pub(super) fn backoff(&self) -> Option<Duration> {
        let now = Instant::now();
        let want = self.wish.want(&[]);
        let targets = self.state.known.targets();
        let pick = targets.select(&want, now)?;
        let queueing = targets.estimate_queue(pick.key, &want, self.wish.prompt, now)?;
        let backoff = queueing.backoff(self.route.aim)?;
        log::info!(
            request = self.asked.id.as_str(),
            wait_ms = queueing.wait.as_millis() as u64,
            read_ms = queueing.read.as_millis() as u64,
            backoff_ms = backoff.as_millis() as u64;
            "engines have too much to read"
        );
        Some(backoff)
    }

    /// Returns what the stream has ahead of it after its event `last`.
    pub(super) fn ahead(&self, last: u64) -> RemainingEvents {
        let targets = self.state.known.targets();
        let left = targets
            .history
            .typical_events_left(&self.wish.service, last);
        left.map_or_else(RemainingEvents::default, |events| RemainingEvents {
            events,
        })
    }

    /// Takes in that the run leaves a target for another one, at which it is the same run.
    pub(super) fn moves(&mut self, from: TargetKey) {
        self.runs = self.runs.saturating_sub(1);
        self.tried.retain(|key| *key != from);
        self.left_at.push(from);
    }

    /// Takes a place at a target; nothing while it may have left without this instance having heard of it.
    fn place_at(&mut self, key: TargetKey) -> Option<Lease> {
        if let Some(stale) = self.state.stale_targets() {
            self.state.metrics.add(Counter::PlacementsStale, 1);
            log::info!(
                request = self.asked.id.as_str(),
                stale:? = stale,
                revision = self.state.known.revision();
                "no target chosen by an outdated list"
            );
            return None;
        }
        let lease = match self.wish.affinity {
            Some(part) => Lease::take_stream(&self.state, key, part, self.wish.tokens)?,
            None => Lease::take(&self.state, key)?,
        };
        self.tried.push(key);
        self.runs += 1;
        Some(lease)
    }

    /// Chooses the engine that holds a copy of a run's memory.
    pub(super) fn backup_of(&self, main: TargetKey) -> Option<TargetKey> {
        self.state
            .known
            .targets()
            .select_backup(main, &self.wish.want(&self.tried), Instant::now())
    }

    /// Returns when a caller whose request has not run may come back: when a target that failed a
    /// moment ago is asked again.
    pub(super) fn come_back(&self) -> Option<Duration> {
        let targets = self.state.known.targets();
        targets.time_until_usable(&self.wish.service, Instant::now())
    }

    /// Allows targets to be asked once more, after a wait; returns whether the budget has it. What has
    /// reached no target so far needs none.
    pub(super) fn begin_again(&mut self) -> bool {
        if self.has_arrived && !self.may_send_again() {
            return false;
        }
        self.tried.clear();
        self.refusals = 0;
        self.unreached = 0;
        true
    }

    /// Returns what follows when no target is left.
    pub(super) const fn nowhere(&self) -> NextStep {
        match self.runs {
            0 => NextStep::NotRun,
            _ => NextStep::Failed,
        }
    }

    /// Returns whether the stream could be moved now, by the bound on moves.
    pub(super) fn may_move(&self) -> bool {
        let instances = self.state.instances();
        let mut moves = self.state.moves();
        moves.allows(&self.wish.service, instances, Instant::now())
    }

    /// Takes a move of the stream; returns whether the bound allows it.
    pub(super) fn take_move(&self) -> bool {
        let instances = self.state.instances();
        let mut moves = self.state.moves();
        moves.try_spend(&self.wish.service, instances, Instant::now())
    }

    fn may_send_again(&self) -> bool {
        let instances = self.state.instances();
        let mut retries = self.state.retries();
        retries.try_spend(&self.wish.service, instances, Instant::now())
    }

    /// Takes in how an attempt ended and decides what follows.
    pub(super) fn ended(&mut self, lease: &Lease, ended: AttemptFailure) -> NextStep {
        lease.ended(ended);
        if ended.blames_version() {
            self.note_version(lease, true, Duration::ZERO);
        }
        self.state.metrics.add(Counter::AttemptsEnded, 1);
        if ended.proves_not_run() {
            self.runs -= 1;
            if let Some(part) = self.wish.affinity {
                let mut targets = self.state.known.targets();
                targets.forget_prompt_location(lease.key, part);
            }
        }
        self.has_arrived |= !ended.proves_unsent();
        match ended {
            _ if ended.proves_unsent() => self.unreached += 1,
            _ => self.refusals += u32::from(ended.proves_not_run()),
        }
        let situation = AttemptState {
            kind: self.route.kind,
            runs: self.runs,
            attempts: self.route.attempts,
            refusals: self.refusals,
            unreached: self.unreached,
            time_left: self.left(),
        };
        let next = situation.next_step(ended, || self.may_send_again());
        log::info!(
            request = self.asked.id.as_str(),
            target = lease.name.as_str(),
            ended:? = ended,
            runs = self.runs,
            refusals = self.refusals,
            unreached = self.unreached,
            left_ms = self.left().as_millis() as u64,
            next:? = next;
            "attempt ended"
        );
        next
    }
}
