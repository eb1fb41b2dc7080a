//! Backup copies of running streams' memory at other engines.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_adapter::engine;
use celerypond_relay::{CopyRoom, MemoryUse, Urgency};
use celerypond_telemetry::Counter;
use celerypond_types::TargetKey;
use http::{Method, StatusCode};
use rand::Rng as _;
use smol_str::SmolStr;
use tokio::time::{sleep, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{
    engine_calls,
    reachability::{is_partitioned_from, probe},
    routed_request::TargetRequirements,
    state::RelayState,
};

/// The interval between two checks whether the holder of a copy is still alive.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a run may be without any copy before the first one is ordered.
const FIRST_ORDER_DELAY: Duration = Duration::from_millis(50);
/// The interval between two orders to update a copy. What is generated meanwhile, about 25 tokens,
/// is read again within a few milliseconds.
const REFRESH_INTERVAL: Duration = Duration::from_millis(800);
/// The time in which no engine that has ended is back and has been ordered to copy.
const MIN_RESTART_TIME: Duration = Duration::from_millis(300);
/// The timeout of an order to copy. A whole prompt takes tens of milliseconds, and may wait for
/// others.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Where a copy of a run's memory is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CopyLocation {
    /// The engine that holds the copy.
    pub(super) holder: TargetKey,
    /// Where the copy was ordered from and its name there; `None` for a copy that the engine makes
    /// on its own from the start of the run.
    pub(super) ordered: Option<OrderedCopy>,
}

impl CopyLocation {
    /// Returns the location of a copy that an engine makes on its own.
    pub(super) const fn of_engine(holder: TargetKey) -> Self {
        Self {
            holder,
            ordered: None,
        }
    }
}

/// The source and name of a copy that was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OrderedCopy {
    pub(super) from: SocketAddr,
    pub(super) handle: SmolStr,
    /// The start of the engine that it was ordered from, in Unix milliseconds.
    pub(super) born: Option<u64>,
    /// When that engine was last known to run.
    pub(super) known_at: Instant,
}

impl OrderedCopy {
    /// Returns whether the name still denotes this copy. An engine that starts again begins its names
    /// anew, and may have given this one to the copy of another run.
    pub(super) async fn is_current(&self, state: &RelayState) -> bool {
        if self.has_listed_replacement(state) {
            return false;
        }
        if self.known_at.elapsed() < MIN_RESTART_TIME {
            return true;
        }
        // Nothing can have been ordered from an engine that is not back.
        if !state.connections.is_alive(self.from).await {
            return true;
        }
        let Ok(path) = engine::REPORT_PATH.parse() else {
            return false;
        };
        let report = engine_calls::call(
            state,
            self.from,
            Method::GET,
            path,
            Vec::new(),
            ORDER_TIMEOUT,
        );
        let report = report.await.filter(|it| it.status == StatusCode::OK);
        report.is_some_and(|report| {
            let born = engine::decode_born(&report.body);
            born.is_none() || born == self.born
        })
    }

    /// Returns whether the list of targets has another start of the engine.
    fn has_listed_replacement(&self, state: &RelayState) -> bool {
        let targets = state.view.targets();
        targets.has_other_start(self.from, self.born)
    }
}

/// The copy of one run, which is updated while the run continues.
pub(super) struct RunCopy {
    location: Arc<Mutex<Option<CopyLocation>>>,
    /// The task that updates the copy. It ends when this is dropped.
    task: Option<(Arc<CopyTask>, DropGuard)>,
}

/// The run that is copied.
pub(super) struct CopiedRun {
    pub(super) request: SmolStr,
    pub(super) engine: TargetKey,
    pub(super) address: SocketAddr,
    /// The start of the engine.
    pub(super) born: Option<u64>,
    pub(super) requirements: TargetRequirements,
}

impl RunCopy {
    /// Starts the task that maintains the copy of a run.
    ///
    /// When engines of one data centre die, the copies that they hold are lost. If engines of
    /// another data centre die seconds later, runs there without a copy have to be read again. So a
    /// new copy of a run is ordered as soon as the previous one is lost.
    pub(super) fn start(
        state: &Arc<RelayState>,
        run: CopiedRun,
        backup_holder: Option<TargetKey>,
    ) -> Self {
        let backup_holder = backup_holder.map(CopyLocation::of_engine);
        let location = Arc::new(Mutex::new(backup_holder));
        let cancellation = CancellationToken::new();
        let task = Arc::new(CopyTask {
            state: Arc::clone(state),
            run,
            location: Arc::clone(&location),
            releasing: Mutex::default(),
            cancellation: cancellation.clone(),
        });
        state.tasks.spawn(Arc::clone(&task).run());
        Self {
            location,
            task: Some((task, cancellation.drop_guard())),
        }
    }

