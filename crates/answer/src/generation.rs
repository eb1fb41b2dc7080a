//! The state machine that generates one answer.

mod choosing;
mod ending;
mod reading;

use celerypond_types::{Attempt, Position, TargetName};
use tokio::time::Instant;

use crate::{
    caller_output::CallerOutput, stream_reader::StreamReader, ChainDigest, ConnectionId, DriverId,
    Effect, Event, GenerationLimits, Input, KeeperRecord, Origin, Request, ResumeTokenCodec,
    StreamId, TakeOver, Timeouts, TokenSequence,
};

/// The state machine that generates one answer, from the first choice of a target to the end.
///
/// All tokens of an answer come from one version: once a token was delivered, each further attempt
/// uses the same version and starts with exactly the tokens so far. If no target of that version is
/// available, the answer waits until its deadline and then fails; it never continues with another
/// version.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_answer::{
///     DeliveryMode, DriverId, Effect, Generation, GenerationLimits, Input, Request,
///     ResumeTokenKey,
/// };
/// use celerypond_types::Digest;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let request = Request {
///     key: "r".into(),
///     body_digest: Digest::of(b"{}"),
///     seed: 1,
///     max_tokens: 100,
///     mode: DeliveryMode::Streamed,
///     deadline: now + Duration::from_secs(60),
///     instance: "a".into(),
/// };
/// let codec = request.resume_token_codec(&ResumeTokenKey::new([7; 32]));
/// let mut effects = Vec::new();
/// let mut answer = Generation::new(
///     request, GenerationLimits::default(), codec, DriverId::new(1), now, &mut effects,
/// );
/// assert!(matches!(effects[..], [Effect::ChooseTarget(_)]));
/// effects.clear();
/// answer.step(now, Input::NoTarget, &mut effects);
/// assert!(effects.is_empty() && answer.next_tick() > Some(now));
/// ```
#[derive(Debug)]
pub struct Generation {
    request: Request,
    limits: GenerationLimits,
    codec: ResumeTokenCodec,
    /// The tokens so far, or `None` until a version is chosen.
    sequence: Option<TokenSequence>,
    output: CallerOutput,
    state: State,
    /// The highest attempt number of this driver.
    attempt: Attempt,
    /// The number of the next attempt to start, or `None` when they are exhausted.
    next_attempt: Option<Attempt>,
    last_connection: u32,
    /// The number of attempts since the last new token that failed before their first one.
    failed_attempts: u32,
    /// Targets that failed since the last time that no target was available.
    excluded: Vec<TargetName>,
    /// Another stream that may have the tokens of the caller.
    fallback: Option<Origin>,
    /// When to store the record at the keepers at the latest, or `None` once it was stored.
    record_due: Option<Instant>,
    /// The number of tokens, and of bytes of text, in the record at the keepers.
    recorded: (u32, usize),
    /// When the last new token arrived.
    last_token_at: Instant,
    /// How many times no target was available since then.
    no_target_count: u32,
    /// When to abandon the answer because its caller disconnected.
    abandon_at: Option<Instant>,
}

#[derive(Debug)]
enum State {
    /// Waits for a target; asks for one again at `retry`.
    Choosing { retry: Option<Instant> },
    /// Reads a stream.
    Reading(StreamReader),
    /// Waits for the record of the keepers, which tells whether the stream may be cancelled.
    QueryingRecord {
        due: Instant,
        reader: Option<StreamReader>,
    },
    /// Finished, failed or abandoned.
    Over,
}

