//! Orders of good and bad versions.

use std::time::Duration;

use celerypond_relay::{
    Bounds, Evidence, EvidenceReport, Fleet, Order, Phase, Rollout, Stage, VersionChoice,
    VersionRouting,
};
use celerypond_types::{ServiceName, VersionName};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rstest::rstest;
use tokio::time::Instant;

/// The time between two decisions.
const TURN: Duration = Duration::from_millis(250);
const TIME: Duration = Duration::from_secs(12);
const ENOUGH: Fleet = Fleet { new: 6, old: 6 };

/// The fault of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A part of its responses are failures, from a part of the order's time on.
    Fails {
        rate: f64,
        from: f64,
    },
    /// It fails on the least used route only.
    OneRoute,
    /// Its responses take five times as long.
    Slow,
    /// It fails if it gets more than this share.
    UnderLoad(f64),
}

impl Fault {
    fn affects(self, route: u64, at: f64, share: f64, rng: &mut SmallRng) -> bool {
        match self {
            Self::None | Self::Slow => false,
            Self::Fails { rate, from } => at >= from && rng.random_bool(rate),
            Self::OneRoute => route == 2 && rng.random_bool(0.7),
            Self::UnderLoad(most) => share > most && rng.random_bool(0.4),
        }
    }
}

fn order() -> Order {
    Order {
        service: ServiceName::new("shop"),
        version: VersionName::new("v2"),
        time: TIME,
    }
}

fn report(evidence: &Evidence, origin: u64) -> EvidenceReport {
    evidence.report(origin, &VersionName::new("v2"))
}

/// The outcome of a replay.
struct Outcome {
    phase: Phase,
    /// Requests during the order's time, and those of them that the version got.
    all: u32,
    new: u32,
}

/// Replays an order at a rate of requests per second.
fn replay(rate: f64, fault: Fault, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut rollout = Rollout::new(order(), Duration::ZERO, start);
    let mut evidence = Evidence::default();
    let mut versions = VersionRouting::default();
    let (mut all, mut new, mut due) = (0, 0, 0.0);
    for turn in 0..TIME.as_millis() / TURN.as_millis() {
        let now = start + TURN * turn as u32;
        rollout.evidence.merge(report(&evidence, 1), now);
        rollout.phase = rollout.next_phase(&Bounds::default(), ENOUGH, now);
        let stage = Stage {
            order: order(),
            revision: 1,
            phase: rollout.phase,
            age_ms: rollout.age(now).as_millis() as u32,
        };
        versions.update(stage, now);
        let share = match rollout.phase {
            Phase::Running { share } => f64::from(share) / 1e6,
            Phase::Completed | Phase::Moving => 1.0,
            Phase::TakenBack => 0.0,
        };
        due += rate * TURN.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            all += 1;
            let route = [0, 0, 0, 1, 1, 2][rng.random_range(0..6)];
            let is_new = versions.choose(&order().service, now) == VersionChoice::Only("v2".into());
            let at = now.duration_since(start).as_secs_f64() / TIME.as_secs_f64();
            let is_bad = match is_new {
                true => fault.affects(route, at, share, &mut rng),
                false => rng.random_bool(0.004),
            };
            let usual = rng.random_range(0.03..0.1);
            let slower = if is_new && fault == Fault::Slow {
                5.0
            } else {
                1.0
            };
            evidence.record(
                route,
                is_new,
                is_bad,
                Duration::from_secs_f64(usual * slower),
            );
            new += u32::from(is_new);
        }
    }
    Outcome {
        phase: rollout.phase,
        all,
        new,
    }
}

/// Guards against a good version that does not get all requests within the order's time, at low and
/// high rates.
#[rstest]
fn a_good_version_is_completed_in_time(#[values(5.0, 14.0, 100.0, 300.0)] rate: f64) {
    for seed in 0..40 {
        let outcome = replay(rate, Fault::None, seed);
        assert_eq!(outcome.phase, Phase::Completed, "seed {seed}");
    }
}

