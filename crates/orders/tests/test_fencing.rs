//! Orders of old holders.

use std::time::Duration;

use celerypond_orders::{
    DesiredState, Lease, LeaseClient, OrderSettings, StaleOrderGuard, StoreCall, StoreReply,
};
use celerypond_types::FencingNumber;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rstest::rstest;
use tokio::time::Instant;

use crate::simulation::{PausePoint, Simulation, ALWAYS};

const SECOND: Duration = Duration::from_secs(1);

fn desired_state(revision: u32) -> DesiredState {
    DesiredState {
        versions: [(format!("v{revision}").as_str().into(), "w".into())].into(),
        role: Some(format!("role-{revision}").as_str().into()),
    }
}

/// Runs three drivers that all want the lease while bundles follow each other and holders are
/// paused, and the store loses replies and goes down now and then.
fn run_with_pauses(
    guard: StaleOrderGuard,
    pause_point: PausePoint,
    seed: u64,
    set_up: impl Fn(&mut Simulation),
) -> Simulation {
    let settings = OrderSettings {
        repeat_interval: Duration::from_millis(1500),
        // The clocks run alike here, so what is safe must be so without a margin.
        clock_margin: Duration::ZERO,
        ..OrderSettings::default()
    };
    let mut sim = Simulation::new(3, settings, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    sim.add_engine("a", guard);
    sim.add_engine("b", guard);
    sim.pause_rule = Some((pause_point, 15 * SECOND, 60));
    sim.lost_replies_per_mille = 50;
    sim.slow_call_delay = 6 * SECOND;
    set_up(&mut sim);
    for step in 0..120 {
        for instance in 0..3 {
            sim.set_wanted(instance, rng.random_bool(0.8));
            sim.set_desired(instance, &desired_state(step / 4));
        }
        sim.store_down = rng.random_bool(0.05);
        if rng.random_bool(0.2) {
            sim.cut_off = Some(rng.random_range(0..6)).filter(|instance| *instance < 3);
        }
        sim.run(3 * SECOND);
    }
    sim
}

fn holder_count(sim: &Simulation) -> usize {
    let accepted = &sim.engines[&"a".into()].accepted;
    let mut numbers: Vec<u64> = accepted.iter().map(|entry| entry.1 .0).collect();
    numbers.sort_unstable();
    numbers.dedup();
    numbers.len()
}

// A holder is paused past its lease, another takes over and gives orders, and the first goes on
// where it stopped. An order of the first that took effect now would load a version that the fleet
// has left behind. At targets that check numbers and at those that close idle connections that may
// not happen, wherever the pause falls.
#[rstest]
fn no_stale_order_takes_effect_after_a_newer_one(
    #[values(StaleOrderGuard::Fencing, StaleOrderGuard::IdleClose)] guard: StaleOrderGuard,
    #[values(
        PausePoint::BeforeLeaseCheck,
        PausePoint::BeforeWrite,
        PausePoint::AfterWrite
    )]
    pause_point: PausePoint,
) {
    for seed in 0..40 {
        let sim = run_with_pauses(guard, pause_point, seed, |_| {});
        assert!(holder_count(&sim) > 3, "seed {seed}: too few takeovers");
        assert_eq!(sim.first_stale_order(), None, "seed {seed}");
    }
}

// A holder is cut off from the store but not from the engines, so it gives orders up to the end of
// its lease. The last one is still on the wire when the next holder takes over.
#[rstest]
fn orders_sent_at_the_end_of_a_lease_come_before_those_of_the_next_holder() {
    for seed in 0..60 {
        let settings = OrderSettings {
            repeat_interval: Duration::from_millis(100),
            clock_margin: Duration::ZERO,
            ..OrderSettings::default()
        };
        let mut sim = Simulation::new(2, settings, seed);
        sim.add_engine("a", StaleOrderGuard::Repair);
        for instance in 0..2 {
            sim.set_wanted(instance, true);
            sim.set_desired(instance, &desired_state(1));
        }
        sim.run(SECOND * (10 + seed as u32 % 10));
        for cut in [0, 1, 0, 1, 0, 1] {
            sim.cut_off = Some(cut);
            sim.run(35 * SECOND);
        }
        assert!(holder_count(&sim) > 3);
        assert_eq!(sim.first_stale_order(), None, "seed {seed}");
    }
}