impl Generation {
    /// Starts a new answer.
    pub fn new(
        request: Request,
        limits: GenerationLimits,
        codec: ResumeTokenCodec,
        driver: DriverId,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> Self {
        let output = CallerOutput::new(request.mode);
        let first = driver.first_attempt();
        let mut generation = Self::from_parts(request, limits, codec, output, first, now);
        generation.next_attempt = Some(first);
        generation.record_due = Some(now + generation.limits.record_delay);
        generation.choose(now, out);
        generation
    }

    /// Continues an answer that another instance started, or this instance for another connection.
    ///
    /// `timeouts` are those of the target of the stream in `plan`.
    pub fn take_over(
        request: Request,
        limits: GenerationLimits,
        codec: ResumeTokenCodec,
        plan: TakeOver,
        timeouts: Timeouts,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> Self {
        let request = Request {
            seed: plan.origin.seed,
            ..request
        };
        let output = CallerOutput::resumed(
            request.mode,
            plan.delivered,
            plan.digest,
            &plan.prefix,
            plan.text,
        );
        let stream = plan.origin.stream;
        let sequence = TokenSequence::new(
            request.key.clone(),
            plan.origin.version,
            stream.attempt,
            request.max_tokens,
        );
        let mut generation = Self::from_parts(request, limits, codec, output, plan.attempt, now);
        generation.sequence = Some(sequence.with_prefix(plan.prefix));
        generation.fallback = plan.fallback;
        generation.resume_stream(stream, plan.previous_instance, timeouts, now, out);
        generation
    }

    /// Processes an input and appends the resulting effects to `out`.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Opened(connection) => self.opened(now, connection, out),
            Input::Refused(connection, refusal) => self.refused(now, connection, refusal, out),
            Input::Event(connection, Event::Frame(frame)) => {
                self.frame(now, connection, frame, out)
            }
            Input::Event(connection, Event::Done(done)) => self.done(now, connection, &done, out),
            Input::Malformed(connection) => self.replace_connection(now, connection, out),
            Input::Closed(connection) => self.closed(now, connection, out),
            Input::Chosen(chosen) => self.chosen(now, chosen, out),
            Input::NoTarget => self.no_target(now),
            Input::CallerDisconnected => self.abandon_at = Some(now + self.limits.caller_grace),
            Input::Fenced(record) => self.fenced(&record, out),
            Input::RecordQueried(record) => self.record_queried(record.as_ref(), out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Returns when the next [`Input::Tick`] is needed, or `None` if the answer has ended.
    pub fn next_tick(&self) -> Option<Instant> {
        let due = match &self.state {
            State::Choosing { retry, .. } => *retry,
            State::Reading(reader) => [Some(reader.deadline()), self.record_due]
                .into_iter()
                .flatten()
                .min(),
            State::QueryingRecord { due, .. } => return Some(*due),
            State::Over => return None,
        };
        [due, self.abandon_at, Some(self.request.deadline)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns whether the answer has ended.
    pub const fn is_over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    /// Returns the tokens so far and their version, or `None` until a version is chosen.
    pub const fn sequence(&self) -> Option<&TokenSequence> {
        self.sequence.as_ref()
    }

    fn from_parts(
        request: Request,
        limits: GenerationLimits,
        codec: ResumeTokenCodec,
        output: CallerOutput,
        attempt: Attempt,
        now: Instant,
    ) -> Self {
        Self {
            request,
            limits,
            codec,
            sequence: None,
            output,
            state: State::Choosing { retry: None },
            attempt,
            next_attempt: DriverId::next_attempt(attempt),
            last_connection: 0,
            failed_attempts: 0,
            excluded: Vec::new(),
            fallback: None,
            record_due: None,
            recorded: (0, 0),
            last_token_at: now,
            no_target_count: 0,
            abandon_at: None,
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if let State::QueryingRecord { due, .. } = self.state {
            if now >= due {
                self.abandon(false, out);
            }
            return;
        }
        if self.is_over() {
            return;
        }
        if now >= self.request.deadline {
            return self.fail(self.deadline_error(), out);
        }
        if self.abandon_at.is_some_and(|due| now >= due) {
            return self.query_record(now, out);
        }
        self.put_record_if_due(now, out);
        match &self.state {
            State::Choosing {
                retry: Some(retry), ..
            } if now >= *retry => self.choose(now, out),
            State::Reading(reader) if now >= reader.deadline() => {
                let action = reader.timed_out(now);
                self.handle_loss(now, action, out);
            }
            _ => {}
        }
    }

    /// Stores the record at the keepers once the answer is old enough.
    fn put_record_if_due(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let State::Reading(reader) = &self.state else {
            return;
        };
        if self.record_due.is_none_or(|due| now < due) {
            return;
        }
        // The stream has all tokens of the answer, so the record needs none.
        let record = KeeperRecord {
            prefix: Vec::new(),
            digest: ChainDigest::default(),
            text: String::new(),
            ..self.build_record(reader.stream(), now)
        };
        out.push(self.put_record(record));
    }

    fn build_record(&self, stream: &StreamId, now: Instant) -> KeeperRecord {
        let sequence = self.sequence.as_ref();
        let time_left = self.request.deadline.saturating_duration_since(now);
        KeeperRecord {
            key: self.request.key.clone(),
            origin: Origin {
                attempt: self.attempt,
                stream: stream.clone(),
                version: sequence.map_or_else(|| "".into(), |sequence| sequence.version().clone()),
                seed: self.request.seed,
            },
            instance: self.request.instance.clone(),
            prefix: sequence.map_or_else(Vec::new, |sequence| sequence.tokens().to_vec()),
            digest: sequence.map(TokenSequence::digest).unwrap_or_default(),
            text: self.output.text().unwrap_or_default().to_owned(),
            remaining: u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the effect that stores the record, with its prefix, at the keepers.
    fn put_record(&mut self, record: KeeperRecord) -> Effect {
        self.record_due = None;
        self.recorded = (record.position().0, record.text.len());
        Effect::PutRecord(record)
    }

    /// Returns the effect that removes the record, or `None` if none was stored.
    fn remove_record(&self) -> Option<Effect> {
        let remove = || Effect::RemoveRecord(self.request.key.clone(), self.attempt);
        self.record_due.is_none().then(remove)
    }

    fn next_position(&self) -> Position {
        self.sequence
            .as_ref()
            .map(TokenSequence::next)
            .unwrap_or_default()
    }

    fn next_connection(&mut self) -> ConnectionId {
        self.last_connection += 1;
        ConnectionId(self.last_connection)
    }
}
