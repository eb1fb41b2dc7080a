//! Finds engines that died and restarted while the store is unavailable.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_adapter::{engine, headers};
use celerypond_relay::DeadEngine;
use celerypond_telemetry::Counter;
use celerypond_types::TargetName;
use futures::future::join_all;
use http::{Method, StatusCode, Uri};
use tokio::time::{sleep, Instant};

use super::{engine_calls, state::RelayState};

/// The interval between two checks of dead engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum time by which an instance delays its check so that another one goes first. The first
/// instance that finds an engine tells the others, so that each engine is queried by about one of
/// them.
const MAX_STAGGER: Duration = Duration::from_millis(400);
/// The timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Checks for restarted engines until the instance ends.
///
/// When engines crash while the store is unavailable, they return after about a second under
/// another name, which only the store would report. Each further crash would leave fewer engines
/// for all the traffic. The engine itself reports its name. That it belongs to the same service is
/// known if there is only one service with engines and the engine reports the memory of that
/// service's engines.
pub(super) async fn run(state: Arc<RelayState>) {
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
        if !state.watch_duty.is_lost() {
            continue;
        }
        let dead = state
            .view
            .targets()
            .dead_engines(Instant::now(), MAX_STAGGER);
        join_all(dead.into_iter().map(|dead| check_engine(&state, dead))).await;
    }
}

async fn check_engine(state: &RelayState, dead: DeadEngine) {
    let Some((path, tokens)) = adoption_criteria(state, &dead) else {
        return;
    };
    let Some(name) = query_name(state, dead.address, path, tokens).await else {
        return;
    };
    let is_new = state
        .view
        .targets()
        .add_restarted_engine(dead.name_hash, &name, Instant::now());
    if is_new {
        state.metrics.add(Counter::TargetsFound, 1);
        log::info!(target = name.as_str(), before = dead.name.as_str(), source = "engine"; "found a restarted engine");
        state.placements_changed.notify_one();
    }
}

/// Returns the path of the health check and the memory of the service's engines, if an engine at
/// the address can only belong to this service.
fn adoption_criteria(state: &RelayState, dead: &DeadEngine) -> Option<(Uri, u64)> {
    let table = state.view.table();
    let service = table.only_engine_service()?;
    if service.name != dead.service {
        return None;
    }
    let tokens = service.engine.as_ref()?.tokens;
    Some((service.health.parse().ok()?, tokens))
}

async fn query_name(
    state: &RelayState,
    address: SocketAddr,
    health: Uri,
    tokens: u64,
) -> Option<TargetName> {
    let get =
        |path| engine_calls::call(state, address, Method::GET, path, Vec::new(), QUERY_TIMEOUT);
    let health_response = get(health)
        .await
        .filter(|answer| answer.status == StatusCode::OK)?;
    let name = headers::parse_target_name(&health_response.headers)?;
    let report = get(Uri::from_static(engine::REPORT_PATH)).await?;
    let report = engine::decode_report(&report.body).ok()?;
    let is_of_service = report.models > 0 && report.tokens == tokens;
    is_of_service.then_some(name)
}
