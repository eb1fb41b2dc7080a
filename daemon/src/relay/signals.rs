//! The signals that an instance handles.

use std::io;

use tokio::{
    runtime::Builder,
    signal::unix::{signal, Signal, SignalKind},
};

/// The signals that ask for a planned stop, with their names.
const STOPS: [(SignalKind, &str); 3] = [
    (SignalKind::terminate(), "SIGTERM"),
    (SignalKind::interrupt(), "SIGINT"),
    (SignalKind::quit(), "SIGQUIT"),
];
/// The signals that must not end the process, which is their default action. Only the first one has a
/// meaning here.
const SURVIVED: [SignalKind; 4] = [
    SignalKind::hangup(),
    SignalKind::user_defined1(),
    SignalKind::user_defined2(),
    SignalKind::alarm(),
];

/// Keeps SIGHUP and signals without a meaning from ending the process. The platform sends SIGHUP when
/// the settings change, which may be before the instance handles it.
///
/// # Errors
///
/// Returns an error if a handler cannot be installed.
pub fn ignore_signals() -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().build()?;
    let _context = runtime.enter();
    // The handlers stay installed when these and the runtime are dropped.
    SURVIVED
        .into_iter()
        .try_for_each(|kind| signal(kind).map(drop))
}

/// The signals that ask for a planned stop.
pub(super) struct StopSignals([Signal; STOPS.len()]);

impl StopSignals {
    pub(super) fn new() -> io::Result<Self> {
        let [terminate, interrupt, quit] = STOPS.map(|(kind, _)| signal(kind));
        Ok(Self([terminate?, interrupt?, quit?]))
    }

    /// Waits for such a signal, and returns its name.
    pub(super) async fn recv(&mut self) -> &'static str {
        let [terminate, interrupt, quit] = &mut self.0;
        let index = tokio::select! {
            _ = terminate.recv() => 0,
            _ = interrupt.recv() => 1,
            _ = quit.recv() => 2,
        };
        STOPS[index].1
    }
}
