//! How many sends beyond the first all instances add together.

use std::time::Duration;

use celerypond_relay::{Bounds, Retries};
use celerypond_types::ServiceName;
use rstest::rstest;
use tokio::time::Instant;

/// The time between two steps of the replay.
const STEP: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(10);

fn bounds() -> Bounds {
    Bounds {
        retry_ratio: 0.8,
        retry_slack: 150.0,
        retry_window: WINDOW,
        ..Bounds::default()
    }
}

/// Engines of a service that gets few requests refuse all that is sent again, while a plain service
/// gets five times as many. Operators bound what engines get again in any window of ten seconds.
/// Each instance counts alone, and their sum must stay below the bound, at 7 as at 900 instances.
#[rstest]
#[case::small(7, 14.0)]
#[case::grown(71, 47.0)]
#[case::large(900, 600.0)]
fn all_instances_together_stay_below_the_bound(#[case] instances: usize, #[case] rate: f64) {
    let (drafts, shop) = (ServiceName::new("writer"), ServiceName::new("shop"));
    let mut fleet = vec![Retries::new(&bounds()); instances];
    let start = Instant::now();
    let mut sent: Vec<(f64, f64)> = Vec::new();
    let mut due = 0.0;
    for step in 0..300 {
        let now = start + STEP * step;
        // Requests come in turns to the instances, and stop for a while in the middle.
        due += if (120..160).contains(&step) {
            0.0
        } else {
            rate / 10.0
        };
        let mut requests = 0.0;
        while due >= 1.0 {
            let at = (step as usize * 7 + requests as usize) % instances;
            fleet[at].requested(&drafts, now);
            (0..5).for_each(|_| fleet[at].requested(&shop, now));
            due -= 1.0;
            requests += 1.0;
        }
        let mut repeats = 0.0;
        for retries in &mut fleet {
            while retries.take(&drafts, instances, now) {
                repeats += 1.0;
            }
        }
        sent.push((requests, repeats));
    }
    for window in sent.windows(100) {
        let requests: f64 = window.iter().map(|sent| sent.0).sum();
        let repeats: f64 = window.iter().map(|sent| sent.1).sum();
        assert!(
            repeats <= 0.8 * requests + 150.0,
            "{repeats} for {requests}"
        );
    }
}

/// A third of the engines dies, and each instance has two streams to send again. All get their send.
#[test]
fn the_streams_of_dead_engines_are_sent_again() {
    let service = ServiceName::new("writer");
    let mut retries = Retries::new(&bounds());
    let now = Instant::now();
    (0..7).for_each(|_| retries.requested(&service, now));
    let later = now + Duration::from_secs(5);
    assert!(retries.take(&service, 71, later) && retries.take(&service, 71, later));
    let past = now + WINDOW * 2;
    assert!(retries.take(&service, 71, past));
    assert!(!retries.take(&service, 900, past + WINDOW * 2));
}
