//! What is sent without being asked.

use std::{collections::BTreeSet, time::Duration};

use celerypond_types::InstanceKey;
use rand::{seq::IndexedRandom as _, Rng as _};
use tokio::time::Instant;

use crate::{
    message::size, push_queue::PushPriority, Digest, Event, Gossip, Member, Message, Outgoing,
};

/// The smallest message that is worth sending in a round, in bytes.
const SMALLEST_BYTES: usize = 300;

impl Gossip {
    /// Takes the turn of one round and returns the messages to be sent.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.round += 1;
        let is_starting = self.is_starting(now);
        if !is_starting {
            self.budget.set_rate(self.settings.bytes_per_second, now);
        }
        self.forget(now);
        let mut sends = self.urgent_messages(now);
        for key in self.partners() {
            let digest = self.group_digest();
            self.request(&mut sends, key, Some(digest), now);
        }
        // One digest a round is enough for what pushes have missed; the others carry news only. An instance
        // that has just started has missed nearly all.
        let mut digest = Some(self.fleet_digest());
        for key in self.contacts() {
            self.request(&mut sends, key, digest.take(), now);
            if is_starting {
                digest = Some(self.fleet_digest());
            }
        }
        if self
            .round
            .is_multiple_of(self.settings.unresponsive_retry_rounds)
            || self.live().next().is_none()
        {
            self.seek(&mut sends, now);
        }
        sends
    }

    /// Returns the time until the next round.
    ///
    /// The load it answers: a whole fleet loses its power and starts at once. Callers ask for addresses
    /// within the second; an instance that knows three others names these to all its callers, which then
    /// press the few that all know while the rest is idle. At the pace that holds a fleet together
    /// 71 instances need 4.6 s to meet and 900 need 34.6 s; with shorter rounds 0.6 s and 2.1 s, in virtual
    /// time.
    pub fn round_interval(&self, now: Instant) -> Duration {
        match self.is_starting(now) {
            true => self.settings.startup_round_interval,
            false => self.settings.round_interval,
        }
    }

    fn is_starting(&self, now: Instant) -> bool {
        now < self.settled
    }

    /// Returns the messages that do not wait for the next round.
    ///
    /// Call this after every input. A brake or a revision that waited for a round at each of
    /// log(n) hops would reach the last instance seconds after the first.
    pub fn urgent_messages(&mut self, now: Instant) -> Vec<Outgoing> {
        if self.fresh.is_empty() && !self.push_queue.has_urgent() {
            return Vec::new();
        }
        let live: Vec<InstanceKey> = self.live().map(|(key, _)| key).collect();
        let chosen: Vec<InstanceKey> = live
            .choose_multiple(&mut self.rng, self.settings.urgent_fan_out)
            .copied()
            .collect();
        let mut sends = Vec::new();
        for key in chosen {
            let mut message = self.begin(key);
            message.facts = self.fresh.clone();
            let room = self.budget.available(now);
            let room = room.min(self.settings.max_message_bytes);
            let Some(left) = room.checked_sub(message.bytes()) else {
                // What is left over is tried again after the next input.
                return sends;
            };
            self.add_pushes(&mut message, PushPriority::Urgent, left);
            self.send(&mut sends, key, message);
        }
        self.fresh = Default::default();
        sends
    }

    fn forget(&mut self, now: Instant) {
        let entries = &self.entries;
        let reached = |origin| entries.reached(origin, crate::EntryClass::Control);
        let gone = self
            .membership
            .remove_unresponsive(self.settings.forget_after, now, reached);
        for member in gone {
            if let Some(origin) = member.origin {
                self.entries.remove(origin);
            }
            self.events.insert(Event::Forgotten(member.name));
        }
    }

    fn live(&self) -> impl Iterator<Item = (InstanceKey, &Member)> {
        self.membership
            .iter()
            .filter(|(_, member)| !member.is_silent())
    }

    /// Chooses whom to contact: some live ones, those to be tried a second time, and now and then
    /// one that is held to be dead. Without the last, two halves of a partition that suspect each
    /// other would never try again and stay apart after the network is whole.
    fn contacts(&mut self) -> Vec<InstanceKey> {
        let (mut live, mut doubtful, mut silent) = (Vec::new(), Vec::new(), Vec::new());
        for (key, member) in self.membership.iter() {
            match member {
                m if m.is_silent() => silent.push(key),
                m if m.is_doubtful() => doubtful.push(key),
                _ => live.push(key),
            }
        }
        let mut chosen = Vec::new();
        for _ in 0..self.settings.fan_out.min(live.len()) {
            let at = self.rng.random_range(0..live.len());
            chosen.push(live.swap_remove(at));
        }
        chosen.extend(doubtful.choose(&mut self.rng));
        if self
            .round
            .is_multiple_of(self.settings.unresponsive_retry_rounds)
            || live.is_empty()
        {
            chosen.extend(silent.choose(&mut self.rng));
        }
        chosen
    }

    fn partners(&mut self) -> Vec<InstanceKey> {
        let group: Vec<InstanceKey> = self
            .live()
            .filter(|(_, member)| self.group.binary_search(&member.name).is_ok())
            .map(|(key, _)| key)
            .collect();
        let fan = self.settings.group_fan_out;
        group.choose_multiple(&mut self.rng, fan).copied().collect()
    }

    /// Tries a seed that is not among the members.
    ///
    /// If seeds were tried only while nobody is known, instances that began with different seeds
    /// would form fleets that never hear of each other.
    fn seek(&mut self, sends: &mut Vec<Outgoing>, now: Instant) {
        let own = &self.identity.address;
        let known: BTreeSet<_> = self.membership.iter().map(|(_, m)| &m.address).collect();
        let seeds = self.settings.seeds.iter();
        let unmet: Vec<_> = seeds.filter(|s| *s != own && !known.contains(s)).collect();
        let Some(to) = unmet.choose(&mut self.rng).map(|seed| (*seed).clone()) else {
            return;
        };
        let mut message = Message::new(self.origin, None, self.acting);
        self.greet(&mut message);
        message.summary = Some(self.facts.summary());
        message.digest = Some(self.fleet_digest());
        if self.budget.available(now) < message.bytes() {
            return;
        }
        self.budget.spend(message.bytes());
        sends.push(Outgoing {
            member: None,
            to,
            message,
        });
    }

    fn request(
        &mut self,
        sends: &mut Vec<Outgoing>,
        key: InstanceKey,
        digest: Option<Digest>,
        now: Instant,
    ) {
        let room = self
            .budget
            .available(now)
            .min(self.settings.max_message_bytes);
        let mut message = self.begin(key);
        message.summary = Some(self.facts.summary());
        if room >= message.bytes() + size(&digest) {
            message.digest = digest;
        }
        if room < SMALLEST_BYTES {
            return;
        }
        let left = room.saturating_sub(message.bytes());
        self.add_pushes(&mut message, PushPriority::Summary, left);
        self.send(sends, key, message);
    }

    fn begin(&self, key: InstanceKey) -> Message {
        let to = self.membership.get(key).and_then(|member| member.origin);
        let mut message = Message::new(self.origin, to, self.acting);
        if to.is_none() {
            self.greet(&mut message);
        }
        message
    }

    pub(super) fn greet(&self, message: &mut Message) {
        message.hello = true;
        message.deltas.extend(self.control(self.origin));
    }

    fn send(&mut self, sends: &mut Vec<Outgoing>, key: InstanceKey, message: Message) {
        let Some(member) = self.membership.get(key) else {
            return;
        };
        self.budget.spend(message.bytes());
        sends.push(Outgoing {
            member: Some(key),
            to: member.address.clone(),
            message,
        });
    }
}
