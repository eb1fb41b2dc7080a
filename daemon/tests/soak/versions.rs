//! Requests that match only routes of superseded configurations.

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

use crate::fleet::{plain_request, Fleet};

/// How long a superseded version may still serve requests; the default of the settings.
const STALENESS_BOUND: Duration = Duration::from_secs(2);
/// How long an instance must be free of faults until it reports the newest version in the store to the others.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Interval between probes of one instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);

/// When versions were written to the store, and since when each instance is free of faults.
#[derive(Clone, Default)]
pub(crate) struct ConfigVersions(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// Each version and when the store acknowledged it.
    written: Vec<(u64, Instant)>,
    /// Since when each instance runs with a healthy link to the store; `None` during a fault.
    undisturbed_since: Vec<Option<Instant>>,
    /// A line for each request that was served by a version superseded for longer than [`STALENESS_BOUND`].
    late_responses: Vec<String>,
}

impl ConfigVersions {
    pub(crate) fn new(instances: usize) -> Self {
        let versions = Self::default();
        versions.lock().undisturbed_since = vec![Some(Instant::now()); instances];
        versions
    }

    /// Records that the store has acknowledged a version.
    pub(crate) fn written(&self, version: u64) {
        self.lock().written.push((version, Instant::now()));
    }

    /// Records that a fault of an instance begins or has ended.
    pub(crate) fn set_undisturbed(&self, instance: usize, is_undisturbed: bool) {
        self.lock().undisturbed_since[instance] = is_undisturbed.then(Instant::now);
    }

    /// Returns a line for each request that was served by a version superseded for longer than [`STALENESS_BOUND`].
    pub(crate) fn late_responses(&self) -> Vec<String> {
        self.lock().late_responses.clone()
    }

    /// Returns the versions superseded for longer than [`STALENESS_BOUND`], or none unless some instance has been free of
    /// faults for long enough to report the newest.
    fn superseded(&self, now: Instant) -> Vec<u64> {
        let state = self.lock();
        let mut since = state.undisturbed_since.iter().flatten();
        if !since.any(|since| now.saturating_duration_since(*since) > RECOVERY_TIME) {
            return Vec::new();
        }
        let pairs = state.written.windows(2);
        let superseded_pairs =
            pairs.filter(|pair| now.saturating_duration_since(pair[1].1) > STALENESS_BOUND);
        superseded_pairs.map(|pair| pair[0].0).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tasks that probe each instance with routes of superseded versions until they are stopped.
pub(crate) struct SupersededRouteProbes {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl SupersededRouteProbes {
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
    versions: ConfigVersions,
    stop: CancellationToken,
    mut rng: SmallRng,
) {
    let mut count = 0;
    while !stop.is_cancelled() {
        sleep(PROBE_INTERVAL).await;
        let sent = Instant::now();
        let Some(version) = versions.superseded(sent).choose(&mut rng).copied() else {
            continue;
        };
        count += 1;
        let request = plain_request(&format!("GET /v{version}/probe"), &format!("probe{count}"));
        let response = timeout(Duration::from_secs(1), send(address, &request)).await;
        if response.is_ok_and(|response: ReceivedResponse| response.status == 200) {
            let mut state = versions.lock();
            let superseded = state.written.iter().find(|entry| entry.0 > version);
            let age = superseded.map(|entry| sent.saturating_duration_since(entry.1));
            let line =
                format!("{address} served version {version} {age:?} after a newer one was written");
            state.late_responses.push(line);
        }
    }
}
