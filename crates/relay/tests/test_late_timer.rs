//! Timeouts of a process that was paused.

use std::{pin::pin, thread, time::Duration};

use celerypond_relay::running_timeout_at;
use tokio::{
    join,
    task::yield_now,
    time::{sleep, Instant},
};

const PAUSE: Duration = Duration::from_millis(200);

// Guards against an instance that takes all its targets for silent after a pause, as its timers fire before it has read
// what arrived meanwhile.
#[tokio::test]
async fn what_is_read_right_after_a_pause_counts_as_in_time() {
    let until = Instant::now() + PAUSE / 4;
    let mut reading = pin!(sleep(PAUSE + Duration::from_millis(20)));
    let pausing = async {
        yield_now().await;
        thread::sleep(PAUSE);
    };
    let (read, ()) = join!(running_timeout_at(until, reading.as_mut()), pausing);
    assert!(read.is_ok());
}

// Guards against timeouts that never end.
#[tokio::test(start_paused = true)]
async fn timeout_ends_on_time_without_a_pause() {
    let started = Instant::now();
    let waiting = pin!(std::future::pending::<()>());
    let waited = running_timeout_at(started + PAUSE, waiting).await;
    assert!(waited.is_err());
    assert!(started.elapsed() < PAUSE + Duration::from_millis(5));
}
