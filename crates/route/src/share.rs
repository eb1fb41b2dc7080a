//! The part of an account's limit that an instance may use.

use celerypond_types::InstanceName;

use crate::{Demand, Demands};

/// The part of a limit that is split evenly, so that an instance that was idle can serve at once.
pub const FLOOR_PART: f64 = 0.1;
/// How long a rise of the own demand waits before the share follows it, in milliseconds.
///
/// It must be longer than a change of demand takes to reach all live instances.
pub const SPREAD_MS: u64 = 5_000;

/// A part of a limit, from 0 to 1, for requests and for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// The part of requests a second.
    pub requests: f64,
    /// The part of tokens a second.
    pub tokens: f64,
}

/// The split of one account's limit, as one instance sees it.
///
/// The failure: two instances both believe that a demand has moved to them, and together admit more
/// than the account may use. So a fall of the own demand counts at once and a rise only after
/// [`SPREAD_MS`], when all others have heard of it; and while an instance is out of touch with a
/// listed one, its demand cannot rise at all. Then every instance counts each other one with at
/// least what that one uses, and the demand parts add up to at most 1.
///
/// The bound: with `n` instances of which the one that knows fewest counts `m` (at least
/// `expected`), all parts add up to at most `1 + FLOOR_PART * (n / m - 1)`, as long as changes
/// spread in [`SPREAD_MS`] among instances that are in touch.
#[derive(Clone, Debug, Default)]
pub struct Split {
    /// The demand by which the own part is reckoned.
    used: Demand,
    /// The least demand since `since`, which becomes `used` when it has held for [`SPREAD_MS`].
    rising: Demand,
    since: u64,
}

/// What an instance knows when it reckons its part.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge<'a> {
    /// The own name.
    pub instance: &'a InstanceName,
    /// The demands of all instances that it has heard of and that are not gone.
    pub demands: &'a Demands,
    /// How many instances are listed or heard of.
    pub instances: usize,
    /// How many instances the settings say there are; a new instance knows no other yet.
    pub expected: usize,
    /// Whether every listed instance was heard of within [`SPREAD_MS`].
    pub in_touch: bool,
}

impl Split {
    /// Takes the own demand as it was just published and returns the split and the own part.
    #[must_use]
    pub fn step(self, own: Demand, known: &Knowledge<'_>, now_ms: u64) -> (Self, Part) {
        let next = self.follow(own, known.in_touch, now_ms);
        let part = next.part(known);
        (next, part)
    }

    fn follow(self, own: Demand, in_touch: bool, now_ms: u64) -> Self {
        let used = least(self.used, own);
        if !in_touch {
            // What others may not hear of does not count: the rise starts again.
            return Self {
                used,
                rising: used,
                since: now_ms,
            };
        }
        let rising = least(self.rising, own);
        if now_ms.saturating_sub(self.since) >= SPREAD_MS {
            return Self {
                used: rising,
                rising: own,
                since: now_ms,
            };
        }
        Self {
            used,
            rising,
            since: self.since,
        }
    }

    fn part(&self, known: &Knowledge<'_>) -> Part {
        let others = known.demands.rows();
        let others = others.filter(|(name, _)| *name != known.instance);
        let (requests, tokens) = others.fold((0, 0), |(requests, tokens), (_, row)| {
            (requests + row.requests, tokens + row.tokens)
        });
        let count = known.instances.max(known.expected).max(1);
        let floor = FLOOR_PART / count as f64;
        Part {
            requests: floor + (1.0 - FLOOR_PART) * ratio(self.used.requests, requests),
            tokens: floor + (1.0 - FLOOR_PART) * ratio(self.used.tokens, tokens),
        }
    }
}

fn least(a: Demand, b: Demand) -> Demand {
    Demand {
        sequence: a.sequence.max(b.sequence),
        requests: a.requests.min(b.requests),
        tokens: a.tokens.min(b.tokens),
    }
}

fn ratio(own: u64, others: u64) -> f64 {
    if own == 0 {
        return 0.0;
    }
    own as f64 / (own + others) as f64
}
