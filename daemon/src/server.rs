//! Starts an instance, and stops it without interrupting a request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_bundle::Settings;
use celerypond_route::{Drain, DrainEffect, DrainStage};
use celerypond_telemetry::{Metrics, Output, SpanRecorder, SpanSettings};
use error_stack::{Report, ResultExt};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    signal::unix::{signal, SignalKind},
    sync::mpsc,
    task::JoinSet,
    time,
};

use crate::{
    admission::Admission,
    front, gossip, limits,
    node::Node,
    orders, peer_server, rollouts, roster,
    target_watch::{self, TargetEvent},
    watch,
};

/// The interval at which metrics are sent to the collector.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);
/// The capacity of the channel of target events; further events are dropped.
const TARGET_EVENT_CAPACITY: usize = 4096;
/// The interval at which the progress of a planned stop is checked.
const DRAIN_INTERVAL: Duration = Duration::from_millis(100);
/// How long background tasks may take to end.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an instance could not start, or stopped without being asked to.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ServerError {
    /// An address cannot be bound.
    #[error("the address {0} cannot be bound")]
    Bind(SocketAddr),
    /// Signals cannot be received.
    #[error("signals cannot be received")]
    Signal,
    /// A background task has ended while the instance was running.
    #[error("a background task has ended")]
    Task,
    /// The output of metrics or spans cannot be opened.
    #[error("telemetry could not start")]
    Telemetry,
}

/// Runs an instance until a planned stop is complete.
///
/// The first value from `stops` starts the planned stop; a second one shortens it.
///
/// # Errors
///
/// A [`ServerError`] if the instance could not start, or [`ServerError::Task`].
pub async fn run(
    settings: Settings,
    mut stops: mpsc::Receiver<()>,
) -> Result<(), Report<ServerError>> {
    let spans = spans(&settings)?;
    let metrics = metrics(&settings)?;
    let listener = bind(settings.address).await?;
    let peer_listener = bind(settings.peer_address).await?;
    let (events, event_receiver) = mpsc::channel(TARGET_EVENT_CAPACITY);
    let node = Node::new(settings, metrics, events);
    let mut tasks = spawn_tasks(&node, peer_listener, event_receiver);
    log::info!("serving callers at {}", node.address());
    let is_planned = tokio::select! {
        never = front::serve(Arc::clone(&node), listener) => match never {},
        () = run_planned_stop(&node, &mut stops) => true,
        // Guards against a background task that panics unnoticed, after which the instance would, for
        // example, go on with an outdated bundle. Instead it finishes the open requests and exits, so
        // that it can be replaced.
        Some(_) = tasks.join_next() => false,
    };
    if !is_planned {
        log::error!("a background task has ended unexpectedly; the instance is stopping");
        apply_drain(&node, Drain::default().start(node.now_ms()));
    }
    end_tasks(&node, tasks).await;
    if let Some(spans) = spans {
        spans.shutdown().change_context(ServerError::Telemetry)?;
    }
    log::info!("stopped");
    match is_planned {
        true => Ok(()),
        false => Err(Report::new(ServerError::Task)),
    }
}

/// Returns a receiver of one value for each signal that requests the planned stop: SIGTERM, or
/// SIGINT from a terminal.
///
/// # Errors
///
/// [`ServerError::Signal`] if signals cannot be received.
pub fn signals() -> Result<mpsc::Receiver<()>, Report<ServerError>> {
    let mut terminate = signal(SignalKind::terminate()).change_context(ServerError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(ServerError::Signal)?;
    let (sender, receiver) = mpsc::channel(1);
    // The task runs until the runtime ends, as the process handles signals for its whole lifetime.
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if sender.send(()).await.is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

fn spawn_tasks(
    node: &Arc<Node>,
    peers: TcpListener,
    event_receiver: mpsc::Receiver<TargetEvent>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(peer_server::run(Arc::clone(node), peers));
    tasks.spawn(roster::run(Arc::clone(node)));
    tasks.spawn(gossip::run(Arc::clone(node)));
    tasks.spawn(watch::run(Arc::clone(node)));
    tasks.spawn(watch::watch_store(Arc::clone(node)));
    tasks.spawn(rollouts::run(Arc::clone(node)));
    tasks.spawn(orders::run(Arc::clone(node)));
    tasks.spawn(limits::run(Arc::clone(node)));
    tasks.spawn(target_watch::run(Arc::clone(node), event_receiver));
    tasks.spawn(Admission::run(Arc::clone(node)));
    tasks.spawn(publish_metrics(Arc::clone(node)));
    tasks
}

/// Waits for a stop to be requested, and then until new connections may be refused, as callers no
/// longer use this instance's address.
async fn run_planned_stop(node: &Arc<Node>, stops: &mut mpsc::Receiver<()>) {
    // If the sender is closed, no stop can be requested and the instance runs on.
    if stops.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
    let mut drain = apply_drain(node, Drain::default().start(node.now_ms()));
    let mut tick = time::interval(DRAIN_INTERVAL);
    while drain.stage() != DrainStage::Refusing {
        tokio::select! {
            _ = tick.tick() => drain = apply_drain(node, drain.step(node.now_ms(), 1)),
            Some(()) = stops.recv() => {
                log::info!("second stop request: refusing new connections now");
                return;
            }
        }
    }
}

/// Carries out an effect of the planned stop, and returns the new state.
fn apply_drain(node: &Arc<Node>, (drain, effect): (Drain, Option<DrainEffect>)) -> Drain {
    match effect {
        Some(DrainEffect::AnnounceLeaving) => {
            node.leaving.cancel();
            gossip::announce_leaving(node);
            log::info!("leaving: address no longer given to callers; existing callers are served");
        }
        Some(DrainEffect::CloseListener) => log::info!("leaving: refusing new connections"),
        // `Sockets::drain` closes idle connections and waits for the others.
        Some(DrainEffect::Exit) | None => {}
    }
    drain
}

/// Waits until all connections from callers have ended, then ends the background tasks.
async fn end_tasks(node: &Node, mut tasks: JoinSet<()>) {
    node.sockets.drain().await;
    node.ledger.close();
    node.shutdown.cancel();
    node.background_tasks.close();
    let all_ended = async {
        while tasks.join_next().await.is_some() {}
        node.background_tasks.wait().await;
        node.peers.close().await;
    };
    if time::timeout(JOIN_TIMEOUT, all_ended).await.is_err() {
        let remaining = tasks.len() + node.background_tasks.len();
        log::warn!("{remaining} background tasks did not end in time");
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
        Some(address) => Metrics::with_udp_sink(address).change_context(ServerError::Telemetry),
        None => Ok(Metrics::local()),
    }
}

fn spans(settings: &Settings) -> Result<Option<SpanRecorder>, Report<ServerError>> {
    let Some(path) = &settings.trace_file else {
        return Ok(None);
    };
    let settings = SpanSettings {
        output: Output::File(path.clone()),
        share: 1.0,
    };
    let spans = SpanRecorder::new(&settings).change_context(ServerError::Telemetry)?;
    spans.install().change_context(ServerError::Telemetry)?;
    Ok(Some(spans))
}

async fn publish_metrics(node: Arc<Node>) {
    let mut tick = time::interval(METRICS_INTERVAL);
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            _ = tick.tick() => {
                // If a datagram cannot be sent, its interval is lost.
                let _ = node.metrics.publish();
            }
        }
    }
}
