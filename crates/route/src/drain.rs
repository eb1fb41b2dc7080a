//! The stages of a planned stop.

use crate::ENTRY_POINTS_TTL;

/// How long other instances may go on giving out the address of a stopping one: until its word has
/// reached them, with a margin.
pub const LEAVING_PROPAGATION_MS: u64 = 5_000;
/// How long a connection may be idle, as each response tells its caller.
pub const KEEP_ALIVE_MS: u64 = 10_000;
/// After how long an idle connection is closed, at any time: a caller may have sent a request just
/// before [`KEEP_ALIVE_MS`] ran out, and it must arrive before the close.
pub const IDLE_CLOSE_MS: u64 = KEEP_ALIVE_MS + 1_000;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStage {
    /// No stop was asked for.
    Serving,
    /// The address is given to nobody, but callers may still have it; all is served, and each
    /// response says that its connection closes.
    Leaving,
    /// New connections are refused; requests that run, and those that come on connections that are
    /// still open, are served.
    Refusing,
    /// No connection is open; tasks can be joined and the process can end.
    Done,
}

/// What the caller has to do on reaching a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEffect {
    /// Say 'leaving' to peers, leave the own address out of answers, and say `Connection: close` in
    /// each response from now on.
    AnnounceLeaving,
    /// Drop the listener.
    CloseListener,
    /// Join all tasks and end.
    Exit,
}

/// A planned stop.
///
/// The failure: a caller that was told an address a moment ago connects there and is refused, or
/// has its request cut off. So an instance serves on until every answer that names it has expired:
/// the time for its word to reach the others, and then the time to live of the last answer.
///
/// Idle connections are not closed for the stop. A response whose head was sent before the stop did
/// not say that its connection closes, so its caller may use it again; the server closes it once it
/// has been idle for [`IDLE_CLOSE_MS`], as always.
///
/// # Examples
///
/// ```
/// use celerypond_route::{Drain, DrainEffect, DrainStage};
///
/// let (drain, effect) = Drain::default().start(0);
/// assert_eq!(effect, Some(DrainEffect::AnnounceLeaving));
/// // A second stop changes nothing.
/// assert_eq!(drain.start(3_000), (drain, None));
/// let (drain, effect) = drain.step(60_000, 2);
/// assert_eq!((drain.stage(), effect), (DrainStage::Refusing, Some(DrainEffect::CloseListener)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    stage: DrainStage,
    /// When the stage was reached, in milliseconds.
    since: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            stage: DrainStage::Serving,
            since: 0,
        }
    }
}

impl Drain {
    /// Returns the stage.
    pub const fn stage(&self) -> DrainStage {
        self.stage
    }

    /// Asks for the stop; once is enough.
    #[must_use]
    pub fn start(self, now_ms: u64) -> (Self, Option<DrainEffect>) {
        match self.stage {
            DrainStage::Serving => to(DrainStage::Leaving, now_ms, DrainEffect::AnnounceLeaving),
            _ => (self, None),
        }
    }

    /// Moves on by at most one stage. `open` counts the connections of callers, and all else that
    /// must not be cut off. Call it every 100 ms and when a connection closes.
    #[must_use]
    pub fn step(self, now_ms: u64, open: usize) -> (Self, Option<DrainEffect>) {
        let passed = now_ms.saturating_sub(self.since);
        let cached = LEAVING_PROPAGATION_MS + ENTRY_POINTS_TTL.as_millis() as u64;
        match self.stage {
            DrainStage::Leaving if passed >= cached => {
                to(DrainStage::Refusing, now_ms, DrainEffect::CloseListener)
            }
            DrainStage::Refusing if open == 0 => to(DrainStage::Done, now_ms, DrainEffect::Exit),
            _ => (self, None),
        }
    }
}

fn to(stage: DrainStage, since: u64, effect: DrainEffect) -> (Drain, Option<DrainEffect>) {
    (Drain { stage, since }, Some(effect))
}
