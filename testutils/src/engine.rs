//! The stand-in engine.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use celerypond_types::{
    AdapterName, Attempt, FencingNumber, ModelName, Position, Priority, RequestKey, TokenId,
    VersionName,
};
use futures::stream;
use http::{Method, Request, StatusCode};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::{sync::watch, time};

use crate::{
    fault::{BadVersion, EngineFault},
    reply::{self, Reply},
    server::Server,
    stream::{Next, Stream},
    token_sequence::{self, SequenceInputs, TokenSequence},
};

/// The lengths of the prompt beginnings that the cache tells of, in bytes.
const PREFIXES: [usize; 3] = [512, 2048, 8192];

/// What an engine is and how fast.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The versions that are loaded at the start.
    pub versions: Vec<VersionName>,
    /// The time between tokens.
    pub token_interval: Duration,
    /// The time to read one token of the prompt or prefix.
    pub prefill_per_token: Duration,
    /// How many streams run at once; more are refused.
    pub slots: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

/// The state of the stand-in engine, shared by its connections.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

struct Shared {
    settings: EngineSettings,
    inner: Mutex<Inner>,
    paused: watch::Sender<bool>,
    epoch: watch::Sender<u64>,
}

#[derive(Default)]
struct Inner {
    versions: BTreeSet<VersionName>,
    streams: HashMap<(RequestKey, Attempt), Arc<Stream>>,
    fail: bool,
    slow: Duration,
    leaving: bool,
    bad: Option<BadVersion>,
    fencing: FencingNumber,
    orders: Vec<OrderRequest>,
    starts: Vec<SmolStr>,
    failures: u32,
    cached: Vec<CacheEvent>,
}

#[derive(Clone, Debug, Serialize)]
struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    prefix: u64,
}

#[derive(Serialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

impl Inner {
    /// Remembers the beginnings of a prompt, as an engine's prefix cache does.
    fn remember(&mut self, prompt: &str) {
        for length in PREFIXES {
            let Some(prefix) = prompt.as_bytes().get(..length) else {
                continue;
            };
            let prefix = rapidhash_v3(prefix);
            if self.cached.iter().all(|event| event.prefix != prefix) {
                self.cached.push(CacheEvent {
                    sequence: self.cached.len() as u64 + 1,
                    kind: "stored",
                    prefix,
                });
            }
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
struct Generate {
    request: RequestKey,
    attempt: Attempt,
    model: ModelName,
    version: VersionName,
    adapter: Option<AdapterName>,
    prompt: String,
    #[serde(default)]
    prefix: Vec<TokenId>,
    max_tokens: u32,
    seed: u64,
    #[serde(default)]
    #[expect(dead_code, reason = "the stand-in serves all priorities alike")]
    priority: Priority,
}

/// An order as an engine received it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The order holder's number.
    pub fencing: FencingNumber,
    /// What to do.
    pub order: Order,
}

/// What an order asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a version.
    Load {
        /// The version.
        version: VersionName,
        /// The name of its weights in the weight store.
        weights: SmolStr,
    },
    /// Unload a version.
    Unload {
        /// The version.
        version: VersionName,
    },
    /// Change the role.
    Role {
        /// The role.
        role: SmolStr,
    },
}

#[derive(Serialize)]
struct Token {
    request: RequestKey,
    attempt: Attempt,
    version: VersionName,
    position: Position,
    token: TokenId,
    text: String,
}

#[derive(Serialize)]
struct Done {
    request: RequestKey,
    attempt: Attempt,
    done: bool,
    length: u32,
    reason: &'static str,
}

#[derive(Serialize)]
struct Health {
    state: &'static str,
    versions: Vec<VersionName>,
}

#[derive(Serialize)]
struct Load {
    running: usize,
    queued: usize,
    age_ms: u64,
}

/// What an engine has done, as `GET /_log` gives it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineLog {
    /// Request and attempt of each generation that was started.
    pub starts: Vec<SmolStr>,
    /// The orders that took effect.
    pub orders: Vec<OrderRequest>,
    /// Tokens generated in all streams still known.
    pub tokens: usize,
}

struct Reader {
    engine: Engine,
    stream: Arc<Stream>,
    request: RequestKey,
    attempt: Attempt,
    position: u32,
    epoch: u64,
    over: bool,
}

