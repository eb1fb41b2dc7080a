//! Gossip of one instance.

mod compose;
mod exchange;
mod round;

use std::collections::BTreeSet;

use bincode::Options as _;
use celerypond_types::{InstanceKey, InstanceName, Revision};
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    choose_instances,
    push_queue::{PushItem, PushPriority, PushQueue},
    Brake, ByteBudget, Candidate, EntryClass, EntryError, EntryKind, EntryTable, Facts,
    GossipSettings, Identity, Item, ListedMember, Membership, Message, Origin,
};

/// A change that the owner of the state machine may want to act on or log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// The highest revision rose.
    Revision(Revision),
    /// A peer that was heard acts on a revision above the one that this instance acts on.
    Ahead(Revision),
    /// A brake became known.
    Brake(Brake),
    /// An entry of the kind came, changed or went.
    Changed(EntryKind),
    /// An instance became known, or a new run of it.
    Joined(InstanceName),
    /// An instance became suspected.
    Suspected(InstanceName),
    /// An instance that was suspected showed a sign of life.
    Returned(InstanceName),
    /// An instance was dropped after a long silence.
    Forgotten(InstanceName),
    /// A later run of this very instance is known, so this run took a still later ordinal.
    Renumbered,
}

/// A message to be sent.
///
/// The sender gives the answer to [`Gossip::handle_response`] and a failure to [`Gossip::handle_failure`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The member that is meant; nothing for a seed address.
    pub member: Option<InstanceKey>,
    /// The address.
    pub to: SmolStr,
    /// The message.
    pub message: Message,
}

/// Gossip of one instance, as a state machine.
///
/// # Examples
///
/// ```
/// use celerypond_fleet::{Gossip, Identity, Incarnation, GossipSettings};
/// use celerypond_types::Revision;
/// use rand::{SeedableRng as _, rngs::SmallRng};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let make = |name: &str| {
///     let identity = Identity {
///         name: name.into(),
///         incarnation: Incarnation(1),
///         address: name.into(),
///         data_centre: "east".into(),
///     };
///     let settings = GossipSettings { seeds: vec!["b".into()], ..GossipSettings::default() };
///     Gossip::new(identity, settings, SmallRng::seed_from_u64(1), now)
/// };
/// let (mut a, mut b) = (make("a"), make("b"));
/// b.raise_acting_revision(Revision(3));
/// let out = a.tick(now).remove(0);
/// let answer = b.handle_request(out.message, now);
/// a.handle_response(out.member, answer, now);
/// assert_eq!(a.facts().revision(), Revision(3));
/// ```
#[derive(Debug)]
pub struct Gossip {
    identity: Identity,
    origin: Origin,
    settings: GossipSettings,
    entries: EntryTable,
    facts: Facts,
    fresh: Facts,
    /// The revision that this instance acts on.
    acting: Revision,
    membership: Membership,
    push_queue: PushQueue,
    budget: ByteBudget,
    group: Vec<InstanceName>,
    cursor: Origin,
    /// Until when more is exchanged than later.
    settled: Instant,
    round: u64,
    outcomes: u8,
    events: BTreeSet<Event>,
    rng: SmallRng,
}

impl Gossip {
    /// Makes the gossip of an instance that knows nobody yet.
    pub fn new(identity: Identity, settings: GossipSettings, rng: SmallRng, now: Instant) -> Self {
        let mut gossip = Self {
            origin: identity.origin(),
            identity,
            entries: EntryTable::default(),
            facts: Facts::default(),
            fresh: Facts::default(),
            acting: Revision(0),
            membership: Membership::default(),
            push_queue: PushQueue::default(),
            budget: ByteBudget::new(settings.startup_bytes_per_second, now),
            settled: now + settings.startup_duration,
            settings,
            group: Vec::new(),
            cursor: Origin(0),
            round: 0,
            outcomes: 0,
            events: BTreeSet::new(),
            rng,
        };
        gossip.introduce();
        gossip
    }

    /// Returns what this instance says of itself.
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the key of this run.
    pub const fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the highest revision and the brakes.
    pub const fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Returns the other instances.
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the entries of all instances, this one's too.
    pub const fn entries(&self) -> &EntryTable {
        &self.entries
    }

    /// Returns what changed since the last call.
    pub fn take_events(&mut self) -> BTreeSet<Event> {
        std::mem::take(&mut self.events)
    }

