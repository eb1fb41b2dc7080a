//! Reads a stream of an engine over successive connections.

use celerypond_types::TargetName;
use tokio::time::Instant;

use crate::{ConnectionId, StreamId, Timeouts};

/// How many first-token timeouts an attempt may take while its engine responds to probes.
const MAX_FIRST_TOKEN_WAITS: u32 = 4;
/// Large enough to reach any reasonable maximum wait, small enough not to overflow.
const MAX_DOUBLINGS: u32 = 10;

/// Reads a stream of an engine over successive connections.
///
/// When no token arrives in time or the connection is lost, the stream is resumed over a new
/// connection as a probe. If the engine responds, it is alive and has the stream, and reading
/// continues over the new connection. If it doesn't, it is dead or paused, and the stream is given
/// up.
///
/// Many resumes at the same time make all engines slow. If each slow stream were started again at
/// another engine, that engine would have to read its prefix, which slows the engines down further,
/// and answers would move between engines without progress. Therefore the timeout doubles with each
/// probe that the engine responds to, until the stream is given up for lack of progress.
#[derive(Clone, Debug)]
pub(crate) struct StreamReader {
    stream: StreamId,
    timeouts: Timeouts,
    /// The connection that the stream is read from, or `None` if it was lost.
    connection: Option<ConnectionId>,
    /// The connection of a probe that the engine has not yet responded to.
    probe: Option<ConnectionId>,
    /// When to probe or give up the stream if nothing arrives.
    deadline: Instant,
    /// Whether the engine ever responded.
    accepted: bool,
    /// Whether the stream is known to have generated a token.
    has_token: bool,
    /// The number of probes since the last token.
    probes: u32,
    /// When the last token arrived, or the stream was started or resumed.
    last_progress: Instant,
    /// Whether a connection was lost since then.
    lost_connection: bool,
}

/// What to do after the loss of a connection or a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossAction {
    /// Nothing, because the connection was no longer in use.
    Ignore,
    /// Probe the stream.
    Probe,
    /// Wait for the result of the current probe.
    Wait,
    /// Give up the stream.
    GiveUp,
}

impl StreamReader {
    pub(crate) fn start(
        stream: StreamId,
        connection: ConnectionId,
        timeouts: Timeouts,
        now: Instant,
    ) -> Self {
        Self {
            stream,
            timeouts,
            connection: Some(connection),
            probe: None,
            deadline: now + timeouts.probe,
            accepted: false,
            has_token: false,
            probes: 0,
            last_progress: now,
            lost_connection: false,
        }
    }

    /// Reads a stream that another driver started.
    pub(crate) fn resume(
        stream: StreamId,
        connection: ConnectionId,
        timeouts: Timeouts,
        now: Instant,
    ) -> Self {
        Self {
            connection: None,
            probe: Some(connection),
            has_token: true,
            probes: 1,
            ..Self::start(stream, connection, timeouts, now)
        }
    }

    /// Handles the acceptance of a start or a resume. Returns a connection to close.
    pub(crate) fn opened(
        &mut self,
        connection: ConnectionId,
        now: Instant,
    ) -> Option<ConnectionId> {
        if !self.uses(connection) {
            return None;
        }
        self.accepted = true;
        if self.probe.is_some() && self.connection == Some(connection) {
            return None;
        }
        let wait = self.token_timeout() * (1 << self.probes.min(MAX_DOUBLINGS));
        self.deadline = (now + wait).min(self.give_up_at()).max(now);
        self.promote_probe(connection)
    }

    /// Records a new token. Returns a connection to close.
    pub(crate) fn progress(
        &mut self,
        connection: ConnectionId,
        now: Instant,
    ) -> Option<ConnectionId> {
        self.accepted = true;
        self.has_token = true;
        self.lost_connection = false;
        self.probes = 0;
        self.last_progress = now;
        self.deadline = now + self.token_timeout();
        if self.connection == Some(connection) {
            return self.probe.take();
        }
        self.promote_probe(connection)
    }

    /// Starts a probe over a new connection.
    pub(crate) fn probe(&mut self, connection: ConnectionId, now: Instant) {
        self.probe = Some(connection);
        self.probes += 1;
        self.deadline = now + self.timeouts.probe;
    }

    /// Handles the loss of a connection.
    pub(crate) fn connection_lost(&mut self, connection: ConnectionId) -> LossAction {
        if !self.uses(connection) {
            return LossAction::Ignore;
        }
        self.lost_connection = true;
        if self.probe == Some(connection) {
            self.probe = None;
            return LossAction::GiveUp;
        }
        self.connection = None;
        match self.probe {
            Some(_) => LossAction::Wait,
            // If the engine never accepted the start, there may be no stream to resume.
            None if !self.accepted || self.probes > 0 => LossAction::GiveUp,
            None => LossAction::Probe,
        }
    }

    /// Returns what to do when the deadline has passed.
    pub(crate) fn timed_out(&self, now: Instant) -> LossAction {
        if self.probe.is_some() || now >= self.give_up_at() {
            LossAction::GiveUp
        } else {
            LossAction::Probe
        }
    }

    /// Returns whether the connection is in use.
    pub(crate) fn uses(&self, connection: ConnectionId) -> bool {
        self.connections().any(|used| used == connection)
    }

    pub(crate) fn connections(&self) -> impl Iterator<Item = ConnectionId> + use<> {
        [self.connection, self.probe].into_iter().flatten()
    }

    /// Returns whether the stream is known to have generated a token.
    pub(crate) const fn has_token(&self) -> bool {
        self.has_token
    }

    /// Returns whether the engine accepted the attempt and failed before its first token.
    pub(crate) const fn failed_before_first_token(&self) -> bool {
        self.accepted && !self.has_token && self.lost_connection
    }

    pub(crate) const fn timeouts(&self) -> Timeouts {
        self.timeouts
    }

    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }

    pub(crate) const fn stream(&self) -> &StreamId {
        &self.stream
    }

    pub(crate) const fn target(&self) -> &TargetName {
        &self.stream.target
    }

    /// Returns when the stream is given up for lack of progress although its engine responds.
    fn give_up_at(&self) -> Instant {
        let max_wait = if self.has_token {
            self.timeouts.no_progress
        } else {
            self.timeouts.first_token * MAX_FIRST_TOKEN_WAITS
        };
        self.last_progress + max_wait
    }

    const fn token_timeout(&self) -> std::time::Duration {
        if self.has_token {
            self.timeouts.token_gap
        } else {
            self.timeouts.first_token
        }
    }

    fn promote_probe(&mut self, connection: ConnectionId) -> Option<ConnectionId> {
        if self.probe != Some(connection) {
            return None;
        }
        self.probe = None;
        self.connection.replace(connection)
    }
}
