//! Starts of relaying instances that lack something at first.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    time::Duration,
};

use celerypond_standins::{
    caller::{directory_query, readiness_check, request_bytes, routed_request, send},
    fixtures::{config, target_entry},
    loopback,
    responses::{end_of_chunks, events, ok, platform_response},
    store::Store,
    target::{Action, ReceivedRequest, Target},
};
use rstest::rstest;
use rustix::process::Signal;
use tokio::time::{sleep, timeout};

use crate::process::{settings, wait_until, Process, PORTS};

const METRICS_PORT: u16 = 9_464;
const DIRECTORY_PORT: u16 = 8_746;
/// How long a needed address is held by another program.
const HELD_FOR: Duration = Duration::from_secs(3);
/// The number of events of a stream and the delay before each, which make it last for two seconds.
const EVENTS: u64 = 40;
const EVENT_GAP: Duration = Duration::from_millis(50);

/// A store with targets, and the settings of an instance.
struct Platform {
    writer: Target,
    shop: Target,
    _store: Store,
    ip: Ipv4Addr,
    text: String,
    files: tempfile::TempDir,
}

impl Platform {
    /// Starts a store and targets; `ip` is the number of the instance's address.
    async fn start(ip: u8) -> Self {
        let store = Store::start().await.unwrap();
        store.put("config/main", &config(1));
        let shop = Target::start(|request, _| respond(request, "i-0"));
        let writer = Target::start(|request, _| respond(request, "i-1"));
        let (shop, writer) = (shop.await.unwrap(), writer.await.unwrap());
        store.put("servers/i-0", &target_entry("shop", shop.address));
        store.put("servers/i-1", &target_entry("writer", writer.address));
        let ip = loopback::address(ip);
        let directory = format!("listen.directory={ip}:{DIRECTORY_PORT}\n");
        Self {
            text: settings(ip, store.server.address) + &directory,
            writer,
            shop,
            _store: store,
            ip,
            files: tempfile::tempdir().unwrap(),
        }
    }

    fn settings_path(&self) -> PathBuf {
        self.files.path().join("settings.conf")
    }

    fn start_instance(&self) -> Process {
        fs::write(self.settings_path(), &self.text).unwrap();
        Process::start(&self.settings_path())
    }

    fn callers(&self) -> SocketAddr {
        (self.ip, PORTS[0]).into()
    }

    /// Returns whether the instance serves a request.
    async fn serves(&self) -> bool {
        let request = routed_request("GET /safe/1", "r", 2_000, "r");
        status(self.callers(), &request).await == Some(200)
    }

    /// Returns whether the instance states that it is ready.
    async fn is_ready(&self) -> bool {
        status((self.ip, PORTS[1]).into(), &readiness_check()).await == Some(200)
    }
}

fn respond(request: &ReceivedRequest, name: &str) -> Vec<Action> {
    if let Some(actions) = platform_response(request, name) {
        return actions;
    }
    if request.request_line.contains("/draft/") {
        let mut actions = events(request, 1..=EVENTS, EVENT_GAP);
        actions.push(end_of_chunks());
        return actions;
    }
    ok(request, "a")
}

async fn status(address: SocketAddr, request: &[u8]) -> Option<u16> {
    let response = timeout(Duration::from_secs(1), send(address, request)).await;
    response.ok().map(|response| response.status)
}

/// An address that another program holds.
#[derive(Clone, Copy, Debug)]
enum Held {
    Tcp(u16),
    Udp(u16),
}

/// Sockets that hold an address until they are dropped.
#[derive(Default)]
struct Holder {
    _tcp: Option<TcpListener>,
    _udp: Option<UdpSocket>,
}

impl Held {
    fn hold(self, ip: Ipv4Addr) -> Holder {
        match self {
            Self::Tcp(port) => Holder {
                _tcp: Some(TcpListener::bind((ip, port)).unwrap()),
                ..Holder::default()
            },
            Self::Udp(port) => Holder {
                _udp: Some(UdpSocket::bind((ip, port)).unwrap()),
                ..Holder::default()
            },
        }
    }
}

// Guards against an instance that ends again and again while the previous process at its addresses still drains.
#[tokio::test]
async fn instance_that_starts_while_its_predecessor_drains_serves_after_it() {
    let platform = Platform::start(44).await;
    let mut previous = platform.start_instance();
    assert!(wait_until(|| platform.serves()).await);
    let address = platform.callers();
    let request = routed_request("POST /draft/1", "long", 8_000, "long");
    let stream = tokio::spawn(async move { send(address, &request).await });
    let is_sent = || async { platform.writer.running().contains(&"long".to_owned()) };
    assert!(wait_until(is_sent).await);
    previous.signal(Signal::TERM);
    let mut process = platform.start_instance();
    let response = stream.await.unwrap();
    assert_eq!((response.status, response.is_whole), (200, true));
    assert!(
        wait_until(|| platform.serves()).await,
        "the instance does not serve, it has ended: {}",
        !process.is_running()
    );
    assert!(process.is_running());
    assert!(!previous.is_running());
}

// Guards against an instance that ends because another program holds one of its addresses for a moment, and against one that
// seems to be able to serve meanwhile.
#[rstest]
#[case::callers(45, Held::Tcp(PORTS[0]))]
#[case::peers(46, Held::Tcp(PORTS[2]))]
#[case::peer_datagrams(47, Held::Udp(PORTS[2]))]
#[case::relayed_requests(48, Held::Tcp(PORTS[2] + 1))]
#[tokio::test]
async fn instance_waits_for_an_address_that_it_needs(#[case] ip: u8, #[case] held: Held) {
    let platform = Platform::start(ip).await;
    let holder = held.hold(platform.ip);
    let mut process = platform.start_instance();
    sleep(HELD_FOR).await;
    assert!(
        process.is_running(),
        "the process ended while {held:?} was held"
    );
    assert!(!platform.is_ready().await, "ready while {held:?} is held");
    drop(holder);
    assert!(wait_until(|| platform.serves()).await);
    assert!(wait_until(|| platform.is_ready()).await);
    assert!(process.is_running());
}

