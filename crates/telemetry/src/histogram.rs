//! Latency histograms.

use std::{
    fmt::Write as _,
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use crate::metric_list::metric_list;

metric_list! {
    /// A latency that is recorded in a histogram.
    Latency {
        /// The time from the headers of a request to the end of its response, for responses that
        /// are not streams.
        Request = "relay.request_ms",
        /// The time from the headers of a request to the first event of its stream.
        FirstEvent = "relay.first_event_ms",
        /// The time from the end of an attempt in the middle of a stream to the next event.
        Resume = "relay.resume_ms",
        /// The time from a call of the store to its response, without the wait of a watch.
        Store = "relay.store_ms",
    }
}

/// The upper bounds of the buckets, in milliseconds. Each is about twice the previous one.
const BOUNDS: [u64; 15] = [
    1, 2, 5, 10, 20, 50, 100, 200, 400, 700, 1_500, 3_000, 6_000, 12_000, 30_000,
];

/// The histograms of all latencies.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_telemetry::{Histograms, Latency};
///
/// let histograms = Histograms::default();
/// histograms.add(Latency::Request, Duration::from_millis(7));
/// let text = histograms.render("celerypond");
/// assert!(text.contains("celerypond.relay.request_ms.le_5 0\n"));
/// assert!(text.contains("celerypond.relay.request_ms.le_10 1\n"));
/// assert!(text.contains("celerypond.relay.request_ms.count 1\n"));
/// ```
#[derive(Debug, Default)]
pub struct Histograms {
    counts: [[AtomicU64; BOUNDS.len() + 1]; Latency::ALL.len()],
    sums: [AtomicU64; Latency::ALL.len()],
}

impl Histograms {
    /// Records a latency.
    pub fn add(&self, latency: Latency, time: Duration) {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let bucket = BOUNDS.partition_point(|bound| *bound < ms);
        self.counts[latency as usize][bucket].fetch_add(1, Relaxed);
        self.sums[latency as usize].fetch_add(ms, Relaxed);
    }

    /// Renders all histograms as text, one `name value` pair per line. The counts are cumulative:
    /// each includes all latencies up to its bound.
    pub fn render(&self, prefix: &str) -> String {
        let mut text = String::new();
        for latency in Latency::ALL {
            let name = latency.name();
            let counts = &self.counts[*latency as usize];
            let mut cumulative = 0;
            for (bound, count) in BOUNDS.iter().zip(counts) {
                cumulative += count.load(Relaxed);
                // Writing to a string cannot fail.
                let _ = writeln!(text, "{prefix}.{name}.le_{bound} {cumulative}");
            }
            cumulative += counts[BOUNDS.len()].load(Relaxed);
            let sum = self.sums[*latency as usize].load(Relaxed);
            let _ = writeln!(text, "{prefix}.{name}.count {cumulative}");
            let _ = writeln!(text, "{prefix}.{name}.sum {sum}");
        }
        text
    }
}
