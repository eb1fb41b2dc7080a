//! The stand-in platform: objects, the instance list and the weight store.

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

const DEFAULT_LIMIT: usize = 1000;
const WEIGHT_BYTES: usize = 1 << 16;
const WEIGHT_GAP: Duration = Duration::from_millis(100);
const LOST: Duration = Duration::from_secs(3600);

/// The state of the stand-in platform, shared by its connections.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
}

struct Shared {
    inner: Mutex<Inner>,
    written: Notify,
}

struct Inner {
    objects: ObjectStore,
    instances: DelayedInstanceList,
    down: bool,
    slow: Duration,
    lose: u32,
    calls: u64,
    writes: u64,
    weights: Option<Instant>,
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
struct Counts {
    calls: u64,
    writes: u64,
    revision: u64,
}

impl Platform {
    /// Makes a platform that lists these instances.
    pub fn new(listing: InstanceList, lag: Duration) -> Self {
        let inner = Inner {
            objects: ObjectStore::default(),
            instances: DelayedInstanceList::new(listing, lag, Instant::now()),
            down: false,
            slow: Duration::ZERO,
            lose: 0,
            calls: 0,
            writes: 0,
            weights: None,
        };
        let shared = Shared {
            inner: Mutex::new(inner),
            written: Notify::new(),
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
        let platform = self.clone();
        let handle = move |request| {
            let platform = platform.clone();
            async move { platform.answer(request).await }
        };
        Server::start(address, handle).await
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: PlatformFault) {
        let mut inner = self.lock();
        if let Some(down) = change.down {
            inner.down = down;
        }
        if let Some(slow) = change.slow_ms {
            inner.slow = Duration::from_millis(slow);
        }
        if let Some(lose) = change.lose_replies {
            inner.lose = lose;
        }
        if let Some(lag) = change.instance_lag_ms {
            inner.instances.set_lag(Duration::from_millis(lag));
        }
        drop(inner);
        self.shared.written.notify_waiters();
    }

    /// Replaces the instance list; readers see it after the lag.
    pub fn set_instances(&self, listing: InstanceList) {
        self.lock().instances.set(listing, Instant::now());
    }

    async fn answer(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        if let Some(reply) = self.control(&path, &request) {
            return reply;
        }
        let (down, slow) = self.enter();
        time::sleep(slow).await;
        if down {
            return reply::unavailable(1);
        }
        if let Some(key) = path.strip_prefix("/v1/objects/") {
            return self.object(key, &request).await;
        }
        match path.as_str() {
            "/v1/objects" => self.objects(request.uri()),
            "/v1/watch" => self.watch(request.uri()).await,
            "/v1/instances" => reply::json(
                StatusCode::OK,
                &self.lock().instances.visible(Instant::now()),
            ),
            _ if path.starts_with("/v1/weights/") => self.weights(),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn control(&self, path: &str, request: &Request<Bytes>) -> Option<Reply> {
        match path {
            "/_fault" => Some(match serde_json::from_slice(request.body()) {
                Ok(change) => {
                    self.set_faults(change);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => reply::bytes(StatusCode::BAD_REQUEST, error.to_string()),
            }),
            "/_instances" => Some(match serde_json::from_slice(request.body()) {
                Ok(listing) => {
                    self.set_instances(listing);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => reply::bytes(StatusCode::BAD_REQUEST, error.to_string()),
            }),
            "/_log" => {
                let inner = self.lock();
                let counts = Counts {
                    calls: inner.calls,
                    writes: inner.writes,
                    revision: inner.objects.revision(),
                };
                Some(reply::json(StatusCode::OK, &counts))
            }
            _ => None,
        }
    }

    fn enter(&self) -> (bool, Duration) {
        let mut inner = self.lock();
        inner.calls += 1;
        (inner.down, inner.slow)
    }

    async fn object(&self, key: &str, request: &Request<Bytes>) -> Reply {
        if request.method() == Method::GET {
            return match self.lock().objects.get(key) {
                Some(object) => tagged(StatusCode::OK, object.version, object.value.clone()),
                None => reply::empty(StatusCode::NOT_FOUND),
            };
        }
        let (reply, lost) = self.write(key, request);
        if lost {
            // The change took effect and the caller never learns of it.
            time::sleep(LOST).await;
        }
        reply
    }

    fn write(&self, key: &str, request: &Request<Bytes>) -> (Reply, bool) {
        let Some(condition) = condition(request.headers()) else {
            return (reply::empty(StatusCode::PRECONDITION_REQUIRED), false);
        };
        let mut inner = self.lock();
        inner.writes += 1;
        let result = match (request.method(), condition) {
            (&Method::PUT, condition) => inner
                .objects
                .put(key, request.body().clone(), condition)
                .map(|version| tagged(StatusCode::OK, version, Bytes::new())),
            (&Method::DELETE, Condition::Version(version)) => inner
                .objects
                .delete(key, version)
                .map(|()| reply::empty(StatusCode::NO_CONTENT)),
            _ => return (reply::empty(StatusCode::METHOD_NOT_ALLOWED), false),
        };
        let lost = result.is_ok() && fault::take(&mut inner.lose);
        drop(inner);
        self.shared.written.notify_waiters();
        (result.unwrap_or_else(write_error_reply), lost)
    }

    fn objects(&self, uri: &Uri) -> Reply {
        let prefix = query(uri, "prefix").unwrap_or_default();
        let after = query(uri, "after").unwrap_or_default();
        let limit = query(uri, "limit").and_then(|text| text.parse().ok());
        let inner = self.lock();
        let objects = inner
            .objects
            .list(&prefix, &after, limit.unwrap_or(DEFAULT_LIMIT));
        let list = ObjectList {
            revision: inner.objects.revision(),
            objects: objects
                .into_iter()
                .map(|(key, object)| listed(key, Some(object)))
                .collect(),
        };
        reply::json(StatusCode::OK, &list)
    }

    async fn watch(&self, uri: &Uri) -> Reply {
        let prefix = query(uri, "prefix").unwrap_or_default();
        let number = |name| query(uri, name).and_then(|text| text.parse::<u64>().ok());
        let since = number("since").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            let written = self.shared.written.notified();
            if let Some(reply) = self.changes(&prefix, since, Instant::now() >= until) {
                return reply;
            }
            // Either wake-up leads to the same check.
            let _ = time::timeout_at(until, written).await;
        }
    }

    fn changes(&self, prefix: &str, since: u64, even_none: bool) -> Option<Reply> {
        let inner = self.lock();
        if inner.down {
            return Some(reply::unavailable(1));
        }
        let keys = inner.objects.changed_keys(prefix, since);
        if keys.is_empty() && !even_none {
            return None;
        }
        let list = ChangeList {
            revision: inner.objects.revision(),
            changes: keys
                .into_iter()
                .map(|key| listed(key, inner.objects.get(key)))
                .collect(),
        };
        Some(reply::json(StatusCode::OK, &list))
    }

    fn weights(&self) -> Reply {
        let now = Instant::now();
        let mut inner = self.lock();
        let free = inner.weights.is_none_or(|last| now >= last + WEIGHT_GAP);
        if !free {
            let mut reply = reply::empty(StatusCode::TOO_MANY_REQUESTS);
            reply.headers_mut().insert(header::RETRY_AFTER, 1.into());
            return reply;
        }
        inner.weights = Some(now);
        reply::bytes(StatusCode::OK, vec![0; WEIGHT_BYTES])
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared
            .inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if headers
        .get(header::IF_NONE_MATCH)
        .is_some_and(|value| value == "*")
    {
        return Some(Condition::Absent);
    }
    let tag = headers.get(header::IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(Condition::Version)
}

fn tagged(status: StatusCode, version: u64, value: Bytes) -> Reply {
    let mut reply = reply::bytes(status, value);
    if let Ok(tag) = HeaderValue::try_from(format!("\"{version}\"")) {
        reply.headers_mut().insert(header::ETAG, tag);
    }
    reply
}

fn listed<'a>(key: &'a str, object: Option<&Object>) -> ListedObject<'a> {
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

fn query(uri: &Uri, name: &str) -> Option<String> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.replace("%2F", "/"))
}
