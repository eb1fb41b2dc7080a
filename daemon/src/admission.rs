//! Lets new requests and resumed answers begin while their targets have room.

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

/// How often the queues are looked at when nothing ends meanwhile.
const STEP: Duration = Duration::from_millis(20);
/// How many starts a second a pool is taken to have until they are measured.
const FIRST_PACE: f64 = 50.0;
/// When to come back to an instance that ends.
const COME_BACK: Duration = Duration::from_secs(1);

/// A request's place at a target, counted from the moment it was given.
#[derive(Debug)]
pub struct Permit {
    /// The target.
    pub target: TargetKey,
    /// Counts the request at the target until dropped.
    pub load: InFlight,
}

type Grant = oneshot::Sender<Result<Permit, Refusal>>;

/// The requests that wait to begin.
#[derive(Default)]
pub struct Admission {
    inner: Mutex<Inner>,
    ended: Notify,
}

struct Inner {
    queues: HashMap<Route, AdmissionQueue<Grant>>,
    resume_scheduler: ResumeScheduler,
    resumes: HashMap<WaiterKey, oneshot::Sender<TargetKey>>,
    /// The engines that have not loaded a version, as those who wait to resume last saw it.
    unloaded: HashMap<VersionKey, Vec<TargetKey>>,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            queues: HashMap::new(),
            resume_scheduler: ResumeScheduler::new(ResumeLimits::default()),
            resumes: HashMap::new(),
            unloaded: HashMap::new(),
        }
    }
}

impl Admission {
    /// Waits until a new request may begin.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that is final, given as soon as it is known that the request would begin too
    /// late; nothing was sent.
    pub async fn admit(
        &self,
        node: &Node,
        route: Route,
        ask: &PickCriteria<'_>,
        waiting: QueuedRequest<()>,
    ) -> Result<Permit, Refusal> {
        let receiver = {
            let view = node.view.load();
            let now = Instant::now();
            let now_ms = view.clock().millis(now);
            let mut inner = self.lock();
            let is_first = inner
                .queues
                .get(&route)
                .is_none_or(AdmissionQueue::is_empty);
            if is_first && inner.admits(route) {
                let permit = begin(&view, route, ask, waiting.priority, &mut node.rng());
                if let Some(permit) = permit {
                    return Ok(permit);
                }
            }
            let (grant, receiver) = oneshot::channel();
            inner.queue(route).try_push(hold(waiting, grant), now_ms)?;
            receiver
        };
        receiver.await.unwrap_or(Err(Refusal {
            reason: NotRunReason::Stopping,
            retry_after: COME_BACK,
        }))
    }

    /// Lets an answer of `version` wait for a target to go on at, before all new requests.
    ///
    /// Call [`Self::settled`] once its first token came or it failed.
    pub fn resume(
        &self,
        version: VersionKey,
        unloaded: Vec<TargetKey>,
        since: Instant,
    ) -> oneshot::Receiver<TargetKey> {
        let (grant, receiver) = oneshot::channel();
        let mut inner = self.lock();
        let waiter = inner.resume_scheduler.enqueue(version, since);
        inner.resumes.insert(waiter, grant);
        inner.unloaded.insert(version, unloaded);
        drop(inner);
        self.ended.notify_one();
        receiver
    }

    /// Notes that a resumed answer goes on or has failed.
    pub fn settled(&self, target: TargetKey) {
        self.lock().resume_scheduler.release(target);
        self.ended.notify_one();
    }

    /// Notes that a request has ended, so that another may have room.
    pub fn ended(&self) {
        self.ended.notify_one();
    }

    /// Gives places to those who wait, until the instance ends.
    pub async fn run(node: Arc<Node>) {
        let mut rng = node.rng();
        while !node.shutdown.is_cancelled() {
            // Either wake-up leads to the same look at the queues.
            let _ = time::timeout(STEP, node.admission.ended.notified()).await;
            node.admission.step(&node, &mut rng);
        }
        let mut inner = node.admission.lock();
        inner.queues.clear();
        inner.resumes.clear();
    }

