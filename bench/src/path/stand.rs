//! Stand-ins and one instance, each in a runtime of its own.

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use celerypond_bundle::{Bundle, Settings, ValidationError};
use celerypond_cli::Client;
use celerypond_daemon::{engine, server};
use celerypond_testutils::{
    engine::{Engine, EngineSettings},
    instances::{InstanceList, ListedInstance},
    platform::Platform,
    server::Server,
    service::Service,
};
use celerypond_types::Digest;
use error_stack::{Report, ResultExt};
use http::Method;
use serde_json::{json, Value};
use tokio::{
    runtime::{Builder, Runtime},
    sync::mpsc,
    time::{self, Instant},
};

use super::PathError;

pub(super) const ACCOUNT_KEY: &str = "path-key";
const SUBMITTER: &str = "submitter-key";
const APPROVER: &str = "approver-key";
/// The name of the instance's threads, by which their CPU time is found.
pub(super) const INSTANCE_THREAD: &str = "path-instance";
const STAND_IN_THREADS: usize = 3;
/// How many streams an engine runs at most.
const SLOTS: usize = 10_000;
/// How long the instance may take to begin.
const PATIENCE: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(50);
/// Limits that the measures never meet.
const MOST: u32 = 100_000_000;

/// One instance before one engine and one service.
pub(super) struct Stand {
    pub(super) platform: Platform,
    pub(super) store: SocketAddr,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) service: SocketAddr,
    pub(super) instance: SocketAddr,
    _servers: [Server; 3],
    // The sender is kept: an instance without one could never be asked to stop.
    _stops: mpsc::Sender<()>,
    runtimes: Vec<Runtime>,
}

impl Drop for Stand {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

impl Stand {
    /// Starts everything and waits until the bundle is in force.
    pub(super) async fn start(gap: Duration, workers: usize) -> Result<Self, Report<PathError>> {
        let stand_ins = runtime("path-stand-in", STAND_IN_THREADS)?;
        let [port, peer_port] = free_ports()?;
        let listing = InstanceList {
            instances: vec![listed(port, peer_port)],
            targets: Vec::new(),
        };
        let platform = Platform::new(listing, Duration::ZERO);
        let engine = Engine::new(EngineSettings {
            versions: vec!["v1".into()],
            token_interval: gap,
            prefill_per_token: Duration::ZERO,
            slots: SLOTS,
            checks_fencing: true,
        });
        let service = Service::default();
        let (held, tasks) = (platform.clone(), engine.clone());
        // A server's tasks run on the runtime that starts it.
        let serve = stand_ins.spawn(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            Ok::<_, std::io::Error>([
                held.serve(any).await?,
                tasks.serve(any).await?,
                service.serve(any).await?,
            ])
        });
        let servers = serve.await.change_context(PathError::Start)?;
        let servers = servers.change_context(PathError::Start)?;
        let [store, engine_address, service] = [0, 1, 2].map(|i: usize| servers[i].address);
        let settings = settings(port, peer_port, store)?;
        let instance = settings.address;
        let own = runtime(INSTANCE_THREAD, workers)?;
        let (stops, stopped) = mpsc::channel(1);
        own.spawn(async move {
            if let Err(report) = server::run(settings, stopped).await {
                eprintln!("the instance ended: {report:#}");
            }
        });
        let stand = Self {
            platform,
            store,
            engine,
            engine_address,
            service,
            instance,
            _servers: servers,
            _stops: stops,
            runtimes: vec![own, stand_ins],
        };
        stand.begin().await?;
        Ok(stand)
    }

    async fn begin(&self) -> Result<(), Report<PathError>> {
        wait_for(async || {
            let health = engine::short_call(self.instance, Method::GET, "/v1/health", Vec::new());
            health.await.is_ok()
        })
        .await?;
        let bundle = Bundle::parse(&self.bundle().to_string()).map_err(faulty)?;
        let text = serde_json::to_vec(&bundle).change_context(PathError::Start)?;
        self.ask(SUBMITTER, "submit", text).await?;
        let named = json!({ "digest": bundle.digest() }).to_string();
        self.ask(APPROVER, "approve", named.clone().into_bytes())
            .await?;
        self.ask(APPROVER, "roll", named.into_bytes()).await?;
        wait_for(async || self.revision().await >= 1).await?;
        // The targets are known as live after their first probes.
        time::sleep(Duration::from_secs(2)).await;
        Ok(())
    }

