//! A stream on its way from engines to its caller.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use celerypond_adapter::headers;
use celerypond_relay::{
    AttemptFailure, CopyName, EngineWait, EventTimer, FirstEventWait, NextStep, PlacementSchedule,
    SilenceLimits, TargetRequestHead,
};
use celerypond_telemetry::{Counter, Latency};
use celerypond_types::{TargetKey, TargetName};
use http::{HeaderMap, StatusCode};
use hyper::body::Frame;
use rand::Rng as _;
use tokio::time::{timeout_at, Instant};

use super::{
    attempt::{send, OpenResponse},
    event_buffer::EventBuffer,
    lease::Lease,
    probed_wait::{ProbedWait, WaitOutcome},
    relocation,
    reply::Broken,
    routed_request::RoutedRequest,
    run_copy::{CopiedRun, CopyLocation, RunCopy},
};

/// A stream on its way from engines to its caller.
pub(super) struct RelayedStream {
    pub(super) run: RoutedRequest,
    pub(super) passage: EventBuffer,
    pub(super) at: Option<CurrentEngine>,
    /// Whether the last engine that answered had a copy of the run's memory.
    pub(super) by_copy: bool,
    is_complete: bool,
}

/// The head that a caller gets: that of the first engine, also when the stream goes on elsewhere.
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) target: TargetName,
}

/// Where a stream runs.
pub(super) struct CurrentEngine {
    pub(super) lease: Lease,
    pub(super) opened: OpenResponse,
    patience: SilenceLimits,
    /// The copy of the run's memory; nothing where engines make none.
    pub(super) copies: Option<RunCopy>,
    /// When it is next asked whether the stream runs well here.
    pub(super) look: Instant,
    pace: EventTimer,
}

/// An attempt that ended, and what is left of it.
struct FailedAttempt {
    lease: Lease,
    ended: AttemptFailure,
}

/// No engine took the stream.
struct NoEngine {
    /// What follows.
    next: NextStep,
    /// Whether an engine may take it later.
    is_lack: bool,
}

impl RelayedStream {
    pub(super) fn new(run: RoutedRequest) -> Self {
        let last = headers::read_caller(&run.asked.headers).last_event;
        Self {
            run,
            passage: EventBuffer::after(last),
            at: None,
            by_copy: false,
            is_complete: false,
        }
    }

    /// Asks engines until one has sent a first event, or its failure is to be passed on.
    pub(super) async fn begin(&mut self) -> Result<ResponseHead, NextStep> {
        let begun = Instant::now();
        self.admit().await?;
        self.find(Vec::new(), true).await?;
        let latencies = &self.run.state.latencies;
        latencies.add(Latency::FirstEvent, begun.elapsed());
        let at = self.at.as_ref().ok_or(NextStep::Failed)?;
        Ok(ResponseHead {
            status: at.opened.status,
            headers: at.opened.headers.clone(),
            target: at.lease.name.clone(),
        })
    }

    /// Decides whether the stream can still be whole, and on time if it has not begun; engines that hold its prompt need not
    /// read it.
    ///
    /// # Errors
    ///
    /// `TooLate` or `Overloaded` where it cannot.
    async fn admit(&self) -> Result<(), NextStep> {
        let last = self.passage.last().unwrap_or_default();
        // Who has a part of the answer comes back after its instance was lost, or many were.
        if last > 0 || self.run.lacks_time(last).is_some() {
            self.run.look_for_prompt().await;
        }
        let Some(needs) = self.run.lacks_time(last) else {
            let backoff = (last == 0).then(|| self.run.backoff()).flatten();
            return backoff.map_or(Ok(()), |back| Err(NextStep::Overloaded(back)));
        };
        log::info!(
            request = self.run.asked.id.as_str(),
            last,
            read_ms = needs.read.as_millis() as u64,
            run_ms = needs.run.as_millis() as u64,
            left_ms = self.run.left().as_millis() as u64;
            "too late to be served"
        );
        Err(NextStep::TooLate)
    }

