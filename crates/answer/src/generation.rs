//! Drives one answer from its first choice of a target to its end.

use celerypond_types::{Attempt, TargetName, VersionName};
use tokio::time::Instant;

use crate::{
    outlet::Outlet,
    reader::{Loss, Reader},
    Choice, Chosen, Done, Driver, Effect, Event, Finish, Frame, GenerationLimits, Incomplete,
    Input, KeeperRecord, Link, Origin, Patience, Reason, Refusal, Request, Seal, Splice, Start,
    Stream, TakeOver, Verdict,
};

/// Drives one answer from its first choice of a target to its end.
///
/// All tokens of an answer are of one version: once a token was shown, each further attempt is of
/// the same version and starts with the exact tokens so far. If no target of that version is left,
/// the answer waits until its deadline and then fails; it never goes on with another version.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_answer::{
///     Driver, Effect, Generation, GenerationLimits, Input, Mode, Request, SealKey,
/// };
/// use celerypond_types::Digest;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let request = Request {
///     key: "r".into(),
///     body: Digest::of(b"{}"),
///     seed: 1,
///     limit: 100,
///     mode: Mode::Streamed,
///     deadline: now + Duration::from_secs(60),
///     instance: "a".into(),
/// };
/// let seal = request.seal(&SealKey::new([7; 32]));
/// let mut effects = Vec::new();
/// let mut answer = Generation::new(
///     request, GenerationLimits::default(), seal, Driver::new(1), now, &mut effects,
/// );
/// assert!(matches!(effects[..], [Effect::Choose(_)]));
/// effects.clear();
/// answer.step(now, Input::NoTarget, &mut effects);
/// assert!(effects.is_empty() && answer.due() > Some(now));
/// ```
#[derive(Debug)]
pub struct Generation {
    request: Request,
    limits: GenerationLimits,
    seal: Seal,
    /// The tokens so far, once a version was chosen.
    splice: Option<Splice>,
    outlet: Outlet,
    state: State,
    /// The highest attempt number of this driver.
    attempt: Attempt,
    /// The number of the next start, until they are used up.
    fresh: Option<Attempt>,
    links: u32,
    barren: u32,
    avoid: Vec<TargetName>,
    /// When an answer whose caller went away is given up.
    gone: Option<Instant>,
}

#[derive(Debug)]
enum State {
    /// Waits for a target; asks again at `retry`.
    Choosing {
        since: Instant,
        retry: Option<Instant>,
    },
    /// Reads a stream.
    Reading(Reader),
    /// Waits for the keepers' word on whether the stream may be stopped.
    Reviewing {
        due: Instant,
        reader: Option<Reader>,
    },
    /// Finished, failed or given up.
    Over,
}

