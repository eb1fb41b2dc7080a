//! All instances that are known.

use std::{collections::BTreeMap, time::Duration};

use celerypond_types::{DataCentre, InstanceKey, InstanceName};
use slotmap::SlotMap;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{Identity, Incarnation, Member, MemberState, Origin};

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// Its name.
    pub name: InstanceName,
    /// Its address for peers.
    pub address: SmolStr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}

/// What became of a run that was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It is the latest run of its instance.
    Admitted,
    /// It is the latest run, in place of this one.
    Replaced(Origin),
    /// A later run of its instance is known.
    Superseded(Origin),
}

/// All instances that are known but this one.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: SlotMap<InstanceKey, Member>,
    names: BTreeMap<InstanceName, InstanceKey>,
    origins: BTreeMap<Origin, InstanceKey>,
    forgotten: BTreeMap<Origin, (u64, Instant)>,
}

impl Membership {
    /// Returns the members in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &Member)> {
        self.names.values().map(|key| (*key, &self.members[*key]))
    }

    /// Returns the members in a state.
    pub fn in_state(&self, state: MemberState) -> impl Iterator<Item = &Member> {
        self.iter()
            .map(|(_, member)| member)
            .filter(move |member| member.state() == state)
    }

    /// Returns a member by its key.
    pub fn get(&self, key: InstanceKey) -> Option<&Member> {
        self.members.get(key)
    }

    /// Returns a member by its name.
    pub fn by_name(&self, name: &InstanceName) -> Option<&Member> {
        self.names.get(name).map(|key| &self.members[*key])
    }

    /// Returns a member by its run.
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

    /// Takes in a run that was heard of.
    pub(crate) fn admit(&mut self, identity: &Identity, now: Instant) -> Admission {
        let origin = identity.origin();
        let Some(key) = self.names.get(&identity.name).copied() else {
            let key = self.insert(member(identity, false, now));
            self.origins.insert(origin, key);
            return Admission::Admitted;
        };
        let old = &mut self.members[key];
        match old.origin {
            Some(run) if run == origin => Admission::Admitted,
            Some(run) if old.incarnation >= identity.incarnation => Admission::Superseded(run),
            run => {
                *old = member(identity, old.listed, now);
                self.origins.insert(origin, key);
                run.map_or(Admission::Admitted, |run| {
                    self.origins.remove(&run);
                    Admission::Replaced(run)
                })
            }
        }
    }

    /// Takes in the platform's list, which is some seconds late.
    pub(crate) fn update_listed(&mut self, list: &[ListedMember], now: Instant) {
        for member in self.members.values_mut() {
            member.listed = false;
            member.list_leaving = false;
        }
        for listed in list {
            let key = match self.names.get(&listed.name) {
                Some(key) => *key,
                None => self.insert(unmet(listed, now)),
            };
            let member = &mut self.members[key];
            member.listed = true;
            member.list_leaving = listed.leaving;
            if member.origin.is_none() {
                member.address = listed.address.clone();
            }
        }
    }

    /// Drops the members that nobody has heard of for `after`; returns them.
    ///
    /// Peers forget at slightly different times. One that forgot early would learn the dead run
    /// again from one that has not yet, and so on for ever; so the run is remembered as forgotten
    /// for twice the time, unless it shows a sequence number that nobody had seen.
    pub(crate) fn remove_unresponsive(
        &mut self,
        after: Duration,
        now: Instant,
        reached: impl Fn(Origin) -> u64,
    ) -> Vec<Member> {
        self.forgotten.retain(|_, (_, until)| *until > now);
        let is_old = |member: &Member| {
            !member.listed && member.is_silent() && now.duration_since(member.news) > after
        };
        let old: Vec<InstanceKey> = self
            .members
            .iter()
            .filter(|(_, member)| is_old(member))
            .map(|(key, _)| key)
            .collect();
        let mut gone: Vec<Member> = old
            .into_iter()
            .filter_map(|key| self.members.remove(key))
            .collect();
        gone.sort_by(|a, b| a.name.cmp(&b.name));
        for member in &gone {
            self.names.remove(&member.name);
            if let Some(origin) = member.origin {
                self.origins.remove(&origin);
                self.forgotten
                    .insert(origin, (reached(origin), now + 2 * after));
            }
        }
        gone
    }

    /// Returns whether a run was forgotten and `reached` is no news of it.
    pub(crate) fn is_forgotten(&self, origin: Origin, reached: u64) -> bool {
        self.forgotten
            .get(&origin)
            .is_some_and(|(known, _)| reached <= *known)
    }

    fn insert(&mut self, member: Member) -> InstanceKey {
        let name = member.name.clone();
        let key = self.members.insert(member);
        self.names.insert(name, key);
        key
    }
}

fn member(identity: &Identity, listed: bool, now: Instant) -> Member {
    Member {
        name: identity.name.clone(),
        address: identity.address.clone(),
        data_centre: identity.data_centre.clone(),
        origin: Some(identity.origin()),
        incarnation: identity.incarnation,
        listed,
        list_leaving: false,
        leaving: false,
        failures: 0,
        claim: None,
        claimed: None,
        news: now,
    }
}

fn unmet(listed: &ListedMember, now: Instant) -> Member {
    let identity = Identity {
        name: listed.name.clone(),
        incarnation: Incarnation::default(),
        address: listed.address.clone(),
        data_centre: listed.data_centre.clone(),
    };
    Member {
        origin: None,
        ..member(&identity, true, now)
    }
}
