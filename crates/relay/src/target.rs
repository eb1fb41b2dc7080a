//! The state of a target.

use std::time::Duration;

use celerypond_types::ServiceName;
use tokio::time::Instant;

use crate::{
    link::Link, AdmissionRate, AttemptFailure, Cooldown, Load, Pace, Presence, RateLimit,
    RejectionLimit, ResponseTime, SteadyTime, TargetEntry, UsageLevels,
};

/// How long a target is avoided after a connection to it broke; this is doubled with each further
/// failure. Connections may also be reset while the target lives.
const AVOID_TIME: Duration = Duration::from_millis(400);
/// How long a target is avoided after it refused a connection. A restart takes about a second,
/// after which the target has another name.
const DEAD_AVOID_TIME: Duration = Duration::from_millis(1_500);
/// The maximum time for which a target is avoided.
const MAX_AVOID_TIME: Duration = Duration::from_secs(4);
/// How long a load that a target reported is valid.
const LOAD_TTL: Duration = Duration::from_millis(500);
/// How long a stated pace is valid.
const PACE_TTL: Duration = Duration::from_secs(3);
/// The maximum slowdown that is accepted because it is stated.
const MAX_SLOWDOWN: f64 = 4.0;

/// A report of another instance that a target accepted no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DeathReport {
    /// The id of the instance's process.
    origin: u64,
    /// When the report was received.
    at: Instant,
}

/// The state of a target that is used although the store does not list it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unlisted {
    /// When it last answered an instance.
    pub(crate) seen: Instant,
    /// Since when the store's list is known to lack it; `None` if the list is older than `seen`.
    pub(crate) absent: Option<Instant>,
}

/// The state of a target as known to this instance.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its entry in the store.
    pub entry: TargetEntry,
    /// The number of this instance's open requests at it.
    pub open_requests: u32,
    /// The hash of its name, by which instances refer to it in messages.
    pub name_hash: u64,
    /// The hash of its address, from which its rank for prompts and its group are derived.
    pub address_hash: u64,
    /// The number of this instance's prompts that it is reading.
    pub reading_prompts: u32,
    /// Tokens of these prompts, each with its maximum response.
    pub reading_tokens: u64,
    /// The maximum number of tokens of this instance's streams in its memory.
    pub stream_tokens: u64,
    /// The usage of it by this instance's streams, by urgency.
    pub levels: UsageLevels,
    /// The number of consecutive failures.
    pub failures: u32,
    /// Until when it is avoided after failures of this instance's own attempts.
    failed_until: Option<Instant>,
    /// The latest report of each instance that found it dead.
    reports: Vec<DeathReport>,
    /// Whether it accepted no connection when it was last tried.
    pub is_dead: bool,
    /// When this or another instance found it dead.
    pub dead_since: Option<Instant>,
    /// When it last accepted no connection of this instance.
    pub found_dead_at: Option<Instant>,
    /// Whether it has stated that it leaves.
    pub(crate) is_leaving: bool,
    /// Set if it is used because it answered, although the store does not list it.
    pub(crate) unlisted: Option<Unlisted>,
    /// Whether no later target has its address.
    pub(crate) owns_address: bool,
    /// Until when its entry may come back, if it is missing after an outage of the store.
    pub missing_until: Option<Instant>,
    /// When it was last queried for the prompt parts that it holds.
    pub(crate) last_queried: Option<Instant>,
    /// The rate at which this instance sends requests to it; not limited for engines.
    pub admission_rate: AdmissionRate,
    /// The limit on requests that it rejects, if it is brittle.
    pub rejection_limit: RejectionLimit,
    /// The limit on requests of all instances, if it states one.
    pub rate_limit: RateLimit,
    /// The time for which it wants no requests from this instance.
    pub cooldown: Cooldown,
    load: Option<(Load, Instant)>,
    /// The pace that it last stated.
    pub(crate) stated: Option<(Pace, Instant)>,
    /// The factor of its stated pace, without short changes.
    steady_pace: Option<SteadyTime>,
    /// Its response time, if it is a plain target that states its pace.
    pub response_time: ResponseTime,
    /// This instance's link to it.
    pub(crate) link: Link,
}

