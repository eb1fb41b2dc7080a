//! The usage of an engine by the urgency of its streams.

use crate::Urgency;

/// The usage of an engine by the streams of one urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LevelUsage {
    /// Streams, including those whose prompts are being read.
    pub streams: u32,
    /// Streams whose prompts are being read.
    pub reading_prompts: u32,
    /// Tokens of these prompts, each with its maximum response.
    pub reading_tokens: u64,
    /// The maximum number of tokens in memory.
    pub tokens: u64,
}

impl LevelUsage {
    fn merge(&mut self, other: &Self) {
        self.streams += other.streams;
        self.reading_prompts += other.reading_prompts;
        self.reading_tokens += other.reading_tokens;
        self.tokens += other.tokens;
    }
}

/// The usage of an engine by the urgency of its streams.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{Urgency, UsageLevels};
///
/// let (urgent, other) = (Urgency::new(0), Urgency::new(1));
/// let mut levels = UsageLevels::default();
/// levels.add(urgent, 9_000, true);
/// levels.add(other, 8_000, false);
/// assert_eq!(levels.up_to(urgent).tokens, 9_000);
/// assert_eq!(levels.up_to(other).tokens, 17_000);
/// levels.mark_read(urgent, 9_000);
/// assert_eq!(levels.up_to(other).reading_tokens, 0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageLevels {
    levels: [LevelUsage; Urgency::LEVELS],
}

impl UsageLevels {
    /// Adds a stream.
    pub fn add(&mut self, urgency: Urgency, tokens: u64, is_reading: bool) {
        let level = &mut self.levels[urgency.level()];
        level.streams += 1;
        level.tokens += tokens;
        if is_reading {
            level.reading_prompts += 1;
            level.reading_tokens += tokens;
        }
    }

    /// Removes a stream that was added.
    pub fn remove(&mut self, urgency: Urgency, tokens: u64, is_reading: bool) {
        if is_reading {
            self.mark_read(urgency, tokens);
        }
        let level = &mut self.levels[urgency.level()];
        level.streams = level.streams.saturating_sub(1);
        level.tokens = level.tokens.saturating_sub(tokens);
    }

    /// Records that the prompt of a stream was read.
    pub fn mark_read(&mut self, urgency: Urgency, tokens: u64) {
        let level = &mut self.levels[urgency.level()];
        level.reading_prompts = level.reading_prompts.saturating_sub(1);
        level.reading_tokens = level.reading_tokens.saturating_sub(tokens);
    }

    /// Returns the usage by streams that are at least as urgent.
    pub fn up_to(&self, urgency: Urgency) -> LevelUsage {
        let mut usage = LevelUsage::default();
        let levels = self.levels.iter().take(urgency.level() + 1);
        levels.for_each(|level| usage.merge(level));
        usage
    }

    /// Returns the sum of two usages.
    pub(crate) fn merged(&self, other: &Self) -> Self {
        let mut sum = *self;
        let levels = sum.levels.iter_mut().zip(&other.levels);
        levels.for_each(|(level, other)| level.merge(other));
        sum
    }
}
