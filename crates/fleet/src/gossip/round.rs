//! Requests that this instance initiates.

use std::{collections::BTreeSet, time::Duration};

use celerypond_types::InstanceKey;
use rand::{seq::IndexedRandom as _, Rng as _};
use tokio::time::Instant;

use crate::{
    message::size, push_queue::PushPriority, Digest, Event, Gossip, Member, Message, Outgoing,
};

/// Minimum budget for sending a request in a round, in bytes.
const MIN_REQUEST_BYTES: usize = 300;

impl Gossip {
    /// Runs one round and returns the requests to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.round_number += 1;
        let is_starting = self.is_starting(now);
        if !is_starting {
            self.budget.set_rate(self.settings.bytes_per_second, now);
        }
        self.remove_unresponsive(now);
        let mut outgoing = self.urgent_messages(now);
        for key in self.choose_group_peers() {
            let digest = self.group_digest();
            self.add_request(&mut outgoing, key, Some(digest), now);
        }
        // One fleet digest per round suffices to repair lost pushes; the other requests contain only
        // updates. During startup an instance lacks almost everything, so every request has a digest.
        let mut digest = Some(self.fleet_digest());
        for key in self.choose_fleet_peers() {
            self.add_request(&mut outgoing, key, digest.take(), now);
            if is_starting {
                digest = Some(self.fleet_digest());
            }
        }
        if self
            .round_number
            .is_multiple_of(self.settings.unresponsive_retry_rounds)
            || self.responsive().next().is_none()
        {
            self.contact_seed(&mut outgoing, now);
        }
        outgoing
    }

    /// Returns the time until the next round, which is shorter during startup.
    ///
    /// When a whole fleet starts at once, for example after a power failure, callers request addresses
    /// of instances within the first second. An instance that knows only three others returns these to
    /// all its callers, which overloads the few widely known instances while the others are idle. With
    /// the normal interval, 71 instances need 4.6 s to find each other and 900 need 34.6 s; with the
    /// startup interval they need 0.6 s and 2.1 s, in virtual time.
    pub fn round_interval(&self, now: Instant) -> Duration {
        match self.is_starting(now) {
            true => self.settings.startup_round_interval,
            false => self.settings.round_interval,
        }
    }

    /// Returns whether the startup phase lasts.
    fn is_starting(&self, now: Instant) -> bool {
        now < self.startup_until
    }

    /// Returns the requests with urgent updates, which do not wait for the next round.
    ///
    /// Must be called after every input. If a brake or a revision waited for the next round at each of
    /// log(n) hops, it would reach the last instance seconds after the first.
    pub fn urgent_messages(&mut self, now: Instant) -> Vec<Outgoing> {
        if self.unsent_facts.is_empty() && !self.push_queue.has_urgent() {
            return Vec::new();
        }
        let peers: Vec<InstanceKey> = self.responsive().map(|(key, _)| key).collect();
        let chosen: Vec<InstanceKey> = peers
            .choose_multiple(&mut self.rng, self.settings.urgent_fan_out)
            .copied()
            .collect();
        let mut outgoing = Vec::new();
        for key in chosen {
            let mut message = self.message_to(key);
            message.facts = self.unsent_facts.clone();
            let room = self.budget.available(now);
            let room = room.min(self.settings.max_message_bytes);
            let Some(left) = room.checked_sub(message.bytes()) else {
                // The unsent updates are tried again after the next input.
                return outgoing;
            };
            self.add_pushes(&mut message, PushPriority::Urgent, left);
            self.add_outgoing(&mut outgoing, key, message);
        }
        self.unsent_facts = Default::default();
        outgoing
    }

    /// Removes the members that have not responded for a long time.
    fn remove_unresponsive(&mut self, now: Instant) {
        let entries = &self.entries;
        let reached = |origin| entries.reached(origin, crate::EntryClass::Control);
        let removed = self
            .membership
            .remove_unresponsive(self.settings.forget_after, now, reached);
        for member in removed {
            if let Some(origin) = member.origin {
                self.entries.remove(origin);
            }
            self.events.insert(Event::Forgotten(member.name));
        }
    }

    /// Returns the members that respond, including leaving ones.
    fn responsive(&self) -> impl Iterator<Item = (InstanceKey, &Member)> {
        self.membership
            .iter()
            .filter(|(_, member)| !member.is_unresponsive())
    }

    /// Chooses the peers of the fleet to contact in this round: some responsive ones, one that is almost
    /// suspected, and from time to time one that does not respond. Without the last, the two sides of
    /// a partition would suspect each other forever, even after the network has healed.
    fn choose_fleet_peers(&mut self) -> Vec<InstanceKey> {
        let (mut responsive, mut almost_suspected, mut unresponsive) =
            (Vec::new(), Vec::new(), Vec::new());
        for (key, member) in self.membership.iter() {
            match member {
                m if m.is_unresponsive() => unresponsive.push(key),
                m if m.is_almost_suspected() => almost_suspected.push(key),
                _ => responsive.push(key),
            }
        }
        let mut chosen = Vec::new();
        for _ in 0..self.settings.fan_out.min(responsive.len()) {
            let index = self.rng.random_range(0..responsive.len());
            chosen.push(responsive.swap_remove(index));
        }
        chosen.extend(almost_suspected.choose(&mut self.rng));
        if self
            .round_number
            .is_multiple_of(self.settings.unresponsive_retry_rounds)
            || responsive.is_empty()
        {
            chosen.extend(unresponsive.choose(&mut self.rng));
        }
        chosen
    }

    /// Chooses the peers of the group to contact in this round.
    fn choose_group_peers(&mut self) -> Vec<InstanceKey> {
        let group: Vec<InstanceKey> = self
            .responsive()
            .filter(|(_, member)| self.group.binary_search(&member.name).is_ok())
            .map(|(key, _)| key)
            .collect();
        let count = self.settings.group_fan_out;
        group
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect()
    }

    /// Adds a request to a random seed that is not the address of a member.
    ///
    /// If seeds were contacted only while no member is known, instances with different seeds would form
    /// separate fleets that never learn of each other.
    fn contact_seed(&mut self, outgoing: &mut Vec<Outgoing>, now: Instant) {
        let own = &self.identity.address;
        let known: BTreeSet<_> = self.membership.iter().map(|(_, m)| &m.address).collect();
        let seeds = self.settings.seeds.iter();
        let unknown: Vec<_> = seeds.filter(|s| *s != own && !known.contains(s)).collect();
        let Some(to) = unknown.choose(&mut self.rng).map(|seed| (*seed).clone()) else {
            return;
        };
        let mut message = Message::new(self.origin, None, self.acting_revision);
        self.add_introduction(&mut message);
        message.summary = Some(self.facts.fingerprint());
        message.digest = Some(self.fleet_digest());
        if self.budget.available(now) < message.bytes() {
            return;
        }
        self.budget.spend(message.bytes());
        outgoing.push(Outgoing {
            member: None,
            to,
            message,
        });
    }

    /// Adds a request to a member, if the budget allows it.
    fn add_request(
        &mut self,
        outgoing: &mut Vec<Outgoing>,
        key: InstanceKey,
        digest: Option<Digest>,
        now: Instant,
    ) {
        let room = self
            .budget
            .available(now)
            .min(self.settings.max_message_bytes);
        let mut message = self.message_to(key);
        message.summary = Some(self.facts.fingerprint());
        if room >= message.bytes() + size(&digest) {
            message.digest = digest;
        }
        if room < MIN_REQUEST_BYTES {
            return;
        }
        let left = room.saturating_sub(message.bytes());
        self.add_pushes(&mut message, PushPriority::Summary, left);
        self.add_outgoing(outgoing, key, message);
    }

    /// Creates a message to a member.
    fn message_to(&self, key: InstanceKey) -> Message {
        let to = self.membership.get(key).and_then(|member| member.origin);
        let mut message = Message::new(self.origin, to, self.acting_revision);
        if to.is_none() {
            self.add_introduction(&mut message);
        }
        message
    }

    /// Adds the control entries of this instance for a receiver that may not know it, and requests those
    /// of the receiver.
    pub(super) fn add_introduction(&self, message: &mut Message) {
        message.hello = true;
        message.deltas.extend(self.control_entries(self.origin));
    }

    /// Adds a message to a member and deducts it from the budget.
    fn add_outgoing(&mut self, outgoing: &mut Vec<Outgoing>, key: InstanceKey, message: Message) {
        let Some(member) = self.membership.get(key) else {
            return;
        };
        self.budget.spend(message.bytes());
        outgoing.push(Outgoing {
            member: Some(key),
            to: member.address.clone(),
            message,
        });
    }
}