    /// Asks engines until one answers, and waits for one to return when none takes the stream, or for
    /// budget when that is used up. Engines that hold a copy of the run's memory go first.
    pub(super) async fn find(
        &mut self,
        mut copies: Vec<CopyLocation>,
        may_ask: bool,
    ) -> Result<(), NextStep> {
        let begun = Instant::now();
        let mut lack = (!may_ask).then_some(NextStep::Failed);
        loop {
            if let Some(next) = lack.take() {
                self.wait_to_ask(begun, next).await?;
            }
            match self.ask_all(std::mem::take(&mut copies)).await {
                Ok(()) => return Ok(()),
                Err(none) if !none.is_lack => return Err(none.next),
                Err(none) => lack = Some(none.next),
            }
        }
    }

    /// Waits until engines may be asked again.
    ///
    /// # Errors
    ///
    /// What follows when the stream has waited for as long as it may.
    async fn wait_to_ask(&mut self, begun: Instant, next: NextStep) -> Result<(), NextStep> {
        let wait = EngineWait::for_route(self.run.route.aim);
        let has_begun = self.passage.passed() > 0;
        loop {
            if !wait.may_continue(begun.elapsed(), has_begun)
                || self.run.left() < wait.poll_interval * 2
            {
                return Err(next);
            }
            tokio::time::sleep(wait.poll_interval).await;
            if self.run.begin_again() {
                return Ok(());
            }
        }
    }

    /// Asks engines until one answers; first those that hold a copy of the run's memory.
    async fn ask_all(&mut self, copies: Vec<CopyLocation>) -> Result<(), NoEngine> {
        let mut copies = copies.into_iter();
        let mut is_again = self.passage.passed() > 0;
        loop {
            let at_copy = self.place_at_copy(&mut copies);
            if is_again && at_copy.is_none() {
                self.spread_out().await;
            }
            is_again = true;
            let (lease, from) = match at_copy {
                Some((lease, copy)) => (Some(lease), Some(copy)),
                None => (self.run.place(), None),
            };
            let Some(lease) = lease else {
                return Err(NoEngine {
                    next: self.run.nowhere(),
                    is_lack: true,
                });
            };
            let lost = match self.ask(lease, from).await {
                Ok(()) => return Ok(()),
                Err(lost) => lost,
            };
            self.passage.drop_rest();
            let is_lack = lost.ended.proves_not_run();
            match self.run.ended(&lost.lease, lost.ended) {
                NextStep::Elsewhere => {}
                NextStep::Later => {
                    return Err(NoEngine {
                        next: NextStep::Failed,
                        is_lack: true,
                    });
                }
                next => return Err(NoEngine { next, is_lack }),
            }
        }
    }

    /// Takes a place at the next engine that holds a copy and takes new work.
    fn place_at_copy(
        &mut self,
        copies: &mut impl Iterator<Item = CopyLocation>,
    ) -> Option<(Lease, CopyLocation)> {
        copies.find_map(|copy| Some((self.run.place_at_copy(copy.holder)?, copy)))
    }

    /// Asks one engine, and waits for its first event.
    async fn ask(
        &mut self,
        mut lease: Lease,
        from: Option<CopyLocation>,
    ) -> Result<(), Box<FailedAttempt>> {
        let begun = Instant::now();
        let backup = match self.will_move(lease.key, from.as_ref()) {
            true => None,
            false => self.backup(lease.key),
        };
        let reading = self.run.state.known.targets().reading(lease.key, begun);
        let sent = self.send(&mut lease, backup, from.as_ref()).await;
        let by_copy = from.is_some();
        let lost = |lease, ended| Err(Box::new(FailedAttempt { lease, ended }));
        let opened = match sent {
            Ok(opened) => opened,
            // An engine that dies while it reads has copied too little; nearly all holders refuse to go on.
            Err(ended) => return lost(lease, ended),
        };
        if opened.status.is_server_error() && self.run.kind().may_repeat() {
            return lost(lease, AttemptFailure::Failed(opened.status.as_u16()));
        }
        let is_success = opened.status.is_success();
        let patience = self.patience(lease.key);
        let mut at = CurrentEngine {
            lease,
            opened,
            patience,
            copies: None,
            look: match by_copy {
                true => Instant::now() + relocation::REST,
                false => Instant::now(),
            },
            pace: EventTimer::new(Instant::now()),
        };
        if is_success {
            if let Err(ended) = self.read(&mut at, true).await {
                return lost(at.lease, ended);
            }
            at.lease.has_read();
            if !by_copy {
                self.run.note_reading(reading, begun.elapsed());
            }
            at.pace = EventTimer::new(Instant::now());
            self.run.note(&at.lease, at.opened.status, begun.elapsed());
            at.copies = self.keep_copy(&at.lease, backup);
        }
        log::info!(
            request = self.run.asked.id.as_str(),
            target = at.lease.name.as_str(),
            status = at.opened.status.as_u16(),
            reading,
            with_copy = by_copy,
            last = self.passage.last(),
            took_ms = begun.elapsed().as_millis() as u64;
            "engine began"
        );
        self.at = Some(at);
        self.by_copy = by_copy;
        Ok(())
    }

