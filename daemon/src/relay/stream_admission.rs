//! Admits streams that have not begun, by urgency where their service has any.

use celerypond_relay::{
    NextStep, StreamArrival, StreamDecision, StreamRoom, StreamVerdict, Urgency,
};
use celerypond_telemetry::Counter;
use tokio::time::Instant;

use super::{lease::Lease, returns, routed_request::RoutedRequest};

impl RoutedRequest {
    /// Admits a stream that has not begun.
    ///
    /// # Errors
    ///
    /// `Overloaded` if its caller should retry, and `TooLate` if it cannot be served.
    pub(super) fn admit_stream(&self) -> Result<(), NextStep> {
        match self.requirements.urgency {
            // Another instance has admitted it, so that its caller would be put off a second time.
            Some(_) if self.is_admitted => Ok(()),
            Some(urgency) => self.admit_by_urgency(urgency),
            None => match self.overload_backoff() {
                Some(backoff) => Err(NextStep::Overloaded(backoff)),
                None => Ok(()),
            },
        }
    }

    /// Returns the number of tokens that an engine reads before or with those of this stream.
    pub(super) fn reading_before(&self, lease: &Lease, now: Instant) -> u64 {
        let targets = self.state.view.targets();
        targets.reading_before(lease.key, self.requirements.urgency, now)
    }

    fn admit_by_urgency(&self, urgency: Urgency) -> Result<(), NextStep> {
        let now = Instant::now();
        let part = self.requirements.affinity;
        let request = self.caller_request.id.as_str();
        let returned = part.and_then(|part| returns::claim(&self.state, request, part));
        let Some(room) = self.stream_room(now) else {
            // One that is early counts until it is taken.
            part.and_then(|part| self.state.returns().take(part));
            return Ok(());
        };
        let arrival = StreamArrival {
            service: celerypond_route::hash(self.requirements.service.as_str().as_bytes()),
            part,
            urgency,
            aim: self.route.aim,
            time_left: self.time_left(),
            min_run: self.min_run_time(),
        };
        let mut returns = self.state.returns();
        let decision = returns.admit(&arrival, returned.as_ref(), &room, now);
        drop(returns);
        match decision.verdict {
            StreamVerdict::Queue => Ok(()),
            StreamVerdict::PutOff => {
                self.state.metrics.add(Counter::StreamsPutOff, 1);
                self.log_decision(&decision);
                Err(NextStep::Overloaded(decision.backoff))
            }
            StreamVerdict::Refuse => {
                self.state.metrics.add(Counter::StreamsRefused, 1);
                self.log_decision(&decision);
                Err(NextStep::TooLate)
            }
        }
    }

    fn stream_room(&self, now: Instant) -> Option<StreamRoom> {
        let query = self.requirements.query(&[]);
        let targets = self.state.view.targets();
        let selection = targets.select(&query, now)?;
        if selection.is_doubtful {
            return None;
        }
        let prompt = self.requirements.prompt_tokens;
        targets.stream_room(selection.key, &query, prompt, self.event_tokens(), now)
    }

    /// Returns the number of tokens in an event, if the configuration states it.
    fn event_tokens(&self) -> Option<u32> {
        let table = self.state.view.table();
        let service = table.service(&self.requirements.service)?;
        service.engine.as_ref()?.event_tokens
    }

    fn log_decision(&self, decision: &StreamDecision) {
        let StreamDecision { claim, room, .. } = decision;
        log::info!(
            request = self.caller_request.id.as_str(),
            urgency = claim.urgency.level(),
            is_returned = claim.is_returned,
            waited_ms = claim.waited.as_millis() as u64,
            begins_in_ms = room.begins_in.as_millis() as u64,
            pending = room.pending,
            rate = room.rate,
            is_refused = decision.verdict == StreamVerdict::Refuse,
            backoff_ms = decision.backoff.as_millis() as u64;
            "no room for a stream of this urgency"
        );
    }
}
