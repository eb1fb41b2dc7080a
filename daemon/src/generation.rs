//! Drives the state machine of an answer: carries out its effects and passes it inputs.

use std::{collections::HashMap, sync::Arc};

use celerypond_answer::{
    ConnectionId, Effect, Emit, Event, Finish, Generation, Incomplete, Input, Refusal,
};
use celerypond_rollout::Failure;
use celerypond_telemetry::Counter;
use celerypond_types::{TargetKey, VersionName};
use rand::rngs::SmallRng;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    admission::Permit,
    charge::Charge,
    engine_stream::{self, GenerationRequest},
    keeper_records,
    node::Node,
    rollouts::TrackedAnswer,
    target_watch::TargetEvent,
};

mod choice;
mod chunk;
mod connection;

use chunk::Chunk;
use connection::{EngineConnection, PendingAttempt};

/// The capacity of the channel from an answer's connections to its driver, in inputs.
const INPUT_CAPACITY: usize = 256;
/// The capacity of the channel to the caller, in events; the driver waits for a slow caller.
pub const OUTPUT_CAPACITY: usize = 256;

/// An event for the caller.
#[derive(Clone, Debug)]
pub enum OutputEvent {
    /// A token.
    Token(Emit),
    /// The answer is complete.
    Finished(Finish),
    /// The answer cannot be completed.
    Failed(Incomplete),
}

/// Drives one answer to its end, for one connection of the caller.
pub struct AnswerDriver {
    node: Arc<Node>,
    generation_request: Arc<GenerationRequest>,
    rng: SmallRng,
    inputs: mpsc::Sender<Input>,
    input_receiver: mpsc::Receiver<Input>,
    output: mpsc::Sender<OutputEvent>,
    connections: HashMap<ConnectionId, EngineConnection>,
    /// The version chosen at admission.
    version: Option<VersionName>,
    /// The permit granted at admission, until the first attempt starts.
    permit: Option<Permit>,
    /// The tokens charged to the account, and those used by all attempts so far.
    charge: Option<Charge>,
    /// The current attempt, until its first token.
    pending: Option<PendingAttempt>,
    /// The current chunk of tokens, which counts as evidence about the version.
    chunk: Option<Chunk>,
    open_answer: Option<TrackedAnswer>,
    last_token: Instant,
    /// Whether a resume is queued and no target has been granted yet.
    awaiting_grant: bool,
    /// The target granted for a resume, until the attempt starts.
    granted_target: Option<TargetKey>,
    started_attempts: u32,
    /// Whether the current effects result from a tick, such as a progress timeout.
    timed_out: bool,
    caller_disconnected: bool,
}

/// The resources of an admitted request.
pub struct Admitted {
    /// The chosen version.
    pub version: VersionName,
    /// The slot at an engine.
    pub permit: Permit,
    /// The tokens charged to the account.
    pub charge: Charge,
}

impl Drop for AnswerDriver {
    fn drop(&mut self) {
        self.node.adjust_open_requests(-1);
    }
}

impl AnswerDriver {
    /// Creates the driver of an answer, which sends its events to `output`.
    ///
    /// `admitted` is `None` if the answer is taken over from another driver.
    pub fn new(
        node: Arc<Node>,
        generation_request: GenerationRequest,
        admitted: Option<Admitted>,
        output: mpsc::Sender<OutputEvent>,
    ) -> Self {
        let (version, permit, charge) = match admitted {
            Some(admitted) => (
                Some(admitted.version),
                Some(admitted.permit),
                Some(admitted.charge),
            ),
            None => (None, None, None),
        };
        node.adjust_open_requests(1);
        let (inputs, input_receiver) = mpsc::channel(INPUT_CAPACITY);
        Self {
            rng: node.rng(),
            node,
            generation_request: Arc::new(generation_request),
            inputs,
            input_receiver,
            output,
            connections: HashMap::new(),
            version,
            permit,
            charge,
            pending: None,
            chunk: None,
            open_answer: None,
            last_token: Instant::now(),
            awaiting_grant: false,
            granted_target: None,
            started_attempts: 0,
            timed_out: false,
            caller_disconnected: false,
        }
    }

