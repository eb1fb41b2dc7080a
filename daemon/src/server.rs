//! Starts an instance, and stops it without cutting off a request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_bundle::Settings;
use celerypond_telemetry::{Metrics, Output, SpanSettings, Spans};
use error_stack::{Report, ResultExt};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    signal::unix::{signal, Signal, SignalKind},
    sync::mpsc,
    task::JoinSet,
    time,
};

use crate::{admission::Admission, front, node::Node, roster, target_watch, watch};

/// How often counters are sent to the collector.
const PUBLISH: Duration = Duration::from_secs(10);
/// How many events of targets may wait; more are dropped.
const EVENTS: usize = 4096;
/// How long background tasks may take to end.
const JOIN: Duration = Duration::from_secs(5);

/// Why an instance could not run.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ServerError {
    /// An address could not be bound.
    #[error("the address {0} cannot be bound")]
    Bind(SocketAddr),
    /// Signals could not be received.
    #[error("signals cannot be received")]
    Signal,
    /// Counters or spans have nowhere to go.
    #[error("telemetry could not start")]
    Telemetry,
}

/// Runs an instance until a planned stop is complete.
///
/// # Errors
///
/// A [`ServerError`] when the instance could not start.
pub async fn run(settings: Settings) -> Result<(), Report<ServerError>> {
    let spans = spans(&settings)?;
    let metrics = metrics(&settings)?;
    let listener = bind(settings.address).await?;
    let mut stop = signal(SignalKind::terminate()).change_context(ServerError::Signal)?;
    let (events, told) = mpsc::channel(EVENTS);
    let node = Node::new(settings, metrics, events);
    let mut tasks = JoinSet::new();
    tasks.spawn(watch::run(Arc::clone(&node)));
    tasks.spawn(roster::run(Arc::clone(&node)));
    tasks.spawn(target_watch::run(Arc::clone(&node), told));
    tasks.spawn(Admission::run(Arc::clone(&node)));
    tasks.spawn(publish(Arc::clone(&node)));
    log::info!("serving callers at {}", node.address());
    tokio::select! {
        never = front::serve(Arc::clone(&node), listener) => match never {},
        () = leave(&node, &mut stop) => {}
    }
    finish(&node, tasks).await;
    if let Some(spans) = spans {
        spans.finish().change_context(ServerError::Telemetry)?;
    }
    log::info!("stopped");
    Ok(())
}

/// Waits for a planned stop, and then until callers no longer hold this instance's address.
///
/// The failure: callers keep an answer of `/v1/entries` a while, and connect to an instance that
/// has gone. While their answers last, this instance serves on, but is no longer in new answers.
async fn leave(node: &Node, stop: &mut Signal) {
    stop.recv().await;
    node.leaving.cancel();
    let ttl = Duration::from_secs(node.settings.entries_ttl_s);
    log::info!(
        "leaving; new connections are refused in {} s",
        ttl.as_secs()
    );
    tokio::select! {
        () = time::sleep(ttl) => {}
        _ = stop.recv() => log::info!("a second signal: new connections are refused now"),
    }
}

async fn finish(node: &Node, mut tasks: JoinSet<()>) {
    node.sockets.drain().await;
    node.ledger.close();
    node.ending.cancel();
    node.work.close();
    let joined = async {
        while tasks.join_next().await.is_some() {}
        node.work.wait().await;
    };
    if time::timeout(JOIN, joined).await.is_err() {
        let left = tasks.len() + node.work.len();
        log::warn!("{left} background tasks did not end in time");
        tasks.shutdown().await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<ServerError>> {
    TcpListener::bind(address)
        .await
        .change_context(ServerError::Bind(address))
}

fn metrics(settings: &Settings) -> Result<Metrics, Report<ServerError>> {
    match settings.statsd {
        Some(address) => Metrics::to_udp(address).change_context(ServerError::Telemetry),
        None => Ok(Metrics::local()),
    }
}

fn spans(settings: &Settings) -> Result<Option<Spans>, Report<ServerError>> {
    let Some(path) = &settings.trace_file else {
        return Ok(None);
    };
    let settings = SpanSettings {
        output: Output::File(path.clone()),
        share: 1.0,
    };
    let spans = Spans::new(&settings).change_context(ServerError::Telemetry)?;
    spans.install().change_context(ServerError::Telemetry)?;
    Ok(Some(spans))
}

async fn publish(node: Arc<Node>) {
    let mut tick = time::interval(PUBLISH);
    loop {
        tokio::select! {
            () = node.ending.cancelled() => return,
            _ = tick.tick() => {
                // A datagram that can't be sent is lost, and the next interval goes on.
                let _ = node.metrics.publish();
            }
        }
    }
}
