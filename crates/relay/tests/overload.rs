//! A model of engines that batch, read prompts and hold memory, under more streams than they can take in time.

use std::time::Duration;

use celerypond_relay::{PlacementKey, RemainingEvents, Targets};
use celerypond_types::TargetKey;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use tokio::time::Instant;

use crate::fixture::{three_data_centres, Wanted, CAPACITY, TOKENS};

/// Engines in each of three data centres.
const EACH: u8 = 8;
/// A step of the model.
const TICK_MS: f64 = 20.0;
/// Tokens of a prompt.
const PROMPT: f64 = 8_200.0;
/// Prompt tokens that an engine reads between two steps.
const CHUNK: f64 = 200.0;
/// The time for these.
const CHUNK_MS: f64 = 25.0;
/// The time of a step.
const STEP_MS: f64 = 6.55;
/// By how much each stream of a batch prolongs a step.
const STEP_MS_EACH: f64 = 0.165;
/// Steps of an answer.
const STEPS: f64 = 560.0;
/// Steps of an event.
const EVENT_STEPS: f64 = 4.0;
/// Streams that an engine runs at a time.
const SLOTS: usize = 12;
/// The time to the first event within which a stream is on time.
const AIM: Duration = Duration::from_millis(4_500);
/// The time between two looks whether a stream would be done sooner elsewhere.
const LOOK_MS: f64 = 200.0;
/// What is added to the time after which a caller may come back, and the most that it waits.
const BACK_MS: (f64, f64) = (100.0, 8_300.0);

/// How streams arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Streams a second before and after the burst.
    pub(crate) usual: f64,
    /// How many times as many come in the burst.
    pub(crate) times: f64,
    /// When the burst begins, in seconds.
    pub(crate) from: f64,
    /// When it ends.
    pub(crate) to: f64,
    /// When the last stream arrives.
    pub(crate) end: f64,
}

impl Load {
    fn rate(&self, at: f64) -> f64 {
        let is_burst = at >= self.from && at < self.to;
        self.usual * if is_burst { self.times } else { 1.0 }
    }
}

/// What came of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fate {
    /// When it came first, in seconds.
    pub(crate) arrived: f64,
    /// The time from there to its first event; nothing where it was turned away twice.
    pub(crate) first: Option<Duration>,
    /// Whether it was turned away.
    pub(crate) has_retried: bool,
}

impl Fate {
    pub(crate) fn is_on_time(&self) -> bool {
        self.first.is_some_and(|first| first <= AIM)
    }
}

/// Returns the most streams a second whose prompts engines can read and whose answers they can run, where reading and
/// running are kept apart and memory is full.
pub(crate) fn most_per_second() -> f64 {
    let read_s = PROMPT / CHUNK * CHUNK_MS / 1_000.0;
    let batch = (CAPACITY / TOKENS) as f64;
    let run_s = STEPS * (STEP_MS + STEP_MS_EACH * batch) / 1_000.0;
    f64::from(EACH) * 3.0 / (read_s + run_s / batch)
}

/// Returns how many of these streams can be on time, by [`most_per_second`]: what cannot be read at once in the burst waits
/// for as long as the aim allows.
pub(crate) fn most_on_time(load: &Load, fates: &[Fate]) -> f64 {
    let of_burst = |fate: &&Fate| fate.arrived >= load.from && fate.arrived < load.to;
    let offered = fates.iter().filter(of_burst).count() as f64;
    let burst_s = load.to - load.from + AIM.as_secs_f64();
    fates.len() as f64 - offered + offered.min(most_per_second() * burst_s)
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    part: u64,
    arrived_ms: f64,
    has_retried: bool,
}

#[derive(Debug)]
struct Stream {
    caller: Caller,
    at: TargetKey,
    place: PlacementKey,
    is_admitted: bool,
    /// Prompt tokens that were read.
    read: f64,
    /// When it had its first event.
    first_ms: Option<f64>,
    steps: f64,
    look_ms: f64,
}

/// Engines, the streams at them, and callers that were turned away.
pub(crate) struct Model {
    targets: Targets,
    wanted: Wanted,
    begin: Instant,
    now_ms: f64,
    open: Vec<Stream>,
    away: Vec<(f64, Caller)>,
    fates: Vec<Fate>,
    turns_away: bool,
}

impl Model {
    /// Makes a model in which streams that would be late are turned away, or queued.
    pub(crate) fn new(turns_away: bool) -> Self {
        let mut targets = three_data_centres(EACH);
        let wanted = Wanted::new();
        let service = wanted.stream(0).service.clone();
        for _ in 0..8 {
            let took_ms = PROMPT / CHUNK * CHUNK_MS;
            targets
                .history
                .record_reading(&service, PROMPT as u64, took_ms);
        }
        Self {
            targets,
            wanted,
            begin: Instant::now(),
            now_ms: 0.0,
            open: Vec::new(),
            away: Vec::new(),
            fates: Vec::new(),
            turns_away,
        }
    }