    /// Creates a copy that the engine makes on its own, for engines that do not accept orders to
    /// copy.
    pub(super) fn of_engine(holder: TargetKey) -> Self {
        let copy = CopyLocation::of_engine(holder);
        Self {
            location: Arc::new(Mutex::new(Some(copy))),
            task: None,
        }
    }

    /// Releases the memory of an ordered copy after the run has ended successfully.
    pub(super) fn finish(self) {
        if let Some((task, _guard)) = self.task {
            let state = Arc::clone(&task.state);
            state.tasks.spawn(async move {
                task.withdraw();
                task.release_withdrawn().await;
            });
        }
    }

    /// Returns where the copy is, if there is one. The run's engine ran until now.
    pub(super) fn location(&self) -> Option<CopyLocation> {
        let mut location = current_location(&self.location)?;
        if let Some(ordered) = &mut location.ordered {
            ordered.known_at = Instant::now();
        }
        Some(location)
    }
}

struct CopyTask {
    state: Arc<RelayState>,
    run: CopiedRun,
    location: Arc<Mutex<Option<CopyLocation>>>,
    /// The ordered copy that is being released. Its engine may still hold its memory.
    releasing: Mutex<Option<OrderedCopy>>,
    cancellation: CancellationToken,
}

impl CopyTask {
    async fn run(self: Arc<Self>) {
        let mut refreshed = Instant::now();
        let mut room = match current_location(&self.location) {
            Some(_) => CopyRoom::default(),
            None => new_run_room(&self.state, &self.run.requirements),
        };
        let mut has_yielded = false;
        // A run without a copy needs one soon, but one that moves at its first event does not, so
        // the first order is delayed a little.
        let mut wait = match current_location(&self.location) {
            Some(_) => CHECK_INTERVAL,
            None => FIRST_ORDER_DELAY,
        };
        loop {
            tokio::select! {
                () = self.cancellation.cancelled() => return,
                () = self.state.ending.cancelled() => return,
                () = sleep(wait) => {}
            }
            wait = CHECK_INTERVAL;
            // Nothing can be checked or ordered until the partition ends, and nothing is ordered from an
            // engine that wants no requests.
            if is_partitioned_from(&self.state, self.run.engine) || self.is_engine_cooling_down() {
                continue;
            }
            if let Some(memory) = room_change(&self.state, &mut room, &self.run.requirements) {
                let is_ordered = |copy: CopyLocation| copy.ordered.is_some();
                if room.yields() {
                    has_yielded = current_location(&self.location).is_some_and(is_ordered);
                }
                if has_yielded {
                    self.record_room_change(room, &memory);
                }
                if !room.yields() {
                    // Many runs find at the same moment that there is room again.
                    wait = rand::rng().random_range(Duration::ZERO..CHECK_INTERVAL);
                    continue;
                }
            }
            if room.yields() {
                self.withdraw();
                self.release_withdrawn().await;
                self.forget_lost().await;
                continue;
            }
            // The next order may name the same copy, which must not be released then.
            *self.releasing() = None;
            let copy = current_location(&self.location);
            let is_lost = match &copy {
                Some(copy) => self.is_lost(copy).await,
                None => true,
            };
            let is_ordered = copy.as_ref().is_some_and(|copy| copy.ordered.is_some());
            let is_old = is_ordered && refreshed.elapsed() >= REFRESH_INTERVAL;
            if !is_lost && !is_old {
                continue;
            }
            let holder = copy.filter(|_| !is_lost).map(|copy| copy.holder);
            let Some(holder) = holder.or_else(|| self.choose_holder()) else {
                continue;
            };
            let ordered = self.order_copy(holder).await;
            if is_lost {
                log::info!(
                    request = self.run.request.as_str(),
                    is_copied = ordered.is_some();
                    "copy lost, another one ordered"
                );
            }
            // A copy that could not be updated, as by an engine that has just died, still holds what
            // it had.
            if is_lost || ordered.is_some() {
                *self.location.lock().unwrap_or_else(PoisonError::into_inner) = ordered;
            }
            refreshed = Instant::now();
        }
    }

    /// Returns whether the holder of a copy is dead. If other engines of its data centre have died,
    /// the holder is probed, since no other request may have found out yet.
    async fn is_lost(&self, copy: &CopyLocation) -> bool {
        let (is_lost, is_doubtful) = {
            let targets = self.state.view.targets();
            let holder = targets.get(copy.holder);
            let is_dead = holder.is_none_or(|holder| holder.is_believed_dead(Instant::now()));
            let query = self.run.requirements.query(&[]);
            let is_doubtful = targets.is_doubtful(copy.holder, &query, Instant::now());
            (is_dead || !targets.is_usable(copy.holder), is_doubtful)
        };
        if is_lost || !is_doubtful {
            return is_lost;
        }
        !probe(&self.state, copy.holder).await
    }

    fn is_engine_cooling_down(&self) -> bool {
        let targets = self.state.view.targets();
        targets.is_cooling_down(self.run.engine, Instant::now())
    }

