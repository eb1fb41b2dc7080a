//! The streams of other instances and the engines that they run on.

use std::{borrow::Cow, collections::HashMap, time::Duration};

use celerypond_types::TargetName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{IdleLimit, SendCounts, Tally, Urgency, UsageLevels};

/// How long an instance's list is valid without a newer one. Lists are repeated each second, so
/// either three were lost or the instance is gone along with its streams.
const PLACEMENTS_TTL: Duration = Duration::from_millis(3_500);

/// How long the location of a prompt part is remembered. Engines evict the least recently used
/// parts, and most callers retry within seconds.
const PROMPT_LOCATION_TTL: Duration = Duration::from_secs(20);

/// A stream of an instance and the engine that it runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedPlacement", into = "PackedPlacement")]
pub struct Placement {
    /// The hash of the engine's name.
    pub target_hash: u64,
    /// The id of the prompt part that belongs to this request alone.
    pub part: u64,
    /// The maximum number of tokens that it occupies.
    pub tokens: u32,
    /// Whether the engine is still reading its prompt.
    pub is_reading: bool,
    /// Its urgency.
    pub urgency: Urgency,
}

/// The form of a placement in messages.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct PackedPlacement {
    target_hash: u64,
    part: u64,
    tokens: u32,
    /// The level of the urgency, and [`READING_FLAG`].
    flags: u8,
}

/// Set while the engine is still reading the prompt.
const READING_FLAG: u8 = 0x80;

impl From<PackedPlacement> for Placement {
    fn from(packed: PackedPlacement) -> Self {
        Self {
            target_hash: packed.target_hash,
            part: packed.part,
            tokens: packed.tokens,
            is_reading: packed.flags & READING_FLAG != 0,
            urgency: Urgency::new(usize::from(packed.flags & !READING_FLAG)),
        }
    }
}

impl From<Placement> for PackedPlacement {
    fn from(placement: Placement) -> Self {
        let reading = if placement.is_reading {
            READING_FLAG
        } else {
            0
        };
        Self {
            target_hash: placement.target_hash,
            part: placement.part,
            tokens: placement.tokens,
            flags: placement.urgency.level() as u8 | reading,
        }
    }
}

/// The list of all streams of an instance that it sends to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placements {
    /// The id of the instance's process.
    pub origin: u64,
    /// Increases with each list of this process; a later list replaces an earlier one.
    pub sequence: u64,
    /// The streams.
    pub streams: Vec<Placement>,
    /// The name hashes of targets that recently refused connections. A target is not necessarily
    /// repeated in the next list.
    pub dead: Vec<u64>,
    /// Engines that restarted under another name.
    pub adopted: Vec<RestartReport>,
    /// Recent results of requests by the name hash of their target; empty if unchanged.
    pub tallies: Vec<(u64, Tally)>,
    /// Limits on the idle time of connections; empty if unchanged.
    pub rests: Vec<IdleLimit>,
    /// What the instance sent to each service recently.
    pub sends: Vec<SendCounts>,
    /// The time that engines take for an event, in milliseconds, by the hash of their address;
    /// empty if unchanged. Negative ones are response times of plain targets by the hash of their
    /// name, which instances of earlier versions ignore.
    pub paces: Vec<(u64, f32)>,
}

/// A prompt part and the engine that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptLocation {
    /// The id of the prompt part that belongs to a request alone.
    pub part: u64,
    /// The hash of the engine's name.
    pub target_hash: u64,
}

/// An engine that restarted under another name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartReport {
    /// The hash of the name before the restart.
    pub previous_hash: u64,
    /// The name after the restart.
    pub name: TargetName,
    /// The time since the engine answered under the new name, in milliseconds.
    pub age_ms: u32,
}

impl Placements {
    /// Adds the time that the list may have waited unread to the ages in it.
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
        for report in &mut self.adopted {
            report.age_ms = report.age_ms.saturating_add(waited);
        }
    }
}

/// The capacity of an engine that streams use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineUsage {
    /// Streams at the engine, including those whose prompts are being read.
    pub streams: u32,
    /// Streams whose prompts are being read.
    pub reading_prompts: u32,
    /// Tokens of these prompts, each with its maximum response.
    pub reading_tokens: u64,
    /// The maximum number of tokens in memory.
    pub tokens: u64,
    /// The same by urgency.
    pub levels: UsageLevels,
}

/// The streams of other instances and the engines that they run on.
///
/// If each instance placed streams by its own counts alone, two prompts would be sent to the same
/// engine while others are idle, and both would take twice as long to read. Each instance therefore
/// sends its list of streams to the others whenever it changes. Lists are small and complete, so
/// that the next one makes up for one that was lost.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{PeerStreams, Placement, Placements, Urgency};
/// use tokio::time::Instant;
///
/// let mut streams = PeerStreams::default();
/// let stream = Placement { target_hash: 7, part: 1, tokens: 9_000, is_reading: true,
///     urgency: Urgency::default() };
/// let list = Placements { origin: 1, sequence: 1, streams: vec![stream], ..Placements::default() };
/// let now = Instant::now();
/// streams.merge(list, now);
/// assert_eq!(streams.usage(now)[&7].reading_tokens, 9_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerStreams {
    lists: HashMap<u64, ReceivedPlacements>,
    /// The usage by all lists. It is kept up to date as each placement needs it three times, and
    /// summing up all lists would take most of the time of a placement.
    usage_sums: HashMap<u64, EngineUsage>,
    /// The engine that last read each prompt part, and when this was reported.
    prompt_locations: HashMap<u64, (u64, Instant)>,
}

