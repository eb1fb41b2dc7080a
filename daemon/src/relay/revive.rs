//! Finds engines that died and started again while the store does not tell.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_adapter::{engine, headers};
use celerypond_relay::Dead;
use celerypond_telemetry::Counter;
use celerypond_types::TargetName;
use futures::future::join_all;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt as _, Full};
use tokio::time::{sleep, timeout, Instant};

use super::{connections::Sender, site::Site};

/// The time between two looks at dead engines.
const LOOK: Duration = Duration::from_millis(250);
/// The most by which an instance waits so that another one looks first. The first one that finds an
/// engine tells the others, so each engine is asked by about one of them.
const STAGGER: Duration = Duration::from_millis(400);
/// How long one question may take.
const QUESTION: Duration = Duration::from_millis(150);

/// Looks for engines that started again, until the instance ends.
///
/// The failure: engines crash while the store is away. They are back after a second under another
/// name, which only the store would tell, and each further crash leaves fewer engines for all the
/// traffic. The engine itself says its name; that it is an engine of the same service is known when
/// there is only one service with engines, and it reports their memory.
pub(super) async fn run(site: Arc<Site>) {
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            () = sleep(LOOK) => {}
        }
        if !site.is_store_lost() {
            continue;
        }
        let dead = site.targets().dead_engines(Instant::now(), STAGGER);
        join_all(dead.into_iter().map(|dead| look(&site, dead))).await;
    }
}

async fn look(site: &Site, dead: Dead) {
    let Some((path, tokens)) = may_adopt(site, &dead) else {
        return;
    };
    let found = timeout(QUESTION, ask(site, dead.address, path, tokens)).await;
    let Ok(Some(name)) = found else {
        return;
    };
    let is_new = site.targets().adopt(dead.hash, &name, Instant::now());
    if is_new {
        site.metrics.add(Counter::TargetsFound, 1);
        log::info!(target = name.as_str(), before = dead.name.as_str(), source = "engine"; "engine found again");
        site.placed.notify_one();
    }
}

/// Returns the path of the health check and the memory of the service's engines, if an engine at
/// the address can only be of this service.
fn may_adopt(site: &Site, dead: &Dead) -> Option<(Uri, u64)> {
    let table = site.table.load();
    let service = table.only_engines()?;
    if service.name != dead.service {
        return None;
    }
    let tokens = service.engine.as_ref()?.tokens;
    Some((service.health.parse().ok()?, tokens))
}

async fn ask(site: &Site, address: SocketAddr, health: Uri, tokens: u64) -> Option<TargetName> {
    let mut sender = site.connections.connect(address).await.ok()?;
    let (head, _) = get(&mut sender, health).await?;
    let name = headers::read_target(&head)?;
    let (_, body) = get(&mut sender, Uri::from_static(engine::REPORT_PATH)).await?;
    let report = engine::decode_report(&body).ok()?;
    let is_of_service = report.models > 0 && report.tokens == tokens;
    is_of_service.then_some(name)
}

async fn get(sender: &mut Sender, path: Uri) -> Option<(HeaderMap, Bytes)> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = path;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    (parts.status == StatusCode::OK).then_some((parts.headers, body))
}
