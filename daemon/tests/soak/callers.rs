//! Callers that ask and ask again.

use std::{net::SocketAddr, time::Duration};

use celerypond_standins::caller::{send_on, ReceivedResponse};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use tokio::{net::TcpStream, task::JoinSet, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::{plain, stream, Fleet},
    record::{Kind, Record},
};

/// Callers at work at a time.
const CALLERS: u64 = 12;
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(9);
/// How long a caller waits for a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// Callers that ask and ask again, each on its connection for as long as that lasts.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Callers {
    pub(crate) fn start(fleet: &Fleet, record: &Record, seed: u64) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for n in 0..CALLERS {
            let rng = SmallRng::seed_from_u64(seed * CALLERS + n);
            let caller = Caller {
                addresses: fleet.addresses(),
                rng,
                number: n,
                connection: None,
            };
            tasks.spawn(caller.run(record.clone(), stop.clone()));
        }
        Self { tasks, stop }
    }

    /// Lets all callers finish what they have asked.
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
    number: u64,
    connection: Option<TcpStream>,
}

impl Caller {
    async fn run(mut self, record: Record, stop: CancellationToken) {
        let mut count = 0;
        while !stop.is_cancelled() {
            count += 1;
            let id = format!("{:x}{count:04x}", self.number + 16);
            let (kind, request) = match self.rng.random_range(0..6) {
                0 => (Kind::Stream, stream(&id)),
                1 | 2 => (Kind::Safe, plain(&format!("GET /safe/{id}"), &id)),
                _ => (Kind::Unsafe, plain(&format!("POST /unsafe/{id}"), &id)),
            };
            let got = self.ask(&request).await;
            record.add(kind, id, got);
            let pause = self.rng.random_range(1..30);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn ask(&mut self, request: &[u8]) -> ReceivedResponse {
        let connection = match self.connection.take() {
            Some(connection) => Some(connection),
            None => self.connect().await,
        };
        let Some(mut connection) = connection else {
            return ReceivedResponse::default();
        };
        let got = timeout(PATIENCE, send_on(&mut connection, request)).await;
        let got = got.unwrap_or_default();
        if got.is_whole && !got.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        got
    }

    async fn connect(&mut self) -> Option<TcpStream> {
        let at = self.rng.random_range(0..self.addresses.len());
        let connected = timeout(CONNECT, TcpStream::connect(self.addresses[at])).await;
        connected.ok()?.ok()
    }
}
