//! The gossip protocol of one instance.

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

/// A change that the caller of [`Gossip`] may have to act on or log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// The highest known revision has risen.
    Revision(Revision),
    /// A message from a peer shows that the peer uses a higher revision than this instance. Reported
    /// whenever such a message arrives.
    Ahead(Revision),
    /// A brake has become known.
    Brake(Brake),
    /// A peer has set an entry of this kind.
    Changed(EntryKind),
    /// An instance or a new run of a known instance has become known.
    Joined(InstanceName),
    /// An instance does not respond.
    Suspected(InstanceName),
    /// An instance that did not respond has sent a message or refuted the claim.
    Returned(InstanceName),
    /// An instance has been removed because it did not respond for a long time.
    Forgotten(InstanceName),
    /// Another run of this instance had the same or a higher number, so this run has taken the next one.
    Renumbered,
}

/// A request to send.
///
/// The caller passes the response to [`Gossip::handle_response`] or reports the failure with
/// [`Gossip::handle_failure`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving member; `None` for a seed address.
    pub member: Option<InstanceKey>,
    /// The address of the receiver.
    pub to: SmolStr,
    /// The message.
    pub message: Message,
}

/// The gossip protocol of one instance, as a state machine without I/O.
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
    /// Facts that have not been pushed yet.
    unsent_facts: Facts,
    /// The revision that this instance uses.
    acting_revision: Revision,
    membership: Membership,
    push_queue: PushQueue,
    budget: ByteBudget,
    /// The other instances of the group, sorted.
    group: Vec<InstanceName>,
    /// The first origin that the next fleet digest covers.
    digest_cursor: Origin,
    /// The end of the startup phase.
    startup_until: Instant,
    round_number: u64,
    /// The outcomes of the last exchanges, one bit each, set for a failed one.
    recent_failures: u8,
    events: BTreeSet<Event>,
    rng: SmallRng,
}

impl Gossip {
    /// Creates the state of an instance that knows no other instance yet.
    pub fn new(identity: Identity, settings: GossipSettings, rng: SmallRng, now: Instant) -> Self {
        let mut gossip = Self {
            origin: identity.origin(),
            identity,
            entries: EntryTable::default(),
            facts: Facts::default(),
            unsent_facts: Facts::default(),
            acting_revision: Revision(0),
            membership: Membership::default(),
            push_queue: PushQueue::default(),
            budget: ByteBudget::new(settings.startup_bytes_per_second, now),
            startup_until: now + settings.startup_duration,
            settings,
            group: Vec::new(),
            digest_cursor: Origin(0),
            round_number: 0,
            recent_failures: 0,
            events: BTreeSet::new(),
            rng,
        };
        gossip.publish_identity();
        gossip
    }

    /// Returns what this instance publishes about itself.
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the key of this run.
    pub const fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the highest known revision and the brakes.
    pub const fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Returns the other known instances.
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the entries of all instances, including this one.
    pub const fn entries(&self) -> &EntryTable {
        &self.entries
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> BTreeSet<Event> {
        std::mem::take(&mut self.events)
    }

    /// Sets the addresses that are contacted while no member is known to have them. Those that were
    /// known at the start may be gone.
    pub fn set_seeds(&mut self, seeds: Vec<SmolStr>) {
        self.settings.seeds = seeds;
    }

    /// Applies the platform's list of instances.
    pub fn update_listed_members(&mut self, list: &[ListedMember], now: Instant) {
        let others: Vec<ListedMember> = list
            .iter()
            .filter(|listed| listed.name != self.identity.name)
            .cloned()
            .collect();
        self.membership.update_listed(&others, now);
    }

    /// Sets the instances that exchange group-local entries with this one.
    ///
    /// The group-local entries of instances that are no longer in the group are dropped. They would
    /// never be updated again, and outdated loads would be taken for current ones.
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

    /// Returns whether this instance publishes the summaries of its group, as far as it knows.
    ///
    /// Two instances may consider themselves the leader for a while and both publish summaries; readers
    /// use the latest one of each group.
    pub fn is_group_leader(&self) -> bool {
        let live = self.group.iter().filter_map(|name| {
            let member = self.membership.by_name(name)?;
            (!member.is_unresponsive()).then_some(Candidate {
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

    /// Records that this instance uses a revision. It is pushed to peers if it is the highest known one.
    pub fn raise_acting_revision(&mut self, revision: Revision) {
        self.acting_revision = self.acting_revision.max(revision);
        let mut facts = Facts::default();
        facts.raise_revision(revision);
        self.merge_facts(facts);
    }

    /// Adds a brake. It is pushed to peers if it was unknown.
    pub fn add_brake(&mut self, brake: Brake) {
        let mut facts = Facts::default();
        facts.add_brake(brake);
        self.merge_facts(facts);
    }

    /// Announces that this instance accepts no new work for the rest of its run.
    pub fn announce_leaving(&mut self) {
        // Cannot fail: the value is empty, and the control class has few kinds of entries.
        let _ = self.set_entry(EntryKind::Leaving, "", Box::default());
    }

    /// Sets an entry of this instance.
    ///
    /// # Errors
    ///
    /// Fails if the value is too long or the class is full.
    pub fn set_entry(
        &mut self,
        kind: EntryKind,
        key: &str,
        value: Box<[u8]>,
    ) -> Result<(), EntryError> {
        let key = key.into();
        let sequence = self.entries.set(self.origin, Item { kind, key, value })?;
        self.queue_push(self.origin, kind.class(), kind.is_urgent(), sequence);
        Ok(())
    }

    /// Clears an entry of this instance, if it is set.
    pub fn clear_entry(&mut self, kind: EntryKind, key: &str) {
        if let Some(sequence) = self.entries.clear(self.origin, kind, key) {
            self.queue_push(self.origin, kind.class(), kind.is_urgent(), sequence);
        }
    }

    /// Sets the entry that contains the identity of this instance.
    fn publish_identity(&mut self) {
        let value = bincode::options()
            .serialize(&self.identity)
            .unwrap_or_default();
        // Cannot fail: a name and an address are far below the maximum length, and the entry is the first
        // of its class.
        let _ = self.set_entry(EntryKind::Identity, "", value.into());
    }

    /// Merges facts from this instance or from a peer, and marks new ones for pushing.
    fn merge_facts(&mut self, facts: Facts) {
        let added = self.facts.merge(facts);
        if added.revision() > Revision(0) {
            self.events.insert(Event::Revision(added.revision()));
        }
        let brakes = added.brakes().cloned().map(Event::Brake);
        self.events.extend(brakes);
        self.unsent_facts.merge(added);
    }

    /// Queues a changed entry for pushing, if its class is pushed.
    fn queue_push(&mut self, origin: Origin, class: EntryClass, is_urgent: bool, sequence: u64) {
        let priority = match class {
            _ if is_urgent => PushPriority::Urgent,
            EntryClass::Control => PushPriority::Control,
            EntryClass::Summary => PushPriority::Summary,
            EntryClass::Evidence | EntryClass::Demand | EntryClass::Load => return,
        };
        let item = PushItem::Entry {
            origin,
            class,
            sequence,
        };
        self.push_queue
            .add(priority, item, self.settings.push_count);
    }
}
