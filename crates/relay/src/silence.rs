//! How long a target may be silent before it is given up.

use std::time::Duration;

/// How long a target may be silent before it is probed, and before it is given up.
///
/// All engines of a data centre may fall silent at once, without closing connections, in the middle
/// of streams whose gaps must stay short. Giving up an engine late exceeds the gap target; giving
/// up an engine that is only slow makes its prompt be read twice. A new connection to a live engine
/// takes a few milliseconds and disturbs nothing, so silent engines are first probed with one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceLimits {
    /// The maximum time until the first event of a live engine.
    pub first: Duration,
    /// The maximum time between two events of a live engine.
    pub gap: Duration,
    /// The silence before the first event after which the engine is probed.
    pub probe_first: Duration,
    /// The silence between two events after which the engine is probed.
    pub probe_gap: Duration,
}

/// The share of the gap target that a live engine may be silent for. The rest is for connecting to
/// another engine, waiting for its next step, and the first step there.
const SILENCE_SHARE: f64 = 0.6;
/// The share of the gap target after which an engine is probed. Without failures, gaps reach a
/// fifth of the target while other prompts are read.
const PROBE_SHARE: f64 = 0.22;
/// The gap target if the route has none.
const DEFAULT_GAP_AIM: Duration = Duration::from_secs(2);
/// The number of tokens that an engine is assumed to read per millisecond between steps of other
/// streams.
const READ_TOKENS_PER_MS: f64 = 5.0;
/// The time for the first event beyond reading the prompt.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(800);
/// The maximum time for reading the prompts that are queued before a stream, as a multiple of its
/// target for the first event.
const MAX_BACKLOG_AIMS: f64 = 2.0;
/// The interval between two probes while a prompt is read.
const READING_PROBE_INTERVAL: Duration = Duration::from_millis(350);

impl SilenceLimits {
    /// Returns the limits for a stream at an engine that has to read so many tokens, including its
    /// own prompt.
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

    /// Returns the time that an engine takes for reading tokens.
    pub fn reading_time(tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / READ_TOKENS_PER_MS / 1_000.0)
    }

    /// Returns the maximum number of tokens of other prompts that an engine may have to read before
    /// a stream with this target for its first event. With more, the first event would be late by
    /// twice the target, and its prompt would be read for nothing.
    pub fn max_backlog(aim: Duration) -> u64 {
        (aim.as_secs_f64() * MAX_BACKLOG_AIMS * READ_TOKENS_PER_MS * 1_000.0) as u64
    }

    /// Returns the target for the first event of a stream with a maximum backlog.
    pub(crate) fn aim_of_backlog(tokens: u64) -> Duration {
        Self::reading_time(tokens).div_f64(MAX_BACKLOG_AIMS)
    }

    /// Returns the limit for an idempotent request to a plain service: the time after which another
    /// target can still respond, or all the time left if no other may be asked.
    pub fn for_request(aim: Duration, left: Duration, may_ask_another: bool) -> Duration {
        match may_ask_another {
            true => (aim * 2).min(left / 2),
            false => left,
        }
    }
}

/// How long a stream waits for an engine if none is available.
///
/// All engines of a service may be lost at once and return within seconds. A new stream can still
/// meet its latency target after the wait, and a stream that has begun would otherwise have to be
/// restarted by its caller.
pub struct EngineWait {
    /// The maximum wait of a stream before its first event.
    pub before_first_event: Duration,
    /// The maximum wait of a stream after its first event for an engine that accepts no connections.
    pub after_first_event: Duration,
    /// The maximum wait of a stream after its first event if it has no engine. Nothing is lost by
    /// waiting until the caller abandons the stream.
    pub without_engine: Duration,
    /// The interval between two attempts to find an engine.
    pub poll_interval: Duration,
}

/// The share of the target for the first event that may be spent waiting for an engine; the rest is
/// for reading the prompt.
const ENGINE_WAIT_SHARE: f64 = 0.4;
/// How long a stream waits after its first event for an engine that accepts no connections. Engines
/// start within one or two seconds.
const RESUMED_STREAM_WAIT: Duration = Duration::from_secs(6);
/// The gap between events after which callers abandon a stream: the longest of this time and of these
/// multiples of the targets for the first event and for gaps.
const MIN_ABANDON_GAP: Duration = Duration::from_secs(2);
const ABANDON_GAP_AIMS: u32 = 4;
const ABANDON_GAPS: u32 = 8;
/// The interval between two attempts to find an engine.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

impl EngineWait {
    /// Returns the wait on a route with this target for the first event, and for gaps between
    /// events.
    pub fn for_route(aim: Duration, gap_aim: Option<Duration>) -> Self {
        let gap_aim = gap_aim.unwrap_or_default();
        let abandoned = (aim * ABANDON_GAP_AIMS).max(gap_aim * ABANDON_GAPS);
        Self {
            before_first_event: aim.mul_f64(ENGINE_WAIT_SHARE),
            after_first_event: RESUMED_STREAM_WAIT,
            without_engine: abandoned.max(MIN_ABANDON_GAP),
            poll_interval: POLL_INTERVAL,
        }
    }

    /// Returns whether a stream that has waited for this time may wait for another interval.
    pub fn may_continue(&self, waited: Duration, has_begun: bool) -> bool {
        let most = if has_begun {
            self.without_engine
        } else {
            self.before_first_event
        };
        waited + self.poll_interval <= most
    }
}