/// A version fails at once, later, on one route, by slowness or under load. Guards against
/// completing it, and against giving it more than a tenth of the requests plus the slack before its
/// fault shows.
#[rstest]
#[case::at_once(Fault::Fails { rate: 0.3, from: 0.0 })]
#[case::seldom(Fault::Fails { rate: 0.15, from: 0.0 })]
#[case::later(Fault::Fails { rate: 0.4, from: 0.4 })]
#[case::one_route(Fault::OneRoute)]
#[case::slow(Fault::Slow)]
#[case::under_load(Fault::UnderLoad(0.09))]
fn a_bad_version_is_taken_back_and_gets_few_requests(
    #[case] fault: Fault,
    #[values(100.0, 300.0)] rate: f64,
) {
    for seed in 0..40 {
        let outcome = replay(rate, fault, seed);
        assert_eq!(outcome.phase, Phase::TakenBack, "seed {seed}");
        let allowed = f64::from(outcome.all) * 0.1 + 50.0;
        assert!(
            f64::from(outcome.new) <= allowed,
            "seed {seed}: {}",
            outcome.new
        );
    }
}

/// The version has no targets, or too few. Guards against completing it, upon which the old targets
/// would stop.
#[rstest]
#[case::none(Fleet { new: 0, old: 6 })]
#[case::few(Fleet { new: 2, old: 6 })]
fn a_version_without_targets_for_all_requests_is_not_completed(#[case] fleet: Fleet) {
    let start = Instant::now();
    let mut rollout = Rollout::new(order(), Duration::ZERO, start);
    let mut evidence = Evidence::default();
    for _ in 0..200 {
        evidence.record(0, true, false, Duration::from_millis(50));
        evidence.record(0, false, false, Duration::from_millis(50));
    }
    rollout.evidence.merge(report(&evidence, 1), start);
    let late = start + TIME.mul_f64(0.9);
    let phase = rollout.next_phase(&Bounds::default(), fleet, late);
    assert!(matches!(phase, Phase::Running { .. }), "{phase:?}");
    let over = rollout.next_phase(&Bounds::default(), fleet, start + TIME);
    assert_eq!(over, Phase::TakenBack);
}

/// The instance that drives an order dies while the version has a share. Guards against giving the
/// version requests without recent reports, and against forgetting a final phase.
#[test]
fn old_versions_serve_without_reports_of_the_driver() {
    let now = Instant::now();
    let service = ServiceName::new("shop");
    let mut versions = VersionRouting::default();
    let stage = |phase| Stage {
        order: order(),
        revision: 1,
        phase,
        age_ms: 100,
    };
    versions.update(stage(Phase::Running { share: 1_000_000 }), now);
    let soon = now + Duration::from_secs(1);
    let late = now + Duration::from_secs(2);
    assert_eq!(
        versions.choose(&service, soon),
        VersionChoice::Only("v2".into())
    );
    assert_eq!(
        versions.choose(&service, late),
        VersionChoice::Not("v2".into())
    );
    versions.update(stage(Phase::TakenBack), late);
    versions.update(stage(Phase::Running { share: 1_000_000 }), late);
    assert_eq!(
        versions.choose(&service, late),
        VersionChoice::Not("v2".into())
    );
}

/// A request fails at the version on trial. Guards against sending it there again, where a second
/// failure would be caused by the trial alone.
#[test]
fn request_that_failed_at_a_version_on_trial_is_retried_at_others() {
    let now = Instant::now();
    let service = ServiceName::new("shop");
    let mut versions = VersionRouting::default();
    let phase = Phase::Running { share: 1_000_000 };
    versions.update(
        Stage {
            order: order(),
            revision: 1,
            phase,
            age_ms: 0,
        },
        now,
    );
    assert_eq!(
        versions.choose_for_retry(&service),
        VersionChoice::Not("v2".into())
    );
}

