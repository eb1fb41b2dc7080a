//! Instances on loopback with stand-ins for the platform and the targets.
//!
//! Each instance runs in its own Tokio runtime; shutting the runtime down simulates the kill of a
//! process.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use celerypond_bundle::{Bundle, Settings};
use celerypond_cli::{Client, CompletionRequest, ServiceCall, Token};
use celerypond_daemon::{
    active_bundle::ActiveBundle, node::Node, server, target_watch::TargetEvent,
};
use celerypond_rollout::BundleHeader;
use celerypond_standins::loopback::unused_address;
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
const SUBMITTER_KEY: &str = "aigul-key";
const APPROVER_KEY: &str = "marat-key";
const DATA_CENTRES: [&str; 3] = ["east", "west", "north"];
/// How long [`wait_until`] and requests of [`completion_request`] wait.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The addresses on which an instance listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InstanceAddresses {
    callers: SocketAddr,
    peers: SocketAddr,
}

impl InstanceAddresses {
    pub(crate) fn new() -> Self {
        Self {
            callers: unused_address(),
            peers: unused_address(),
        }
    }
}

/// An instance in its own runtime.
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    settings: Settings,
    runtime: Option<Runtime>,
    stop_sender: mpsc::Sender<()>,
    run_task: Option<tokio::task::JoinHandle<()>>,
}

/// The stand-in of a target and its HTTP server, which is dropped to simulate a crash.
pub(crate) struct Target<T> {
    pub(crate) stand_in: T,
    pub(crate) server: Option<Server>,
}

/// Three instances with stand-ins for the platform, three engines and a plain service.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    _platform_server: Server,
    pub(crate) engines: Vec<Target<Engine>>,
    pub(crate) service: Target<Service>,
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
        let (stop_sender, stop_receiver) = mpsc::channel(2);
        let run = server::run(settings.clone(), stop_receiver);
        let run_task = runtime.spawn(async move { run.await.unwrap() });
        Self {
            address: settings.address,
            settings,
            runtime: Some(runtime),
            stop_sender,
            run_task: Some(run_task),
        }
    }

    /// Stops the instance without a drain and drops all its connections.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Starts the instance again at the same addresses, without any state from before.
    pub(crate) fn restart(&mut self) {
        self.kill();
        let settings = self.settings.clone();
        wait_until_free(settings.address);
        wait_until_free(settings.peer_address);
        *self = Self::start(settings);
    }

    /// Requests a planned stop.
    pub(crate) async fn stop(&self) {
        self.stop_sender.send(()).await.unwrap();
    }

    /// Waits until a planned stop is complete.
    pub(crate) async fn wait_stopped(&mut self) {
        self.run_task.take().unwrap().await.unwrap();
    }
}

impl Fleet {
    /// Starts three instances and three engines that have loaded `v1`, and activates the bundle of
    /// [`Self::bundle`] as revision 1.
    pub(crate) async fn start(token_interval: Duration) -> Self {
        let fleet = Self::without_bundle(token_interval).await;
        let digest = fleet.submit_and_approve(&fleet.bundle()).await;
        fleet.roll(digest).await;
        fleet.await_revision(1).await;
        fleet
    }

    async fn without_bundle(token_interval: Duration) -> Self {
        let addresses = [(); 3].map(|()| InstanceAddresses::new());
        let listing = InstanceList {
            instances: (0..3).map(|i| listed_instance(i, addresses[i])).collect(),
            targets: Vec::new(),
        };
        let platform = Platform::new(listing, Duration::ZERO);
        let platform_server = platform.serve(unused_address()).await.unwrap();
        let mut engines = Vec::new();
        for _ in 0..3 {
            let stand_in = Engine::new(EngineSettings {
                versions: vec!["v1".into()],
                token_interval,
                prefill_per_token: Duration::ZERO,
                slots: 256,
                checks_fencing: true,
            });
            let server = Some(stand_in.serve(unused_address()).await.unwrap());
            engines.push(Target { stand_in, server });
        }
        let service = Service::default();
        let server = Some(service.serve(unused_address()).await.unwrap());
        let service = Target {
            stand_in: service,
            server,
        };
        let instances = (0..3)
            .map(|i| settings(i, addresses[i], platform_server.address))
            .map(Instance::start)
            .collect();
        let fleet = Self {
            platform,
            _platform_server: platform_server,
            engines,
            service,
            instances,
        };
        fleet.wait_until_reachable("/v1/health").await;
        fleet
    }

