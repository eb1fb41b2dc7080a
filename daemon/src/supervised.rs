//! Background tasks that start again after a panic.

use std::{future::Future, panic::AssertUnwindSafe, time::Duration};

use futures::FutureExt as _;
use tokio::time::sleep;

/// The delay before a task that panicked starts again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a task until it ends, and starts it again whenever it panics.
///
/// Without it the instance would go on without the task and seem to be well. What a task shares with
/// others must be usable after a panic; locks are, as those who take them ignore poisoning.
///
/// # Examples
///
/// ```
/// # #[tokio::main(flavor = "current_thread", start_paused = true)]
/// # async fn main() {
/// use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
///
/// use celerypond_daemon::supervised;
///
/// let starts = AtomicU32::new(0);
/// supervised::run("example", || async {
///     assert!(starts.fetch_add(1, Relaxed) > 0, "the first start panics");
/// })
/// .await;
/// assert_eq!(starts.into_inner(), 2);
/// # }
/// ```
pub async fn run<F>(name: &str, task: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    while AssertUnwindSafe(task()).catch_unwind().await.is_err() {
        log::error!(task = name; "task panicked, starting it again");
        sleep(RESTART_DELAY).await;
    }
}
