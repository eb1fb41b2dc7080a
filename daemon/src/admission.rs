//! Admits new requests and resumed answers while their targets have capacity.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_answer::{ResumeLimits, ResumeScheduler, WaiterKey};
use celerypond_route::{
    AdmissionQueue, InFlight, PickCriteria, QueueLimits, QueuedRequest, Refusal, Route, RoutingView,
};
use celerypond_telemetry::Gauge;
use celerypond_types::{NotRunReason, Priority, TargetKey, VersionKey};
use rand::rngs::SmallRng;
use tokio::{
    sync::{oneshot, Notify},
    time::{self, Instant},
};

use crate::node::Node;

/// The interval between checks of the queues while no request ends.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);
/// The rate of starts that is assumed for a pool until it has been measured.
const INITIAL_STARTS_PER_S: f64 = 50.0;
/// The retry delay for requests that are refused because the instance is stopping.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request's slot at a target, which counts as load from the moment it is granted.
#[derive(Debug)]
pub struct Permit {
    /// The target.
    pub target: TargetKey,
    /// Counts the request as load of the target until dropped.
    pub load: InFlight,
}

type GrantSender = oneshot::Sender<Result<Permit, Refusal>>;

/// The queues of new requests and resumed answers that wait for capacity.
#[derive(Default)]
pub struct Admission {
    inner: Mutex<Inner>,
    wake: Notify,
}

struct Inner {
    queues: HashMap<Route, AdmissionQueue<GrantSender>>,
    resume_scheduler: ResumeScheduler,
    resumes: HashMap<WaiterKey, oneshot::Sender<TargetKey>>,
    /// The engines that have not loaded a version, as of the last resume that was queued.
    not_loaded: HashMap<VersionKey, Vec<TargetKey>>,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            queues: HashMap::new(),
            resume_scheduler: ResumeScheduler::new(ResumeLimits::default()),
            resumes: HashMap::new(),
            not_loaded: HashMap::new(),
        }
    }
}

impl Admission {
    /// Waits until a new request may start.
    ///
    /// # Errors
    ///
    /// A final [`Refusal`], as soon as it is known that the request would start after its deadline;
    /// nothing was sent.
    pub async fn admit(
        &self,
        node: &Node,
        route: Route,
        criteria: &PickCriteria<'_>,
        request: QueuedRequest<()>,
    ) -> Result<Permit, Refusal> {
        let receiver = {
            let view = node.view.load();
            let now = Instant::now();
            let now_ms = view.clock().millis(now);
            let mut inner = self.lock();
            let is_queue_empty = inner
                .queues
                .get(&route)
                .is_none_or(AdmissionQueue::is_empty);
            if is_queue_empty && inner.admits_new(route) {
                let permit = try_begin(&view, route, criteria, request.priority, &mut node.rng());
                if let Some(permit) = permit {
                    return Ok(permit);
                }
            }
            let (sender, receiver) = oneshot::channel();
            inner
                .queue(route)
                .try_push(with_sender(request, sender), now_ms)?;
            receiver
        };
        receiver.await.unwrap_or(Err(Refusal {
            reason: NotRunReason::Stopping,
            retry_after: STOPPING_RETRY_AFTER,
        }))
    }

