//! Where the streams of all instances run.

use std::{borrow::Cow, collections::HashMap, time::Duration};

use celerypond_types::TargetName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{IdleLimit, SendCounts, Tally};

/// How long an instance's list holds without a new one. Lists are sent again each second, so three
/// of them were lost, or the instance is gone and its streams with it.
const PLACEMENTS_TTL: Duration = Duration::from_millis(3_500);

/// How long a prompt part is looked for where it was read. Engines drop what was used least
/// recently, and most callers come back within seconds.
const PROMPT_LOCATION_TTL: Duration = Duration::from_secs(20);

/// A stream of one instance and the engine where it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The hash of the engine's name.
    pub target: u64,
    /// The prompt part that belongs to the request alone.
    pub part: u64,
    /// Tokens that it takes at most.
    pub tokens: u32,
    /// Whether its prompt is still being read.
    pub is_reading: bool,
}

/// All streams of one instance, as it tells the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placements {
    /// The run of the instance.
    pub origin: u64,
    /// Rises with each list of this run; a later list replaces an earlier one.
    pub sequence: u64,
    /// The streams.
    pub streams: Vec<Placement>,
    /// The hashes of the names of targets that took no connection a moment ago. A list need not name
    /// what the one before named.
    pub dead: Vec<u64>,
    /// Engines that were observed under another name than before.
    pub adopted: Vec<RestartReport>,
    /// What came of requests at targets lately; empty if nothing changed.
    pub tallies: Vec<(u64, Tally)>,
    /// How long connections may rest; empty if nothing changed.
    pub rests: Vec<IdleLimit>,
    /// What the instance sent to each service lately.
    pub sends: Vec<SendCounts>,
    /// How fast engines make events; empty if nothing changed.
    pub paces: Vec<(u64, f32)>,
}

/// A prompt part and the engine that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptLocation {
    /// The prompt part that belongs to a request alone.
    pub part: u64,
    /// The hash of the engine's name.
    pub target: u64,
}

/// An engine that was observed under another name than before, as it restarted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartReport {
    /// The hash of the name before.
    pub previous_hash: u64,
    /// The name.
    pub name: TargetName,
    /// The time since the engine answered under the name, in milliseconds.
    pub age_ms: u32,
}

impl Placements {
    /// Adds the time for which the list may have waited unread to the ages in it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::{RestartReport, Placements};
    ///
    /// let adopted = vec![RestartReport { previous_hash: 7, name: "e-1".into(), age_ms: 100 }];
    /// let mut list = Placements { adopted, ..Placements::default() };
    /// list.add_age(Duration::from_millis(250));
    /// assert_eq!(list.adopted[0].age_ms, 350);
    /// ```
    pub fn add_age(&mut self, waited: Duration) {
        let waited = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        for adoption in &mut self.adopted {
            adoption.age_ms = adoption.age_ms.saturating_add(waited);
        }
    }
}

/// What streams of other instances take of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineUsage {
    /// Streams that run or are read.
    pub streams: u32,
    /// Streams whose prompts are being read.
    pub reading_prompts: u32,
    /// Tokens of prompts that are being read.
    pub reading_tokens: u64,
    /// Tokens in memory, at most.
    pub tokens: u64,
}

/// Where the streams of other instances run.
///
/// The load it answers: several instances place streams at once, each by its own counts alone, and
/// two prompts meet at one engine while others are idle. Each then takes twice the time to be read.
/// Each instance tells the whole list of its few streams whenever it changes, so a lost message is
/// made good by the next one.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{PeerStreams, Placement, Placements};
/// use tokio::time::Instant;
///
/// let mut streams = PeerStreams::default();
/// let stream = Placement { target: 7, part: 1, tokens: 9_000, is_reading: true };
/// let list = Placements { origin: 1, sequence: 1, streams: vec![stream], ..Placements::default() };
/// let now = Instant::now();
/// streams.merge(list, now);
/// assert_eq!(streams.usage(now)[&7].reading_tokens, 9_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerStreams {
    lists: HashMap<u64, ReceivedPlacements>,
    /// What the streams of all lists take. Kept beside them, as each placement asks for it three times
    /// and a sum of all lists takes most of a placement's time.
    usage_sums: HashMap<u64, EngineUsage>,
    /// Where prompt parts were read last, and when that was heard.
    parts: HashMap<u64, (u64, Instant)>,
}

