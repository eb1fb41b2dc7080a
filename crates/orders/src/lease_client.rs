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
enum Before {
    /// Nothing, or a lease that was released.
    Free,
    /// A lease of another run, first seen at this time.
    Taken(Instant),
    /// The own lease.
    Own,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Write {
    nonce: u64,
    begun: Instant,
    before: Before,
    releases: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing is under way.
    Rest,
    /// A read is under way; after a write whose reply was lost, the write.
    Reading(Option<Write>),
    /// A write is under way.
    Writing(Write),
    /// The reply of a read was lost; it is made again.
    Asking(Option<Write>),
    /// Another run had the lease at this version when it was seen.
    Watching { version: u64, seen: Instant },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    fencing: FencingNumber,
    version: u64,
    nonce: u64,
    renewed: Instant,
}

/// Who may give orders, by a lease in the store.
///
/// The fencing number is the version that the store gave to the write that took the lease. Versions
/// of the store only rise, so each holder has a higher one than those before; it stays the same
/// while the holder renews.
#[derive(Debug)]
pub struct LeaseClient {
    name: InstanceName,
    settings: OrderSettings,
    wanted: bool,
    phase: Phase,
    held: Option<Held>,
    /// When the last lease of another run had run out, by this instance's clock. It outlives the
    /// own lease: one that lapses and is taken again does not shorten the wait.
    clear: Option<Instant>,
    resume: Option<Instant>,
    rng: SmallRng,
}

impl LeaseClient {
    /// Makes a holder that does not want the lease yet.
    pub const fn new(name: InstanceName, settings: OrderSettings, rng: SmallRng) -> Self {
        Self {
            name,
            settings,
            wanted: false,
            phase: Phase::Rest,
            held: None,
            clear: None,
            resume: None,
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
        let last = self.last(&held);
        (self.is_clear(guard, now) && now < last).then_some((held.fencing, last))
    }

    fn is_clear(&self, guard: StaleOrderGuard, now: Instant) -> bool {
        let wait = guard.takeover_delay(&self.settings);
        guard == StaleOrderGuard::Fencing || self.clear.is_none_or(|clear| now >= clear + wait)
    }

    /// Takes in that a target has seen a higher fencing number: the lease is another's.
    pub fn on_fenced(&mut self) {
        self.held = None;
    }

    /// Returns the next call to the store, if one is due. Give its reply to [`LeaseClient::on_reply`].
    ///
    /// A lease that is no longer wanted is released once `is_idle` says that no order is under way
    /// and the longest wait for the holder before is over. A holder that released it earlier would
    /// pass on a lease that needs no wait while an order of the holder before may still arrive.
    pub fn tick(&mut self, is_idle: bool, now: Instant) -> Option<StoreCall> {
        if self.held.is_some_and(|held| now >= self.last(&held)) {
            self.held = None;
        }
        if self.resume.is_some_and(|at| now < at) {
            return None;
        }
        match (self.phase, self.held) {
            (Phase::Reading(_) | Phase::Writing(_), _) => None,
            (Phase::Asking(write), _) => {
                self.phase = Phase::Reading(write);
                Some(StoreCall::Read)
            }
            (_, Some(held)) => self.keep(held, is_idle, now),
            (Phase::Watching { version, seen }, None) if self.wanted => {
                let lapsed = now >= seen + self.settings.lease_duration;
                lapsed.then(|| self.write(Some(version), Before::Taken(seen), now))
            }
            (_, None) if self.wanted => {
                self.phase = Phase::Reading(None);
                Some(StoreCall::Read)
            }
            (_, None) => {
                self.phase = Phase::Rest;
                None
            }
        }
    }

    fn keep(&mut self, held: Held, is_idle: bool, now: Instant) -> Option<StoreCall> {
        if !self.wanted && is_idle && self.is_clear(StaleOrderGuard::IdleClose, now) {
            return Some(self.release(held, now));
        }
        let is_due = now >= held.renewed + self.settings.renew_interval;
        is_due.then(|| self.write(Some(held.version), Before::Own, now))
    }

    fn release(&mut self, held: Held, now: Instant) -> StoreCall {
        let call = self.write_lease(Some(held.version), Before::Own, true, now);
        self.held = None;
        call
    }

    fn write(&mut self, version: Option<u64>, before: Before, now: Instant) -> StoreCall {
        self.write_lease(version, before, false, now)
    }

    fn write_lease(
        &mut self,
        version: Option<u64>,
        before: Before,
        releases: bool,
        now: Instant,
    ) -> StoreCall {
        let nonce = self.rng.random();
        self.phase = Phase::Writing(Write {
            nonce,
            begun: now,
            before,
            releases,
        });
        let lease = Lease {
            holder: self.name.clone(),
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
                self.written(write, version);
                None
            }
            (Phase::Writing(write), StoreReply::Unknown) => {
                self.phase = Phase::Reading(Some(write));
                Some(StoreCall::Read)
            }
            (Phase::Writing(write), _) => {
                self.lose(write);
                None
            }
            (Phase::Reading(write), StoreReply::Unknown) => {
                self.resume = Some(now + self.settings.retry_delay);
                self.phase = Phase::Asking(write);
                None
            }
            (Phase::Reading(write), StoreReply::Found(version, bytes)) => {
                self.found(write, version, &bytes, now)
            }
            (Phase::Reading(write), _) => {
                write.inspect(|write| self.lose(*write));
                self.wanted
                    .then(|| self.write(None, Before::Free, now))
                    .or_else(|| self.rest())
            }
            (Phase::Rest | Phase::Asking(_) | Phase::Watching { .. }, _) => None,
        }
    }

    fn rest(&mut self) -> Option<StoreCall> {
        self.phase = Phase::Rest;
        None
    }

    fn lose(&mut self, write: Write) {
        self.phase = Phase::Rest;
        if write.before == Before::Own {
            self.held = None;
        }
    }

    fn found(
        &mut self,
        write: Option<Write>,
        version: u64,
        bytes: &[u8],
        now: Instant,
    ) -> Option<StoreCall> {
        // What cannot be read is treated as the lease of somebody else.
        let lease = Lease::from_bytes(bytes).ok();
        let own = write.filter(|write| lease.as_ref().is_some_and(|l| l.nonce == write.nonce));
        if let Some(write) = own {
            self.written(write, version);
            return None;
        }
        if self.held.is_some()
            && lease.as_ref().map(|l| l.nonce) == self.held.map(|held| held.nonce)
        {
            // The renewal did not take effect; the lease of the last one runs on.
            return self.rest();
        }
        write.inspect(|write| self.lose(*write));
        if lease.is_some_and(|lease| lease.released) && self.wanted {
            return Some(self.write(Some(version), Before::Free, now));
        }
        self.phase = Phase::Watching { version, seen: now };
        None
    }

    fn written(&mut self, write: Write, version: u64) {
        self.phase = Phase::Rest;
        if write.releases {
            return;
        }
        if let Before::Taken(seen) = write.before {
            self.clear = self.clear.max(Some(seen + self.settings.lease_duration));
        }
        let old = self.held.filter(|_| write.before == Before::Own);
        self.held = Some(Held {
            fencing: old.map_or(FencingNumber(version), |held| held.fencing),
            version,
            nonce: write.nonce,
            renewed: write.begun,
        });
    }

    fn last(&self, held: &Held) -> Instant {
        held.renewed + self.settings.lease_duration - self.settings.clock_margin
    }
}
