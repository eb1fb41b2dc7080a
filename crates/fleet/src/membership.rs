//! The known instances of the fleet.

use std::{collections::BTreeMap, time::Duration};

use celerypond_types::{DataCentre, InstanceKey, InstanceName};
use slotmap::SlotMap;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{member::PreviousRun, Identity, Incarnation, Member, MemberState, Origin};

/// An instance in the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// The name.
    pub name: InstanceName,
    /// The address at which peers reach it.
    pub address: SmolStr,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// Result of admitting a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The run is the latest known one of its instance.
    Admitted,
    /// The run is the latest known one and replaced the contained earlier run.
    Replaced(Origin),
    /// The contained later run of the same instance is already known.
    Superseded(Origin),
}

/// All known instances except this one.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: SlotMap<InstanceKey, Member>,
    names: BTreeMap<InstanceName, InstanceKey>,
    origins: BTreeMap<Origin, InstanceKey>,
    /// Runs of removed members, each with the sequence number that its control entries had reached
    /// and the time until which it is remembered.
    forgotten: BTreeMap<Origin, (u64, Instant)>,
}

impl Membership {
    /// Returns the members ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &Member)> {
        self.names.values().map(|key| (*key, &self.members[*key]))
    }

    /// Returns the members in the given state, ordered by name.
    pub fn in_state(&self, state: MemberState) -> impl Iterator<Item = &Member> {
        self.iter()
            .map(|(_, member)| member)
            .filter(move |member| member.state() == state)
    }

    /// Returns the member with the given key.
    pub fn get(&self, key: InstanceKey) -> Option<&Member> {
        self.members.get(key)
    }

    /// Returns the member with the given name.
    pub fn by_name(&self, name: &InstanceName) -> Option<&Member> {
        self.names.get(name).map(|key| &self.members[*key])
    }

    /// Returns the member whose latest known run has the given key.
    pub fn by_origin(&self, origin: Origin) -> Option<&Member> {
        self.origins.get(&origin).map(|key| &self.members[*key])
    }

    pub(crate) fn by_origin_mut(&mut self, origin: Origin) -> Option<&mut Member> {
        let key = self.origins.get(&origin)?;
        self.members.get_mut(*key)
    }

    pub(crate) fn get_mut(&mut self, key: InstanceKey) -> Option<&mut Member> {
        self.members.get_mut(key)
    }

    /// Adds a run that was heard of by gossip, unless a later run of the instance is known.
    pub(crate) fn admit(&mut self, identity: &Identity, now: Instant) -> Admission {
        let origin = identity.origin();
        let Some(key) = self.names.get(&identity.name).copied() else {
            let key = self.insert(member_of(identity, false, now));
            self.origins.insert(origin, key);
            return Admission::Admitted;
        };
        let old = &mut self.members[key];
        match old.origin {
            Some(run) if run == origin => Admission::Admitted,
            Some(run) if old.incarnation >= identity.incarnation => Admission::Superseded(run),
            run => {
                let previous_run = run.map(|_| PreviousRun {
                    incarnation: old.incarnation,
                    last_heard: old.last_heard,
                });
                *old = Member {
                    previous_run,
                    ..member_of(identity, old.listed, now)
                };
                self.origins.insert(origin, key);
                run.map_or(Admission::Admitted, |run| {
                    self.origins.remove(&run);
                    Admission::Replaced(run)
                })
            }
        }
    }

    /// Applies the platform's list, which lags behind by some seconds.
    ///
    /// The listed address is used only until a run of the instance has published its own.
    pub(crate) fn update_listed(&mut self, list: &[ListedMember], now: Instant) {
        for member in self.members.values_mut() {
            member.listed = false;
            member.listed_as_leaving = false;
        }
        for listed in list {
            let key = match self.names.get(&listed.name) {
                Some(key) => *key,
                None => self.insert(listed_only_member(listed, now)),
            };
            let member = &mut self.members[key];
            member.listed = true;
            member.listed_as_leaving = listed.leaving;
            if member.origin.is_none() {
                member.address = listed.address.clone();
            }
        }
    }

    /// Removes and returns the unlisted, unresponsive members that were last heard of more than `after`
    /// ago.
    ///
    /// Peers remove a member at slightly different times. Without a record of removed runs, a peer
    /// would learn the run again from one that has not removed it yet, and it would never disappear.
    /// A removed run is therefore ignored for twice `after`, unless it has a sequence number higher
    /// than the last one known here.
    pub(crate) fn remove_unresponsive(
        &mut self,
        after: Duration,
        now: Instant,
        control_reached: impl Fn(Origin) -> u64,
    ) -> Vec<Member> {
        self.forgotten.retain(|_, (_, until)| *until > now);
        let is_expired = |member: &Member| {
            !member.listed
                && member.is_unresponsive()
                && now.duration_since(member.last_heard) > after
        };
        let expired: Vec<InstanceKey> = self
            .members
            .iter()
            .filter(|(_, member)| is_expired(member))
            .map(|(key, _)| key)
            .collect();
        let mut removed: Vec<Member> = expired
            .into_iter()
            .filter_map(|key| self.members.remove(key))
            .collect();
        removed.sort_by(|a, b| a.name.cmp(&b.name));
        for member in &removed {
            self.names.remove(&member.name);
            if let Some(origin) = member.origin {
                self.origins.remove(&origin);
                self.forgotten
                    .insert(origin, (control_reached(origin), now + 2 * after));
            }
        }
        removed
    }

    /// Returns whether a run was removed and has published no control entry since, given the sequence
    /// number `reached`.
    pub(crate) fn is_forgotten(&self, origin: Origin, reached: u64) -> bool {
        self.forgotten
            .get(&origin)
            .is_some_and(|(known, _)| reached <= *known)
    }

    /// Adds a member under a name that is not in use.
    fn insert(&mut self, member: Member) -> InstanceKey {
        let name = member.name.clone();
        let key = self.members.insert(member);
        self.names.insert(name, key);
        key
    }
}

/// Creates the member for a run that has been heard of.
fn member_of(identity: &Identity, listed: bool, now: Instant) -> Member {
    Member {
        name: identity.name.clone(),
        address: identity.address.clone(),
        data_centre: identity.data_centre.clone(),
        origin: Some(identity.origin()),
        incarnation: identity.incarnation,
        listed,
        listed_as_leaving: false,
        announced_leaving: false,
        failures: 0,
        claim: None,
        last_claim: None,
        last_heard: now,
        previous_run: None,
    }
}

/// Creates the member for an instance that is known only from the list.
fn listed_only_member(listed: &ListedMember, now: Instant) -> Member {
    let identity = Identity {
        name: listed.name.clone(),
        incarnation: Incarnation::default(),
        address: listed.address.clone(),
        data_centre: listed.data_centre.clone(),
    };
    Member {
        origin: None,
        ..member_of(&identity, true, now)
    }
}
