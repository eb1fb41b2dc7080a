//! Notices among instances that brittle targets are full or accept requests again.

use celerypond_relay::FullnessNotice;
use celerypond_types::TargetKey;
use tokio::time::Instant;

use super::{datagrams::Datagram, state::RelayState};

/// Records that a target rejected a request of this instance for want of room.
pub(super) fn record_rejection(state: &RelayState, key: TargetKey) {
    let (instances, now) = (state.instance_count(), Instant::now());
    let mut targets = state.view.targets();
    let Some(target) = targets.get_mut(key) else {
        return;
    };
    let limit = &mut target.rejection_limit;
    if limit.record_rejection(instances, rand::random(), now) {
        notify(state, target.name_hash, true);
    }
}

/// Records that a target accepted a request that this instance sent at a moment.
pub(super) fn record_acceptance(state: &RelayState, key: TargetKey, sent: Instant) {
    let mut targets = state.view.targets();
    if let Some(target) = targets.get_mut(key)
        && target.rejection_limit.record_acceptance(sent)
    {
        notify(state, target.name_hash, false);
    }
}

fn notify(state: &RelayState, target_hash: u64, is_full: bool) {
    log::info!(target_hash, is_full; "fullness of a brittle target changed");
    let notice = FullnessNotice {
        target_hash,
        is_full,
    };
    state.notify_peers(Datagram::Fullness(notice));
}

/// Handles the notice of another instance.
pub(super) fn receive(state: &RelayState, notice: FullnessNotice) {
    let (instances, now) = (state.instance_count(), Instant::now());
    let mut targets = state.view.targets();
    let Some(target) = targets.by_hash_mut(notice.target_hash) else {
        return;
    };
    if notice.is_full {
        let limit = &mut target.rejection_limit;
        limit.record_rejection(instances, rand::random(), now);
    } else {
        target.rejection_limit.record_acceptance(now);
    }
}
