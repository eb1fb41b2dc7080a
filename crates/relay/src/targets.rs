//! The set of known targets.

use std::{
    borrow::Cow,
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use celerypond_types::{ServiceName, TargetKey, TargetName, VersionName};
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::{
    address_index::AddressIndex,
    admission::HeldPart,
    change_log::ChangeLog,
    departed::Departed,
    engine_pace::EnginePaces,
    own_streams::OwnStreams,
    response_time,
    restart::{age_ms, Restart},
    target::Unlisted,
    EngineUsage, EventTimes, Group, History, IdleLimits, PaceJudgement, PeerStreams, PlacementKey,
    Placements, PromptLocation, Quality, Target, TargetEntry, TargetUpdate, Urgency,
};

/// How long the answer of a restarted engine may be reported and acted on.
pub(crate) const RESTART_TTL: Duration = Duration::from_secs(5);

/// The maximum time until the store lists an engine that has started or whose entry was lost.
pub(crate) const LISTING_TIME: Duration = Duration::from_secs(2);

/// How long a target that left is remembered; longer than [`RESTART_TTL`].
const DEPARTED_TTL: Duration = Duration::from_secs(60);

/// The maximum time over which callers are spread that retry at targets with limits.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);

/// The maximum number of restarted engines in one list, of which the latest are included. A longer
/// list would not fit into a datagram.
const MAX_RESTARTS: usize = 128;
/// The maximum number of prompt locations that wait to be reported, which fit into one datagram.
/// Older ones are dropped, as their prompts were probably read.
const MAX_PROMPT_LOCATIONS: usize = 64;

/// The maximum number of response times in one list.
const MAX_RESPONSE_TIMES: usize = 8;

/// A change in the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target was added or its entry changed.
    Is(TargetEntry),
    /// The target was removed.
    Gone(TargetName),
}

impl Change {
    /// Returns the name of the target.
    pub const fn name(&self) -> &TargetName {
        match self {
            Self::Is(entry) => &entry.name,
            Self::Gone(name) => name,
        }
    }
}

/// The set of known targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    pub(crate) arena: SlotMap<TargetKey, Target>,
    pub(crate) names: HashMap<TargetName, TargetKey>,
    addresses: AddressIndex,
    /// Streams of this instance.
    own_streams: OwnStreams,
    /// Locations of prompts that were not reported to other groups yet.
    prompt_locations: VecDeque<PromptLocation>,
    pub(crate) peer_streams: PeerStreams,
    pub(crate) quality: Quality,
    /// Plain targets that were judged slow or usual, to be logged.
    judgements: Vec<PaceJudgement>,
    idle_limits: IdleLimits,
    event_times: EventTimes,
    pub(crate) paces: EnginePaces,
    /// Prompt parts that engines reported to hold.
    pub(crate) held_parts: HashMap<u64, HeldPart>,
    /// Recent measurements of streams.
    pub history: History,
    /// New versions that get no requests without an order, and when they were first seen.
    pub(crate) held_versions: HashMap<(ServiceName, VersionName), Instant>,
    /// When the orders were last read.
    pub(crate) orders_read: Option<Instant>,
    /// Restarted engines that the store does not list, to be reported to other instances.
    pub(crate) restarts: Vec<Restart>,
    /// When the list was last known to be the store's newest one.
    pub(crate) verified: Option<Instant>,
    /// Targets that the store no longer lists.
    pub(crate) departed: HashMap<TargetName, Departed>,
    /// Until when missing entries may come back.
    missing_until: Option<Instant>,
    /// Recent changes by revision of the store.
    log: ChangeLog,
    /// Whether prompts are placed by the time that they take at each engine, for services whose
    /// targets state their pace.
    pub places_by_time: bool,
    /// The group of this instance, whose engines it uses first.
    pub group: Group,
    /// The share of a stagger by which this instance acts later than others.
    pub lateness: f64,
}

