//! Starts and ends a relaying instance.

use std::{
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_relay::Settings;
use celerypond_telemetry::Counter;
use error_stack::{Report, ResultExt as _};
use thiserror::Error;
use tokio::{
    signal::unix::{signal, SignalKind},
    sync::mpsc,
    time::{timeout, Instant},
};

use super::{
    callers, config_sync,
    datagrams::{self, Datagram},
    endpoints, fleet, members, notices, peer_relay, peer_service, prompt_parts, reachability,
    reload,
    request::Origin,
    restarted_engines, rollout_driver,
    signals::StopSignals,
    sockets::Sockets,
    state::{Outdated, RelayState},
    stop, target_sync, target_watch,
};
use crate::{resident_memory, supervised};

/// The interval of checks of idle connections, of targets whose entries are missing, and of
/// staleness.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The interval of log lines with the number of open requests. The last one before a process is
/// killed tells how many it had.
const OPEN_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum delay of a timer that is logged. Targets count as silent after a few hundred
/// milliseconds, which a delayed instance cannot tell from its own delay.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(100);

/// How long background tasks may take to end.
const JOIN_TIMEOUT: Duration = Duration::from_millis(100);

/// The errors with which a relaying instance fails to start.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RelayError {
    /// A signal handler cannot be set.
    #[error("cannot install signal handlers")]
    Signals,
}

/// Relays requests until SIGTERM, SIGINT or SIGQUIT. The settings are read again when their file changes.
///
/// # Errors
///
/// A [`RelayError`] if the instance cannot start.
pub async fn run(settings: Settings) -> Result<(), Report<RelayError>> {
    let hangup = signal(SignalKind::hangup()).change_context(RelayError::Signals)?;
    let mut stops = StopSignals::new().change_context(RelayError::Signals)?;
    let (sockets, settings) = tokio::select! {
        bound = Sockets::bind(settings, || reload::read_settings().ok()) => bound,
        signal = stops.recv() => {
            log::info!(signal; "signal received while waiting for an address");
            return Ok(());
        }
    };
    let instance = Instance::start_with(settings, sockets).await;
    let state = Arc::clone(&instance.state);
    instance.state.tasks.spawn(reload::run(state, hangup));
    let signal = stops.recv().await;
    log::info!(signal; "signal received");
    instance.stop().await;
    Ok(())
}

/// A running instance that relays requests.
pub struct Instance {
    state: Arc<RelayState>,
}

impl Instance {
    /// Starts an instance as soon as the addresses that it needs can be bound.
    pub async fn start(settings: Settings) -> Self {
        let (sockets, settings) = Sockets::bind(settings, || None).await;
        Self::start_with(settings, sockets).await
    }

    /// Starts an instance with the sockets that it needs.
    async fn start_with(settings: Settings, sockets: Sockets) -> Self {
        // The incarnation is later than that of a process that had these sockets before.
        let gossip = members::gossip(&settings, Instant::now());
        let (notice_sender, notices) = mpsc::unbounded_channel();
        let state = Arc::new(RelayState::new(settings, gossip, notice_sender));
        fleet::refresh(&state);
        serve_sockets(&state, sockets, notices);
        let settings = state.settings.load_full();
        let listen = settings.listen;
        let endpoint_addresses = [listen.ready, listen.directory, listen.metrics];
        for address in endpoint_addresses.into_iter().flatten() {
            endpoints::start(&state, address).await;
        }
        log::info!(
            instance = settings.instance.as_str(),
            data_centre = settings.data_centre.as_str(),
            version = env!("CARGO_PKG_VERSION"),
            pid = std::process::id();
            "started"
        );
        spawn(&state, "config_sync", config_sync::run);
        spawn(&state, "target_watch", target_watch::run);
        spawn(&state, "members", members::run);
        spawn(&state, "target_sync", target_sync::run);
        spawn(&state, "restarted_engines", restarted_engines::run);
        spawn(&state, "maintenance", run_maintenance);
        Self { state }
    }

    /// Stops as planned: accepts no new callers, and waits for open requests within the grace
    /// period.
    pub async fn stop(self) {
        stop::run(&self.state).await;
        join_tasks(&self.state).await;
        log::info!("instance ended");
    }

    /// Ends at once, as if killed: open connections are cut off.
    pub async fn kill(self) {
        self.state.stopping.cancel();
        self.state.closed.cancel();
        self.state.killed.cancel();
        self.state.ending.cancel();
        join_tasks(&self.state).await;
    }
}

/// Waits for the spawned tasks. Connections that callers still have open at the end of the grace
/// period are cut off when the process exits, so the wait is bounded.
async fn join_tasks(state: &RelayState) {
    state.tasks.close();
    let joined = timeout(JOIN_TIMEOUT, async {
        state.tasks.wait().await;
        state.connections.close().await;
    });
    if joined.await.is_err() {
        log::warn!(tasks = state.tasks.len(); "exiting with open connections");
    }
}

