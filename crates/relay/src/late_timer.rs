//! Timeouts in a process that may get no processor time for a while.

use std::{future::Future, pin::Pin, time::Duration};

use tokio::time::{self, error::Elapsed, Instant};

/// A timer that fires later than this was delayed by a lack of processor time.
const MAX_DELAY: Duration = Duration::from_millis(50);
/// How long a process that got processor time again needs to read what has arrived meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// Waits for `future` until `until`.
///
/// A process that was paused may see its timers fire before it has read its sockets. What arrived
/// in time would then count as missing, for all its requests at once. So if the timer fires more
/// than 50 ms late, the wait continues for another 50 ms.
///
/// # Errors
///
/// [`Elapsed`] if the future was not ready in time.
///
/// # Examples
///
/// ```
/// use std::{future::{pending, ready}, pin::pin, time::Duration};
///
/// use celerypond_relay::running_timeout_at;
/// use tokio::time::Instant;
///
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// # runtime.block_on(async {
/// let until = Instant::now() + Duration::from_millis(1);
/// assert_eq!(running_timeout_at(until, pin!(ready(1))).await, Ok(1));
/// assert!(running_timeout_at(until, pin!(pending::<()>())).await.is_err());
/// # });
/// ```
pub async fn running_timeout_at<F: Future>(
    mut until: Instant,
    mut future: Pin<&mut F>,
) -> Result<F::Output, Elapsed> {
    loop {
        let result = time::timeout_at(until, future.as_mut()).await;
        let now = Instant::now();
        if result.is_ok() || now.saturating_duration_since(until) <= MAX_DELAY {
            return result;
        }
        until = now + CATCH_UP_TIME;
    }
}
