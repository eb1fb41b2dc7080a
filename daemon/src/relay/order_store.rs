//! Reads orders to move services from the store, and writes their status there.

use celerypond_adapter::rollout;
use celerypond_platform::{Listing, PlatformError, Version};
use celerypond_relay::{Order, Phase};
use celerypond_types::VersionName;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{order_proxy, state::RelayState};

/// An order in the store, with its stored phase.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StoredOrder {
    pub(super) key: SmolStr,
    /// The version of the order's object in the store.
    pub(super) object_version: Version,
    pub(super) order: Order,
    pub(super) stored_phase: Option<Phase>,
}

/// A phase of an order that the store does not have yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StatusUpdate {
    /// The key of the order.
    pub(super) key: SmolStr,
    /// The last known version of the order's object.
    pub(super) known_object_version: Version,
    /// The version that the order moves the service to.
    pub(super) target_version: VersionName,
    pub(super) phase: Phase,
}

/// The result of a write of an order's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum StatusWrite {
    /// The store has the phase, at this version of the order's object.
    Stored(Version),
    /// The object may have another status or another order, and has to be read.
    Unknown,
    /// The write took no effect.
    Failed,
}

/// How recent a read of the orders has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Read {
    /// The result may be seconds old.
    Stale,
    /// The result is the state at some moment during the call.
    Current,
}

/// Returns the orders in the store, or `None` if neither this instance nor another one can read
/// them.
pub(super) async fn fetch_orders(state: &RelayState, read: Read) -> Option<Vec<StoredOrder>> {
    // A call to a store that does not answer takes as long as its timeout.
    if state.watch_duty.is_lost() {
        let found = order_proxy::read(state, read).await;
        return match found {
            Some(found) => Some(found),
            None => read_directly(state, read).await,
        };
    }
    match read_directly(state, read).await {
        Some(found) => Some(found),
        None => order_proxy::read(state, read).await,
    }
}

/// Returns the orders in the store, or `None` if it does not answer this instance.
pub(super) async fn read_directly(state: &RelayState, read: Read) -> Option<Vec<StoredOrder>> {
    let listing = match read {
        Read::Stale => state.store.list_stale(rollout::ORDERS_PREFIX).await,
        Read::Current => state.store.list_all(rollout::ORDERS_PREFIX).await,
    };
    match listing {
        Ok(listing) => Some(decode_orders(&listing)),
        Err(report) => {
            let error = report.current_context();
            log::info!(read:? = read, error:% = error; "cannot read orders from the store");
            None
        }
    }
}

fn decode_orders(listing: &Listing) -> Vec<StoredOrder> {
    let objects = listing.objects.iter();
    let orders = objects.filter(|object| !is_status_key(&object.key));
    orders
        .filter_map(|object| {
            let order = rollout::decode(&object.value)
                .inspect_err(|error| log::warn!(key = object.key.as_str(), error:% = error; "ignoring an invalid order"))
                .ok()?;
            let status_key = rollout::status_key(&object.key);
            let status = listing.objects.iter().find(|status| status.key == status_key);
            let stored_phase = status.and_then(|status| rollout::decode_status(&status.value).ok());
            // The status of an earlier order of the service does not apply to this one.
            let stored_phase = stored_phase.filter(|(version, _)| *version == order.version);
            Some(StoredOrder {
                key: object.key.clone(),
                object_version: object.version,
                order,
                stored_phase: stored_phase.map(|(_, phase)| phase),
            })
        })
        .collect()
}

fn is_status_key(key: &str) -> bool {
    key.matches('/').count() > 1
}

/// Writes the phase of an order to the store, if the order's object is unchanged, itself or through
/// another instance.
pub(super) async fn store_phase(state: &RelayState, status_update: &StatusUpdate) -> StatusWrite {
    if state.watch_duty.is_lost() {
        return match order_proxy::write(state, status_update).await {
            StatusWrite::Failed => write_directly(state, status_update).await,
            written => written,
        };
    }
    match write_directly(state, status_update).await {
        StatusWrite::Failed => order_proxy::write(state, status_update).await,
        written => written,
    }
}

/// Writes the phase of an order to the store, if the order's object is unchanged.
pub(super) async fn write_directly(
    state: &RelayState,
    status_update: &StatusUpdate,
) -> StatusWrite {
    let status_key = rollout::status_key(&status_update.key);
    let value = rollout::encode_status(&status_update.target_version, status_update.phase);
    let known_version = status_update.known_object_version;
    let written = state
        .store
        .update(&status_key, known_version, value.into())
        .await;
    let error = match written {
        Ok(object_version) => return StatusWrite::Stored(object_version),
        Err(report) => *report.current_context(),
    };
    log::warn!(
        key = status_update.key.as_str(),
        phase:? = status_update.phase,
        object_version = known_version.0,
        error:% = error;
        "order not reported"
    );
    match error.no_effect() && error != PlatformError::Conflict {
        true => StatusWrite::Failed,
        false => StatusWrite::Unknown,
    }
}

/// Returns whether the store has this phase of an order. The stored status does not include the
/// share of a version.
pub(super) const fn is_stored(stored_phase: Option<Phase>, phase: Phase) -> bool {
    matches!(
        (stored_phase, phase),
        (
            Some(Phase::Running { .. }),
            Phase::Running { .. } | Phase::Moving
        ) | (Some(Phase::Completed), Phase::Completed)
            | (Some(Phase::TakenBack), Phase::TakenBack)
    )
}
