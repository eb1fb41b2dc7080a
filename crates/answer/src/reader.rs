//! Reads one stream of an engine over one connection after another.

use celerypond_types::TargetName;
use tokio::time::Instant;

use crate::{Link, Patience, Stream};

/// Reads one stream of an engine over one connection after another.
///
/// A resume on a new connection is the probe: an engine that answers it is alive and has the
/// stream, so the old connection was lost track of and reading goes on here. One that does not is
/// dead or paused, and the stream is given up.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    stream: Stream,
    patience: Patience,
    /// The connection that is read, unless it was lost.
    link: Option<Link>,
    /// The connection of a resume that the engine has not answered.
    probe: Option<Link>,
    due: Instant,
    /// Whether the engine ever answered.
    opened: bool,
    /// Whether the stream is known to have had a token.
    begun: bool,
    /// Whether a probe was made since the last token.
    probed: bool,
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
    pub(crate) fn start(stream: Stream, link: Link, patience: Patience, now: Instant) -> Self {
        Self {
            stream,
            patience,
            link: Some(link),
            probe: None,
            due: now + patience.probe,
            opened: false,
            begun: false,
            probed: false,
        }
    }

    /// Reads a stream that another instance started.
    pub(crate) fn resume(stream: Stream, link: Link, patience: Patience, now: Instant) -> Self {
        Self {
            link: None,
            probe: Some(link),
            begun: true,
            probed: true,
            ..Self::start(stream, link, patience, now)
        }
    }

    /// Takes the engine's answer to a start or a resume; returns a connection to close.
    pub(crate) fn opened(&mut self, link: Link, now: Instant) -> Option<Link> {
        if !self.holds(link) {
            return None;
        }
        self.opened = true;
        if self.probe.is_some() && self.link == Some(link) {
            return None;
        }
        self.due = now + self.wait();
        self.switch(link)
    }

    /// Takes note of a new token; returns a connection to close.
    pub(crate) fn progress(&mut self, link: Link, now: Instant) -> Option<Link> {
        self.opened = true;
        self.begun = true;
        self.probed = false;
        self.due = now + self.wait();
        if self.link == Some(link) {
            return self.probe.take();
        }
        self.switch(link)
    }

    /// Probes over a new connection.
    pub(crate) fn probe(&mut self, link: Link, now: Instant) {
        self.probe = Some(link);
        self.probed = true;
        self.due = now + self.patience.probe;
    }

    /// Takes note of the loss of a connection.
    pub(crate) fn lose(&mut self, link: Link) -> Loss {
        if self.probe == Some(link) {
            self.probe = None;
            return Loss::GiveUp;
        }
        if self.link != Some(link) {
            return Loss::Stale;
        }
        self.link = None;
        match self.probe {
            Some(_) => Loss::Wait,
            // A start that never got through has no stream to resume.
            None if !self.opened => Loss::GiveUp,
            None => self.overdue(),
        }
    }

    /// Returns what to do when the time is up.
    pub(crate) const fn overdue(&self) -> Loss {
        if self.probed {
            Loss::GiveUp
        } else {
            Loss::Probe
        }
    }

    /// Returns whether the connection is in use.
    pub(crate) fn holds(&self, link: Link) -> bool {
        self.links().any(|held| held == link)
    }

    pub(crate) fn links(&self) -> impl Iterator<Item = Link> + use<> {
        [self.link, self.probe].into_iter().flatten()
    }

    /// Returns whether the engine took the attempt, yet it brought no token.
    pub(crate) const fn is_barren(&self) -> bool {
        self.opened && !self.begun
    }

    pub(crate) const fn patience(&self) -> Patience {
        self.patience
    }

    pub(crate) const fn due(&self) -> Instant {
        self.due
    }

    pub(crate) const fn stream(&self) -> &Stream {
        &self.stream
    }

    pub(crate) const fn target(&self) -> &TargetName {
        &self.stream.target
    }

    const fn wait(&self) -> std::time::Duration {
        if self.begun {
            self.patience.gap
        } else {
            self.patience.first
        }
    }

    fn switch(&mut self, link: Link) -> Option<Link> {
        if self.probe != Some(link) {
            return None;
        }
        self.probe = None;
        self.link.replace(link)
    }
}
