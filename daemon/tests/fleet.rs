//! Stand-ins and instances on loopback; each instance has a runtime of its own, so that it can be
//! killed as a process is.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicU16, Ordering::Relaxed},
        Arc,
    },
    time::Duration,
};

use celerypond_bundle::{Bundle, Settings};
use celerypond_cli::{Client, CompletionRequest, ServiceCall, Token};
use celerypond_daemon::{
    active_bundle::ActiveBundle, node::Node, server, target_watch::TargetEvent,
};
use celerypond_rollout::BundleHeader;
use celerypond_telemetry::Metrics;
use celerypond_testutils::{
    engine::{Engine, EngineSettings},
    instances::{InstanceList, ListedInstance},
    platform::Platform,
    server::Server,
    service::Service,
    token_sequence::{SequenceInputs, TokenSequence},
};
use celerypond_types::{Digest, Revision};
use http::Method;
use serde_json::{json, Value};
use tokio::{
    runtime::Runtime,
    sync::mpsc,
    time::{self, Instant},
};

pub(crate) const ACCOUNT_KEY: &str = "showroom-key";
const SUBMITTER: &str = "aigul-key";
const APPROVER: &str = "marat-key";
const CENTRES: [&str; 3] = ["east", "west", "north"];
/// How long anything may take that is waited for.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// An instance and its runtime.
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    settings: Settings,
    runtime: Option<Runtime>,
    stops: mpsc::Sender<()>,
    ended: Option<tokio::task::JoinHandle<()>>,
}

/// An engine and where it serves.
pub(crate) struct Target<T> {
    pub(crate) stand_in: T,
    pub(crate) server: Option<Server>,
}

/// Stand-ins and instances.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    _platform_server: Server,
    pub(crate) engines: Vec<Target<Engine>>,
    pub(crate) desk: Target<Service>,
    pub(crate) instances: Vec<Instance>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Instance {
    fn start(settings: Settings) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let (stops, stopped) = mpsc::channel(2);
        let run = server::run(settings.clone(), stopped);
        let ended = runtime.spawn(async move { run.await.unwrap() });
        Self {
            address: settings.address,
            settings,
            runtime: Some(runtime),
            stops,
            ended: Some(ended),
        }
    }

    /// Ends the instance at once, with all its connections.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Starts the instance again; it has kept nothing.
    pub(crate) fn restart(&mut self) {
        self.kill();
        let settings = self.settings.clone();
        await_free(settings.address);
        await_free(settings.peer_address);
        *self = Self::start(settings);
    }

    /// Asks for a planned stop.
    pub(crate) async fn stop(&self) {
        self.stops.send(()).await.unwrap();
    }

    /// Waits until a planned stop is complete.
    pub(crate) async fn ended(&mut self) {
        self.ended.take().unwrap().await.unwrap();
    }
}

impl Fleet {
    /// Starts three instances before three engines that have `v1`, with the first bundle in force.
    pub(crate) async fn start(gap: Duration) -> Self {
        let fleet = Self::without_bundle(gap).await;
        let digest = fleet.sign(&fleet.bundle()).await;
        fleet.roll(digest).await;
        fleet.await_revision(1).await;
        fleet
    }

    async fn without_bundle(gap: Duration) -> Self {
        let ports = free_ports(6);
        let listing = InstanceList {
            instances: (0..3)
                .map(|i| listed(i, ports[2 * i], ports[2 * i + 1]))
                .collect(),
            targets: Vec::new(),
        };
        let platform = Platform::new(listing, Duration::ZERO);
        let platform_server = platform.serve(any()).await.unwrap();
        let mut engines = Vec::new();
        for _ in 0..3 {
            let stand_in = Engine::new(EngineSettings {
                versions: vec!["v1".into()],
                token_interval: gap,
                prefill_per_token: Duration::ZERO,
                slots: 256,
                checks_fencing: true,
            });
            let server = Some(stand_in.serve(any()).await.unwrap());
            engines.push(Target { stand_in, server });
        }
        let desk = Service::default();
        let server = Some(desk.serve(any()).await.unwrap());
        let desk = Target {
            stand_in: desk,
            server,
        };
        let instances = (0..3)
            .map(|i| settings(i, ports[2 * i], ports[2 * i + 1], platform_server.address))
            .map(Instance::start)
            .collect();
        let fleet = Self {
            platform,
            _platform_server: platform_server,
            engines,
            desk,
            instances,
        };
        fleet.await_all("/v1/health").await;
        fleet
    }

