//! Calls to the C library that `std` does not offer: signals and connection resets.

use std::{
    net::TcpStream,
    os::{fd::AsRawFd, unix::process::CommandExt},
    process::Command,
};

const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const PR_SET_PDEATHSIG: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

#[repr(C)]
struct Linger {
    onoff: i32,
    linger: i32,
}

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
}

/// Sends a signal to a process that the harness started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: `kill` has no preconditions on memory.
    unsafe { kill(pid as i32, signal) };
}

/// Makes the socket send a reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = Linger {
        onoff: 1,
        linger: 0,
    };
    // SAFETY: the pointer and the length describe `linger`, which outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// Makes the process of a command end with the thread that starts it, so that none is left behind
/// if the harness itself is killed.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    let set = || {
        // SAFETY: `prctl` with this option has no preconditions on memory.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
        Ok(())
    };
    // SAFETY: the function only makes a system call, which is allowed between fork and exec.
    unsafe { command.pre_exec(set) }
}
