//! Quarantine of parts of prompts under which engines end.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    part_record::{PartEnd, PartRecord},
    PartKey, PartNotice, QuarantinedPart, SuspectPart, TargetRun,
};

/// How long an engine has to go on after it began an answer until that clears the prompt.
const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// The maximum time between two polls that counts towards it. While this instance is paused, it does
/// not see that an engine ends.
const MAX_POLL_GAP: Duration = Duration::from_millis(250);
/// The maximum number of parts that are remembered.
const MAX_PARTS: usize = 4_096;
/// The maximum number of parts in a notice, which has to fit into a datagram.
const MAX_NOTICE_PARTS: usize = 32;
/// A part is quarantined only if at least one in this many of the engines that ended meanwhile did
/// so under it.
const MIN_SHARE_DIVISOR: usize = 2;
/// The maximum number of ends of engines that are remembered.
const MAX_RECENT_ENDS: usize = 512;

/// An answer that an engine began a short time ago.
#[derive(Clone, Debug)]
struct Answer {
    target: TargetRun,
    parts: Vec<PartKey>,
    began: Instant,
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAccess {
    /// It may be sent.
    Allowed,
    /// It may be sent as a probe if no other instance sends one.
    ProbeDue,
    /// It must not be sent for this long.
    Blocked(Duration),
}

/// A change of the quarantine of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartChange {
    /// The part.
    pub part: PartKey,
    /// Whether it is quarantined now.
    pub is_quarantined: bool,
    /// The number of engines that ended under it.
    pub ended: usize,
}

/// Keeps requests from engines if a part of their prompts ends each engine that begins to answer.
///
/// Such requests need not resemble each other otherwise, so that a limit on the ends under one
/// request does not stop them. Many requests share a part, and most parts were at engines that ended
/// for another reason, so ends are not just counted:
///
/// - A request is a suspect if its answer had not begun when the engine ended, or only just.
/// - A part that an engine began to answer and that it survived is not the cause of earlier ends.
///   After some survivals in a row it is established, and no suspect for a while.
/// - Ends at the same moment count once, and ends under a part do not count while most engines end
///   without it.
/// - A part is not quarantined if another one accounts for all ends under it and for more, or for the
///   same ones while fewer requests have it.
///
/// A quarantined part is probed with single requests at growing intervals. The evidence is merged
/// over all instances.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{PartAccess, PartKey, PartQuarantine, TargetRun};
/// use celerypond_types::ServiceName;
/// use tokio::time::Instant;
///
/// let mut now = Instant::now();
/// let part = PartKey::new(&ServiceName::new("writer"), 7);
/// let mut quarantine = PartQuarantine::default();
/// for name in ["i-1", "i-2", "i-3"] {
///     assert_eq!(quarantine.access(&[part], now), PartAccess::Allowed);
///     quarantine.record_end(&[part], TargetRun::new(name, None), None, now);
///     now += Duration::from_secs(1);
/// }
/// assert!(matches!(quarantine.access(&[part], now), PartAccess::Blocked(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    parts: HashMap<PartKey, PartRecord>,
    /// The answers that began within the survival time.
    answers: Vec<Answer>,
    /// The engines that ended, the latest ones last.
    ends: VecDeque<PartEnd>,
    polled: Option<Instant>,
    changes: Vec<PartChange>,
}

impl PartQuarantine {
    /// Counts a request with these parts.
    pub fn record_request(&mut self, parts: &[PartKey], now: Instant) {
        for part in parts {
            let record = self.record_mut(*part, now);
            record.requests = record.requests.saturating_add(1);
            record.seen = now;
        }
    }

    /// Records that an engine began to answer a request with these parts.
    pub fn record_begin(&mut self, parts: &[PartKey], target: TargetRun, now: Instant) {
        if !parts.is_empty() {
            self.answers.push(Answer {
                target,
                parts: parts.to_vec(),
                began: now,
            });
        }
    }

