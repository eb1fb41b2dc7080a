//! Times of leases and sends.

use std::time::Duration;

/// Times of leases and sends.
///
/// All instances must use the same values: a holder and its successor compute from them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a lease holds after it was written.
    pub lease: Duration,
    /// How much earlier a holder stops, for clocks that do not run at the same rate.
    pub margin: Duration,
    /// The longest that an order may be on its way once its first byte was written.
    pub send: Duration,
    /// The longest time for which a target that closes idle connections keeps one open.
    pub idle: Duration,
    /// The time between two renewals.
    pub renew: Duration,
    /// The time after which a store call that failed is tried again.
    pub retry: Duration,
    /// The time after which a load that was accepted but is not reported is ordered again.
    pub load: Duration,
    /// The time after which what cannot be read back is ordered again.
    pub repeat: Duration,
    /// Loads that may go on at once at the start.
    pub loads: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            send: Duration::from_secs(2),
            idle: Duration::from_secs(15),
            renew: Duration::from_secs(3),
            retry: Duration::from_secs(1),
            load: Duration::from_secs(300),
            repeat: Duration::from_secs(5),
            loads: 4.0,
        }
    }
}
