//! Ejection of targets that fail or are slow, and their return.

use celerypond_types::TargetKey;
use slotmap::SecondaryMap;

use crate::{
    pool::FULL_WEIGHT,
    target_health::{Health, State},
    Pool,
};

/// For so many targets, the time between two steps grows by a millisecond: 11,000 have a step each
/// 1.1 s, which takes a thousandth of a core.
const TARGETS_PER_MS: u64 = 10;
/// Of a pool at least this large, the share of bad targets is taken over at least so many.
const LEAST_KNOWN: usize = 4;

/// When targets are ejected and how they return.
#[derive(Clone, Copy, Debug)]
pub struct OutlierLimits {
    /// So many failures in a row eject a target.
    pub consecutive_failures: u32,
    /// A mean latency of so many times the median of its peers ejects a target.
    pub latency_factor: f64,
    /// So many samples are needed before a latency is compared.
    pub min_samples: u32,
    /// Latencies below this many milliseconds are never slow.
    pub min_latency_ms: f64,
    /// At most this share of a pool may be out at a time.
    pub max_ejected_share: f64,
    /// Above this share of failing targets none is treated as bad.
    pub panic_threshold: f64,
    /// The first stay outside, in milliseconds; it doubles with each failed probe.
    pub base_ejection_ms: u64,
    /// The longest stay outside, in milliseconds.
    pub max_ejection_ms: u64,
    /// The time from a good probe to the whole part of the work, in milliseconds.
    pub ramp_ms: u64,
}

impl Default for OutlierLimits {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            latency_factor: 3.0,
            min_samples: 20,
            min_latency_ms: 200.0,
            max_ejected_share: 1.0 / 3.0,
            panic_threshold: 0.5,
            base_ejection_ms: 5_000,
            max_ejection_ms: 60_000,
            ramp_ms: 10_000,
        }
    }
}

/// What the caller has to do for an [`OutlierDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutlierEffect {
    /// Set the part of the work that a target gets.
    SetWeight(TargetKey, u32),
    /// PickCriteria a target for its health on a new connection, then call [`OutlierDetector::record_probe`].
    Probe(TargetKey),
    /// Use targets that seem bad, or stop to.
    SetPanicMode(bool),
}

/// Decides which targets of one pool are out.
///
/// One ejector serves one pool. A bad version fails on most of its engines, and then the panic
/// share keeps the ejector from blaming them; the engines stay in for other versions.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    limits: OutlierLimits,
    health: SecondaryMap<TargetKey, Health>,
    panic: bool,
    /// When the next step is due, in milliseconds.
    due: u64,
}

