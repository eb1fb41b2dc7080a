//! Simulation of a fleet and of the network between its instances, in virtual time.

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

/// Minimum virtual time between two evaluations of the condition of [`Simulation::run_until`].
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

const DATA_CENTRES: [&str; 3] = ["east", "west", "north"];

/// An event that takes place at a scheduled time.
#[derive(Debug)]
enum SimEvent {
    /// An instance runs a round.
    Tick(usize),
    /// A request arrives at `Exchange::to`.
    Request(Exchange, Message),
    /// A response arrives at `Exchange::from`.
    Response(Exchange, Message),
    /// A request arrives at an instance, whose response nobody waits for.
    FollowUp(usize, Message),
    /// `Exchange::from` notices that the exchange has failed.
    Failure(Exchange),
}

/// A request and its response.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    from: usize,
    /// How often `from` had been started when it sent the request.
    start_number: u64,
    to: usize,
    member: Option<InstanceKey>,
}

/// A fleet of instances and the messages between them.
#[derive(Debug)]
pub(crate) struct Simulation {
    /// The instances by index; `None` for one that is down.
    pub(crate) nodes: Vec<Option<Gossip>>,
    /// The fraction of messages that are lost.
    pub(crate) loss_rate: f64,
    /// The side of the partition that each instance is on. Instances on different sides cannot reach
    /// each other.
    pub(crate) partition: Vec<u8>,
    /// The number of bytes that each instance sent, by second since the start.
    pub(crate) bytes_sent: Vec<BTreeMap<u64, u64>>,
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    settings: GossipSettings,
    /// How often each instance has been started.
    start_numbers: Vec<u64>,
    paused: BTreeSet<usize>,
    /// Events by time and order of scheduling.
    queue: BTreeMap<(Instant, u64), SimEvent>,
    event_count: u64,
    rng: SmallRng,
}

