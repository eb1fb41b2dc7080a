//! What all instances have seen, merged without coordination.

use std::collections::BTreeMap;

use celerypond_types::{InstanceName, ModelName, Revision, TargetName, VersionName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::tally::{Tally, TrialCounts};

/// How close in time the breaks of one target count as one incident, in milliseconds.
pub const INCIDENT_WINDOW_MS: u64 = 10_000;
/// How many incidents, and failing targets, a report keeps.
const KEPT_INCIDENTS: usize = 64;
const KEPT_TARGETS: usize = 16;

/// A kind of request whose faults may differ from others', for example an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestClass(pub SmolStr);

/// One chunk of an answer, from the side of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The model.
    pub model: ModelName,
    /// The version that was chosen.
    pub version: VersionName,
    /// The kind of request.
    pub class: RequestClass,
    /// The target.
    pub target: TargetName,
    /// Whether it is the first of its answer.
    pub is_first: bool,
    /// When it began, as wall clock in milliseconds since 1970.
    pub begun_ms: u64,
}

/// What evidence is about: a model since the revision at which its part of the bundle changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The revision.
    pub origin: Revision,
    /// The model.
    pub model: ModelName,
}

/// The death, pause or loss of one target, which hits all that runs there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incident {
    /// The version that the target served.
    pub version: VersionName,
    /// The target.
    pub target: TargetName,
    /// The wall clock in milliseconds since 1970.
    pub at_ms: u64,
}

/// One version on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLine {
    /// The version.
    pub version: VersionName,
    /// The route.
    #[serde(rename = "route")]
    pub class: RequestClass,
    /// The sums.
    pub tally: Tally,
}

/// All that one instance has seen of a subject while it sent traffic to the candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// What it is about.
    pub subject: Subject,
    /// The instance.
    pub instance: InstanceName,
    /// Tells the runs of a restarted instance apart; rises.
    pub incarnation: u64,
    /// Tells newer reports from older ones; rises.
    pub sequence: u64,
    /// The sums, by version and route.
    pub lines: Vec<ReportLine>,
    /// Incidents of targets.
    pub incidents: Vec<Incident>,
    /// Failures by target.
    pub blamed: Vec<(VersionName, TargetName, u32)>,
}

impl EvidenceReport {
    /// Makes an empty report.
    pub fn new(subject: Subject, instance: InstanceName, incarnation: u64) -> Self {
        Self {
            subject,
            instance,
            incarnation,
            sequence: 0,
            lines: Vec::new(),
            incidents: Vec::new(),
            blamed: Vec::new(),
        }
    }

    /// Returns the sums of a version on a route, which the caller may add to.
    pub fn tally(&mut self, version: &VersionName, class: &RequestClass) -> &mut Tally {
        self.sequence += 1;
        let is_it = |line: &ReportLine| line.version == *version && line.class == *class;
        let at = self.lines.iter().position(is_it).unwrap_or_else(|| {
            self.lines.push(ReportLine {
                version: version.clone(),
                class: class.clone(),
                tally: Tally::default(),
            });
            self.lines.len() - 1
        });
        &mut self.lines[at].tally
    }

    /// Returns the sums that a trial belongs to.
    pub fn trials(&mut self, trial: &Trial) -> &mut TrialCounts {
        let tally = self.tally(&trial.version, &trial.class);
        if trial.is_first {
            &mut tally.first
        } else {
            &mut tally.later
        }
    }

    /// Notes on which target a trial failed.
    pub fn record_target_failure(&mut self, version: &VersionName, target: &TargetName) {
        let is_it = |(v, t, _): &&mut (_, _, u32)| v == version && t == target;
        if let Some((_, _, count)) = self.blamed.iter_mut().find(is_it) {
            *count += 1;
        } else if self.blamed.len() < KEPT_TARGETS {
            self.blamed.push((version.clone(), target.clone(), 1));
        }
    }

    /// Notes that a trial broke off on a target; returns whether its failure is to be discounted.
    ///
    /// An engine that dies takes all its streams along: dozens of failures at once that say nothing
    /// about the version. What ran there before the first break is discounted, and the break counts as
    /// one incident. A trial begun after it reached the target again and counts in full, so a version
    /// that breaks each connection is not excused.
    pub fn record_break(
        &mut self,
        version: &VersionName,
        target: &TargetName,
        begun_ms: u64,
        now_ms: u64,
    ) -> bool {
        let is_recent = |incident: &&Incident| {
            incident.target == *target && now_ms.saturating_sub(incident.at_ms) < INCIDENT_WINDOW_MS
        };
        if let Some(incident) = self.incidents.iter().rev().find(is_recent) {
            return begun_ms <= incident.at_ms;
        }
        if self.incidents.len() < KEPT_INCIDENTS {
            self.incidents.push(Incident {
                version: version.clone(),
                target: target.clone(),
                at_ms: now_ms,
            });
        }
        true
    }
}

