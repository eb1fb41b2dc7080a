//! Tests for the log lines of panics.

use std::{fs, thread, time::Duration};

use celerypond_telemetry::{
    install_panic_hook, take_panics, LogFormat, LogRateLimiter, LogSettings, Output,
};
use log::LevelFilter;

static LIMITER: LogRateLimiter = LogRateLimiter::new(100, 100);

// Guards against a process that ends by a panic without a line in its log.
#[test]
fn line_of_a_panic_is_written_before_the_thread_ends() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let settings = LogSettings {
        level: LevelFilter::Info,
        format: LogFormat::Json,
        output: Output::File(path.clone()),
    };
    let guard = settings.install_rate_limited(&LIMITER).unwrap();
    install_panic_hook(&guard, Duration::from_secs(30));
    take_panics();
    let thread = thread::Builder::new().name("worker".to_owned());
    let worker = thread.spawn(|| panic!("no route to {}", "t1")).unwrap();
    assert!(worker.join().is_err());
    let lines = fs::read_to_string(path).unwrap();
    for part in [
        r#""level":"ERROR""#,
        r#""message":"panicked""#,
        r#""panic":"no route to t1""#,
        r#""thread":"worker""#,
        "test_panics.rs:",
    ] {
        assert!(lines.contains(part), "{part} in {lines}");
    }
    assert_eq!(take_panics(), 1);
    drop(guard);
}