    async fn revision(&self) -> u64 {
        let Ok(client) = Client::new(vec![self.instance], SUBMITTER) else {
            return 0;
        };
        let status: Value = client
            .operator(Method::GET, "status", "")
            .await
            .unwrap_or_default();
        status["revision"].as_u64().unwrap_or(0)
    }

    async fn ask(&self, key: &str, action: &str, body: Vec<u8>) -> Result<(), Report<PathError>> {
        let client = Client::new(vec![self.instance], key).change_context(PathError::Start)?;
        let asked = client.operator(Method::POST, action, body).await;
        asked.map(drop).change_context(PathError::Start)
    }

    fn bundle(&self) -> Value {
        json!({
            "format": 1, "title": "path",
            "targets": [
                {"name": "engine-0", "kind": "engine", "address": self.engine_address,
                 "data_centre": "east", "slots": SLOTS, "fencing": "checked"},
                {"name": "desk-0", "kind": "service", "address": self.service,
                 "data_centre": "east"},
            ],
            "models": [{
                "name": "drafts", "base": "v1", "deadline_ms": 600_000, "complete_within_s": 600,
                "versions": [{"name": "v1", "weights": "drafts/v1", "targets": ["engine-0"]}],
            }],
            "services": [{
                "name": "desk", "targets": ["desk-0"], "deadline_ms": 5_000,
                "calls": [{"method": "POST", "path": "/quotes", "idempotent": true},
                          {"method": "POST", "path": "/holds", "idempotent": false}],
            }],
            "accounts": [{"name": "path", "key_digest": Digest::of(ACCOUNT_KEY.as_bytes()),
                          "requests_per_s": MOST, "tokens_per_s": MOST}],
        })
    }
}

fn runtime(name: &str, workers: usize) -> Result<Runtime, Report<PathError>> {
    Builder::new_multi_thread()
        .thread_name(name)
        .worker_threads(workers)
        .enable_all()
        .build()
        .change_context(PathError::Start)
}

fn faulty(faults: Vec<ValidationError>) -> Report<PathError> {
    Report::new(PathError::Start).attach(format!("{faults:?}"))
}

async fn wait_for(mut holds: impl AsyncFnMut() -> bool) -> Result<(), Report<PathError>> {
    let until = Instant::now() + PATIENCE;
    while !holds().await {
        if Instant::now() > until {
            return Err(Report::new(PathError::Start));
        }
        time::sleep(STEP).await;
    }
    Ok(())
}

/// Returns two ports below those that the system gives away by itself.
fn free_ports() -> Result<[u16; 2], Report<PathError>> {
    let free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    let mut ports = (16_000..21_000).filter(free);
    let found = ports.next().zip(ports.next());
    let (port, peer_port) = found.ok_or_else(|| Report::new(PathError::Start))?;
    Ok([port, peer_port])
}

fn listed(port: u16, peer_port: u16) -> ListedInstance {
    ListedInstance {
        name: "entry-0".into(),
        address: format!("127.0.0.1:{port}"),
        peer_address: format!("127.0.0.1:{peer_port}"),
        data_centre: "east".into(),
        state: "live".into(),
    }
}

fn settings(port: u16, peer_port: u16, store: SocketAddr) -> Result<Settings, Report<PathError>> {
    let operator =
        |name: &str, key: &str| json!({"name": name, "key_digest": Digest::of(key.as_bytes())});
    let settings = json!({
        "instance": "entry-0", "data_centre": "east",
        "address": format!("127.0.0.1:{port}"), "peer_address": format!("127.0.0.1:{peer_port}"),
        "platform": [store], "fleet_key": Digest::of(b"fleet"),
        "operators": [operator("aigul", SUBMITTER), operator("marat", APPROVER)],
    });
    Settings::parse(&settings.to_string()).map_err(faulty)
}