fn serve_sockets(
    state: &Arc<RelayState>,
    sockets: Sockets,
    notices: mpsc::UnboundedReceiver<Datagram>,
) {
    let Sockets {
        datagrams: datagram_socket,
        peers,
        relayed,
        callers,
    } = sockets;
    // Its notices come from one receiver, which cannot be handed on to another start.
    state.tasks.spawn(notices::run(
        Arc::clone(state),
        Arc::clone(&datagram_socket),
        notices,
    ));
    let socket = Arc::clone(&datagram_socket);
    spawn(state, "rollout_driver", move |state| {
        rollout_driver::run(state, Arc::clone(&socket))
    });
    let socket = Arc::clone(&datagram_socket);
    spawn(state, "reachability", move |state| {
        reachability::run(state, Arc::clone(&socket))
    });
    spawn(state, "datagrams", move |state| {
        datagrams::run(state, Arc::clone(&datagram_socket))
    });
    let peers = Arc::new(peers);
    spawn(state, "peer_service", move |state| {
        peer_service::run(state, Arc::clone(&peers))
    });
    let relayed = Arc::new(relayed);
    spawn(state, "peer_relay", move |state| {
        peer_relay::run(state, Arc::clone(&relayed))
    });
    if let Some(listener) = callers.map(Arc::new) {
        spawn(state, "callers", move |state| {
            callers::run(state, Arc::clone(&listener), Origin::Caller)
        });
    }
}

/// Spawns a task that starts again when it panics.
fn spawn<F>(
    state: &Arc<RelayState>,
    name: &'static str,
    task: impl Fn(Arc<RelayState>) -> F + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let task_state = Arc::clone(state);
    state.tasks.spawn(async move {
        supervised::run(name, || task(Arc::clone(&task_state))).await;
    });
}

async fn run_maintenance(state: Arc<RelayState>) {
    let mut previous = None;
    let mut was_short = false;
    let mut was_nearly_full = false;
    let mut open_logged = Instant::now();
    loop {
        let due = Instant::now() + SWEEP_INTERVAL;
        tokio::select! {
            () = state.ending.cancelled() => return,
            () = tokio::time::sleep_until(due) => {
                report_delay(&state, due);
                state.connections.close_expired(Instant::now());
                state.view.drop_missing();
                prompt_parts::poll(&state);
                report_dropped_lines(&state);
                report_staleness(&state, &mut previous);
                report_shortage(&state, &mut was_short);
                if open_logged.elapsed() >= OPEN_INTERVAL {
                    open_logged = Instant::now();
                    log_open(&state);
                    report_memory(&state, &mut was_nearly_full);
                }
            }
        }
    }
}

/// Logs that a timer fired late, as when the process got no processor.
fn report_delay(state: &RelayState, due: Instant) {
    let delay = due.elapsed();
    if delay >= MIN_LOGGED_DELAY {
        log::warn!(
            instance = state.settings.load().instance.as_str(),
            late_ms = delay.as_millis() as u64,
            requests = state.open_requests.load(Relaxed),
            streams = state.open_streams.load(Relaxed);
            "timers late"
        );
    }
}

/// Logs the number of open requests if there are any.
fn log_open(state: &RelayState) {
    let requests = state.open_requests.load(Relaxed);
    if requests > 0 {
        log::info!(
            instance = state.settings.load().instance.as_str(),
            requests,
            streams = state.open_streams.load(Relaxed),
            open = state.caller_connections.len(),
            config = state.view.config_version();
            "requests open"
        );
    }
}

fn report_dropped_lines(state: &RelayState) {
    let count = super::LOG_LIMITER.take_dropped();
    if count > 0 {
        state.metrics.add(Counter::LinesLeftOut, count);
        log::warn!(count; "lines left out, more than the bound");
    }
}

/// Logs when callers begin to hold more memory or connections than they may, and when that ends.
fn report_shortage(state: &RelayState, was_short: &mut bool) {
    let is_short = state.callers.take_short();
    if std::mem::replace(was_short, is_short) == is_short {
        return;
    }
    let limits = state.settings.load().limits;
    log::warn!(
        is_short,
        bytes = state.callers.used(),
        max_bytes = limits.caller_bytes(),
        open = state.caller_connections.len(),
        max_open = limits.caller_connections();
        "memory for callers changed"
    );
}

/// Logs when the process begins to use nearly all of the memory that it may, and when that ends. A
/// process over its memory is killed and logs nothing then.
fn report_memory(state: &RelayState, was_nearly_full: &mut bool) {
    let Some(bytes) = resident_memory::read() else {
        return;
    };
    let max_bytes = state.settings.load().limits.memory as u64;
    let is_nearly_full = bytes > max_bytes / 5 * 4;
    if std::mem::replace(was_nearly_full, is_nearly_full) == is_nearly_full {
        return;
    }
    log::warn!(
        is_nearly_full,
        bytes,
        max_bytes,
        callers = state.callers.used(),
        responses = state.response_memory.used();
        "memory of the process changed"
    );
}

/// Logs when requests begin to be refused because the data is too old, and when that ends.
fn report_staleness(state: &RelayState, previous: &mut Option<Outdated>) {
    let stale = state.stale();
    if std::mem::replace(previous, stale) == stale {
        return;
    }
    let age = state.view.config_freshness().age(Instant::now());
    let targets_age = state.view.targets_freshness().age(Instant::now());
    log::warn!(
        stale = stale.map(|stale| format!("{stale:?}")),
        targets_revision = state.view.targets_revision(),
        targets_age_ms = targets_age.map(|age| age.as_millis() as u64),
        config = state.view.config_version(),
        newest = state.newest_config(),
        age_ms = age.map(|age| age.as_millis() as u64);
        "staleness changed"
    );
}
