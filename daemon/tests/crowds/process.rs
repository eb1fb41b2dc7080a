//! An instance that runs as a process, and what it holds.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
};

use celerypond_standins::{
    fixtures::{settings_file, SETTINGS_VARIABLE},
    loopback,
};

/// The ports for callers, for readiness checks, and the first one for other instances.
const PORTS: [u16; 3] = [8_740, 8_749, 7_410];
/// The port of the directory.
const DIRECTORY_PORT: u16 = 8_746;

/// The memory and the descriptors that an instance may use, as its settings state them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: usize,
}

/// An instance that runs as a process; it is killed when this is dropped.
pub(crate) struct Process {
    child: Child,
    ip: Ipv4Addr,
    _files: tempfile::TempDir,
}

impl Process {
    pub(crate) fn start(number: u8, store: SocketAddr, limits: Limits) -> Self {
        let ip = loopback::address(number);
        let Limits {
            memory_mb,
            descriptors,
        } = limits;
        let text = settings_file(&ip.to_string(), PORTS, "", store)
            + &format!(
                "listen.directory={ip}:{DIRECTORY_PORT}\nlimits.memoryMb={memory_mb}\nlimits.maxFds={descriptors}\n"
            );
        let files = tempfile::tempdir().unwrap();
        let path = files.path().join("settings.conf");
        fs::write(&path, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_celerypondd"))
            .arg("--relay")
            .env(SETTINGS_VARIABLE, &path)
            .stdout(Stdio::null())
            .spawn();
        Self {
            child: child.unwrap(),
            ip,
            _files: files,
        }
    }

    /// Returns its address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        (self.ip, PORTS[0]).into()
    }

    /// Returns its address for readiness checks.
    pub(crate) fn ready(&self) -> SocketAddr {
        (self.ip, PORTS[1]).into()
    }

    /// Returns the address of its directory.
    pub(crate) fn directory(&self) -> SocketAddr {
        (self.ip, DIRECTORY_PORT).into()
    }

    /// Returns its addresses for other instances.
    pub(crate) fn peer_ports(&self) -> [SocketAddr; 2] {
        [PORTS[2], PORTS[2] + 1].map(|port| (self.ip, port).into())
    }

    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the most memory that was resident so far, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
        kilobytes.map_or(0, |kilobytes: u64| kilobytes << 10)
    }

    /// Returns the number of open descriptors.
    pub(crate) fn descriptors(&self) -> usize {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        entries.map_or(0, Iterator::count)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