    async fn send(
        &self,
        lease: &mut Lease,
        backup: Option<TargetKey>,
        from: Option<&CopyLocation>,
    ) -> Result<OpenResponse, AttemptFailure> {
        let address = |key| self.run.state.known.address_of(key);
        let resume_from = from.and_then(|copy| match &copy.ordered {
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
        let left = self.run.left();
        let head = TargetRequestHead {
            account: self.run.account.as_ref(),
            time_left: left,
            target: &target,
            last_event: self.passage.last(),
            backup: backup.and_then(address),
            resume_from,
        };
        let patience = self.patience(lease.key);
        let listening = ProbedWait::new(&self.run.state, lease, patience, true);
        let (address, key) = (lease.address, lease.key);
        let sending = send(&self.run.state, lease, &self.run.asked, &head, left);
        self.hear_first(key, listening.hear(address, sending))
            .await?
    }

    /// Waits for what an engine says first, for as long as it may need for all that it reads.
    async fn hear_first<T>(
        &self,
        key: TargetKey,
        heard: impl Future<Output = WaitOutcome<T>>,
    ) -> Result<T, AttemptFailure> {
        let mut heard = pin!(heard);
        let mut wait = FirstEventWait::new(Instant::now());
        loop {
            let now = Instant::now();
            let end = now + self.run.left();
            let look = wait.update(self.patience(key).first, now);
            let look = look.filter(|_| now < end).ok_or(AttemptFailure::Silent)?;
            if let Ok(heard) = timeout_at(look.min(end), heard.as_mut()).await {
                return heard.said();
            }
        }
    }

    /// Waits for a moment that differs from stream to stream.
    ///
    /// The failure: engines die, and several instances place the streams of each again within the same
    /// millisecond, before they hear of each other. Two prompts then meet at one engine, and both take
    /// seconds. The wait is short beside a prompt's reading.
    async fn spread_out(&self) {
        let most = PlacementSchedule::retry_spread(self.run.state.sharers());
        let wait = rand::rng().random_range(Duration::ZERO..most);
        tokio::time::sleep(wait).await;
    }

    fn patience(&self, key: TargetKey) -> SilenceLimits {
        let reading = self.run.state.known.targets().reading(key, Instant::now());
        SilenceLimits::for_stream(reading, self.run.route.gap_aim)
    }

    fn backup(&self, main: TargetKey) -> Option<TargetKey> {
        let table = self.run.state.known.table();
        let engine = table.service(&self.run.wish.service)?.engine.as_ref()?;
        if !engine.backups || !self.run.kind().may_repeat() {
            return None;
        }
        self.run.backup_of(main)
    }

    fn keep_copy(&self, lease: &Lease, first: Option<TargetKey>) -> Option<RunCopy> {
        let table = self.run.state.known.table();
        let engine = table.service(&self.run.wish.service)?.engine.as_ref()?;
        if !engine.copies || !self.run.kind().may_repeat() {
            return first.map(RunCopy::of_engine);
        }
        let source = CopiedRun {
            request: self.run.asked.id.clone(),
            engine: lease.key,
            address: lease.address,
            wish: self.run.wish.clone(),
        };
        Some(RunCopy::keep(&self.run.state, source, first))
    }

    /// Reads until there is a whole event to pass on or the stream has ended.
    async fn read(&mut self, at: &mut CurrentEngine, is_first: bool) -> Result<(), AttemptFailure> {
        use http_body_util::BodyExt as _;
        let address = at.lease.address;
        let begun = Instant::now();
        while !self.passage.is_ready() && !self.is_complete {
            let listening = ProbedWait::new(&self.run.state, &at.lease, at.patience, is_first);
            let heard = listening.hear(address, at.opened.body.frame());
            let frame = match is_first {
                true => self.hear_first(at.lease.key, heard).await?,
                false => {
                    let until = begun + at.patience.gap.min(self.clock_left(begun));
                    let heard = timeout_at(until, heard).await;
                    heard.map_err(|_| AttemptFailure::Silent)?.said()?
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let events = self.passage.take_in(&frame)?;
                    if let Some(event_ms) = at.pace.record(events, Instant::now()) {
                        let mut targets = self.run.state.known.targets();
                        targets.record_event_time(at.lease.key, event_ms, Instant::now());
                    }
                }
                Some(Err(_)) => return Err(AttemptFailure::Broken),
                None if self.passage.has_rest() => return Err(AttemptFailure::Broken),
                None => self.is_complete = true,
            }
        }
        Ok(())
    }

    fn clock_left(&self, since: Instant) -> Duration {
        self.run.clock.remaining(since)
    }

    /// Returns the next bytes for the caller; nothing at the end.
    pub(super) async fn next(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        loop {
            if let Some(bytes) = self.passage.next() {
                return Some(Ok(Frame::data(bytes)));
            }
            if self.is_complete {
                self.finish();
                return None;
            }
            if !self.relocate().await {
                return Some(Err(Broken));
            }
            if self.passage.is_ready() {
                continue;
            }
            let mut at = self.at.take()?;
            match self.read(&mut at, false).await {
                Ok(()) => self.at = Some(at),
                Err(ended) => {
                    if !self.go_on(at, ended).await {
                        return Some(Err(Broken));
                    }
                }
            }
        }
    }

    /// Goes on at another engine; returns whether one was found.
    ///
    /// The connection to the lost engine is closed first: two engines must not work on one request.
    async fn go_on(&mut self, at: CurrentEngine, ended: AttemptFailure) -> bool {
        let begun = Instant::now();
        let copies = at.copies.as_ref().and_then(RunCopy::at);
        let copies: Vec<CopyLocation> = copies.into_iter().collect();
        drop(at.opened);
        drop(at.copies);
        self.passage.drop_rest();
        let next = self.run.ended(&at.lease, ended);
        drop(at.lease);
        let found = match next {
            NextStep::Elsewhere => self.find(copies, true).await,
            NextStep::Later => self.find(copies, false).await,
            next => Err(next),
        };
        let is_well = self.is_well();
        let state = &self.run.state;
        state.latencies.add(Latency::Resume, begun.elapsed());
        let counter = match (&found, self.by_copy) {
            (Ok(()), true) => Counter::ResumedByCopy,
            (Ok(()), false) => Counter::ResumedByReading,
            (Err(_), _) => Counter::StreamsBroken,
        };
        state.metrics.add(counter, 1);
        log::info!(
            request = self.run.asked.id.as_str(),
            by_copy = self.by_copy,
            last = self.passage.last(),
            is_well,
            failed:? = found.err(),
            took_ms = begun.elapsed().as_millis() as u64;
            "stream goes on"
        );
        found.is_ok() && is_well
    }

    /// Returns whether the engine at which the stream runs answered with success.
    pub(super) fn is_well(&self) -> bool {
        let at = self.at.as_ref();
        at.is_some_and(|at| at.opened.status.is_success())
    }

    fn finish(&mut self) {
        if let Some(at) = self.at.take() {
            at.opened.keep(&self.run.state, &at.lease);
            if let Some(copies) = at.copies {
                copies.finish();
            }
        }
        if let Some(last) = self.passage.last() {
            self.run.note_length(last);
        }
        self.run.state.metrics.add(Counter::StreamsComplete, 1);
        log::info!(
            request = self.run.asked.id.as_str(),
            events = self.passage.passed(),
            last = self.passage.last();
            "stream complete"
        );
    }

    /// Takes the response of the engine out, to be read by other means.
    pub(super) fn take_opened(&mut self) -> Option<OpenResponse> {
        self.at.take().map(|at| at.opened)
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        if let Some(at) = &self.at {
            self.run.state.metrics.add(Counter::StreamsLeft, 1);
            log::info!(
                request = self.run.asked.id.as_str(),
                target = at.lease.name.as_str(),
                events = self.passage.passed();
                "caller left its stream"
            );
        }
    }
}