    /// Replays a load until all streams have ended.
    pub(crate) fn replay(mut self, load: &Load, seed: u64) -> Vec<Fate> {
        let mut rng = SmallRng::seed_from_u64(seed);
        while self.now_ms / 1_000.0 < load.end || !self.open.is_empty() || !self.away.is_empty() {
            let chance = load.rate(self.now_ms / 1_000.0) * TICK_MS / 1_000.0;
            if self.now_ms / 1_000.0 < load.end && rng.random_bool(chance) {
                self.arrive(Caller {
                    part: rng.random(),
                    arrived_ms: self.now_ms,
                    has_retried: false,
                });
            }
            self.tick();
        }
        self.fates
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms;
        let is_back = |(at, _): &(f64, Caller)| *at <= now_ms;
        let (back, still) = std::mem::take(&mut self.away)
            .into_iter()
            .partition(is_back);
        self.away = still;
        let back: Vec<(f64, Caller)> = back;
        back.into_iter().for_each(|(_, caller)| self.arrive(caller));
        let keys: Vec<TargetKey> = self.targets.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.work(key));
        self.relocate();
        self.end();
        self.now_ms += TICK_MS;
    }

    fn now(&self) -> Instant {
        self.begin + Duration::from_secs_f64(self.now_ms / 1_000.0)
    }

    fn arrive(&mut self, caller: Caller) {
        let now = self.now();
        let want = self.wanted.stream(caller.part);
        let key = self.targets.select(&want, now).unwrap().key;
        let queueing = self.targets.estimate_queue(key, &want, PROMPT as u64, now);
        let backoff = queueing.unwrap().backoff(AIM);
        let backoff = backoff.filter(|_| self.turns_away);
        match backoff {
            Some(backoff) if !caller.has_retried => {
                let back_ms = backoff.as_secs_f64() * 1_000.0 + BACK_MS.0;
                let caller = Caller {
                    has_retried: true,
                    ..caller
                };
                self.away
                    .push((self.now_ms + back_ms.min(BACK_MS.1), caller));
            }
            Some(_) => self.fates.push(Fate {
                arrived: caller.arrived_ms / 1_000.0,
                first: None,
                has_retried: true,
            }),
            None => {
                let place = self.enter(key, caller.part);
                self.open.push(Stream {
                    caller,
                    at: key,
                    place,
                    is_admitted: false,
                    read: 0.0,
                    first_ms: None,
                    steps: 0.0,
                    look_ms: 0.0,
                });
            }
        }
    }

    fn enter(&mut self, at: TargetKey, part: u64) -> PlacementKey {
        let now = self.now();
        self.targets.get_mut(at).unwrap().open_requests += 1;
        self.targets.add_stream(at, part, TOKENS, now).unwrap()
    }

    fn leave(&mut self, at: TargetKey, place: PlacementKey) {
        self.targets.get_mut(at).unwrap().open_requests -= 1;
        self.targets.remove_stream(at, place);
    }

    /// Lets an engine work for a tick. It takes streams into its batch while it has memory, reads one prompt at a time, and
    /// makes a step for all others after each chunk of it.
    fn work(&mut self, key: TargetKey) {
        let mut own: Vec<&mut Stream> = self.open.iter_mut().filter(|one| one.at == key).collect();
        let mut batch = own.iter().filter(|one| one.is_admitted).count();
        for stream in own.iter_mut().filter(|one| !one.is_admitted) {
            let has_memory = (batch as u64 + 1) * TOKENS <= CAPACITY;
            stream.is_admitted = batch < SLOTS && has_memory;
            batch += usize::from(stream.is_admitted);
        }
        let running = own.iter().filter(|one| one.first_ms.is_some()).count();
        let step_ms = STEP_MS + STEP_MS_EACH * running as f64;
        let reader = own
            .iter_mut()
            .find(|one| one.is_admitted && one.first_ms.is_none());
        let steps = match reader {
            Some(reader) => {
                let beside_ms = if running > 0 { step_ms } else { 0.0 };
                let steps = TICK_MS / (CHUNK_MS + beside_ms);
                reader.read += steps * CHUNK;
                if reader.read >= PROMPT {
                    reader.first_ms = Some(self.now_ms + TICK_MS);
                    self.targets.record_prompt_read(key, reader.place);
                }
                steps
            }
            None => TICK_MS / step_ms,
        };
        let running = own.into_iter().filter(|one| one.first_ms.is_some());
        running.for_each(|one| one.steps += steps);
    }

    fn relocate(&mut self) {
        let now = self.now();
        for n in 0..self.open.len() {
            let stream = &self.open[n];
            let (at, place, part) = (stream.at, stream.place, stream.caller.part);
            if stream.first_ms.is_none() || self.now_ms < stream.look_ms {
                continue;
            }
            let ahead = RemainingEvents {
                events: (STEPS - stream.steps) / EVENT_STEPS,
            };
            self.open[n].look_ms = self.now_ms + LOOK_MS;
            let want = self.wanted.stream(part);
            let Some(better) = self.targets.better_engine(at, &want, ahead, now) else {
                continue;
            };
            self.leave(at, place);
            let place = self.enter(better.key, part);
            self.targets.record_prompt_read(better.key, place);
            (self.open[n].at, self.open[n].place) = (better.key, place);
        }
    }

    fn end(&mut self) {
        let (over, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|stream| stream.steps >= STEPS);
        self.open = open;
        let over: Vec<Stream> = over;
        for stream in over {
            self.leave(stream.at, stream.place);
            let arrived_ms = stream.caller.arrived_ms;
            let first = stream
                .first_ms
                .map(|first_ms| (first_ms - arrived_ms) / 1_000.0);
            self.fates.push(Fate {
                arrived: arrived_ms / 1_000.0,
                first: first.map(Duration::from_secs_f64),
                has_retried: stream.caller.has_retried,
            });
        }
    }
}
