//! Many streams at once, while configurations follow each other, engines end and processor time is short.
//!
//! `SOAK_ENGINES`, `SOAK_STREAMS`, `SOAK_SECONDS` and `SOAK_ROUTES` set the number of engines, of streams at each
//! instance, the time during which engines end, and the most routes that a version adds.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{
        atomic::{AtomicBool, Ordering::Relaxed},
        Arc,
    },
    thread::JoinHandle,
    time::Duration,
};

use celerypond_standins::{
    fixtures::{config, large_config, set_stream_limits, target_entry},
    responses::{ok, platform_response},
    store::Store,
    target::Target,
};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rustix::process::Signal;
use serde_json::Value;
use tokio::time::{sleep, Instant};

use crate::{
    engines::{Engines, SLOTS},
    env_number,
    fleet::{address, serves, Process},
    lag::{ProcessorTimes, TimerLag, SAMPLE_INTERVAL},
    log_lines::LogLines,
    stream_callers::{StreamCallers, StreamEnd, StreamRecord, DEADLINE},
    DEFAULT_INSTANCES,
};

/// Number of streams that are open at each instance.
const STREAMS_PER_INSTANCE: usize = 10;
/// The minimum number of engines.
const MIN_ENGINES: usize = 24;
/// The time during which engines end.
const DURATION: Duration = Duration::from_secs(10);
/// Interval between two versions of the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(300);
/// The most routes that a version of the configuration adds.
const MAX_ROUTES: usize = 2_000;
/// How long all processes are down after they were killed.
const DOWN_TIME: Duration = Duration::from_millis(1_400);
/// How long after a kill callers may notice it.
const KILL_NOTICE_TIME: Duration = Duration::from_millis(500);
/// The number of engines that may end under one request. A stream that lost as many is not sent on.
const MAX_CRASHES: usize = 3;
/// How long an instance may take until it serves.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);
/// The retry budget and the grace period of the users' platform.
const SETTINGS: &str = "bounds.retryBudgetRatio=0.8\nbounds.budgetSlack=150\n";

/// What takes processor time away, or ends processes, by thousands of seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Load {
    /// Nothing.
    None,
    /// This many busy threads for each core.
    BusyThreads(usize),
    /// All engines are stopped at times, the instances run.
    EngineStalls,
    /// Some instances are stopped at times, the engines run.
    InstancePauses,
    /// All instances are killed right after a configuration was written, and return later.
    KillAll,
}

impl Load {
    fn of_seed(seed: u64) -> Self {
        match seed / 1_000 {
            80 => Self::None,
            81 => Self::BusyThreads(1),
            82 => Self::BusyThreads(2),
            83 => Self::BusyThreads(4),
            84 => Self::EngineStalls,
            85 => Self::InstancePauses,
            _ => Self::KillAll,
        }
    }
}

