//! Waiting for an engine, with questions whether it lives.

use std::{future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use celerypond_relay::{AttemptFailure, SilenceLimits};
use celerypond_types::DataCentre;
use tokio::{sync::watch, time::sleep};

use super::{lease::Lease, state::RelayState};

/// What came of waiting.
pub(super) enum WaitOutcome<T> {
    /// What was waited for.
    Said(T),
    /// The engine takes no new connection.
    Dead,
}

impl<T> WaitOutcome<T> {
    /// Returns what was waited for.
    ///
    /// # Errors
    ///
    /// `DeadEngine` when it did not come.
    pub(super) fn said(self) -> Result<T, AttemptFailure> {
        match self {
            Self::Said(said) => Ok(said),
            Self::Dead => Err(AttemptFailure::Dead),
        }
    }
}

/// Waiting for an engine. Each time it was silent for a while, or another engine of its data centre
/// was found dead, it is asked for a sign of life.
pub(super) struct ProbedWait {
    state: Arc<RelayState>,
    data_centre: Option<DataCentre>,
    alarm: watch::Receiver<Option<DataCentre>>,
    ask_after: Duration,
}

impl ProbedWait {
    pub(super) fn new(
        state: &Arc<RelayState>,
        lease: &Lease,
        patience: SilenceLimits,
        is_first: bool,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            data_centre: state.known.data_centre_of(lease.key),
            alarm: state.alarm.subscribe(),
            ask_after: match is_first {
                true => patience.probe_first,
                false => patience.probe_gap,
            },
        }
    }

    /// Waits for `event` from the engine at `address` as long as the engine lives.
    pub(super) async fn hear<T>(
        mut self,
        address: SocketAddr,
        event: impl Future<Output = T>,
    ) -> WaitOutcome<T> {
        let mut event = pin!(event);
        loop {
            tokio::select! {
                biased;
                said = &mut event => return WaitOutcome::Said(said),
                () = sleep(self.ask_after) => {}
                () = alarmed(&mut self.alarm, self.data_centre.as_ref()) => {}
            }
            tokio::select! {
                biased;
                said = &mut event => return WaitOutcome::Said(said),
                is_alive = self.state.connections.is_alive(address) => {
                    if !is_alive {
                        self.raise_alarm();
                        return WaitOutcome::Dead;
                    }
                }
            }
        }
    }

    /// Lets all who wait for engines of the data centre ask at once: where one falls silent, most
    /// do.
    fn raise_alarm(&self) {
        log::info!(data_centre = self.data_centre.as_ref().map(DataCentre::as_str); "engine silent");
        self.state.alarm.send_replace(self.data_centre.clone());
    }
}

async fn alarmed(alarm: &mut watch::Receiver<Option<DataCentre>>, home: Option<&DataCentre>) {
    loop {
        if alarm.changed().await.is_err() {
            return std::future::pending().await;
        }
        if alarm.borrow_and_update().as_ref() == home {
            return;
        }
    }
}
