//! The order and number of resumes after the loss of many engines.

use std::time::Duration;

use celerypond_answer::{ResumeLimits, ResumeScheduler};
use celerypond_types::{TargetKey, VersionKey};
use rand::{rngs::StdRng, Rng, SeedableRng};
use slotmap::SlotMap;
use tokio::time::Instant;

// A third of the engines is lost, and hundreds of answers resume at the same time. No target may
// get more resumes than its limit, the answer that has waited longest is resumed first, and new
// answers wait until no resume is left.
#[test]
fn resumes_precede_new_answers_and_respect_the_limit() {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let targets: Vec<TargetKey> = keys(3);
        let version = keys::<VersionKey>(1)[0];
        let base = Instant::now();
        let mut scheduler = ResumeScheduler::new(ResumeLimits { per_target: 2 });
        for _ in 0..50 {
            scheduler.enqueue(
                version,
                base + Duration::from_millis(rng.random_range(0..100)),
            );
        }
        let mut running = Vec::new();
        let mut granted = 0;
        while scheduler.waiting() > 0 {
            assert!(!scheduler.admits_new(version), "seed {seed}");
            let choose = |free: &dyn Fn(TargetKey) -> bool| {
                targets.iter().copied().find(|target| free(*target))
            };
            match scheduler.grant(|_, free| choose(free)) {
                Some(grant) => {
                    running.push(grant.target);
                    granted += 1;
                }
                None => {
                    assert_eq!(running.len(), 6, "seed {seed}");
                    scheduler.release(running.swap_remove(rng.random_range(0..running.len())));
                }
            }
            for target in &targets {
                let count = running.iter().filter(|used| *used == target).count();
                assert!(count <= 2, "seed {seed}");
            }
        }
        assert_eq!(granted, 50);
        assert!(scheduler.admits_new(version));
    }
}

#[test]
fn longest_waiting_resume_goes_first_and_versions_are_independent() {
    let target = keys::<TargetKey>(1)[0];
    let versions: Vec<VersionKey> = keys(2);
    let base = Instant::now();
    let mut scheduler = ResumeScheduler::new(ResumeLimits::default());
    let late = scheduler.enqueue(versions[1], base + Duration::from_millis(2));
    let without_target = scheduler.enqueue(versions[0], base);
    let early = scheduler.enqueue(versions[1], base + Duration::from_millis(1));
    let mut grant = || scheduler.grant(|version, _| (version == versions[1]).then_some(target));
    let order: Vec<_> = (0..3).map(|_| grant().map(|grant| grant.waiter)).collect();
    assert_eq!(order, [Some(early), Some(late), None]);
    assert!(!scheduler.admits_new(versions[0]) && scheduler.admits_new(versions[1]));
    scheduler.cancel(without_target);
    assert_eq!(scheduler.waiting(), 0);
}

fn keys<K: slotmap::Key>(count: usize) -> Vec<K> {
    let mut map = SlotMap::<K, ()>::with_key();
    (0..count).map(|_| map.insert(())).collect()
}
