//! Access to the orders in the store through other instances.
//!
//! The driver may be partitioned from the store while others reach it. If another instance became the
//! driver instead, the two would have to agree on that; so the driver stays, and others make its calls.

use std::net::SocketAddr;

use celerypond_fleet::Origin;
use celerypond_relay::{decode, encode};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use tokio::time::Instant;

use super::{
    order_store::{self, Read, StatusUpdate, StatusWrite, StoredOrder},
    state::RelayState,
};
use crate::peers::PeerCallError;

/// The maximum number of instances that are asked for one read. The next read asks again.
const MAX_PEERS: usize = 2;

/// A call that another instance makes.
#[derive(Debug, Serialize, Deserialize)]
enum OrderCall {
    /// Returns the orders, as `Option<Vec<StoredOrder>>`.
    Read(Read),
    /// Writes the status of an order; returns a [`StatusWrite`].
    Write(StatusUpdate),
}

/// Makes a call for another instance. An unknown call gets an empty answer.
pub(super) async fn answer(state: &RelayState, call: &[u8]) -> Vec<u8> {
    match decode(call) {
        Ok(OrderCall::Read(read)) => encode(&order_store::read_directly(state, read).await),
        Ok(OrderCall::Write(status_update)) => {
            encode(&order_store::write_directly(state, &status_update).await)
        }
        Err(error) => {
            log::warn!(error:% = error; "cannot decode a peer's call");
            Vec::new()
        }
    }
}

/// Reads the orders through an instance that is in contact with the store; `None` if there is none
/// or it cannot read them.
pub(super) async fn read(state: &RelayState, read: Read) -> Option<Vec<StoredOrder>> {
    for peer in peers_in_contact(state) {
        let found = send::<Option<Vec<StoredOrder>>>(state, peer, &OrderCall::Read(read)).await;
        if let Ok(Some(found)) = found {
            return Some(found);
        }
    }
    None
}

/// Writes the status of an order through an instance that is in contact with the store.
pub(super) async fn write(state: &RelayState, status_update: &StatusUpdate) -> StatusWrite {
    let call = OrderCall::Write(status_update.clone());
    for peer in peers_in_contact(state) {
        match send::<StatusWrite>(state, peer, &call).await {
            Ok(StatusWrite::Failed) | Err(PeerCallError::Unreachable(_)) => {}
            Ok(written) => return written,
            Err(PeerCallError::NoAnswer(_)) => return StatusWrite::Unknown,
        }
    }
    StatusWrite::Failed
}

async fn send<T: DeserializeOwned>(
    state: &RelayState,
    peer: SocketAddr,
    call: &OrderCall,
) -> Result<T, PeerCallError> {
    let answer = state.peers.access_orders(peer, encode(call)).await;
    let answer = answer.map_err(|report| *report.current_context());
    // An answer that cannot be decoded does not say what became of the call.
    let decoded =
        answer.and_then(|bytes| decode(&bytes).map_err(|_| PeerCallError::NoAnswer(peer)));
    if let Err(error) = &decoded {
        log::info!(peer:% = peer, error:% = error; "peer did not access the orders");
    }
    decoded
}

fn peers_in_contact(state: &RelayState) -> Vec<SocketAddr> {
    let origins = state.watch_duty.watchers().in_contact(Instant::now());
    let gossip = state.gossip();
    let members = origins
        .into_iter()
        .filter_map(|origin| gossip.membership().by_origin(Origin(origin)));
    let addresses = members.filter_map(|member| member.address.parse().ok());
    addresses.take(MAX_PEERS).collect()
}
