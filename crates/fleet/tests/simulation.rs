//! A few instances and the messages between them, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerypond_fleet::{
    Gossip, GossipSettings, Identity, Incarnation, ListedMember, Message, Outgoing,
};
use celerypond_types::{InstanceKey, InstanceName};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use tokio::time::Instant;

/// The time after which an exchange counts as failed.
const DEADLINE: Duration = Duration::from_millis(500);

/// The time between two looks at the state of all.
const CHECK: Duration = Duration::from_millis(5);

const CENTRES: [&str; 3] = ["east", "west", "north"];

#[derive(Debug)]
enum What {
    Tick(usize),
    Request(Call, Message),
    Answer(Call, Message),
    Last(usize, Message),
    Failed(Call),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    from: usize,
    life: u64,
    to: usize,
    key: Option<InstanceKey>,
}

/// Instances and the messages between them.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) nodes: Vec<Option<Gossip>>,
    /// The part of messages that are lost.
    pub(crate) loss_rate: f64,
    /// Instances on different sides do not reach each other.
    pub(crate) partition: Vec<u8>,
    /// Bytes that each instance sent in each second.
    pub(crate) bytes_sent: Vec<BTreeMap<u64, u64>>,
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    settings: GossipSettings,
    lives: Vec<u64>,
    paused: BTreeSet<usize>,
    queue: BTreeMap<(Instant, u64), What>,
    count: u64,
    rng: SmallRng,
}

impl Simulation {
    /// Starts `n` instances that know the first one as a seed.
    pub(crate) fn new(n: usize, settings: GossipSettings, seed: u64) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            nodes: Vec::new(),
            loss_rate: 0.0,
            partition: vec![0; n],
            bytes_sent: vec![BTreeMap::new(); n],
            start,
            now: start,
            settings,
            lives: vec![0; n],
            paused: BTreeSet::new(),
            queue: BTreeMap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for at in 0..n {
            simulation.nodes.push(None);
            simulation.start_instance(at, 1);
        }
        simulation
    }

    /// Starts an instance anew, without anything that it knew.
    pub(crate) fn start_instance(&mut self, at: usize, incarnation: u64) {
        let seeds = [0, 1].map(|seed| instance_name(seed).as_str().into());
        let settings = GossipSettings {
            seeds: seeds.to_vec(),
            ..self.settings.clone()
        };
        let identity = Identity {
            name: instance_name(at),
            incarnation: Incarnation(incarnation),
            address: instance_name(at).as_str().into(),
            data_centre: CENTRES[at % CENTRES.len()].into(),
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.nodes[at] = Some(Gossip::new(identity, settings, rng, self.now));
        self.lives[at] += 1;
        let offset = self
            .rng
            .random_range(Duration::ZERO..self.settings.startup_round_interval);
        self.put(offset, What::Tick(at));
    }

    /// Ends an instance without a word.
    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
    }

    /// Holds an instance up, or lets it go on; what comes meanwhile waits.
    pub(crate) fn set_paused(&mut self, at: usize, paused: bool) {
        if paused {
            self.paused.insert(at);
        } else {
            self.paused.remove(&at);
        }
    }

    pub(crate) fn node(&mut self, at: usize) -> &mut Gossip {
        self.nodes[at].as_mut().unwrap()
    }

    /// Gives every instance the list of all.
    pub(crate) fn update_all_lists(&mut self) {
        let list: Vec<ListedMember> = (0..self.nodes.len()).map(listed_member).collect();
        for node in self.nodes.iter_mut().flatten() {
            node.update_listed_members(&list, self.now);
        }
    }

    /// Sends what an instance has to push after a change made from outside.
    pub(crate) fn send_urgent(&mut self, at: usize) {
        let now = self.now;
        let sends = self.node(at).urgent_messages(now);
        self.send(at, sends);
    }

    /// Runs for a time, or until `done` says so after a message; returns whether it did.
    pub(crate) fn run_until(&mut self, time: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        let mut check = self.now;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), what) = entry.remove_entry();
            self.now = at;
            self.step(what);
            if self.now >= check {
                if done(self) {
                    return true;
                }
                check = self.now + CHECK;
            }
        }
        self.now = end;
        done(self)
    }

    /// Runs for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Returns whether all live instances satisfy `check`.
    pub(crate) fn all_instances(&self, check: impl Fn(&Gossip) -> bool) -> bool {
        self.nodes.iter().flatten().all(check)
    }

    fn step(&mut self, what: What) {
        let target = match &what {
            What::Tick(at) | What::Last(at, _) => *at,
            What::Request(call, _) => call.to,
            What::Answer(call, _) | What::Failed(call) => call.from,
        };
        if self.paused.contains(&target) {
            let late = match what {
                What::Request(call, message) => {
                    self.put(DEADLINE, What::Failed(call));
                    What::Last(call.to, message)
                }
                other => other,
            };
            self.put(Duration::from_millis(100), late);
            return;
        }
        if self.nodes[target].is_none() {
            if let What::Request(call, _) = what {
                self.put(DEADLINE, What::Failed(call));
            }
            return;
        }
        self.act(what);
        self.send_urgent(target);
    }

    fn act(&mut self, what: What) {
        let now = self.now;
        match what {
            What::Tick(at) => {
                let sends = self.node(at).tick(now);
                self.send(at, sends);
                let pause = self.node(at).round_interval(now);
                self.put(pause, What::Tick(at));
            }
            What::Request(call, message) => {
                let answer = self.node(call.to).handle_request(message, now);
                self.account(call.to, &answer);
                self.pass(call.to, call.from, What::Answer(call, answer), call);
            }
            What::Answer(call, answer) if self.lives[call.from] == call.life => {
                let more = self.node(call.from).handle_response(call.key, answer, now);
                if let Some(more) = more {
                    self.account(call.from, &more);
                    let lost = call;
                    self.pass(call.from, call.to, What::Last(call.to, more), lost);
                }
            }
            What::Last(at, message) => {
                self.node(at).handle_request(message, now);
            }
            What::Failed(call) if self.lives[call.from] == call.life => {
                self.node(call.from).handle_failure(call.key, now);
            }
            What::Answer(..) | What::Failed(_) => {}
        }
    }

    fn send(&mut self, from: usize, sends: Vec<Outgoing>) {
        for out in sends {
            let to = out.to[1..].parse().unwrap();
            self.account(from, &out.message);
            let call = Call {
                from,
                life: self.lives[from],
                to,
                key: out.member,
            };
            self.pass(from, to, What::Request(call, out.message), call);
        }
    }

    fn pass(&mut self, from: usize, to: usize, what: What, call: Call) {
        let lost =
            self.rng.random_bool(self.loss_rate) || self.partition[from] != self.partition[to];
        if lost {
            self.put(DEADLINE, What::Failed(call));
            return;
        }
        let latency = self.rng.random_range(500..3000);
        self.put(Duration::from_micros(latency), what);
    }

    fn account(&mut self, from: usize, message: &Message) {
        let second = (self.now - self.start).as_secs();
        *self.bytes_sent[from].entry(second).or_default() += message.bytes() as u64;
    }

    fn put(&mut self, after: Duration, what: What) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), what);
    }
}

/// Returns the name of an instance, which is also its address here.
pub(crate) fn instance_name(at: usize) -> InstanceName {
    format!("i{at}").as_str().into()
}

pub(crate) fn listed_member(at: usize) -> ListedMember {
    ListedMember {
        name: instance_name(at),
        address: instance_name(at).as_str().into(),
        data_centre: CENTRES[at % CENTRES.len()].into(),
        leaving: false,
    }
}