    /// Drives the answer to its end.
    pub async fn run(mut self, mut answer: Generation, mut effects: Vec<Effect>) {
        let request = self.generation_request.request.clone();
        let _registration =
            keeper_records::register_driver(&self.node, request, self.inputs.clone());
        loop {
            while !effects.is_empty() {
                let mut next = Vec::new();
                for effect in effects.drain(..) {
                    if let Some(input) = self.execute(effect).await {
                        answer.step(Instant::now(), input, &mut next);
                    }
                }
                effects = next;
                self.timed_out = false;
            }
            let Some(due) = answer.next_tick() else {
                return self.release_grants();
            };
            let input = self.next_input(due).await;
            self.timed_out = input == Input::Tick;
            self.observe(&input);
            answer.step(Instant::now(), input, &mut effects);
        }
    }

    async fn next_input(&mut self, due: Instant) -> Input {
        // Inputs take precedence over the tick, so that after a pause of this process the tokens
        // that have arrived meanwhile are processed before the stream counts as stalled.
        tokio::select! {
            biased;
            Some(input) = self.input_receiver.recv() => input,
            () = self.output.closed(), if !self.caller_disconnected => {
                self.caller_disconnected = true;
                Input::CallerDisconnected
            }
            () = time::sleep_until(due) => Input::Tick,
        }
    }

