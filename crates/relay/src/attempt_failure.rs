//! Failures of attempts, and whether a request may be sent again.

use std::{
    io::{self, ErrorKind},
    time::Duration,
};

use rustix::io::Errno;

use crate::RouteKind;

/// How an attempt at a target failed without a response to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was made, or it was closed before a byte was written.
    Unsent,
    /// The target reset a new connection before anything was sent, as it has too many.
    Reset,
    /// This instance has as many connections to the target as it may open, or cannot open any.
    NoConnection,
    /// The target stopped accepting new requests, which became known before anything was sent.
    Left,
    /// The target reported that it has not run the request.
    NotRun,
    /// Another target now has the address, and has not run the request.
    Misdirected,
    /// The target responded with an error status.
    Failed(u16),
    /// The connection broke after the request may have arrived.
    Broken,
    /// The connection broke after the request may have arrived, and the target's process has ended.
    Ended,
    /// There was no response for longer than the target should need.
    Silent,
    /// The request's time was over while the target was still responding.
    Expired,
    /// The stream has not begun, and can no longer complete in the request's time. This says nothing
    /// about the target.
    TooLate,
    /// There was no response for a while, and the target accepts no new connection.
    Dead,
    /// The response does not belong to this request.
    Foreign,
}

impl AttemptFailure {
    /// Returns the failure of an attempt for which no connection could be opened. If this process
    /// or its machine lacks descriptors, ports or memory for it, that says nothing about the target.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::io::{Error, ErrorKind};
    ///
    /// use celerypond_relay::AttemptFailure;
    ///
    /// let refused = Error::from(ErrorKind::ConnectionRefused);
    /// assert_eq!(AttemptFailure::of_connect(&refused), AttemptFailure::Unsent);
    /// let no_port = Error::from(ErrorKind::AddrNotAvailable);
    /// assert_eq!(AttemptFailure::of_connect(&no_port), AttemptFailure::NoConnection);
    /// ```
    pub fn of_connect(error: &io::Error) -> Self {
        let is_local = match error.kind() {
            ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable | ErrorKind::OutOfMemory => true,
            _ => Errno::from_io_error(error)
                .is_some_and(|errno| matches!(errno, Errno::MFILE | Errno::NFILE | Errno::NOBUFS)),
        };
        if is_local {
            Self::NoConnection
        } else {
            Self::Unsent
        }
    }

    /// Returns whether the failure proves that the request has not run at this target.
    pub const fn proves_not_run(self) -> bool {
        self.proves_unsent() || matches!(self, Self::NotRun | Self::Misdirected)
    }

    /// Returns whether the failure proves that no part of the request reached this target.
    pub const fn proves_unsent(self) -> bool {
        matches!(
            self,
            Self::Unsent | Self::Reset | Self::NoConnection | Self::Left
        )
    }

    /// Returns whether the failure may be caused by the version that the target runs. Targets die
    /// and are disconnected regardless of their version.
    pub const fn blames_version(self) -> bool {
        matches!(self, Self::Failed(_) | Self::Foreign | Self::Silent)
    }

    /// Returns whether the target itself is probably down.
    pub const fn suggests_target_down(self) -> bool {
        matches!(
            self,
            Self::Unsent
                | Self::Misdirected
                | Self::Broken
                | Self::Ended
                | Self::Silent
                | Self::Dead
        )
    }

    /// Returns whether the target ended while it may have run the request.
    pub const fn ended_target(self) -> bool {
        matches!(self, Self::Ended | Self::Dead)
    }
}

/// The state of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState {
    /// Whether it may be repeated.
    pub kind: RouteKind,
    /// The number of targets at which it may have run.
    pub runs: u32,
    /// The maximum number of targets at which it may run.
    pub attempts: u32,
    /// The number of targets that refused it so far.
    pub refusals: u32,
    /// The number of targets that accepted no connection for it so far.
    pub unreached: u32,
    /// Whether this instance reaches no target of the service.
    pub is_partitioned: bool,
    /// The time until its deadline.
    pub time_left: Duration,
}

/// The step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another target.
    Elsewhere,
    /// Send the request to another target once the retry budget allows; it may have run, and may be
    /// repeated.
    Later,
    /// Respond that it has not run, and when to retry.
    NotRun,
    /// Respond that it has not run, and when engines will have read the prompts that are queued
    /// now.
    Overloaded(Duration),
    /// Respond that it has not run, and that it could not complete in the time left.
    TooLate,
    /// Respond that it failed, and may have run.
    Failed,
    /// Respond that it is not sent on, as too many targets ended while they ran it.
    TargetsLost,
    /// Respond that its deadline has passed, and that it may have run.
    Expired,
}

