//! Evidence about versions, collected on all instances and merged without coordination.

use std::collections::BTreeMap;

use celerypond_types::{InstanceName, ModelName, Revision, TargetName, VersionName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::tally::{Tally, TrialCounts};

/// Time within which broken trials on one target count as one incident, in milliseconds.
pub const INCIDENT_WINDOW_MS: u64 = 10_000;
/// Maximum numbers of incidents and of failing targets in a report.
const MAX_INCIDENTS: usize = 64;
const MAX_FAILING_TARGETS: usize = 16;

/// A class of requests that may fail independently of others, for example the requests for one
/// adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestClass(pub SmolStr);

/// One chunk of an answer as the instance sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Model.
    pub model: ModelName,
    /// Version chosen for the request.
    pub version: VersionName,
    /// Class of the request.
    pub class: RequestClass,
    /// Target.
    pub target: TargetName,
    /// Whether it is the first chunk of its answer.
    pub is_first: bool,
    /// When it began, as Unix time in milliseconds.
    pub begun_ms: u64,
}

/// Subject of evidence: a model since the revision at which its configuration changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Revision at which the configuration of the model changed.
    pub origin: Revision,
    /// Model.
    pub model: ModelName,
}

/// The crash, pause or disconnection of a target, which affects all its answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incident {
    /// Version that the target served.
    pub version: VersionName,
    /// Target.
    pub target: TargetName,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}

/// Trial counts of one version and request class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLine {
    /// Version.
    pub version: VersionName,
    /// Request class.
    #[serde(rename = "route")]
    pub class: RequestClass,
    /// Counts.
    pub tally: Tally,
}

/// All evidence on a subject that one instance collected while it sent traffic to the candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Subject.
    pub subject: Subject,
    /// Instance that collected it.
    pub instance: InstanceName,
    /// Increases with each restart of the instance.
    pub incarnation: u64,
    /// Increases with each change of the report.
    pub sequence: u64,
    /// Trial counts by version and request class.
    pub lines: Vec<ReportLine>,
    /// Incidents of targets.
    pub incidents: Vec<Incident>,
    /// Number of failures by version and target.
    #[serde(rename = "blamed")]
    pub target_failures: Vec<(VersionName, TargetName, u32)>,
}

impl EvidenceReport {
    /// Creates an empty report.
    pub fn new(subject: Subject, instance: InstanceName, incarnation: u64) -> Self {
        Self {
            subject,
            instance,
            incarnation,
            sequence: 0,
            lines: Vec::new(),
            incidents: Vec::new(),
            target_failures: Vec::new(),
        }
    }

    /// Returns the counts of a version and request class for the caller to add to.
    pub fn tally(&mut self, version: &VersionName, class: &RequestClass) -> &mut Tally {
        self.sequence += 1;
        let is_same = |line: &ReportLine| line.version == *version && line.class == *class;
        let at = self.lines.iter().position(is_same).unwrap_or_else(|| {
            self.lines.push(ReportLine {
                version: version.clone(),
                class: class.clone(),
                tally: Tally::default(),
            });
            self.lines.len() - 1
        });
        &mut self.lines[at].tally
    }

    /// Returns the counts that a trial belongs to.
    pub fn trial_counts(&mut self, trial: &Trial) -> &mut TrialCounts {
        let tally = self.tally(&trial.version, &trial.class);
        if trial.is_first {
            &mut tally.first
        } else {
            &mut tally.later
        }
    }

    /// Records on which target a trial failed.
    pub fn record_target_failure(&mut self, version: &VersionName, target: &TargetName) {
        let is_same = |(v, t, _): &&mut (_, _, u32)| v == version && t == target;
        if let Some((_, _, count)) = self.target_failures.iter_mut().find(is_same) {
            *count += 1;
        } else if self.target_failures.len() < MAX_FAILING_TARGETS {
            self.target_failures
                .push((version.clone(), target.clone(), 1));
        }
    }

    /// Records that a trial broke off on a target; returns whether its failure is to be discounted.
    ///
    /// An engine that crashes breaks all its streams: dozens of failures at once that say nothing
    /// about the version. Trials that were running at the first break are discounted, and the break
    /// counts as one incident. A trial begun later reached the target again and counts in full, so
    /// a version that breaks each connection is still found.
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
        if self.incidents.len() < MAX_INCIDENTS {
            self.incidents.push(Incident {
                version: version.clone(),
                target: target.clone(),
                at_ms: now_ms,
            });
        }
        true
    }
}

/// The newest reports of all instances, which merge in any order.
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
    /// Stores a report unless a newer one is known; returns whether it was stored.
    pub fn merge(&mut self, report: EvidenceReport) -> bool {
        let is_newer = self.is_newer(&report);
        if is_newer {
            self.reports.insert(key(&report), report);
        }
        is_newer
    }

    /// Returns whether a report is newer than the known one.
    pub fn is_newer(&self, report: &EvidenceReport) -> bool {
        let held = self.reports.get(&key(report));
        held.is_none_or(|held| held.sequence < report.sequence)
    }

    /// Returns all reports.
    pub fn reports(&self) -> impl Iterator<Item = &EvidenceReport> {
        self.reports.values()
    }

    /// Returns the reports on a subject.
    pub fn reports_on<'a>(
        &'a self,
        subject: &'a Subject,
    ) -> impl Iterator<Item = &'a EvidenceReport> {
        self.reports
            .values()
            .filter(move |report| report.subject == *subject)
    }

    /// Returns the counts of a version over all instances, for one request class or for all.
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

    /// Returns the counts of a version over all instances by request class.
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

    /// Returns the incidents of a version, each of them once even if several instances reported it.
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

    /// Returns the number of failures of a version by target.
    pub fn failures_by_target(
        &self,
        subject: &Subject,
        version: &VersionName,
    ) -> BTreeMap<TargetName, u64> {
        let mut failures = BTreeMap::new();
        for (_, target, count) in self
            .reports_on(subject)
            .flat_map(|report| &report.target_failures)
            .filter(|(found, _, _)| found == version)
        {
            *failures.entry(target.clone()).or_default() += u64::from(*count);
        }
        failures
    }

    /// Removes the reports on all other subjects than these.
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
