//! Settings for leases, sends and loads.

use std::time::Duration;

/// Settings for leases, sends and loads.
///
/// All instances must use the same values, since a holder and its successor both derive their
/// deadlines from them.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderSettings {
    /// The time for which a lease is valid after it was written.
    pub lease_duration: Duration,
    /// How long before the end of its lease a holder stops sending orders. This allows for clocks
    /// that run at different rates.
    pub clock_margin: Duration,
    /// The time after which an order is given up, and its connection reset, once its first byte was
    /// written.
    pub send_timeout: Duration,
    /// The longest time for which a target that closes idle connections keeps one open
    /// ([`StaleOrderGuard::IdleClose`](crate::StaleOrderGuard::IdleClose)).
    pub idle_timeout: Duration,
    /// The time between two renewals of a lease.
    pub renew_interval: Duration,
    /// The delay before a failed store call or order is retried, unless the target names a delay.
    pub retry_delay: Duration,
    /// The time after which a load that is still not reported as complete is ordered again.
    pub load_timeout: Duration,
    /// The time after which a role is ordered again, since engines do not report their role.
    pub repeat_interval: Duration,
    /// The number of concurrent loads that are allowed at first.
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
