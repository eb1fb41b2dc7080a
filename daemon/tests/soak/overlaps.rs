//! Starts of processes that lack an address or their settings at first.

use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    time::Duration,
};

use rand::{rngs::SmallRng, Rng as _};
use rustix::process::Signal;
use tokio::time::{sleep, Instant};

use crate::fleet::{bound_address, Fleet, BOUND_ADDRESSES};

/// How long a process runs at least before it gets a signal that it handles from its start on. Before its handlers are
/// installed, the signal ends it.
const MIN_UPTIME: Duration = Duration::from_secs(1);
/// How long a killed process takes to give up its addresses.
const EXIT_TIME: Duration = Duration::from_millis(100);

/// What a process lacks until it is undone.
enum Lack {
    /// An address, which is held by these sockets.
    Address {
        _tcp: Option<TcpListener>,
        _udp: Option<UdpSocket>,
    },
    /// The settings of an instance, with their text.
    Settings(usize, String),
}

/// Lets processes start while they lack something, for a time, and undoes all of it. Returns what is wrong in the end.
pub(crate) async fn inject_overlaps(
    fleet: &mut Fleet,
    rng: &mut SmallRng,
    total: Duration,
) -> Vec<String> {
    let end = Instant::now() + total;
    let mut lacking: Vec<(Instant, usize, Lack)> = Vec::new();
    while Instant::now() < end {
        let instance = rng.random_range(0..fleet.processes.len());
        let until = Instant::now() + Duration::from_millis(rng.random_range(100..2_500));
        let is_lacking = lacking.iter().any(|(_, n, _)| *n == instance);
        let lack = match rng.random_range(0..5) {
            0 => {
                fleet.processes[instance].replace();
                None
            }
            1 if !is_lacking => start_without_address(fleet, rng, instance).await,
            2 if !is_lacking => Some(start_without_settings(fleet, rng, instance).await),
            3 => {
                signal_without_meaning(fleet, rng, instance);
                None
            }
            _ => {
                fleet.change_config();
                None
            }
        };
        lacking.extend(lack.map(|lack| (until, instance, lack)));
        sleep(Duration::from_millis(rng.random_range(50..700))).await;
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = lacking.into_iter().partition(|(at, ..)| *at <= now);
        lacking = later;
        due.into_iter().for_each(|(_, _, lack)| undo(fleet, lack));
    }
    lacking
        .into_iter()
        .for_each(|(_, _, lack)| undo(fleet, lack));
    let mut violations = Vec::new();
    for (n, process) in fleet.processes.iter_mut().enumerate() {
        let left = process.wait_for_draining().await;
        if left > 0 {
            violations.push(format!(
                "{left} replaced processes of instance {n} still run"
            ));
        }
        if let Some(status) = process.exit_status() {
            violations.push(format!("the process of instance {n} has ended: {status}"));
        }
    }
    violations
}

/// Kills a process, and starts it again while one of its addresses is held.
async fn start_without_address(
    fleet: &mut Fleet,
    rng: &mut SmallRng,
    instance: usize,
) -> Option<Lack> {
    let (address, is_datagram) = bound_address(instance, rng.random_range(0..BOUND_ADDRESSES));
    kill(fleet, instance).await;
    let lack = hold(address, is_datagram);
    fleet.processes[instance].restart();
    lack
}

/// Holds an address, unless a replaced process still has it.
fn hold(address: SocketAddr, is_datagram: bool) -> Option<Lack> {
    let (tcp, udp) = match is_datagram {
        true => (None, Some(UdpSocket::bind(address).ok()?)),
        false => (Some(TcpListener::bind(address).ok()?), None),
    };
    Some(Lack::Address {
        _tcp: tcp,
        _udp: udp,
    })
}

/// Kills a process, and starts it again with settings that are cut off somewhere.
async fn start_without_settings(fleet: &mut Fleet, rng: &mut SmallRng, instance: usize) -> Lack {
    kill(fleet, instance).await;
    let process = &mut fleet.processes[instance];
    let text = fs::read_to_string(process.settings_path()).unwrap();
    // The first line alone names the instance only.
    let first_line = text.find('\n').unwrap_or(0);
    let end = rng.random_range(0..=first_line);
    fs::write(process.settings_path(), &text[..end]).unwrap();
    process.restart();
    Lack::Settings(instance, text)
}

async fn kill(fleet: &mut Fleet, instance: usize) {
    fleet.processes[instance].signal(Signal::KILL);
    sleep(EXIT_TIME).await;
}

fn signal_without_meaning(fleet: &mut Fleet, rng: &mut SmallRng, instance: usize) {
    let signals = [Signal::USR1, Signal::USR2, Signal::ALARM, Signal::HUP];
    let process = &mut fleet.processes[instance];
    if process.uptime() > MIN_UPTIME {
        process.signal(signals[rng.random_range(0..signals.len())]);
    }
}

fn undo(fleet: &Fleet, lack: Lack) {
    if let Lack::Settings(instance, text) = lack {
        fs::write(fleet.processes[instance].settings_path(), text).unwrap();
    }
}