    /// Records that an engine ended while it had a request with these parts, whose answer had begun
    /// `answered` before. Returns the notice for other instances if that is new.
    pub fn record_end(
        &mut self,
        parts: &[PartKey],
        target: TargetRun,
        answered: Option<Duration>,
        now: Instant,
    ) -> Option<PartNotice> {
        let is_new_end = self.add_target(target, now);
        let mut suspects = self.take_answers(target);
        if answered.is_none_or(|answered| answered < SURVIVAL_TIME) {
            suspects.extend_from_slice(parts);
        }
        suspects.sort_unstable();
        suspects.dedup();
        suspects.retain(|part| self.add_end(*part, target, now));
        suspects.truncate(MAX_NOTICE_PARTS);
        let suspects = suspects.into_iter();
        let suspects = suspects.map(|part| self.record_mut(part, now).known(part));
        let suspects: Vec<SuspectPart> = suspects.collect();
        (is_new_end || !suspects.is_empty()).then_some(PartNotice::Ended(target, suspects))
    }

    /// Records which engines have survived the answers that they began. Returns the notice for other
    /// instances if that clears parts. To be called at least every quarter of a second.
    pub fn poll(&mut self, now: Instant) -> Option<PartNotice> {
        let gap = self
            .polled
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let pause = gap.saturating_sub(MAX_POLL_GAP);
        self.polled = Some(now);
        let mut survived = Vec::new();
        self.answers.retain_mut(|answer| {
            answer.began += pause;
            let is_recent = now.saturating_duration_since(answer.began) < SURVIVAL_TIME;
            if !is_recent {
                survived.append(&mut answer.parts);
            }
            is_recent
        });
        let mut cleared = Vec::new();
        for part in survived {
            if self.record_mut(part, now).is_suspect() {
                cleared.push(part);
            }
            self.log_clearing(part);
            self.record_mut(part, now).record_survival(now);
        }
        cleared.truncate(MAX_NOTICE_PARTS);
        (!cleared.is_empty()).then_some(PartNotice::Cleared(cleared))
    }

    /// Merges the notice of another instance, and returns the response to it, if there is one.
    pub fn merge(&mut self, notice: PartNotice, now: Instant) -> Option<PartNotice> {
        match notice {
            PartNotice::Ended(target, suspects) => self.merge_end(target, &suspects, now),
            PartNotice::Cleared(parts) => {
                for part in parts {
                    self.clear(part);
                }
                None
            }
            PartNotice::Known(parts) => {
                for known in parts {
                    self.record_mut(known.part, now).merge_known(&known);
                }
                None
            }
            PartNotice::Probed(origin, parts) => {
                for part in parts {
                    self.record_mut(part, now).claim_probe(origin, now);
                }
                None
            }
            PartNotice::Quarantined(parts) => {
                let cleared = parts
                    .iter()
                    .filter(|part| !self.merge_quarantine(part, now));
                let cleared: Vec<PartKey> = cleared.map(|cleared| cleared.part).collect();
                (!cleared.is_empty()).then_some(PartNotice::Cleared(cleared))
            }
            PartNotice::Query => self.summary(now),
        }
    }

    /// Returns whether a request with these parts may be sent to an engine.
    pub fn access(&self, parts: &[PartKey], now: Instant) -> PartAccess {
        let blocked = parts.iter().filter(|part| self.is_blocked(**part, now));
        let waits = blocked.filter_map(|part| self.parts.get(part)?.probe_schedule(now));
        match waits.map(|(_, due)| due).max() {
            None => PartAccess::Allowed,
            Some(due) if due.is_zero() => PartAccess::ProbeDue,
            Some(due) => PartAccess::Blocked(due),
        }
    }

    /// Returns whether another end under a request with these parts quarantines one of them.
    pub fn is_near_limit(&self, parts: &[PartKey]) -> bool {
        let mut records = parts.iter().filter_map(|part| self.parts.get(part));
        records.any(PartRecord::is_near_limit)
    }

