//! Clients that find instances through the directory and send requests.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
        Arc, Mutex, PoisonError,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{cluster::Cluster, http::Connection, record::Record};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// The number of requests that a client sends on one connection.
const REQUESTS_PER_CONNECTION: u32 = 12;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a client and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Duration,
    pub to: SocketAddr,
    /// The status, or `None` if no answer came.
    pub status: Option<u16>,
}

/// What clients send.
#[derive(Clone, Copy)]
pub struct Load {
    pub clients: usize,
    pub interval: Duration,
    pub deadline: Duration,
    pub path: &'static str,
    /// Further headers, each with its line end.
    pub headers: &'static str,
}

/// Clients that run until they are stopped.
pub struct Clients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Clients {
    pub fn start(cluster: &Arc<Cluster>, record: &Arc<Record>, load: Load) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let threads = (0..load.clients).map(|index| {
            let client = Client {
                cluster: Arc::clone(cluster),
                record: Arc::clone(record),
                load,
                random: 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(index as u64 + 1),
                addresses: Vec::new(),
                resolved: None,
                connection: None,
                uses: 0,
            };
            let (is_stopped, sent) = (Arc::clone(&is_stopped), Arc::clone(&sent));
            thread::spawn(move || client.run(&is_stopped, &sent))
        });
        let threads = threads.collect();
        Self {
            is_stopped,
            threads,
            sent,
        }
    }

    /// Stops the clients and returns what they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.is_stopped.store(true, Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.clone()
    }
}

struct Client {
    cluster: Arc<Cluster>,
    record: Arc<Record>,
    load: Load,
    random: u64,
    addresses: Vec<SocketAddr>,
    /// When the addresses were received, and how long they count.
    resolved: Option<(Instant, Duration)>,
    connection: Option<Connection>,
    uses: u32,
}

impl Client {
    fn run(mut self, is_stopped: &AtomicBool, sent: &Mutex<Vec<Sent>>) {
        thread::sleep(
            self.load
                .interval
                .mul_f64(self.next_random() as f64 / u64::MAX as f64),
        );
        while !is_stopped.load(Relaxed) {
            let begun = Instant::now();
            if let Some(request) = self.send() {
                self.record.add(format!(
                    "client: {} sent to {} at {:.3} s: {}",
                    request.id,
                    request.to.ip(),
                    request.at.as_secs_f64(),
                    request
                        .status
                        .map_or("no answer".to_owned(), |status| status.to_string())
                ));
                sent.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(request);
            }
            thread::sleep(self.load.interval.saturating_sub(begun.elapsed()));
        }
    }

    fn send(&mut self) -> Option<Sent> {
        self.resolve();
        let mut connection = self.connect()?;
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Relaxed));
        let body = format!("hold {id}");
        let request = format!(
            "POST {}{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: {}\r\nKey: {KEY}\r\n{}Content-Length: {}\r\n\r\n{body}",
            self.load.path,
            self.load.deadline.as_millis(),
            self.load.headers,
            body.len()
        );
        let at = self.record.now();
        let answer = connection.exchange(request.as_bytes(), self.load.deadline);
        let to = connection.address;
        let status = answer.as_ref().ok().map(|answer| answer.status());
        self.uses += 1;
        let keeps =
            answer.is_ok_and(|answer| !answer.header("connection").eq_ignore_ascii_case("close"));
        if keeps && self.uses < REQUESTS_PER_CONNECTION {
            self.connection = Some(connection);
        }
        Some(Sent { id, at, to, status })
    }

    /// Takes the open connection, unless its address is missing from the last answer of the
    /// directory, or opens one to a random address.
    fn connect(&mut self) -> Option<Connection> {
        let open = self.connection.take();
        if let Some(open) = open.filter(|open| self.addresses.contains(&open.address)) {
            return Some(open);
        }
        self.uses = 0;
        for _ in 0..3 {
            let count = self.addresses.len() as u64;
            let choice = self.next_random().checked_rem(count)?;
            let address = self.addresses[choice as usize];
            match Connection::open(address, CONNECT_TIMEOUT) {
                Ok(connection) => return Some(connection),
                Err(_) => self.addresses.retain(|known| *known != address),
            }
        }
        None
    }

    /// Asks up to three directories for the addresses of instances.
    fn resolve(&mut self) {
        let is_fresh = self.resolved.is_some_and(|(at, ttl)| at.elapsed() < ttl);
        if is_fresh && !self.addresses.is_empty() {
            return;
        }
        for _ in 0..3 {
            let instance = self.next_random() as usize % self.cluster.count;
            let directory = self.cluster.addresses.directory(instance);
            if let Some((addresses, ttl)) = ask_directory(directory) {
                (self.addresses, self.resolved) = (addresses, Some((Instant::now(), ttl)));
                return;
            }
        }
    }

    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}

/// Returns the addresses of instances and how long they may be kept.
pub fn ask_directory(directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let mut connection = Connection::open(directory, DIRECTORY_TIMEOUT).ok()?;
    let request = format!(
        "GET /celerypond/resolve?name={HOST}&region=cascadia&zone=tacoma-yard HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
    );
    let answer = connection
        .exchange(request.as_bytes(), DIRECTORY_TIMEOUT)
        .ok()?;
    if answer.status() != 200 {
        return None;
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text.split('[').nth(1)?.split(']').next()?;
    let addresses = list
        .split(',')
        .filter_map(|item| item.trim().trim_matches('"').parse().ok());
    let addresses: Vec<SocketAddr> = addresses.collect();
    let ttl = text.split("\"ttlS\":").nth(1)?.trim_end_matches('}').trim();
    let ttl = Duration::from_secs_f64(ttl.parse::<f64>().ok()?.clamp(0.1, 5.0));
    (!addresses.is_empty()).then_some((addresses, ttl))
}
