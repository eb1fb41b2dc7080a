//! Tests of leases, and of the protection of targets against stale orders.

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

/// Simulates three instances that compete for the lease while the desired state changes, holders
/// are paused, and the store loses replies and is unavailable at times.
fn run_with_pauses(
    guard: StaleOrderGuard,
    pause_point: PausePoint,
    seed: u64,
    set_up: impl Fn(&mut Simulation),
) -> Simulation {
    let settings = OrderSettings {
        repeat_interval: Duration::from_millis(1500),
        // The simulated clocks run at the same rate, so no margin is needed.
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

/// Returns how many tenures of the lease the orders accepted by engine `a` come from.
fn holder_count(sim: &Simulation) -> usize {
    let accepted = &sim.engines[&"a".into()].accepted;
    let mut numbers: Vec<u64> = accepted.iter().map(|entry| entry.1 .0).collect();
    numbers.sort_unstable();
    numbers.dedup();
    numbers.len()
}

// A holder is paused until after its lease expired, another instance takes over and sends orders,
// and the first one resumes. If its order took effect, it would load a version that has been
// replaced. Targets that check fencing numbers or close idle connections must prevent this,
// wherever the pause falls.
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

// A holder that cannot reach the store, but can reach the engines, sends orders until its lease
// ends. The last one is still on the network when the next holder takes over, and must not arrive
// after orders of that one.
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

// Targets that neither check fencing numbers nor close idle connections can accept a stale order
// only if the sender is paused between the lease check and the write.
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

// At targets that neither check fencing numbers nor close idle connections, a pause between the lease
// check and the write lets a stale order take effect, since a pause can follow any check. The engine
// then has the old role until the new holder repeats its order, as it does because roles are not
// reported.
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
                "seed {seed}: stale order, role {}, trace {:?}",
                sim.engines[&"a".into()].role,
                &sim.trace[sim.trace.len() - 4..]
            );
        }
        assert!(sim.run_until(limit, is_undone), "seed {seed}");
    }
    assert!(stale_runs > 20, "{stale_runs} of 40 seeds");
}

// An instance takes over and is told to give up the lease again, as its bundle is outdated, while an
// order of its predecessor may still be in flight. The next holder of a released lease does not
// wait, so the release itself must wait for the takeover delay.
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

// An instance takes over and has to wait for orders of its predecessor. The reply to its renewal
// then takes so long that its own lease expires, and the renewal takes the lease again. This must
// not end the takeover delay.
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

// A write of the lease gets no reply. The client must send no orders while it does not know whether
// it has the lease, and must read the lease to find out.
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
