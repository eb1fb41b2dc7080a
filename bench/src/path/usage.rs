//! CPU time of threads and resident memory of this process, read from `/proc`.

use std::fs;

use error_stack::{Report, ResultExt};

use super::PathError;

const PAGE_BYTES: f64 = 4096.0;

/// Returns the total CPU time in seconds of all threads named `name`.
///
/// Reads `schedstat`, which counts in nanoseconds; `stat` counts in hundredths of a second.
pub(super) fn cpu_seconds(name: &str) -> Result<f64, Report<PathError>> {
    let tasks = fs::read_dir("/proc/self/task").change_context(PathError::Usage)?;
    let mut total_ns = 0.0;
    for task in tasks {
        let path = task.change_context(PathError::Usage)?.path();
        // A thread may exit after it was listed.
        let Ok(thread_name) = fs::read_to_string(path.join("comm")) else {
            continue;
        };
        if thread_name.trim() != name {
            continue;
        }
        let text = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let cpu_ns = text.split_whitespace().next();
        total_ns += cpu_ns.and_then(|text| text.parse().ok()).unwrap_or(0.0);
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
