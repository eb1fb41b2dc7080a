//! The rate at which an instance sends requests to a plain target that has a long queue.

use std::time::Duration;

use tokio::time::Instant;

use crate::Load;

/// The share of a target's capacity that all instances use together while its queue is long.
const LONG_QUEUE_SHARE: f64 = 0.9;
/// The share by which the rate grows in a second of short queues.
const GROWTH_PER_S: f64 = 0.5;
/// The share of the capacity from which the rate is no longer limited.
const MAX_SHARE: f64 = 4.0;
/// The maximum share of the capacity of a brittle target, whose rate is always limited: its queue
/// must not grow faster than responses report it.
const MAX_BRITTLE_SHARE: f64 = 1.25;
/// The share of the latency target from which an estimated response time is too long. Service
/// times vary, and the response has to reach the caller.
const LATE_SHARE: f64 = 0.42;
/// The weight of earlier responses in the estimate of the service time, for each later one.
const DECAY: f64 = 0.97;
/// The minimum variance of the queue length, in service times, from which the service time can be
/// separated from the time for the network.
const MIN_VARIANCE: f64 = 0.05;
/// The maximum of the whole time per request as a multiple of its service time.
const MAX_OVERHEAD: f64 = 4.0;
/// The number of consecutive late responses from which the rate is limited. A single one may be due
/// to a few requests that arrived at once.
const MIN_LATE_RESPONSES: u32 = 2;
/// The number of requests that may be sent at once after a time without any.
const BURST: f64 = 1.5;

/// The rate at which an instance sends requests to a plain target.
///
/// If targets are lost, the rest may get twice the requests that they can serve. Their queues are
/// then always full, and every response that they make is late. While the queue is too long for a
/// response to be on time, each instance sends no more than its share of what the target can serve,
/// and requests without a target are refused at once. The share grows while responses come after a
/// short queue, so that the queue stays near the longest that is on time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{AdmissionRate, Load};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut rate = AdmissionRate::default();
/// let (aim, took) = (Duration::from_millis(120), Duration::from_millis(135));
/// let load = Load { running: 3, waiting: 24, slots: 3, pace: None };
/// rate.record_response(load, took, aim, now);
/// rate.record_response(load, took, aim, now);
/// assert!(rate.allows(false, 59, now));
/// rate.spend(59, now);
/// // 59 instances share 200 requests per second.
/// assert!(!rate.allows(false, 59, now));
/// assert!(rate.allows(false, 59, now + Duration::from_millis(300)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionRate {
    service_time: ServiceTime,
    /// The number of requests that the target works on at once.
    slots: u32,
    /// The number of consecutive responses after a long queue.
    late_responses: u32,
    limit: Option<Limit>,
    /// Whether the target must not reject many requests.
    is_brittle: bool,
}

/// A limited rate.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// The share of the target's capacity that all instances may use.
    share: f64,
    /// The number of requests that may be sent now; negative after several were sent at once.
    tokens: f64,
    /// When that was.
    at: Instant,
    /// When a response or refusal was last recorded.
    recorded_at: Instant,
}

/// An estimate of the time that a target works on a request.
///
/// A response takes a service time for each request that a slot serves before and for the request
/// itself, and a constant time for the network. The estimate is the slope of a linear regression of
/// the response time by the number of service times (`turns`).
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTime {
    count: f64,
    turns: f64,
    turns_squared: f64,
    took: f64,
    product: f64,
}

impl ServiceTime {
    fn add(&mut self, turns: f64, took_ms: f64) {
        let add = |sum: &mut f64, value: f64| *sum = *sum * DECAY + value;
        add(&mut self.count, 1.0);
        add(&mut self.turns, turns);
        add(&mut self.turns_squared, turns * turns);
        add(&mut self.took, took_ms);
        add(&mut self.product, turns * took_ms);
    }

    /// Returns the time in milliseconds; `None` if no response is known.
    fn per_request_ms(&self) -> Option<f64> {
        if self.count <= 0.0 {
            return None;
        }
        let (turns, took) = (self.turns / self.count, self.took / self.count);
        let variance = self.turns_squared / self.count - turns * turns;
        let covariance = self.product / self.count - turns * took;
        let whole_ms = took / turns;
        let slope = (variance > MIN_VARIANCE).then(|| covariance / variance);
        let slope = slope.map_or(whole_ms, |slope| {
            slope.clamp(whole_ms / MAX_OVERHEAD, whole_ms)
        });
        (slope > 0.0).then_some(slope)
    }
}

