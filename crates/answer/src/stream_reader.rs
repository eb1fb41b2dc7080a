//! Reads one stream of an engine over one connection after another.

use celerypond_types::TargetName;
use tokio::time::Instant;

use crate::{ConnectionId, StreamId, Timeouts};

/// How many times the wait for the first token an attempt gets while its engine answers probes.
const MAX_FIRST_TOKEN_WAITS: u32 = 4;
/// Enough to pass any sensible bound, and few enough not to overflow.
const MAX_DOUBLINGS: u32 = 10;

/// Reads one stream of an engine over one connection after another.
///
/// A resume on a new connection is the probe: an engine that answers it is alive and has the
/// stream, so the old connection was lost track of and reading goes on here. One that does not is
/// dead or paused, and the stream is given up.
///
/// The failure: many resumes at once make all engines slow. If each slow stream were started anew
/// elsewhere, its prefix would be read once more there, which makes the engines slower yet; the
/// symptom would be answers that move about and never go on. An engine that answers is therefore
/// given twice the time after each probe, up to a bound for one whose stream is no_progress.
#[derive(Clone, Debug)]
pub(crate) struct StreamReader {
    stream: StreamId,
    timeouts: Timeouts,
    /// The connection that is read, unless it was lost.
    connection: Option<ConnectionId>,
    /// The connection of a resume that the engine has not answered.
    probe: Option<ConnectionId>,
    deadline: Instant,
    /// Whether the engine ever answered.
    accepted: bool,
    /// Whether the stream is known to have had a token.
    has_token: bool,
    /// How many probes were made since the last token.
    probes: u32,
    /// When the last token came, or the stream was started.
    last_progress: Instant,
    /// Whether a connection broke since then.
    lost_connection: bool,
}

/// What the loss of a connection means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossAction {
    /// It was no longer in use.
    Ignore,
    /// The stream must be probed.
    Probe,
    /// The stream is being probed already.
    Wait,
    /// The stream must be given up.
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

    /// Reads a stream that another instance started.
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

    /// Takes the engine's answer to a start or a resume; returns a connection to close.
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

    /// Takes note of a new token; returns a connection to close.
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

    /// Probes over a new connection.
    pub(crate) fn probe(&mut self, connection: ConnectionId, now: Instant) {
        self.probe = Some(connection);
        self.probes += 1;
        self.deadline = now + self.timeouts.probe;
    }

    /// Takes note of the loss of a connection.
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
            // A start that never got through has no stream to resume.
            None if !self.accepted || self.probes > 0 => LossAction::GiveUp,
            None => LossAction::Probe,
        }
    }

    /// Returns what to do when the time is up.
    pub(crate) fn timed_out(&self, now: Instant) -> LossAction {
        if self.probe.is_some() || now >= self.give_up_at() {
            LossAction::GiveUp
        } else {
            LossAction::Probe
        }
    }

    /// Returns whether the connection is in use.
    pub(crate) fn uses(&self, connection: ConnectionId) -> bool {
        self.connections().any(|held| held == connection)
    }

    pub(crate) fn connections(&self) -> impl Iterator<Item = ConnectionId> + use<> {
        [self.connection, self.probe].into_iter().flatten()
    }

    /// Returns whether the stream is known to have had a token.
    pub(crate) const fn has_token(&self) -> bool {
        self.has_token
    }

    /// Returns whether the engine took the attempt and failed before its first token.
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

    /// Returns when a stream is given up although its engine answers.
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