impl Engine {
    /// Makes an engine.
    pub fn new(settings: EngineSettings) -> Self {
        let inner = Inner {
            versions: settings.versions.iter().cloned().collect(),
            ..Inner::default()
        };
        let shared = Shared {
            settings,
            inner: Mutex::new(inner),
            paused: watch::Sender::new(false),
            epoch: watch::Sender::new(0),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Serves on an address.
    ///
    /// # Errors
    ///
    /// Gives the system's error when the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let engine = self.clone();
        let handle = move |request| {
            let engine = engine.clone();
            async move { engine.answer(request).await }
        };
        Server::start(address, handle).await
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: EngineFault) {
        if let Some(paused) = change.paused {
            self.shared.paused.send_replace(paused);
        }
        if change.silent == Some(true) {
            self.shared.epoch.send_modify(|epoch| *epoch += 1);
        }
        let mut inner = self.lock();
        if let Some(fail) = change.fail {
            inner.fail = fail;
        }
        if let Some(slow) = change.slow_ms {
            inner.slow = Duration::from_millis(slow);
        }
        if let Some(leaving) = change.leaving {
            inner.leaving = leaving;
        }
        if change.bad.is_some() {
            inner.bad = change.bad;
        }
    }

    /// Returns what the engine has done.
    pub fn log(&self) -> EngineLog {
        let inner = self.lock();
        EngineLog {
            starts: inner.starts.clone(),
            orders: inner.orders.clone(),
            tokens: inner
                .streams
                .values()
                .map(|stream| stream.generated())
                .sum(),
        }
    }

    async fn answer(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        if path == "/_fault" {
            return match serde_json::from_slice(request.body()) {
                Ok(change) => {
                    self.set_faults(change);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => reply::bytes(StatusCode::BAD_REQUEST, error.to_string()),
            };
        }
        self.running().await;
        match path.as_str() {
            "/_log" => reply::json(StatusCode::OK, &self.log()),
            "/v1/health" => reply::json(StatusCode::OK, &self.health()),
            "/v1/load" => reply::json(StatusCode::OK, &self.load()),
            "/v1/cache" => reply::json(StatusCode::OK, &self.cache(request.uri().query())),
            "/v1/orders" => self.order(request.body()),
            "/v1/generate" => self.generate(request.body()),
            _ => match path.strip_prefix("/v1/streams/") {
                Some(rest) => self.stream(rest, &request),
                None => reply::empty(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn running(&self) {
        let mut paused = self.shared.paused.subscribe();
        // The sender lives in `self`, so this only ends when the pause does.
        let _ = paused.wait_for(|paused| !paused).await;
    }

    fn health(&self) -> Health {
        let inner = self.lock();
        Health {
            state: if inner.leaving { "leaving" } else { "live" },
            versions: inner.versions.iter().cloned().collect(),
        }
    }

    fn load(&self) -> Load {
        Load {
            running: running_streams(&self.lock()),
            queued: 0,
            age_ms: 0,
        }
    }

    fn cache(&self, query: Option<&str>) -> CacheEvents {
        let since = query.and_then(|query| query.strip_prefix("since="));
        let since: u64 = since.and_then(|text| text.parse().ok()).unwrap_or(0);
        let inner = self.lock();
        let news = inner.cached.iter().filter(|event| event.sequence > since);
        CacheEvents {
            events: news.cloned().collect(),
        }
    }

    fn order(&self, body: &[u8]) -> Reply {
        let Ok(order) = serde_json::from_slice::<OrderRequest>(body) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let mut inner = self.lock();
        if self.shared.settings.checks_fencing && order.fencing < inner.fencing {
            return reply::empty(StatusCode::CONFLICT);
        }
        inner.fencing = order.fencing;
        match &order.order {
            Order::Load { version, .. } => {
                inner.versions.insert(version.clone());
            }
            Order::Unload { version } => {
                inner.versions.remove(version);
            }
            Order::Role { .. } => {}
        }
        inner.orders.push(order);
        reply::empty(StatusCode::OK)
    }

    fn generate(&self, body: &[u8]) -> Reply {
        let Ok(call) = serde_json::from_slice::<Generate>(body) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let mut inner = self.lock();
        if !inner.versions.contains(&call.version) {
            return reply::empty(StatusCode::CONFLICT);
        }
        if inner.fail || fails(&mut inner, &call.version) {
            return reply::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if running_streams(&inner) >= self.shared.settings.slots {
            return reply::unavailable(1);
        }
        inner.remember(&call.prompt);
        let stream = Arc::new(Stream::new(call.version.clone(), call.prefix.len() as u32));
        let key = (call.request.clone(), call.attempt);
        inner.streams.insert(key, stream.clone());
        inner.starts.push(smol_str::format_smolstr!(
            "{}/{}",
            call.request,
            call.attempt
        ));
        drop(inner);
        tokio::spawn(write(self.clone(), call.clone(), stream.clone()));
        let first = stream.first();
        self.read(stream, call.request, call.attempt, first)
    }

    fn stream(&self, rest: &str, request: &Request<Bytes>) -> Reply {
        let Some((name, attempt)) = rest.rsplit_once('/') else {
            return reply::empty(StatusCode::NOT_FOUND);
        };
        let attempt = Attempt(attempt.parse().unwrap_or(u32::MAX));
        let key = (RequestKey::new(name), attempt);
        let Some(stream) = self.lock().streams.get(&key).cloned() else {
            return reply::empty(StatusCode::NOT_FOUND);
        };
        if request.method() == Method::DELETE {
            stream.cancel();
            return reply::empty(StatusCode::NO_CONTENT);
        }
        let from = request
            .uri()
            .query()
            .and_then(|query| query.strip_prefix("from="))
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if from < stream.first() {
            return reply::empty(StatusCode::NOT_FOUND);
        }
        self.read(stream, key.0, attempt, from)
    }

    fn read(
        &self,
        stream: Arc<Stream>,
        request: RequestKey,
        attempt: Attempt,
        position: u32,
    ) -> Reply {
        let reader = Reader {
            engine: self.clone(),
            stream,
            request,
            attempt,
            position,
            epoch: *self.shared.epoch.borrow(),
            over: false,
        };
        let events = stream::unfold(reader, Reader::event);
        reply::events(events)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared
            .inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reader {
    async fn event(mut self) -> Option<(String, Self)> {
        if self.over {
            return None;
        }
        let next = self.stream.next(self.position).await;
        self.engine.running().await;
        if *self.engine.shared.epoch.borrow() != self.epoch {
            // The connection is lost track of: it stays open and says nothing more.
            std::future::pending::<()>().await;
        }
        let data = match next {
            Next::Token(token) => self.token(token),
            Next::End(length) => self.done(length),
            Next::Cancelled => return None,
        };
        Some((data, self))
    }

    fn token(&mut self, token: TokenId) -> String {
        let position = Position(self.position);
        self.position += 1;
        let event = Token {
            request: self.request.clone(),
            attempt: self.attempt,
            version: self.stream.version().clone(),
            position,
            token,
            text: token_sequence::token_text(token),
        };
        serde_json::to_string(&event).unwrap_or_default()
    }

    fn done(&mut self, length: u32) -> String {
        self.over = true;
        let event = Done {
            request: self.request.clone(),
            attempt: self.attempt,
            done: true,
            length,
            reason: "length",
        };
        serde_json::to_string(&event).unwrap_or_default()
    }
}

async fn write(engine: Engine, call: Generate, stream: Arc<Stream>) {
    let adapter = call.adapter.as_ref().map_or("", AdapterName::as_str);
    let mut sequence = TokenSequence::new(&SequenceInputs {
        model: call.model.as_str(),
        version: call.version.as_str(),
        adapter,
        prompt: &call.prompt,
        seed: call.seed,
    });
    call.prefix
        .iter()
        .for_each(|token| sequence.advance(*token));
    let words = call.prompt.split_whitespace().count() + call.prefix.len();
    time::sleep(engine.shared.settings.prefill_per_token * words as u32).await;
    for _ in call.prefix.len() as u32..call.max_tokens {
        time::sleep(token_interval(&engine, &call.version)).await;
        engine.running().await;
        if !stream.push(sequence.next_token()) {
            return;
        }
    }
    stream.end();
}

fn token_interval(engine: &Engine, version: &VersionName) -> Duration {
    let inner = engine.lock();
    let bad = inner.bad.as_ref().filter(|bad| bad.version == *version);
    let extra = bad.map_or(0, |bad| bad.slow_ms);
    engine.shared.settings.token_interval + inner.slow + Duration::from_millis(extra)
}

fn fails(inner: &mut Inner, version: &VersionName) -> bool {
    let percent = match &inner.bad {
        Some(bad) if bad.version == *version => bad.fail_percent,
        _ => return false,
    };
    // Spread evenly instead of by chance, so that a run repeats.
    inner.failures += percent;
    let fails = inner.failures >= 100;
    inner.failures %= 100;
    fails
}

fn running_streams(inner: &Inner) -> usize {
    inner
        .streams
        .values()
        .filter(|stream| stream.is_running())
        .count()
}
