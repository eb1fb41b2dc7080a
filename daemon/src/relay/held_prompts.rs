//! Queries engines for the prompt parts that they hold.

use std::{sync::Arc, time::Duration};

use celerypond_adapter::engine;
use celerypond_types::TargetKey;
use http::{Method, StatusCode};
use tokio::time::Instant;

use super::{engine_calls, state::RelayState};

/// The timeout of a query, which an engine answers within one or two of its steps.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Queries an engine for the prompt parts that it holds, and records them.
pub(super) async fn query(state: Arc<RelayState>, key: TargetKey) {
    let (Some(address), Ok(path)) = (state.view.address_of(key), engine::HELD_PARTS_PATH.parse())
    else {
        return;
    };
    let answer = engine_calls::call(
        &state,
        address,
        Method::GET,
        path,
        Vec::new(),
        QUERY_TIMEOUT,
    )
    .await;
    let Some(answer) = answer.filter(|answer| answer.status == StatusCode::OK) else {
        log::info!(address:% = address; "engine did not report the prompt parts that it holds");
        return;
    };
    match engine::decode_held_parts(&answer.body) {
        Ok(parts) => {
            let mut targets = state.view.targets();
            targets.record_held_parts(key, &parts, Instant::now());
        }
        Err(error) => {
            log::warn!(address:% = address, error:% = error; "cannot decode the prompt parts that an engine holds");
        }
    }
}
