//! The memory of this process, as the kernel counts it.

use std::fs;

/// The file in which the kernel states it.
const STATUS_PATH: &str = "/proc/self/status";

/// Returns the resident memory of this process in bytes; `None` if the kernel does not state it.
///
/// # Examples
///
/// ```
/// use celerypond_daemon::resident_memory;
///
/// assert!(resident_memory::read().is_none_or(|bytes| bytes > 0));
/// ```
pub fn read() -> Option<u64> {
    parse(&fs::read_to_string(STATUS_PATH).ok()?)
}

/// Returns the resident memory in bytes from the text of the kernel's status file.
///
/// # Examples
///
/// ```
/// use celerypond_daemon::resident_memory::parse;
///
/// assert_eq!(parse("Name:\tx\nVmRSS:\t   24 kB\n"), Some(24 << 10));
/// assert_eq!(parse("Name:\tx\n"), None);
/// ```
pub fn parse(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes << 10)
}
