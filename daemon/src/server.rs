//! Starts an instance, and stops it without cutting off a request.

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

/// How often counters are sent to the collector.
const PUBLISH: Duration = Duration::from_secs(10);
/// How many events of targets may wait; more are dropped.
const EVENTS: usize = 4096;
/// How often a planned stop is looked at.
const DRAIN_STEP: Duration = Duration::from_millis(100);
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
    /// A background task has ended before the instance.
    #[error("a background task has ended")]
    Task,
    /// Counters or spans have nowhere to go.
    #[error("telemetry could not start")]
    Telemetry,
}

/// Runs an instance until a planned stop is complete.
///
/// Each value from `stops` asks for the planned stop; a second one hurries it.
///
/// # Errors
///
/// A [`ServerError`] when the instance could not start, or [`ServerError::Task`].
pub async fn run(
    settings: Settings,
    mut stops: mpsc::Receiver<()>,
) -> Result<(), Report<ServerError>> {
    let spans = spans(&settings)?;
    let metrics = metrics(&settings)?;
    let listener = bind(settings.address).await?;
    let peer_listener = bind(settings.peer_address).await?;
    let (events, told) = mpsc::channel(EVENTS);
    let node = Node::new(settings, metrics, events);
    let mut tasks = spawn(&node, peer_listener, told);
    log::info!("serving callers at {}", node.address());
    let is_whole = tokio::select! {
        never = front::serve(Arc::clone(&node), listener) => match never {},
        () = leave(&node, &mut stops) => true,
        // The failure: a task that ends by a panic is missed by nobody, and the instance serves on by an
        // old bundle, for example. It is better replaced: what runs is finished, then it ends.
        Some(_) = tasks.join_next() => false,
    };
    if !is_whole {
        log::error!("a background task has ended; the instance stops");
        step(&node, Drain::default().start(node.now_ms()));
    }
    finish(&node, tasks).await;
    if let Some(spans) = spans {
        spans.shutdown().change_context(ServerError::Telemetry)?;
    }
    log::info!("stopped");
    match is_whole {
        true => Ok(()),
        false => Err(Report::new(ServerError::Task)),
    }
}

/// Returns a value for each signal that asks for the planned stop: SIGTERM, or SIGINT from a terminal.
///
/// # Errors
///
/// [`ServerError::Signal`] when signals can't be received.
pub fn signals() -> Result<mpsc::Receiver<()>, Report<ServerError>> {
    let mut terminate = signal(SignalKind::terminate()).change_context(ServerError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(ServerError::Signal)?;
    let (sender, receiver) = mpsc::channel(1);
    // The task ends with the runtime: a process listens to signals for as long as it lives.
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

fn spawn(node: &Arc<Node>, peers: TcpListener, told: mpsc::Receiver<TargetEvent>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(peer_server::run(Arc::clone(node), peers));
    tasks.spawn(roster::run(Arc::clone(node)));
    tasks.spawn(gossip::run(Arc::clone(node)));
    tasks.spawn(watch::run(Arc::clone(node)));
    tasks.spawn(watch::watch_store(Arc::clone(node)));
    tasks.spawn(rollouts::run(Arc::clone(node)));
    tasks.spawn(orders::run(Arc::clone(node)));
    tasks.spawn(limits::run(Arc::clone(node)));
    tasks.spawn(target_watch::run(Arc::clone(node), told));
    tasks.spawn(Admission::run(Arc::clone(node)));
    tasks.spawn(publish(Arc::clone(node)));
    tasks
}

/// Waits for a planned stop, and then until callers no longer hold this instance's address.
async fn leave(node: &Arc<Node>, stops: &mut mpsc::Receiver<()>) {
    // Without anyone who could ask for a stop, the instance serves on.
    if stops.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
    let mut drain = step(node, Drain::default().start(node.now_ms()));
    let mut tick = time::interval(DRAIN_STEP);
    while drain.stage() != DrainStage::Refusing {
        tokio::select! {
            _ = tick.tick() => drain = step(node, drain.step(node.now_ms(), 1)),
            Some(()) = stops.recv() => {
                log::info!("asked to stop again: new connections are refused now");
                return;
            }
        }
    }
}

fn step(node: &Arc<Node>, (drain, effect): (Drain, Option<DrainEffect>)) -> Drain {
    match effect {
        Some(DrainEffect::AnnounceLeaving) => {
            node.leaving.cancel();
            gossip::announce_leaving(node);
            log::info!("leaving: the address is given to nobody, callers who have it are served");
        }
        Some(DrainEffect::CloseListener) => log::info!("leaving: new connections are refused"),
        // The sockets end idle connections and wait for the others.
        Some(DrainEffect::Exit) | None => {}
    }
    drain
}

async fn finish(node: &Node, mut tasks: JoinSet<()>) {
    node.sockets.drain().await;
    node.ledger.close();
    node.shutdown.cancel();
    node.background_tasks.close();
    let joined = async {
        while tasks.join_next().await.is_some() {}
        node.background_tasks.wait().await;
        node.peers.close().await;
    };
    if time::timeout(JOIN, joined).await.is_err() {
        let left = tasks.len() + node.background_tasks.len();
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

async fn publish(node: Arc<Node>) {
    let mut tick = time::interval(PUBLISH);
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            _ = tick.tick() => {
                // A datagram that can't be sent is lost, and the next interval goes on.
                let _ = node.metrics.publish();
            }
        }
    }
}
