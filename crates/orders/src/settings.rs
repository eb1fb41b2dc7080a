//! Times of leases and sends.

use std::time::Duration;

/// Times of leases and sends.
///
/// All instances must use the same values: a holder and its successor compute from them.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderSettings {
    /// How long a lease holds after it was written.
    pub lease_duration: Duration,
    /// How much earlier a holder stops, for clocks that do not run at the same rate.
    pub clock_margin: Duration,
    /// The longest that an order may be on its way once its first byte was written.
    pub send_timeout: Duration,
    /// The longest time for which a target that closes idle connections keeps one open.
    pub idle_timeout: Duration,
    /// The time between two renewals.
    pub renew_interval: Duration,
    /// The time after which a store call that failed is tried again.
    pub retry_delay: Duration,
    /// The time after which a load that was accepted but is not reported is ordered again.
    pub load_timeout: Duration,
    /// The time after which what cannot be read back is ordered again.
    pub repeat_interval: Duration,
    /// Loads that may go on at once at the start.
    pub initial_load_window: f64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(10),
            clock_margin: Duration::from_secs(1),
            send_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(15),
            renew_interval: Duration::from_secs(3),
            retry_delay: Duration::from_secs(1),
            load_timeout: Duration::from_secs(300),
            repeat_interval: Duration::from_secs(5),
            initial_load_window: 4.0,
        }
    }
}
