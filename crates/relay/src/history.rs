//! Recent measurements of the streams of each service.

use std::collections::{HashMap, VecDeque};

use celerypond_types::ServiceName;

/// The maximum number of values of each measurement that are kept.
const MAX_VALUES: usize = 64;
/// The minimum number of values from which anything is concluded.
const MIN_VALUES: usize = 5;
/// The quantile of response lengths that counts as short.
const SHORT_QUANTILE: f64 = 0.1;
/// The quantile of reading rates that counts as usual. Some rates are much higher as a part of the
/// prompt was cached.
const USUAL_QUANTILE: f64 = 0.5;
/// The quantile of reading rates that counts as fast. Slower readings may have been queued behind
/// prompts that were not known of.
const FAST_QUANTILE: f64 = 0.75;

/// Recent measurements of each service's streams: the number of events of their responses, and the
/// rate at which prompts were read.
///
/// Requests state the maximum length of a response, which says little about its actual length.
/// Whether a caller that retries with a few seconds left can still be served is estimated from the
/// streams of other callers.
///
/// # Examples
///
/// ```
/// use celerypond_relay::History;
/// use celerypond_types::ServiceName;
///
/// let writer = ServiceName::new("writer");
/// let mut history = History::default();
/// (100..120).for_each(|events| history.record_event_count(&writer, events));
/// assert_eq!(history.typical_events_left(&writer, 50), Some(60.0));
/// assert_eq!(history.min_events_left(&writer, 50), Some(52.0));
/// assert_eq!(history.min_events_left(&writer, 200), Some(0.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct History {
    services: HashMap<ServiceName, ServiceHistory>,
}

#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    /// The number of events of complete responses.
    event_counts: RecentValues,
    /// Prompt tokens read per millisecond, including the wait for the engine.
    rates: RecentValues,
    /// Likewise for prompts that were queued behind others, including the tokens of those.
    queued_rates: RecentValues,
}

impl History {
    /// Records the number of events of a complete response.
    pub fn record_event_count(&mut self, service: &ServiceName, events: u64) {
        self.service_mut(service).event_counts.add(events as f64);
    }

    /// Records the time that an engine took for reading a prompt while it read no other.
    pub fn record_reading(&mut self, service: &ServiceName, tokens: u64, took_ms: f64) {
        if took_ms > 0.0 {
            self.service_mut(service).rates.add(tokens as f64 / took_ms);
        }
    }

    /// Records the time that an engine took for reading a prompt and those queued before it, with
    /// the tokens of all.
    pub fn record_queued_reading(&mut self, service: &ServiceName, tokens: u64, took_ms: f64) {
        if took_ms > 0.0 {
            self.service_mut(service)
                .queued_rates
                .add(tokens as f64 / took_ms);
        }
    }

    /// Returns the median number of events after event `last` of a response; `None` if too few
    /// responses are known.
    pub fn typical_events_left(&self, service: &ServiceName, last: u64) -> Option<f64> {
        self.events_after(service, last, 0.5)
    }

    /// Returns the number of events after event `last` of a short response.
    pub fn min_events_left(&self, service: &ServiceName, last: u64) -> Option<f64> {
        self.events_after(service, last, SHORT_QUANTILE)
    }

    /// Returns the number of events of the shortest recent response; `None` if too few are known.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::History;
    /// use celerypond_types::ServiceName;
    ///
    /// let writer = ServiceName::new("writer");
    /// let mut history = History::default();
    /// (100..120).for_each(|events| history.record_event_count(&writer, events));
    /// assert_eq!(history.shortest_response(&writer), Some(100.0));
    /// ```
    pub fn shortest_response(&self, service: &ServiceName) -> Option<f64> {
        self.events_after(service, 0, 0.0)
    }

    /// Returns the number of prompt tokens that an engine usually reads per millisecond.
    pub fn read_rate(&self, service: &ServiceName) -> Option<f64> {
        self.services
            .get(service)?
            .rates
            .quantile(USUAL_QUANTILE, 0.0)
    }

    /// Returns the number of tokens of queued prompts that a fast engine reads per millisecond;
    /// `None` if too few readings are known.
    ///
    /// The overhead of a request counts only once for a whole queue, so this is higher than
    /// [`History::read_rate`].
    pub fn queue_rate(&self, service: &ServiceName) -> Option<f64> {
        let service_history = self.services.get(service)?;
        let queued_rates = service_history.queued_rates.quantile(FAST_QUANTILE, 0.0);
        queued_rates.or_else(|| service_history.rates.quantile(FAST_QUANTILE, 0.0))
    }

    /// Returns the number of tokens that a fast engine reads per millisecond, from as few readings as
    /// were observed; `None` if there are none.
    pub(crate) fn observed_rate(&self, service: &ServiceName) -> Option<f64> {
        let rates = &self.services.get(service)?.rates;
        let fastest = || rates.values.iter().copied().max_by(f64::total_cmp);
        self.queue_rate(service).or_else(fastest)
    }

    /// Returns the number of tokens of queued prompts that an engine usually reads per millisecond.
    pub(crate) fn usual_queue_rate(&self, service: &ServiceName) -> Option<f64> {
        let service_history = self.services.get(service)?;
        service_history.queued_rates.quantile(USUAL_QUANTILE, 0.0)
    }

    fn events_after(&self, service: &ServiceName, last: u64, quantile: f64) -> Option<f64> {
        let event_counts = &self.services.get(service)?.event_counts;
        let last = last as f64;
        if !event_counts.has_enough() {
            return None;
        }
        let length = event_counts.quantile(quantile, last);
        Some(length.map_or(0.0, |length| length - last))
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceHistory {
        self.services.entry(service.clone()).or_default()
    }
}

/// The most recent values of a measurement.
#[derive(Clone, Debug, Default)]
struct RecentValues {
    values: VecDeque<f64>,
}

impl RecentValues {
    fn add(&mut self, value: f64) {
        if self.values.len() == MAX_VALUES {
            self.values.pop_front();
        }
        self.values.push_back(value);
    }

    fn has_enough(&self) -> bool {
        self.values.len() >= MIN_VALUES
    }

    /// Returns a quantile of the values above `floor`; `None` if there are none or too few values
    /// are known.
    fn quantile(&self, quantile: f64, floor: f64) -> Option<f64> {
        if !self.has_enough() {
            return None;
        }
        let above = self.values.iter().copied().filter(|value| *value > floor);
        let mut above: Vec<f64> = above.collect();
        above.sort_by(f64::total_cmp);
        let at = (above.len() as f64 * quantile) as usize;
        above.get(at.min(above.len().saturating_sub(1))).copied()
    }
}