impl Targets {
    /// Replaces the list with the store's current one and removes targets that it lacks. Returns
    /// the changes.
    ///
    /// During the time given by [`Targets::await_entries`], these targets are only marked as
    /// missing.
    pub fn replace(&mut self, entries: Vec<TargetEntry>, now: Instant) -> Vec<Change> {
        let changes = self.replace_unverified(entries, now);
        self.verify(now);
        changes
    }

    /// Replaces the list with one of unknown age.
    pub fn replace_unverified(&mut self, entries: Vec<TargetEntry>, now: Instant) -> Vec<Change> {
        let kept: HashSet<&TargetName> = entries.iter().map(|entry| &entry.name).collect();
        let gone: Vec<TargetName> = self
            .names
            .keys()
            .filter(|name| !kept.contains(name))
            .cloned()
            .collect();
        let gone = gone.into_iter().map(Change::Gone);
        let listed = entries.into_iter().map(Change::Is);
        let is_first = self.names.is_empty();
        let changes: Vec<Change> = gone
            .chain(listed)
            .collect::<Vec<Change>>()
            .into_iter()
            .filter(|change| self.apply(change, now))
            .collect();
        if is_first {
            // The first list does not show which of several versions is the new one.
            self.held_versions.clear();
        }
        changes
    }

    /// Applies a change; returns whether it changed anything.
    pub fn apply(&mut self, change: &Change, now: Instant) -> bool {
        match change {
            Change::Is(entry) => {
                self.hold_back(entry, now);
                self.put(entry)
            }
            Change::Gone(name) => match self.missing_until.filter(|until| now < *until) {
                Some(until) => {
                    self.mark_missing(name, until);
                    false
                }
                None => self.remove(name, now),
            },
        }
    }

    /// Records that the list was the store's newest one at a moment. Returns the targets that are
    /// removed, as the store has not listed them for two seconds.
    pub fn verify(&mut self, at: Instant) -> Vec<TargetName> {
        self.verified = self.verified.max(Some(at));
        let mut dropped = Vec::new();
        for target in self.arena.values_mut() {
            let Some(unlisted) = target
                .unlisted
                .as_mut()
                .filter(|unlisted| unlisted.seen < at)
            else {
                continue;
            };
            let absent = *unlisted.absent.get_or_insert(at);
            if at.saturating_duration_since(absent) >= LISTING_TIME {
                dropped.push(target.entry.name.clone());
            }
        }
        for name in &dropped {
            self.remove(name, at);
        }
        dropped
    }

    /// Records the targets of a full list that the store does not list, and when each last
    /// answered.
    pub fn set_unlisted(&mut self, observed: &[(TargetName, Instant)]) {
        for (name, seen) in observed {
            let key = self.names.get(name).copied();
            if let Some(target) = key.and_then(|key| self.arena.get_mut(key)) {
                let absent = None;
                target.unlisted.get_or_insert(Unlisted {
                    seen: *seen,
                    absent,
                });
            }
        }
    }

    /// Records that a target changed at a revision of the store.
    pub fn record_change(&mut self, revision: u64, name: &TargetName) {
        self.log.push(revision, name);
    }

    /// Records that the full list of a revision was taken in.
    pub fn record_full_list(&mut self, revision: u64) {
        self.log.reset(revision);
    }

    /// Returns the changes between two revisions, or the full list if they are not known. Ages are
    /// left empty.
    pub fn update_since(&self, since: u64, revision: u64) -> TargetUpdate {
        let names = self.log.since(since);
        let is_whole = names.is_none();
        let names = names.unwrap_or_else(|| self.names.keys().collect());
        let (listed, gone): (Vec<&TargetName>, Vec<&TargetName>) = names
            .into_iter()
            .partition(|name| self.names.contains_key(*name));
        let target = |name: &&TargetName| self.arena.get(*self.names.get(*name)?);
        let listed: Vec<&Target> = listed.iter().filter_map(target).collect();
        TargetUpdate {
            revision,
            age_ms: None,
            is_whole,
            targets: listed.iter().map(|target| target.entry.clone()).collect(),
            gone: gone.into_iter().cloned().collect(),
            missing: Vec::new(),
            observed: Vec::new(),
        }
    }

