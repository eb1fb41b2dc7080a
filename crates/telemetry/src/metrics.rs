//! Counters and gauges, kept in atomics and published through `cadence`.

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

/// Datagrams that may wait to be sent before further ones are dropped.
const QUEUE_LEN: usize = 1024;

/// The ways in which publishing may fail.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MetricsError {
    /// No local socket could be bound.
    #[error("no UDP socket could be bound")]
    Bind,
    /// The address of the collector could not be used.
    #[error("the collector's address cannot be used")]
    Address,
    /// A metric could not be handed to the sink.
    #[error("a metric could not be sent")]
    Send,
}

/// The counters and gauges of one instance.
///
/// The path of a request pays one relaxed atomic addition for a count. [`Metrics::publish`] sends
/// what was added since its last call, so a lost datagram loses one interval and nothing else.
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
    sent: Vec<AtomicU64>,
    levels: Vec<AtomicU64>,
    client: StatsdClient,
}

impl Metrics {
    /// Makes metrics that can only be read back in this process.
    pub fn local() -> Self {
        Self::with_sink(NopMetricSink)
    }

    /// Makes metrics that are also sent to a collector at `address` over UDP.
    ///
    /// # Errors
    ///
    /// Fails with [`MetricsError::Bind`] or [`MetricsError::Address`].
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

    /// Makes metrics that are also sent to `sink`.
    pub fn with_sink<S>(sink: S) -> Self
    where
        S: MetricSink + Sync + Send + std::panic::UnwindSafe + std::panic::RefUnwindSafe + 'static,
    {
        let zeros = |len| (0..len).map(|_| AtomicU64::new(0)).collect();
        Self {
            counts: zeros(Counter::ALL.len()),
            sent: zeros(Counter::ALL.len()),
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

    /// Returns the level of a gauge.
    pub fn level(&self, gauge: Gauge) -> u64 {
        self.levels[gauge as usize].load(Ordering::Relaxed)
    }

    /// Sends what was added since the last call, and the level of each gauge.
    ///
    /// Only one task may call this. A failed send is not repeated: the next interval goes on.
    ///
    /// # Errors
    ///
    /// Fails with [`MetricsError::Send`], after all metrics were tried.
    pub fn publish(&self) -> Result<(), MetricsError> {
        let mut failed = false;
        for counter in Counter::ALL {
            let now = self.count(*counter);
            let before = self.sent[*counter as usize].swap(now, Ordering::Relaxed);
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

    /// Renders all metrics as text, one `name value` pair a line.
    pub fn render(&self) -> String {
        let counts = Counter::ALL.iter().map(|c| (c.name(), self.count(*c)));
        let levels = Gauge::ALL.iter().map(|g| (g.name(), self.level(*g)));
        let mut text = String::new();
        for (name, value) in counts.chain(levels) {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{PREFIX}.{name} {value}");
        }
        text
    }
}
