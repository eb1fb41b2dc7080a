//! Orders to move services, as the store holds them, and what is said of them there.

use celerypond_adapter::rollout;
use celerypond_platform::{Listing, PlatformError, Version};
use celerypond_relay::{Order, Phase};
use celerypond_types::VersionName;
use smol_str::SmolStr;

use super::state::RelayState;

/// An order in the store, with what was said of it.
pub(super) struct StoredOrder {
    pub(super) key: SmolStr,
    /// The version of the order's object.
    pub(super) version: Version,
    pub(super) order: Order,
    pub(super) stored_phase: Option<Phase>,
}

/// How far an order has come, where the store does not say so yet.
pub(super) struct StatusUpdate {
    /// The key of the order.
    pub(super) key: SmolStr,
    /// The version of the order's object that is known.
    pub(super) known_version: Version,
    /// The version that the order moves the service to.
    pub(super) version_name: VersionName,
    pub(super) phase: Phase,
}

/// What came of a unsaid.
pub(super) struct StatusWrite {
    /// The version of the order's object.
    pub(super) version: Version,
    /// What the store says now; nothing where that is not known.
    pub(super) stored_phase: Option<Phase>,
}

/// Returns the orders that the store holds; nothing where it does not answer.
pub(super) async fn fetch_orders(state: &RelayState) -> Option<Vec<StoredOrder>> {
    match state.store.list_stale(rollout::ORDERS_PREFIX).await {
        Ok(listing) => Some(decode_orders(&listing)),
        Err(report) => {
            let error = report.current_context();
            log::info!(error:% = error; "the store told no orders");
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
                .inspect_err(|error| log::warn!(key = object.key.as_str(), error:% = error; "order not used"))
                .ok()?;
            let status_key = rollout::status_key(&object.key);
            let status = listing.objects.iter().find(|status| status.key == status_key);
            let stored_phase = status.and_then(|status| rollout::decode_status(&status.value).ok());
            // What was said of an earlier order of the service says nothing of this one.
            let stored_phase = stored_phase.filter(|(version, _)| *version == order.version);
            Some(StoredOrder {
                key: object.key.clone(),
                version: object.version,
                order,
                stored_phase: stored_phase.map(|(_, phase)| phase),
            })
        })
        .collect()
}

fn is_status_key(key: &str) -> bool {
    key.matches('/').count() > 1
}

/// Says in the store how far an order has come.
///
/// A write whose answer was lost may have been done; the next turn reads the object and writes the same
/// words again, which changes nothing.
pub(super) async fn store_phase(state: &RelayState, status_update: &StatusUpdate) -> StatusWrite {
    let status_key = rollout::status_key(&status_update.key);
    let value = rollout::encode_status(&status_update.version_name, status_update.phase);
    match state
        .store
        .update(&status_key, status_update.known_version, value.into())
        .await
    {
        Ok(version) => StatusWrite {
            version,
            stored_phase: Some(status_update.phase),
        },
        Err(report) => {
            let error = *report.current_context();
            log::warn!(key = status_update.key.as_str(), phase:? = status_update.phase, error:% = error; "order not reported");
            StatusWrite {
                version: current_version(state, status_update, error).await,
                stored_phase: None,
            }
        }
    }
}

/// Returns the version of the order's object after a write that failed.
async fn current_version(
    state: &RelayState,
    status_update: &StatusUpdate,
    error: PlatformError,
) -> Version {
    match error {
        PlatformError::Conflict | PlatformError::Ambiguous => {
            let found = state.store.get(&status_update.key).await;
            found.map_or(status_update.known_version, |object| object.version)
        }
        _ => status_update.known_version,
    }
}

/// Returns whether the store says this of an order. It does not say what share a version has.
pub(super) const fn is_stored(stored_phase: Option<Phase>, phase: Phase) -> bool {
    matches!(
        (stored_phase, phase),
        (Some(Phase::Running { .. }), Phase::Running { .. })
            | (Some(Phase::Completed), Phase::Completed)
            | (Some(Phase::TakenBack), Phase::TakenBack)
    )
}
