//! Division of an account's rate limits among instances.

use celerypond_types::InstanceName;

use crate::{Demand, DemandMap};

/// The share of a limit that is divided equally regardless of demand, so that an idle instance can
/// serve its first requests immediately.
pub const IDLE_SHARE: f64 = 0.1;
/// The maximum time until a change of demand has reached all connected instances.
pub const DEMAND_PROPAGATION_MS: u64 = 5_000;
/// An instance is in contact with another one from which it has received an update within this
/// time.
pub const CONTACT_TIMEOUT_MS: u64 = DEMAND_PROPAGATION_MS + 1_000;
/// How long an increase of an instance's own demand must last before its share follows.
///
/// Suppose that an increase is published just after a network partition began, so that the other
/// side does not learn of it. The last update from the other side may arrive up to
/// [`DEMAND_PROPAGATION_MS`] later, and counts as contact for another [`CONTACT_TIMEOUT_MS`]. Only
/// then does the instance know that it must not use the increase.
pub const INCREASE_DELAY_MS: u64 = DEMAND_PROPAGATION_MS + CONTACT_TIMEOUT_MS;

/// A share of a limit, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// The share of the limit on requests per second.
    pub requests: f64,
    /// The share of the limit on tokens per second.
    pub tokens: f64,
}

/// What the share of an instance is computed from.
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs<'a> {
    /// The name of this instance.
    pub instance: &'a InstanceName,
    /// The demand at all known instances that are not gone.
    pub demands: &'a DemandMap,
    /// How many instances are listed or otherwise known.
    pub instances: usize,
    /// How many instances the settings declare; a new instance knows no others yet.
    pub expected_instances: usize,
    /// Whether an update from every listed instance arrived within [`CONTACT_TIMEOUT_MS`].
    pub in_contact: bool,
    /// The account's limit on requests per second.
    pub requests_per_s: u32,
    /// The account's limit on tokens per second.
    pub tokens_per_s: u32,
}

/// Computes an instance's share of an account's limits.
///
/// If two instances both assumed that demand had moved to them, they would together admit more than
/// the limit. A decrease of an instance's own demand therefore takes effect immediately, but an
/// increase only after [`INCREASE_DELAY_MS`], when all others know of it; and without contact with a
/// listed instance it does not take effect at all. So every instance assumes at least the demand
/// that each other one uses, and the shares add up to at most 1.
///
/// For `n` instances of which the least informed one counts `m`, the shares add up to at most
/// `max(1, n / m) + IDLE_SHARE`, provided that updates reach connected instances within
/// [`DEMAND_PROPAGATION_MS`] and that contact is lost in both directions.
///
/// # Examples
///
/// ```
/// use celerypond_route::{Demand, DemandMap, ShareAllocator, ShareInputs};
///
/// let other = Demand { sequence: 1, requests: 30_000, tokens: 0 };
/// let inputs = ShareInputs {
///     instance: &"a".into(),
///     demands: &DemandMap::single("b".into(), other),
///     instances: 2,
///     expected_instances: 2,
///     in_contact: true,
///     requests_per_s: 100,
///     tokens_per_s: 0,
/// };
/// let own = Demand { sequence: 1, requests: 90_000, tokens: 0 };
/// let (allocator, share) = ShareAllocator::default().update(own, &inputs, 0);
/// assert!(share.requests < 0.2); // Other instances may not know of the demand yet.
/// let (_, share) = allocator.update(own, &inputs, 11_000);
/// assert!(share.requests > 0.7);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ShareAllocator {
    /// The demand that the share is computed from.
    effective: Demand,
    /// The lowest demand since `pending_since`; it becomes `effective` after the delay.
    pending: Demand,
    pending_since: Option<u64>,
    increase_delay_ms: u64,
}

impl Default for ShareAllocator {
    fn default() -> Self {
        Self::with_increase_delay(INCREASE_DELAY_MS)
    }
}

impl ShareAllocator {
    /// Creates an allocator with another delay of increases. Less than [`INCREASE_DELAY_MS`] breaks
    /// the bound.
    pub const fn with_increase_delay(increase_delay_ms: u64) -> Self {
        let none = Demand {
            sequence: 0,
            requests: 0,
            tokens: 0,
        };
        Self {
            effective: none,
            pending: none,
            pending_since: None,
            increase_delay_ms,
        }
    }

    /// Applies this instance's newly published demand; returns the new state and this instance's
    /// share.
    #[must_use]
    pub fn update(self, own: Demand, inputs: &ShareInputs<'_>, now_ms: u64) -> (Self, LimitShare) {
        let next = self.track_demand(own, inputs.in_contact, now_ms);
        let share = next.share(inputs);
        (next, share)
    }

    fn track_demand(self, own: Demand, in_contact: bool, now_ms: u64) -> Self {
        let effective = min_demand(self.effective, own);
        let start = Self {
            effective,
            pending: own,
            pending_since: Some(now_ms),
            ..self
        };
        match self.pending_since {
            // Other instances may not learn of this demand, so the delay starts over.
            _ if !in_contact => Self {
                pending_since: None,
                ..start
            },
            None => start,
            Some(since) if now_ms.saturating_sub(since) >= self.increase_delay_ms => Self {
                effective: min_demand(self.pending, own),
                ..start
            },
            Some(_) => Self {
                effective,
                pending: min_demand(self.pending, own),
                ..self
            },
        }
    }

    fn share(&self, inputs: &ShareInputs<'_>) -> LimitShare {
        let demands = inputs.demands.iter();
        let others = demands.filter(|(name, _)| *name != inputs.instance);
        let (requests, tokens) = others.fold((0, 0), |(requests, tokens), (_, demand)| {
            (requests + demand.requests, tokens + demand.tokens)
        });
        let share = |own: u64, others: u64, per_s: u32| inputs.share(own, others, per_s);
        LimitShare {
            requests: share(self.effective.requests, requests, inputs.requests_per_s),
            tokens: share(self.effective.tokens, tokens, inputs.tokens_per_s),
        }
    }
}

impl ShareInputs<'_> {
    fn share(&self, own: u64, others: u64, per_s: u32) -> f64 {
        let limit = f64::from(per_s.max(1)) * 1_000.0;
        let count = self.instances.max(self.expected_instances).max(1);
        let reserve = IDLE_SHARE * limit;
        let known_demand = (own + others) as f64;
        // Instances that are out of contact may be using the whole limit.
        let total = if self.in_contact {
            known_demand
        } else {
            known_demand.max(limit)
        };
        (own as f64 + reserve / count as f64) / (total + reserve)
    }
}

fn min_demand(a: Demand, b: Demand) -> Demand {
    Demand {
        sequence: a.sequence.max(b.sequence),
        requests: a.requests.min(b.requests),
        tokens: a.tokens.min(b.tokens),
    }
}