    fn choose_holder(&self) -> Option<TargetKey> {
        let query = self.run.requirements.query(&[]);
        let targets = self.state.view.targets();
        targets.select_backup(self.run.engine, &query, Instant::now())
    }

    async fn order_copy(&self, holder: TargetKey) -> Option<CopyLocation> {
        let target = self.state.view.address_of(holder)?;
        let body = engine::encode_copy_order(&self.run.request, target);
        let answer = engine_calls::call(
            &self.state,
            self.run.address,
            Method::POST,
            engine::COPY_PATH.parse().ok()?,
            body,
            ORDER_TIMEOUT,
        )
        .await?;
        if answer.status != StatusCode::OK {
            return None;
        }
        let handle = engine::decode_copy_handle(&answer.body).ok()?;
        Some(CopyLocation {
            holder,
            ordered: Some(OrderedCopy {
                from: self.run.address,
                handle,
                born: self.run.born,
                known_at: Instant::now(),
            }),
        })
    }

    fn record_room_change(&self, room: CopyRoom, memory: &MemoryUse) {
        let counter = match room.yields() {
            true => Counter::CopiesYielded,
            false => Counter::CopiesReturned,
        };
        self.state.metrics.add(counter, 1);
        let urgency = self.run.requirements.urgency;
        log::info!(
            request = self.run.request.as_str(),
            urgency = urgency.map(|urgency| urgency.level()),
            memory_share = memory.share(),
            is_copied = current_location(&self.location).is_some(),
            yields = room.yields();
            "copy of a run yields room, or may return"
        );
    }

    /// Forgets a copy whose holder is dead and that is not ordered again now. A run that is resumed
    /// would try that holder first.
    async fn forget_lost(&self) {
        let Some(copy) = current_location(&self.location) else {
            return;
        };
        if self.is_lost(&copy).await {
            *self.location.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
    }

    /// Begins to release an ordered copy. The run counts as not copied from then on, as its engine
    /// may release the copy at any moment, and die before it answers.
    fn withdraw(&self) {
        let mut location = self.location.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(ordered) = location.as_ref().and_then(|copy| copy.ordered.clone()) else {
            return;
        };
        *location = None;
        *self.releasing() = Some(ordered);
    }

    /// Releases the copy that was withdrawn, if there is one. Without a success it is tried again at
    /// the next check, as the engine may still hold the memory.
    async fn release_withdrawn(&self) {
        let Some(ordered) = self.releasing().clone() else {
            return;
        };
        if self.release(&ordered).await {
            *self.releasing() = None;
        }
    }

    fn releasing(&self) -> MutexGuard<'_, Option<OrderedCopy>> {
        self.releasing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Releases an ordered copy; returns whether its engine has stated that it is gone.
    async fn release(&self, ordered: &OrderedCopy) -> bool {
        if ordered.has_listed_replacement(&self.state) {
            return true;
        }
        let Ok(path) = engine::copy_release_path(&ordered.handle).parse() else {
            return true;
        };
        let answer = engine_calls::call(
            &self.state,
            ordered.from,
            Method::DELETE,
            path,
            Vec::new(),
            ORDER_TIMEOUT,
        );
        let is_gone = |status: StatusCode| status.is_success() || status == StatusCode::NOT_FOUND;
        answer.await.is_some_and(|answer| is_gone(answer.status))
    }
}

/// Returns the urgency by which copies of a run yield room; `None` if they do not.
fn yielding_urgency(state: &RelayState, requirements: &TargetRequirements) -> Option<Urgency> {
    let yields = state.settings.load().copies_yield;
    requirements.urgency.filter(|_| yields)
}

/// Returns whether a run that has no copy yet may have one. Runs of services whose requests are all
/// equally urgent always may.
pub(super) fn new_run_room(state: &RelayState, requirements: &TargetRequirements) -> CopyRoom {
    let Some(urgency) = yielding_urgency(state, requirements) else {
        return CopyRoom::default();
    };
    let query = requirements.query(&[]);
    let memory = state.view.targets().memory_use(&query, Instant::now());
    memory.map_or_else(CopyRoom::default, |memory| {
        CopyRoom::of_new_run(urgency, &memory)
    })
}

/// Updates whether a run may have a copy. Returns the use of the engines' memory if that changed.
/// Runs of services whose requests are all equally urgent may always have copies.
fn room_change(
    state: &RelayState,
    room: &mut CopyRoom,
    requirements: &TargetRequirements,
) -> Option<MemoryUse> {
    let urgency = yielding_urgency(state, requirements)?;
    let query = requirements.query(&[]);
    let memory = state.view.targets().memory_use(&query, Instant::now())?;
    room.update(urgency, &memory).then_some(memory)
}

fn current_location(location: &Mutex<Option<CopyLocation>>) -> Option<CopyLocation> {
    location
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
}