    /// Returns the targets that the store does not list, and the time since each last answered, in
    /// milliseconds.
    pub fn unlisted_targets(&self, now: Instant) -> Vec<(TargetName, u32)> {
        let unlisted = self.arena.values();
        let unlisted = unlisted.filter_map(|target| Some((target, target.unlisted?)));
        unlisted
            .map(|(target, unlisted)| (target.entry.name.clone(), age_ms(unlisted.seen, now)))
            .collect()
    }

    /// Returns whether a target's entry is missing.
    pub fn is_missing(&self, name: &TargetName) -> bool {
        let target = self.key_of(name).and_then(|key| self.arena.get(key));
        target.is_some_and(|target| target.missing_until.is_some())
    }

    /// Returns the targets whose entries are missing, and the remaining time in which they may come
    /// back, in milliseconds.
    pub fn missing_targets(&self, now: Instant) -> Vec<(TargetName, u32)> {
        let missing = self.arena.values();
        let missing = missing.filter_map(|target| Some((target, target.missing_until?)));
        missing
            .map(|(target, until)| (target.entry.name.clone(), age_ms(now, until)))
            .collect()
    }

    /// Marks targets as missing that another instance misses after an outage of the store, until
    /// the moments that it reported.
    ///
    /// The time does not start anew at each instance, as a target may have left.
    pub fn mark_all_missing(&mut self, missing: &[(TargetName, Instant)]) {
        for (name, until) in missing {
            self.mark_missing(name, *until);
        }
    }

    /// Records that the store is back after an outage during which entries may have expired.
    ///
    /// If an outage lasts longer than entries live without a heartbeat, the store returns with an
    /// empty list. Every request would be refused until the live targets have written their entries
    /// again, which takes about two seconds. Targets whose entries are still missing after that are
    /// removed. The time starts at the store's return rather than at the removal of an entry: a
    /// target may also leave by removing its entry, and must get no new requests two seconds later.
    pub fn await_entries(&mut self, time: Duration, now: Instant) {
        self.missing_until = Some(now + time);
    }

    /// Removes the targets whose entries did not come back in time; returns their names.
    pub fn drop_missing(&mut self, now: Instant) -> Vec<TargetName> {
        let is_due = |target: &&Target| target.missing_until.is_some_and(|until| until <= now);
        let missing = self.arena.values().filter(is_due);
        let names: Vec<TargetName> = missing.map(|target| target.entry.name.clone()).collect();
        for name in &names {
            self.remove(name, now);
        }
        names
    }

    /// Marks a target as missing until a moment. A later one does not extend the time.
    fn mark_missing(&mut self, name: &TargetName, until: Instant) {
        let key = self.names.get(name).copied();
        if let Some(target) = key.and_then(|key| self.arena.get_mut(key)) {
            let known = target.missing_until.unwrap_or(until);
            target.missing_until = Some(known.min(until));
        }
    }

    fn remove(&mut self, name: &TargetName, now: Instant) -> bool {
        self.restarts.retain(|restart| restart.name != *name);
        let key = self.names.remove(name);
        let Some((key, gone)) = key.and_then(|key| Some((key, self.arena.remove(key)?))) else {
            let departed = Departed::again(self.departed.get(name).copied(), now);
            self.departed.insert(name.clone(), departed);
            return false;
        };
        self.departed.insert(name.clone(), Departed::of(&gone, now));
        self.addresses.remove(gone.entry.address, key);
        self.settle_address(gone.entry.address);
        true
    }

