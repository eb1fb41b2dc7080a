//! Callers that no operator controls, against an instance that runs as a process.
//!
//! The instance has little memory and few descriptors by its settings. While the crowd is there, the
//! process lives and stays within both, and an ordinary request is answered.

mod crowd;
mod process;

use std::{net::SocketAddr, time::Duration};

use celerypond_standins::{
    caller::{open_head, routed_request, send, ReceivedResponse},
    fixtures::{config, target_entry},
    responses::{chunked_head, ok, platform_response},
    store::Store,
    target::{Action, ReceivedRequest, Target},
};
use rstest::rstest;
use serde_json::json;
use tokio::{
    sync::{Mutex, MutexGuard},
    time::{sleep, timeout, Instant},
};

use crowd::{Crowd, Shape};
use process::{Limits, Process};

/// The largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The longest head that the configuration allows.
const MAX_HEAD_BYTES: usize = 50_000;
/// The number of callers in a crowd that sends bodies.
const CROWD: usize = 150;
/// The number of callers that send chunks of one byte, which take the most time.
const TINY_CROWD: usize = 60;
/// The limits of the instance in the tests of bodies: the crowd's bodies are more than twice that.
const BODY_LIMITS: Limits = Limits {
    memory_mb: 64,
    descriptors: 500,
};
/// The pause between two pieces, so that all callers send at the same time.
const PIECE_PAUSE: Duration = Duration::from_millis(4);
/// How often the instance is checked while the crowd is there.
const CHECKS: usize = 12;
/// How often while it reads chunks of one byte.
const TINY_CHECKS: usize = 48;
/// The time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long the instance may take until it serves, and an ordinary caller until it is answered.
const TIMEOUT: Duration = Duration::from_secs(20);

/// One test runs at a time: each measures its own process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

struct Bed {
    process: Process,
    limits: Limits,
    target: Target,
    crowd_target: Target,
    _store: Store,
    _turn: MutexGuard<'static, ()>,
}

impl Bed {
    async fn start(
        number: u8,
        limits: Limits,
        respond: fn(&ReceivedRequest) -> Vec<Action>,
    ) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let store = Store::start().await.unwrap();
        let mut config = config(1);
        config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
        config["limits"]["maxHeaderBytes"] = MAX_HEAD_BYTES.into();
        for route in config["routes"].as_array_mut().into_iter().flatten() {
            route["timeoutMs"] = 60_000.into();
        }
        // The crowd's requests have targets of their own.
        config["routes"][1]["service"] = "yard".into();
        config["services"][1] =
            json!({"name": "yard", "healthPath": "/health", "maxConnections": 1000});
        store.put("config/main", &config);
        let target = Target::start(move |request, _| {
            platform_response(request, "i-0").unwrap_or_else(|| answer(request))
        });
        let target = target.await.unwrap();
        store.put("servers/i-0", &target_entry("shop", target.address));
        let crowd_target = Target::start(move |request, _| {
            platform_response(request, "i-1").unwrap_or_else(|| respond(request))
        });
        let crowd_target = crowd_target.await.unwrap();
        store.put("servers/i-1", &target_entry("yard", crowd_target.address));
        let process = Process::start(number, store.server.address, limits);
        let bed = Self {
            process,
            limits,
            target,
            crowd_target,
            _store: store,
            _turn: turn,
        };
        assert!(bed.serves().await, "the instance does not serve");
        bed
    }

    /// Returns whether an ordinary request is answered, which its caller repeats after a refusal.
    async fn serves(&self) -> bool {
        let headers = format!("{}{}", with_length(1_000), "x".repeat(1_000));
        let request = open_head("POST /safe/ordinary", "ordinary", 2_000, &headers);
        self.is_answered(&request).await
    }

    async fn is_answered(&self, request: &[u8]) -> bool {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            let response = timeout(TIMEOUT, send(self.process.callers(), request)).await;
            if response.is_ok_and(|response: ReceivedResponse| response.status == 200) {
                return true;
            }
            sleep(Duration::from_millis(300)).await;
        }
        false
    }

    /// Checks several times that an ordinary request is answered and that the limits are kept, as
    /// what the crowd has sent is read only after a while.
    async fn assert_serves_within_limits(&mut self, checks: usize) {
        for _ in 0..checks {
            assert!(self.serves().await, "an ordinary request is not answered");
            self.assert_within_limits();
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn assert_within_limits(&mut self) {
        assert!(self.process.is_running(), "the process has ended");
        let (memory, descriptors) = (self.process.peak_memory(), self.process.descriptors());
        let max_memory = self.limits.memory_mb * 1_000_000;
        assert!(memory <= max_memory, "{memory} bytes of {max_memory}");
        assert!(
            descriptors <= self.limits.descriptors,
            "{descriptors} descriptors"
        );
    }

    /// Returns the number of requests of the crowd that reached the target.
    fn received_from_crowd(&self) -> usize {
        self.crowd_target
            .received()
            .iter()
            .filter(|request| !request.id().is_empty())
            .count()
    }
}

fn answer(request: &ReceivedRequest) -> Vec<Action> {
    ok(request, "answered")
}

fn hang(_: &ReceivedRequest) -> Vec<Action> {
    vec![Action::Hang]
}

/// Answers with a chunk whose size has no end.
fn chunk_size_without_end(request: &ReceivedRequest) -> Vec<Action> {
    vec![
        chunked_head(request),
        Action::Repeat(vec![b'0'; 64 << 10], PIECE_PAUSE),
    ]
}

/// Answers with interim responses without end.
fn interim_responses_without_end(_: &ReceivedRequest) -> Vec<Action> {
    let interim = b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2 << 10);
    vec![Action::Repeat(interim, PIECE_PAUSE)]
}

