//! What the system says of this process: the CPU time of threads and resident memory.

use std::fs;

use error_stack::{Report, ResultExt};

use super::PathError;

const PAGE_BYTES: f64 = 4096.0;

/// Returns the CPU time of all threads with a name, in seconds, and how many there are.
///
/// `schedstat` counts in nanoseconds; `stat` only in hundredths of a second.
pub(super) fn cpu_s(name: &str) -> Result<f64, Report<PathError>> {
    let tasks = fs::read_dir("/proc/self/task").change_context(PathError::Usage)?;
    let mut total_ns = 0.0;
    for task in tasks {
        let path = task.change_context(PathError::Usage)?.path();
        // A thread may end between the listing and the reading.
        let Ok(found) = fs::read_to_string(path.join("comm")) else {
            continue;
        };
        if found.trim() != name {
            continue;
        }
        let text = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let first = text.split_whitespace().next();
        total_ns += first.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    }
    Ok(total_ns / 1e9)
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident_bytes() -> Result<f64, Report<PathError>> {
    let text = fs::read_to_string("/proc/self/statm").change_context(PathError::Usage)?;
    let pages = text.split_whitespace().nth(1);
    let pages: Option<f64> = pages.and_then(|text| text.parse().ok());
    let pages = pages.ok_or_else(|| Report::new(PathError::Usage))?;
    Ok(pages * PAGE_BYTES)
}
