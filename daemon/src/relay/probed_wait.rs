//! Waits for an engine while probing whether it is alive.

use std::{future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use celerypond_relay::{AttemptFailure, SilenceLimits};
use celerypond_types::{DataCentre, TargetKey};
use tokio::{
    sync::watch,
    time::{sleep, Instant},
};

use super::{
    lease::{record_unresponsive, Lease},
    reachability,
    state::RelayState,
};

/// The outcome of a wait.
pub(super) enum WaitOutcome<T> {
    /// The awaited event happened.
    Completed(T),
    /// The engine accepts no new connections and was given up.
    Dead,
    /// Another start of an engine has the address, so the run is lost.
    Replaced,
}

impl<T> WaitOutcome<T> {
    /// Returns the output of the awaited event.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure::Dead`] if the engine was found dead first, [`AttemptFailure::Ended`] if it
    /// was replaced.
    pub(super) fn into_result(self) -> Result<T, AttemptFailure> {
        match self {
            Self::Completed(output) => Ok(output),
            Self::Dead => Err(AttemptFailure::Dead),
            Self::Replaced => Err(AttemptFailure::Ended),
        }
    }
}

/// A wait for an engine. Each time the engine is silent for a while, or another engine of its data
/// centre is found dead, it is probed with a new connection.
pub(super) struct ProbedWait {
    state: Arc<RelayState>,
    key: TargetKey,
    address: SocketAddr,
    born: Option<u64>,
    data_centre: Option<DataCentre>,
    silence_reports: watch::Receiver<Option<DataCentre>>,
    probe_after: Duration,
    /// How long the engine may accept no new connections while the request cannot go elsewhere.
    max_dead: Duration,
}

impl ProbedWait {
    pub(super) fn new(
        state: &Arc<RelayState>,
        lease: &Lease,
        silence_limits: SilenceLimits,
        is_first: bool,
        max_dead: Duration,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            key: lease.key,
            address: lease.address,
            born: lease.born,
            data_centre: state.view.data_centre_of(lease.key),
            silence_reports: state.silent_data_centre.subscribe(),
            probe_after: match is_first {
                true => silence_limits.probe_first,
                false => silence_limits.probe_gap,
            },
            max_dead,
        }
    }

    /// Waits for `event` from the engine as long as it is alive. While this instance reaches no engine
    /// of the service, a failed probe says nothing about the engine, and the open connection may
    /// still work. It may also still work if the engine only accepts no more connections, so the wait
    /// ends once `may_give_up` returns that the request can go elsewhere.
    pub(super) async fn run<T>(
        mut self,
        event: impl Future<Output = T>,
        may_give_up: impl Fn() -> bool,
    ) -> WaitOutcome<T> {
        let mut event = pin!(event);
        let mut dead_since = None;
        loop {
            tokio::select! {
                biased;
                output = &mut event => return WaitOutcome::Completed(output),
                () = sleep(self.probe_after) => {}
                () = wait_for_silence_report(&mut self.silence_reports, self.data_centre.as_ref()) => {}
            }
            tokio::select! {
                biased;
                output = &mut event => return WaitOutcome::Completed(output),
                is_alive = reachability::probe_address(&self.state, self.key, self.address) => {
                    if is_alive && self.is_replaced() {
                        return WaitOutcome::Replaced;
                    }
                    if is_alive || reachability::is_partitioned_from(&self.state, self.key) {
                        dead_since = None;
                        continue;
                    }
                }
            }
            if dead_since.is_none() {
                self.report_silence();
            }
            let dead_since = dead_since.get_or_insert_with(Instant::now);
            if may_give_up() || dead_since.elapsed() >= self.max_dead {
                return WaitOutcome::Dead;
            }
            record_unresponsive(&self.state, self.key, AttemptFailure::Dead);
        }
    }

    fn is_replaced(&self) -> bool {
        let targets = self.state.view.targets();
        targets.is_replaced(self.key, self.address, self.born)
    }

    /// Makes all waits for engines of this data centre probe at once, since engines of one data
    /// centre usually fail together.
    fn report_silence(&self) {
        log::info!(data_centre = self.data_centre.as_ref().map(DataCentre::as_str); "engine silent");
        self.state
            .silent_data_centre
            .send_replace(self.data_centre.clone());
    }
}

async fn wait_for_silence_report(
    silence_reports: &mut watch::Receiver<Option<DataCentre>>,
    data_centre: Option<&DataCentre>,
) {
    loop {
        if silence_reports.changed().await.is_err() {
            return std::future::pending().await;
        }
        if silence_reports.borrow_and_update().as_ref() == data_centre {
            return;
        }
    }
}
