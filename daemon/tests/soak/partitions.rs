//! Partitions of instances from all targets, overlapping with other faults.

use std::time::Duration;

use celerypond_standins::{
    caller::{send, ReceivedResponse},
    partition::Partition,
    proxy::Link,
};
use rand::{rngs::SmallRng, seq::SliceRandom as _, Rng as _};
use rustix::process::Signal;
use tokio::time::{sleep, timeout, Instant};

use crate::fleet::{plain_request, Fleet};

/// The bound on contact: rules with a bound hold from this time after a fault began.
const CONTACT: Duration = Duration::from_secs(3);
/// The number of requests to each instance by which it is checked that partitioned ones serve.
const PROBES: u32 = 20;
/// The maximum time for which a healthy target is silent.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);

/// Partitions instances again and again for a time, and injects other faults meanwhile. Returns a line
/// for each partition in which callers of partitioned instances were served much worse than others.
pub(crate) async fn inject_partitions(
    fleet: &mut Fleet,
    rng: &mut SmallRng,
    total: Duration,
) -> Vec<String> {
    let end = Instant::now() + total;
    let mut violations = Vec::new();
    while Instant::now() < end {
        let instances = choose_instances(fleet, rng);
        let partition = match rng.random_range(0..3) {
            0 => Partition::Hang,
            1 => Partition::Reset,
            _ => Partition::NewConnections,
        };
        fleet.set_partition(&instances, Some(partition));
        if rng.random_bool(0.5) {
            violations.extend(check_recovery(fleet, &instances, partition).await);
        } else {
            inject_other_faults(fleet, rng).await;
        }
        fleet.set_partition(&instances, None);
        sleep(Duration::from_millis(rng.random_range(50..1_500))).await;
    }
    violations
}

/// Chooses one or more instances; sometimes all.
fn choose_instances(fleet: &Fleet, rng: &mut SmallRng) -> Vec<usize> {
    let mut instances: Vec<usize> = (0..fleet.processes.len()).collect();
    instances.shuffle(rng);
    instances.truncate(rng.random_range(1..=instances.len()));
    instances
}

/// Injects faults of processes, of targets and of the configuration during a partition.
async fn inject_other_faults(fleet: &mut Fleet, rng: &mut SmallRng) {
    for _ in 0..rng.random_range(1..5) {
        let instance = rng.random_range(0..fleet.processes.len());
        let target = rng.random_range(0..fleet.target_links.len());
        match rng.random_range(0..5) {
            0 => {
                fleet.processes[instance].signal(Signal::KILL);
                sleep(Duration::from_millis(200)).await;
                fleet.processes[instance].restart();
            }
            1 => {
                fleet.target_links[target].set_link(Link::Silent);
                sleep(MAX_SILENCE.mul_f64(rng.random())).await;
                fleet.target_links[target].set_link(Link::Healthy);
            }
            2 => fleet.target_links[target].reset(),
            3 => fleet.change_config(),
            _ => {
                let processes = fleet.processes.iter_mut();
                processes.for_each(|process| process.signal(Signal::KILL));
                sleep(Duration::from_millis(300)).await;
                fleet
                    .processes
                    .iter_mut()
                    .for_each(|process| process.restart());
            }
        }
        sleep(Duration::from_millis(rng.random_range(50..800))).await;
    }
}

/// Checks that partitioned instances serve nearly as often as the others, once the partition has
/// lasted for the bound.
async fn check_recovery(
    fleet: &Fleet,
    partitioned: &[usize],
    partition: Partition,
) -> Option<String> {
    if partitioned.len() == fleet.processes.len() {
        sleep(CONTACT).await;
        return None;
    }
    sleep(CONTACT).await;
    let (mut there, mut elsewhere) = ((0, 0), (0, 0));
    for n in 0..PROBES {
        for (instance, address) in fleet.addresses().into_iter().enumerate() {
            let counts = match partitioned.contains(&instance) {
                true => &mut there,
                false => &mut elsewhere,
            };
            let probe = plain_request("GET /safe/probe", &format!("probe{n}"));
            let response = timeout(Duration::from_secs(1), send(address, &probe)).await;
            let is_served = response.is_ok_and(|response: ReceivedResponse| response.status == 200);
            counts.0 += u32::from(is_served);
            counts.1 += 1;
        }
    }
    let failed = there.1 - there.0;
    let is_worse = there.0 * elsewhere.1 * 3 < elsewhere.0 * there.1 * 2;
    (is_worse && failed > 10 + (there.1 + elsewhere.1) / 50).then(|| {
        format!("partition {partition:?} of {partitioned:?}: served {there:?} there, {elsewhere:?} elsewhere")
    })
}