/// Returns the hash of a service's name, by which instances refer to the service in messages.
pub(crate) fn service_hash(service: &ServiceName) -> u64 {
    celerypond_route::hash(service.as_str().as_bytes())
}

impl Target {
    /// Returns a target without any history.
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            name_hash: celerypond_route::hash(entry.name.as_str().as_bytes()),
            address_hash: celerypond_route::hash(entry.address.to_string().as_bytes()),
            entry,
            open_requests: 0,
            reading_prompts: 0,
            reading_tokens: 0,
            stream_tokens: 0,
            levels: UsageLevels::default(),
            failures: 0,
            failed_until: None,
            reports: Vec::new(),
            is_dead: false,
            dead_since: None,
            found_dead_at: None,
            is_leaving: false,
            unlisted: None,
            owns_address: false,
            missing_until: None,
            last_queried: None,
            admission_rate: AdmissionRate::default(),
            rejection_limit: RejectionLimit::default(),
            rate_limit: RateLimit::default(),
            cooldown: Cooldown::default(),
            load: None,
            stated: None,
            steady_pace: None,
            response_time: ResponseTime::default(),
            link: Link::default(),
        }
    }

    /// Returns the hash of its service's name.
    pub(crate) fn service_hash(&self) -> u64 {
        service_hash(&self.entry.service)
    }

    /// Returns whether it accepts new requests. What it states itself counts even if the store lists
    /// it as ready: its entry may be older, or the store out of reach.
    pub fn is_ready(&self) -> bool {
        self.entry.presence == Presence::Ready && !self.is_leaving
    }

    /// Records that the process that started at `born` stated that it leaves. Returns whether that was
    /// not known.
    ///
    /// # Examples
    ///
    /// ```
    /// # use celerypond_relay::{Presence, Target, TargetEntry};
    /// # use celerypond_types::{DataCentre, ServiceName, TargetName, VersionName};
    /// # let entry = TargetEntry {
    /// #     name: TargetName::new("i-1"),
    /// #     service: ServiceName::new("writer"),
    /// #     address: "10.0.0.7:8080".parse().unwrap(),
    /// #     data_centre: DataCentre::new("east"),
    /// #     version: VersionName::new("v1"),
    /// #     slots: 8,
    /// #     presence: Presence::Ready,
    /// #     cold: std::time::Duration::ZERO,
    /// #     born: Some(7),
    /// # };
    /// let mut target = Target::new(entry);
    /// assert!(!target.record_leaving(Some(6)));
    /// assert!(target.is_ready());
    /// assert!(target.record_leaving(Some(7)));
    /// assert!(!target.is_ready());
    /// ```
    pub fn record_leaving(&mut self, born: Option<u64>) -> bool {
        let is_new = self.entry.born == born && !self.is_leaving;
        self.is_leaving |= is_new;
        is_new
    }

    /// Returns whether it is currently avoided after failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until().is_some_and(|until| until > now)
    }

    /// Returns until when it is avoided after failures.
    pub fn avoided_until(&self) -> Option<Instant> {
        self.failed_until.max(self.reported_until())
    }

    /// Returns whether it is currently believed to be dead.
    pub fn is_believed_dead(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_AVOID_TIME;
        let was_found_dead = self.is_dead && self.found_dead_at.is_some_and(is_recent);
        was_found_dead || self.is_reported_dead(now)
    }

    fn reported_until(&self) -> Option<Instant> {
        let latest = self.reports.iter().map(|report| report.at).max();
        latest.map(|at| at + DEAD_AVOID_TIME)
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, failure: AttemptFailure, now: Instant) {
        if !failure.suggests_target_down() {
            return;
        }
        self.failures += 1;
        self.is_dead |= failure == AttemptFailure::Unsent || failure.ended_target();
        if self.is_dead {
            self.dead_since.get_or_insert(now);
            self.found_dead_at = Some(now);
        }
        let base = if self.is_dead {
            DEAD_AVOID_TIME
        } else {
            AVOID_TIME
        };
        let factor = 1 << self.failures.min(4).saturating_sub(1);
        let until = now + (base * factor).min(MAX_AVOID_TIME);
        self.failed_until = self.failed_until.max(Some(until));
    }

    /// Records that another instance found it dead.
    ///
    /// Otherwise each instance would have to find this out by losing a stream that it sends there,
    /// or a backup when it is needed. The report may be due to a fault of that instance's own link,
    /// so it expires unless the instance fails there again. It is not passed on: instances would
    /// renew each other's reports, and a healthy target would be avoided forever.
    pub fn record_peer_failure(&mut self, origin: u64, now: Instant) {
        self.dead_since.get_or_insert(now);
        self.forget_report(origin);
        self.reports.push(DeathReport { origin, at: now });
    }

    /// Forgets the report of an instance that it is dead.
    pub(crate) fn forget_report(&mut self, origin: u64) {
        self.reports.retain(|report| report.origin != origin);
    }

    /// Returns whether another instance recently found it dead.
    pub fn is_reported_dead(&self, now: Instant) -> bool {
        self.reported_until().is_some_and(|until| until > now)
    }

    /// Forgets failures that were due to this instance's link rather than to the target.
    pub(crate) fn forget_link_failures(&mut self) {
        self.link = Link::default();
        self.failures = 0;
        self.failed_until = None;
        self.is_dead = false;
        self.dead_since = None;
    }

    /// Records a response or other sign that the target is alive.
    pub fn record_response(&mut self, load: Option<Load>, now: Instant) {
        self.failures = 0;
        self.failed_until = None;
        self.reports.clear();
        self.is_dead = false;
        self.dead_since = None;
        if let Some(load) = load {
            self.load = Some((load, now));
            if let Some(pace) = load.pace {
                self.response_time.record_pace(pace, now);
            }
        }
        if let Some(pace) = load.and_then(|load| load.pace) {
            self.stated = Some((pace, now));
            let usual = SteadyTime::new(Pace::USUAL.factor(), now);
            let recent = self.steady_pace.filter(|pace| pace.age(now) < PACE_TTL);
            let steady_pace = self.steady_pace.insert(recent.unwrap_or(usual));
            steady_pace.record(pace.factor(), now);
        }
    }

    /// Returns the pace that it stated recently.
    pub fn stated_pace(&self, now: Instant) -> Option<Pace> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PACE_TTL;
        let stated = self.stated.filter(|(_, at)| is_recent(*at));
        stated.map(|(pace, _)| pace)
    }

    /// Returns the factor by which it has stated for some seconds to be slower than usual. That it
    /// states to be faster shows only once streams there are.
    pub(crate) fn slowdown(&self, now: Instant) -> Option<f64> {
        self.stated_pace(now)?;
        let factor = self.steady_pace?.value();
        (factor > 1.0).then_some(factor.min(MAX_SLOWDOWN))
    }

    /// Records the time of a response to a request in one piece, after its load.
    pub fn record_response_time(&mut self, took: Duration, aim: Duration, now: Instant) {
        if let Some((load, _)) = self.load.filter(|(_, at)| *at + took >= now) {
            let is_brittle = self.rejection_limit.is_brittle(now);
            self.admission_rate.set_brittle(is_brittle, now);
            self.admission_rate.record_response(load, took, aim, now);
        }
    }

    /// Returns the number of service times until a request is complete that arrived when the load
    /// was as it is reported with the response.
    pub(crate) fn reported_turns(&self, took: Duration, now: Instant) -> f64 {
        let load = self.load.filter(|(_, at)| *at + took >= now);
        load.map_or(1.0, |(load, _)| {
            1.0 + f64::from(load.waiting) / f64::from(load.slots.max(1))
        })
    }

    /// Returns the number of service times until another request would be complete.
    pub(crate) fn turns(&self, now: Instant) -> f64 {
        1.0 + (self.fullness(now) - 1.0).max(0.0)
    }

    /// Returns the share of its slots in use, by its last reported load or by this instance's open
    /// requests, whichever is larger.
    pub fn fullness(&self, now: Instant) -> f64 {
        let reported = self
            .load
            .filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_TTL)
            .map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        let slots = self.entry.slots.max(1);
        f64::from(reported.max(self.open_requests)) / f64::from(slots)
    }
}