/// The minimum time left for which another attempt is worthwhile.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// The number of refusals after which a caller is told to retry later. Each refusal is work for the
/// target, and a service whose targets refuse this often in a row is full.
const MAX_REFUSALS: u32 = 6;
/// The number of unreachable targets after which a caller is answered. They cause no work at any
/// target, but each costs the caller up to 100 ms.
///
/// When 60 of 180 engines fall silent and this is not yet known, a stream tries six of them in a
/// row within half a second. If these counted as refusals the stream would end although most
/// engines are idle.
const MAX_UNREACHED: u32 = 20;

impl AttemptState {
    /// Returns the step after a failed attempt. `budget` returns whether one more send is allowed;
    /// it is only called if one is wanted.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::{AttemptFailure, NextStep, RouteKind, AttemptState};
    ///
    /// let reservation = AttemptState {
    ///     kind: RouteKind::Unsafe,
    ///     runs: 1,
    ///     attempts: 1,
    ///     refusals: 0,
    ///     unreached: 0,
    ///     is_partitioned: false,
    ///     time_left: Duration::from_secs(1),
    /// };
    /// assert_eq!(reservation.next_step(AttemptFailure::Broken, || true), NextStep::Failed);
    /// let unsent = AttemptState { runs: 0, ..reservation };
    /// assert_eq!(unsent.next_step(AttemptFailure::Unsent, || true), NextStep::Elsewhere);
    /// ```
    pub fn next_step(&self, failure: AttemptFailure, budget: impl FnOnce() -> bool) -> NextStep {
        let may_have_run = self.runs > 0;
        // No other target could complete it either.
        if failure == AttemptFailure::TooLate {
            return match may_have_run {
                true => NextStep::Expired,
                false => NextStep::TooLate,
            };
        }
        if self.time_left < MIN_TIME_LEFT {
            return if may_have_run {
                NextStep::Expired
            } else {
                NextStep::NotRun
            };
        }
        let may_send = !may_have_run || self.kind.may_repeat();
        let has_room = self.has_room();
        // The budget limits the requests that reach targets. If all targets of a data centre are
        // dead, most sends reach none, and streams would fail for lack of budget.
        if may_send && has_room {
            if failure.proves_unsent() || budget() {
                return NextStep::Elsewhere;
            }
            // If a stream fails now, its caller has to start over, so it waits some hundred
            // milliseconds for others to complete. With 71 instances and a third of the engines
            // dying, an instance with four lost streams may have budget for three at that moment.
            if may_have_run && matches!(self.kind, RouteKind::Stream { .. }) {
                return NextStep::Later;
            }
        }
        match failure {
            _ if !may_have_run => NextStep::NotRun,
            AttemptFailure::Silent | AttemptFailure::Expired => NextStep::Expired,
            _ => NextStep::Failed,
        }
    }

    /// Returns whether a target that does not respond may be given up for another one. The run at
    /// the target, which may still work, ends with that, so this requires that the request can be
    /// sent elsewhere: `has_alternative` returns whether there is a suitable target, and `budget`
    /// spends the retry if the budget allows it.
    ///
    /// With `keeps_last`, the last attempt is not used on a silence, as a stream that has begun needs
    /// it if its engine dies.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::{AttemptFailure, AttemptState, RouteKind};
    ///
    /// let draft = AttemptState {
    ///     kind: RouteKind::Stream { resumable: true },
    ///     runs: 1,
    ///     attempts: 3,
    ///     refusals: 0,
    ///     unreached: 0,
    ///     is_partitioned: false,
    ///     time_left: Duration::from_secs(5),
    /// };
    /// assert!(draft.may_give_up(AttemptFailure::Silent, true, || true, || true));
    /// assert!(!draft.may_give_up(AttemptFailure::Silent, true, || true, || false));
    /// let second = AttemptState { runs: 2, ..draft };
    /// assert!(!second.may_give_up(AttemptFailure::Silent, true, || true, || true));
    /// assert!(second.may_give_up(AttemptFailure::Dead, true, || true, || true));
    /// ```
    pub fn may_give_up(
        &self,
        failure: AttemptFailure,
        keeps_last: bool,
        has_alternative: impl FnOnce() -> bool,
        budget: impl FnOnce() -> bool,
    ) -> bool {
        let is_last_kept = keeps_last && failure == AttemptFailure::Silent;
        self.kind.may_repeat()
            && self.has_room()
            && (!is_last_kept || self.runs + 1 < self.attempts)
            && self.time_left >= MIN_TIME_LEFT
            && has_alternative()
            && budget()
    }

    /// Returns whether another target may be asked, as far as attempts and failures are limited.
    const fn has_room(&self) -> bool {
        let max_unreached = if self.is_partitioned {
            1
        } else {
            MAX_UNREACHED
        };
        let is_full = self.refusals >= MAX_REFUSALS || self.unreached >= max_unreached;
        self.runs < self.attempts && !is_full
    }
}
