//! Counters and gauges, stored in atomics and published with `cadence`.

use std::{
    fmt::Write as _,
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient,
};
use error_stack::{Report, ResultExt as _};
use thiserror::Error;

use crate::{Counter, Gauge};

const PREFIX: &str = "celerypond";

/// The maximum number of metrics that wait to be sent. Further ones are dropped.
const QUEUE_LEN: usize = 1024;

/// An error of publishing metrics.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MetricsError {
    /// The local UDP socket cannot be bound.
    #[error("the local UDP socket cannot be bound")]
    Bind,
    /// The address of the statsd collector is not usable.
    #[error("the address of the statsd collector is not usable")]
    Address,
    /// The sink rejected a metric.
    #[error("a metric could not be sent")]
    Send,
}

/// The counters and gauges of one instance.
///
/// Counting an event costs the caller one relaxed atomic addition. [`Metrics::publish`] sends the
/// increments since its last call, so a lost datagram loses the counts of one interval only.
///
/// # Examples
///
/// ```
/// use celerypond_telemetry::{Counter, Metrics};
///
/// let metrics = Metrics::local();
/// metrics.add(Counter::Requests, 2);
/// assert_eq!(metrics.count(Counter::Requests), 2);
/// assert!(metrics.render().contains("celerypond.requests 2\n"));
/// ```
pub struct Metrics {
    counts: Vec<AtomicU64>,
    published: Vec<AtomicU64>,
    levels: Vec<AtomicU64>,
    client: StatsdClient,
}

impl Metrics {
    /// Creates metrics that are not sent to a collector.
    pub fn local() -> Self {
        Self::with_sink(NopMetricSink)
    }

    /// Creates metrics that are published to a statsd collector at `address` over UDP.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Bind`] if the local socket cannot be bound, or
    /// [`MetricsError::Address`] if the address is not usable.
    pub fn with_udp_sink(address: SocketAddr) -> Result<Self, Report<MetricsError>> {
        let local = match address {
            SocketAddr::V4(_) => "0.0.0.0:0",
            SocketAddr::V6(_) => "[::]:0",
        };
        let socket = UdpSocket::bind(local).change_context(MetricsError::Bind)?;
        socket
            .set_nonblocking(true)
            .change_context(MetricsError::Bind)?;
        let sink =
            BufferedUdpMetricSink::from(address, socket).change_context(MetricsError::Address)?;
        Ok(Self::with_sink(QueuingMetricSink::with_capacity(
            sink, QUEUE_LEN,
        )))
    }

    /// Creates metrics that are published to `sink`.
    pub fn with_sink<S>(sink: S) -> Self
    where
        S: MetricSink + Sync + Send + std::panic::UnwindSafe + std::panic::RefUnwindSafe + 'static,
    {
        let zeros = |len| (0..len).map(|_| AtomicU64::new(0)).collect();
        Self {
            counts: zeros(Counter::ALL.len()),
            published: zeros(Counter::ALL.len()),
            levels: zeros(Gauge::ALL.len()),
            client: StatsdClient::from_sink(PREFIX, sink),
        }
    }

    /// Adds `n` to a counter.
    pub fn add(&self, counter: Counter, n: u64) {
        self.counts[counter as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, level: u64) {
        self.levels[gauge as usize].store(level, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn count(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns the value of a gauge.
    pub fn level(&self, gauge: Gauge) -> u64 {
        self.levels[gauge as usize].load(Ordering::Relaxed)
    }

    /// Sends the increments of the counters since the last call and the values of the gauges.
    ///
    /// Only one task may call this. Increments that could not be sent are not sent again later.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Send`] if a metric could not be sent. The other metrics are sent
    /// nevertheless.
    pub fn publish(&self) -> Result<(), MetricsError> {
        let mut failed = false;
        for counter in Counter::ALL {
            let now = self.count(*counter);
            let before = self.published[*counter as usize].swap(now, Ordering::Relaxed);
            let delta = i64::try_from(now - before).unwrap_or(i64::MAX);
            failed |= delta > 0 && self.client.count(counter.name(), delta).is_err();
        }
        for gauge in Gauge::ALL {
            failed |= self.client.gauge(gauge.name(), self.level(*gauge)).is_err();
        }
        if failed {
            Err(MetricsError::Send)
        } else {
            Ok(())
        }
    }

    /// Renders all metrics as text, one `name value` pair per line.
    pub fn render(&self) -> String {
        let counts = Counter::ALL.iter().map(|c| (c.name(), self.count(*c)));
        let levels = Gauge::ALL.iter().map(|g| (g.name(), self.level(*g)));
        let mut text = String::new();
        for (name, value) in counts.chain(levels) {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{PREFIX}.{name} {value}");
        }
        text
    }
}