impl Generation {
    /// Begins a new answer.
    pub fn new(
        request: Request,
        limits: GenerationLimits,
        seal: Seal,
        driver: Driver,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> Self {
        let outlet = Outlet::new(request.mode);
        let first = driver.first();
        let mut generation = Self::with(request, limits, seal, outlet, first, now);
        generation.fresh = Some(first);
        generation.choose(now, out);
        generation
    }

    /// Goes on with an answer that another instance began, or the same one for another connection.
    ///
    /// `patience` is that of the target of the plan's stream.
    pub fn take_over(
        request: Request,
        limits: GenerationLimits,
        seal: Seal,
        plan: TakeOver,
        patience: Patience,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> Self {
        let request = Request {
            seed: plan.origin.seed,
            ..request
        };
        let outlet = Outlet::after(
            request.mode,
            plan.shown,
            plan.digest,
            &plan.tokens,
            plan.text,
        );
        let stream = plan.origin.stream;
        let splice = Splice::new(
            request.key.clone(),
            plan.origin.version,
            stream.attempt,
            request.limit,
        );
        let mut generation = Self::with(request, limits, seal, outlet, plan.attempt, now);
        generation.splice = Some(splice.with_prefix(plan.tokens));
        generation.adopt(stream, plan.former, patience, now, out);
        generation
    }

    /// Takes an input and appends what to do.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Opened(link) => self.opened(now, link, out),
            Input::Refused(link, refusal) => self.refused(now, link, refusal, out),
            Input::Event(link, Event::Frame(frame)) => self.frame(now, link, frame, out),
            Input::Event(link, Event::Done(done)) => self.done(now, link, &done, out),
            Input::Malformed(link) => self.broken(now, link, out),
            Input::Closed(link) => self.closed(now, link, out),
            Input::Chosen(chosen) => self.chosen(now, chosen, out),
            Input::NoTarget => self.no_target(now, out),
            Input::CallerGone => self.gone = Some(now + self.limits.grace),
            Input::Fenced(record) => self.fenced(&record, out),
            Input::Reviewed(record) => self.reviewed(record.as_ref(), out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Returns when the next [`Input::Tick`] is needed, or `None` when the answer is over.
    pub fn due(&self) -> Option<Instant> {
        let due = match &self.state {
            State::Choosing { retry, .. } => *retry,
            State::Reading(reader) => Some(reader.due()),
            State::Reviewing { due, .. } => return Some(*due),
            State::Over => return None,
        };
        [due, self.gone, Some(self.request.deadline)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns whether the answer is over.
    pub const fn is_over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    /// Returns the tokens so far and their version, once one was chosen.
    pub const fn splice(&self) -> Option<&Splice> {
        self.splice.as_ref()
    }

    fn with(
        request: Request,
        limits: GenerationLimits,
        seal: Seal,
        outlet: Outlet,
        attempt: Attempt,
        now: Instant,
    ) -> Self {
        Self {
            request,
            limits,
            seal,
            splice: None,
            outlet,
            state: State::Choosing {
                since: now,
                retry: None,
            },
            attempt,
            fresh: Driver::retry(attempt),
            links: 0,
            barren: 0,
            avoid: Vec::new(),
            gone: None,
        }
    }

    /// Reads the stream of another driver from the first token that is not known.
    fn adopt(
        &mut self,
        stream: Stream,
        former: Option<celerypond_types::InstanceName>,
        patience: Patience,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let record = self.record(&stream, now);
        self.outlet.seal(self.seal.attempt(&record.origin));
        if let Some(former) = former.filter(|former| *former != self.request.instance) {
            out.push(Effect::Tell(former, record.clone()));
        }
        out.push(Effect::Keep(record));
        let link = self.link();
        out.push(Effect::Resume {
            link,
            stream: stream.clone(),
            from: self.next(),
        });
        self.state = State::Reading(Reader::resume(stream, link, patience, now));
    }

    fn choose(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let since = match self.state {
            State::Choosing { since, .. } => since,
            _ => now,
        };
        self.state = State::Choosing { since, retry: None };
        out.push(Effect::Choose(Choice {
            version: self.splice.as_ref().map(|splice| splice.version().clone()),
            avoid: self.avoid.clone(),
            resumes: self.splice.is_some(),
        }));
    }

    fn chosen(&mut self, now: Instant, chosen: Chosen, out: &mut Vec<Effect>) {
        if !matches!(self.state, State::Choosing { .. }) {
            return;
        }
        // A target of another version would splice two generations into one answer.
        if !self.fits(&chosen.version) {
            return self.no_target(now, out);
        }
        let Some(attempt) = self.fresh else {
            return self.fail(self.fruitless(), out);
        };
        self.attempt = attempt;
        self.fresh = Driver::retry(attempt);
        let stream = Stream {
            target: chosen.target,
            attempt,
        };
        self.follow(chosen.version.clone(), attempt);
        let record = self.record(&stream, now);
        self.outlet.seal(self.seal.attempt(&record.origin));
        let link = self.link();
        out.push(Effect::Start(Start {
            link,
            stream: stream.clone(),
            version: chosen.version,
            seed: self.request.seed,
            prefix: record.prefix.clone(),
        }));
        out.push(Effect::Keep(record));
        self.state = State::Reading(Reader::start(stream, link, chosen.patience, now));
    }

    fn fits(&self, version: &VersionName) -> bool {
        self.splice
            .as_ref()
            .is_none_or(|splice| splice.version() == version)
    }

    fn follow(&mut self, version: VersionName, attempt: Attempt) {
        match &mut self.splice {
            Some(splice) => splice.follow(attempt),
            None => {
                let key = self.request.key.clone();
                self.splice = Some(Splice::new(key, version, attempt, self.request.limit));
            }
        }
    }

    fn no_target(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let State::Choosing { since, .. } = self.state else {
            return;
        };
        // A target that was avoided may be back, and may be the last of its version.
        self.avoid.clear();
        let waited = now.duration_since(since) >= self.limits.cede;
        if waited && self.splice.is_some() && self.outlet.is_fresh() {
            return self.restart(now, out);
        }
        let retry = Some(now + self.limits.poll);
        self.state = State::Choosing { since, retry };
    }

    /// Starts from zero with any version; nothing of the old one was shown.
    fn restart(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.splice = None;
        self.outlet.clear();
        self.choose(now, out);
    }

    fn opened(&mut self, now: Instant, link: Link, out: &mut Vec<Effect>) {
        if let State::Reading(reader) = &mut self.state {
            out.extend(reader.opened(link, now).map(Effect::Close));
        }
    }

    fn refused(&mut self, now: Instant, link: Link, refusal: Refusal, out: &mut Vec<Effect>) {
        let State::Reading(reader) = &mut self.state else {
            return;
        };
        if reader.lose(link) == Loss::Stale {
            return;
        }
        // An engine that failed may have begun the stream; one that refused has not.
        match refusal {
            Refusal::Failed => self.barren += 1,
            Refusal::Busy | Refusal::Gone | Refusal::Version => {}
        }
        self.give_up(now, out);
    }

    fn frame(&mut self, now: Instant, link: Link, frame: Frame, out: &mut Vec<Effect>) {
        let (State::Reading(reader), Some(splice)) = (&mut self.state, &mut self.splice) else {
            return;
        };
        match splice.accept(&frame) {
            Verdict::Emit => {
                out.extend(reader.progress(link, now).map(Effect::Close));
                self.barren = 0;
                match self.outlet.take(frame, splice) {
                    Ok(effect) => out.extend(effect),
                    Err(error) => self.fail(error, out),
                }
            }
            verdict => self.judge(now, link, verdict, out),
        }
    }

    fn done(&mut self, now: Instant, link: Link, done: &Done, out: &mut Vec<Effect>) {
        let (State::Reading(_), Some(splice)) = (&self.state, &self.splice) else {
            return;
        };
        match splice.finish(done) {
            Verdict::Whole(reason) => match self.outlet.proof() {
                Ok(()) => self.finish(link, reason, out),
                Err(error) => self.fail(error, out),
            },
            verdict => self.judge(now, link, verdict, out),
        }
    }

    /// Acts on a verdict that is neither a token nor the end.
    fn judge(&mut self, now: Instant, link: Link, verdict: Verdict, out: &mut Vec<Effect>) {
        match verdict {
            Verdict::Gap { .. } | Verdict::Crossed => self.broken(now, link, out),
            Verdict::OtherVersion | Verdict::Contradiction { .. } => self.distrust(now, link, out),
            Verdict::Emit | Verdict::Whole(_) | Verdict::Duplicate | Verdict::Superseded { .. } => {
            }
        }
    }

    /// Reads on over another connection: this one mixes up its answers or drops some.
    fn broken(&mut self, now: Instant, link: Link, out: &mut Vec<Effect>) {
        let held = match &self.state {
            State::Reading(reader) => reader.holds(link),
            _ => false,
        };
        if held {
            out.push(Effect::Close(link));
            self.closed(now, link, out);
        }
    }

    /// Reads on from another engine: this one contradicts itself.
    fn distrust(&mut self, now: Instant, link: Link, out: &mut Vec<Effect>) {
        if matches!(&self.state, State::Reading(reader) if reader.holds(link)) {
            self.give_up(now, out);
        }
    }

    fn closed(&mut self, now: Instant, link: Link, out: &mut Vec<Effect>) {
        if let State::Reading(reader) = &mut self.state {
            let loss = reader.lose(link);
            self.lost(now, loss, out);
        }
    }

    fn lost(&mut self, now: Instant, loss: Loss, out: &mut Vec<Effect>) {
        match loss {
            Loss::Probe => self.probe(now, out),
            Loss::GiveUp => self.give_up(now, out),
            Loss::Stale | Loss::Wait => {}
        }
    }

    fn probe(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let link = self.link();
        let from = self.next();
        let State::Reading(reader) = &mut self.state else {
            return;
        };
        reader.probe(link, now);
        out.push(Effect::Resume {
            link,
            stream: reader.stream().clone(),
            from,
        });
    }

    /// Stops the stream and goes on elsewhere.
    fn give_up(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let State::Reading(reader) = &self.state else {
            return;
        };
        if reader.is_barren() {
            self.barren += 1;
        }
        self.avoid.push(reader.target().clone());
        stop(reader, out);
        if self.barren > self.limits.barren {
            return self.fail(self.fruitless(), out);
        }
        self.choose(now, out);
    }

    fn finish(&mut self, link: Link, reason: Reason, out: &mut Vec<Effect>) {
        let state = std::mem::replace(&mut self.state, State::Over);
        if let State::Reading(reader) = state {
            let others = reader.links().filter(|held| *held != link);
            out.extend(others.map(Effect::Close));
        }
        out.push(self.forget());
        let Some(splice) = &self.splice else { return };
        out.push(Effect::Finish(Finish {
            reason,
            length: splice.next(),
            version: splice.version().clone(),
            text: self.outlet.text().map(str::to_owned),
        }));
    }

    fn fail(&mut self, error: Incomplete, out: &mut Vec<Effect>) {
        if let State::Reading(reader) = std::mem::replace(&mut self.state, State::Over) {
            stop(&reader, out);
        }
        out.push(self.forget());
        out.push(Effect::Fail(error));
    }

    /// Gives up in favour of another driver, whose stream must go on.
    fn fenced(&mut self, record: &KeeperRecord, out: &mut Vec<Effect>) {
        if record.attempt() <= self.attempt || self.is_over() {
            return;
        }
        let state = std::mem::replace(&mut self.state, State::Over);
        if let State::Reading(reader)
        | State::Reviewing {
            reader: Some(reader),
            ..
        } = state
        {
            if reader.stream() == record.stream() {
                out.extend(reader.links().map(Effect::Close));
            } else {
                stop(&reader, out);
            }
        }
        out.push(Effect::Fail(Incomplete::Superseded {
            attempt: record.attempt(),
        }));
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if let State::Reviewing { due, .. } = self.state {
            if now >= due {
                self.abandon(false, out);
            }
            return;
        }
        if self.is_over() {
            return;
        }
        if now >= self.request.deadline {
            return self.fail(self.late(), out);
        }
        if self.gone.is_some_and(|gone| now >= gone) {
            return self.review(now, out);
        }
        match &self.state {
            State::Choosing {
                retry: Some(retry), ..
            } if now >= *retry => self.choose(now, out),
            State::Reading(reader) if now >= reader.due() => {
                let loss = reader.overdue();
                self.lost(now, loss, out);
            }
            _ => {}
        }
    }

    /// Asks the keepers before it stops a stream that nobody reads here.
    ///
    /// The failure: a caller's connection here is lost, and it reads on at another instance. The
    /// symptom would be that this instance stops the very stream that the other one reads. The
    /// keepers' record names a later driver if there is one; without their word nothing is stopped.
    fn review(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let state = std::mem::replace(&mut self.state, State::Over);
        let reader = match state {
            State::Reading(reader) => Some(reader),
            _ => None,
        };
        let due = now + self.limits.review;
        self.state = State::Reviewing { due, reader };
        out.push(Effect::Review(self.request.key.clone()));
    }

    fn reviewed(&mut self, record: Option<&KeeperRecord>, out: &mut Vec<Effect>) {
        if !matches!(self.state, State::Reviewing { .. }) {
            return;
        }
        match record {
            Some(record) if record.attempt() > self.attempt => self.fenced(record, out),
            _ => self.abandon(true, out),
        }
    }

    fn abandon(&mut self, sure: bool, out: &mut Vec<Effect>) {
        let state = std::mem::replace(&mut self.state, State::Over);
        if let State::Reviewing {
            reader: Some(reader),
            ..
        } = state
        {
            if sure {
                stop(&reader, out);
            } else {
                out.extend(reader.links().map(Effect::Close));
            }
        }
        if sure {
            out.push(self.forget());
        }
        out.push(Effect::Fail(Incomplete::Abandoned));
    }

    fn record(&self, stream: &Stream, now: Instant) -> KeeperRecord {
        let splice = self.splice.as_ref();
        let left = self.request.deadline.saturating_duration_since(now);
        KeeperRecord {
            key: self.request.key.clone(),
            origin: Origin {
                attempt: self.attempt,
                stream: stream.clone(),
                version: splice.map_or_else(|| "".into(), |splice| splice.version().clone()),
                seed: self.request.seed,
            },
            instance: self.request.instance.clone(),
            prefix: splice.map_or_else(Vec::new, |splice| splice.tokens().to_vec()),
            digest: splice.map(Splice::digest).unwrap_or_default(),
            text: self.outlet.text().unwrap_or_default().to_owned(),
            remaining: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn forget(&self) -> Effect {
        Effect::Forget(self.request.key.clone(), self.attempt)
    }

    fn late(&self) -> Incomplete {
        match (&self.state, &self.splice) {
            (State::Choosing { .. }, Some(splice)) => Incomplete::NoTarget {
                version: splice.version().clone(),
            },
            (State::Choosing { .. }, None) => Incomplete::NotStarted,
            _ => Incomplete::Deadline,
        }
    }

    const fn fruitless(&self) -> Incomplete {
        Incomplete::Barren {
            attempts: self.barren,
        }
    }

    fn next(&self) -> celerypond_types::Position {
        self.splice.as_ref().map(Splice::next).unwrap_or_default()
    }

    fn link(&mut self) -> Link {
        self.links += 1;
        Link(self.links)
    }
}

/// Closes the connections of a stream and stops it.
fn stop(reader: &Reader, out: &mut Vec<Effect>) {
    out.extend(reader.links().map(Effect::Close));
    out.push(Effect::Cancel(reader.stream().clone()));
}
