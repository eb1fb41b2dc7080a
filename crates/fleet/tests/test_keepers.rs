//! Records held for peers.

use std::time::Duration;

use celerypond_fleet::{Keepers, KeepersError, Progress, Record};
use celerypond_types::{Attempt, Position};
use tokio::time::Instant;

fn record(request: &str, attempt: u32, position: u32) -> Record {
    Record {
        request: request.into(),
        progress: Progress {
            attempt: Attempt(attempt),
            position: Position(position),
        },
        keep_ms: 1_000,
        bytes: vec![0; 100].into(),
    }
}

// A paused instance comes back and writes the record of its old attempt after a newer instance
// wrote one. If it stood, a take-over would resume from behind what the caller has.
#[test]
fn a_record_of_an_older_attempt_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let mut keepers = Keepers::new(10_000);
    keepers.keep(record("r", 2, 10), now).unwrap();
    let late = keepers.keep(record("r", 1, 500), now);
    assert_eq!(late, Err(KeepersError::Late));
    let kept = keepers.kept(&"r".into(), now).unwrap();
    assert_eq!(kept.progress.attempt, Attempt(2));
}

#[test]
fn the_store_is_bounded_and_frees_what_expired() {
    let now = Instant::now();
    let mut keepers = Keepers::new(10_000);
    let kept = (0..1_000)
        .filter(|at| keepers.keep(record(&format!("r{at}"), 0, 0), now).is_ok())
        .count();
    assert!((20..40).contains(&kept), "{kept}");
    let full = keepers.keep(record("more", 0, 0), now);
    assert_eq!(full, Err(KeepersError::Full));
    let later = now + Duration::from_secs(1);
    keepers.keep(record("more", 0, 0), later).unwrap();
    assert_eq!(keepers.len(), 1);
    keepers.remove(&"more".into());
    assert!(keepers.is_empty());
}
