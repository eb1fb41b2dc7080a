//! Targets that the store no longer lists.

use std::net::SocketAddr;

use tokio::time::Instant;

use crate::{Cooldown, Target};

/// A target that the store no longer lists, with what it stated to this instance. Its entry may come
/// back, as after an outage of the store, and the same process still means what it stated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Departed {
    /// Since when the store does not list it.
    pub(crate) since: Instant,
    statements: Option<Statements>,
}

#[derive(Clone, Copy, Debug)]
struct Statements {
    address: SocketAddr,
    born: Option<u64>,
    is_leaving: bool,
    cooldown: Cooldown,
}

impl Departed {
    /// Records that the store no longer lists a target whose name was not known, or was removed before.
    pub(crate) fn again(previous: Option<Self>, now: Instant) -> Self {
        Self {
            since: now,
            statements: previous.and_then(|previous| previous.statements),
        }
    }

    /// Records that the store no longer lists this target.
    pub(crate) const fn of(target: &Target, now: Instant) -> Self {
        Self {
            since: now,
            statements: Some(Statements {
                address: target.entry.address,
                born: target.entry.born,
                is_leaving: target.is_leaving,
                cooldown: target.cooldown,
            }),
        }
    }

    /// Restores what a target stated that is listed again, unless it is another process.
    pub(crate) fn restore(&self, target: &mut Target) {
        let is_same = |statements: &Statements| {
            statements.address == target.entry.address && statements.born == target.entry.born
        };
        if let Some(statements) = self.statements.filter(is_same) {
            target.is_leaving = statements.is_leaving;
            target.cooldown = statements.cooldown;
        }
    }
}
