//! Reloads the settings file.

use std::{fmt::Display, fs, sync::Arc, time::Duration};

use celerypond_adapter::settings;
use celerypond_relay::Settings;
use tokio::signal::unix::Signal;

use super::{members, state::RelayState};

/// The interval at which the file is read, since it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Applies changes of the settings file until the instance ends.
pub(super) async fn run(state: Arc<RelayState>, mut hangup: Signal) {
    let mut text = read_text();
    // The file may have changed since it was read at the start. Faults in it would have been
    // reported then.
    if let Some(Ok(new)) = text.as_deref().map(settings::parse)
        && new != **state.settings.load()
    {
        apply(&state, new);
    }
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            _ = hangup.recv() => log::info!(signal = "SIGHUP"; "signal received"),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        let new_text = read_text();
        if new_text == text {
            continue;
        }
        text = new_text;
        match settings::parse(text.as_deref().unwrap_or_default()) {
            Ok(new) => apply(&state, new),
            Err(faults) => {
                for fault in faults {
                    log::error!(fault:% = fault; "invalid settings, keeping the previous ones");
                }
            }
        }
    }
}

fn apply(state: &RelayState, new: Settings) {
    log::info!(seeds = new.seeds.len(); "settings reloaded");
    state.settings.store(Arc::new(new));
    members::update_seeds(state);
}

/// Reads the settings file.
///
/// # Errors
///
/// Returns the faults to be reported.
pub fn read_settings() -> Result<Settings, Vec<String>> {
    let path = settings::path();
    let fault = |fault: &dyn Display| format!("{}: {fault}", path.display());
    let text = fs::read_to_string(&path).map_err(|error| vec![fault(&error)])?;
    settings::parse(&text).map_err(|faults| faults.iter().map(|found| fault(found)).collect())
}

fn read_text() -> Option<String> {
    fs::read_to_string(settings::path()).ok()
}
