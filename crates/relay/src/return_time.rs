//! The time after which a caller that is put off is to return.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    pending_return::MAX_DUE,
    stream_admission::{latest_turn, return_bounds},
    ReturnQueue, Urgency,
};

/// The divisor of a caller's time left that gives the maximum wait before its retry.
const MAX_WAIT_DIVISOR: u32 = 3;
/// The share of that maximum from which callers return that would have to wait longer.
const SPREAD_START: f64 = 2.0 / 3.0;
/// The maximum age of an instance's view of the others: a list may be sent 250 ms late, and
/// links and processes pause for about half a second.
const VIEW_AGE: Duration = Duration::from_millis(800);
/// The maximum time over which callers are spread. In the age of a view, more callers
/// may be put off than streams begin.
const MAX_SPREAD: Duration = Duration::from_millis(2_000);
/// The minimum of that time, within which the least used moment is chosen.
const MIN_SPREAD: Duration = Duration::from_millis(500);
/// How much of the time of cached callers shortens the spread. Others like them are not reported yet.
const CACHED_WEIGHT: f64 = 0.5;
/// The number of moments of which the one with the fewest returns is chosen. If there were many,
/// instances with the same view would choose the same.
const CANDIDATES: u32 = 4;
/// The time before and after such a moment in which returns are counted.
const MARGIN: Duration = Duration::from_millis(250);
/// The share of the rate that returns take. The remainder is for callers that this instance never
/// caches, whose instances died or whose notices were lost.
const RETURN_SHARE: f64 = 0.9;
/// The maximum share of the rate that is left to more urgent callers to come.
const MAX_URGENT_SHARE: f64 = 0.75;
/// The time over which callers are spread if the rate at which streams begin is unknown.
const UNKNOWN_RATE_SPREAD: Duration = Duration::from_secs(4);
/// The bounds of the rate, in streams per second.
const RATE_BOUNDS: (f64, f64) = (0.1, 100_000.0);

/// A caller that is about to be put off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnClaim {
    /// The hash of the service's name.
    pub service: u64,
    /// The id of the prompt part that belongs to its request alone.
    pub part: u64,
    /// Its urgency.
    pub urgency: Urgency,
    /// When its first attempt was received.
    pub since: Instant,
    /// The wait at the engines, without the callers that were put off.
    pub wait: Duration,
    /// The time for reading its own prompt.
    pub read: Duration,
    /// The time until the latency target of its first event.
    pub aim_left: Duration,
    /// The number of streams that the service's engines begin in a second, if known.
    pub rate: Option<f64>,
}

impl ReturnClaim {
    /// Returns between which times its caller is to return if its turn at the engines comes after
    /// this time, and it is spread over as much as this. One that can be in time returns once it
    /// would be queued, as engines would be idle until it has come otherwise.
    fn bounds(&self, turn: Duration, spread: Duration) -> [Duration; 2] {
        if turn > latest_turn(self.aim_left, self.read) {
            return [turn, turn + spread];
        }
        let [earliest, latest] = return_bounds(turn, self.aim_left, self.read);
        [earliest, latest.min(earliest + spread)]
    }
}

impl ReturnQueue {
    /// Returns after what time a caller that is put off now is to return.
    ///
    /// Callers return in the order of their urgency and of their first attempts, as many in a
    /// second as streams begin. When instances begin to put off callers, none has cached the
    /// callers of the others, and each would send all of its own the same `Retry-After`. They
    /// are spread over the time that the unknown ones may take. Later, each counts those that were
    /// put off up to the age of its view, so that times increase from caller to caller.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::{ReturnClaim, ReturnQueue, Urgency};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let wait = Duration::from_secs(3);
    /// let claim = ReturnClaim { service: 1, part: 7, urgency: Urgency::new(1), since: now, wait,
    ///     read: Duration::ZERO, aim_left: Duration::ZERO, rate: Some(30.0) };
    /// assert!(ReturnQueue::default().return_time(&claim, now) >= wait);
    /// ```
    pub fn return_time(&self, claim: &ReturnClaim, now: Instant) -> Duration {
        let jitter = jitter(claim.part);
        // Estimates from faulty loads are huge, and times beyond the maximum are ignored by others.
        let engine_wait = claim.wait.min(MAX_DUE);
        let limit = |wait: Duration| match wait <= MAX_DUE {
            true => wait,
            false => spread_below(MAX_DUE, claim.part),
        };
        let Some(rate) = claim.rate.filter(|rate| rate.is_finite() && *rate > 0.0) else {
            return limit(engine_wait + UNKNOWN_RATE_SPREAD.mul_f64(jitter));
        };
        let rate = RETURN_SHARE * rate.clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
        let before = self.count_before(claim.service, claim.urgency, claim.since);
        // The view of the last period is incomplete, that of the one before is complete.
        let earlier = |time: Duration| now.checked_sub(time).unwrap_or(now);
        let period = earlier(VIEW_AGE * 2)..earlier(VIEW_AGE);
        let count = |level| self.count_between(claim.service, Urgency::new(level), period.clone());
        let urgent: u32 = (0..claim.urgency.level()).map(count).sum();
        let cached: u32 = (0..Urgency::LEVELS).map(count).sum();
        let urgent_share = f64::from(urgent) / (rate * VIEW_AGE.as_secs_f64());
        let left_rate = rate * (1.0 - urgent_share.min(MAX_URGENT_SHARE));
        let time = |callers: u32, rate: f64| Duration::from_secs_f64(f64::from(callers) / rate);
        let spread = MAX_SPREAD.saturating_sub(time(cached, rate).mul_f64(CACHED_WEIGHT));
        let spread = spread.max(MIN_SPREAD);
        let turn = engine_wait + time(before, left_rate);
        let [earliest, latest] = claim.bounds(turn, spread);
        let candidate = |n: u32| {
            let position = jitter + f64::from(n) / f64::from(CANDIDATES);
            earliest + latest.saturating_sub(earliest).mul_f64(position.fract())
        };
        let due_about = |wait: &Duration| self.count_due(claim.service, now + *wait, MARGIN);
        let wait = (0..CANDIDATES).map(candidate).min_by_key(due_about);
        limit(wait.unwrap_or(earliest))
    }
}

/// Returns how long a caller with this time left waits at most before it retries.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let max = celerypond_relay::max_backoff(Duration::from_secs(24));
/// assert_eq!(max, Duration::from_secs(8));
/// ```
pub fn max_backoff(time_left: Duration) -> Duration {
    time_left / MAX_WAIT_DIVISOR
}

/// Limits the time after which the caller of a prompt part returns to what it waits at most.
///
/// If more callers are put off than can be served in that time, all of them would return at the
/// limit, as many as came at once. They are spread over the last third of it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::limit_return;
///
/// let secs = Duration::from_secs;
/// assert_eq!(limit_return(secs(5), secs(24), 7), secs(5));
/// let [one, other] = [7, 8].map(|part| limit_return(secs(20), secs(24), part));
/// assert!(one != other && one < secs(8) && other < secs(8));
/// ```
pub fn limit_return(wait: Duration, time_left: Duration, part: u64) -> Duration {
    let max = max_backoff(time_left);
    if wait <= max {
        return wait;
    }
    spread_below(max, part)
}

/// Returns a time from the last third of a limit.
fn spread_below(max: Duration, part: u64) -> Duration {
    max.mul_f64(SPREAD_START + (1.0 - SPREAD_START) * jitter(part))
}

/// Returns a number from 0 to 1 that depends on the prompt part alone.
fn jitter(part: u64) -> f64 {
    let hash = celerypond_route::hash(&part.to_le_bytes());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
