//! What the cases about roll-outs share: the deployment, the platform's part, and the rule EXPOSURE.

use std::{
    collections::HashMap,
    ops::Range,
    sync::{
        atomic::{AtomicBool, Ordering::Relaxed},
        Arc, PoisonError,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::start_all;
use crate::{
    clients::{Clients, Load, Sent, HOST, KEY},
    cluster::ZONES,
    engine::{Arrival, Arrivals, Engine, Identity, Run},
    http::Message,
    record::Record,
    store::{StatusWrite, Store},
    Bed, Verdict,
};

const SERVICE: &str = "huvo11a";
const OLD: &str = "v1";
const NEW: &str = "v2";
const OLD_ENGINES: usize = 3;
const NEW_ENGINES: usize = 4;
const WORK: Duration = Duration::from_millis(20);
/// The platform drains the new engines this long after `rolled_back`.
const DRAIN_NEW_AFTER: Duration = Duration::from_secs(5);

// Bounds of the deployment.
const CONTACT: Duration = Duration::from_secs(3);
const ROLLBACK: Duration = Duration::from_secs(5);
const DRAIN: Duration = Duration::from_secs(2);
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
const BAD_ANSWERS: usize = 50;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-hold","host":"@HOST","pathPrefix":"/pufi791/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"service":"huvo11a","maxAttempts":1,"allowAnonymous":false}],"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"huka270","apiKeys":["@KEY"],"priority":1}]}"#;

/// A service with engines of the old version, clients that send it unsafe requests, and a platform
/// that acts on the status of the roll-out.
pub struct Rollout<'a> {
    bed: &'a Bed,
    arrivals: Arrivals,
    is_bad: Arc<AtomicBool>,
    old: Vec<Engine>,
    new: Vec<Engine>,
    clients: Clients,
}

impl<'a> Rollout<'a> {
    /// Starts the old engines, the instances and the clients.
    pub fn start(bed: &'a Bed) -> Result<Self, String> {
        let config = CONFIG.replace("@HOST", HOST).replace("@KEY", KEY);
        bed.store.put("config", "main", &config);
        let (arrivals, is_bad) = (Arrivals::default(), Arc::default());
        let old = start_engines(bed, OLD, 0..OLD_ENGINES, &arrivals, &is_bad)?;
        start_all(bed)?;
        let load = Load {
            clients: 30,
            interval: Duration::from_millis(150),
            deadline: Duration::from_secs(3),
            path: "/pufi791/",
            headers: "",
        };
        let clients = Clients::start(&bed.cluster, &bed.record, load);
        thread::sleep(Duration::from_secs(4));
        Ok(Self {
            bed,
            arrivals,
            is_bad,
            old,
            new: Vec::new(),
            clients,
        })
    }

    /// Starts the new engines.
    pub fn start_new(&mut self) -> Result<(), String> {
        let indices = OLD_ENGINES..OLD_ENGINES + NEW_ENGINES;
        self.new = start_engines(self.bed, NEW, indices, &self.arrivals, &self.is_bad)?;
        thread::sleep(Duration::from_millis(500));
        Ok(())
    }

    /// Returns a function that makes four in five answers of the new version failures.
    pub fn bad_switch(&self) -> impl FnOnce() {
        let (is_bad, record) = (Arc::clone(&self.is_bad), Arc::clone(&self.bed.record));
        move || {
            is_bad.store(true, Relaxed);
            record.say("v2 is bad from now on: four in five of its answers are failures");
        }
    }