#[derive(Clone, Debug)]
struct ReceivedPlacements {
    sequence: u64,
    at: Instant,
    streams: Vec<Placement>,
}

impl PeerStreams {
    /// Takes in the list of another instance; an older one than known is dropped.
    pub fn merge(&mut self, list: Placements, now: Instant) {
        let known = self.lists.get(&list.origin);
        if known.is_some_and(|known| known.sequence >= list.sequence) {
            return;
        }
        for stream in &list.streams {
            self.record_prompt_location(stream.part, stream.target, now);
            self.usage_sums
                .entry(stream.target)
                .or_default()
                .add(stream);
        }
        let heard = ReceivedPlacements {
            sequence: list.sequence,
            at: now,
            streams: list.streams,
        };
        if let Some(previous) = self.lists.insert(list.origin, heard) {
            self.subtract(&previous.streams);
        }
    }

    fn subtract(&mut self, streams: &[Placement]) {
        for stream in streams {
            if let Some(taken) = self.usage_sums.get_mut(&stream.target) {
                taken.remove(stream);
                if taken.streams == 0 {
                    self.usage_sums.remove(&stream.target);
                }
            }
        }
    }

    /// Notes that a prompt part is at an engine.
    pub fn record_prompt_location(&mut self, part: u64, target: u64, now: Instant) {
        self.parts.insert(part, (target, now));
    }

    /// Drops the note that a prompt part is at an engine.
    ///
    /// The failure: an engine refuses several streams, and each of them, asked to wait and placed again,
    /// prefers the engine that seems to have read its prompt.
    pub fn forget_prompt_location(&mut self, part: u64, target: u64) {
        if self.parts.get(&part).is_some_and(|(at, _)| *at == target) {
            self.parts.remove(&part);
        }
    }

    /// Returns the engine that has read a prompt part a while ago.
    ///
    /// The load it answers: an instance dies, and its callers come to others with the prompts that
    /// were just read. Where they were read, they need not be read again.
    pub fn holder(&self, part: u64, now: Instant) -> Option<u64> {
        let (target, at) = self.parts.get(&part)?;
        let is_kept = now.saturating_duration_since(*at) < PROMPT_LOCATION_TTL;
        is_kept.then_some(*target)
    }

    /// Drops the lists of instances that have been silent for long, and what is known of parts that
    /// engines have likely dropped.
    pub fn sweep(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.saturating_duration_since(at) < PROMPT_LOCATION_TTL;
        self.parts.retain(|_, (_, at)| is_kept(*at));
        let stale = self.lists.extract_if(|_, heard| !is_fresh(heard, now));
        for (_, heard) in stale.collect::<Vec<_>>() {
            self.subtract(&heard.streams);
        }
    }

    /// Returns what the streams of other instances take of each engine.
    pub fn usage(&self, now: Instant) -> Cow<'_, HashMap<u64, EngineUsage>> {
        if self.lists.values().all(|heard| is_fresh(heard, now)) {
            return Cow::Borrowed(&self.usage_sums);
        }
        let mut all: HashMap<u64, EngineUsage> = HashMap::new();
        let lists = self.lists.values().filter(|heard| is_fresh(heard, now));
        for stream in lists.flat_map(|heard| &heard.streams) {
            all.entry(stream.target).or_default().add(stream);
        }
        Cow::Owned(all)
    }
}

impl EngineUsage {
    fn add(&mut self, stream: &Placement) {
        let tokens = u64::from(stream.tokens);
        self.streams += 1;
        self.tokens += tokens;
        if stream.is_reading {
            self.reading_prompts += 1;
            self.reading_tokens += tokens;
        }
    }

    /// Takes out a stream that was added.
    fn remove(&mut self, stream: &Placement) {
        let tokens = u64::from(stream.tokens);
        self.streams -= 1;
        self.tokens -= tokens;
        if stream.is_reading {
            self.reading_prompts -= 1;
            self.reading_tokens -= tokens;
        }
    }
}

fn is_fresh(heard: &ReceivedPlacements, now: Instant) -> bool {
    now.saturating_duration_since(heard.at) < PLACEMENTS_TTL
}