#[derive(Clone, Debug)]
struct ReceivedPlacements {
    sequence: u64,
    at: Instant,
    streams: Vec<Placement>,
}

impl PeerStreams {
    /// Merges the list of another instance; ignores it if a newer one is known.
    pub fn merge(&mut self, list: Placements, now: Instant) {
        let known = self.lists.get(&list.origin);
        if known.is_some_and(|known| known.sequence >= list.sequence) {
            return;
        }
        for stream in &list.streams {
            self.record_prompt_location(stream.part, stream.target_hash, now);
            self.usage_sums
                .entry(stream.target_hash)
                .or_default()
                .add(stream);
        }
        let received = ReceivedPlacements {
            sequence: list.sequence,
            at: now,
            streams: list.streams,
        };
        if let Some(previous) = self.lists.insert(list.origin, received) {
            self.subtract(&previous.streams);
        }
    }

    /// Returns the streams that another instance last listed.
    pub(crate) fn streams_of(&self, origin: u64) -> &[Placement] {
        let list = self.lists.get(&origin);
        list.map_or(&[], |list| list.streams.as_slice())
    }

    fn subtract(&mut self, streams: &[Placement]) {
        for stream in streams {
            if let Some(usage) = self.usage_sums.get_mut(&stream.target_hash) {
                usage.remove(stream);
                if usage.streams == 0 {
                    self.usage_sums.remove(&stream.target_hash);
                }
            }
        }
    }

    /// Records that a prompt part is at an engine.
    pub fn record_prompt_location(&mut self, part: u64, target: u64, now: Instant) {
        self.prompt_locations.insert(part, (target, now));
    }

    /// Forgets that a prompt part is at an engine.
    ///
    /// Otherwise a stream that was refused by an engine, and is placed again after a wait, would
    /// prefer that engine as it seems to have read the prompt.
    pub fn forget_prompt_location(&mut self, part: u64, target: u64) {
        if self
            .prompt_locations
            .get(&part)
            .is_some_and(|(at, _)| *at == target)
        {
            self.prompt_locations.remove(&part);
        }
    }

    /// Returns the name hash of the engine that has recently read a prompt part.
    ///
    /// If an instance dies, its callers retry at other instances with prompts that were just read.
    /// At the same engine they need not be read again.
    pub fn holder(&self, part: u64, now: Instant) -> Option<u64> {
        let (target, at) = self.prompt_locations.get(&part)?;
        let is_kept = now.saturating_duration_since(*at) < PROMPT_LOCATION_TTL;
        is_kept.then_some(*target)
    }

    /// Removes the lists of instances that have gone silent, and locations of parts that engines
    /// have probably evicted.
    pub fn sweep(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.saturating_duration_since(at) < PROMPT_LOCATION_TTL;
        self.prompt_locations.retain(|_, (_, at)| is_kept(*at));
        let stale = self
            .lists
            .extract_if(|_, received| !is_fresh(received, now));
        for (_, received) in stale.collect::<Vec<_>>() {
            self.subtract(&received.streams);
        }
    }

    /// Returns the usage of each engine by streams of other instances, by name hash.
    pub fn usage(&self, now: Instant) -> Cow<'_, HashMap<u64, EngineUsage>> {
        if self.lists.values().all(|received| is_fresh(received, now)) {
            return Cow::Borrowed(&self.usage_sums);
        }
        let mut all: HashMap<u64, EngineUsage> = HashMap::new();
        let lists = self
            .lists
            .values()
            .filter(|received| is_fresh(received, now));
        for stream in lists.flat_map(|received| &received.streams) {
            all.entry(stream.target_hash).or_default().add(stream);
        }
        Cow::Owned(all)
    }
}

impl EngineUsage {
    fn add(&mut self, stream: &Placement) {
        let tokens = u64::from(stream.tokens);
        self.streams += 1;
        self.tokens += tokens;
        self.levels.add(stream.urgency, tokens, stream.is_reading);
        if stream.is_reading {
            self.reading_prompts += 1;
            self.reading_tokens += tokens;
        }
    }

    /// Subtracts a stream that was added.
    fn remove(&mut self, stream: &Placement) {
        let tokens = u64::from(stream.tokens);
        self.streams -= 1;
        self.tokens -= tokens;
        self.levels
            .remove(stream.urgency, tokens, stream.is_reading);
        if stream.is_reading {
            self.reading_prompts -= 1;
            self.reading_tokens -= tokens;
        }
    }
}

fn is_fresh(received: &ReceivedPlacements, now: Instant) -> bool {
    now.saturating_duration_since(received.at) < PLACEMENTS_TTL
}
