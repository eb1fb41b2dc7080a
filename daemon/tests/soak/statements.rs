//! Targets that turn requests away and state how long they want none, and targets that state that they leave, beside
//! faults of instances and of the store.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_standins::{
    caller::{routed_request, send, ReceivedResponse},
    fixtures::{config, target_entry},
    responses::{not_run, platform_response, state_leaving, state_retry_after},
    store::Mode,
    target::{Action, ReceivedRequest},
};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rustix::process::Signal;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{
    env_number,
    fleet::{address, target_response, Fleet, EVENTS},
    lag::TimerLag,
    DEFAULT_INSTANCES,
};

/// How long a seed injects faults.
const DURATION: Duration = Duration::from_secs(9);
/// How long requests may still arrive after a target has stated that it wants none, and how many after that.
const TRANSIT_TIME: Duration = Duration::from_millis(500);
const MAX_REQUESTS: usize = 2;
/// The bound within which a leaving target must get no more requests.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// How long a target serves after it states that it leaves, until another process replaces it.
const LEAVING_TIME: Duration = Duration::from_secs(4);
/// How long a killed instance is down.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// How long a caller waits for a whole response.
const DEADLINE: Duration = Duration::from_secs(4);
/// Number of concurrent callers of each instance.
const CALLERS: usize = 3;
/// The times that targets state, in seconds.
const PAUSES: [f64; 3] = [0.8, 1.0, 1.5];
/// The names of the targets of each service.
const SERVICES: [(&str, &[usize]); 2] = [("shop", &[0, 1]), ("writer", &[2, 3, 4])];

/// What all targets do, and what they received.
static TARGETS: Mutex<Option<Targets>> = Mutex::new(None);

#[derive(Default)]
struct Targets {
    states: HashMap<String, TargetState>,
    arrivals: Vec<Arrival>,
}

#[derive(Clone, Copy, Debug)]
struct TargetState {
    /// Until when it turns requests away, and the seconds that it states.
    refuses: Option<(Instant, f64)>,
    is_leaving: bool,
    /// The number of its process.
    process: u64,
}

/// A request that reached a target.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    id: String,
    target: String,
    process: u64,
    /// The seconds that the target stated when it turned the request away.
    pause: Option<f64>,
    is_leaving: bool,
}

impl Arrival {
    /// Returns the instance that the caller sent the request to.
    fn instance(&self) -> Option<usize> {
        usize::from_str_radix(self.id.get(..2)?, 16).ok()
    }

    /// Returns whether another request went from the same instance to the same process of a target.
    fn is_like(&self, other: &Self) -> bool {
        self.instance() == other.instance()
            && self.target == other.target
            && self.process == other.process
    }
}