    /// Returns the first bundle.
    pub(crate) fn bundle(&self) -> Value {
        let engine = |(i, engine): (usize, &Target<Engine>)| {
            let address = engine.server.as_ref().unwrap().address;
            json!({"name": format!("engine-{i}"), "kind": "engine", "address": address,
                   "data_centre": CENTRES[i], "slots": 256, "fencing": "checked"})
        };
        let mut targets: Vec<Value> = self.engines.iter().enumerate().map(engine).collect();
        let desk = self.desk.server.as_ref().unwrap().address;
        targets.push(json!({"name": "desk-0", "kind": "service", "address": desk,
                            "data_centre": "east"}));
        json!({
            "format": 1, "title": "test", "targets": targets,
            "models": [{
                "name": "drafts", "base": "v1", "deadline_ms": 10_000, "complete_within_s": 30,
                "versions": [{"name": "v1", "weights": "drafts/v1",
                              "targets": ["engine-0", "engine-1", "engine-2"]}],
            }],
            "services": [{
                "name": "desk", "targets": ["desk-0"], "deadline_ms": 2_000,
                "calls": [{"method": "POST", "path": "/holds", "idempotent": false}],
            }],
            "accounts": [{"name": "showroom", "key_digest": Digest::of(ACCOUNT_KEY.as_bytes()),
                          "requests_per_s": 10_000, "tokens_per_s": 10_000_000}],
        })
    }

    /// Submits and approves a bundle.
    pub(crate) async fn sign(&self, bundle: &Value) -> Digest {
        let bundle = Bundle::parse(&bundle.to_string()).unwrap();
        let text = serde_json::to_vec(&bundle).unwrap();
        let submitter = self.client(SUBMITTER);
        submitter
            .operator(Method::POST, "submit", text)
            .await
            .unwrap();
        let digest = bundle.digest();
        let body = json!({ "digest": digest }).to_string();
        let approver = self.client(APPROVER);
        approver
            .operator(Method::POST, "approve", body)
            .await
            .unwrap();
        digest
    }

    /// Puts an approved bundle in force.
    pub(crate) async fn roll(&self, digest: Digest) -> Value {
        let body = json!({ "digest": digest }).to_string();
        let approver = self.client(APPROVER);
        approver.operator(Method::POST, "roll", body).await.unwrap()
    }

    /// Returns a client that knows all instances.
    pub(crate) fn client(&self, key: &str) -> Client {
        let known = self.instances.iter().map(|instance| instance.address);
        Client::new(known.collect(), key).unwrap()
    }

    /// Returns what an operator is told at one instance.
    pub(crate) async fn status(&self, instance: usize) -> Option<Value> {
        let known = vec![self.instances[instance].address];
        let client = Client::new(known, SUBMITTER).unwrap();
        client.operator(Method::GET, "status", "").await.ok()
    }

    /// Waits until a revision is in force at all instances.
    pub(crate) async fn await_revision(&self, revision: u64) {
        for instance in 0..self.instances.len() {
            let mut seen = Value::Null;
            wait_for(async || {
                seen = self.status(instance).await.unwrap_or_default();
                seen["revision"].as_u64() >= Some(revision)
            })
            .await;
        }
    }

    /// Returns how many generations the engines have started.
    pub(crate) fn starts(&self) -> usize {
        let engines = self.engines.iter();
        engines.map(|it| it.stand_in.log().starts.len()).sum()
    }

    async fn await_all(&self, path: &str) {
        for instance in &self.instances {
            wait_for(async || get(instance.address, path).await.is_some()).await;
        }
    }
}

/// Returns the state of an instance that nobody else knows, with a bundle in force, and what it is
/// told of targets. Its tasks are not started.
pub(crate) fn lone(bundle: &Value) -> (Arc<Node>, mpsc::Receiver<TargetEvent>) {
    let (events, told) = mpsc::channel(1024);
    let settings = settings(0, 20_001, 20_002, "127.0.0.1:1".parse().unwrap());
    let node = Node::new(settings, Metrics::local(), events);
    let bundle = Bundle::parse(&bundle.to_string()).unwrap();
    let headline = BundleHeader {
        revision: Revision(1),
        digest: bundle.digest(),
        parts: BTreeMap::new(),
    };
    node.activate_bundle(ActiveBundle::new(headline, Arc::new(bundle)));
    (node, told)
}

