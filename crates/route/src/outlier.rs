//! Outlier detection: ejects targets that fail or are slow, and reinstates them.

use celerypond_types::TargetKey;
use slotmap::SecondaryMap;

use crate::{
    pool::FULL_WEIGHT,
    target_health::{Health, State},
    Pool,
};

/// The interval between steps grows by one millisecond for this many targets. For 11,000 targets a
/// step runs every 1.1 s, which takes a thousandth of a core.
const TARGETS_PER_MS: u64 = 10;
/// The minimum number of targets, if the pool has as many, that the share of failing targets is
/// computed over.
const MIN_SHARE_BASE: usize = 4;

/// The thresholds for ejecting targets and the timing of their return.
#[derive(Clone, Copy, Debug)]
pub struct OutlierLimits {
    /// The number of consecutive failures that ejects a target.
    pub consecutive_failures: u32,
    /// The ratio of a target's mean latency to the median of its peers that ejects it.
    pub latency_factor: f64,
    /// The number of samples required before latencies are compared.
    pub min_samples: u32,
    /// The mean latency below which a target is never considered slow, in milliseconds.
    pub min_latency_ms: f64,
    /// The maximum share of a pool that may be ejected at a time.
    pub max_ejected_share: f64,
    /// The share of failing targets above which no target is ejected and all are used.
    pub panic_threshold: f64,
    /// The duration of the first ejection in milliseconds; it doubles with each failed probe.
    pub base_ejection_ms: u64,
    /// The maximum duration of an ejection, in milliseconds.
    pub max_ejection_ms: u64,
    /// The time from a successful probe until the target has its full weight again, in
    /// milliseconds.
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

/// An action that the caller of an [`OutlierDetector`] has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutlierEffect {
    /// Set the weight of a target.
    SetWeight(TargetKey, u32),
    /// Check the health of a target on a new connection, then call
    /// [`OutlierDetector::record_probe`].
    Probe(TargetKey),
    /// Set whether ejected targets are used as well.
    SetPanicMode(bool),
}

/// Decides which targets of one pool are ejected.
///
/// Each pool has its own detector. A faulty version fails on most of its engines; this exceeds the
/// panic threshold, so the engines are not ejected, and other versions keep using them.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    limits: OutlierLimits,
    health: SecondaryMap<TargetKey, Health>,
    panic_mode: bool,
    /// When the next step is due, in milliseconds.
    next_step_ms: u64,
}

