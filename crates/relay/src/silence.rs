//! How long a target may be silent before it is given up.

use std::time::Duration;

/// How long a target may be silent before it is asked for a sign of life, and given up.
///
/// The load it answers: engines of one data centre fall silent at once, without a reset, in the
/// middle of streams whose pauses must stay short. Giving up late breaks the longest pause that is
/// still on time; giving up an engine that is only slow reads its prompt twice. A new connection to
/// an engine that lives takes a few milliseconds and disturbs nobody, so silence is first checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceLimits {
    /// The longest time until the first event, though the engine lives.
    pub first: Duration,
    /// The longest time between two events, though the engine lives.
    pub gap: Duration,
    /// The silence before the first event after which the engine is asked for a sign of life.
    pub probe_first: Duration,
    /// The silence between two events after which the engine is asked for a sign of life.
    pub probe_gap: Duration,
}

/// The part of the longest pause on time that an engine may be silent though it lives. The rest is
/// for the connection, the wait for a step and the first step at the other engine.
const SILENCE_SHARE: f64 = 0.6;
/// The part of the longest pause on time after which an engine is asked. Pauses reach a fifth of it
/// beside the reading of others' prompts.
const PROBE_SHARE: f64 = 0.22;
/// The longest time between two events where the route names none.
const DEFAULT_GAP_AIM: Duration = Duration::from_secs(2);
/// How many tokens an engine is taken to read in a millisecond beside others' steps.
const READ_TOKENS_PER_MS: f64 = 5.0;
/// What an engine needs for a first event beside its reading.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(800);
/// How many times the aim for the first event an engine may need for the prompts before a stream's.
const MAX_BACKLOG_AIMS: f64 = 2.0;
/// The time between two questions during the reading of a prompt.
const READING_PROBE_INTERVAL: Duration = Duration::from_millis(350);

impl SilenceLimits {
    /// Returns the patience with a stream at an engine that reads so many tokens, its own prompt
    /// included.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::SilenceLimits;
    ///
    /// let limits = SilenceLimits::for_stream(5_000, Some(Duration::from_millis(700)));
    /// assert_eq!(limits.first, Duration::from_millis(1_800));
    /// assert_eq!(limits.gap, Duration::from_millis(420));
    /// ```
    pub fn for_stream(reading: u64, gap_aim: Option<Duration>) -> Self {
        let reading = Self::reading_time(reading);
        let gap_aim = gap_aim.unwrap_or(DEFAULT_GAP_AIM);
        Self {
            first: reading + FIRST_EVENT_SLACK,
            gap: gap_aim.mul_f64(SILENCE_SHARE),
            probe_first: READING_PROBE_INTERVAL,
            probe_gap: gap_aim.mul_f64(PROBE_SHARE),
        }
    }

    /// Returns how long an engine takes to read so many tokens.
    pub fn reading_time(tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / READ_TOKENS_PER_MS / 1_000.0)
    }

    /// Returns the most tokens of other prompts that an engine may have to read before a stream whose
    /// first event is to come within `aim`. Behind more it would be late by twice its aim, and its
    /// prompt would be read for nothing.
    pub fn max_backlog(aim: Duration) -> u64 {
        (aim.as_secs_f64() * MAX_BACKLOG_AIMS * READ_TOKENS_PER_MS * 1_000.0) as u64
    }

    /// Returns the patience with an idempotent request whose response is one piece: the time in
    /// which another target can still answer, or all that is left when no other may be asked.
    pub fn for_request(aim: Duration, left: Duration, may_ask_another: bool) -> Duration {
        match may_ask_another {
            true => (aim * 2).min(left / 2),
            false => left,
        }
    }
}

/// How long a stream waits for an engine when none takes it.
///
/// The load it answers: all engines of a service are lost at once and are back within seconds. A new
/// stream can still be on time, and one that was begun would have to be begun anew by its caller.
pub struct EngineWait {
    /// The longest wait of a stream without an event so far.
    pub before_first_event: Duration,
    /// The longest wait of a stream that was begun.
    pub after_first_event: Duration,
    /// The time between two looks.
    pub poll_interval: Duration,
}

/// The part of the aim for the first event that may be spent on waiting for an engine; the rest is for
/// reading the prompt.
const ENGINE_WAIT_SHARE: f64 = 0.4;
/// How long a begun stream waits. Callers leave a stream after a longer pause, and engines start
/// within a second or two.
const RESUMED_STREAM_WAIT: Duration = Duration::from_secs(6);
/// The time between two looks for an engine.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

impl EngineWait {
    /// Returns the wait for a route whose first event is to come within `aim`.
    pub fn for_route(aim: Duration) -> Self {
        Self {
            before_first_event: aim.mul_f64(ENGINE_WAIT_SHARE),
            after_first_event: RESUMED_STREAM_WAIT,
            poll_interval: POLL_INTERVAL,
        }
    }

    /// Returns whether a stream that has waited so long waits on.
    pub fn may_continue(&self, waited: Duration, has_begun: bool) -> bool {
        let most = if has_begun {
            self.after_first_event
        } else {
            self.before_first_event
        };
        waited + self.poll_interval <= most
    }
}
