//! The test bed of the path benchmarks: stand-ins and one instance, each with its own runtime.

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
/// The name of the instance's threads, which identifies them when CPU time is read.
pub(super) const INSTANCE_THREAD: &str = "path-instance";
const STAND_IN_THREADS: usize = 3;
/// The maximum number of concurrent streams of the engine.
const ENGINE_SLOTS: usize = 10_000;
/// The timeout for the instance to start and for the bundle to take effect.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A rate limit that the benchmarks never reach.
const UNLIMITED_RATE: u32 = 100_000_000;

/// One instance in front of one engine and one plain service.
pub(super) struct TestBed {
    pub(super) platform: Platform,
    pub(super) store: SocketAddr,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) service: SocketAddr,
    pub(super) instance: SocketAddr,
    _servers: [Server; 3],
    // Kept so that the channel through which the instance is asked to stop stays open.
    _stop_sender: mpsc::Sender<()>,
    runtimes: Vec<Runtime>,
}

impl Drop for TestBed {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

impl TestBed {
    /// Starts the stand-ins and the instance, and waits until the bundle is in force.
    pub(super) async fn start(
        token_interval: Duration,
        worker_threads: usize,
    ) -> Result<Self, Report<PathError>> {
        let stand_in_runtime = runtime("path-stand-in", STAND_IN_THREADS)?;
        let [port, peer_port] = free_ports()?;
        let instance_list = InstanceList {
            instances: vec![listed_instance(port, peer_port)],
            targets: Vec::new(),
        };
        let platform = Platform::new(instance_list, Duration::ZERO);
        let engine = Engine::new(EngineSettings {
            versions: vec!["v1".into()],
            token_interval,
            prefill_per_token: Duration::ZERO,
            slots: ENGINE_SLOTS,
            checks_fencing: true,
        });
        let service = Service::default();
        let (platform_server, engine_server) = (platform.clone(), engine.clone());
        // A server's tasks run on the runtime on which it is started.
        let serve = stand_in_runtime.spawn(async move {
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            Ok::<_, std::io::Error>([
                platform_server.serve(any_port).await?,
                engine_server.serve(any_port).await?,
                service.serve(any_port).await?,
            ])
        });
        let servers = serve.await.change_context(PathError::Start)?;
        let servers = servers.change_context(PathError::Start)?;
        let [store, engine_address, service] = [0, 1, 2].map(|i: usize| servers[i].address);
        let settings = settings(port, peer_port, store)?;
        let instance = settings.address;
        let instance_runtime = runtime(INSTANCE_THREAD, worker_threads)?;
        let (stop_sender, stop_receiver) = mpsc::channel(1);
        instance_runtime.spawn(async move {
            if let Err(report) = server::run(settings, stop_receiver).await {
                eprintln!("the instance ended: {report:#}");
            }
        });
        let test_bed = Self {
            platform,
            store,
            engine,
            engine_address,
            service,
            instance,
            _servers: servers,
            _stop_sender: stop_sender,
            runtimes: vec![instance_runtime, stand_in_runtime],
        };
        test_bed.roll_out_bundle().await?;
        Ok(test_bed)
    }

    /// Waits for the instance, then submits, approves and rolls out the bundle.
    async fn roll_out_bundle(&self) -> Result<(), Report<PathError>> {
        wait_for(async || {
            let health = engine::short_call(self.instance, Method::GET, "/v1/health", Vec::new());
            health.await.is_ok()
        })
        .await?;
        let bundle = Bundle::parse(&self.bundle().to_string()).map_err(invalid)?;
        let text = serde_json::to_vec(&bundle).change_context(PathError::Start)?;
        self.operator_call(SUBMITTER, "submit", text).await?;
        let digest = json!({ "digest": bundle.digest() }).to_string();
        self.operator_call(APPROVER, "approve", digest.clone().into_bytes())
            .await?;
        self.operator_call(APPROVER, "roll", digest.into_bytes())
            .await?;
        wait_for(async || self.revision().await >= 1).await?;
        // Targets count as live only after their first health probes.
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

    async fn operator_call(
        &self,
        key: &str,
        action: &str,
        body: Vec<u8>,
    ) -> Result<(), Report<PathError>> {
        let client = Client::new(vec![self.instance], key).change_context(PathError::Start)?;
        let asked = client.operator(Method::POST, action, body).await;
        asked.map(drop).change_context(PathError::Start)
    }

    fn bundle(&self) -> Value {
        json!({
            "format": 1, "title": "path",
            "targets": [
                {"name": "engine-0", "kind": "engine", "address": self.engine_address,
                 "data_centre": "east", "slots": ENGINE_SLOTS, "fencing": "checked"},
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
                          "requests_per_s": UNLIMITED_RATE, "tokens_per_s": UNLIMITED_RATE}],
        })
    }
}

fn runtime(name: &str, worker_threads: usize) -> Result<Runtime, Report<PathError>> {
    Builder::new_multi_thread()
        .thread_name(name)
        .worker_threads(worker_threads)
        .enable_all()
        .build()
        .change_context(PathError::Start)
}

fn invalid(faults: Vec<ValidationError>) -> Report<PathError> {
    Report::new(PathError::Start).attach(format!("{faults:?}"))
}

async fn wait_for(mut condition: impl AsyncFnMut() -> bool) -> Result<(), Report<PathError>> {
    let until = Instant::now() + START_TIMEOUT;
    while !condition().await {
        if Instant::now() > until {
            return Err(Report::new(PathError::Start));
        }
        time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Returns two free ports below the ephemeral range, from which the system assigns ports.
fn free_ports() -> Result<[u16; 2], Report<PathError>> {
    let is_free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    let mut ports = (16_000..21_000).filter(is_free);
    let found = ports.next().zip(ports.next());
    let (port, peer_port) = found.ok_or_else(|| Report::new(PathError::Start))?;
    Ok([port, peer_port])
}

fn listed_instance(port: u16, peer_port: u16) -> ListedInstance {
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
    Settings::parse(&settings.to_string()).map_err(invalid)
}
