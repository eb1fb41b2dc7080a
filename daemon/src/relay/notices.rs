//! Sends notices to all other instances.

use std::sync::Arc;

use tokio::{net::UdpSocket, sync::mpsc};

use super::{
    datagrams::{self, Datagram},
    state::RelayState,
};

/// Sends the notices of this instance until it ends.
pub(super) async fn run(
    state: Arc<RelayState>,
    socket: Arc<UdpSocket>,
    mut notices: mpsc::UnboundedReceiver<Datagram>,
) {
    loop {
        let notice = tokio::select! {
            () = state.ending.cancelled() => return,
            notice = notices.recv() => notice,
        };
        let Some(notice) = notice else {
            return;
        };
        let fleet = state.fleet.load_full();
        datagrams::send(&socket, &fleet.live_peers, &notice).await;
    }
}
