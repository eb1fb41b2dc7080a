//! Log lines and a count of panics.

use std::{
    panic::PanicHookInfo,
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    thread,
    time::Duration,
};

use crate::WriterGuard;

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Logs and counts each panic of the process before the previous hook is called.
///
/// The process may end right after, so the panicking thread waits until the line is written, for at
/// most `flush_timeout`.
pub fn install_panic_hook(guard: &WriterGuard, flush_timeout: Duration) {
    let writer = guard.writer();
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Relaxed);
        log_panic(info);
        writer.flush_within(flush_timeout);
        previous(info);
    }));
}

/// Returns the number of panics since the last call.
pub fn take_panics() -> u64 {
    PANICS.swap(0, Relaxed)
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let thread = thread::current();
    log::error!(
        panic = info.payload_as_str(),
        location = info.location().map(ToString::to_string),
        thread = thread.name();
        "panicked"
    );
}
