//! A relaying instance that runs as a process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, Stdio},
    time::Duration,
};

use celerypond_standins::fixtures::{settings_file, SETTINGS_VARIABLE};
use rustix::process::{kill_process, Pid, Signal};
use tokio::time::{sleep, Instant};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_celerypondd");
/// The ports for callers, for readiness checks, and the first one for other instances.
pub(crate) const PORTS: [u16; 3] = [8_740, 8_749, 7_410];
/// How long a condition is waited for.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A process that is killed when this is dropped.
pub(crate) struct Process(pub(crate) Child);

impl Process {
    /// Starts an instance with the settings in a file; its log goes nowhere.
    pub(crate) fn start(settings: &Path) -> Self {
        let child = Command::new(PROGRAM)
            .arg("--relay")
            .env(SETTINGS_VARIABLE, settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        Self(child.unwrap())
    }

    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    pub(crate) fn signal(&mut self, signal: Signal) {
        assert!(self.is_running(), "the process has ended");
        let pid = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.unwrap(), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub(crate) fn settings(ip: Ipv4Addr, store: SocketAddr) -> String {
    settings_file(&ip.to_string(), PORTS, "", store)
}

/// Waits until a condition holds; returns whether it did in time.
pub(crate) async fn wait_until<F: Future<Output = bool>>(mut check: impl FnMut() -> F) -> bool {
    let end = Instant::now() + TIMEOUT;
    while !check().await {
        if Instant::now() > end {
            return false;
        }
        sleep(Duration::from_millis(10)).await;
    }
    true
}
