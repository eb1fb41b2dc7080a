//! Callers that send requests during a run.

use std::{net::SocketAddr, time::Duration};

use celerypond_standins::caller::{send_on, ReceivedResponse};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use tokio::{net::TcpStream, task::JoinSet, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::{plain_request, stream_request, Fleet},
    record::{RequestKind, ResponseLog},
};

/// Number of concurrent callers.
const CALLERS: u64 = 12;
/// How long a caller waits for a whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(9);
/// How long a caller waits until a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Callers that send requests until they are stopped, each over one connection for as long as it lasts.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Callers {
    pub(crate) fn start(fleet: &Fleet, responses: &ResponseLog, seed: u64) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for index in 0..CALLERS {
            let rng = SmallRng::seed_from_u64(seed * CALLERS + index);
            let caller = Caller {
                addresses: fleet.addresses(),
                rng,
                index,
                connection: None,
            };
            tasks.spawn(caller.run(responses.clone(), stop.clone()));
        }
        Self { tasks, stop }
    }

    /// Waits until all callers have finished their current requests.
    pub(crate) async fn stop(mut self) {
        self.stop.cancel();
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
    }
}

struct Caller {
    addresses: Vec<SocketAddr>,
    rng: SmallRng,
    index: u64,
    connection: Option<TcpStream>,
}

impl Caller {
    async fn run(mut self, responses: ResponseLog, stop: CancellationToken) {
        let mut count = 0;
        while !stop.is_cancelled() {
            count += 1;
            let id = format!("{:x}{count:04x}", self.index + 16);
            let (kind, request) = match self.rng.random_range(0..6) {
                0 => (RequestKind::Stream, stream_request(&id)),
                1 | 2 => (
                    RequestKind::Safe,
                    plain_request(&format!("GET /safe/{id}"), &id),
                ),
                _ => (
                    RequestKind::Unsafe,
                    plain_request(&format!("POST /unsafe/{id}"), &id),
                ),
            };
            let response = self.send_request(&request).await;
            responses.add(kind, id, response);
            let pause = self.rng.random_range(1..30);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn send_request(&mut self, request: &[u8]) -> ReceivedResponse {
        let connection = match self.connection.take() {
            Some(connection) => Some(connection),
            None => self.connect().await,
        };
        let Some(mut connection) = connection else {
            return ReceivedResponse::default();
        };
        let response = timeout(RESPONSE_TIMEOUT, send_on(&mut connection, request)).await;
        let response = response.unwrap_or_default();
        if response.is_whole && !response.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        response
    }

    async fn connect(&mut self) -> Option<TcpStream> {
        let address_index = self.rng.random_range(0..self.addresses.len());
        let connected = timeout(
            CONNECT_TIMEOUT,
            TcpStream::connect(self.addresses[address_index]),
        )
        .await;
        connected.ok()?.ok()
    }
}
