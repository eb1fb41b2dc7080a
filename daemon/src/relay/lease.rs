//! A place at a target.

use std::{net::SocketAddr, sync::Arc};

use celerypond_relay::{Ended, Load};
use celerypond_types::{TargetKey, TargetName};
use tokio::time::Instant;

use super::site::Site;

/// A request's place at a target, counted until it is dropped.
pub(super) struct Lease {
    site: Arc<Site>,
    pub(super) key: TargetKey,
    pub(super) name: TargetName,
    pub(super) address: SocketAddr,
    tokens: u64,
    is_reading: bool,
}

impl Lease {
    /// Takes a place for a request of so many tokens; nothing when the target is gone.
    pub(super) fn take(site: &Arc<Site>, key: TargetKey, tokens: u64) -> Option<Self> {
        let mut targets = site.targets();
        let target = targets.get_mut(key)?;
        target.open += 1;
        target.tokens += tokens;
        let is_reading = tokens > 0;
        target.reading += u32::from(is_reading);
        Some(Self {
            site: Arc::clone(site),
            key,
            name: target.entry.name.clone(),
            address: target.entry.address,
            tokens,
            is_reading,
        })
    }

    /// Takes in a sign of life.
    pub(super) fn answered(&mut self, load: Option<Load>) {
        if let Some(target) = self.site.targets().get_mut(self.key) {
            target.answered(load, Instant::now());
        }
    }

    /// Takes in that the prompt was read.
    pub(super) fn has_read(&mut self) {
        if !std::mem::take(&mut self.is_reading) {
            return;
        }
        if let Some(target) = self.site.targets().get_mut(self.key) {
            target.reading = target.reading.saturating_sub(1);
        }
    }

    /// Takes in how the attempt ended.
    pub(super) fn ended(&self, ended: Ended) {
        if let Some(target) = self.site.targets().get_mut(self.key) {
            target.ended(ended, Instant::now());
        }
        if ended.suspects() {
            self.site.connections.drop_idle(self.address);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(target) = self.site.targets().get_mut(self.key) {
            target.open = target.open.saturating_sub(1);
            target.tokens = target.tokens.saturating_sub(self.tokens);
            target.reading = target.reading.saturating_sub(u32::from(self.is_reading));
        }
    }
}