// Guards against an instance that serves nobody because its counters or checks cannot be read.
#[rstest]
#[case::metrics(49, METRICS_PORT)]
#[case::ready(50, PORTS[1])]
#[case::directory(51, DIRECTORY_PORT)]
#[tokio::test]
async fn instance_serves_while_another_program_holds_an_endpoint(
    #[case] ip: u8,
    #[case] port: u16,
) {
    let platform = Platform::start(ip).await;
    let holder = Held::Tcp(port).hold(platform.ip);
    let mut process = platform.start_instance();
    assert!(wait_until(|| platform.serves()).await);
    sleep(HELD_FOR).await;
    assert!(process.is_running(), "the process ended");
    assert!(platform.serves().await);
    drop(holder);
    // The endpoint comes as soon as its address is free.
    let request = request_bytes("GET /none", &[], "");
    let endpoint = (platform.ip, port).into();
    let is_served = || async { status(endpoint, &request).await == Some(404) };
    assert!(wait_until(is_served).await);
}

// Guards against an instance that stays alone, with what the store told it last, as its seeds were gone when it started.
#[tokio::test]
async fn instance_joins_by_the_seeds_of_changed_settings() {
    let platform = Platform::start(62).await;
    let _first = platform.start_instance();
    assert!(wait_until(|| platform.serves()).await);
    let (ip, gone) = (loopback::address(63), loopback::address(64));
    let text = platform
        .text
        .replace(&platform.ip.to_string(), &ip.to_string());
    let path = platform.files.path().join("added.conf");
    let with_seed = |seed: Ipv4Addr| format!("{text}seeds={seed}:1\n");
    fs::write(&path, with_seed(gone)).unwrap();
    let mut added = Process::start(&path);
    let directory = (platform.ip, DIRECTORY_PORT).into();
    let query = directory_query();
    let is_named = || async {
        let response = timeout(Duration::from_secs(1), send(directory, &query)).await;
        response.is_ok_and(|response| response.body.contains(&ip.to_string()))
    };
    sleep(HELD_FOR).await;
    assert!(!is_named().await);
    fs::write(&path, with_seed(platform.ip)).unwrap();
    added.signal(Signal::HUP);
    assert!(wait_until(is_named).await, "the instance did not join");
}

/// Returns the local port of a connection from an address to a server.
fn source_port(ip: Ipv4Addr, server: SocketAddr) -> Option<u16> {
    let SocketAddr::V4(server) = server else {
        return None;
    };
    let address = |ip: Ipv4Addr| format!("{:08X}", u32::from_ne_bytes(ip.octets()));
    let (local, remote) = (
        address(ip),
        format!("{}:{:04X}", address(*server.ip()), server.port()),
    );
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap();
    sockets.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (from, to) = (fields.next()?, fields.next()?);
        let port = from.strip_prefix(&local)?.strip_prefix(':')?;
        (to == remote).then(|| u16::from_str_radix(port, 16).ok())?
    })
}

// Guards against an instance that cannot listen on a port because a connection to a target was opened from it.
#[tokio::test]
async fn instance_listens_on_a_port_from_which_a_target_was_called() {
    let platform = Platform::start(61).await;
    let _caller = platform.start_instance();
    assert!(wait_until(|| platform.serves()).await);
    let port = source_port(platform.ip, platform.shop.address).unwrap();
    let [callers, ready, peers] = PORTS;
    // Only the address is shared with the instance that has called the target.
    let mut text = platform.text.clone();
    for (old, new) in [
        (callers, port),
        (ready, ready + 1),
        (DIRECTORY_PORT, DIRECTORY_PORT + 1),
    ] {
        text = text.replace(&format!(":{old}\n"), &format!(":{new}\n"));
    }
    let peer_ports = format!("internalPorts={peers},");
    text = text.replace(&peer_ports, &format!("internalPorts={},", peers + 3));
    let path = platform.files.path().join("other.conf");
    fs::write(&path, text).unwrap();
    let _process = Process::start(&path);
    let request = routed_request("GET /safe/1", "r", 2_000, "r");
    let serves = || async { status((platform.ip, port).into(), &request).await == Some(200) };
    assert!(wait_until(serves).await);
}

/// What is wrong with the settings file when the process starts.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Missing,
    Empty,
    CutShort,
    Invalid,
}

// Guards against an instance that ends because its settings file is just being written.
#[rstest]
#[case::missing(52, Fault::Missing)]
#[case::empty(53, Fault::Empty)]
#[case::cut_short(54, Fault::CutShort)]
#[case::invalid(55, Fault::Invalid)]
#[tokio::test]
async fn instance_waits_for_settings_without_faults(#[case] ip: u8, #[case] fault: Fault) {
    let platform = Platform::start(ip).await;
    let path = platform.settings_path();
    match fault {
        Fault::Missing => {}
        Fault::Empty => fs::write(&path, "").unwrap(),
        Fault::CutShort => fs::write(&path, &platform.text[..platform.text.len() / 2]).unwrap(),
        Fault::Invalid => fs::write(&path, format!("{}seeds=none\n", platform.text)).unwrap(),
    }
    let mut process = Process::start(&path);
    sleep(Duration::from_secs(1)).await;
    assert!(process.is_running(), "the process ended: {fault:?}");
    assert!(!platform.is_ready().await);
    fs::write(&path, &platform.text).unwrap();
    assert!(wait_until(|| platform.serves()).await);
    assert!(process.is_running());
}
