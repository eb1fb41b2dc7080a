//! Reads orders to move services from the store, and writes their status there.

use celerypond_adapter::rollout;
use celerypond_platform::{Listing, PlatformError, Version};
use celerypond_relay::{Order, Phase};
use celerypond_types::VersionName;
use smol_str::SmolStr;

use super::state::RelayState;

/// An order in the store, with its stored phase.
pub(super) struct StoredOrder {
    pub(super) key: SmolStr,
    /// The version of the order's object in the store.
    pub(super) object_version: Version,
    pub(super) order: Order,
    pub(super) stored_phase: Option<Phase>,
}

/// A phase of an order that the store does not have yet.
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
pub(super) struct StatusWrite {
    /// The version of the order's object in the store.
    pub(super) object_version: Version,
    /// The phase that the store has now, or `None` if that is not known.
    pub(super) stored_phase: Option<Phase>,
}

/// Returns the orders in the store, or `None` if it does not answer.
pub(super) async fn fetch_orders(state: &RelayState) -> Option<Vec<StoredOrder>> {
    match state.store.list_stale(rollout::ORDERS_PREFIX).await {
        Ok(listing) => Some(decode_orders(&listing)),
        Err(report) => {
            let error = report.current_context();
            log::info!(error:% = error; "cannot read orders from the store");
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

/// Writes the phase of an order to the store.
///
/// A write may have succeeded although its answer was lost. The next round then reads the object
/// and writes the same value again, which changes nothing.
pub(super) async fn store_phase(state: &RelayState, status_update: &StatusUpdate) -> StatusWrite {
    let status_key = rollout::status_key(&status_update.key);
    let value = rollout::encode_status(&status_update.target_version, status_update.phase);
    match state
        .store
        .update(
            &status_key,
            status_update.known_object_version,
            value.into(),
        )
        .await
    {
        Ok(object_version) => StatusWrite {
            object_version,
            stored_phase: Some(status_update.phase),
        },
        Err(report) => {
            let error = *report.current_context();
            log::warn!(key = status_update.key.as_str(), phase:? = status_update.phase, error:% = error; "order not reported");
            StatusWrite {
                object_version: current_object_version(state, status_update, error).await,
                stored_phase: None,
            }
        }
    }
}

/// Returns the version of the order's object after a failed write.
async fn current_object_version(
    state: &RelayState,
    status_update: &StatusUpdate,
    error: PlatformError,
) -> Version {
    match error {
        PlatformError::Conflict | PlatformError::Ambiguous => {
            let found = state.store.get(&status_update.key).await;
            found.map_or(status_update.known_object_version, |object| object.version)
        }
        _ => status_update.known_object_version,
    }
}

/// Returns whether the store has this phase of an order. The stored status does not include the
/// share of a version.
pub(super) const fn is_stored(stored_phase: Option<Phase>, phase: Phase) -> bool {
    matches!(
        (stored_phase, phase),
        (Some(Phase::Running { .. }), Phase::Running { .. })
            | (Some(Phase::Completed), Phase::Completed)
            | (Some(Phase::TakenBack), Phase::TakenBack)
    )
}
