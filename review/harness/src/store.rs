//! A stand-in of the platform's store. Each instance reaches it at an address of its own, so that
//! single instances can be cut off from it.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering::Relaxed},
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant},
};

use crate::{
    http::{respond, Handler, Message, Server},
    record::Record,
    sys,
};

const PREFIX: &str = "/celerypond/objects/";
const JSON: (&str, &str) = ("Content-Type", "application/json");

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    create_rev: u64,
    spec: String,
    status: String,
}

/// A write of an object's status by an instance.
#[derive(Clone, Debug)]
pub struct StatusWrite {
    pub at: Duration,
    /// The index of the instance.
    pub instance: usize,
    pub name: String,
    pub status: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// The changes in order: revision, kind and name.
    changes: Vec<(u64, String, String)>,
    status_writes: Vec<StatusWrite>,
    /// The instance that last listed each kind.
    readers: BTreeMap<String, usize>,
    /// When each instance last watched the engines.
    watches: BTreeMap<usize, Instant>,
}

/// The link of an instance to the store.
struct Link {
    server: Server,
    is_cut: Arc<AtomicBool>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    links: Mutex<Vec<Link>>,
}

impl Store {
    /// Starts an empty store with one address per instance.
    pub fn start(addresses: &[SocketAddr], record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            record: Arc::clone(record),
            links: Mutex::default(),
        });
        for (instance, address) in addresses.iter().enumerate() {
            let is_cut = Arc::new(AtomicBool::new(false));
            let handler: Arc<Handler> = {
                let (store, is_cut) = (Arc::clone(&store), Arc::clone(&is_cut));
                Arc::new(move |request, stream| {
                    if is_cut.load(Relaxed) {
                        sys::reset(stream);
                        return Ok(false);
                    }
                    store.answer(instance, request, stream)
                })
            };
            let server = Server::start(*address, handler)?;
            lock(&store.links).push(Link { server, is_cut });
        }
        Ok(store)
    }

    /// Cuts an instance off from the store: its connections are reset, and so are new
    /// ones with their first call.
    pub fn cut(&self, instance: usize) {
        let links = lock(&self.links);
        links[instance].is_cut.store(true, Relaxed);
        links[instance].server.reset_connections();
    }

    pub fn heal(&self, instance: usize) {
        lock(&self.links)[instance].is_cut.store(false, Relaxed);
    }

    /// Creates or replaces an object's spec.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = lock(&self.state);
        let revision = state.revision + 1;
        let key = (kind.to_owned(), name.to_owned());
        let object = state.objects.entry(key).or_insert_with(|| Object {
            revision,
            create_rev: revision,
            spec: String::new(),
            status: "null".to_owned(),
        });
        object.spec = spec.to_owned();
        object.revision = revision;
        self.publish(state, kind, name);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = lock(&self.state);
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        self.publish(state, kind, name);
    }

    fn publish(&self, mut state: MutexGuard<'_, State>, kind: &str, name: &str) {
        state.revision += 1;
        let revision = state.revision;
        state
            .changes
            .push((revision, kind.to_owned(), name.to_owned()));
        drop(state);
        self.changed.notify_all();
    }

    /// The writes of status that took effect.
    pub fn status_writes(&self) -> Vec<StatusWrite> {
        lock(&self.state).status_writes.clone()
    }

    /// Returns the instances that watched the engines within a time.
    pub fn watchers(&self, within: Duration) -> Vec<usize> {
        let state = lock(&self.state);
        let recent = state.watches.iter().filter(|(_, at)| at.elapsed() < within);
        recent.map(|(instance, _)| *instance).collect()
    }

    /// Returns the instance that last listed the objects of a kind.
    pub fn last_reader(&self, kind: &str) -> Option<usize> {
        lock(&self.state).readers.get(kind).copied()
    }

    fn answer(
        &self,
        instance: usize,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(key) = path.strip_prefix(PREFIX) else {
            respond(stream, "404 Not Found", &[], b"")?;
            return Ok(true);
        };
        let parts: Vec<&str> = key.split('/').collect();
        match (request.method(), parts.as_slice()) {
            ("GET", [kind]) => match number(query, "watch") {
                Some(since) => {
                    if *kind == "servers" {
                        lock(&self.state).watches.insert(instance, Instant::now());
                    }
                    self.watch(kind, since, query, stream)?;
                }
                None => {
                    lock(&self.state)
                        .readers
                        .insert((*kind).to_owned(), instance);
                    self.list(kind, stream)?;
                }
            },
            ("GET", [kind, name]) => self.get(kind, name, stream)?,
            ("PUT", [kind, name, "status"]) => {
                self.put_status(instance, (kind, name), &request.body, stream)?;
            }
            _ => respond(stream, "405 Method Not Allowed", &[], b"")?,
        }
        Ok(true)
    }

    fn list(&self, kind: &str, stream: &mut TcpStream) -> io::Result<()> {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), object)| json(name, object))
            .collect();
        let page = format!(
            r#"{{"items":[{}],"truncated":false,"asOf":{}}}"#,
            items.join(","),
            state.revision
        );
        drop(state);
        respond(stream, "200 OK", &[JSON], page.as_bytes())
    }

    fn get(&self, kind: &str, name: &str, stream: &mut TcpStream) -> io::Result<()> {
        let object = {
            let state = lock(&self.state);
            state
                .objects
                .get(&(kind.to_owned(), name.to_owned()))
                .cloned()
        };
        match object {
            Some(object) => respond(stream, "200 OK", &[JSON], json(name, &object).as_bytes()),
            None => respond(stream, "404 Not Found", &[], b""),
        }
    }

    fn watch(&self, kind: &str, since: u64, query: &str, stream: &mut TcpStream) -> io::Result<()> {
        let wait = Duration::from_millis(number(query, "waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut state = lock(&self.state);
        let is_new = |state: &State| {
            let mut changes = state
                .changes
                .iter()
                .rev()
                .take_while(|change| change.0 > since);
            changes.any(|change| change.1 == kind)
        };
        while !is_new(&state) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let later = state
            .changes
            .iter()
            .filter(|change| change.0 > since && change.1 == kind);
        let mut names: Vec<&String> = later.map(|change| &change.2).collect();
        names.sort();
        names.dedup();
        let events: Vec<String> = names
            .into_iter()
            .map(|name| match state.objects.get(&(kind.to_owned(), name.clone())) {
                Some(object) => format!(r#"{{"removed":false,"object":{}}}"#, json(name, object)),
                None => format!(
                    r#"{{"removed":true,"object":{{"metadata":{{"name":"{name}","revision":{}}}}}}}"#,
                    state.revision
                ),
            })
            .collect();
        let page = format!(
            r#"{{"events":[{}],"asOf":{}}}"#,
            events.join(","),
            state.revision
        );
        drop(state);
        respond(stream, "200 OK", &[JSON], page.as_bytes())
    }

    fn put_status(
        &self,
        instance: usize,
        (kind, name): (&str, &str),
        body: &[u8],
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let body = String::from_utf8_lossy(body).into_owned();
        let mut state = lock(&self.state);
        let revision = state.revision + 1;
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.get_mut(&key) else {
            drop(state);
            return respond(stream, "404 Not Found", &[], b"");
        };
        if field_number(&body, "revision").is_some_and(|sent| sent != object.revision) {
            let current = json(name, object);
            drop(state);
            self.record.say(format!(
                "store: {kind}/{name}: write of the status by instance {instance} refused, 409: {body}"
            ));
            return respond(stream, "409 Conflict", &[JSON], current.as_bytes());
        }
        let status = status_of(&body).unwrap_or("null").to_owned();
        let is_same = object.status == status;
        if !is_same {
            object.status.clone_from(&status);
            object.revision = revision;
        }
        let written = json(name, object);
        let write = StatusWrite {
            at: self.record.now(),
            instance,
            name: name.to_owned(),
            status: status.clone(),
        };
        state.status_writes.push(write);
        if is_same {
            drop(state);
        } else {
            self.publish(state, kind, name);
        }
        self.record.say(format!(
            "store: {kind}/{name}: status written by instance {instance}: {status}"
        ));
        respond(stream, "200 OK", &[JSON], written.as_bytes())
    }
}

fn json(name: &str, object: &Object) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"createRev":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
        object.revision, object.create_rev, object.spec, object.status
    )
}

/// Returns the text of the field `status`, which is the last one of the object.
fn status_of(body: &str) -> Option<&str> {
    let at = body.find("\"status\":")? + "\"status\":".len();
    body[at..].trim_end().strip_suffix('}')
}

fn field_number(body: &str, name: &str) -> Option<u64> {
    let name = format!("\"{name}\":");
    let at = body.find(&name)? + name.len();
    let digits: String = body[at..]
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(field, _)| *field == name)?.1.parse().ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
