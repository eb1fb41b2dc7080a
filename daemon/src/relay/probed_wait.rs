//! Waiting for an engine, with questions whether it lives.

use std::{future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use celerypond_relay::{AttemptFailure, SilenceLimits};
use celerypond_types::DataCentre;
use tokio::{sync::watch, time::sleep};

use super::{lease::Lease, state::RelayState};

/// What came of waiting.
pub(super) enum WaitOutcome<T> {
    /// What was waited for.
    Completed(T),
    /// The engine takes no new connection.
    Dead,
}

impl<T> WaitOutcome<T> {
    /// Returns what was waited for.
    ///
    /// # Errors
    ///
    /// `DeadEngine` when it did not come.
    pub(super) fn into_result(self) -> Result<T, AttemptFailure> {
        match self {
            Self::Completed(output) => Ok(output),
            Self::Dead => Err(AttemptFailure::Dead),
        }
    }
}

/// Waiting for an engine. Each time it was silent for a while, or another engine of its data centre
/// was found dead, it is asked for a sign of life.
pub(super) struct ProbedWait {
    state: Arc<RelayState>,
    data_centre: Option<DataCentre>,
    silence_reports: watch::Receiver<Option<DataCentre>>,
    probe_after: Duration,
}

impl ProbedWait {
    pub(super) fn new(
        state: &Arc<RelayState>,
        lease: &Lease,
        silence_limits: SilenceLimits,
        is_first: bool,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            data_centre: state.view.data_centre_of(lease.key),
            silence_reports: state.silent_data_centre.subscribe(),
            probe_after: match is_first {
                true => silence_limits.probe_first,
                false => silence_limits.probe_gap,
            },
        }
    }

    /// Waits for `event` from the engine at `address` as long as the engine lives.
    pub(super) async fn run<T>(
        mut self,
        address: SocketAddr,
        event: impl Future<Output = T>,
    ) -> WaitOutcome<T> {
        let mut event = pin!(event);
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
                is_alive = self.state.connections.is_alive(address) => {
                    if !is_alive {
                        self.report_silence();
                        return WaitOutcome::Dead;
                    }
                }
            }
        }
    }

    /// Lets all who wait for engines of the data centre ask at once: where one falls silent, most
    /// do.
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
