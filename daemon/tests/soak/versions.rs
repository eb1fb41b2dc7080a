//! Requests by routes of superseded configurations.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_standins::caller::{send, ReceivedResponse};
use rand::{rngs::SmallRng, seq::IndexedRandom as _, SeedableRng as _};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::fleet::{plain, Fleet};

/// The bound after which no request is served by a superseded version; the default of the settings.
const BOUND: Duration = Duration::from_secs(2);
/// How long an instance has to be undisturbed to report to the others what the store holds.
const STEADY: Duration = Duration::from_secs(3);
/// The time between two requests to an instance.
const PAUSE: Duration = Duration::from_millis(40);

/// When versions came, and since when instances are undisturbed.
#[derive(Clone, Default)]
pub(crate) struct Versions(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// Versions and when the store had acknowledged each.
    written: Vec<(u64, Instant)>,
    /// Since when each instance runs with a sound link; nothing while it does not.
    calm: Vec<Option<Instant>>,
    /// Requests that were served by a version superseded for longer than the bound.
    late: Vec<String>,
}

impl Versions {
    pub(crate) fn new(instances: usize) -> Self {
        let versions = Self::default();
        versions.lock().calm = vec![Some(Instant::now()); instances];
        versions
    }

    /// Records that the store has acknowledged a version.
    pub(crate) fn written(&self, version: u64) {
        self.lock().written.push((version, Instant::now()));
    }

    /// Records that a fault of an instance begins or ends.
    pub(crate) fn set_calm(&self, instance: usize, is_calm: bool) {
        self.lock().calm[instance] = is_calm.then(Instant::now);
    }

    /// Returns the requests that were served by a version superseded for longer than the bound.
    pub(crate) fn late(&self) -> Vec<String> {
        self.lock().late.clone()
    }

    /// Returns the versions that were superseded for longer than the bound, if some instance can report the newest.
    fn superseded(&self, now: Instant) -> Vec<u64> {
        let state = self.lock();
        let mut since = state.calm.iter().flatten();
        if !since.any(|since| now.saturating_duration_since(*since) > STEADY) {
            return Vec::new();
        }
        let pairs = state.written.windows(2);
        let old = pairs.filter(|pair| now.saturating_duration_since(pair[1].1) > BOUND);
        old.map(|pair| pair[0].0).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests to each instance by routes of superseded versions, until they are stopped.
pub(crate) struct Probes {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Probes {
    pub(crate) fn start(fleet: &Fleet, seed: u64) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for address in fleet.addresses() {
            let rng = SmallRng::seed_from_u64(seed);
            tasks.spawn(probe(address, fleet.versions.clone(), stop.clone(), rng));
        }
        Self { tasks, stop }
    }

    pub(crate) async fn stop(mut self) {
        self.stop.cancel();
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
    }
}

async fn probe(
    address: SocketAddr,
    versions: Versions,
    stop: CancellationToken,
    mut rng: SmallRng,
) {
    let mut count = 0;
    while !stop.is_cancelled() {
        sleep(PAUSE).await;
        let sent = Instant::now();
        let Some(version) = versions.superseded(sent).choose(&mut rng).copied() else {
            continue;
        };
        count += 1;
        let request = plain(&format!("GET /v{version}/probe"), &format!("probe{count}"));
        let got = timeout(Duration::from_secs(1), send(address, &request)).await;
        if got.is_ok_and(|got: ReceivedResponse| got.status == 200) {
            let mut state = versions.lock();
            let superseded = state.written.iter().find(|one| one.0 > version);
            let age = superseded.map(|one| sent.saturating_duration_since(one.1));
            let line = format!("{address} served version {version} {age:?} after the next one");
            state.late.push(line);
        }
    }
}
