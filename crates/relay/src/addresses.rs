//! Which target is at an address.

use std::{collections::HashMap, net::SocketAddr};

use celerypond_types::TargetKey;

/// The latest target at each address.
///
/// The failure: an engine dies and starts again under another name. Its old entry stays in the store
/// for some heartbeats, and what is sent to it is refused; a copy that was to be found there is lost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addresses {
    owners: HashMap<SocketAddr, TargetKey>,
}

impl Addresses {
    /// Returns the latest target at an address.
    pub(crate) fn owner(&self, address: SocketAddr) -> Option<TargetKey> {
        self.owners.get(&address).copied()
    }

    /// Gives an address to the one of its targets that started last.
    pub(crate) fn settle(
        &mut self,
        address: SocketAddr,
        targets: impl Iterator<Item = (TargetKey, Option<u64>)>,
    ) {
        match targets.max_by_key(|(_, born)| *born) {
            Some((key, _)) => self.owners.insert(address, key),
            None => self.owners.remove(&address),
        };
    }
}