/// The newest reports of all instances, a grow-only state that merges in any order.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{Evidence, EvidenceReport, RequestClass, Subject};
/// use celerypond_types::Revision;
///
/// let subject = Subject { origin: Revision(2), model: "draft".into() };
/// let mut report = EvidenceReport::new(subject.clone(), "i1".into(), 1);
/// report.tally(&"v2".into(), &RequestClass("".into())).first.sent += 1;
/// let mut evidence = Evidence::default();
/// assert!(evidence.merge(report.clone()));
/// assert!(!evidence.merge(report));
/// assert_eq!(evidence.total(&subject, &"v2".into(), None).first.sent, 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    reports: BTreeMap<(Subject, InstanceName, u64), EvidenceReport>,
}

impl Evidence {
    /// Takes a report; returns whether it is newer than the one held.
    pub fn merge(&mut self, report: EvidenceReport) -> bool {
        let is_newer = self.is_newer(&report);
        if is_newer {
            self.reports.insert(key(&report), report);
        }
        is_newer
    }

    /// Returns whether a report is newer than the one held.
    pub fn is_newer(&self, report: &EvidenceReport) -> bool {
        let held = self.reports.get(&key(report));
        held.is_none_or(|held| held.sequence < report.sequence)
    }

    /// Returns all reports.
    pub fn reports(&self) -> impl Iterator<Item = &EvidenceReport> {
        self.reports.values()
    }

    /// Returns the reports about a subject.
    pub fn reports_on<'a>(
        &'a self,
        subject: &'a Subject,
    ) -> impl Iterator<Item = &'a EvidenceReport> {
        self.reports
            .values()
            .filter(move |report| report.subject == *subject)
    }

    /// Returns the sums of a version over all instances, on one route or on all.
    pub fn total(
        &self,
        subject: &Subject,
        version: &VersionName,
        class: Option<&RequestClass>,
    ) -> Tally {
        let mut total = Tally::default();
        let lines = self.reports_on(subject).flat_map(|report| &report.lines);
        for line in lines {
            if line.version == *version && class.is_none_or(|class| *class == line.class) {
                total.merge(&line.tally);
            }
        }
        total
    }

    /// Returns the sums of a version over all instances by route.
    pub fn totals_by_class(
        &self,
        subject: &Subject,
        version: &VersionName,
    ) -> BTreeMap<&RequestClass, Tally> {
        let mut totals: BTreeMap<&RequestClass, Tally> = BTreeMap::new();
        for report in self.reports.values() {
            if report.subject != *subject {
                continue;
            }
            for line in report.lines.iter().filter(|line| line.version == *version) {
                totals.entry(&line.class).or_default().merge(&line.tally);
            }
        }
        totals
    }

    /// Returns the incidents of a version, each counted once however many instances saw it.
    pub fn incidents(&self, subject: &Subject, version: &VersionName) -> Vec<Incident> {
        let all = self
            .reports_on(subject)
            .flat_map(|report| &report.incidents);
        let mut seen: Vec<_> = all
            .filter(|seen| seen.version == *version)
            .cloned()
            .collect();
        seen.sort_by(|a, b| (&a.target, a.at_ms).cmp(&(&b.target, b.at_ms)));
        seen.dedup_by(|later, kept| {
            later.target == kept.target
                && later.at_ms.saturating_sub(kept.at_ms) < INCIDENT_WINDOW_MS
        });
        seen.sort_by_key(|incident| incident.at_ms);
        seen
    }

    /// Returns the failures of a version by target.
    pub fn failures_by_target(
        &self,
        subject: &Subject,
        version: &VersionName,
    ) -> BTreeMap<TargetName, u64> {
        let mut blamed = BTreeMap::new();
        for (_, target, count) in self
            .reports_on(subject)
            .flat_map(|report| &report.blamed)
            .filter(|(found, _, _)| found == version)
        {
            *blamed.entry(target.clone()).or_default() += u64::from(*count);
        }
        blamed
    }

    /// Drops all that is about other subjects.
    pub fn retain_subjects(&mut self, subjects: &[Subject]) {
        self.reports
            .retain(|(subject, _, _), _| subjects.contains(subject));
    }
}

fn key(report: &EvidenceReport) -> (Subject, InstanceName, u64) {
    (
        report.subject.clone(),
        report.instance.clone(),
        report.incarnation,
    )
}