/// Runs a seed.
///
/// # Panics
///
/// Panics if a stream that an instance has begun was closed before its end and its deadline, or has wrong events,
/// although half of the engines are always left and fewer than [`MAX_CRASHES`] crashed under it, if more than these
/// crashed under it, or if a process ended by itself.
pub(crate) async fn run(seed: u64) {
    let load = Load::of_seed(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = |name, default| env_number(name).map_or(default, |n| n as usize);
    let instances = count("SOAK_INSTANCES", DEFAULT_INSTANCES);
    let engines = count("SOAK_ENGINES", instances.max(MIN_ENGINES));
    let streams = count("SOAK_STREAMS", STREAMS_PER_INSTANCE);
    let duration = env_number("SOAK_SECONDS").map_or(DURATION, Duration::from_secs);
    let mut site = Site::start(instances, engines).await;
    let caller_lag = TimerLag::default();
    let measuring = tokio::spawn(caller_lag.clone().measure());
    let busy_threads = BusyThreads::start(load);
    let callers = StreamCallers::start(instances, streams, seed);
    site.disturb(load, &mut rng, duration).await;
    let mut kill = None;
    if load == Load::KillAll {
        kill = Some(site.kill_all().await);
        site.disturb(load, &mut rng, duration).await;
    }
    let peak_memory = site.peak_memory_kb();
    let descriptors = site.max_descriptors();
    let records = callers.stop().await;
    drop(busy_threads);
    measuring.abort();
    let mut violations = site.ended_processes();
    violations.extend(site.stream_violations(&records, kill));
    println!(
        "seed {seed}, {load:?}, {instances} instances, {engines} engines, {} ended, version {}: {:?}",
        site.engines.ended,
        site.version,
        count_ends(&records),
    );
    println!("a process: at most {peak_memory} kB, {descriptors} descriptors at the end");
    println!(
        "timers late: at most {:?} at callers and {:?} at engines, there long (Unix ms, ms) at {:?}",
        caller_lag.max(),
        site.engines.lag.max(),
        site.engines.lag.long(),
    );
    println!(
        "an instance in {SAMPLE_INTERVAL:?}: waited at most {:?} for a processor, ran at most {:?}; all: {:?}",
        site.processor_times.max_wait, site.processor_times.max_run, site.processor_times.total,
    );
    println!("lines of all instances: {:#?}", site.line_counts());
    if let Some(kill) = kill {
        println!(
            "seed {seed}, around the kill: {:#?}",
            kill.summary(&records)
        );
    }
    if !violations.is_empty() {
        let files = site.keep_files();
        let text = violations.join("\n\n");
        std::fs::write(files.join("violations.txt"), text).unwrap();
        let first = &violations[0];
        panic!(
            "seed {seed}: {} violations in {files:?}, first: {first}",
            violations.len()
        );
    }
    site.stop().await;
}

/// Instances run as processes, with a store, engines and one plain target.
struct Site {
    store: Store,
    engines: Engines,
    _plain_target: Target,
    processes: Vec<Process>,
    /// The number of processes that each instance has had.
    process_counts: usize,
    processor_times: ProcessorTimes,
    /// The most routes that a version of the configuration adds.
    max_routes: usize,
    version: u64,
    files: tempfile::TempDir,
}

impl Site {
    async fn start(instances: usize, engines: usize) -> Self {
        let store = Store::start().await.unwrap();
        store.put("config/main", &site_config(config(1)));
        let plain_target = Target::start(|request, _| {
            platform_response(request, "i-p").unwrap_or_else(|| ok(request, "served"))
        });
        let plain_target = plain_target.await.unwrap();
        let entry = target_entry("shop", plain_target.address);
        store.put("servers/i-p", &entry);
        let engines = Engines::start(engines, &store).await;
        let files = tempfile::tempdir().unwrap();
        let processes = (0..instances)
            .map(|n| Process::start(n, &files, store.server.address, SETTINGS))
            .collect();
        let site = Self {
            store,
            engines,
            _plain_target: plain_target,
            processes,
            process_counts: 1,
            processor_times: ProcessorTimes::default(),
            max_routes: env_number("SOAK_ROUTES").map_or(MAX_ROUTES, |n| n as usize),
            version: 1,
            files,
        };
        site.wait_serving().await;
        site
    }

    async fn wait_serving(&self) {
        let end = Instant::now() + SERVE_TIMEOUT;
        for n in 0..self.processes.len() {
            while !serves(address(n)).await {
                assert!(
                    Instant::now() < end,
                    "instance {n} does not serve {SERVE_TIMEOUT:?} after start {}",
                    self.process_counts
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Writes configurations and ends engines for a time, and takes processor time away.
    async fn disturb(&mut self, load: Load, rng: &mut SmallRng, duration: Duration) {
        let now = Instant::now();
        let end = now + duration;
        let (mut next_config, mut next_end, mut next_pause) = (now, now, now);
        let mut next_sample = now;
        let mut paused: Vec<(Instant, usize)> = Vec::new();
        while Instant::now() < end {
            let now = Instant::now();
            if next_config <= now {
                let is_large = self.max_routes > 0 && rng.random_bool(0.2);
                self.write_config(is_large.then(|| rng.random_range(0..self.max_routes)));
                next_config += CONFIG_INTERVAL;
            }
            if next_end <= now {
                self.engines.end_some(rng, &self.store);
                next_end = now + Duration::from_millis(rng.random_range(400..1_200));
            }
            if next_pause <= now {
                let pause = Duration::from_millis(rng.random_range(300..900));
                next_pause = now + pause + Duration::from_millis(rng.random_range(500..2_000));
                match load {
                    Load::EngineStalls => self.engines.stall(pause),
                    Load::InstancePauses => paused.extend(self.pause_instances(rng, now + pause)),
                    _ => {}
                }
            }
            paused.retain(|(until, n)| {
                let is_over = *until <= now;
                if is_over {
                    self.processes[*n].signal(Signal::CONT);
                }
                !is_over
            });
            if next_sample <= now {
                self.processor_times.sample(&self.processes);
                next_sample = now + SAMPLE_INTERVAL;
            }
            self.engines.advance(&self.store).await;
            sleep(Duration::from_millis(20)).await;
        }
        for (_, n) in paused {
            self.processes[n].signal(Signal::CONT);
        }
    }

    /// Stops some instances, at times all; returns until when.
    fn pause_instances(&mut self, rng: &mut SmallRng, until: Instant) -> Vec<(Instant, usize)> {
        let share = rng.random_range(0.1..1.0);
        let instances = (0..self.processes.len()).filter(|_| rng.random_bool(share));
        let instances: Vec<usize> = instances.collect();
        for n in &instances {
            self.processes[*n].signal(Signal::STOP);
        }
        instances.into_iter().map(|n| (until, n)).collect()
    }

    /// Writes the next version of the configuration, with additional routes if it is a large one.
    fn write_config(&mut self, additional_routes: Option<usize>) {
        self.version += 1;
        let config = match additional_routes {
            Some(routes) => large_config(self.version, routes),
            None => config(self.version),
        };
        self.store.put("config/main", &site_config(config));
    }

    /// Kills all instances right after a configuration was written, and starts them again.
    async fn kill_all(&mut self) -> Kill {
        self.write_config(None);
        let killed = Instant::now();
        for process in &mut self.processes {
            process.signal(Signal::KILL);
        }
        let all_killed = Instant::now();
        sleep(DOWN_TIME).await;
        for process in &mut self.processes {
            process.restart();
        }
        self.process_counts += 1;
        let restarted = Instant::now();
        self.wait_serving().await;
        Kill {
            killed,
            all_killed,
            restarted,
            serving: Instant::now(),
        }
    }

    /// Returns a line for each process that has ended by itself.
    fn ended_processes(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        for (n, process) in self.processes.iter_mut().enumerate() {
            if let Some(status) = process.exit_status() {
                lines.push(format!("the process of instance {n} ended: {status}"));
            }
            let starts = LogLines::read(&process.log_path()).starts();
            if starts > self.process_counts {
                lines.push(format!("instance {n} started {starts} times"));
            }
        }
        lines
    }

    /// Returns a line, with what the instance wrote, for each stream that did not end whole although it should have.
    fn stream_violations(&self, records: &[StreamRecord], kill: Option<Kill>) -> Vec<String> {
        let violations = records.iter().filter(|record| {
            let is_broken =
                record.end == StreamEnd::ClosedEarly && record.ended - record.sent < DEADLINE;
            let was_killed = kill.is_some_and(|kill| kill.ended_stream(record));
            record.end == StreamEnd::WrongEvents
                || is_broken && !was_killed && self.engines_lost(record) < MAX_CRASHES
                || self.crashes(record) > MAX_CRASHES
        });
        let violations = violations.map(|record| {
            let path = self.processes[record.instance].log_path();
            let lines = LogLines::read(&path).of_request(&record.id).join("\n");
            format!(
                "{:?} after event {}, {:?} and {} crashes: stream {} at instance {}\n{lines}",
                record.end,
                record.last_event,
                record.ended - record.sent,
                self.crashes(record),
                record.id,
                record.instance
            )
        });
        violations.collect()
    }

    /// Returns the number of engines that crashed under a stream. It counts those that the instance names and that
    /// have crashed, as an engine that has not read a request yet does not know of it.
    fn engines_lost(&self, record: &StreamRecord) -> usize {
        let path = self.processes[record.instance].log_path();
        let lost = LogLines::read(&path).engines_lost(&record.id);
        lost.intersection(&self.engines.crashed).count()
    }

    /// Returns the number of engines that crashed while they ran a stream.
    fn crashes(&self, record: &StreamRecord) -> usize {
        self.engines
            .crashes
            .get(&record.id)
            .copied()
            .unwrap_or_default()
    }

    /// Returns how often all instances together wrote each kind of line.
    fn line_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for process in &self.processes {
            LogLines::read(&process.log_path()).count(&mut counts);
        }
        counts
    }

    /// Returns the highest resident memory of any process so far, or 0 if the system does not say.
    fn peak_memory_kb(&self) -> u64 {
        let peaks = self.processes.iter().filter_map(|process| {
            let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid())).ok()?;
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix("VmHWM:"))?;
            line.trim().strip_suffix(" kB")?.parse().ok()
        });
        peaks.max().unwrap_or_default()
    }

    /// Returns the highest number of descriptors that any process has open now.
    fn max_descriptors(&self) -> usize {
        let counts = self.processes.iter().map(|process| {
            let path = format!("/proc/{}/fd", process.pid());
            std::fs::read_dir(path).map_or(0, Iterator::count)
        });
        counts.max().unwrap_or_default()
    }

    /// Keeps the directory with the settings and logs of all processes after the test; returns its path.
    fn keep_files(&mut self) -> PathBuf {
        self.files.disable_cleanup(true);
        self.files.path().to_owned()
    }

    /// Stops all instances by SIGTERM.
    async fn stop(mut self) {
        for process in &mut self.processes {
            process.signal(Signal::TERM);
        }
        for process in &mut self.processes {
            let has_exited = process.wait_for_exit().await;
            assert!(has_exited, "a planned stop took too long");
        }
    }
}

/// Changes a configuration of other soaks to the sizes of the users' platform.
fn site_config(mut config: Value) -> Value {
    set_stream_limits(&mut config, SLOTS);
    config
}

/// When all instances were killed and came back.
#[derive(Clone, Copy, Debug)]
struct Kill {
    killed: Instant,
    all_killed: Instant,
    restarted: Instant,
    serving: Instant,
}

impl Kill {
    /// Returns whether a request was open at the kill and ended by it.
    fn ended_stream(&self, record: &StreamRecord) -> bool {
        let noticed = self.all_killed + KILL_NOTICE_TIME;
        record.sent < self.all_killed && (self.killed..noticed).contains(&record.ended)
    }

    /// Counts the requests that did not end whole, by when they ended.
    fn summary(&self, records: &[StreamRecord]) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for record in records
            .iter()
            .filter(|record| record.end != StreamEnd::Whole)
        {
            let when = if record.ended < self.killed {
                "before the kill"
            } else if self.ended_stream(record) {
                "open at the kill"
            } else if record.sent < self.restarted {
                "sent while down"
            } else if record.sent < self.serving {
                "sent before all serve"
            } else {
                "sent after all serve"
            };
            *counts
                .entry(format!("{when}: {:?}", record.end))
                .or_default() += 1;
        }
        let at_kill = records.iter().filter(|record| self.ended_stream(record));
        let delays = at_kill.map(|record| (record.ended - self.killed).as_millis());
        let last = delays.max().unwrap_or_default() as usize;
        counts.insert("last end by the kill, ms after its begin".to_owned(), last);
        counts
    }
}

fn count_ends(records: &[StreamRecord]) -> BTreeMap<StreamEnd, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        *counts.entry(record.end).or_default() += 1;
    }
    counts
}

/// Threads that take processor time away from all others until they are dropped.
struct BusyThreads {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl BusyThreads {
    fn start(load: Load) -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let count = match load {
            Load::BusyThreads(per_core) => cores * per_core,
            _ => 0,
        };
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|_| {
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                while !stop.load(Relaxed) {
                    std::hint::spin_loop();
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