// Targets that do neither are safe from pauses before the look at the lease and after the write.
#[rstest]
fn unguarded_targets_are_safe_from_pauses_before_the_check_and_after_the_write(
    #[values(PausePoint::BeforeLeaseCheck, PausePoint::AfterWrite)] pause_point: PausePoint,
) {
    for seed in 0..40 {
        let sim = run_with_pauses(StaleOrderGuard::Repair, pause_point, seed, |_| {});
        assert!(holder_count(&sim) > 3, "seed {seed}: too few takeovers");
        assert_eq!(sim.first_stale_order(), None, "seed {seed}");
    }
}
// Where nothing is checked, a pause between the look and the write lets an old order through: no
// look can be so late that no pause fits behind it. The engine then has the old role, until the new
// holder, which repeats what it cannot read back, orders again.
#[test]
fn a_stale_order_is_undone_by_the_next_repeat() {
    let mut stale_runs = 0;
    for seed in 0..40 {
        let mut sim = Simulation::new(2, OrderSettings::default(), seed);
        sim.add_engine("a", StaleOrderGuard::Repair);
        for instance in 0..2 {
            sim.set_wanted(instance, true);
            sim.set_desired(instance, &desired_state(1));
        }
        sim.run(15 * SECOND);
        sim.pause_rule = Some((PausePoint::BeforeWrite, 60 * SECOND, ALWAYS));
        sim.run(10 * SECOND);
        for instance in 0..2 {
            sim.set_desired(instance, &desired_state(2));
        }
        let is_stale = sim.run_until(100 * SECOND, |sim| sim.first_stale_order().is_some());
        stale_runs += u32::from(is_stale && sim.engines[&"a".into()].role == "role-1");
        let settings = OrderSettings::default();
        let limit = settings.repeat_interval + 2 * settings.send_timeout + SECOND;
        let is_undone = |sim: &Simulation| sim.engines[&"a".into()].role == "role-2";
        if is_stale {
            println!(
                "{seed} {} {:?}",
                sim.engines[&"a".into()].role,
                &sim.trace[sim.trace.len() - 4..]
            );
        }
        assert!(sim.run_until(limit, is_undone), "seed {seed}");
    }
    assert!(stale_runs > 20, "{stale_runs} of 40 seeds");
}

// A holder whose bundle is behind hands its lease on as soon as it is not wanted, while the order
// of a holder before it may still be on its way. The next one takes a released lease and needs not
// wait, so a release must wait in its place.
#[test]
fn a_lease_is_released_only_after_the_longest_takeover_delay() {
    let mut sim = Simulation::new(3, OrderSettings::default(), 1);
    sim.add_engine("a", StaleOrderGuard::IdleClose);
    sim.set_wanted(0, true);
    sim.set_desired(0, &desired_state(1));
    sim.run(5 * SECOND);
    sim.pause(0, 1000 * SECOND);
    sim.set_wanted(1, true);
    sim.run_until(60 * SECOND, |sim| {
        sim.trace.iter().any(|l| l.contains("taken by i1"))
    });
    sim.set_wanted(1, false);
    sim.run(12 * SECOND);
    assert!(!sim.trace.iter().any(|l| l.contains("released by i1")));
    sim.run(10 * SECOND);
    assert!(sim.trace.iter().any(|l| l.contains("released by i1")));
}

// A holder takes over and must wait for orders of the one before. Its own renewal then takes so long
// that its lease runs out and is taken again by the very same write. The wait must not end with the
// first tenure.
#[test]
fn a_takeover_delay_outlives_the_lease_that_started_it() {
    let now = Instant::now();
    let rng = SmallRng::seed_from_u64(1);
    let mut lease_client = LeaseClient::new("i1".into(), OrderSettings::default(), rng);
    lease_client.set_wanted(true);
    let lease = Lease {
        holder: "i0".into(),
        nonce: 1,
        released: false,
    };
    assert_eq!(lease_client.tick(true, now), Some(StoreCall::Read));
    lease_client.on_reply(StoreReply::Found(5, lease.to_bytes()), now);
    let takeover = now + 10 * SECOND;
    assert!(lease_client.tick(true, takeover).is_some());
    lease_client.on_reply(StoreReply::Written(6), takeover);
    assert_eq!(
        lease_client.send_permit(StaleOrderGuard::IdleClose, takeover),
        None
    );
    let renewal = takeover + 8 * SECOND;
    assert!(lease_client.tick(true, renewal).is_some());
    assert_eq!(lease_client.tick(true, takeover + 10 * SECOND), None);
    let retaken = takeover + 11 * SECOND;
    lease_client.on_reply(StoreReply::Written(7), retaken);
    assert!(lease_client
        .send_permit(StaleOrderGuard::Fencing, retaken)
        .is_some());
    assert_eq!(
        lease_client.send_permit(StaleOrderGuard::IdleClose, retaken),
        None
    );
}

// The reply to a write of the lease is lost. The holder must not give orders by a lease that it may
// not have, and must find out that it has it.
#[rstest]
#[case::took_effect(true)]
#[case::had_no_effect(false)]
fn a_write_without_a_reply_is_read_back(#[case] took_effect: bool) {
    let now = Instant::now();
    let rng = SmallRng::seed_from_u64(1);
    let mut lease_client = LeaseClient::new("i1".into(), OrderSettings::default(), rng);
    lease_client.set_wanted(true);
    lease_client.tick(true, now);
    let Some(StoreCall::Create(value)) = lease_client.on_reply(StoreReply::Missing, now) else {
        panic!("the client did not create the lease");
    };
    assert_eq!(
        lease_client.on_reply(StoreReply::Unknown, now),
        Some(StoreCall::Read)
    );
    assert_eq!(
        lease_client.send_permit(StaleOrderGuard::Fencing, now),
        None
    );
    let found = if took_effect {
        StoreReply::Found(3, value)
    } else {
        StoreReply::Missing
    };
    let next = lease_client.on_reply(found, now + SECOND);
    let permit = lease_client.send_permit(StaleOrderGuard::Fencing, now + SECOND);
    let write_deadline = now + Duration::from_secs(9);
    assert_eq!(
        permit,
        took_effect.then_some((FencingNumber(3), write_deadline))
    );
    assert_eq!(next.is_some(), !took_effect);
}
