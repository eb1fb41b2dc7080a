//! A stand-in of an engine.

use std::{
    io,
    net::{IpAddr, SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicU32, Ordering::Relaxed},
        Arc, Mutex, PoisonError,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{respond, Handler, Message, Server},
    record::Record,
    store::Store,
};

/// The requests that an engine queues beyond its slots.
const QUEUE: u32 = 24;

/// The identity of an engine.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub request: String,
    /// The address of the instance that sent it.
    pub from: Option<IpAddr>,
    pub engine: String,
    pub version: String,
    /// Whether it began to run.
    pub has_run: bool,
    /// When it was answered with a failure after it ran.
    pub failed_at: Option<Duration>,
}

/// What an engine does with a request that it runs.
pub enum Run {
    /// Works for this long and answers with success.
    Succeed(Duration),
    /// Works for this long and answers with this failure.
    Fail(Duration, &'static str),
}

pub type Behaviour = dyn Fn(&Message) -> Run + Send + Sync;

/// All requests that reached engines.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

pub struct Engine {
    pub identity: Identity,
    server: Server,
    store: Arc<Store>,
    born: u128,
}

struct Shared {
    identity: Identity,
    record: Arc<Record>,
    arrivals: Arrivals,
    behaviour: Arc<Behaviour>,
    running: AtomicU32,
}

impl Engine {
    /// Starts an engine and registers it in the store.
    pub fn start(
        identity: Identity,
        store: &Arc<Store>,
        record: &Arc<Record>,
        arrivals: &Arrivals,
        behaviour: Arc<Behaviour>,
    ) -> io::Result<Self> {
        let shared = Shared {
            identity: identity.clone(),
            record: Arc::clone(record),
            arrivals: Arc::clone(arrivals),
            behaviour,
            running: AtomicU32::new(0),
        };
        let handler: Arc<Handler> = Arc::new(move |request, stream| shared.answer(request, stream));
        let server = Server::start(identity.address, handler)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Self {
            identity,
            server,
            store: Arc::clone(store),
            born: born.map_or(0, |time| time.as_millis()),
        };
        engine.register("ready");
        record.add(format!(
            "engine {}: started, {} {}",
            engine.identity.id, engine.identity.service, engine.identity.version
        ));
        Ok(engine)
    }

    /// Writes the engine's entry with this state.
    pub fn register(&self, state: &str) {
        let identity = &self.identity;
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{state}","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            identity.service,
            identity.address,
            identity.zone,
            identity.version,
            identity.slots,
            self.born
        );
        self.store.put("servers", &identity.id, &entry);
    }

    /// Removes the engine's entry; the engine goes on serving.
    pub fn deregister(&self) {
        self.store.remove("servers", &self.identity.id);
    }

    /// Stops serving at once.
    pub fn stop(&self) {
        self.server.stop();
    }
}

impl Shared {
    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.target().split('?').next().unwrap_or_default();
        if path == "/health" {
            let id = ("Instance-Id", self.identity.id.as_str());
            respond(stream, "200 OK", &[id], b"")?;
            return Ok(true);
        }
        if path.starts_with("/celerypond/") {
            respond(stream, "404 Not Found", &[], b"")?;
            return Ok(true);
        }
        let id = request.header("request-id").to_owned();
        let echo = ("Request-Id", id.as_str());
        let arrival = Arrival {
            at: self.record.now(),
            request: id.clone(),
            from: stream.peer_addr().ok().map(|address| address.ip()),
            engine: self.identity.id.clone(),
            version: self.identity.version.clone(),
            has_run: false,
            failed_at: None,
        };
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.identity.id {
            respond(stream, "421 Misdirected Request", &[echo], b"")?;
            return Ok(true);
        }
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
            arrivals.push(arrival);
            arrivals.len() - 1
        };
        let running = self.running.fetch_add(1, Relaxed) + 1;
        let result = if running > self.identity.slots + QUEUE {
            let headers = [echo, ("Not-Run", "1")];
            respond(stream, "503 Service Unavailable", &headers, b"")
        } else {
            self.run(request, index, running, stream)
        };
        self.running.fetch_sub(1, Relaxed);
        result.map(|()| true)
    }

    fn run(
        &self,
        request: &Message,
        index: usize,
        running: u32,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let id = request.header("request-id").to_owned();
        self.change(index, |arrival| arrival.has_run = true);
        self.record.add(format!(
            "engine {} ({}): runs {id}, from {:?}",
            self.identity.id,
            self.identity.version,
            stream.peer_addr().ok().map(|address| address.ip())
        ));
        let stamp = format!("stamp.{}.{id}", self.identity.id);
        let slots = self.identity.slots;
        let load = format!(
            "{},{},{slots}",
            running.min(slots),
            running.saturating_sub(slots)
        );
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Stamp", stamp.as_str()),
            ("Server-Load", load.as_str()),
        ];
        match (self.behaviour)(request) {
            Run::Succeed(work) => {
                thread::sleep(work);
                let body = format!("done {id} at {}\n", self.identity.id);
                respond(stream, "200 OK", &headers, body.as_bytes())
            }
            Run::Fail(work, status) => {
                thread::sleep(work);
                let at = self.record.now();
                self.change(index, |arrival| arrival.failed_at = Some(at));
                self.record.add(format!(
                    "engine {} ({}): answers {id} with {status}",
                    self.identity.id, self.identity.version
                ));
                respond(stream, status, &headers, b"failed\n")
            }
        }
    }

    fn change(&self, index: usize, change: impl FnOnce(&mut Arrival)) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut arrivals[index]);
    }
}