    fn step(&self, node: &Node, rng: &mut SmallRng) {
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
        let waiting: usize = inner.queues.values().map(AdmissionQueue::len).sum();
        let waiting = waiting + inner.resume_scheduler.waiting();
        node.metrics.set(Gauge::Waiting, waiting as u64);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn queue(&mut self, route: Route) -> &mut AdmissionQueue<Grant> {
        let queue = self.queues.entry(route);
        queue.or_insert_with(|| AdmissionQueue::new(QueueLimits::default(), FIRST_PACE))
    }

    /// Returns whether no answer of the route waits to be resumed.
    fn admits(&self, route: Route) -> bool {
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
        // Answers whose caller has gone wait no longer.
        let gone: Vec<WaiterKey> = self
            .resumes
            .iter()
            .filter(|(_, grant)| grant.is_closed())
            .map(|(waiter, _)| *waiter)
            .collect();
        for waiter in gone {
            self.resumes.remove(&waiter);
            self.resume_scheduler.cancel(waiter);
        }
        let unloaded = &self.unloaded;
        while let Some(grant) = self.resume_scheduler.grant(|version, is_free| {
            let route = Route::Version(version);
            let busy = view
                .pool(route)?
                .target_keys()
                .filter(|target| !is_free(*target));
            let without = unloaded.get(&version).into_iter().flatten();
            let others = suspects.iter().chain(without).copied();
            let excluded: Vec<TargetKey> = busy.chain(others).collect();
            let ask = PickCriteria {
                excluded: &excluded,
                ..PickCriteria::default()
            };
            Some(view.pick(route, &ask, now, rng).ok()?.target)
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
        let ask = PickCriteria {
            excluded: suspects,
            ..PickCriteria::default()
        };
        let routes: Vec<Route> = self.queues.keys().copied().collect();
        for route in routes {
            let is_open = self.admits(route);
            let Some(queue) = self.queues.get_mut(&route) else {
                continue;
            };
            for (waiting, refusal) in queue.expire(now_ms) {
                // A caller that went away needs no answer.
                let _ = waiting.item.send(Err(refusal));
            }
            while is_open && !queue.is_empty() {
                if !grant_one(queue, view, route, &ask, now_ms, rng) {
                    break;
                }
            }
        }
        self.unloaded
            .retain(|version, _| view.pool(Route::Version(*version)).is_some());
        self.queues
            .retain(|route, queue| !queue.is_empty() || view.pool(*route).is_some());
    }
}

/// Gives a place to the next request that may have it; returns whether to go on.
fn grant_one(
    queue: &mut AdmissionQueue<Grant>,
    view: &RoutingView,
    route: Route,
    ask: &PickCriteria<'_>,
    now_ms: u64,
    rng: &mut SmallRng,
) -> bool {
    let any = begin(view, route, ask, Priority::Draft, rng);
    let (permit, waiting) = match any {
        Some(permit) => (permit, queue.pop(now_ms)),
        None => match begin(view, route, ask, Priority::Interactive, rng) {
            Some(permit) => (permit, queue.pop_interactive(now_ms)),
            None => return false,
        },
    };
    match waiting {
        Some(waiting) => {
            // A caller that went away gives its place back by dropping it.
            let _ = waiting.item.send(Ok(permit));
            true
        }
        None => false,
    }
}

fn begin(
    view: &RoutingView,
    route: Route,
    ask: &PickCriteria<'_>,
    priority: Priority,
    rng: &mut SmallRng,
) -> Option<Permit> {
    let now = Instant::now();
    let choice = view.pick(route, ask, now, rng).ok()?;
    if !choice.fits_quota(priority) {
        return None;
    }
    let state = &view.target(choice.target)?.state;
    Some(Permit {
        target: choice.target,
        load: state.begin_request(view.clock().millis(now))?,
    })
}

fn hold(waiting: QueuedRequest<()>, item: Grant) -> QueuedRequest<Grant> {
    QueuedRequest {
        account: waiting.account,
        weight: waiting.weight,
        priority: waiting.priority,
        cost: waiting.cost,
        deadline: waiting.deadline,
        item,
    }
}