    /// Returns the bundle that is active as revision 1.
    pub(crate) fn bundle(&self) -> Value {
        let engine = |(i, engine): (usize, &Target<Engine>)| {
            let address = engine.server.as_ref().unwrap().address;
            json!({"name": format!("engine-{i}"), "kind": "engine", "address": address,
                   "data_centre": DATA_CENTRES[i], "slots": 256, "fencing": "checked"})
        };
        let mut targets: Vec<Value> = self.engines.iter().enumerate().map(engine).collect();
        let service_address = self.service.server.as_ref().unwrap().address;
        targets.push(
            json!({"name": "desk-0", "kind": "service", "address": service_address,
                            "data_centre": "east"}),
        );
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

    /// Submits a bundle as one operator and approves it as another.
    pub(crate) async fn submit_and_approve(&self, bundle: &Value) -> Digest {
        let bundle = Bundle::parse(&bundle.to_string()).unwrap();
        let text = serde_json::to_vec(&bundle).unwrap();
        let submitter = self.client(SUBMITTER_KEY);
        submitter
            .operator(Method::POST, "submit", text)
            .await
            .unwrap();
        let digest = bundle.digest();
        let body = json!({ "digest": digest }).to_string();
        let approver = self.client(APPROVER_KEY);
        approver
            .operator(Method::POST, "approve", body)
            .await
            .unwrap();
        digest
    }

    /// Rolls an approved bundle and returns the reply to the operator.
    pub(crate) async fn roll(&self, digest: Digest) -> Value {
        let body = json!({ "digest": digest }).to_string();
        let approver = self.client(APPROVER_KEY);
        approver.operator(Method::POST, "roll", body).await.unwrap()
    }

    /// Returns a client with the addresses of all instances.
    pub(crate) fn client(&self, key: &str) -> Client {
        let known = self.instances.iter().map(|instance| instance.address);
        Client::new(known.collect(), key).unwrap()
    }

    /// Returns the status that one instance reports to operators.
    pub(crate) async fn status(&self, instance: usize) -> Option<Value> {
        let known = vec![self.instances[instance].address];
        let client = Client::new(known, SUBMITTER_KEY).unwrap();
        client.operator(Method::GET, "status", "").await.ok()
    }

    /// Waits until every instance has activated this revision or a later one.
    pub(crate) async fn await_revision(&self, revision: u64) {
        for instance in 0..self.instances.len() {
            let mut seen = Value::Null;
            wait_until(async || {
                seen = self.status(instance).await.unwrap_or_default();
                seen["revision"].as_u64() >= Some(revision)
            })
            .await;
        }
    }

    /// Returns how many generations all engines together have started.
    pub(crate) fn generation_starts(&self) -> usize {
        let engines = self.engines.iter();
        engines.map(|it| it.stand_in.log().starts.len()).sum()
    }

    async fn wait_until_reachable(&self, path: &str) {
        for instance in &self.instances {
            wait_until(async || get(instance.address, path).await.is_some()).await;
        }
    }
}

/// Returns the state of an instance outside any fleet, with an active bundle, and the receiver of its
/// target events.
///
/// Background tasks of the instance are not started.
pub(crate) fn standalone_node(bundle: &Value) -> (Arc<Node>, mpsc::Receiver<TargetEvent>) {
    let (events, target_events) = mpsc::channel(1024);
    let settings = settings(0, InstanceAddresses::new(), unused_address());
    let node = Node::new(settings, Metrics::local(), events);
    let bundle = Bundle::parse(&bundle.to_string()).unwrap();
    let header = BundleHeader {
        revision: Revision(1),
        digest: bundle.digest(),
        parts: BTreeMap::new(),
    };
    node.activate_bundle(ActiveBundle::new(header, Arc::new(bundle)));
    (node, target_events)
}

/// Polls a condition until it holds; fails the test after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < until,
            "the condition did not hold within {WAIT_TIMEOUT:?}"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a GET request and returns the status and the JSON body of the reply.
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

/// Returns the tokens that an engine generates for a prompt with `version`.
pub(crate) fn expected_tokens(version: &str, prompt: &str, seed: u64, count: usize) -> Vec<u32> {
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

/// Returns an idempotent call to the plain service `desk`.
pub(crate) fn stock_query() -> ServiceCall {
    ServiceCall {
        service: "desk".into(),
        method: "GET".into(),
        path: "/stock".into(),
        body: "".into(),
        key: None,
    }
}

/// Returns a completion request for the model `drafts`.
pub(crate) fn completion_request(text: &str, seed: u64, tokens: u32) -> CompletionRequest {
    CompletionRequest {
        model: "drafts".into(),
        prompt: text.into(),
        max_tokens: tokens,
        seed: Some(seed),
        adapter: None,
        key: None,
        timeout: WAIT_TIMEOUT,
    }
}

/// Sends a completion request and returns all tokens of the answer.
///
/// Calls `on_token` after each token with the number of tokens received so far.
pub(crate) async fn receive_tokens(
    client: &Client,
    request: CompletionRequest,
    mut on_token: impl FnMut(usize),
) -> Result<Vec<u32>, String> {
    let mut answer = client.generate(request).await;
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
                on_token(tokens.len());
            }
            Err(Ok(_)) => return Ok(tokens),
            Err(Err(report)) => return Err(report.current_context().to_string()),
        }
    }
}

/// Waits until the runtime of a killed instance has closed its listener.
///
/// `shutdown_background` returns before that.
fn wait_until_free(address: SocketAddr) {
    let until = std::time::Instant::now() + WAIT_TIMEOUT;
    while TcpListener::bind(address).is_err() {
        assert!(
            std::time::Instant::now() < until,
            "{address} is still in use"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn listed_instance(i: usize, addresses: InstanceAddresses) -> ListedInstance {
    ListedInstance {
        name: format!("entry-{i}"),
        address: addresses.callers.to_string(),
        peer_address: addresses.peers.to_string(),
        data_centre: DATA_CENTRES[i].into(),
        state: "live".into(),
    }
}

pub(crate) fn settings(i: usize, addresses: InstanceAddresses, platform: SocketAddr) -> Settings {
    let settings = json!({
        "instance": format!("entry-{i}"), "data_centre": DATA_CENTRES[i],
        "address": addresses.callers, "peer_address": addresses.peers,
        "platform": [platform], "fleet_key": Digest::of(b"fleet"),
        "operators": [{"name": "aigul", "key_digest": Digest::of(SUBMITTER_KEY.as_bytes())},
                      {"name": "marat", "key_digest": Digest::of(APPROVER_KEY.as_bytes())}],
    });
    Settings::parse(&settings.to_string()).unwrap()
}
