//! The evidence about one part of prompts.

use std::time::Duration;

use tokio::time::Instant;

use crate::{PartKey, SuspectPart, TargetRun};

/// The number of ends in a row after which a part is quarantined that no engine has survived yet, and
/// the maximum for parts that some have.
const MIN_ENDS: usize = 3;
const MAX_ENDS: usize = 5;
/// The number of survivals in a row that establish a part as sound.
const MIN_SURVIVALS: u32 = 3;
/// How long survivals count. The engines may have been replaced since.
const SURVIVAL_TTL: Duration = Duration::from_secs(30);
/// Ends that are closer to each other may have one cause, such as a failing data centre.
const MIN_END_GAP: Duration = Duration::from_millis(100);
/// The minimum time for which the ends of all engines are compared with those under a part. Engines
/// that fail together may end over more than a second.
const MIN_EVIDENCE_WINDOW: Duration = Duration::from_secs(3);
/// The minimum time between the first and the last end under a part that engines have survived before.
const MIN_SPAN: Duration = Duration::from_secs(2);
/// The maximum number of engines that are remembered for each part.
const MAX_TARGETS: usize = 32;
/// The wait before the first probe of a quarantined part. Requests that were at engines when it was
/// quarantined have ended or survived by then.
const FIRST_PROBE_GAP: Duration = Duration::from_secs(2);
/// The factor by which the wait grows with each probe, and its maximum.
const PROBE_GAP_FACTOR: u32 = 10;
const MAX_PROBE_GAP: Duration = Duration::from_secs(3_600);
/// How long claims of instances for the same probe count as concurrent.
const CLAIM_WINDOW: Duration = Duration::from_millis(100);

/// The time within which all instances that saw the same end have reported it.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// An engine that ended under a part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartEnd {
    pub(crate) target: TargetRun,
    pub(crate) at: Instant,
}

/// A claim to probe a part.
#[derive(Clone, Copy, Debug)]
struct Claim {
    origin: u64,
    at: Instant,
}

/// The probes of a quarantined part.
#[derive(Clone, Copy, Debug)]
struct Probes {
    count: u32,
    due: Instant,
    claim: Option<Claim>,
}

impl Probes {
    fn gap(&self) -> Duration {
        let factor = PROBE_GAP_FACTOR.saturating_pow(self.count);
        FIRST_PROBE_GAP.saturating_mul(factor).min(MAX_PROBE_GAP)
    }

    fn postpone(&mut self, now: Instant) {
        self.due = self.due.max(now + self.gap());
    }
}

/// The evidence about one part of prompts.
#[derive(Clone, Debug)]
pub(crate) struct PartRecord {
    /// The number of requests with the part.
    pub(crate) requests: u32,
    /// When such a request was last seen.
    pub(crate) seen: Instant,
    /// The engines that ended since the last survival, the oldest first.
    pub(crate) ends: Vec<PartEnd>,
    /// The engines that ended before it.
    cleared: Vec<TargetRun>,
    /// The latest ends that do not belong to one failure.
    separate: Vec<Instant>,
    /// The number of survivals since the last end, and of all.
    survivals: u32,
    pub(crate) total_survivals: u32,
    last_survival: Option<Instant>,
    probes: Option<Probes>,
}