fn with_length(len: u64) -> String {
    format!("Content-Length: {len}\r\n\r\n")
}

fn chunk(len: usize) -> Vec<u8> {
    let mut bytes = format!("{len:x}\r\n").into_bytes();
    bytes.resize(bytes.len() + len, b'x');
    bytes.extend_from_slice(b"\r\n");
    bytes
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

/// Returns a body of the largest size without its last byte, in pieces.
fn short_body(piece: usize, pause: Option<Duration>) -> Shape {
    let pieces = MAX_BODY_BYTES / piece - 1;
    Shape {
        headers: Some(with_length(MAX_BODY_BYTES as u64)),
        piece: vec![b'x'; piece],
        pieces,
        last: vec![b'x'; piece - 1],
        pause,
    }
}

/// Returns a body in chunks, without the last one.
fn open_chunks(len: usize, pieces: usize) -> Shape {
    Shape {
        headers: Some(CHUNKED.to_owned()),
        piece: chunk(len),
        pieces,
        last: Vec::new(),
        pause: None,
    }
}

/// Returns 64 KiB in chunks of one byte, written together.
fn tiny_chunks() -> Shape {
    Shape {
        piece: chunk(1).repeat(4 << 10),
        ..open_chunks(1, 16)
    }
}

fn endless(headers: String, piece: Vec<u8>) -> Shape {
    Shape {
        headers: Some(headers),
        piece,
        pieces: 256,
        last: Vec::new(),
        pause: Some(PIECE_PAUSE),
    }
}

// Guards against a process that runs out of memory because many bodies at once do not end.
#[rstest]
#[case::at_once(1, short_body(MAX_BODY_BYTES, None))]
#[case::in_pieces(2, short_body(16 << 10, Some(PIECE_PAUSE)))]
#[case::in_large_chunks(3, open_chunks(256 << 10, 3))]
#[tokio::test]
async fn bodies_that_stop_short_stay_within_memory(#[case] number: u8, #[case] shape: Shape) {
    let mut bed = Bed::start(number, BODY_LIMITS, answer).await;
    let crowd = Crowd::gather(bed.process.callers(), CROWD, &shape).await;
    bed.assert_serves_within_limits(CHECKS).await;
    assert_eq!(bed.received_from_crowd(), 0);
    crowd.leave().await;
    assert!(bed.serves().await, "an ordinary request is not answered");
}

// Guards against a process that counts the bytes of chunks and not what it holds for each of them.
#[tokio::test]
async fn chunks_of_one_byte_stay_within_memory() {
    let limits = Limits {
        memory_mb: 48,
        descriptors: 500,
    };
    let mut bed = Bed::start(4, limits, answer).await;
    let crowd = Crowd::gather(bed.process.callers(), TINY_CROWD, &tiny_chunks()).await;
    bed.assert_serves_within_limits(TINY_CHECKS).await;
    assert_eq!(bed.received_from_crowd(), 0);
    crowd.leave().await;
}

// Guards against a process that runs out of memory because bodies are far larger than allowed.
#[rstest]
#[case::announced(5, endless(with_length(1 << 40), vec![b'x'; 64 << 10]), 413)]
#[case::just_sent(6, endless(CHUNKED.to_owned(), chunk(256 << 10)), 413)]
#[tokio::test]
async fn bodies_far_over_the_limit_stay_within_memory(
    #[case] number: u8,
    #[case] shape: Shape,
    #[case] refused: u16,
) {
    let mut bed = Bed::start(number, BODY_LIMITS, answer).await;
    let mut crowd = Crowd::gather(bed.process.callers(), CROWD, &shape).await;
    bed.assert_serves_within_limits(CHECKS).await;
    assert_eq!(bed.received_from_crowd(), 0);
    let statuses = crowd.statuses();
    let is_allowed = |status: &u16| [0, 503, refused].contains(status);
    assert!(statuses.iter().all(is_allowed), "{statuses:?}");
    crowd.leave().await;
}

// Guards against a process that runs out of memory because many whole requests wait for a target.
#[tokio::test]
async fn whole_bodies_that_wait_stay_within_memory() {
    let mut bed = Bed::start(7, BODY_LIMITS, hang).await;
    let shape = Shape {
        last: vec![b'x'; MAX_BODY_BYTES],
        pieces: 0,
        ..short_body(MAX_BODY_BYTES, None)
    };
    let mut crowd = Crowd::gather(bed.process.callers(), 2 * CROWD, &shape).await;
    bed.assert_serves_within_limits(CHECKS).await;
    let statuses = crowd.statuses();
    let is_allowed = |status: &u16| [0, 503].contains(status);
    assert!(statuses.iter().all(is_allowed), "{statuses:?}");
    crowd.leave().await;
}

// Guards against a process that runs out of memory because many heads do not end.
#[tokio::test]
async fn heads_that_stop_short_stay_within_memory() {
    let limits = Limits {
        memory_mb: 64,
        descriptors: 2_500,
    };
    let mut bed = Bed::start(8, limits, answer).await;
    let shape = Shape {
        headers: Some(format!("Padding: {}", "x".repeat(MAX_HEAD_BYTES - 2_000))),
        piece: Vec::new(),
        pieces: 0,
        last: Vec::new(),
        pause: None,
    };
    let crowd = Crowd::gather(bed.process.callers(), 1_200, &shape).await;
    bed.assert_serves_within_limits(CHECKS).await;
    crowd.leave().await;
}

/// Returns a request that is never begun.
fn silence() -> Shape {
    Shape {
        headers: None,
        piece: Vec::new(),
        pieces: 0,
        last: Vec::new(),
        pause: None,
    }
}

// Guards against an instance whose descriptors are all taken by connections without a request.
#[tokio::test]
async fn connections_without_requests_leave_descriptors() {
    let limits = Limits {
        memory_mb: 64,
        descriptors: 400,
    };
    let mut bed = Bed::start(9, limits, answer).await;
    let crowd = Crowd::gather(bed.process.callers(), 600, &silence()).await;
    bed.assert_serves_within_limits(CHECKS).await;
    crowd.leave().await;
}

// Guards against an instance whose descriptors are all taken at a port that serves no requests.
#[rstest]
#[case::directory(10, |process: &Process| process.directory())]
#[case::readiness(11, |process: &Process| process.ready())]
#[case::peer_calls(12, |process: &Process| process.peer_ports()[0])]
#[case::peer_requests(13, |process: &Process| process.peer_ports()[1])]
#[tokio::test]
async fn connections_to_other_ports_leave_descriptors(
    #[case] number: u8,
    #[case] port: fn(&Process) -> SocketAddr,
) {
    let limits = Limits {
        memory_mb: 64,
        descriptors: 400,
    };
    let mut bed = Bed::start(number, limits, answer).await;
    let crowd = Crowd::gather(port(&bed.process), 600, &silence()).await;
    bed.assert_serves_within_limits(CHECKS).await;
    crowd.leave().await;
}

// Guards against a process that runs out of memory because many callers do not read responses.
#[tokio::test]
async fn unread_responses_stay_within_memory() {
    let limits = Limits {
        memory_mb: 64,
        descriptors: 2_500,
    };
    let mut bed = Bed::start(14, limits, |request| ok(request, &"x".repeat(60_000))).await;
    let request = routed_request("GET /unsafe/unread", "unread", 60_000, "unread");
    let shape = Shape {
        headers: Some("\r\n".to_owned()),
        piece: request.repeat(100),
        pieces: 1,
        last: Vec::new(),
        pause: None,
    };
    let crowd = Crowd::gather(bed.process.callers(), 1_000, &shape).await;
    bed.assert_serves_within_limits(CHECKS).await;
    crowd.leave().await;
}

// Guards against callers that take all processor time with framing that has no end.
#[rstest]
#[case::chunk_size(16, |process: &Process| process.callers())]
#[case::chunk_size_at_the_directory(17, |process: &Process| process.directory())]
#[tokio::test]
async fn framing_without_end_of_callers_leaves_processor_time(
    #[case] number: u8,
    #[case] port: fn(&Process) -> SocketAddr,
) {
    let mut bed = Bed::start(number, BODY_LIMITS, answer).await;
    let shape = endless(CHUNKED.to_owned(), vec![b'0'; 64 << 10]);
    let mut crowd = Crowd::gather(port(&bed.process), TINY_CROWD, &shape).await;
    bed.assert_serves_within_limits(CHECKS).await;
    assert_eq!(bed.received_from_crowd(), 0);
    let statuses = crowd.statuses();
    assert_eq!(statuses.len(), TINY_CROWD);
    let is_allowed = |status: &u16| [0, 400, 404].contains(status);
    assert!(statuses.iter().all(is_allowed), "{statuses:?}");
    crowd.leave().await;
}

// Guards against targets that take all processor time with framing that has no end.
#[rstest]
#[case::chunk_size(18, chunk_size_without_end)]
#[case::interim_responses(19, interim_responses_without_end)]
#[tokio::test]
async fn framing_without_end_of_targets_leaves_processor_time(
    #[case] number: u8,
    #[case] respond: fn(&ReceivedRequest) -> Vec<Action>,
) {
    let mut bed = Bed::start(number, BODY_LIMITS, respond).await;
    let shape = Shape {
        headers: Some("\r\n".to_owned()),
        ..silence()
    };
    let mut crowd = Crowd::gather(bed.process.callers(), TINY_CROWD, &shape).await;
    bed.assert_serves_within_limits(CHECKS).await;
    // Each is answered long before its deadline; 503 states that it has not run.
    let statuses = crowd.statuses();
    assert_eq!(statuses.len(), TINY_CROWD);
    let failed = statuses.iter().filter(|status| **status == 502).count();
    assert_eq!(bed.received_from_crowd(), failed);
    let is_allowed = |status: &u16| [502, 503].contains(status);
    assert!(statuses.iter().all(is_allowed), "{statuses:?}");
    crowd.leave().await;
}

// Guards against limits on memory that refuse a single request of the largest size.
#[tokio::test]
async fn one_request_of_the_largest_size_is_served() {
    let mut bed = Bed::start(15, BODY_LIMITS, answer).await;
    let largest = |headers: &str| open_head("POST /safe/largest", "largest", 10_000, headers);
    let mut in_one = largest(&with_length(MAX_BODY_BYTES as u64));
    in_one.resize(in_one.len() + MAX_BODY_BYTES, b'x');
    let response = timeout(TIMEOUT, send(bed.process.callers(), &in_one)).await;
    assert_eq!(response.unwrap().status, 200);
    let mut in_chunks = largest(CHUNKED);
    in_chunks.extend(chunk(MAX_BODY_BYTES / 4).repeat(4));
    in_chunks.extend_from_slice(b"0\r\n\r\n");
    let response = timeout(TIMEOUT, send(bed.process.callers(), &in_chunks)).await;
    assert_eq!(response.unwrap().status, 200);
    let received = bed.target.received();
    let largest = received.iter().filter(|request| request.id() == "largest");
    assert!(
        largest.clone().count() == 2 && largest.clone().all(|it| it.body.len() == MAX_BODY_BYTES)
    );
    bed.assert_within_limits();
}