    fn put(&mut self, entry: &TargetEntry) -> bool {
        let departed = self.departed.remove(&entry.name);
        let known = self.names.get(&entry.name).copied();
        let known = known.and_then(|key| Some((key, self.arena.get_mut(key)?)));
        let Some((key, target)) = known else {
            let mut target = Target::new(entry.clone());
            if let Some(departed) = departed {
                departed.restore(&mut target);
            }
            self.insert(target);
            return true;
        };
        target.missing_until = None;
        let was_unlisted = target.unlisted.take().is_some();
        if target.entry == *entry {
            return false;
        }
        let before = target.entry.address;
        // The start time of an unlisted engine is only known once it is listed.
        let is_same_start = was_unlisted || target.entry.born == entry.born;
        let is_same_run = is_same_start && target.entry.address == entry.address;
        if is_same_run {
            target.entry = entry.clone();
        } else {
            *target = Target::new(entry.clone());
        }
        if before != entry.address {
            self.addresses.remove(before, key);
            self.addresses.add(entry.address, key);
            self.settle_address(before);
        }
        self.settle_address(entry.address);
        true
    }

    /// Adds a target with a name that is not known yet.
    pub(crate) fn insert(&mut self, target: Target) {
        let (name, address) = (target.entry.name.clone(), target.entry.address);
        let key = self.arena.insert(target);
        self.names.insert(name, key);
        self.addresses.add(address, key);
        self.settle_address(address);
    }

    /// Returns a target.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Returns a mutable reference to the target whose name has a hash.
    pub fn by_hash_mut(&mut self, name_hash: u64) -> Option<&mut Target> {
        let mut targets = self.arena.values_mut();
        targets.find(|target| target.name_hash == name_hash)
    }

    /// Returns the key of the target with a name.
    pub fn key_of(&self, name: &TargetName) -> Option<TargetKey> {
        self.names.get(name).copied()
    }

