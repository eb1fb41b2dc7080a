//! The services that other instances do not reach.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use celerypond_types::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::target::service_hash;

/// How long a notice counts. Notices are repeated each second, so either three were lost or the
/// instance is gone.
const NOTICE_TTL: Duration = Duration::from_millis(3_500);

/// A notice of an instance that it reaches no target of some services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionNotice {
    /// The id of the instance's process.
    pub origin: u64,
    /// Increases with each notice of this process; a later notice replaces an earlier one.
    pub sequence: u64,
    /// The address at which other instances reach it.
    pub address: SocketAddr,
    /// The hashes of the names of these services; empty once it reaches all again.
    pub services: Vec<u64>,
}

/// The services that other instances do not reach.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{PartitionNotice, PeerPartitions};
/// use celerypond_types::ServiceName;
/// use tokio::time::Instant;
///
/// let (now, address) = (Instant::now(), "10.0.0.1:7200".parse().unwrap());
/// let writer = ServiceName::new("writer");
/// let services = vec![celerypond_route::hash(b"writer")];
/// let mut peers = PeerPartitions::default();
/// assert!(peers.reaches(address, &writer, now));
/// peers.merge(PartitionNotice { origin: 1, sequence: 1, address, services }, now);
/// assert!(!peers.reaches(address, &writer, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerPartitions {
    notices: HashMap<SocketAddr, (PartitionNotice, Instant)>,
}

impl PeerPartitions {
    /// Merges a notice; ignores it if a later one of the same process is known.
    pub fn merge(&mut self, notice: PartitionNotice, now: Instant) {
        let known = self.notices.get(&notice.address);
        let is_later = known.is_some_and(|(known, _)| {
            known.origin == notice.origin && known.sequence >= notice.sequence
        });
        if !is_later {
            self.notices.insert(notice.address, (notice, now));
        }
        self.notices.retain(|_, (_, at)| is_fresh(*at, now));
    }

    /// Returns whether the instance at an address reaches targets of a service, as far as known.
    pub fn reaches(&self, address: SocketAddr, service: &ServiceName, now: Instant) -> bool {
        let unreached = self.unreached(address, now);
        !unreached.contains(&service_hash(service))
    }

    /// Returns whether the instance at an address reaches targets of all services, as far as known.
    pub fn reaches_all(&self, address: SocketAddr, now: Instant) -> bool {
        self.unreached(address, now).is_empty()
    }

    fn unreached(&self, address: SocketAddr, now: Instant) -> &[u64] {
        let fresh = self.notices.get(&address);
        let fresh = fresh.filter(|(_, at)| is_fresh(*at, now));
        fresh.map_or(&[], |(notice, _)| &notice.services)
    }
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < NOTICE_TTL
}
