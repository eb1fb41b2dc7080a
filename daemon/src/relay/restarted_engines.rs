//! Finds engines that died and started again while the store does not tell.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_adapter::{engine, headers};
use celerypond_relay::DeadEngine;
use celerypond_telemetry::Counter;
use celerypond_types::TargetName;
use futures::future::join_all;
use http::{Method, StatusCode, Uri};
use tokio::time::{sleep, Instant};

use super::{engine_calls, state::RelayState};

/// The time between two looks at dead engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The most by which an instance waits so that another one looks first. The first one that finds an
/// engine tells the others, so each engine is asked by about one of them.
const MAX_STAGGER: Duration = Duration::from_millis(400);
/// How long one question may take.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Looks for engines that started again, until the instance ends.
///
/// The failure: engines crash while the store is away. They are back after a second under another
/// name, which only the store would tell, and each further crash leaves fewer engines for all the
/// traffic. The engine itself says its name; that it is an engine of the same service is known when
/// there is only one service with engines, and it reports their memory.
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
        log::info!(target = name.as_str(), before = dead.name.as_str(), source = "engine"; "engine found again");
        state.placements_changed.notify_one();
    }
}

/// Returns the path of the health check and the memory of the service's engines, if an engine at
/// the address can only be of this service.
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