    /// Returns a mutable reference to a target.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.arena.get_mut(key)
    }

    /// Adds a stream of this instance at a target; returns `None` if the target is gone.
    pub fn add_stream(
        &mut self,
        key: TargetKey,
        part: u64,
        tokens: u64,
        urgency: Urgency,
        now: Instant,
    ) -> Option<PlacementKey> {
        let target = self.arena.get_mut(key)?;
        self.peer_streams
            .record_prompt_location(part, target.name_hash, now);
        if self.prompt_locations.len() == MAX_PROMPT_LOCATIONS {
            self.prompt_locations.pop_front();
        }
        self.prompt_locations.push_back(PromptLocation {
            part,
            target_hash: target.name_hash,
        });
        target.reading_prompts += 1;
        target.reading_tokens += tokens;
        target.stream_tokens += tokens;
        target.levels.add(urgency, tokens, true);
        Some(
            self.own_streams
                .add(target.name_hash, part, tokens, urgency),
        )
    }

    /// Forgets that a prompt part is at a target, which has not read it.
    pub fn forget_prompt_location(&mut self, key: TargetKey, part: u64) {
        if let Some(target) = self.arena.get(key) {
            self.peer_streams
                .forget_prompt_location(part, target.name_hash);
        }
    }

    /// Records that the prompt of a stream was read.
    pub fn record_prompt_read(&mut self, key: TargetKey, stream: PlacementKey) {
        let read = self.own_streams.mark_read(stream);
        if let (Some(read), Some(target)) = (read, self.arena.get_mut(key)) {
            let tokens = u64::from(read.tokens);
            target.reading_prompts = target.reading_prompts.saturating_sub(1);
            target.reading_tokens = target.reading_tokens.saturating_sub(tokens);
            target.levels.mark_read(read.urgency, tokens);
        }
    }

    /// Removes a stream of this instance.
    pub fn remove_stream(&mut self, key: TargetKey, stream: PlacementKey) {
        self.record_prompt_read(key, stream);
        let removed = self.own_streams.remove(stream);
        if let (Some(removed), Some(target)) = (removed, self.arena.get_mut(key)) {
            let tokens = u64::from(removed.tokens);
            target.stream_tokens = target.stream_tokens.saturating_sub(tokens);
            target.levels.remove(removed.urgency, tokens, false);
        }
    }

    /// Returns the message for other instances: the list of this instance's streams, and either
    /// everything else that they should know, or only what was found since a moment.
    pub fn placements(
        &self,
        origin: u64,
        sequence: u64,
        since: Option<Instant>,
        now: Instant,
    ) -> Placements {
        let was_reported = |at: Instant| since.is_some_and(|since| at < since);
        let restarts = self.restarts.iter().rev().take(MAX_RESTARTS);
        let restarts = restarts.filter(|restart| !was_reported(restart.received_at));
        Placements {
            origin,
            sequence,
            streams: self.own_streams.all().collect(),
            dead: self.dead(now, was_reported).collect(),
            adopted: restarts.map(|restart| restart.report(now)).collect(),
            tallies: match since {
                Some(_) => Vec::new(),
                None => self.quality.tallies(now),
            },
            rests: match since {
                Some(_) => Vec::new(),
                None => self.idle_limits.report(now),
            },
            sends: Vec::new(),
            paces: match since {
                Some(_) => Vec::new(),
                None => self.event_times.own_times(now),
            },
        }
    }

    /// Merges the message of another instance. Returns the targets that are avoided from now on
    /// because that instance found them dead.
    pub fn merge_placements(&mut self, mut list: Placements, now: Instant) -> Vec<TargetName> {
        let tallies = std::mem::take(&mut list.tallies);
        if !tallies.is_empty() {
            self.quality.merge(list.origin, tallies, now);
        }
        self.idle_limits.merge(&list.rests, now);
        self.event_times.merge(&list.paces, now);
        self.record_peer_readings(&list, now);
        self.record_engine_events(&list.paces, now);
        self.merge_response_times(&list.paces, now);
        let was_reported = |target: &Target| list.dead.contains(&target.name_hash);
        let dead = self
            .arena
            .values_mut()
            .filter(|target| was_reported(target));
        let mut avoided = Vec::new();
        for target in dead {
            if !target.is_avoided(now) {
                avoided.push(target.entry.name.clone());
            }
            target.record_peer_failure(list.origin, now);
        }
        for report in &list.adopted {
            let age = Duration::from_millis(report.age_ms.into());
            if let Some(seen) = now.checked_sub(age) {
                self.add_restarted_engine_seen(report.previous_hash, &report.name, seen, now);
            }
        }
        self.peer_streams.merge(list, now);
        avoided
    }

    /// Returns the number of targets that are avoided now, and of those among them that another
    /// instance recently found dead.
    pub fn count_avoided(&self, now: Instant) -> (usize, usize) {
        let avoided = self.arena.values().filter(|target| target.is_avoided(now));
        avoided.fold((0, 0), |(all, reported), target| {
            (
                all + 1,
                reported + usize::from(target.is_reported_dead(now)),
            )
        })
    }

    /// Forgets what an instance reported about targets, as its own link was at fault.
    pub fn forget_reports(&mut self, origin: u64) {
        let targets = self.arena.values_mut();
        targets.for_each(|target| target.forget_report(origin));
        self.quality.forget_peer(origin);
    }

    /// Returns and clears the prompt locations to be reported to other groups.
    pub fn take_prompt_locations(&mut self) -> Vec<PromptLocation> {
        self.prompt_locations.drain(..).collect()
    }

    /// Merges the prompt locations of another instance.
    pub fn merge_prompt_locations(&mut self, locations: &[PromptLocation], now: Instant) {
        for location in locations {
            self.peer_streams
                .record_prompt_location(location.part, location.target_hash, now);
        }
    }

    /// Returns whether another start of a target has taken the address of one that was started at
    /// `born`, in Unix milliseconds. Runs at the earlier start are lost, although the address accepts
    /// connections.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    /// use celerypond_types::TargetKey;
    ///
    /// let address = "10.0.0.7:8080".parse().unwrap();
    /// assert!(!Targets::default().is_replaced(TargetKey::default(), address, Some(1)));
    /// ```
    pub fn is_replaced(&self, key: TargetKey, address: SocketAddr, born: Option<u64>) -> bool {
        let has_other_owner = self.owner_of(address).is_some_and(|owner| owner != key);
        has_other_owner || self.has_other_start(address, born)
    }

    /// Returns whether the target at an address was not started at `born`, in Unix milliseconds, as
    /// far as both are known.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    ///
    /// let address = "10.0.0.7:8080".parse().unwrap();
    /// assert!(!Targets::default().has_other_start(address, Some(1)));
    /// ```
    pub fn has_other_start(&self, address: SocketAddr, born: Option<u64>) -> bool {
        let owner = self.owner_of(address).and_then(|owner| self.get(owner));
        let starts = born.zip(owner.and_then(|owner| owner.entry.born));
        starts.is_some_and(|(before, now)| before != now)
    }

    /// Returns the latest target that has an address, which responds there.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    ///
    /// assert_eq!(Targets::default().owner_of("10.0.0.7:8080".parse().unwrap()), None);
    /// ```
    pub fn owner_of(&self, address: SocketAddr) -> Option<TargetKey> {
        let mut keys = self.addresses.at(address).iter().copied();
        keys.find(|key| self.owns_address(*key))
    }

    /// Returns whether no later target has the same address.
    pub(crate) fn owns_address(&self, key: TargetKey) -> bool {
        self.arena
            .get(key)
            .is_some_and(|target| target.owns_address)
    }

    /// Assigns an address to the latest target that has it.
    ///
    /// When an engine restarts under another name, its old entry stays in the store for some
    /// heartbeats. Requests that are sent to the old name are refused, and backups that the old
    /// name should hold are lost.
    fn settle_address(&mut self, address: SocketAddr) {
        let at = self.addresses.at(address);
        let born = |key: &&TargetKey| self.arena.get(**key).and_then(|target| target.entry.born);
        let owner = at.iter().max_by_key(born).copied();
        for key in at {
            if let Some(target) = self.arena.get_mut(*key) {
                target.owns_address = owner == Some(*key);
            }
        }
    }

    /// Removes everything that has expired.
    pub fn sweep(&mut self, now: Instant) {
        self.peer_streams.sweep(now);
        self.quality.sweep(now);
        self.event_times.sweep(now);
        self.paces.sweep(now);
        self.sweep_held_parts(now);
        self.sweep_held_versions(now);
        self.restarts.retain(|restart| restart.is_recent(now));
        let is_kept = |at: Instant| now.saturating_duration_since(at) < DEPARTED_TTL;
        self.departed.retain(|_, departed| is_kept(departed.since));
    }

    /// Records the result of a request in one piece at a target.
    pub fn record_result(&mut self, key: TargetKey, is_good: bool, time: Duration, now: Instant) {
        if let Some(target) = self.arena.get(key) {
            self.quality.record(target.name_hash, is_good, time, now);
        }
        self.record_own_response(key, is_good, time, now);
    }

    /// Records the time of a response of a plain target. A failure counts if it took longer than
    /// expected: the response would have taken longer still.
    fn record_own_response(&mut self, key: TargetKey, is_good: bool, time: Duration, now: Instant) {
        let Some(service) = self.arena.get(key).map(|target| &target.entry.service) else {
            return;
        };
        let service = service.clone();
        let Some(usual_ms) = self.usual_response_ms(&service, now) else {
            return;
        };
        if let Some(target) = self.arena.get_mut(key) {
            let took_ms = time.as_secs_f64() * 1_000.0;
            if is_good || took_ms > target.response_time.estimate_ms(usual_ms, now) {
                let turns = target.reported_turns(time, now);
                target.response_time.record(took_ms, turns, usual_ms, now);
            }
        }
        self.judge_targets(&service, usual_ms, now);
    }

    /// Merges response times that another instance reports, see [`Placements::paces`].
    fn merge_response_times(&mut self, paces: &[(u64, f32)], now: Instant) {
        for (hash, time) in paces.iter().filter(|(_, time)| *time < 0.0) {
            let found = self.arena.values().find(|target| target.name_hash == *hash);
            let Some(service) = found.map(|target| target.entry.service.clone()) else {
                continue;
            };
            // An instance that has sent no request to the service has received no statement.
            let usual_ms = self.usual_observed_ms(&service, now);
            if let Some(target) = self.by_hash_mut(*hash) {
                let work_ms = -f64::from(*time);
                target.response_time.merge(work_ms, usual_ms, now);
            }
            self.judge_targets(&service, usual_ms, now);
        }
    }

    fn judge_targets(&mut self, service: &ServiceName, usual_ms: f64, now: Instant) {
        let targets = self.arena.values_mut();
        for target in targets.filter(|target| target.entry.service == *service) {
            if target.response_time.set_slow(usual_ms, now) {
                self.judgements.push(PaceJudgement {
                    target: target.entry.name.clone(),
                    is_slow: target.response_time.is_slow,
                    expected_ms: target.response_time.estimate_ms(usual_ms, now),
                    pace: target.response_time.stated_factor(),
                });
            }
        }
    }

    /// Returns the usual response time of a service's plain targets, in milliseconds, or 0 if it is
    /// not known yet; `None` unless one of them recently stated its pace.
    pub(crate) fn usual_response_ms(&self, service: &ServiceName, now: Instant) -> Option<f64> {
        let of_service = || {
            let all = self.arena.values();
            all.filter(|target| target.entry.service == *service)
        };
        if !of_service().any(|target| target.response_time.states_pace(now)) {
            return None;
        }
        Some(self.usual_observed_ms(service, now))
    }

    /// Returns the same even if no target stated its pace.
    fn usual_observed_ms(&self, service: &ServiceName, now: Instant) -> f64 {
        let all = self.arena.values();
        let of_service = all.filter(|target| target.entry.service == *service);
        let times = of_service.filter_map(|target| {
            let estimate = target.response_time.last_estimate_ms();
            estimate.or_else(|| self.quality.mean_ms(target.name_hash, now))
        });
        response_time::usual_ms(times)
    }

    /// Returns the usual expected time of a service's plain targets without queues, in milliseconds.
    pub(crate) fn usual_idle_ms(&self, service: &ServiceName, usual_ms: f64, now: Instant) -> f64 {
        let all = self.arena.values();
        let of_service = all.filter(|target| target.entry.service == *service);
        let idle = of_service.map(|target| target.response_time.expected_ms(1.0, usual_ms, now));
        response_time::usual_ms(idle)
    }

    /// Returns and clears the response times to be reported to other instances, as entries of
    /// [`Placements::paces`].
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    ///
    /// assert!(Targets::default().take_response_times().is_empty());
    /// ```
    pub fn take_response_times(&mut self) -> Vec<(u64, f32)> {
        let all = self.arena.values_mut();
        let reports = all.filter_map(|target| {
            let work_ms = target.response_time.take_report()?;
            Some((target.name_hash, -work_ms as f32))
        });
        reports.take(MAX_RESPONSE_TIMES).collect()
    }

    /// Returns and clears the plain targets that were judged slow, or usual again.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    ///
    /// assert!(Targets::default().take_judgements().is_empty());
    /// ```
    pub fn take_judgements(&mut self) -> Vec<PaceJudgement> {
        std::mem::take(&mut self.judgements)
    }

    /// Returns the number of targets that are judged slow. Those that were not observed recently
    /// don't count.
    pub fn count_slow_targets(&self, now: Instant) -> usize {
        let all = self.arena.values();
        all.filter(|target| target.response_time.is_slow_now(now))
            .count()
    }

    /// Records that a request to a target was reset at once, on a connection that had been idle for
    /// some time; returns whether this changes the idle limit.
    pub fn record_idle_reset(&mut self, key: TargetKey, idle_time: Duration, now: Instant) -> bool {
        let service = self.arena.get(key).map(Target::service_hash);
        service.is_some_and(|service| self.idle_limits.record_reset(service, idle_time, now))
    }

    /// Returns how long a connection to a target may be idle before a request is sent on it; `None`
    /// if none was lost while idle.
    pub fn idle_limit(&self, key: TargetKey, now: Instant) -> Option<Duration> {
        let target = self.arena.get(key)?;
        self.idle_limits.limit(target.service_hash(), now)
    }

    /// Records the time per event of a recent stream at an engine, in milliseconds.
    pub fn record_event_time(&mut self, key: TargetKey, event_ms: f32, now: Instant) {
        if let Some(target) = self.arena.get(key) {
            self.event_times.record(target.address_hash, event_ms, now);
            self.record_engine_event(key, event_ms, now);
        }
    }

    pub(crate) const fn event_times(&self) -> &EventTimes {
        &self.event_times
    }

    pub(crate) const fn quality(&self) -> &Quality {
        &self.quality
    }

    /// Returns the name hash of the engine that has recently read a prompt part.
    pub fn holder(&self, part: u64, now: Instant) -> Option<u64> {
        self.peer_streams.holder(part, now)
    }

    pub(crate) fn peer_usage(&self, now: Instant) -> Cow<'_, HashMap<u64, EngineUsage>> {
        self.peer_streams.usage(now)
    }

    /// Returns the known number of tokens that a target has to read, for prompts of all instances.
    pub fn reading(&self, key: TargetKey, now: Instant) -> u64 {
        let Some(target) = self.arena.get(key) else {
            return 0;
        };
        let usage = self.peer_usage(now);
        let others = usage
            .get(&target.name_hash)
            .map_or(0, |usage| usage.reading_tokens);
        target.reading_tokens + others
    }

    /// Returns whether this instance limits the rate of requests to a target of a service, which has
    /// a long queue.
    pub fn is_limited(&self, service: &ServiceName) -> bool {
        let mut usable = self.usable_targets(service);
        usable.any(|(_, target)| target.admission_rate.is_limited())
    }

    /// Returns when a caller may retry that was refused because all targets of a service have as many
    /// requests as they accept; `None` if some state no limit. `jitter` is between 0 and 1: callers
    /// are spread over the time in which each instance may send one request.
    pub fn time_until_rate_allows(
        &self,
        service: &ServiceName,
        instances: usize,
        jitter: f64,
        now: Instant,
    ) -> Option<Duration> {
        let (mut soonest, mut total_rate) = (None, 0.0);
        for (_, target) in self.usable_targets(service) {
            let limit = &target.rate_limit;
            let wait = limit.wait(instances, now)?;
            soonest = Some(soonest.map_or(wait, |soonest: Duration| soonest.min(wait)));
            total_rate += limit.stated().map_or(0.0, |(rate, _)| rate);
        }
        let spread = MAX_RETRY_SPREAD
            .as_secs_f64()
            .min(instances as f64 / total_rate);
        Some(soonest? + Duration::from_secs_f64(spread * jitter))
    }

    /// Returns the number of targets that state a limit for their rate of requests.
    pub fn count_rate_limited(&self) -> usize {
        let limited = self.arena.values();
        let limited = limited.filter(|target| target.rate_limit.stated().is_some());
        limited.count()
    }

    /// Returns the number of targets that have stated that they leave.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    ///
    /// assert_eq!(Targets::default().count_leaving(), 0);
    /// ```
    pub fn count_leaving(&self) -> usize {
        let targets = self.arena.values();
        targets.filter(|target| target.is_leaving).count()
    }

    /// Returns the targets of a service that may get new requests.
    pub(crate) fn usable_targets<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (TargetKey, &'a Target)> {
        self.iter()
            .filter(|(key, target)| target.entry.service == *service && self.is_usable(*key))
    }

    /// Returns whether a target may get new requests.
    pub fn is_usable(&self, key: TargetKey) -> bool {
        let is_ready = self.arena.get(key).is_some_and(Target::is_ready);
        is_ready && self.owns_address(key)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.arena.iter()
    }

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns whether there are no known targets.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}
