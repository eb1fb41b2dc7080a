//! Background tasks that panic.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use celerypond_daemon::supervised;
use tokio::time::{sleep, Duration};

// Guards against an instance that seems to be well while one of its tasks has ended.
#[tokio::test(start_paused = true)]
async fn task_that_panics_starts_again_until_it_ends() {
    let starts = AtomicU32::new(0);
    supervised::run("task", || async {
        let start = starts.fetch_add(1, Relaxed);
        sleep(Duration::from_secs(1)).await;
        assert!(start >= 3, "start {start}");
    })
    .await;
    assert_eq!(starts.into_inner(), 4);
}
