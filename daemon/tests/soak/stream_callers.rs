//! Callers that keep many streams open, and what they received.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use celerypond_standins::caller::{prompt_request, send_on, ReceivedResponse};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{engines::EVENTS, fleet::address};

/// How long a caller waits for a whole stream.
pub(crate) const DEADLINE: Duration = Duration::from_secs(25);
/// How long a caller waits until a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause of a caller after a request that got no stream.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How a request for a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StreamEnd {
    Whole,
    /// The connection closed after the head of a response with status 200.
    ClosedEarly,
    /// The caller gave up at its deadline.
    Deadline,
    /// The events are not those of one whole stream.
    WrongEvents,
    /// The response has another status.
    Status(u16),
    /// The connection closed before a response.
    NoResponse,
    NoConnection,
}

/// A request for a stream as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct StreamRecord {
    pub(crate) id: String,
    pub(crate) instance: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: StreamEnd,
    /// The id of the last event received.
    pub(crate) last_event: u64,
}

/// Callers that each keep one stream open at one instance until they are stopped.
pub(crate) struct StreamCallers {
    tasks: JoinSet<()>,
    stop: CancellationToken,
    records: Arc<Mutex<Vec<StreamRecord>>>,
}

impl StreamCallers {
    pub(crate) fn start(instances: usize, streams_per_instance: usize, seed: u64) -> Self {
        let mut callers = Self {
            tasks: JoinSet::new(),
            stop: CancellationToken::new(),
            records: Arc::default(),
        };
        for index in 0..instances * streams_per_instance {
            let caller = StreamCaller {
                index,
                instance: index % instances,
                records: Arc::clone(&callers.records),
                stop: callers.stop.clone(),
            };
            let rng = SmallRng::seed_from_u64(seed ^ ((index as u64) << 32));
            callers.tasks.spawn(caller.run(rng));
        }
        callers
    }

    /// Waits until all streams have ended; returns all records.
    pub(crate) async fn stop(mut self) -> Vec<StreamRecord> {
        self.stop.cancel();
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut records)
    }
}

struct StreamCaller {
    index: usize,
    instance: usize,
    records: Arc<Mutex<Vec<StreamRecord>>>,
    stop: CancellationToken,
}

impl StreamCaller {
    async fn run(self, mut rng: SmallRng) {
        // Streams begin at different times.
        sleep(Duration::from_millis(rng.random_range(0..3_000))).await;
        let mut count = 0;
        while !self.stop.is_cancelled() {
            count += 1;
            let id = format!("{:x}{count:04x}", self.index + 0x1000);
            let record = self.open_stream(id).await;
            let has_begun = matches!(record.end, StreamEnd::Whole | StreamEnd::ClosedEarly);
            self.add(record);
            let pause = match has_begun {
                true => Duration::from_millis(rng.random_range(1..30)),
                false => RETRY_PAUSE,
            };
            sleep(pause).await;
        }
    }

    fn add(&self, record: StreamRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }

    async fn open_stream(&self, id: String) -> StreamRecord {
        let sent = Instant::now();
        let (end, last_event) = receive_stream(address(self.instance), &id).await;
        StreamRecord {
            id,
            instance: self.instance,
            sent,
            ended: Instant::now(),
            end,
            last_event,
        }
    }
}

async fn receive_stream(address: SocketAddr, id: &str) -> (StreamEnd, u64) {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(mut connection)) = connected else {
        return (StreamEnd::NoConnection, 0);
    };
    let request = stream_request(id);
    let response = timeout(DEADLINE, send_on(&mut connection, &request)).await;
    let Ok(response) = response else {
        return (StreamEnd::Deadline, 0);
    };
    let last_event = response.event_ids().last().copied().unwrap_or_default();
    (stream_end(&response), last_event)
}

fn stream_request(id: &str) -> Vec<u8> {
    let deadline_ms = DEADLINE.as_millis() as u32;
    prompt_request("POST /draft/1", id, deadline_ms, id, 560)
}

fn stream_end(response: &ReceivedResponse) -> StreamEnd {
    let ids = response.event_ids();
    let is_in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    match response.status {
        0 => StreamEnd::NoResponse,
        200 if !is_in_order => StreamEnd::WrongEvents,
        200 if !response.is_whole => StreamEnd::ClosedEarly,
        200 if ids.len() as u64 != EVENTS => StreamEnd::WrongEvents,
        200 => StreamEnd::Whole,
        status => StreamEnd::Status(status),
    }
}