    /// Orders the roll-out and returns when.
    pub fn order(&self, duration: Duration) -> Duration {
        let at = self.bed.record.now();
        let seconds = duration.as_secs();
        let order = format!(r#"{{"service":"{SERVICE}","target":"{NEW}","durationS":{seconds}}}"#);
        self.bed.store.put("rollouts", SERVICE, &order);
        self.bed.record.say("operator: orders the roll-out of v2");
        at
    }

    /// Acts on the status of the roll-out until `end`. Then stops the clients and checks EXPOSURE.
    pub fn finish(
        self,
        ordered_at: Duration,
        duration: Duration,
        end: JoinHandle<Result<(), String>>,
    ) -> Verdict {
        obey_status(
            &self.bed.store,
            &self.bed.record,
            &self.old,
            &self.new,
            &end,
        );
        if let Ok(Err(reason)) = end.join() {
            return Verdict::NotRun(reason);
        }
        let sent = self.clients.stop();
        let ended = self.bed.cluster.ended();
        if !ended.is_empty() {
            self.bed
                .record
                .say(format!("instances that ended by themselves: {ended:?}"));
        }
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        judge(
            self.bed,
            &arrivals,
            &sent,
            (ordered_at, ordered_at + duration),
        )
    }
}

fn start_engines(
    bed: &Bed,
    version: &str,
    indices: Range<usize>,
    arrivals: &Arrivals,
    is_bad: &Arc<AtomicBool>,
) -> Result<Vec<Engine>, String> {
    let engines = indices.map(|index| {
        let identity = Identity {
            id: format!("i-{version}-{index}"),
            service: SERVICE.to_owned(),
            version: version.to_owned(),
            zone: ZONES[index % ZONES.len()].to_owned(),
            address: bed.cluster.addresses.engine(index),
            slots: 12,
        };
        let (is_bad, is_new) = (Arc::clone(is_bad), version == NEW);
        let behaviour = move |request: &Message| answer(request, is_new && is_bad.load(Relaxed));
        Engine::start(
            identity,
            &bed.store,
            &bed.record,
            arrivals,
            Arc::new(behaviour),
        )
    });
    let engines: Result<Vec<Engine>, std::io::Error> = engines.collect();
    engines.map_err(|error| error.to_string())
}

fn answer(request: &Message, is_bad: bool) -> Run {
    let id = request.header("request-id");
    let number = u64::from_str_radix(id, 16).unwrap_or_default();
    if is_bad && !number.is_multiple_of(5) {
        Run::Fail(WORK, "500 Internal Server Error")
    } else {
        Run::Succeed(WORK)
    }
}

/// Does what the platform does on the status of a roll-out: at `completed` the old engines stop at
/// once, some seconds after `rolled_back` the new ones drain.
fn obey_status(
    store: &Store,
    record: &Record,
    old: &[Engine],
    new: &[Engine],
    end: &JoinHandle<Result<(), String>>,
) {
    let (mut has_stopped_old, mut drained_at) = (false, None);
    let mut has_stopped_new = false;
    while !end.is_finished() {
        thread::sleep(Duration::from_millis(10));
        let writes = store.status_writes();
        let Some(last) = last_change(&writes) else {
            continue;
        };
        let is = |state: &str| last.status.contains(&format!("\"{state}\""));
        if is("completed") && !has_stopped_old {
            has_stopped_old = true;
            record.say("platform: the roll-out is completed, the old engines stop");
            for engine in old {
                engine.stop();
                engine.deregister();
            }
        }
        let is_due = record.now() >= last.at + DRAIN_NEW_AFTER;
        if is("rolled_back") && is_due && drained_at.is_none() && !has_stopped_old {
            drained_at = Some(record.now());
            record.say("platform: the roll-out was rolled back, the new engines drain");
            new.iter().for_each(|engine| engine.register("draining"));
        }
        let is_drained = drained_at.is_some_and(|at| record.now() >= at + DRAIN + DRAIN / 2);
        if is_drained && !has_stopped_new {
            has_stopped_new = true;
            for engine in new {
                engine.deregister();
                engine.stop();
            }
        }
    }
}

/// Returns the write that set the current status: the first of the equal ones at the end.
fn last_change(writes: &[StatusWrite]) -> Option<&StatusWrite> {
    let last = writes.last()?;
    let same = writes
        .iter()
        .rev()
        .take_while(|write| write.status == last.status);
    same.last()
}

fn judge(
    bed: &Bed,
    arrivals: &[Arrival],
    sent: &[Sent],
    (ordered_at, deadline): (Duration, Duration),
) -> Verdict {
    let record = &bed.record;
    for write in bed.store.status_writes() {
        record.say(format!(
            "status of the roll-out at {:.3} s, by instance {}: {}",
            write.at.as_secs_f64(),
            write.instance,
            write.status
        ));
    }
    for status in [Some(200), Some(500), Some(502), Some(503), Some(504), None] {
        let count = sent.iter().filter(|sent| sent.status == status).count();
        record.say(format!("clients: {count} requests ended with {status:?}"));
    }
    let sent_at: HashMap<&str, Duration> = sent
        .iter()
        .map(|sent| (sent.id.as_str(), sent.at))
        .collect();
    let new: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.version == NEW)
        .collect();
    let in_touch = |arrival: &Arrival| {
        let instance = bed.cluster.index_of(arrival.from);
        instance.is_some_and(|index| bed.cluster.is_in_touch(index, arrival.at, CONTACT))
    };
    let is_share_broken = {
        let in_time = |arrival: &&Arrival| (ordered_at..deadline).contains(&arrival.at);
        let all = arrivals.iter().filter(in_time).count();
        let exposed = new
            .iter()
            .copied()
            .filter(in_time)
            .filter(|arrival| in_touch(arrival))
            .count();
        let allowed = all as f64 * EXPOSE_SHARE + EXPOSE_SLACK;
        record.say(format!(
            "between the order and its deadline: {all} requests at the service, {exposed} of them at v2 from instances in touch, {allowed:.0} allowed"
        ));
        exposed as f64 > allowed
    };
    let is_late_broken = {
        let mut failed: Vec<Duration> =
            new.iter().filter_map(|arrival| arrival.failed_at).collect();
        failed.sort();
        record.say(format!("bad answers of v2: {}", failed.len()));
        let fiftieth = failed.get(BAD_ANSWERS - 1).copied();
        let late = new.iter().filter(|arrival| {
            let sent_at = sent_at.get(arrival.request.as_str()).copied();
            let bound = fiftieth.map(|at| at + ROLLBACK);
            sent_at.zip(bound).is_some_and(|(at, bound)| at > bound) && in_touch(arrival)
        });
        let late: Vec<&&Arrival> = late.collect();
        record.say(format!(
            "50th bad answer of v2: {:?} s; requests at v2 that were sent over 5 s after it, from instances in touch: {}",
            fiftieth.map(|at| at.as_secs_f64()),
            late.len()
        ));
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            record.say(format!(
                "the first of them reached {} at {:.3} s from instance {:?}, the last at {:.3} s",
                first.engine,
                first.at.as_secs_f64(),
                bed.cluster.index_of(first.from),
                last.at.as_secs_f64()
            ));
        }
        !late.is_empty()
    };
    if is_share_broken || is_late_broken {
        record.say("EXPOSURE broken");
        return Verdict::Broken;
    }
    record.say("EXPOSURE held");
    Verdict::Held
}
