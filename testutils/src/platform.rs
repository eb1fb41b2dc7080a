//! A stand-in for the platform: objects, the instance list and the weight store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{engine::general_purpose::STANDARD, Engine as _};
use bytes::Bytes;
use http::{header, HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use serde::Serialize;
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{
    fault::{self, PlatformFault},
    instances::{DelayedInstanceList, InstanceList},
    objects::{Condition, Object, ObjectStore, WriteError},
    reply::{self, Reply},
    server::Server,
};

const DEFAULT_PAGE_SIZE: usize = 1000;
const WEIGHTS_BYTES: usize = 1 << 16;
/// The minimum time between two reads of the weight store. Earlier reads are answered with 429.
const WEIGHT_READ_INTERVAL: Duration = Duration::from_millis(100);
/// How long a connection stays open whose reply is lost. Stands for never replying.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(3600);

/// A stand-in platform. Clones share its state.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    objects: ObjectStore,
    instances: DelayedInstanceList,
    down: bool,
    delay: Duration,
    replies_to_lose: u32,
    calls: u64,
    writes: u64,
    last_weight_read: Option<Instant>,
}

#[derive(Serialize)]
struct ListedObject<'a> {
    key: &'a str,
    version: u64,
    value: Option<String>,
}

#[derive(Serialize)]
struct ObjectList<'a> {
    revision: u64,
    objects: Vec<ListedObject<'a>>,
}

#[derive(Serialize)]
struct ChangeList<'a> {
    revision: u64,
    changes: Vec<ListedObject<'a>>,
}

#[derive(Serialize)]
struct CallCounts {
    calls: u64,
    writes: u64,
    revision: u64,
}