    /// Queues an answer of `version` for a target to resume at, ahead of all new requests.
    ///
    /// The receiver yields the target. Call [`Self::release_resume`] once the first token has
    /// arrived or the resume has failed.
    pub fn enqueue_resume(
        &self,
        version: VersionKey,
        not_loaded: Vec<TargetKey>,
        since: Instant,
    ) -> oneshot::Receiver<TargetKey> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        let waiter = inner.resume_scheduler.enqueue(version, since);
        inner.resumes.insert(waiter, sender);
        inner.not_loaded.insert(version, not_loaded);
        drop(inner);
        self.wake.notify_one();
        receiver
    }

    /// Releases the target of a granted resume, which has delivered its first token or failed.
    pub fn release_resume(&self, target: TargetKey) {
        self.lock().resume_scheduler.release(target);
        self.wake.notify_one();
    }

    /// Wakes the queues after a request has ended, as there may be capacity for another one.
    pub fn notify_ended(&self) {
        self.wake.notify_one();
    }

    /// Grants capacity to waiting requests until the instance ends.
    pub async fn run(node: Arc<Node>) {
        let mut rng = node.rng();
        while !node.shutdown.is_cancelled() {
            // Whether the wait was woken or timed out does not matter.
            let _ = time::timeout(QUEUE_INTERVAL, node.admission.wake.notified()).await;
            node.admission.grant_capacity(&node, &mut rng);
        }
        let mut inner = node.admission.lock();
        inner.queues.clear();
        inner.resumes.clear();
    }

    fn grant_capacity(&self, node: &Node, rng: &mut SmallRng) {
        let view = node.view.load();
        let now = Instant::now();
        let now_ms = view.clock().millis(now);
        let mut inner = self.lock();
        let instances = node.expected_instances() as u32;
        inner
            .resume_scheduler
            .set_limits(ResumeLimits::per_instance(instances));
        let suspects = node.suspects.add_to(Vec::new(), now);
        inner.grant_resumes(&view, &suspects, now, rng);
        inner.grant_new(&view, &suspects, now_ms, rng);
        let queued: usize = inner.queues.values().map(AdmissionQueue::len).sum();
        let waiting = queued + inner.resume_scheduler.waiting();
        node.metrics.set(Gauge::Waiting, waiting as u64);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn queue(&mut self, route: Route) -> &mut AdmissionQueue<GrantSender> {
        let queue = self.queues.entry(route);
        queue.or_insert_with(|| AdmissionQueue::new(QueueLimits::default(), INITIAL_STARTS_PER_S))
    }

    /// Returns whether new requests of the route may start, as no answer of it waits to resume.
    fn admits_new(&self, route: Route) -> bool {
        match route {
            Route::Version(version) => self.resume_scheduler.admits_new(version),
            Route::Service(_) => true,
        }
    }

    fn grant_resumes(
        &mut self,
        view: &RoutingView,
        suspects: &[TargetKey],
        now: Instant,
        rng: &mut SmallRng,
    ) {
        // An answer whose caller has disconnected leaves the queue.
        let disconnected: Vec<WaiterKey> = self
            .resumes
            .iter()
            .filter(|(_, sender)| sender.is_closed())
            .map(|(waiter, _)| *waiter)
            .collect();
        for waiter in disconnected {
            self.resumes.remove(&waiter);
            self.resume_scheduler.cancel(waiter);
        }
        let not_loaded = &self.not_loaded;
        while let Some(grant) = self.resume_scheduler.grant(|version, is_free| {
            let route = Route::Version(version);
            let busy = view
                .pool(route)?
                .target_keys()
                .filter(|target| !is_free(*target));
            let without_version = not_loaded.get(&version).into_iter().flatten();
            let others = suspects.iter().chain(without_version).copied();
            let excluded: Vec<TargetKey> = busy.chain(others).collect();
            let criteria = PickCriteria {
                excluded: &excluded,
                ..PickCriteria::default()
            };
            Some(view.pick(route, &criteria, now, rng).ok()?.target)
        }) {
            let Some(sender) = self.resumes.remove(&grant.waiter) else {
                continue;
            };
            if sender.send(grant.target).is_err() {
                self.resume_scheduler.release(grant.target);
            }
        }
    }

    fn grant_new(
        &mut self,
        view: &RoutingView,
        suspects: &[TargetKey],
        now_ms: u64,
        rng: &mut SmallRng,
    ) {
        let criteria = PickCriteria {
            excluded: suspects,
            ..PickCriteria::default()
        };
        let routes: Vec<Route> = self.queues.keys().copied().collect();
        for route in routes {
            let admits_new = self.admits_new(route);
            let Some(queue) = self.queues.get_mut(&route) else {
                continue;
            };
            for (request, refusal) in queue.expire(now_ms) {
                // The caller may have disconnected.
                let _ = request.item.send(Err(refusal));
            }
            while admits_new && !queue.is_empty() {
                if !grant_one(queue, view, route, &criteria, now_ms, rng) {
                    break;
                }
            }
        }
        self.not_loaded
            .retain(|version, _| view.pool(Route::Version(*version)).is_some());
        self.queues
            .retain(|route, queue| !queue.is_empty() || view.pool(*route).is_some());
    }
}

/// Admits the next queued request for which there is capacity; returns whether one was admitted.
fn grant_one(
    queue: &mut AdmissionQueue<GrantSender>,
    view: &RoutingView,
    route: Route,
    criteria: &PickCriteria<'_>,
    now_ms: u64,
    rng: &mut SmallRng,
) -> bool {
    let permit = try_begin(view, route, criteria, Priority::Draft, rng);
    let (permit, request) = match permit {
        Some(permit) => (permit, queue.pop(now_ms)),
        None => match try_begin(view, route, criteria, Priority::Interactive, rng) {
            Some(permit) => (permit, queue.pop_interactive(now_ms)),
            None => return false,
        },
    };
    match request {
        Some(request) => {
            // If the caller has disconnected, dropping the permit frees the slot.
            let _ = request.item.send(Ok(permit));
            true
        }
        None => false,
    }
}

fn try_begin(
    view: &RoutingView,
    route: Route,
    criteria: &PickCriteria<'_>,
    priority: Priority,
    rng: &mut SmallRng,
) -> Option<Permit> {
    let now = Instant::now();
    let choice = view.pick(route, criteria, now, rng).ok()?;
    if !choice.fits_quota(priority) {
        return None;
    }
    let state = &view.target(choice.target)?.state;
    Some(Permit {
        target: choice.target,
        load: state.begin_request(view.clock().millis(now))?,
    })
}

fn with_sender(request: QueuedRequest<()>, sender: GrantSender) -> QueuedRequest<GrantSender> {
    QueuedRequest {
        account: request.account,
        weight: request.weight,
        priority: request.priority,
        cost: request.cost,
        deadline: request.deadline,
        item: sender,
    }
}