impl OutlierDetector {
    /// Creates a detector.
    pub fn new(limits: OutlierLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Records a success and its latency: the time to the first token of an engine, or to the
    /// response of a plain service.
    pub fn record_success(&mut self, target: TargetKey, latency_ms: f64) {
        self.update_health(target, |health| health.record_success(latency_ms));
    }

    /// Records a failure that is attributed to the target; see [`crate::Attribution`].
    pub fn record_failure(&mut self, target: TargetKey) {
        self.update_health(target, Health::record_failure);
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, target: TargetKey, alive: bool, now_ms: u64) {
        let limits = self.limits;
        self.update_health(target, |health| {
            if alive {
                health.start_ramp(now_ms)
            } else {
                health.eject(now_ms, false, &limits)
            }
        });
    }

    /// Updates the ejections in `pool`; call it about every 100 ms. With many targets some calls do
    /// nothing, which bounds the CPU time.
    pub fn step(&mut self, pool: &Pool, now_ms: u64) -> Vec<OutlierEffect> {
        if now_ms < self.next_step_ms {
            return Vec::new();
        }
        self.next_step_ms = now_ms + self.health.len() as u64 / TARGETS_PER_MS;
        self.health.retain(|key, _| pool.member(key).is_some());
        let tracked: Vec<TargetKey> = self.health.keys().collect();
        let median = self.median_ms();
        let is_active = |key: &&TargetKey| self.health[**key].is_active();
        let active: Vec<TargetKey> = tracked.iter().filter(is_active).copied().collect();
        let is_failing =
            |key: &TargetKey| self.health[*key].failures >= self.limits.consecutive_failures;
        let is_slow = |key: &TargetKey| self.is_slow(&self.health[*key], median);
        let (failing, passing): (Vec<_>, Vec<_>) = active.into_iter().partition(is_failing);
        let slow: Vec<TargetKey> = passing.into_iter().filter(is_slow).collect();
        let ejected = self.health.values().filter(|h| !h.is_active()).count();
        let mut effects = Vec::new();
        let base = tracked.len().max(pool.members.len().min(MIN_SHARE_BASE));
        // Slow targets are left out: they are compared with the median, so they cannot be the
        // majority.
        let ejected_failing = self
            .health
            .values()
            .filter(|h| !h.is_active() && !h.is_latency_outlier);
        let share = (failing.len() + ejected_failing.count()) as f64 / base.max(1) as f64;
        self.set_panic_mode(share > self.limits.panic_threshold, &mut effects);
        if !self.panic_mode {
            let max_ejected =
                (pool.members.len() as f64 * self.limits.max_ejected_share).floor() as usize;
            let shortfall = (ejected + failing.len()).saturating_sub(max_ejected);
            let capacity =
                max_ejected.saturating_sub(ejected) + self.reinstate_slow(shortfall, now_ms);
            let failing = &failing[..capacity.min(failing.len())];
            let slow = &slow[..(capacity - failing.len()).min(slow.len())];
            self.eject(failing, false, now_ms, &mut effects);
            self.eject(slow, true, now_ms, &mut effects);
        }
        for key in tracked {
            effects.extend(self.advance(key, now_ms));
        }
        effects
    }

    fn set_panic_mode(&mut self, panic_mode: bool, effects: &mut Vec<OutlierEffect>) {
        if panic_mode != self.panic_mode {
            self.panic_mode = panic_mode;
            effects.push(OutlierEffect::SetPanicMode(panic_mode));
        }
    }

    fn eject(
        &mut self,
        targets: &[TargetKey],
        is_latency_outlier: bool,
        now_ms: u64,
        effects: &mut Vec<OutlierEffect>,
    ) {
        let limits = self.limits;
        for key in targets {
            self.update_health(*key, |health| {
                health.eject(now_ms, is_latency_outlier, &limits)
            });
            effects.push(OutlierEffect::SetWeight(*key, 0));
        }
    }

    /// Reinstates up to `count` slow targets, so that failing ones can be ejected instead.
    ///
    /// Otherwise slow targets could use up the maximum number of ejections, and crashed targets,
    /// which look idle, would attract requests that fail immediately.
    fn reinstate_slow(&mut self, count: usize, now_ms: u64) -> usize {
        let ejected = self
            .health
            .iter()
            .filter(|(_, h)| !h.is_active() && h.is_latency_outlier);
        let slow: Vec<TargetKey> = ejected.map(|(key, _)| key).take(count).collect();
        for key in &slow {
            self.update_health(*key, |health| health.start_ramp(now_ms));
        }
        slow.len()
    }

    /// Advances the state of a target that is ejected or returning.
    fn advance(&mut self, key: TargetKey, now_ms: u64) -> Option<OutlierEffect> {
        let health = self.health.get(key).copied()?;
        let wait_ms = self.limits.base_ejection_ms;
        match health.state {
            State::Ejected { until } if now_ms >= until => {
                self.update_health(key, |health| health.start_probe(now_ms, wait_ms));
                Some(OutlierEffect::Probe(key))
            }
            // A probe without a result is repeated.
            State::Probing { until } if now_ms >= until => {
                self.update_health(key, |health| health.start_probe(now_ms, wait_ms));
                Some(OutlierEffect::Probe(key))
            }
            State::Ramping { since } => {
                let elapsed = now_ms.saturating_sub(since);
                let progress = elapsed as f64 / self.limits.ramp_ms.max(1) as f64;
                if progress >= 1.0 {
                    self.update_health(key, Health::reinstate);
                }
                Some(OutlierEffect::SetWeight(key, ramp_weight(progress)))
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

    /// Returns the median of the targets' mean latencies, if at least three targets have enough
    /// samples.
    fn median_ms(&self) -> Option<f64> {
        let values = self.health.values();
        let sampled = values.filter(|health| health.samples >= self.limits.min_samples);
        let mut means: Vec<f64> = sampled.map(|health| health.mean_ms).collect();
        if means.len() < 3 {
            return None;
        }
        // The lower median, so that of two targets the slow one is not compared with itself.
        let index = (means.len() - 1) / 2;
        let (_, median, _) = means.select_nth_unstable_by(index, f64::total_cmp);
        Some(*median)
    }

    fn update_health(&mut self, key: TargetKey, update: impl FnOnce(Health) -> Health) {
        let health = self.health.get(key).copied().unwrap_or_default();
        self.health.insert(key, update(health));
    }
}

/// The minimum share of the full weight that a returning target has.
const INITIAL_RAMP_SHARE: f64 = 0.1;

fn ramp_weight(progress: f64) -> u32 {
    (f64::from(FULL_WEIGHT) * progress.clamp(INITIAL_RAMP_SHARE, 1.0)) as u32
}