    /// Takes in the platform's list.
    pub fn update_listed_members(&mut self, list: &[ListedMember], now: Instant) {
        let others: Vec<ListedMember> = list
            .iter()
            .filter(|listed| listed.name != self.identity.name)
            .cloned()
            .collect();
        self.membership.update_listed(&others, now);
    }

    /// Sets the instances that share evidence, demand and load with this one.
    ///
    /// What was heard of instances that are no longer among them is dropped: nothing would ever
    /// change it again, and old loads would be taken for present ones.
    pub fn set_group(&mut self, peers: Vec<InstanceName>) {
        self.group = peers;
        self.group.retain(|name| *name != self.identity.name);
        self.group.sort();
        let runs = self.group.iter().filter_map(|name| {
            let member = self.membership.by_name(name)?;
            member.origin
        });
        let group: BTreeSet<Origin> = runs.chain([self.origin]).collect();
        self.entries.keep_group(&group);
    }

    /// Returns whether this instance sums up for its group, by the view of this instance.
    ///
    /// Two may think so for a while, and their sums then stand twice; readers of sums keep the one
    /// of each group with the latest value.
    pub fn is_group_leader(&self) -> bool {
        let live = self.group.iter().filter_map(|name| {
            let member = self.membership.by_name(name)?;
            (!member.is_silent()).then_some(Candidate {
                name: &member.name,
                data_centre: &member.data_centre,
            })
        });
        let own = Candidate {
            name: &self.identity.name,
            data_centre: &self.identity.data_centre,
        };
        let all: Vec<Candidate<'_>> = live.chain([own]).collect();
        choose_instances(b"group leader", &all, 1).first() == Some(&own)
    }

    /// Takes in a revision that this instance acts on; it is pushed to peers if it is news.
    pub fn raise_acting_revision(&mut self, revision: Revision) {
        self.acting = self.acting.max(revision);
        let mut facts = Facts::default();
        facts.raise_revision(revision);
        self.learn(facts);
    }

    /// Takes in a brake that this instance trips; it is pushed to peers if it is news.
    pub fn add_brake(&mut self, brake: Brake) {
        let mut facts = Facts::default();
        facts.add_brake(brake);
        self.learn(facts);
    }

    /// Says that this instance takes no new work for the rest of its run.
    pub fn announce_leaving(&mut self) {
        // One empty entry more always fits: the control class has few kinds.
        let _ = self.set_entry(EntryKind::Leaving, "", Box::default());
    }

    /// Sets an entry of this instance.
    ///
    /// # Errors
    ///
    /// Fails when the value is too long or the class is full.
    pub fn set_entry(
        &mut self,
        kind: EntryKind,
        key: &str,
        value: Box<[u8]>,
    ) -> Result<(), EntryError> {
        let key = key.into();
        let sequence = self.entries.set(self.origin, Item { kind, key, value })?;
        self.spread(self.origin, kind.class(), kind.is_urgent(), sequence);
        Ok(())
    }

    /// Clears an entry of this instance, if there is one.
    pub fn clear_entry(&mut self, kind: EntryKind, key: &str) {
        if let Some(sequence) = self.entries.clear(self.origin, kind, key) {
            self.spread(self.origin, kind.class(), kind.is_urgent(), sequence);
        }
    }

    fn introduce(&mut self) {
        let value = bincode::options()
            .serialize(&self.identity)
            .unwrap_or_default();
        // A name and an address are far below the bound, and the slot is the first one.
        let _ = self.set_entry(EntryKind::Identity, "", value.into());
    }

    fn learn(&mut self, facts: Facts) {
        let news = self.facts.merge(facts);
        if news.revision() > Revision(0) {
            self.events.insert(Event::Revision(news.revision()));
        }
        let brakes = news.brakes().cloned().map(Event::Brake);
        self.events.extend(brakes);
        self.fresh.merge(news);
    }

    fn spread(&mut self, origin: Origin, class: EntryClass, is_urgent: bool, sequence: u64) {
        let rank = match class {
            _ if is_urgent => PushPriority::Urgent,
            EntryClass::Control => PushPriority::Control,
            EntryClass::Summary => PushPriority::Summary,
            EntryClass::Evidence | EntryClass::Demand | EntryClass::Load => return,
        };
        let news = PushItem::Entry {
            origin,
            class,
            sequence,
        };
        self.push_queue.add(rank, news, self.settings.push_count);
    }
}
