//! The progress of an order.

use std::time::Duration;

use tokio::time::Instant;

use crate::{evidence::Evidence, Bounds, Order, Phase};

const PARTS_PER_MILLION: f64 = 1e6;
/// The share of the allowed exposure that is used. Responses in transit are not counted yet, and
/// other instances apply a changed share with a delay.
const EXPOSURE_MARGIN: f64 = 0.75;
/// The share of the order's time after which a version may be completed. The rest allows for orders
/// that are seen late and for a slow store.
const COMPLETION_SHARE: f64 = 0.75;
/// The share of the order's time in which the version gets few requests. Versions that fail
/// immediately do so in this phase, before the larger exposure that follows is spent on them.
const TRIAL_TIME_SHARE: f64 = 0.5;
/// The share of the allowed exposure that this phase uses.
const TRIAL_EXPOSURE_SHARE: f64 = 0.4;
/// The number of responses without which a version is not completed.
const MIN_ANSWERS: u32 = 20;

/// The progress of an order at the instance that drives it.
///
/// A bad version may fail immediately or late, on one route only or under load, and may get only a
/// share of the service's requests plus a slack during the order. A good version must get all
/// requests by the end of the order. The version first gets a small share, and then the rest of the
/// allowed exposure. Thus it is tested under more load, and few requests are left at the old
/// targets when these stop. It gets all requests only once it is considered good.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// The current phase.
    pub phase: Phase,
    /// The responses observed so far.
    pub evidence: Evidence,
    /// When the order was first seen.
    since: Instant,
}

/// Counts of the targets of a service, on which completion depends.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Targets of the new version that accept requests.
    pub new: usize,
    /// Targets of other versions that accept requests.
    pub old: usize,
}

impl Rollout {
    /// Starts an order that was first seen this long ago.
    pub fn new(order: Order, age: Duration, now: Instant) -> Self {
        Self {
            order,
            phase: Phase::Running { share: 0 },
            evidence: Evidence::default(),
            since: now.checked_sub(age).unwrap_or(now),
        }
    }

    /// Returns the time since the order was first seen.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns the phase that follows now.
    pub fn next_phase(&self, bounds: &Bounds, fleet: Fleet, now: Instant) -> Phase {
        if self.phase.is_ended() {
            return self.phase;
        }
        if self.evidence.is_bad() {
            return Phase::TakenBack;
        }
        let age = self.age(now);
        if age >= self.order.time.mul_f64(COMPLETION_SHARE) && self.is_proven(fleet) {
            return Phase::Completed;
        }
        if age >= self.order.time {
            // Too little is known of the version, or it has too few targets for all requests.
            return Phase::TakenBack;
        }
        if fleet.new == 0 {
            return Phase::Running { share: 0 };
        }
        Phase::Running {
            share: (self.share(bounds, age) * PARTS_PER_MILLION) as u32,
        }
    }

    /// Returns whether the version got enough responses, is not doubtful, and has the targets for
    /// all requests.
    fn is_proven(&self, fleet: Fleet) -> bool {
        let totals = self.evidence.total();
        let enough = MIN_ANSWERS
            .min((totals.old.all + totals.new.all) / 20)
            .max(1);
        let has_room = fleet.new * 2 > fleet.old;
        totals.new.all >= enough && has_room && !self.evidence.is_doubtful()
    }

    /// Returns the share that spreads the allowed exposure evenly over the rest of the current part
    /// of the order.
    fn share(&self, bounds: &Bounds, age: Duration) -> f64 {
        let time = self.order.time.as_secs_f64();
        let age = age.as_secs_f64();
        let totals = self.evidence.total();
        let (new, all) = (
            f64::from(totals.new.all),
            f64::from(totals.new.all + totals.old.all),
        );
        // The rate of the first second is unreliable.
        let rate = all / age.max(1.0);
        let requests = all + rate * (time - age).max(0.0);
        let allowed = (requests * bounds.expose_share + bounds.expose_slack) * EXPOSURE_MARGIN;
        let (exposure, end) = match age < time * TRIAL_TIME_SHARE {
            true => (allowed * TRIAL_EXPOSURE_SHARE, time * TRIAL_TIME_SHARE),
            false => (allowed, time),
        };
        let expected = rate.max(1.0) * (end - age).max(0.5);
        ((exposure - new) / expected).clamp(0.0, 1.0)
    }
}