    async fn execute(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::ChooseTarget(criteria) => return self.choose_target(&criteria).await,
            Effect::Start(start) => return self.start_attempt(start),
            Effect::Resume {
                connection,
                stream,
                from,
            } => {
                let Some((target, address)) = self.find_target(&stream.target) else {
                    return Some(Input::Closed(connection));
                };
                if self.timed_out {
                    self.node.metrics.add(Counter::Stalls, 1);
                }
                let estimator = self.node.progress_timeouts.estimator(&stream.target);
                let request = self.generation_request.request.clone();
                let inputs = self.inputs.clone();
                let task = engine_stream::resume(
                    request, address, connection, stream, from, estimator, inputs,
                );
                self.add_connection(connection, target, task, None);
                if let Some(engine_connection) = self.connections.get_mut(&connection) {
                    engine_connection.resume_pending = true;
                }
            }
            Effect::Close(connection) => {
                // If the chunk has not ended yet, the engine has made no progress.
                self.fail_chunk(connection, Failure::Stalled);
                self.connections.remove(&connection);
            }
            Effect::Cancel(stream) => self.cancel_stream(stream),
            Effect::QueryRecord(request) => self.query_record(request),
            Effect::ExtendRecord(copy) => keeper_records::extend(&self.node, &copy),
            Effect::PutRecord(record) => keeper_records::put(&self.node, &record, &self.inputs),
            Effect::RemoveRecord(request, attempt) => {
                keeper_records::remove(&self.node, &request, attempt)
            }
            Effect::NotifyInstance(instance, record) => {
                keeper_records::notify_instance(&self.node, &instance, &record)
            }
            Effect::Emit(emit) => {
                self.node.metrics.add(Counter::Tokens, 1);
                return self.send_output(OutputEvent::Token(emit)).await;
            }
            Effect::Finish(finish) => {
                self.finish_chunk();
                return self.send_output(OutputEvent::Finished(finish)).await;
            }
            Effect::Fail(error) => {
                self.node.metrics.add(Counter::Failed, 1);
                return self.send_output(OutputEvent::Failed(error)).await;
            }
        }
        None
    }

    async fn send_output(&mut self, event: OutputEvent) -> Option<Input> {
        if self.caller_disconnected || self.output.send(event).await.is_ok() {
            return None;
        }
        self.caller_disconnected = true;
        Some(Input::CallerDisconnected)
    }

    /// Updates metrics, target health and evidence from an input.
    fn observe(&mut self, input: &Input) {
        let now = Instant::now();
        match input {
            Input::Event(connection, Event::Frame(_)) => {
                self.last_token = now;
                if let Some(charge) = &mut self.charge {
                    charge.used += 1;
                }
                if let Some(engine_connection) = self.connections.get_mut(connection) {
                    engine_connection.token_received = true;
                    // Only a token proves that the stream continues.
                    if std::mem::take(&mut engine_connection.resume_pending) {
                        self.node.metrics.add(Counter::ResumedSame, 1);
                    }
                }
                self.count_token(*connection, now);
                if let Some(pending) = self.take_pending(*connection) {
                    let latency_ms = (now - pending.started_at).as_secs_f64() * 1e3;
                    self.node.report_target_event(TargetEvent::Succeeded {
                        route: pending.route,
                        target: pending.target,
                        latency_ms,
                    });
                }
            }
            Input::Closed(connection) => {
                self.suspect_target(*connection);
                self.report_failure(*connection);
                self.fail_chunk(*connection, Failure::Cut);
            }
            Input::Malformed(connection) => {
                self.report_failure(*connection);
                self.fail_chunk(*connection, Failure::Wrong);
            }
            Input::Refused(connection, Refusal::Failed) => {
                self.suspect_target(*connection);
                self.report_failure(*connection);
                self.fail_chunk(*connection, Failure::Error);
            }
            Input::Opened(connection) => self.record_chunk_sent(*connection),
            // That an engine has not loaded a version is no evidence against the version. The engine
            // is marked as not having it, as otherwise one answer would retry there thousands of
            // times.
            Input::Refused(connection, Refusal::VersionNotLoaded) => {
                self.take_pending(*connection);
                if let Some(chunk) = self.chunk.take_if(|chunk| chunk.connection == *connection) {
                    self.node
                        .record_unloaded(&chunk.trial.target, &chunk.trial.version);
                }
            }
            Input::Refused(connection, _) => {
                self.suspect_target(*connection);
                self.take_pending(*connection);
                self.fail_chunk(*connection, Failure::Refused);
            }
            Input::Chosen(chosen) if std::mem::take(&mut self.awaiting_grant) => {
                self.granted_target = self.find_target(&chosen.target).map(|(target, _)| target);
            }
            Input::NoTarget => self.awaiting_grant = false,
            _ => {}
        }
    }

    /// Excludes the engine of a connection for a short time. An engine that fails immediately looks
    /// idle, and would be chosen again and again.
    fn suspect_target(&self, connection: ConnectionId) {
        if let Some(engine_connection) = self.connections.get(&connection) {
            self.node
                .suspects
                .add(engine_connection.target, Instant::now());
        }
    }

    fn report_failure(&mut self, connection: ConnectionId) {
        if let Some(pending) = self.take_pending(connection) {
            self.node.report_target_event(TargetEvent::Failed {
                route: pending.route,
                target: pending.target,
            });
        }
    }

    /// Takes the pending attempt of a connection, and releases its resume grant.
    fn take_pending(&mut self, connection: ConnectionId) -> Option<PendingAttempt> {
        let pending = self
            .pending
            .take_if(|pending| pending.connection == connection)?;
        if pending.is_resume {
            self.node.admission.release_resume(pending.target);
        }
        Some(pending)
    }

    fn release_grants(&mut self) {
        // A grant that is never released would hold back other resumes forever.
        self.input_receiver.close();
        while let Ok(input) = self.input_receiver.try_recv() {
            self.observe(&input);
        }
        let pending = self.pending.take().filter(|pending| pending.is_resume);
        let used = pending.map(|pending| pending.target);
        for target in used.into_iter().chain(self.granted_target.take()) {
            self.node.admission.release_resume(target);
        }
        self.node.admission.notify_ended();
    }
}