/// A request of a caller, and its response.
struct Exchange {
    id: String,
    is_unsafe: bool,
    response: ReceivedResponse,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Changes the state of a target.
fn set_state(n: usize, change: impl FnOnce(&mut TargetState)) {
    let mut targets = lock(&TARGETS);
    let targets = targets.get_or_insert_default();
    let state = targets.states.entry(format!("i-{n}"));
    change(state.or_insert(TargetState {
        refuses: None,
        is_leaving: false,
        process: 1,
    }));
}

fn respond(request: &ReceivedRequest, name: &str) -> Vec<Action> {
    if let Some(actions) = platform_response(request, name) {
        return actions;
    }
    let mut targets = lock(&TARGETS);
    let targets = targets.get_or_insert_default();
    let Some(state) = targets.states.get(name).copied() else {
        return target_response(request, name);
    };
    let now = Instant::now();
    let pause = state.refuses.filter(|(until, _)| *until > now);
    let pause = pause.map(|(_, pause)| pause);
    targets.arrivals.push(Arrival {
        at: now,
        id: request.id().to_owned(),
        target: name.to_owned(),
        process: state.process,
        pause,
        is_leaving: state.is_leaving,
    });
    let mut actions = match pause {
        Some(_) => not_run(request, "503 Service Unavailable"),
        None => target_response(request, name),
    };
    if let Some(pause) = pause {
        state_retry_after(&mut actions, &pause.to_string());
    }
    if state.is_leaving {
        state_leaving(&mut actions, "1");
    }
    actions
}

/// Runs a seed.
///
/// # Panics
///
/// Panics if a target gets requests that it does not want, or a caller gets a wrong response.
pub(crate) async fn run(seed: u64) {
    *lock(&TARGETS) = None;
    let mut rng = SmallRng::seed_from_u64(seed);
    let instances = env_number("SOAK_INSTANCES").map_or(DEFAULT_INSTANCES, |n| n as usize);
    let mut fleet = Fleet::start_with(instances, config, respond).await;
    (0..5).for_each(|n| set_state(n, |_| {}));
    let lag = TimerLag::default();
    let measuring = tokio::spawn(lag.clone().measure());
    let stop = CancellationToken::new();
    let mut callers = JoinSet::new();
    for n in 0..instances * CALLERS {
        let rng = SmallRng::seed_from_u64(seed ^ ((n as u64) << 32));
        callers.spawn(call(n % instances, n / instances, rng, stop.clone()));
    }
    let kills = inject_faults(&mut fleet, &mut rng).await;
    stop.cancel();
    let exchanges: Vec<Exchange> = callers.join_all().await.into_iter().flatten().collect();
    measuring.abort();
    let not_serving = fleet.wait_serving().await;
    let arrivals = lock(&TARGETS).take().unwrap_or_default().arrivals;
    let slack = lag.max() * 2;
    let mut violations = unwanted_requests(&arrivals, &kills, slack);
    violations.extend(late_requests(&arrivals, &kills, slack));
    violations.extend(wrong_responses(&arrivals, &exchanges));
    assert!(
        violations.is_empty() && not_serving.is_empty(),
        "seed {seed}: violations: {violations:#?}, not serving: {not_serving:?}, lag: {:?}, files: {:?}",
        lag.max(),
        fleet.keep_files()
    );
    let with_status = |status: u16| {
        let is_meant = |exchange: &&Exchange| exchange.response.status == status;
        exchanges.iter().filter(is_meant).count()
    };
    println!(
        "seed {seed}: {} of {} served, {} refused, {} without response, {} arrivals, lag {:?}",
        with_status(200),
        exchanges.len(),
        with_status(503),
        with_status(0),
        arrivals.len(),
        lag.max()
    );
    fleet.stop().await;
}

/// Injects faults; returns the instances that were killed, and when.
async fn inject_faults(fleet: &mut Fleet, rng: &mut SmallRng) -> Vec<(usize, Instant)> {
    let end = Instant::now() + DURATION;
    let mut kills: Vec<(usize, Instant)> = Vec::new();
    let mut leaving: Vec<(usize, usize, Instant)> = Vec::new();
    while Instant::now() < end {
        let now = Instant::now();
        let (_, of_service) = SERVICES[rng.random_range(0..SERVICES.len())];
        let n = of_service[rng.random_range(0..of_service.len())];
        let until = now + Duration::from_millis(rng.random_range(300..1_500));
        let pause = PAUSES[rng.random_range(0..PAUSES.len())];
        match rng.random_range(0..9) {
            0..=2 => set_state(n, |state| state.refuses = Some((until, pause))),
            3 => {
                let until = until.min(now + Duration::from_millis(600));
                of_service.iter().for_each(|n| {
                    set_state(*n, |state| state.refuses = Some((until, pause)));
                });
            }
            4 | 5 if !leaving.iter().any(|(n, ..)| of_service.contains(n)) => {
                set_state(n, |state| state.is_leaving = true);
                leaving.push((n, 1, now + LEAVING_TIME));
            }
            6 => {
                let instance = rng.random_range(0..fleet.processes.len());
                fleet.processes[instance].signal(Signal::KILL);
                kills.push((instance, now));
                sleep(DOWN_TIME).await;
                if !fleet.processes[instance].is_running() {
                    fleet.processes[instance].restart();
                }
                kills.push((instance, Instant::now()));
            }
            7 => fleet.store.set_mode(match rng.random_bool(0.5) {
                true => Mode::Silent,
                false => Mode::Down,
            }),
            _ => fleet.store.set_mode(Mode::Up),
        }
        // The store may list a target as ready that has stated that it leaves.
        for (n, sequence, _) in &mut leaving {
            *sequence += 1;
            put_entry(fleet, *n, *sequence as u64);
        }
        let (due, later): (Vec<_>, Vec<_>) = leaving.into_iter().partition(|(.., at)| *at <= now);
        leaving = later;
        for (n, ..) in due {
            set_state(n, |state| {
                state.is_leaving = false;
                state.process += 1;
            });
            put_entry(fleet, n, 1);
        }
        sleep(Duration::from_millis(rng.random_range(100..500))).await;
    }
    fleet.store.set_mode(Mode::Up);
    for n in 0..5 {
        set_state(n, |state| {
            state.refuses = None;
            state.process += u64::from(state.is_leaving);
            state.is_leaving = false;
        });
        put_entry(fleet, n, 1);
    }
    kills
}

/// Writes the entry of a target's current process.
fn put_entry(fleet: &Fleet, n: usize, sequence: u64) {
    let name = format!("i-{n}");
    let process = {
        let targets = lock(&TARGETS);
        let state = targets
            .as_ref()
            .and_then(|targets| targets.states.get(&name));
        state.map_or(1, |state| state.process)
    };
    let service = if n < 2 { "shop" } else { "writer" };
    let mut entry = target_entry(service, fleet.target_links[n].address);
    entry["sequence"] = sequence.into();
    entry["born"] = process.into();
    fleet.store.put(&format!("servers/{name}"), &entry);
}

/// Sends requests to an instance until it is stopped.
async fn call(
    instance: usize,
    caller: usize,
    mut rng: SmallRng,
    stop: CancellationToken,
) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    while !stop.is_cancelled() {
        let id = format!("{instance:02x}{caller:x}{:04x}", exchanges.len());
        let kind = ["safe", "unsafe", "draft"][rng.random_range(0..3)];
        let line = format!("POST /{kind}/{id}");
        let request = routed_request(&line, &id, DEADLINE.as_millis() as u32, &id);
        let response = timeout(DEADLINE, send(address(instance), &request)).await;
        exchanges.push(Exchange {
            id,
            is_unsafe: kind == "unsafe",
            response: response.unwrap_or_default(),
        });
        sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
    exchanges
}

/// Returns whether an instance was killed or started in a time.
fn was_restarted(kills: &[(usize, Instant)], arrival: &Arrival, until: Instant) -> bool {
    let is_within = |(instance, at): &(usize, Instant)| {
        Some(*instance) == arrival.instance() && (arrival.at..=until).contains(at)
    };
    kills.iter().any(is_within)
}

/// Returns a line for each target that got more requests of an instance than it wants.
fn unwanted_requests(
    arrivals: &[Arrival],
    kills: &[(usize, Instant)],
    slack: Duration,
) -> Vec<String> {
    let mut violations = Vec::new();
    for refused in arrivals {
        let Some(pause) = refused.pause else {
            continue;
        };
        let end = refused.at + Duration::from_secs_f64(pause);
        let times = refused.at + TRANSIT_TIME + slack..end;
        let unwanted = arrivals.iter().filter(|other| other.is_like(refused));
        let count = unwanted.filter(|other| times.contains(&other.at)).count();
        if count > MAX_REQUESTS && !was_restarted(kills, refused, end) {
            violations.push(format!("{count} requests within {pause} s of {refused:?}"));
        }
    }
    violations
}

/// Returns a line for each request that reached a target beyond the bound after it stated that it leaves.
fn late_requests(arrivals: &[Arrival], kills: &[(usize, Instant)], slack: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    for (n, first) in arrivals.iter().enumerate() {
        let is_repeated = |other: &Arrival| other.is_leaving && other.is_like(first);
        if !first.is_leaving || arrivals[..n].iter().any(is_repeated) {
            continue;
        }
        let bound = first.at + DRAIN_BOUND + slack;
        let is_late = |other: &&Arrival| other.is_like(first) && other.at > bound;
        if let Some(late) = arrivals[n..].iter().find(is_late)
            && !was_restarted(kills, first, late.at)
        {
            violations.push(format!("{late:?} after {first:?}"));
        }
    }
    violations
}

/// Returns a line for each response that is wrong, or contradicts what the targets received.
fn wrong_responses(arrivals: &[Arrival], exchanges: &[Exchange]) -> Vec<String> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.pause.is_none()) {
        *runs.entry(&arrival.id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for exchange in exchanges {
        let (id, response) = (exchange.id.as_str(), &exchange.response);
        let runs = runs.get(id).copied().unwrap_or_default();
        let events = response.event_ids();
        let is_in_order = events.iter().copied().eq(1..=events.len() as u64);
        let is_complete = events.is_empty() || events.len() as u64 == EVENTS;
        let violation = match response.status {
            200 if !is_in_order => Some("events are missing or repeated"),
            200 if response.is_whole && !is_complete => Some("looks complete and is not"),
            200 if !response.is_response_to(id) => Some("is the response to another request"),
            503 if runs > 0 => Some("was refused although it ran"),
            503 if response.header("retry-after").is_empty() => Some("has no Retry-After"),
            401 | 404 => Some("was denied although it is allowed"),
            _ if exchange.is_unsafe && runs > 1 => Some("ran twice"),
            _ => None,
        };
        violations.extend(violation.map(|violation| format!("{id} {violation}")));
    }
    violations
}
