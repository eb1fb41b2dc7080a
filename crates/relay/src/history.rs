//! What the streams of each service were like lately.

use std::collections::{HashMap, VecDeque};

use celerypond_types::ServiceName;

/// The streams of a service that are remembered.
const MAX_VALUES: usize = 64;
/// So many must be known before anything is concluded.
const MIN_VALUES: usize = 5;
/// The part of answers that are shorter than what counts as short.
const SHORT_QUANTILE: f64 = 0.1;
/// The part of readings that are slower than what counts as usual. Some are much faster, as a part of
/// their prompt was read before.
const USUAL_QUANTILE: f64 = 0.5;
/// The part of readings that are slower than what counts as fast. Others may have had prompts there that are not known of.
const FAST_QUANTILE: f64 = 0.75;

/// What the streams of each service were like lately: how many events they had, and how fast prompts
/// were read.
///
/// The load it answers: requests name the most tokens of an answer, and answers end where they end.
/// Whether a caller that comes back with a few seconds left can still be served follows from what was
/// seen of others.
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
    /// Events of whole answers.
    event_counts: RecentValues,
    /// Prompt tokens that were read in a millisecond, the wait for the engine included.
    rates: RecentValues,
    /// The same where other prompts were read first, with their tokens.
    queued_rates: RecentValues,
}

impl History {
    /// Takes in that an answer is complete.
    pub fn record_event_count(&mut self, service: &ServiceName, events: u64) {
        self.service_mut(service).event_counts.add(events as f64);
    }

    /// Takes in that a prompt was read at an engine that read nothing else.
    pub fn record_reading(&mut self, service: &ServiceName, tokens: u64, took_ms: f64) {
        if took_ms > 0.0 {
            self.service_mut(service).rates.add(tokens as f64 / took_ms);
        }
    }

    /// Takes in that a prompt was read after others, with the tokens of all.
    pub fn record_queued_reading(&mut self, service: &ServiceName, tokens: u64, took_ms: f64) {
        if took_ms > 0.0 {
            self.service_mut(service)
                .queued_rates
                .add(tokens as f64 / took_ms);
        }
    }

    /// Returns how many events an answer usually has after its event `last`; nothing where too few
    /// answers are known.
    pub fn typical_events_left(&self, service: &ServiceName, last: u64) -> Option<f64> {
        self.left(service, last, 0.5)
    }

    /// Returns how many events a short answer has after its event `last`.
    pub fn min_events_left(&self, service: &ServiceName, last: u64) -> Option<f64> {
        self.left(service, last, SHORT_QUANTILE)
    }

    /// Returns how many prompt tokens an engine usually reads in a millisecond.
    pub fn read_rate(&self, service: &ServiceName) -> Option<f64> {
        self.services
            .get(service)?
            .rates
            .quantile(USUAL_QUANTILE, 0.0)
    }

    /// Returns how many tokens of queued prompts an engine reads in a millisecond when it reads fast; nothing where too few
    /// readings are known.
    ///
    /// What each request takes besides its reading counts once for a whole queue, so this is more than
    /// [`History::read_rate`].
    pub fn queue_rate(&self, service: &ServiceName) -> Option<f64> {
        let service_mut = self.services.get(service)?;
        let queued_rates = service_mut.queued_rates.quantile(FAST_QUANTILE, 0.0);
        queued_rates.or_else(|| service_mut.rates.quantile(FAST_QUANTILE, 0.0))
    }

    fn left(&self, service: &ServiceName, last: u64, part: f64) -> Option<f64> {
        let event_counts = &self.services.get(service)?.event_counts;
        let last = last as f64;
        if !event_counts.has_enough() {
            return None;
        }
        let whole = event_counts.quantile(part, last);
        Some(whole.map_or(0.0, |whole| whole - last))
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceHistory {
        self.services.entry(service.clone()).or_default()
    }
}

/// The last values of a measure.
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

    /// Returns the value that a part of those above `over` are below; nothing where none is above or too
    /// few are known.
    fn quantile(&self, part: f64, over: f64) -> Option<f64> {
        if !self.has_enough() {
            return None;
        }
        let above = self.values.iter().copied().filter(|value| *value > over);
        let mut above: Vec<f64> = above.collect();
        above.sort_by(f64::total_cmp);
        let at = (above.len() as f64 * part) as usize;
        above.get(at.min(above.len().saturating_sub(1))).copied()
    }
}