impl AdmissionRate {
    /// Records a response, and the load that the target reported with it.
    pub fn record_response(&mut self, load: Load, took: Duration, aim: Duration, now: Instant) {
        self.slots = load.slots.max(1);
        // The queue is about as long as when the request arrived.
        let turns = 1.0 + f64::from(load.waiting) / f64::from(self.slots);
        self.service_time.add(turns, took.as_secs_f64() * 1_000.0);
        // Without a queue, the target is slow, but nothing is gained by sending it less.
        let is_queued = match self.is_brittle {
            true => load.waiting > 0,
            false => load.waiting >= self.slots,
        };
        let is_late = self.is_brittle || took > aim.mul_f64(LATE_SHARE);
        self.late_responses = match is_queued && is_late {
            true => self.late_responses + 1,
            false => 0,
        };
        self.record_queue(self.late_responses, now);
    }

    /// Sets whether the target must not reject many requests. Its rate is then always limited, and
    /// to less as soon as requests wait there.
    pub fn set_brittle(&mut self, is_brittle: bool, now: Instant) {
        self.is_brittle = is_brittle;
        if is_brittle && self.limit.is_none() {
            self.limit = Some(Limit {
                share: MAX_BRITTLE_SHARE,
                tokens: 1.0,
                at: now,
                recorded_at: now,
            });
        }
    }

    /// Records that the target refused a request because its queue is full.
    pub fn record_refusal(&mut self, now: Instant) {
        self.late_responses = MIN_LATE_RESPONSES;
        self.record_queue(self.late_responses, now);
    }

    /// Returns whether a request may be sent now. While the rate is limited, requests whose responses
    /// will be late anyway would only make others late.
    pub fn allows(&self, is_late: bool, instances: usize, now: Instant) -> bool {
        let Some(limit) = &self.limit else {
            return true;
        };
        let rate = self.rate(limit, instances);
        rate.is_none_or(|rate| !is_late && limit.tokens_at(rate, now) >= 1.0)
    }

    /// Returns whether the rate is limited because of a long queue.
    pub fn is_limited(&self) -> bool {
        let is_lowered = |limit: &Limit| !self.is_brittle || limit.share < 1.0;
        self.limit.as_ref().is_some_and(is_lowered)
    }

    /// Counts a request that is sent.
    pub fn spend(&mut self, instances: usize, now: Instant) {
        let Some(limit) = self.limit else {
            return;
        };
        let Some(rate) = self.rate(&limit, instances) else {
            return;
        };
        self.limit = Some(Limit {
            tokens: limit.tokens_at(rate, now) - 1.0,
            at: now,
            ..limit
        });
    }

    fn record_queue(&mut self, late_responses: u32, now: Instant) {
        let limit = match (late_responses, self.limit) {
            (1.., Some(limit)) => Limit {
                share: limit.share.min(LONG_QUEUE_SHARE),
                ..limit
            },
            (MIN_LATE_RESPONSES.., None) => Limit {
                share: LONG_QUEUE_SHARE,
                tokens: BURST,
                at: now,
                recorded_at: now,
            },
            (0, Some(limit)) => {
                let elapsed = now.saturating_duration_since(limit.recorded_at);
                let growth = GROWTH_PER_S * elapsed.as_secs_f64().min(1.0);
                Limit {
                    share: limit.share * (1.0 + growth),
                    ..limit
                }
            }
            (_, None) => return,
        };
        let limit = Limit {
            recorded_at: now,
            ..limit
        };
        self.limit = match self.is_brittle {
            true => Some(Limit {
                share: limit.share.min(MAX_BRITTLE_SHARE),
                ..limit
            }),
            false => (limit.share <= MAX_SHARE).then_some(limit),
        };
    }

    /// Returns the requests per millisecond that this instance may send; `None` if the capacity of
    /// the target is not known.
    fn rate(&self, limit: &Limit, instances: usize) -> Option<f64> {
        let capacity = f64::from(self.slots) / self.service_time.per_request_ms()?;
        Some(capacity * limit.share / instances.max(1) as f64)
    }
}

impl Limit {
    fn tokens_at(&self, rate: f64, now: Instant) -> f64 {
        let elapsed_ms = now.saturating_duration_since(self.at).as_secs_f64() * 1_000.0;
        (self.tokens + elapsed_ms * rate).min(BURST)
    }
}
