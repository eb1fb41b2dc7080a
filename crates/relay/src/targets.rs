//! All targets that are known.

use std::collections::{HashMap, HashSet};

use celerypond_types::{TargetKey, TargetName};
use slotmap::SlotMap;

use crate::{Target, TargetEntry};

/// A change in the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target is there, or says something else than before.
    Is(TargetEntry),
    /// The target is gone.
    Gone(TargetName),
}

/// All targets that are known.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    arena: SlotMap<TargetKey, Target>,
    names: HashMap<TargetName, TargetKey>,
}

impl Targets {
    /// Takes in a whole list; targets that it leaves out are gone. Returns what changed.
    pub fn replace(&mut self, entries: Vec<TargetEntry>) -> Vec<Change> {
        let kept: HashSet<&TargetName> = entries.iter().map(|entry| &entry.name).collect();
        let gone: Vec<TargetName> = self
            .names
            .keys()
            .filter(|name| !kept.contains(name))
            .cloned()
            .collect();
        let gone = gone.into_iter().map(Change::Gone);
        let there = entries.into_iter().map(Change::Is);
        gone.chain(there)
            .collect::<Vec<Change>>()
            .into_iter()
            .filter(|change| self.apply(change))
            .collect()
    }

    /// Takes in one change; returns whether it told anything new.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Is(entry) => self.put(entry),
            Change::Gone(name) => match self.names.remove(name) {
                Some(key) => self.arena.remove(key).is_some(),
                None => false,
            },
        }
    }

    fn put(&mut self, entry: &TargetEntry) -> bool {
        let known = self.names.get(&entry.name).copied();
        let Some(target) = known.and_then(|key| self.arena.get_mut(key)) else {
            let key = self.arena.insert(Target::new(entry.clone()));
            self.names.insert(entry.name.clone(), key);
            return true;
        };
        if target.entry == *entry {
            return false;
        }
        let is_same_run = target.entry.born == entry.born && target.entry.address == entry.address;
        if is_same_run {
            target.entry = entry.clone();
        } else {
            *target = Target::new(entry.clone());
        }
        true
    }

    /// Returns a target.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Returns a target to be changed.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.arena.get_mut(key)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.arena.iter()
    }

    /// Returns how many targets are known.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}
