//! One order on its way.

use std::time::Duration;

use tokio::time::Instant;

use crate::{evidence::Evidence, Bounds, Order, Phase};

/// A whole share, in parts per million.
const PARTS_PER_MILLION: f64 = 1e6;
/// The part of the allowed exposure that is used. Answers on their way are not counted yet, and a share
/// that was changed reaches the others a moment later.
const EXPOSURE_MARGIN: f64 = 0.75;
/// The part of the order's time after which a version may be called good. The rest is for an order
/// that was seen late and for a store that answers late.
const COMPLETION_SHARE: f64 = 0.75;
/// The part of the order's time in which the version gets a small share only. What fails at once fails
/// then, and the larger share of the second part is not wasted on it.
const TRIAL_TIME_SHARE: f64 = 0.5;
/// The share of the allowed exposure that the trial uses.
const TRIAL_EXPOSURE_SHARE: f64 = 0.4;
/// Answers without which a version is not called good.
const MIN_ANSWERS: u32 = 20;

/// One order on its way, as the instance that drives it sees it.
///
/// The load it answers: a bad version may fail at once or late, on one route only or under load, and
/// may get only a tenth of the service's requests and a slack while its order runs. A good one must
/// have all requests at the end of that time. The version gets a small share at first, then what is
/// left of the allowed exposure, so that it is tried under more load and that few requests are still
/// at the old targets when these stop; and all requests only when it is called good.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// How far it has come.
    pub phase: Phase,
    /// What was seen of it.
    pub evidence: Evidence,
    /// When the order was seen first.
    since: Instant,
}

/// What an instance knows beside the evidence when it decides about an order.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Targets of the new version that take work.
    pub new: usize,
    /// Those of the other versions.
    pub old: usize,
}

impl Rollout {
    /// Begins with an order that was seen first so long ago.
    pub fn new(order: Order, age: Duration, now: Instant) -> Self {
        Self {
            order,
            phase: Phase::Running { share: 0 },
            evidence: Evidence::default(),
            since: now.checked_sub(age).unwrap_or(now),
        }
    }

    /// Returns the time since the order was seen first.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Decides how far the order has come now.
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

    /// Returns whether the version has shown itself and can take all requests.
    fn is_proven(&self, fleet: Fleet) -> bool {
        let seen = self.evidence.total();
        let enough = MIN_ANSWERS.min((seen.old.all + seen.new.all) / 20).max(1);
        let has_room = fleet.new * 2 > fleet.old;
        seen.new.all >= enough && has_room && !self.evidence.is_doubtful()
    }

    /// Returns the share that spends the allowed exposure evenly over what is left of a part.
    fn share(&self, bounds: &Bounds, age: Duration) -> f64 {
        let time = self.order.time.as_secs_f64();
        let age = age.as_secs_f64();
        let seen = self.evidence.total();
        let (new, all) = (
            f64::from(seen.new.all),
            f64::from(seen.new.all + seen.old.all),
        );
        // The rate of the first moments says little.
        let rate = all / age.max(1.0);
        let requests = all + rate * (time - age).max(0.0);
        let allowed = (requests * bounds.expose_share + bounds.expose_slack) * EXPOSURE_MARGIN;
        let (part, end) = match age < time * TRIAL_TIME_SHARE {
            true => (allowed * TRIAL_EXPOSURE_SHARE, time * TRIAL_TIME_SHARE),
            false => (allowed, time),
        };
        let expected = rate.max(1.0) * (end - age).max(0.5);
        ((part - new) / expected).clamp(0.0, 1.0)
    }
}
