//! Whether a target may get a request now.

use celerypond_types::{ServiceName, TargetKey};
use tokio::time::Instant;

use crate::{Target, TargetQuery, Targets};

/// The properties of a request and its instance by which targets are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendQuery {
    /// The number of live instances, which share the limits of targets.
    pub instances: usize,
    /// Whether the response will be late anyway.
    pub is_late: bool,
    /// Whether the targets are engines, whose queues are limited by their memory instead.
    pub is_engine: bool,
}

impl TargetQuery<'_> {
    /// Returns the part of the query by which targets are held back.
    pub const fn send_query(&self) -> SendQuery {
        SendQuery {
            instances: self.instances,
            is_late: self.is_late,
            is_engine: self.capacity.is_some(),
        }
    }
}

/// Why a target gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// It is gone or leaves, or another one has its address.
    Left,
    /// It wants no requests from this instance for some time.
    CoolingDown,
    /// It has got as many requests as it states that it accepts.
    RateLimited,
    /// It is brittle, and has rejected requests or may reject those that it has.
    Brittle,
    /// It is a plain target with a long queue.
    Queued,
    /// Attempts at it failed recently.
    Failed,
}

/// A state of a target in which it gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Why.
    pub reason: HoldReason,
    /// Until when, as far as that is known.
    pub until: Option<Instant>,
}

impl Hold {
    const fn new(reason: HoldReason, until: Option<Instant>) -> Self {
        Self { reason, until }
    }

    /// Returns whether this ends before another one. One without a known end is later.
    fn ends_before(&self, other: &Self) -> bool {
        match (self.until, other.until) {
            (Some(until), Some(other)) => until < other,
            (until, other) => until.is_some() && other.is_none(),
        }
    }
}

impl Target {
    /// Returns whether the target may get a request now, as far as its limits are concerned.
    fn check_limits(&self, query: SendQuery, now: Instant) -> Result<(), Hold> {
        if let Some(until) = self.cooldown.held_until(now) {
            return Err(Hold::new(HoldReason::CoolingDown, Some(until)));
        }
        if let Some(wait) = self.rate_limit.wait(query.instances, now)
            && !wait.is_zero()
        {
            return Err(Hold::new(HoldReason::RateLimited, Some(now + wait)));
        }
        let (open, slots) = (self.open_requests, self.entry.slots);
        let limit = &self.rejection_limit;
        if !limit.allows(open, slots, query.instances, now) {
            return Err(Hold::new(HoldReason::Brittle, limit.blocked_until(now)));
        }
        let rate = &self.admission_rate;
        if !query.is_engine && !rate.allows(query.is_late, query.instances, now) {
            return Err(Hold::new(HoldReason::Queued, None));
        }
        Ok(())
    }
}

impl Targets {
    /// Returns whether a target may get a request now. All requests to targets depend on this: first
    /// attempts, retries and resumed streams. Targets that failed recently may get requests if there
    /// are no others.
    ///
    /// # Errors
    ///
    /// Why it gets none, and until when.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{HoldReason, SendQuery, Targets};
    /// use celerypond_types::TargetKey;
    /// use tokio::time::Instant;
    ///
    /// let query = SendQuery { instances: 7, is_late: false, is_engine: true };
    /// let unknown = TargetKey::default();
    /// let hold = Targets::default().check_send(unknown, query, Instant::now()).unwrap_err();
    /// assert_eq!(hold.reason, HoldReason::Left);
    /// ```
    pub fn check_send(&self, key: TargetKey, query: SendQuery, now: Instant) -> Result<(), Hold> {
        match self.get(key).filter(|_| self.is_usable(key)) {
            Some(target) => target.check_limits(query, now),
            None => Err(Hold::new(HoldReason::Left, None)),
        }
    }

    /// Returns whether a target may get new work besides requests, such as copies of runs, or be
    /// queried.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    /// use celerypond_types::TargetKey;
    /// use tokio::time::Instant;
    ///
    /// assert!(!Targets::default().accepts_work(TargetKey::default(), Instant::now()));
    /// ```
    pub fn accepts_work(&self, key: TargetKey, now: Instant) -> bool {
        self.is_usable(key) && !self.is_cooling_down(key, now)
    }

    /// Returns whether a target has stated that it wants no requests for a time that is not over.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    /// use celerypond_types::TargetKey;
    /// use tokio::time::Instant;
    ///
    /// assert!(!Targets::default().is_cooling_down(TargetKey::default(), Instant::now()));
    /// ```
    pub fn is_cooling_down(&self, key: TargetKey, now: Instant) -> bool {
        self.get(key)
            .is_some_and(|target| target.cooldown.is_active(now))
    }

    /// Returns whether a target stopped accepting requests after one was selected for it.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    /// use celerypond_types::TargetKey;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// assert!(Targets::default().has_withdrawn(TargetKey::default(), now, now));
    /// ```
    pub fn has_withdrawn(&self, key: TargetKey, selected: Instant, now: Instant) -> bool {
        let cools_down = |target: &Target| target.cooldown.began_after(selected, now);
        !self.is_usable(key) || self.get(key).is_some_and(cools_down)
    }

    /// Returns the number of targets that have stated that they want no requests for a time that is
    /// not over.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    /// use tokio::time::Instant;
    ///
    /// assert_eq!(Targets::default().count_cooling_down(Instant::now()), 0);
    /// ```
    pub fn count_cooling_down(&self, now: Instant) -> usize {
        let targets = self.iter();
        targets
            .filter(|(_, target)| target.cooldown.is_active(now))
            .count()
    }

    /// Returns until when all targets of a service want no requests; `None` if one may get some, or if
    /// there is none.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    /// use celerypond_types::ServiceName;
    /// use tokio::time::Instant;
    ///
    /// let service = ServiceName::new("writer");
    /// assert_eq!(Targets::default().all_cooling_until(&service, Instant::now()), None);
    /// ```
    pub fn all_cooling_until(&self, service: &ServiceName, now: Instant) -> Option<Instant> {
        let targets = self.usable_targets(service);
        let ends = targets.map(|(_, target)| target.cooldown.held_until(now));
        // None is less than any end.
        ends.min()?
    }

    /// Returns what holds requests to a service back, at the target that is the first to get some
    /// again; `None` if a target may get one now, or if there is none.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{SendQuery, Targets};
    /// use celerypond_types::ServiceName;
    /// use tokio::time::Instant;
    ///
    /// let query = SendQuery { instances: 7, is_late: false, is_engine: true };
    /// let service = ServiceName::new("writer");
    /// assert_eq!(Targets::default().service_hold(&service, query, Instant::now()), None);
    /// ```
    pub fn service_hold(
        &self,
        service: &ServiceName,
        query: SendQuery,
        now: Instant,
    ) -> Option<Hold> {
        let mut first: Option<Hold> = None;
        for (key, target) in self.usable_targets(service) {
            let failed = target.avoided_until().filter(|until| *until > now);
            let hold = match (self.check_send(key, query, now), failed) {
                (Ok(()), None) => return None,
                (Ok(()), Some(until)) => Hold::new(HoldReason::Failed, Some(until)),
                (Err(hold), failed) => Hold {
                    until: hold
                        .until
                        .map(|until| failed.map_or(until, |at| at.max(until))),
                    ..hold
                },
            };
            if first.is_none_or(|first| hold.ends_before(&first)) {
                first = Some(hold);
            }
        }
        first
    }
}
