//! Acquisition, renewal and release of a lease in the store.

use celerypond_types::{FencingNumber, InstanceName};
use rand::{rngs::SmallRng, Rng as _};
use tokio::time::Instant;

use crate::{Lease, OrderSettings, StaleOrderGuard};

/// A call to the store on the lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the object and its version.
    Read,
    /// Create the object if it does not exist.
    Create(Vec<u8>),
    /// Replace the object if its version is still the given one.
    Update {
        /// The expected version.
        version: u64,
        /// The new content.
        value: Vec<u8>,
    },
}

/// The result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The version and the content of the object that was read.
    Found(u64, Vec<u8>),
    /// The object does not exist.
    Missing,
    /// The write took effect, and the object now has this version.
    Written(u64),
    /// The write had no effect, since the object exists or has another version.
    Conflict,
    /// The store did not reply or is unavailable. A write may have taken effect.
    Unknown,
}

/// The state of the lease before a write by this client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PriorLease {
    /// The object does not exist, or the lease was released.
    Vacant,
    /// A lease that expired without a release, first seen at this time. It belonged to another
    /// instance or to an earlier tenure of this one.
    Expired(Instant),
    /// The lease is held by this client.
    Own,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingWrite {
    nonce: u64,
    started: Instant,
    prior: PriorLease,
    /// Whether the write releases the lease.
    releases: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No call is in flight.
    Idle,
    /// A read is in flight. It follows the given write if that got no reply.
    Reading(Option<PendingWrite>),
    /// A write is in flight.
    Writing(PendingWrite),
    /// A read got no reply and is to be repeated.
    ReadFailed(Option<PendingWrite>),
    /// The lease had this version when it was first seen, and may be taken if it still has it after
    /// the lease duration.
    AwaitingExpiry { version: u64, first_seen: Instant },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldLease {
    fencing: FencingNumber,
    version: u64,
    nonce: u64,
    /// When the last successful write of the lease was started.
    renewed_at: Instant,
}

/// A state machine that acquires, renews and releases the lease of a shard.
///
/// The fencing number is the store version of the write that acquired the lease, and renewals keep
/// it. Store versions only increase, so each holder has a higher number than all holders before it.
#[derive(Debug)]
pub struct LeaseClient {
    instance: InstanceName,
    settings: OrderSettings,
    /// Whether this instance should hold the lease.
    wanted: bool,
    phase: Phase,
    held: Option<HeldLease>,
    /// When the last lease that expired without a release did so, by the clock of this instance.
    /// This is kept if the client's own lease expires and is taken again, so that doing so does not
    /// shorten the takeover delay.
    predecessor_expiry: Option<Instant>,
    /// When a read that got no reply may be repeated.
    retry_at: Option<Instant>,
    rng: SmallRng,
}

impl LeaseClient {
    /// Creates a client that does not try to acquire the lease yet.
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

    /// Sets whether this instance should hold the lease. If several instances should, one of them
    /// gets it.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// Returns the fencing number for an order to a target with this guard, and the deadline by
    /// which the order must be written. Returns `None` if no order may be sent now.
    ///
    /// A holder that was paused until after its lease ended finds `now` past the deadline and sends
    /// nothing. The holder measures the lease from before the write that renewed it, and a
    /// successor from after it read that write. So the lease ends later for the successor, and the
    /// difference between the two clocks does not matter.
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

    /// Returns whether the takeover delay of targets with this guard has passed.
    fn is_past_takeover_delay(&self, guard: StaleOrderGuard, now: Instant) -> bool {
        let delay = guard.takeover_delay(&self.settings);
        guard == StaleOrderGuard::Fencing
            || self
                .predecessor_expiry
                .is_none_or(|expiry| now >= expiry + delay)
    }

    /// Gives up the lease because a target has seen a higher fencing number, so another instance
    /// has the lease.
    pub fn on_fenced(&mut self) {
        self.held = None;
    }

    /// Returns the next call to the store, if one is due. The caller passes its reply to
    /// [`LeaseClient::on_reply`].
    ///
    /// A lease that is no longer wanted is released once no orders are in flight and the longest
    /// takeover delay has passed since the predecessor's lease expired. The next holder of a
    /// released lease does not wait, so with an earlier release an order of the predecessor could
    /// still arrive after one of the next holder.
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

    /// Releases the lease if it is no longer wanted and may be released, or renews it if that is due.
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

    /// Handles the reply to a call. Returns the next call if it is to be made immediately.
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
        // Invalid content is treated as the lease of another instance.
        let lease = Lease::from_bytes(bytes).ok();
        let own = write.filter(|write| lease.as_ref().is_some_and(|l| l.nonce == write.nonce));
        if let Some(write) = own {
            self.on_written(write, version);
            return None;
        }
        if self.held.is_some()
            && lease.as_ref().map(|l| l.nonce) == self.held.map(|held| held.nonce)
        {
            // The renewal had no effect, but the lease from the last successful write is still
            // valid.
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

    /// Returns when this instance stops sending orders under the lease unless it renews it.
    fn write_deadline(&self, held: &HeldLease) -> Instant {
        held.renewed_at + self.settings.lease_duration - self.settings.clock_margin
    }
}