/// Waits until something holds, and fails the test if it does not in time.
pub(crate) async fn wait_for(mut holds: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < until, "it does not come about in time");
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Reads a small answer.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<(u16, Value)> {
    let (status, body) =
        celerypond_daemon::engine::short_call(address, Method::GET, path, Vec::new())
            .await
            .ok()?;
    Some((
        status.as_u16(),
        serde_json::from_slice(&body).unwrap_or_default(),
    ))
}

/// Returns the tokens that an engine of `version` gives for a prompt.
pub(crate) fn reference(version: &str, prompt: &str, seed: u64, count: usize) -> Vec<u32> {
    let inputs = SequenceInputs {
        model: "drafts",
        version,
        adapter: "",
        prompt,
        seed,
    };
    let tokens = TokenSequence::new(&inputs).take(count);
    tokens.into_iter().map(|token| token.0).collect()
}

/// Returns an idempotent call to the plain service.
pub(crate) fn stock() -> ServiceCall {
    ServiceCall {
        service: "desk".into(),
        method: "GET".into(),
        path: "/stock".into(),
        body: "".into(),
        key: None,
    }
}

/// Returns a request for tokens.
pub(crate) fn prompt(text: &str, seed: u64, tokens: u32) -> CompletionRequest {
    CompletionRequest {
        model: "drafts".into(),
        prompt: text.into(),
        max_tokens: tokens,
        seed: Some(seed),
        adapter: None,
        key: None,
        timeout: PATIENCE,
    }
}

/// Receives an answer to its end, calling `at` with the number of tokens so far.
pub(crate) async fn receive(
    client: &Client,
    prompt: CompletionRequest,
    mut at: impl FnMut(usize),
) -> Result<Vec<u32>, String> {
    let mut answer = client.generate(prompt).await;
    let mut tokens = Vec::new();
    loop {
        match answer.next().await {
            Ok(Token {
                position, token, ..
            }) => {
                assert_eq!(
                    position as usize,
                    tokens.len(),
                    "a token is missing or repeated"
                );
                tokens.push(token);
                at(tokens.len());
            }
            Err(Ok(_)) => return Ok(tokens),
            Err(Err(report)) => return Err(report.current_context().to_string()),
        }
    }
}

/// Returns ports that no other test of this binary gets.
///
/// They lie below those that the system gives to connections and to listeners on port 0, which
/// could otherwise take a port between this check and the start of the instance.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(21_000);

    let mut ports = Vec::new();
    while ports.len() < count {
        let port = NEXT.fetch_add(1, Relaxed);
        assert!(port < 32_000, "no port is free");
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            ports.push(port);
        }
    }
    ports
}

/// Waits until the runtime of a killed instance has closed a listener, which it does a little later.
fn await_free(address: SocketAddr) {
    let until = std::time::Instant::now() + PATIENCE;
    while TcpListener::bind(address).is_err() {
        assert!(std::time::Instant::now() < until, "{address} stays in use");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn listed(i: usize, port: u16, peer_port: u16) -> ListedInstance {
    ListedInstance {
        name: format!("entry-{i}"),
        address: format!("127.0.0.1:{port}"),
        peer_address: format!("127.0.0.1:{peer_port}"),
        data_centre: CENTRES[i].into(),
        state: "live".into(),
    }
}

pub(crate) fn settings(i: usize, port: u16, peer_port: u16, platform: SocketAddr) -> Settings {
    let settings = json!({
        "instance": format!("entry-{i}"), "data_centre": CENTRES[i],
        "address": format!("127.0.0.1:{port}"), "peer_address": format!("127.0.0.1:{peer_port}"),
        "platform": [platform], "fleet_key": Digest::of(b"fleet"),
        "operators": [{"name": "aigul", "key_digest": Digest::of(SUBMITTER.as_bytes())},
                      {"name": "marat", "key_digest": Digest::of(APPROVER.as_bytes())}],
    });
    Settings::parse(&settings.to_string()).unwrap()
}
