//! How long a target may be silent before it is given up.

use std::time::Duration;

use crate::Prompt;

/// How long a target may be silent before it is given up.
///
/// The load it answers: engines of one data centre fall silent at once, without a reset, in the
/// middle of streams whose pauses must stay short. Giving up late breaks the longest pause that is
/// still on time; giving up early moves a stream that was only slow beside the reading of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// The longest time until the first event.
    pub first: Duration,
    /// The longest time between two events.
    pub gap: Duration,
}

/// The part of the longest pause on time that is spent on finding a silent engine. The rest is for
/// the connection, the wait for a step and the first step at the other engine.
const GAP_SHARE: f64 = 0.45;
/// The bounds of the time between two events. Below, an engine that reads others' prompts between
/// its steps would be given up; above, the pause would be noticed anyhow.
const GAP_BOUNDS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// How many tokens an engine is taken to read in a millisecond when nothing is known of it.
const READ_TOKENS: f64 = 8.0;
/// What an engine needs for a first event beside its reading, with some requests ahead.
const FIRST_SLACK: Duration = Duration::from_millis(1_000);

impl Patience {
    /// Returns the patience with a stream.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::Patience;
    ///
    /// let patience = Patience::of_stream(None, Duration::from_secs(4), Some(Duration::from_millis(700)));
    /// assert_eq!(patience.gap, Duration::from_millis(315));
    /// ```
    pub fn of_stream(prompt: Option<&Prompt>, aim: Duration, gap_aim: Option<Duration>) -> Self {
        let tokens = prompt.map_or(0, |prompt| prompt.tokens_in);
        let reading = Duration::from_secs_f64(tokens as f64 / READ_TOKENS / 1_000.0);
        let (least, most) = GAP_BOUNDS;
        let gap = gap_aim.map_or(most, |aim| aim.mul_f64(GAP_SHARE).clamp(least, most));
        Self {
            first: (reading * 2 + FIRST_SLACK).max(aim / 4),
            gap,
        }
    }

    /// Returns the patience with an idempotent request whose response is one piece: the time in
    /// which another target can still answer on time.
    pub fn of_request(aim: Duration, left: Duration) -> Duration {
        (aim * 2).min(left / 2)
    }
}