impl Platform {
    /// Creates a platform with an instance list. Changes to the list become visible after `lag`.
    pub fn new(list: InstanceList, lag: Duration) -> Self {
        let state = State {
            objects: ObjectStore::default(),
            instances: DelayedInstanceList::new(list, lag, Instant::now()),
            down: false,
            delay: Duration::ZERO,
            replies_to_lose: 0,
            calls: 0,
            writes: 0,
            last_weight_read: None,
        };
        let shared = Shared {
            state: Mutex::new(state),
            changed: Notify::new(),
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
        let platform = self.clone();
        let handle = move |request| {
            let platform = platform.clone();
            async move { platform.handle_request(request).await }
        };
        Server::start(address, handle).await
    }

    /// Changes the faults that the platform simulates.
    pub fn set_faults(&self, change: PlatformFault) {
        let mut state = self.lock();
        if let Some(down) = change.down {
            state.down = down;
        }
        if let Some(slow) = change.slow_ms {
            state.delay = Duration::from_millis(slow);
        }
        if let Some(lose) = change.lose_replies {
            state.replies_to_lose = lose;
        }
        if let Some(lag) = change.instance_lag_ms {
            state.instances.set_lag(Duration::from_millis(lag));
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Replaces the instance list. The new one becomes visible after the lag.
    pub fn set_instances(&self, list: InstanceList) {
        self.lock().instances.set(list, Instant::now());
    }

    async fn handle_request(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        if let Some(reply) = self.handle_control_request(&path, &request) {
            return reply;
        }
        let (down, delay) = self.record_call();
        time::sleep(delay).await;
        if down {
            return reply::unavailable(1);
        }
        if let Some(key) = path.strip_prefix("/v1/objects/") {
            return self.handle_object(key, &request).await;
        }
        match path.as_str() {
            "/v1/objects" => self.list_objects(request.uri()),
            "/v1/watch" => self.watch(request.uri()).await,
            "/v1/instances" => reply::json(
                StatusCode::OK,
                &self.lock().instances.visible(Instant::now()),
            ),
            _ if path.starts_with("/v1/weights/") => self.read_weights(),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn handle_control_request(&self, path: &str, request: &Request<Bytes>) -> Option<Reply> {
        match path {
            "/_fault" => Some(match serde_json::from_slice(request.body()) {
                Ok(change) => {
                    self.set_faults(change);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => reply::bytes(StatusCode::BAD_REQUEST, error.to_string()),
            }),
            "/_instances" => Some(match serde_json::from_slice(request.body()) {
                Ok(list) => {
                    self.set_instances(list);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => reply::bytes(StatusCode::BAD_REQUEST, error.to_string()),
            }),
            "/_log" => {
                let state = self.lock();
                let counts = CallCounts {
                    calls: state.calls,
                    writes: state.writes,
                    revision: state.objects.revision(),
                };
                Some(reply::json(StatusCode::OK, &counts))
            }
            _ => None,
        }
    }

    fn record_call(&self) -> (bool, Duration) {
        let mut state = self.lock();
        state.calls += 1;
        (state.down, state.delay)
    }

    async fn handle_object(&self, key: &str, request: &Request<Bytes>) -> Reply {
        if request.method() == Method::GET {
            return match self.lock().objects.get(key) {
                Some(object) => {
                    reply_with_etag(StatusCode::OK, object.version, object.value.clone())
                }
                None => reply::empty(StatusCode::NOT_FOUND),
            };
        }
        let (reply, lost) = self.write_object(key, request);
        if lost {
            // The write took effect, but the caller gets no reply.
            time::sleep(LOST_REPLY_DELAY).await;
        }
        reply
    }

    fn write_object(&self, key: &str, request: &Request<Bytes>) -> (Reply, bool) {
        let Some(condition) = parse_condition(request.headers()) else {
            return (reply::empty(StatusCode::PRECONDITION_REQUIRED), false);
        };
        let mut state = self.lock();
        state.writes += 1;
        let result = match (request.method(), condition) {
            (&Method::PUT, condition) => state
                .objects
                .put(key, request.body().clone(), condition)
                .map(|version| reply_with_etag(StatusCode::OK, version, Bytes::new())),
            (&Method::DELETE, Condition::Version(version)) => state
                .objects
                .delete(key, version)
                .map(|()| reply::empty(StatusCode::NO_CONTENT)),
            _ => return (reply::empty(StatusCode::METHOD_NOT_ALLOWED), false),
        };
        let lost = result.is_ok() && fault::consume(&mut state.replies_to_lose);
        drop(state);
        self.shared.changed.notify_waiters();
        (result.unwrap_or_else(write_error_reply), lost)
    }

    fn list_objects(&self, uri: &Uri) -> Reply {
        let prefix = query_value(uri, "prefix").unwrap_or_default();
        let after = query_value(uri, "after").unwrap_or_default();
        let limit = query_value(uri, "limit").and_then(|text| text.parse().ok());
        let state = self.lock();
        let objects = state
            .objects
            .list(&prefix, &after, limit.unwrap_or(DEFAULT_PAGE_SIZE));
        let list = ObjectList {
            revision: state.objects.revision(),
            objects: objects
                .into_iter()
                .map(|(key, object)| list_entry(key, Some(object)))
                .collect(),
        };
        reply::json(StatusCode::OK, &list)
    }

    async fn watch(&self, uri: &Uri) -> Reply {
        let prefix = query_value(uri, "prefix").unwrap_or_default();
        let number = |name| query_value(uri, name).and_then(|text| text.parse::<u64>().ok());
        let since = number("since").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            let changed = self.shared.changed.notified();
            if let Some(reply) = self.change_reply(&prefix, since, Instant::now() >= deadline) {
                return reply;
            }
            // After a change and after a timeout alike, the loop checks for changes again.
            let _ = time::timeout_at(deadline, changed).await;
        }
    }

    fn change_reply(&self, prefix: &str, since: u64, allow_empty: bool) -> Option<Reply> {
        let state = self.lock();
        if state.down {
            return Some(reply::unavailable(1));
        }
        let keys = state.objects.changed_keys(prefix, since);
        if keys.is_empty() && !allow_empty {
            return None;
        }
        let list = ChangeList {
            revision: state.objects.revision(),
            changes: keys
                .into_iter()
                .map(|key| list_entry(key, state.objects.get(key)))
                .collect(),
        };
        Some(reply::json(StatusCode::OK, &list))
    }

    fn read_weights(&self) -> Reply {
        let now = Instant::now();
        let mut state = self.lock();
        let is_allowed = state
            .last_weight_read
            .is_none_or(|last| now >= last + WEIGHT_READ_INTERVAL);
        if !is_allowed {
            let mut reply = reply::empty(StatusCode::TOO_MANY_REQUESTS);
            reply.headers_mut().insert(header::RETRY_AFTER, 1.into());
            return reply;
        }
        state.last_weight_read = Some(now);
        reply::bytes(StatusCode::OK, vec![0; WEIGHTS_BYTES])
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse_condition(headers: &HeaderMap) -> Option<Condition> {
    if headers
        .get(header::IF_NONE_MATCH)
        .is_some_and(|value| value == "*")
    {
        return Some(Condition::Absent);
    }
    let tag = headers.get(header::IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(Condition::Version)
}

fn reply_with_etag(status: StatusCode, version: u64, value: Bytes) -> Reply {
    let mut reply = reply::bytes(status, value);
    if let Ok(tag) = HeaderValue::try_from(format!("\"{version}\"")) {
        reply.headers_mut().insert(header::ETAG, tag);
    }
    reply
}

fn list_entry<'a>(key: &'a str, object: Option<&Object>) -> ListedObject<'a> {
    ListedObject {
        key,
        version: object.map_or(0, |object| object.version),
        value: object.map(|object| STANDARD.encode(&object.value)),
    }
}

fn write_error_reply(error: WriteError) -> Reply {
    reply::empty(match error {
        WriteError::Conflict => StatusCode::PRECONDITION_FAILED,
        WriteError::Missing => StatusCode::NOT_FOUND,
        WriteError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
    })
}

fn query_value(uri: &Uri, name: &str) -> Option<String> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.replace("%2F", "/"))
}
