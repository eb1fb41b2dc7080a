//! Reads one stream of an engine over one connection after another.

use celerypond_types::TargetName;
use tokio::time::Instant;

use crate::{ConnectionId, StreamId, Timeouts};

/// How many times the wait for the first token an attempt gets while its engine answers probes.
const STUCK_FIRSTS: u32 = 4;
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
pub(crate) struct Reader {
    stream: StreamId,
    timeouts: Timeouts,
    /// The connection that is read, unless it was lost.
    connection: Option<ConnectionId>,
    /// The connection of a resume that the engine has not answered.
    probe: Option<ConnectionId>,
    due: Instant,
    /// Whether the engine ever answered.
    opened: bool,
    /// Whether the stream is known to have had a token.
    begun: bool,
    /// How many probes were made since the last token.
    probes: u32,
    /// When the last token came, or the stream was started.
    since: Instant,
    /// Whether a connection broke since then.
    broke: bool,
}

/// What the loss of a connection means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// It was no longer in use.
    Stale,
    /// The stream must be probed.
    Probe,
    /// The stream is being probed already.
    Wait,
    /// The stream must be given up.
    GiveUp,
}

impl Reader {
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
            due: now + timeouts.probe,
            opened: false,
            begun: false,
            probes: 0,
            since: now,
            broke: false,
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
            begun: true,
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
        if !self.holds(connection) {
            return None;
        }
        self.opened = true;
        if self.probe.is_some() && self.connection == Some(connection) {
            return None;
        }
        let wait = self.wait() * (1 << self.probes.min(MAX_DOUBLINGS));
        self.due = (now + wait).min(self.limit()).max(now);
        self.switch(connection)
    }

    /// Takes note of a new token; returns a connection to close.
    pub(crate) fn progress(
        &mut self,
        connection: ConnectionId,
        now: Instant,
    ) -> Option<ConnectionId> {
        self.opened = true;
        self.begun = true;
        self.broke = false;
        self.probes = 0;
        self.since = now;
        self.due = now + self.wait();
        if self.connection == Some(connection) {
            return self.probe.take();
        }
        self.switch(connection)
    }

    /// Probes over a new connection.
    pub(crate) fn probe(&mut self, connection: ConnectionId, now: Instant) {
        self.probe = Some(connection);
        self.probes += 1;
        self.due = now + self.timeouts.probe;
    }

    /// Takes note of the loss of a connection.
    pub(crate) fn lose(&mut self, connection: ConnectionId) -> Loss {
        if !self.holds(connection) {
            return Loss::Stale;
        }
        self.broke = true;
        if self.probe == Some(connection) {
            self.probe = None;
            return Loss::GiveUp;
        }
        self.connection = None;
        match self.probe {
            Some(_) => Loss::Wait,
            // A start that never got through has no stream to resume.
            None if !self.opened || self.probes > 0 => Loss::GiveUp,
            None => Loss::Probe,
        }
    }

    /// Returns what to do when the time is up.
    pub(crate) fn overdue(&self, now: Instant) -> Loss {
        if self.probe.is_some() || now >= self.limit() {
            Loss::GiveUp
        } else {
            Loss::Probe
        }
    }

    /// Returns whether the connection is in use.
    pub(crate) fn holds(&self, connection: ConnectionId) -> bool {
        self.connections().any(|held| held == connection)
    }

    pub(crate) fn connections(&self) -> impl Iterator<Item = ConnectionId> + use<> {
        [self.connection, self.probe].into_iter().flatten()
    }

    /// Returns whether the stream is known to have had a token.
    pub(crate) const fn has_begun(&self) -> bool {
        self.begun
    }

    /// Returns whether the engine took the attempt and failed before its first token.
    pub(crate) const fn is_barren(&self) -> bool {
        self.opened && !self.begun && self.broke
    }

    pub(crate) const fn timeouts(&self) -> Timeouts {
        self.timeouts
    }

    pub(crate) const fn due(&self) -> Instant {
        self.due
    }

    pub(crate) const fn stream(&self) -> &StreamId {
        &self.stream
    }

    pub(crate) const fn target(&self) -> &TargetName {
        &self.stream.target
    }

    /// Returns when a stream is given up although its engine answers.
    fn limit(&self) -> Instant {
        let stuck = if self.begun {
            self.timeouts.no_progress
        } else {
            self.timeouts.first_token * STUCK_FIRSTS
        };
        self.since + stuck
    }

    const fn wait(&self) -> std::time::Duration {
        if self.begun {
            self.timeouts.token_gap
        } else {
            self.timeouts.first_token
        }
    }

    fn switch(&mut self, connection: ConnectionId) -> Option<ConnectionId> {
        if self.probe != Some(connection) {
            return None;
        }
        self.probe = None;
        self.connection.replace(connection)
    }
}