/// Reports are totals of one instance each. Guards against adding up reports of the same instance,
/// or dropping those of others.
#[test]
fn reports_of_all_instances_add_up() {
    let now = Instant::now();
    let mut own = Evidence::default();
    let mut all = Evidence::default();
    for _ in 0..3 {
        own.record(0, true, true, Duration::ZERO);
        all.merge(report(&own, 1), now);
        all.merge(report(&own, 2), now);
    }
    assert_eq!((all.total().new.all, all.total().new.bad), (6, 6));
}

// Guards against a paused process that gives a version its share based on a report from before the
// pause.
#[test]
fn share_of_a_report_that_waited_unread_is_ignored() {
    let now = Instant::now();
    let resumed = now + Duration::from_secs(4);
    let mut versions = VersionRouting::default();
    let stage = |share| Stage {
        order: order(),
        revision: 1,
        phase: Phase::Running { share },
        age_ms: 0,
    };
    versions.update(stage(1_000_000), now);
    assert_eq!(
        versions.choose(&order().service, resumed),
        VersionChoice::Not(order().version)
    );
    versions.update(stage(1_000_000), resumed);
    assert_eq!(
        versions.choose(&order().service, resumed),
        VersionChoice::Only(order().version)
    );
    // A report that arrives late does not make the latest one older.
    versions.update(stage(1_000_000), now);
    assert_eq!(
        versions.choose(&order().service, resumed),
        VersionChoice::Only(order().version)
    );
}

/// An instance that drove an order is paused while another one ends it, and then reports what it
/// knew before. Guards against forgetting how the order ended, and against not notifying the sender.
#[rstest]
#[case::rolled_back(Phase::TakenBack, Phase::Running { share: 1_000_000 })]
#[case::rolled_back_while_moving(Phase::TakenBack, Phase::Moving)]
#[case::completed(Phase::Completed, Phase::TakenBack)]
fn stage_of_a_paused_driver_is_superseded(#[case] ended: Phase, #[case] late: Phase) {
    let now = Instant::now();
    let mut versions = VersionRouting::default();
    let stage = |phase| Stage {
        order: order(),
        revision: 1,
        phase,
        age_ms: 0,
    };
    assert_eq!(versions.update(stage(ended), now), None);
    assert_eq!(versions.update(stage(late), now), Some(stage(ended)));
    let progress = versions.progress(&order(), now).unwrap();
    assert_eq!(progress.phase, ended);
}

/// An instance was paused while an order ended and another one was given. Guards against replacing
/// the newer order, with the evidence about it, by the older one.
#[test]
fn stage_of_an_older_order_is_ignored() {
    let now = Instant::now();
    let mut versions = VersionRouting::default();
    let stage = |version: &str, revision| Stage {
        order: Order {
            version: VersionName::new(version),
            ..order()
        },
        revision,
        phase: Phase::TakenBack,
        age_ms: 0,
    };
    versions.update(stage("v3", 9), now);
    assert_eq!(versions.update(stage("v2", 5), now), Some(stage("v3", 9)));
    assert_eq!(
        versions.choose(&order().service, now),
        VersionChoice::Not("v3".into())
    );
    assert_eq!(versions.update(stage("v4", 12), now), None);
}

/// Another instance starts to drive an order a while after the last report of the previous driver.
/// Guards against counting the order's time from that report.
#[test]
fn age_of_an_order_advances_without_reports() {
    let now = Instant::now();
    let mut versions = VersionRouting::default();
    let stage = Stage {
        order: order(),
        revision: 1,
        phase: Phase::Running { share: 0 },
        age_ms: 4_000,
    };
    versions.update(stage, now);
    let later = now + Duration::from_secs(3);
    let progress = versions.progress(&order(), later).unwrap();
    assert_eq!(progress.age_ms, 7_000);
}