    /// Returns the first of these parts for which requests are blocked.
    pub fn blocked_part(&self, parts: &[PartKey], now: Instant) -> Option<PartKey> {
        let mut parts = parts.iter().copied();
        parts.find(|part| self.is_blocked(*part, now))
    }

    /// Claims the probe of parts for the instance with this origin. Returns the notice for other
    /// instances; whether the claim holds is known once theirs have arrived.
    pub fn claim_probe(&mut self, parts: &[PartKey], origin: u64, now: Instant) -> PartNotice {
        let blocked: Vec<PartKey> = parts
            .iter()
            .copied()
            .filter(|part| self.is_blocked(*part, now))
            .collect();
        for part in &blocked {
            self.record_mut(*part, now).claim_probe(origin, now);
        }
        PartNotice::Probed(origin, blocked)
    }

    /// Returns whether the claim of the instance with this origin holds.
    pub fn holds_probe(&self, parts: &[PartKey], origin: u64, now: Instant) -> bool {
        let mut blocked = parts.iter().filter(|part| self.is_blocked(**part, now));
        blocked.all(|part| {
            let record = self.parts.get(part);
            record.is_some_and(|record| record.is_probed_by(origin))
        })
    }

    /// Returns the notice of all quarantined parts, if there are any.
    pub fn summary(&self, now: Instant) -> Option<PartNotice> {
        let quarantined = self.parts.iter().filter_map(|(part, record)| {
            let (probes, due) = record.probe_schedule(now)?;
            Some(QuarantinedPart {
                part: *part,
                targets: record.ends.iter().map(|end| end.target).collect(),
                probes,
                due_ms: u64::try_from(due.as_millis()).unwrap_or(u64::MAX),
            })
        });
        let quarantined: Vec<_> = quarantined.take(MAX_NOTICE_PARTS).collect();
        (!quarantined.is_empty()).then_some(PartNotice::Quarantined(quarantined))
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        let records = self.parts.values();
        records.filter(|record| record.is_quarantined()).count()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether requests with a part are blocked: it is quarantined, and no other part
    /// explains the ends under it.
    fn is_blocked(&self, part: PartKey, now: Instant) -> bool {
        let Some(record) = self
            .parts
            .get(&part)
            .filter(|record| record.is_quarantined())
        else {
            return false;
        };
        let mut others = self.parts.iter().filter(|(other, _)| **other != part);
        !others.any(|(_, other)| record.is_explained_by(other, now))
    }

    /// Removes the recent answers of an engine, and returns their parts.
    fn take_answers(&mut self, target: TargetRun) -> Vec<PartKey> {
        let ended = self
            .answers
            .extract_if(.., |answer| answer.target == target);
        ended.flat_map(|answer| answer.parts).collect()
    }

    /// Adds an end under a part, and returns whether it is new. Ends under an established part have
    /// another cause.
    fn add_end(&mut self, part: PartKey, target: TargetRun, now: Instant) -> bool {
        let record = self.record_mut(part, now);
        if record.is_established(now) {
            return false;
        }
        let is_new = record.record_end(target, now);
        if is_new && !record.is_quarantined() && self.is_likely_cause(part, now) {
            self.quarantine(part, now);
        }
        is_new
    }

    /// Returns whether most of the engines that ended lately did so under a part, apart from those that
    /// ended under others that are blocked.
    fn is_likely_cause(&self, part: PartKey, now: Instant) -> bool {
        let Some(record) = self.parts.get(&part) else {
            return false;
        };
        let Some(since) = record.evidence_since(now) else {
            return false;
        };
        let blocked = self.parts.iter().filter(|(other, record)| {
            **other != part && record.is_quarantined() && self.is_blocked(**other, now)
        });
        let blocked: Vec<&PartRecord> = blocked.map(|(_, record)| record).collect();
        let is_explained = |end: &PartEnd| blocked.iter().any(|other| other.has_ended(end.target));
        let recent = self.ends.iter().filter(|end| end.at >= since);
        let own = recent.clone().filter(|end| record.has_ended(end.target));
        let others = recent.filter(|end| !record.has_ended(end.target) && !is_explained(end));
        let (own, others) = (own.count(), others.count());
        own * MIN_SHARE_DIVISOR >= own + others
    }

    fn quarantine(&mut self, part: PartKey, now: Instant) {
        self.record_mut(part, now).quarantine(now);
        self.add_change(part, true);
    }

    /// Adds an engine that ended, and returns whether it is new.
    fn add_target(&mut self, target: TargetRun, now: Instant) -> bool {
        if self.ends.iter().rev().any(|end| end.target == target) {
            return false;
        }
        if self.ends.len() >= MAX_RECENT_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(PartEnd { target, at: now });
        true
    }

    /// Merges an end that another instance observed. Returns a notice of the parts that are known to
    /// be sound.
    fn merge_end(
        &mut self,
        target: TargetRun,
        suspects: &[SuspectPart],
        now: Instant,
    ) -> Option<PartNotice> {
        self.add_target(target, now);
        let mut suspected = suspects.to_vec();
        // Answers of this instance that the engine had just begun are suspects as well.
        for part in self.take_answers(target) {
            suspected.push(self.record_mut(part, now).known(part));
        }
        let (mut sound, mut known) = (Vec::new(), Vec::new());
        for suspect in suspected {
            let record = self.record_mut(suspect.part, now);
            record.merge_known(&suspect);
            if record.is_established(now) {
                sound.push(suspect.part);
            } else if record.total_survivals > suspect.survivals {
                known.push(record.known(suspect.part));
            }
            self.add_end(suspect.part, target, now);
        }
        if sound.is_empty() {
            return (!known.is_empty()).then_some(PartNotice::Known(known));
        }
        Some(PartNotice::Cleared(sound))
    }

    /// Merges the quarantine of another instance. Returns whether the part is not known to be sound.
    fn merge_quarantine(&mut self, quarantined: &QuarantinedPart, now: Instant) -> bool {
        let part = quarantined.part;
        let record = self.record_mut(part, now);
        if record.is_established(now) || record.was_cleared_since(&quarantined.targets) {
            return false;
        }
        let was_quarantined = record.is_quarantined();
        let due = Duration::from_millis(quarantined.due_ms);
        record.merge_quarantine(&quarantined.targets, (quarantined.probes, due), now);
        if !was_quarantined {
            self.add_change(part, true);
        }
        true
    }

    fn clear(&mut self, part: PartKey) {
        self.log_clearing(part);
        if let Some(record) = self.parts.get_mut(&part) {
            record.clear();
        }
    }

    /// Adds the change of a part that is quarantined and about to be cleared.
    fn log_clearing(&mut self, part: PartKey) {
        let record = self.parts.get(&part);
        if record.is_some_and(PartRecord::is_quarantined) {
            self.add_change(part, false);
        }
    }

    fn add_change(&mut self, part: PartKey, is_quarantined: bool) {
        let ended = self.parts.get(&part).map_or(0, |record| record.ends.len());
        self.changes.push(PartChange {
            part,
            is_quarantined,
            ended,
        });
    }

    fn record_mut(&mut self, part: PartKey, now: Instant) -> &mut PartRecord {
        if !self.parts.contains_key(&part) && self.parts.len() >= MAX_PARTS {
            self.make_room();
        }
        self.parts
            .entry(part)
            .or_insert_with(|| PartRecord::new(now))
    }

    /// Removes half of the parts: first those without ends, then those that were not seen for longest.
    fn make_room(&mut self) {
        let order =
            |record: &PartRecord| (record.is_quarantined(), record.is_suspect(), record.seen);
        let records = self.parts.iter();
        let mut records: Vec<_> = records
            .map(|(part, record)| (order(record), *part))
            .collect();
        records.sort_unstable();
        records.truncate(MAX_PARTS / 2);
        for (_, part) in records {
            self.parts.remove(&part);
        }
    }
}
