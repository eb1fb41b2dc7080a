//! Checks of random histories of concurrent calls with injected faults.

use std::time::Duration;

use rstest::rstest;

use crate::simulation::{Faults, Simulation};

const INSTANCES: usize = 3;
const FAULTS_DURATION: Duration = Duration::from_secs(90);
/// Longer than any fault lasts and callers retry, but shorter than keys are remembered.
const RECOVERY: Duration = Duration::from_secs(20);
const SEEDS: u64 = 40;

const NO_FAULTS: Faults = Faults {
    lost_reply: 0.0,
    late_request: 0.0,
    false_not_applied: 0.0,
    service_failure: 0.0,
    outages: false,
    pauses: false,
    crashes: false,
    retention: Duration::from_secs(50),
    max_pause_ms: 15_000,
};
const STORE_FAULTS: Faults = Faults {
    lost_reply: 0.05,
    late_request: 0.05,
    false_not_applied: 0.02,
    outages: true,
    ..NO_FAULTS
};
const ALL_FAULTS: Faults = Faults {
    service_failure: 0.1,
    pauses: true,
    crashes: true,
    ..STORE_FAULTS
};

// Guards against a key that runs twice, or runs although its callers were told that it did not.
//
// Callers send the same key to several instances at the same time, and retry up to three times at
// other instances if they get no answer, "not run" or "unknown". The store becomes unavailable, loses
// replies, applies writes late and reports applied writes as not applied; instances pause for
// seconds or crash at any step; the service refuses calls, fails after it ran them, or does not
// respond.
#[rstest]
#[case::no_faults(NO_FAULTS)]
#[case::store_faults(STORE_FAULTS)]
#[case::pauses(Faults { pauses: true, ..STORE_FAULTS })]
#[case::service_failures(Faults { service_failure: 0.2, ..STORE_FAULTS })]
#[case::crashes(Faults { crashes: true, lost_reply: 0.02, ..NO_FAULTS })]
#[case::all_faults(ALL_FAULTS)]
#[case::slot_reuse(Faults { retention: Duration::from_secs(28), max_pause_ms: 4000, ..ALL_FAULTS })]
fn call_runs_at_most_once_and_not_run_is_never_false(#[case] faults: Faults) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, INSTANCES, FAULTS_DURATION, faults);
        for second in 0..FAULTS_DURATION.as_secs() {
            let at = Duration::from_millis(second * 1000 + seed * 13);
            let instance = (second + seed) as usize;
            for copy in 0..1 + second as usize % 3 {
                let delay = at + Duration::from_millis(copy as u64 * 3);
                simulation.schedule_call(
                    delay,
                    (instance + copy) % INSTANCES,
                    &format!("key-{second}"),
                    3,
                );
            }
        }
        for second in FAULTS_DURATION.as_secs() - 20..FAULTS_DURATION.as_secs() {
            let instance = second as usize % INSTANCES;
            simulation.schedule_call(
                FAULTS_DURATION + RECOVERY,
                instance,
                &format!("key-{second}"),
                0,
            );
        }
        let faults_end = simulation.now + FAULTS_DURATION + RECOVERY;
        simulation.run();
        let violations = simulation.history.check();
        assert_eq!(
            violations,
            Vec::<String>::new(),
            "seed {seed}: {}",
            simulation.summary()
        );
        let outcomes_may_be_lost = faults.service_failure > 0.0 || faults.crashes;
        let violations = simulation
            .history
            .check_calls_after_faults(faults_end, outcomes_may_be_lost);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            simulation.history.executions.len() > 20,
            "seed {seed}: too few calls ran"
        );
    }
}
