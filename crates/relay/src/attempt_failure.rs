//! What the end of an attempt proves, and what follows.

use std::time::Duration;

use crate::RouteKind;

/// How an attempt at a target ended without a response to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was made, or it closed before a byte was written.
    Unsent,
    /// The target takes no new work any more, which became known before anything was sent.
    Left,
    /// The target says that it has not run the request.
    NotRun,
    /// Another target has the address and has not run the request.
    Misdirected,
    /// The target answered that it failed.
    Failed(u16),
    /// The connection broke after the request may have arrived.
    Broken,
    /// Nothing came for longer than the target is expected to need.
    Silent,
    /// Nothing came for a while, and the target takes no new connection.
    Dead,
    /// What came is not a response to this request.
    Foreign,
}

impl AttemptFailure {
    /// Returns whether the end proves that the request has not run at this target.
    pub const fn proves_not_run(self) -> bool {
        self.proves_unsent() || matches!(self, Self::NotRun | Self::Misdirected)
    }

    /// Returns whether the end proves that nothing of the request reached this target.
    pub const fn proves_unsent(self) -> bool {
        matches!(self, Self::Unsent | Self::Left)
    }

    /// Returns whether the end may be the fault of the version that the target runs. Targets die and
    /// are cut off whatever their version.
    pub const fn blames_version(self) -> bool {
        matches!(self, Self::Failed(_) | Self::Foreign | Self::Silent)
    }

    /// Returns whether the target itself is likely to be down.
    pub const fn suggests_target_down(self) -> bool {
        matches!(
            self,
            Self::Unsent | Self::Misdirected | Self::Broken | Self::Silent | Self::Dead
        )
    }
}

/// What is known of a request when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState {
    /// What may be repeated.
    pub kind: RouteKind,
    /// Targets at which the request may have run.
    pub runs: u32,
    /// The most targets at which it may run.
    pub attempts: u32,
    /// Targets that refused it so far.
    pub refusals: u32,
    /// Targets that took no connection for it so far.
    pub unreached: u32,
    /// The time left.
    pub time_left: Duration,
}

/// What follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another target.
    Elsewhere,
    /// Send it to another target once the budget allows; it may have run and may be repeated.
    Later,
    /// Answer that it has not run, with when to come back.
    NotRun,
    /// Answer that it has not run, and when engines will have read the prompts that they have now.
    Overloaded(Duration),
    /// Answer that it has not run, and that it could not be whole in the time left.
    TooLate,
    /// Answer that it failed and may have run.
    Failed,
    /// Answer that its time is over and that it may have run.
    Expired,
}

/// The least time for which another attempt is worth a send.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Refusals after which a caller is told to come back. Each refusal costs the target work, and a
/// service whose targets refuse this often in a row is full.
const MAX_REFUSALS: u32 = 6;
/// Targets without a connection after which a caller is answered. They cost no target any work, but up
/// to a tenth of a second of the caller's time each.
///
/// The failure: 60 of 180 engines fall silent, nobody knows yet which, and a stream tries six of them
/// in a row within half a second. As refusals they would end it, though most engines are idle.
const MAX_UNREACHED: u32 = 20;

impl AttemptState {
    /// Decides what follows an attempt that ended so; `budget` says whether one more send is
    /// allowed, and is only asked when one is wanted.
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
    ///     time_left: Duration::from_secs(1),
    /// };
    /// assert_eq!(reservation.next_step(AttemptFailure::Broken, || true), NextStep::Failed);
    /// let unsent = AttemptState { runs: 0, ..reservation };
    /// assert_eq!(unsent.next_step(AttemptFailure::Unsent, || true), NextStep::Elsewhere);
    /// ```
    pub fn next_step(&self, ended: AttemptFailure, budget: impl FnOnce() -> bool) -> NextStep {
        let may_have_run = self.runs > 0;
        if self.time_left < MIN_TIME_LEFT {
            return if may_have_run {
                NextStep::Expired
            } else {
                NextStep::NotRun
            };
        }
        let may_send = !may_have_run || self.kind.may_repeat();
        let is_full = self.refusals >= MAX_REFUSALS || self.unreached >= MAX_UNREACHED;
        let has_room = self.runs < self.attempts && !is_full;
        // The budget bounds what reaches targets. Where all targets of a data centre are dead, most
        // sends reach none, and streams would break for want of budget.
        if may_send && has_room {
            if ended.proves_unsent() || budget() {
                return NextStep::Elsewhere;
            }
            // A stream that its caller would have to begin anew can wait for some hundred milliseconds
            // until others are done. At 71 instances a third of the engines dies, and an instance with
            // four lost streams has budget for three at that moment.
            if may_have_run && matches!(self.kind, RouteKind::Stream { .. }) {
                return NextStep::Later;
            }
        }
        match ended {
            _ if !may_have_run => NextStep::NotRun,
            AttemptFailure::Silent => NextStep::Expired,
            _ => NextStep::Failed,
        }
    }
}
