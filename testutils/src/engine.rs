//! A stand-in for an engine, which generates tokens on request.

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
    stream::{Stream, StreamItem},
    token_sequence::{self, SequenceInputs, TokenSequence},
};

/// The lengths of the prompt prefixes that the cache events report, in bytes.
const CACHED_PREFIX_BYTES: [usize; 3] = [512, 2048, 8192];

/// The settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The model versions that are loaded at the start.
    pub versions: Vec<VersionName>,
    /// The time to generate one token.
    pub token_interval: Duration,
    /// The time to process one token of the prompt or of the prefix given in the request. A word
    /// of the prompt counts as one token.
    pub prefill_per_token: Duration,
    /// The maximum number of concurrent streams. Further ones are refused.
    pub slots: usize,
    /// Whether to refuse orders whose fencing number is lower than that of the last accepted order.
    pub checks_fencing: bool,
}

/// A stand-in engine. Clones share its state.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

struct Shared {
    settings: EngineSettings,
    state: Mutex<State>,
    paused: watch::Sender<bool>,
    /// The number of times that the fault `silent` was set. A connection that began to read a
    /// stream at a lower number sends nothing more.
    silence_epoch: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    versions: BTreeSet<VersionName>,
    streams: HashMap<(RequestKey, Attempt), Arc<Stream>>,
    fail_generations: bool,
    extra_token_time: Duration,
    leaving: bool,
    bad_version: Option<BadVersion>,
    last_fencing: FencingNumber,
    orders: Vec<OrderRequest>,
    starts: Vec<SmolStr>,
    /// The sum of the failure percentages of the requests since the last failure. At 100, the next
    /// failure is due.
    failure_percent_sum: u32,
    cache_events: Vec<CacheEvent>,
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

impl State {
    /// Records cache events for the prefixes of a prompt, as an engine with a prefix cache does.
    fn cache_prefixes(&mut self, prompt: &str) {
        for length in CACHED_PREFIX_BYTES {
            let Some(prefix) = prompt.as_bytes().get(..length) else {
                continue;
            };
            let prefix = rapidhash_v3(prefix);
            if self.cache_events.iter().all(|event| event.prefix != prefix) {
                self.cache_events.push(CacheEvent {
                    sequence: self.cache_events.len() as u64 + 1,
                    kind: "stored",
                    prefix,
                });
            }
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
struct GenerateRequest {
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
    #[expect(dead_code, reason = "the stand-in treats all priorities alike")]
    priority: Priority,
}

/// An order as received by an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The fencing number of the instance that sent the order.
    pub fencing: FencingNumber,
    /// The requested change.
    pub order: Order,
}

/// The change that an order requests.
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
    /// Change the role of the engine. The stand-in records the order and does nothing else.
    Role {
        /// The role.
        role: SmolStr,
    },
}

#[derive(Serialize)]
struct TokenEvent {
    request: RequestKey,
    attempt: Attempt,
    version: VersionName,
    position: Position,
    token: TokenId,
    text: String,
}

#[derive(Serialize)]
struct EndEvent {
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

/// What an engine has done, as returned by `GET /_log`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineLog {
    /// The request key and attempt of each generation that was started, as `key/attempt`.
    pub starts: Vec<SmolStr>,
    /// The orders that were accepted.
    pub orders: Vec<OrderRequest>,
    /// The number of tokens generated in all streams. Of streams with the same request key and
    /// attempt, only the last one counts.
    pub tokens: usize,
}

struct StreamReader {
    engine: Engine,
    stream: Arc<Stream>,
    request: RequestKey,
    attempt: Attempt,
    position: u32,
    silence_epoch: u64,
    is_finished: bool,
}

impl Engine {
    /// Creates an engine.
    pub fn new(settings: EngineSettings) -> Self {
        let state = State {
            versions: settings.versions.iter().cloned().collect(),
            ..State::default()
        };
        let shared = Shared {
            settings,
            state: Mutex::new(state),
            paused: watch::Sender::new(false),
            silence_epoch: watch::Sender::new(0),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Starts serving on `address`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let engine = self.clone();
        let handle = move |request| {
            let engine = engine.clone();
            async move { engine.handle_request(request).await }
        };
        Server::start(address, handle).await
    }

    /// Changes the faults that the engine simulates.
    pub fn set_faults(&self, change: EngineFault) {
        if let Some(paused) = change.paused {
            self.shared.paused.send_replace(paused);
        }
        if change.silent == Some(true) {
            self.shared.silence_epoch.send_modify(|epoch| *epoch += 1);
        }
        let mut state = self.lock();
        if let Some(fail) = change.fail {
            state.fail_generations = fail;
        }
        if let Some(slow) = change.slow_ms {
            state.extra_token_time = Duration::from_millis(slow);
        }
        if let Some(leaving) = change.leaving {
            state.leaving = leaving;
        }
        if change.bad.is_some() {
            state.bad_version = change.bad;
        }
    }

    /// Returns what the engine has done.
    pub fn log(&self) -> EngineLog {
        let state = self.lock();
        EngineLog {
            starts: state.starts.clone(),
            orders: state.orders.clone(),
            tokens: state
                .streams
                .values()
                .map(|stream| stream.token_count())
                .sum(),
        }
    }

    async fn handle_request(&self, request: Request<Bytes>) -> Reply {
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
        self.wait_while_paused().await;
        match path.as_str() {
            "/_log" => reply::json(StatusCode::OK, &self.log()),
            "/v1/health" => reply::json(StatusCode::OK, &self.health()),
            "/v1/load" => reply::json(StatusCode::OK, &self.load()),
            "/v1/cache" => reply::json(StatusCode::OK, &self.cache(request.uri().query())),
            "/v1/orders" => self.handle_order(request.body()),
            "/v1/generate" => self.handle_generate(request.body()),
            _ => match path.strip_prefix("/v1/streams/") {
                Some(path) => self.handle_stream(path, &request),
                None => reply::empty(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn wait_while_paused(&self) {
        let mut paused = self.shared.paused.subscribe();
        // The sender is part of `self`, so the wait cannot fail: it ends when the pause does.
        let _ = paused.wait_for(|paused| !paused).await;
    }

    fn health(&self) -> Health {
        let state = self.lock();
        Health {
            state: if state.leaving { "leaving" } else { "live" },
            versions: state.versions.iter().cloned().collect(),
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
        let state = self.lock();
        let events = state
            .cache_events
            .iter()
            .filter(|event| event.sequence > since);
        CacheEvents {
            events: events.cloned().collect(),
        }
    }

    fn handle_order(&self, body: &[u8]) -> Reply {
        let Ok(order) = serde_json::from_slice::<OrderRequest>(body) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        if self.shared.settings.checks_fencing && order.fencing < state.last_fencing {
            return reply::empty(StatusCode::CONFLICT);
        }
        state.last_fencing = order.fencing;
        match &order.order {
            Order::Load { version, .. } => {
                state.versions.insert(version.clone());
            }
            Order::Unload { version } => {
                state.versions.remove(version);
            }
            Order::Role { .. } => {}
        }
        state.orders.push(order);
        reply::empty(StatusCode::OK)
    }

    fn handle_generate(&self, body: &[u8]) -> Reply {
        let Ok(call) = serde_json::from_slice::<GenerateRequest>(body) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        if !state.versions.contains(&call.version) {
            return reply::empty(StatusCode::CONFLICT);
        }
        if state.fail_generations || should_fail(&mut state, &call.version) {
            return reply::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if running_streams(&state) >= self.shared.settings.slots {
            return reply::unavailable(1);
        }
        state.cache_prefixes(&call.prompt);
        let stream = Arc::new(Stream::new(call.version.clone(), call.prefix.len() as u32));
        let key = (call.request.clone(), call.attempt);
        state.streams.insert(key, stream.clone());
        state.starts.push(smol_str::format_smolstr!(
            "{}/{}",
            call.request,
            call.attempt
        ));
        drop(state);
        tokio::spawn(generate_tokens(self.clone(), call.clone(), stream.clone()));
        let first = stream.first_position();
        self.event_reply(stream, call.request, call.attempt, first)
    }

    fn handle_stream(&self, path: &str, request: &Request<Bytes>) -> Reply {
        let Some((name, attempt)) = path.rsplit_once('/') else {
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
        if from < stream.first_position() {
            return reply::empty(StatusCode::NOT_FOUND);
        }
        self.event_reply(stream, key.0, attempt, from)
    }

    fn event_reply(
        &self,
        stream: Arc<Stream>,
        request: RequestKey,
        attempt: Attempt,
        position: u32,
    ) -> Reply {
        let reader = StreamReader {
            engine: self.clone(),
            stream,
            request,
            attempt,
            position,
            silence_epoch: *self.shared.silence_epoch.borrow(),
            is_finished: false,
        };
        let events = stream::unfold(reader, StreamReader::next_event);
        reply::events(events)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamReader {
    async fn next_event(mut self) -> Option<(String, Self)> {
        if self.is_finished {
            return None;
        }
        let item = self.stream.wait_for_item(self.position).await;
        self.engine.wait_while_paused().await;
        if *self.engine.shared.silence_epoch.borrow() != self.silence_epoch {
            // The fault `silent` was set after this connection began to read. The connection stays
            // open and sends nothing more.
            std::future::pending::<()>().await;
        }
        let data = match item {
            StreamItem::Token(token) => self.token_event(token),
            StreamItem::End(length) => self.end_event(length),
            StreamItem::Cancelled => return None,
        };
        Some((data, self))
    }

    fn token_event(&mut self, token: TokenId) -> String {
        let position = Position(self.position);
        self.position += 1;
        let event = TokenEvent {
            request: self.request.clone(),
            attempt: self.attempt,
            version: self.stream.version().clone(),
            position,
            token,
            text: token_sequence::token_text(token),
        };
        serde_json::to_string(&event).unwrap_or_default()
    }

    fn end_event(&mut self, length: u32) -> String {
        self.is_finished = true;
        let event = EndEvent {
            request: self.request.clone(),
            attempt: self.attempt,
            done: true,
            length,
            reason: "length",
        };
        serde_json::to_string(&event).unwrap_or_default()
    }
}

async fn generate_tokens(engine: Engine, call: GenerateRequest, stream: Arc<Stream>) {
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
    let prompt_tokens = call.prompt.split_whitespace().count() + call.prefix.len();
    time::sleep(engine.shared.settings.prefill_per_token * prompt_tokens as u32).await;
    for _ in call.prefix.len() as u32..call.max_tokens {
        time::sleep(token_interval(&engine, &call.version)).await;
        engine.wait_while_paused().await;
        if !stream.push(sequence.next_token()) {
            return;
        }
    }
    stream.end();
}

fn token_interval(engine: &Engine, version: &VersionName) -> Duration {
    let state = engine.lock();
    let bad = state
        .bad_version
        .as_ref()
        .filter(|bad| bad.version == *version);
    let extra_ms = bad.map_or(0, |bad| bad.slow_ms);
    engine.shared.settings.token_interval + state.extra_token_time + Duration::from_millis(extra_ms)
}

fn should_fail(state: &mut State, version: &VersionName) -> bool {
    let percent = match &state.bad_version {
        Some(bad) if bad.version == *version => bad.fail_percent,
        _ => return false,
    };
    // Failures are spread evenly rather than at random, so that runs are repeatable.
    state.failure_percent_sum += percent;
    let fails = state.failure_percent_sum >= 100;
    state.failure_percent_sum %= 100;
    fails
}

fn running_streams(state: &State) -> usize {
    state
        .streams
        .values()
        .filter(|stream| stream.is_running())
        .count()
}