impl PartRecord {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            requests: 0,
            seen: now,
            ends: Vec::new(),
            cleared: Vec::new(),
            separate: Vec::new(),
            survivals: 0,
            total_survivals: 0,
            last_survival: None,
            probes: None,
        }
    }

    /// Returns what instances tell each other of the part besides its ends.
    pub(crate) const fn known(&self, part: PartKey) -> SuspectPart {
        SuspectPart {
            part,
            requests: self.requests,
            survivals: self.total_survivals,
        }
    }

    pub(crate) fn merge_known(&mut self, known: &SuspectPart) {
        self.requests = self.requests.max(known.requests);
        self.total_survivals = self.total_survivals.max(known.survivals);
    }

    /// Returns whether engines answered enough requests with the part to rule it out as a cause.
    pub(crate) fn is_established(&self, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < SURVIVAL_TTL;
        self.survivals >= MIN_SURVIVALS && self.last_survival.is_some_and(is_fresh)
    }

    pub(crate) const fn is_suspect(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns whether the next end may quarantine the part.
    pub(crate) const fn is_near_limit(&self) -> bool {
        self.separate.len() + 1 >= self.max_ends()
    }

    /// Returns the number of ends that quarantine the part.
    const fn max_ends(&self) -> usize {
        let survivals = self.total_survivals as usize;
        if survivals > MAX_ENDS - MIN_ENDS {
            return MAX_ENDS;
        }
        MIN_ENDS + survivals
    }

    pub(crate) const fn is_quarantined(&self) -> bool {
        self.probes.is_some()
    }

    /// Returns since when the engines ended that may quarantine the part; `None` if too few did.
    pub(crate) fn evidence_since(&self, now: Instant) -> Option<Instant> {
        let is_recent = |end: &PartEnd| now.saturating_duration_since(end.at) < MIN_SPAN;
        if self.total_survivals > 0 && self.ends.first().is_none_or(is_recent) {
            return None;
        }
        let first = self.separate.first().copied();
        let first = first.filter(|_| self.separate.len() >= self.max_ends())?;
        let window = now.checked_sub(MIN_EVIDENCE_WINDOW);
        Some(window.map_or(first, |window| window.min(first)))
    }

    pub(crate) fn has_ended(&self, target: TargetRun) -> bool {
        self.ends.iter().any(|end| end.target == target)
    }

    /// Returns whether these engines ended before a survival.
    pub(crate) fn was_cleared_since(&self, targets: &[TargetRun]) -> bool {
        targets.iter().all(|target| self.cleared.contains(target))
    }

    /// Returns whether the other part accounts for all ends under this one, and is the likelier cause:
    /// more engines ended under it, or fewer requests have it. The latest ends may not have been
    /// reported for the other part yet.
    pub(crate) fn is_explained_by(&self, other: &Self, now: Instant) -> bool {
        let (own, others) = (self.ends.len(), other.ends.len());
        let is_likelier = others > own || (others == own && other.requests < self.requests);
        let is_settled = |end: &&PartEnd| now.saturating_duration_since(end.at) >= SETTLE_TIME;
        let mut settled = self.ends.iter().filter(is_settled);
        is_likelier && settled.all(|end| other.has_ended(end.target))
    }

    /// Records that an engine ended. Returns whether that was not known.
    pub(crate) fn record_end(&mut self, target: TargetRun, now: Instant) -> bool {
        if self.has_ended(target) || self.cleared.contains(&target) {
            return false;
        }
        if self.ends.len() < MAX_TARGETS {
            self.ends.push(PartEnd { target, at: now });
        }
        self.survivals = 0;
        let is_separate = |at: &Instant| now.saturating_duration_since(*at) >= MIN_END_GAP;
        if self.separate.last().is_none_or(is_separate) {
            self.separate.push(now);
            let excess = self.separate.len().saturating_sub(MAX_ENDS);
            self.separate.drain(..excess);
        }
        if let Some(probes) = &mut self.probes {
            probes.postpone(now);
        }
        true
    }

    /// Quarantines the part.
    pub(crate) fn quarantine(&mut self, now: Instant) {
        self.probes = Some(Probes {
            count: 0,
            due: now + FIRST_PROBE_GAP,
            claim: None,
        });
    }

    /// Records that an engine answered a request with the part and went on.
    pub(crate) fn record_survival(&mut self, now: Instant) {
        self.survivals = self.survivals.saturating_add(1);
        self.total_survivals = self.total_survivals.saturating_add(1);
        self.last_survival = Some(now);
        self.clear();
    }

    /// Forgets the ends so far.
    pub(crate) fn clear(&mut self) {
        self.cleared
            .extend(self.ends.drain(..).map(|end| end.target));
        let excess = self.cleared.len().saturating_sub(MAX_TARGETS);
        self.cleared.drain(..excess);
        self.separate.clear();
        self.probes = None;
    }

    /// Merges the quarantine of another instance.
    pub(crate) fn merge_quarantine(
        &mut self,
        targets: &[TargetRun],
        (probes, due): (u32, Duration),
        now: Instant,
    ) {
        for target in targets.iter().take(MAX_TARGETS) {
            if !self.has_ended(*target) && self.ends.len() < MAX_TARGETS {
                self.ends.push(PartEnd {
                    target: *target,
                    at: now,
                });
            }
        }
        self.survivals = 0;
        if self.probes.is_none() {
            self.quarantine(now);
        }
        if let Some(own) = &mut self.probes {
            own.count = own.count.max(probes);
            own.due = own.due.max(now + due.min(MAX_PROBE_GAP));
        }
    }

    /// Records that an instance is about to probe the part. Of concurrent claims, that of the lowest
    /// origin holds.
    pub(crate) fn claim_probe(&mut self, origin: u64, now: Instant) {
        let Some(probes) = &mut self.probes else {
            return;
        };
        let is_concurrent = |claim: &Claim| now.saturating_duration_since(claim.at) < CLAIM_WINDOW;
        if let Some(claim) = probes.claim.as_mut().filter(|claim| is_concurrent(claim)) {
            claim.origin = claim.origin.min(origin);
            return;
        }
        probes.count += 1;
        probes.claim = Some(Claim { origin, at: now });
        probes.postpone(now);
    }

    /// Returns whether the instance with this origin made the last probe.
    pub(crate) fn is_probed_by(&self, origin: u64) -> bool {
        let claim = self.probes.and_then(|probes| probes.claim);
        claim.is_some_and(|claim| claim.origin == origin)
    }

    /// Returns the number of probes and the time until the next one, if the part is quarantined.
    pub(crate) fn probe_schedule(&self, now: Instant) -> Option<(u32, Duration)> {
        let probes = self.probes?;
        Some((probes.count, probes.due.saturating_duration_since(now)))
    }
}