impl Simulation {
    /// Starts `n` instances whose seeds are the first two.
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
            start_numbers: vec![0; n],
            paused: BTreeSet::new(),
            queue: BTreeMap::new(),
            event_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..n {
            simulation.nodes.push(None);
            simulation.start_instance(index, 1);
        }
        simulation
    }

    /// Starts or restarts an instance without any state.
    pub(crate) fn start_instance(&mut self, index: usize, incarnation: u64) {
        let seeds = [0, 1].map(|seed| instance_name(seed).as_str().into());
        let settings = GossipSettings {
            seeds: seeds.to_vec(),
            ..self.settings.clone()
        };
        let identity = Identity {
            name: instance_name(index),
            incarnation: Incarnation(incarnation),
            address: instance_name(index).as_str().into(),
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.nodes[index] = Some(Gossip::new(identity, settings, rng, self.now));
        self.start_numbers[index] += 1;
        let offset = self
            .rng
            .random_range(Duration::ZERO..self.settings.startup_round_interval);
        self.schedule(offset, SimEvent::Tick(index));
    }

    /// Stops an instance without an announcement.
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Pauses or resumes an instance. Its events are delayed until it resumes.
    pub(crate) fn set_paused(&mut self, index: usize, paused: bool) {
        if paused {
            self.paused.insert(index);
        } else {
            self.paused.remove(&index);
        }
    }

    pub(crate) fn node(&mut self, index: usize) -> &mut Gossip {
        self.nodes[index].as_mut().unwrap()
    }

    /// Gives every instance a platform's list that contains all instances.
    pub(crate) fn update_all_lists(&mut self) {
        let list: Vec<ListedMember> = (0..self.nodes.len()).map(listed_member).collect();
        for node in self.nodes.iter_mut().flatten() {
            node.update_listed_members(&list, self.now);
        }
    }

    /// Sends the urgent messages of an instance. Must be called after each change made from outside.
    pub(crate) fn send_urgent(&mut self, index: usize) {
        let now = self.now;
        let outgoing = self.node(index).urgent_messages(now);
        self.send(index, outgoing);
    }

    /// Runs for a time or until `done` holds, and returns whether it holds at the end.
    pub(crate) fn run_until(&mut self, time: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        let mut check = self.now;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.dispatch(event);
            if self.now >= check {
                if done(self) {
                    return true;
                }
                check = self.now + CHECK_INTERVAL;
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

    /// Processes an event, unless its instance is paused or down.
    fn dispatch(&mut self, event: SimEvent) {
        let receiver = match &event {
            SimEvent::Tick(index) | SimEvent::FollowUp(index, _) => *index,
            SimEvent::Request(exchange, _) => exchange.to,
            SimEvent::Response(exchange, _) | SimEvent::Failure(exchange) => exchange.from,
        };
        if self.paused.contains(&receiver) {
            let late = match event {
                // The request is handled once the instance resumes, when the exchange has failed.
                SimEvent::Request(exchange, message) => {
                    self.schedule(DEADLINE, SimEvent::Failure(exchange));
                    SimEvent::FollowUp(exchange.to, message)
                }
                other => other,
            };
            self.schedule(Duration::from_millis(100), late);
            return;
        }
        if self.nodes[receiver].is_none() {
            if let SimEvent::Request(exchange, _) = event {
                self.schedule(DEADLINE, SimEvent::Failure(exchange));
            }
            return;
        }
        self.process(event);
        self.send_urgent(receiver);
    }

    fn process(&mut self, event: SimEvent) {
        let now = self.now;
        match event {
            SimEvent::Tick(index) => {
                let outgoing = self.node(index).tick(now);
                self.send(index, outgoing);
                let interval = self.node(index).round_interval(now);
                self.schedule(interval, SimEvent::Tick(index));
            }
            SimEvent::Request(exchange, message) => {
                let response = self.node(exchange.to).handle_request(message, now);
                self.count_bytes(exchange.to, &response);
                self.transmit(
                    exchange.to,
                    exchange.from,
                    SimEvent::Response(exchange, response),
                    exchange,
                );
            }
            SimEvent::Response(exchange, response)
                if self.start_numbers[exchange.from] == exchange.start_number =>
            {
                let follow_up =
                    self.node(exchange.from)
                        .handle_response(exchange.member, response, now);
                if let Some(follow_up) = follow_up {
                    self.count_bytes(exchange.from, &follow_up);
                    self.transmit(
                        exchange.from,
                        exchange.to,
                        SimEvent::FollowUp(exchange.to, follow_up),
                        exchange,
                    );
                }
            }
            SimEvent::FollowUp(index, message) => {
                self.node(index).handle_request(message, now);
            }
            SimEvent::Failure(exchange)
                if self.start_numbers[exchange.from] == exchange.start_number =>
            {
                self.node(exchange.from)
                    .handle_failure(exchange.member, now);
            }
            SimEvent::Response(..) | SimEvent::Failure(_) => {}
        }
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for out in outgoing {
            let to = out.to[1..].parse().unwrap();
            self.count_bytes(from, &out.message);
            let exchange = Exchange {
                from,
                start_number: self.start_numbers[from],
                to,
                member: out.member,
            };
            self.transmit(from, to, SimEvent::Request(exchange, out.message), exchange);
        }
    }

    /// Schedules the arrival of a message, or the failure of its exchange if it is lost.
    fn transmit(&mut self, from: usize, to: usize, event: SimEvent, exchange: Exchange) {
        let is_lost =
            self.rng.random_bool(self.loss_rate) || self.partition[from] != self.partition[to];
        if is_lost {
            self.schedule(DEADLINE, SimEvent::Failure(exchange));
            return;
        }
        let latency = self.rng.random_range(500..3000);
        self.schedule(Duration::from_micros(latency), event);
    }

    /// Counts the bytes of a sent message.
    fn count_bytes(&mut self, from: usize, message: &Message) {
        let second = (self.now - self.start).as_secs();
        *self.bytes_sent[from].entry(second).or_default() += message.bytes() as u64;
    }

    fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.event_count += 1;
        self.queue
            .insert((self.now + after, self.event_count), event);
    }
}

/// Returns the name of an instance, which is also its address in the simulation.
pub(crate) fn instance_name(index: usize) -> InstanceName {
    format!("i{index}").as_str().into()
}

/// Returns the entry of an instance in the platform's list.
pub(crate) fn listed_member(index: usize) -> ListedMember {
    ListedMember {
        name: instance_name(index),
        address: instance_name(index).as_str().into(),
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
        leaving: false,
    }
}
