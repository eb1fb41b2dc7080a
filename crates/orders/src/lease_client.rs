//! Who may give orders, by a lease in the store.

use celerypond_types::{FencingNumber, InstanceName};
use rand::{rngs::SmallRng, Rng as _};
use tokio::time::Instant;

use crate::{Lease, OrderSettings, StaleOrderGuard};

/// A call to the store, on the lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the object.
    Read,
    /// Create the object if there is none.
    Create(Vec<u8>),
    /// Replace the object if it still has the version.
    Update {
        /// The version.
        version: u64,
        /// The new content.
        value: Vec<u8>,
    },
}

/// What came of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The object that was read, with its version.
    Found(u64, Vec<u8>),
    /// There is no object.
    Missing,
    /// The write took effect and gave this version.
    Written(u64),
    /// The condition of the write did not hold.
    Conflict,
    /// No reply came, or one that says that the store is down. A write may have taken effect.
    Unknown,
}

/// What stood in the store before a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PriorLease {
    /// Nothing, or a lease that was released.
    Vacant,
    /// A lease of another run, first seen at this time.
    Expired(Instant),
    /// The own lease.
    Own,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingWrite {
    nonce: u64,
    started: Instant,
    prior: PriorLease,
    releases: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing is under way.
    Idle,
    /// A read is under way; after a write whose reply was lost, the write.
    Reading(Option<PendingWrite>),
    /// A write is under way.
    Writing(PendingWrite),
    /// The reply of a read was lost; it is made again.
    ReadFailed(Option<PendingWrite>),
    /// Another run had the lease at this version when it was seen.
    AwaitingExpiry { version: u64, first_seen: Instant },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldLease {
    fencing: FencingNumber,
    version: u64,
    nonce: u64,
    renewed_at: Instant,
}

/// Who may give orders, by a lease in the store.
///
/// The fencing number is the version that the store gave to the write that took the lease. Versions
/// of the store only rise, so each holder has a higher one than those before; it stays the same
/// while the holder renews.
#[derive(Debug)]
pub struct LeaseClient {
    instance: InstanceName,
    settings: OrderSettings,
    wanted: bool,
    phase: Phase,
    held: Option<HeldLease>,
    /// When the last lease of another run had run out, by this instance's clock. It outlives the
    /// own lease: one that lapses and is taken again does not shorten the wait.
    predecessor_expiry: Option<Instant>,
    retry_at: Option<Instant>,
    rng: SmallRng,
}

impl LeaseClient {
    /// Makes a holder that does not want the lease yet.
    pub const fn new(instance: InstanceName, settings: OrderSettings, rng: SmallRng) -> Self {
        Self {
            instance,
            settings,
            wanted: false,
            phase: Phase::Idle,
            held: None,
            predecessor_expiry: None,
            retry_at: None,
            rng,
        }
    }

    /// Says whether this instance shall hold the lease. Several may be told so; one will get it.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// Returns the fencing number and the last instant at which an order may be written to a target
    /// with this guard, if there is one now.
    ///
    /// A holder that was paused past its lease finds `now` past that instant and sends nothing. The
    /// lease counts from before the write that renewed it, and a successor counts from after it
    /// read that write, so the successor's count ends later, whatever the two clocks show.
    pub fn send_permit(
        &self,
        guard: StaleOrderGuard,
        now: Instant,
    ) -> Option<(FencingNumber, Instant)> {
        let held = self.held?;
        let write_deadline = self.write_deadline(&held);
        (self.is_past_takeover_delay(guard, now) && now < write_deadline)
            .then_some((held.fencing, write_deadline))
    }

    fn is_past_takeover_delay(&self, guard: StaleOrderGuard, now: Instant) -> bool {
        let delay = guard.takeover_delay(&self.settings);
        guard == StaleOrderGuard::Fencing
            || self
                .predecessor_expiry
                .is_none_or(|expiry| now >= expiry + delay)
    }

    /// Takes in that a target has seen a higher fencing number: the lease is another's.
    pub fn on_fenced(&mut self) {
        self.held = None;
    }

    /// Returns the next call to the store, if one is due. Give its reply to [`LeaseClient::on_reply`].
    ///
    /// A lease that is no longer wanted is released once `no_orders_in_flight` says that no order is under way
    /// and the longest wait for the holder before is over. A holder that released it earlier would
    /// pass on a lease that needs no wait while an order of the holder before may still arrive.
    pub fn tick(&mut self, no_orders_in_flight: bool, now: Instant) -> Option<StoreCall> {
        if self
            .held
            .is_some_and(|held| now >= self.write_deadline(&held))
        {
            self.held = None;
        }
        if self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        match (self.phase, self.held) {
            (Phase::Reading(_) | Phase::Writing(_), _) => None,
            (Phase::ReadFailed(write), _) => {
                self.phase = Phase::Reading(write);
                Some(StoreCall::Read)
            }
            (_, Some(held)) => self.renew_or_release(held, no_orders_in_flight, now),
            (
                Phase::AwaitingExpiry {
                    version,
                    first_seen,
                },
                None,
            ) if self.wanted => {
                let is_expired = now >= first_seen + self.settings.lease_duration;
                is_expired.then(|| {
                    self.take_or_renew(Some(version), PriorLease::Expired(first_seen), now)
                })
            }
            (_, None) if self.wanted => {
                self.phase = Phase::Reading(None);
                Some(StoreCall::Read)
            }
            (_, None) => {
                self.phase = Phase::Idle;
                None
            }
        }
    }

    fn renew_or_release(
        &mut self,
        held: HeldLease,
        no_orders_in_flight: bool,
        now: Instant,
    ) -> Option<StoreCall> {
        if !self.wanted
            && no_orders_in_flight
            && self.is_past_takeover_delay(StaleOrderGuard::IdleClose, now)
        {
            return Some(self.release(held, now));
        }
        let is_due = now >= held.renewed_at + self.settings.renew_interval;
        is_due.then(|| self.take_or_renew(Some(held.version), PriorLease::Own, now))
    }

    fn release(&mut self, held: HeldLease, now: Instant) -> StoreCall {
        let call = self.start_write(Some(held.version), PriorLease::Own, true, now);
        self.held = None;
        call
    }

    fn take_or_renew(
        &mut self,
        version: Option<u64>,
        prior: PriorLease,
        now: Instant,
    ) -> StoreCall {
        self.start_write(version, prior, false, now)
    }

    fn start_write(
        &mut self,
        version: Option<u64>,
        prior: PriorLease,
        releases: bool,
        now: Instant,
    ) -> StoreCall {
        let nonce = self.rng.random();
        self.phase = Phase::Writing(PendingWrite {
            nonce,
            started: now,
            prior,
            releases,
        });
        let lease = Lease {
            holder: self.instance.clone(),
            nonce,
            released: releases,
        };
        let value = lease.to_bytes();
        match version {
            Some(version) => StoreCall::Update { version, value },
            None => StoreCall::Create(value),
        }
    }

    /// Takes in the reply to a call; returns the next call if it follows at once.
    pub fn on_reply(&mut self, reply: StoreReply, now: Instant) -> Option<StoreCall> {
        match (self.phase, reply) {
            (Phase::Writing(write), StoreReply::Written(version)) => {
                self.on_written(write, version);
                None
            }
            (Phase::Writing(write), StoreReply::Unknown) => {
                self.phase = Phase::Reading(Some(write));
                Some(StoreCall::Read)
            }
            (Phase::Writing(write), _) => {
                self.on_write_failed(write);
                None
            }
            (Phase::Reading(write), StoreReply::Unknown) => {
                self.retry_at = Some(now + self.settings.retry_delay);
                self.phase = Phase::ReadFailed(write);
                None
            }
            (Phase::Reading(write), StoreReply::Found(version, bytes)) => {
                self.on_found(write, version, &bytes, now)
            }
            (Phase::Reading(write), _) => {
                write.inspect(|write| self.on_write_failed(*write));
                self.wanted
                    .then(|| self.take_or_renew(None, PriorLease::Vacant, now))
                    .or_else(|| self.go_idle())
            }
            (Phase::Idle | Phase::ReadFailed(_) | Phase::AwaitingExpiry { .. }, _) => None,
        }
    }

    fn go_idle(&mut self) -> Option<StoreCall> {
        self.phase = Phase::Idle;
        None
    }

    fn on_write_failed(&mut self, write: PendingWrite) {
        self.phase = Phase::Idle;
        if write.prior == PriorLease::Own {
            self.held = None;
        }
    }

    fn on_found(
        &mut self,
        write: Option<PendingWrite>,
        version: u64,
        bytes: &[u8],
        now: Instant,
    ) -> Option<StoreCall> {
        // What cannot be read is treated as the lease of somebody else.
        let lease = Lease::from_bytes(bytes).ok();
        let own = write.filter(|write| lease.as_ref().is_some_and(|l| l.nonce == write.nonce));
        if let Some(write) = own {
            self.on_written(write, version);
            return None;
        }
        if self.held.is_some()
            && lease.as_ref().map(|l| l.nonce) == self.held.map(|held| held.nonce)
        {
            // The renewal did not take effect; the lease of the last one runs on.
            return self.go_idle();
        }
        write.inspect(|write| self.on_write_failed(*write));
        if lease.is_some_and(|lease| lease.released) && self.wanted {
            return Some(self.take_or_renew(Some(version), PriorLease::Vacant, now));
        }
        self.phase = Phase::AwaitingExpiry {
            version,
            first_seen: now,
        };
        None
    }

    fn on_written(&mut self, write: PendingWrite, version: u64) {
        self.phase = Phase::Idle;
        if write.releases {
            return;
        }
        if let PriorLease::Expired(first_seen) = write.prior {
            self.predecessor_expiry = self
                .predecessor_expiry
                .max(Some(first_seen + self.settings.lease_duration));
        }
        let old = self.held.filter(|_| write.prior == PriorLease::Own);
        self.held = Some(HeldLease {
            fencing: old.map_or(FencingNumber(version), |held| held.fencing),
            version,
            nonce: write.nonce,
            renewed_at: write.started,
        });
    }

    fn write_deadline(&self, held: &HeldLease) -> Instant {
        held.renewed_at + self.settings.lease_duration - self.settings.clock_margin
    }
}
