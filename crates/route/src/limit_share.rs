//! The part of an account's limit that an instance may use.

use celerypond_types::InstanceName;

use crate::{Demand, DemandMap};

/// The part of a limit that is given to idle instances, so that each can serve at once.
pub const IDLE_SHARE: f64 = 0.1;
/// The longest time that a change of demand takes to reach all instances in touch.
pub const DEMAND_PROPAGATION_MS: u64 = 5_000;
/// An instance is in touch with another if it heard from it within this time.
pub const CONTACT_TIMEOUT_MS: u64 = DEMAND_PROPAGATION_MS + 1_000;
/// How long a rise of the own demand waits before the share follows it.
///
/// A rise that nobody hears of is quantize_rate just after a partition began. The last word from the
/// other side came up to [`DEMAND_PROPAGATION_MS`] after that, and counts as touch for [`CONTACT_TIMEOUT_MS`] more. Only
/// then does the instance know that it must not use the rise.
pub const INCREASE_DELAY_MS: u64 = DEMAND_PROPAGATION_MS + CONTACT_TIMEOUT_MS;

/// A part of a limit, from 0 to 1, for requests and for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// The part of requests a second.
    pub requests: f64,
    /// The part of tokens a second.
    pub tokens: f64,
}

/// What an instance knows when it reckons its part.
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs<'a> {
    /// The own name.
    pub instance: &'a InstanceName,
    /// The demands of all instances that it has heard of and that are not gone.
    pub demands: &'a DemandMap,
    /// How many instances are listed or heard of.
    pub instances: usize,
    /// How many instances the settings say there are; a new instance knows no other yet.
    pub expected_instances: usize,
    /// Whether every listed instance was heard of within [`CONTACT_TIMEOUT_MS`].
    pub in_contact: bool,
    /// The account's limit of requests a second.
    pub requests_per_s: u32,
    /// The account's limit of tokens a second.
    pub tokens_per_s: u32,
}

/// The split of one account's limit, as one instance sees it.
///
/// The failure: two instances both believe that a demand has moved to them, and together admit more
/// than the account may use. So a fall of the own demand counts at once and a rise only after
/// [`INCREASE_DELAY_MS`], when all others have heard of it; and while an instance is out of touch with a
/// listed one, its demand cannot rise at all. Then every instance counts each other one with at
/// least what that one uses, and the parts add up to at most 1.
///
/// The bound: with `n` instances of which the one that knows fewest counts `m`, all parts add up to
/// at most `max(1, n / m) + IDLE_SHARE`, as long as changes spread in [`DEMAND_PROPAGATION_MS`] among instances
/// in touch, and touch is lost in both directions.
///
/// # Examples
///
/// ```
/// use celerypond_route::{Demand, DemandMap, ShareInputs, ShareAllocator};
///
/// let other = Demand { sequence: 1, requests: 30_000, tokens: 0 };
/// let known = ShareInputs {
///     instance: &"a".into(),
///     demands: &DemandMap::single("b".into(), other),
///     instances: 2,
///     expected_instances: 2,
///     in_contact: true,
///     requests_per_s: 100,
///     tokens_per_s: 0,
/// };
/// let own = Demand { sequence: 1, requests: 90_000, tokens: 0 };
/// let (allocator, share) = ShareAllocator::default().update(own, &known, 0);
/// assert!(share.requests < 0.2); // Nobody may know of the demand yet.
/// let (_, share) = allocator.update(own, &known, 11_000);
/// assert!(share.requests > 0.7);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ShareAllocator {
    /// The demand by which the own part is reckoned.
    used: Demand,
    /// The least demand since `since`, which becomes `used` when it has held long enough.
    rising: Demand,
    since: Option<u64>,
    hold_ms: u64,
}

impl Default for ShareAllocator {
    fn default() -> Self {
        Self::with_increase_delay(INCREASE_DELAY_MS)
    }
}

impl ShareAllocator {
    /// Makes a split whose rises wait for `hold_ms`; less than [`INCREASE_DELAY_MS`] breaks the bound.
    pub const fn with_increase_delay(hold_ms: u64) -> Self {
        let none = Demand {
            sequence: 0,
            requests: 0,
            tokens: 0,
        };
        Self {
            used: none,
            rising: none,
            since: None,
            hold_ms,
        }
    }

    /// Takes the own demand as it was just quantize_rate and returns the split and the own part.
    #[must_use]
    pub fn update(self, own: Demand, known: &ShareInputs<'_>, now_ms: u64) -> (Self, LimitShare) {
        let next = self.follow(own, known.in_contact, now_ms);
        let part = next.part(known);
        (next, part)
    }

    fn follow(self, own: Demand, in_touch: bool, now_ms: u64) -> Self {
        let used = least(self.used, own);
        let start = Self {
            used,
            rising: own,
            since: Some(now_ms),
            ..self
        };
        match self.since {
            // What others may not hear of does not count: the rise starts again.
            _ if !in_touch => Self {
                since: None,
                ..start
            },
            None => start,
            Some(since) if now_ms.saturating_sub(since) >= self.hold_ms => Self {
                used: least(self.rising, own),
                ..start
            },
            Some(_) => Self {
                used,
                rising: least(self.rising, own),
                ..self
            },
        }
    }

    fn part(&self, known: &ShareInputs<'_>) -> LimitShare {
        let rows = known.demands.iter();
        let others = rows.filter(|(name, _)| *name != known.instance);
        let (requests, tokens) = others.fold((0, 0), |(requests, tokens), (_, row)| {
            (requests + row.requests, tokens + row.tokens)
        });
        let of = |own: u64, others: u64, per_s: u32| known.part(own, others, per_s);
        LimitShare {
            requests: of(self.used.requests, requests, known.requests_per_s),
            tokens: of(self.used.tokens, tokens, known.tokens_per_s),
        }
    }
}

impl ShareInputs<'_> {
    fn part(&self, own: u64, others: u64, per_s: u32) -> f64 {
        let limit = f64::from(per_s.max(1)) * 1_000.0;
        let count = self.instances.max(self.expected_instances).max(1);
        let idle = IDLE_SHARE * limit;
        let heard = (own + others) as f64;
        // Out of touch, others may use the whole limit unheard.
        let asked = if self.in_contact {
            heard
        } else {
            heard.max(limit)
        };
        (own as f64 + idle / count as f64) / (asked + idle)
    }
}

fn least(a: Demand, b: Demand) -> Demand {
    Demand {
        sequence: a.sequence.max(b.sequence),
        requests: a.requests.min(b.requests),
        tokens: a.tokens.min(b.tokens),
    }
}