impl OutlierDetector {
    /// Makes an ejector.
    pub fn new(limits: OutlierLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Takes a success and its latency: the time to the first token, or to a service's response.
    pub fn record_success(&mut self, target: TargetKey, latency_ms: f64) {
        self.change(target, |health| health.succeeded(latency_ms));
    }

    /// Takes a failure that speaks against the target; see [`crate::Attribution`].
    pub fn record_failure(&mut self, target: TargetKey) {
        self.change(target, Health::failed);
    }

    /// Takes the result of a probe.
    pub fn record_probe(&mut self, target: TargetKey, alive: bool, now_ms: u64) {
        let limits = self.limits;
        self.change(target, |health| {
            if alive {
                health.ramping(now_ms)
            } else {
                health.out(now_ms, false, &limits)
            }
        });
    }

    /// Decides for the targets of `pool`; call it about every 100 ms. Of many targets, not every
    /// call is a step, so that the time it takes stays small.
    pub fn step(&mut self, pool: &Pool, now_ms: u64) -> Vec<OutlierEffect> {
        if now_ms < self.due {
            return Vec::new();
        }
        self.due = now_ms + self.health.len() as u64 / TARGETS_PER_MS;
        self.health.retain(|key, _| pool.member(key).is_some());
        let known: Vec<TargetKey> = self.health.keys().collect();
        let median = self.median_ms();
        let takes_work = |key: &&TargetKey| self.health[**key].takes_work();
        let taking: Vec<TargetKey> = known.iter().filter(takes_work).copied().collect();
        let is_failing =
            |key: &TargetKey| self.health[*key].failures >= self.limits.consecutive_failures;
        let is_slow = |key: &TargetKey| self.is_slow(&self.health[*key], median);
        let (failing, rest): (Vec<_>, Vec<_>) = taking.into_iter().partition(is_failing);
        let slow: Vec<TargetKey> = rest.into_iter().filter(is_slow).collect();
        let out = self.health.values().filter(|h| !h.takes_work()).count();
        let mut effects = Vec::new();
        let base = known.len().max(pool.members.len().min(LEAST_KNOWN));
        // Slow ones do not count: they are compared with the median, so they cannot be most.
        let failed = self.health.values().filter(|h| !h.takes_work() && !h.slow);
        let share = (failing.len() + failed.count()) as f64 / base.max(1) as f64;
        self.set_panic(share > self.limits.panic_threshold, &mut effects);
        if !self.panic {
            let most = (pool.members.len() as f64 * self.limits.max_ejected_share).floor() as usize;
            let lacking = (out + failing.len()).saturating_sub(most);
            let room = most.saturating_sub(out) + self.return_slow(lacking, now_ms);
            let failing = &failing[..room.min(failing.len())];
            let slow = &slow[..(room - failing.len()).min(slow.len())];
            self.eject(failing, false, now_ms, &mut effects);
            self.eject(slow, true, now_ms, &mut effects);
        }
        for key in known {
            effects.extend(self.advance(key, now_ms));
        }
        effects
    }

    fn set_panic(&mut self, panic: bool, effects: &mut Vec<OutlierEffect>) {
        if panic != self.panic {
            self.panic = panic;
            effects.push(OutlierEffect::SetPanicMode(panic));
        }
    }

    fn eject(
        &mut self,
        bad: &[TargetKey],
        slow: bool,
        now_ms: u64,
        effects: &mut Vec<OutlierEffect>,
    ) {
        let limits = self.limits;
        for key in bad {
            self.change(*key, |health| health.out(now_ms, slow, &limits));
            effects.push(OutlierEffect::SetWeight(*key, 0));
        }
    }

    /// Lets up to `count` slow targets back, so that failing ones can be ejected in their place.
    ///
    /// The failure: slow targets use up what may be out, and dead ones, which look idle, draw work
    /// that fails at once.
    fn return_slow(&mut self, count: usize, now_ms: u64) -> usize {
        let out = self
            .health
            .iter()
            .filter(|(_, h)| !h.takes_work() && h.slow);
        let slow: Vec<TargetKey> = out.map(|(key, _)| key).take(count).collect();
        for key in &slow {
            self.change(*key, |health| health.ramping(now_ms));
        }
        slow.len()
    }

    /// Moves a target that is out or returning on.
    fn advance(&mut self, key: TargetKey, now_ms: u64) -> Option<OutlierEffect> {
        let health = self.health.get(key).copied()?;
        let wait_ms = self.limits.base_ejection_ms;
        match health.state {
            State::Out { until } if now_ms >= until => {
                self.change(key, |health| health.probing(now_ms, wait_ms));
                Some(OutlierEffect::Probe(key))
            }
            // A probe without an answer is sent again.
            State::Probing { until } if now_ms >= until => {
                self.change(key, |health| health.probing(now_ms, wait_ms));
                Some(OutlierEffect::Probe(key))
            }
            State::Ramping { since } => {
                let passed = now_ms.saturating_sub(since);
                let part = passed as f64 / self.limits.ramp_ms.max(1) as f64;
                if part >= 1.0 {
                    self.change(key, Health::back);
                }
                Some(OutlierEffect::SetWeight(key, ramp(part)))
            }
            _ => None,
        }
    }

    fn is_slow(&self, health: &Health, median: Option<f64>) -> bool {
        let limit = median
            .map(|median| (median * self.limits.latency_factor).max(self.limits.min_latency_ms));
        health.samples >= self.limits.min_samples
            && limit.is_some_and(|limit| health.mean_ms > limit)
    }

    /// Returns the median of the targets' mean latencies, when at least three have one.
    fn median_ms(&self) -> Option<f64> {
        let values = self.health.values();
        let enough = values.filter(|health| health.samples >= self.limits.min_samples);
        let mut means: Vec<f64> = enough.map(|health| health.mean_ms).collect();
        if means.len() < 3 {
            return None;
        }
        // The lower of two medians: one slow target of a pair must not hide behind itself.
        let at = (means.len() - 1) / 2;
        let (_, median, _) = means.select_nth_unstable_by(at, f64::total_cmp);
        Some(*median)
    }

    fn change(&mut self, key: TargetKey, by: impl FnOnce(Health) -> Health) {
        let health = self.health.get(key).copied().unwrap_or_default();
        self.health.insert(key, by(health));
    }
}

/// The least part of the work that a returning target gets.
const FIRST_PART: f64 = 0.1;

fn ramp(part: f64) -> u32 {
    (f64::from(FULL_WEIGHT) * part.clamp(FIRST_PART, 1.0)) as u32
}
