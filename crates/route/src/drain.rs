//! The stages of a graceful shutdown.

use crate::ENTRY_POINTS_TTL;

/// How long other instances may keep handing out the address of an instance that is leaving: the
/// time until the news has reached them, with a margin.
pub const LEAVING_PROPAGATION_MS: u64 = 5_000;
/// The idle timeout of a connection, as responses announce it to the client in the `Keep-Alive`
/// header.
pub const KEEP_ALIVE_MS: u64 = 10_000;
/// The time after which the server closes an idle connection. It exceeds [`KEEP_ALIVE_MS`] so that
/// a request that the client sends just before that timeout still arrives in time.
pub const IDLE_CLOSE_MS: u64 = KEEP_ALIVE_MS + 1_000;

/// The stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStage {
    /// No shutdown was requested.
    Serving,
    /// The address is no longer handed out, but clients may still have it. All requests are served,
    /// and each response announces that its connection will be closed.
    Leaving,
    /// New connections are refused. Requests in flight, and new ones on connections that are still
    /// open, are served.
    Refusing,
    /// All connections are closed; the process can join its tasks and exit.
    Done,
}

/// What to do on entering a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEffect {
    /// Announce to peers that this instance is leaving, omit its address from the entry points, and
    /// send `Connection: close` with each response from now on.
    AnnounceLeaving,
    /// Close the listening socket.
    CloseListener,
    /// Join all tasks and exit.
    Exit,
}

/// The state machine of a graceful shutdown.
///
/// A client that was given the address just before the shutdown would have its connection refused
/// or its request aborted. The instance therefore keeps serving until every list of entry points
/// with its address has expired: the time for the news to reach the other instances plus the TTL of
/// the last list.
///
/// Idle connections are not closed early. A response whose head was sent before the shutdown did
/// not announce that its connection would be closed, so the client may reuse it; it is closed after
/// [`IDLE_CLOSE_MS`] of idleness, as at any other time.
///
/// # Examples
///
/// ```
/// use celerypond_route::{Drain, DrainEffect, DrainStage};
///
/// let (drain, effect) = Drain::default().start(0);
/// assert_eq!(effect, Some(DrainEffect::AnnounceLeaving));
/// // A second call changes nothing.
/// assert_eq!(drain.start(3_000), (drain, None));
/// let (drain, effect) = drain.step(60_000, 2);
/// assert_eq!((drain.stage(), effect), (DrainStage::Refusing, Some(DrainEffect::CloseListener)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    stage: DrainStage,
    /// When the stage was entered, in milliseconds.
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
    /// Returns the current stage.
    pub const fn stage(&self) -> DrainStage {
        self.stage
    }

    /// Starts the shutdown. Further calls have no effect.
    #[must_use]
    pub fn start(self, now_ms: u64) -> (Self, Option<DrainEffect>) {
        match self.stage {
            DrainStage::Serving => enter(DrainStage::Leaving, now_ms, DrainEffect::AnnounceLeaving),
            _ => (self, None),
        }
    }

    /// Advances by at most one stage. `open_connections` counts client connections and anything
    /// else that must not be interrupted. Call it every 100 ms and whenever a connection closes.
    #[must_use]
    pub fn step(self, now_ms: u64, open_connections: usize) -> (Self, Option<DrainEffect>) {
        let elapsed = now_ms.saturating_sub(self.since);
        let drain_ms = LEAVING_PROPAGATION_MS + ENTRY_POINTS_TTL.as_millis() as u64;
        match self.stage {
            DrainStage::Leaving if elapsed >= drain_ms => {
                enter(DrainStage::Refusing, now_ms, DrainEffect::CloseListener)
            }
            DrainStage::Refusing if open_connections == 0 => {
                enter(DrainStage::Done, now_ms, DrainEffect::Exit)
            }
            _ => (self, None),
        }
    }
}

fn enter(stage: DrainStage, since: u64, effect: DrainEffect) -> (Drain, Option<DrainEffect>) {
    (Drain { stage, since }, Some(effect))
}
