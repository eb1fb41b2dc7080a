//! Streams that are relayed through another instance.

use celerypond_relay::{AttemptFailure, NextStep, SilenceLimits};
use http_body_util::BodyExt as _;
use tokio::time::{timeout, Instant};

use super::{
    peer_relay::{self, PeerResponse, ResumedRun},
    relayed_stream::{NoEngine, RelayedStream},
    run_copy::CopyLocation,
};

impl RelayedStream {
    /// Sends the request to another instance and waits for its first event. Returns whether the
    /// stream began there, or was refused there before it had begun anywhere.
    ///
    /// # Errors
    ///
    /// `NoEngine` if the request may have run there and must not be sent again.
    pub(super) async fn start_at_peer(
        &mut self,
        copy: Option<&CopyLocation>,
    ) -> Result<bool, NoEngine> {
        let started = Instant::now();
        // The run at the engine that was given up may still work, and another instance may refuse the
        // stream as well, unless this one reaches no engine.
        let may_stay = self.previous.is_some() && !self.request.prefers_peer();
        if may_stay || !peer_relay::has_candidates(&self.request) {
            return Ok(false);
        }
        self.previous = None;
        let run = ResumedRun {
            last_event: self.events.last_id(),
            copy,
        };
        let mut peer = match peer_relay::send(&self.request, &run).await {
            None => return Ok(false),
            Some(Ok(peer)) => peer,
            Some(Err(failure)) => return self.handle_peer_failure(failure),
        };
        let status = peer.response.status;
        if !status.is_success() && (self.events.forwarded() > 0 || self.request.may_have_run()) {
            return Ok(false);
        }
        if status.is_success()
            && let Err(failure) = self.read_peer_events(&mut peer).await
        {
            return self.handle_peer_failure(failure);
        }
        log::info!(
            request = self.request.caller_request.id.as_str(),
            peer:% = peer.address,
            status = status.as_u16(),
            last = self.events.last_id(),
            took_ms = started.elapsed().as_millis() as u64;
            "stream relayed through another instance"
        );
        self.peer = Some(peer);
        self.from_copy = false;
        Ok(true)
    }

    fn handle_peer_failure(&mut self, failure: AttemptFailure) -> Result<bool, NoEngine> {
        self.events.discard_partial();
        match self.request.record_peer_failure(failure) {
            NextStep::Elsewhere => Ok(false),
            NextStep::Later => Err(NoEngine {
                next: NextStep::Failed,
                is_temporary: true,
            }),
            next => Err(NoEngine {
                next,
                is_temporary: false,
            }),
        }
    }

    /// Reads from another instance until there is a whole event to forward or the stream has ended.
    /// The instance finds out itself when its engine is lost, so only the instance is probed.
    async fn read_peer_events(&mut self, peer: &mut PeerResponse) -> Result<(), AttemptFailure> {
        let probe_interval = SilenceLimits::for_stream(0, self.request.route.gap_aim).gap;
        let mut dead_since = None;
        while !self.events.has_pending() && !self.is_complete {
            let wait = probe_interval.min(self.request.time_left());
            let Ok(frame) = timeout(wait, peer.response.body.frame()).await else {
                self.check_peer(peer, &mut dead_since).await?;
                continue;
            };
            dead_since = None;
            match frame {
                Some(Ok(frame)) => {
                    self.events.push(&frame)?;
                }
                Some(Err(_)) => return Err(AttemptFailure::Broken),
                None if self.events.has_partial() => return Err(AttemptFailure::Broken),
                None => self.is_complete = true,
            }
        }
        Ok(())
    }

    /// Checks that another instance is alive, and that there is time left. One that accepts no
    /// connections may still relay the stream, so it is given up once the stream can go elsewhere.
    async fn check_peer(
        &self,
        peer: &PeerResponse,
        dead_since: &mut Option<Instant>,
    ) -> Result<(), AttemptFailure> {
        if self.request.time_left().is_zero() {
            return Err(AttemptFailure::Silent);
        }
        let connections = &self.request.state.peer_connections;
        if connections.is_alive(peer.address).await {
            *dead_since = None;
            return Ok(());
        }
        let dead_since = dead_since.get_or_insert_with(Instant::now);
        let is_given_up =
            dead_since.elapsed() >= self.max_dead_time() || self.request.try_give_up_peer();
        match is_given_up {
            true => Err(AttemptFailure::Dead),
            false => Ok(()),
        }
    }

    /// Reads more events from another instance, or resumes the stream elsewhere if that is lost.
    /// Returns whether the stream goes on.
    pub(super) async fn continue_at_peer(&mut self, mut peer: PeerResponse) -> bool {
        let failure = match self.read_peer_events(&mut peer).await {
            Ok(()) => {
                self.peer = Some(peer);
                return true;
            }
            Err(failure) => failure,
        };
        drop(peer);
        self.events.discard_partial();
        let result = match self.request.record_peer_failure(failure) {
            NextStep::Elsewhere => self.find_engine(Vec::new(), true).await,
            NextStep::Later => self.find_engine(Vec::new(), false).await,
            next => Err(next),
        };
        self.resume_failure = result.as_ref().err().copied();
        result.is_ok() && self.has_success_status()
    }
}
