//! Carries out what the state machine of an answer asks for.

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
mod open;

use chunk::Chunk;
use open::{Open, Trying};

/// How many events of engines may wait for their answer.
const INPUTS: usize = 256;
/// How many pieces may wait for a caller who reads slowly.
pub const PIECES: usize = 256;

/// A piece of an answer, on its way to the caller.
#[derive(Clone, Debug)]
pub enum Piece {
    /// A token.
    Token(Emit),
    /// The whole answer is there.
    End(Finish),
    /// The answer can't be completed.
    Failed(Incomplete),
}

/// Drives one answer to its end.
pub struct Drive {
    node: Arc<Node>,
    ask: Arc<GenerationRequest>,
    rng: SmallRng,
    inputs: mpsc::Sender<Input>,
    received: mpsc::Receiver<Input>,
    pieces: mpsc::Sender<Piece>,
    links: HashMap<ConnectionId, Open>,
    /// The version that was chosen when the answer was admitted.
    version: Option<VersionName>,
    /// The place that was given when the answer was admitted.
    permit: Option<Permit>,
    /// What its account was charged, with the tokens of all attempts so far.
    charge: Option<Charge>,
    /// The target of the attempt under way, until its first token.
    trying: Option<Trying>,
    /// The chunk of tokens under way, as evidence of the version.
    chunk: Option<Chunk>,
    open: Option<TrackedAnswer>,
    last_token: Instant,
    /// Whether a place among the resumes was asked for and did not come yet.
    resuming: bool,
    /// The target at which a place among the resumes was given for the next start.
    granted: Option<TargetKey>,
    starts: u32,
    /// Whether the effects under way come of a wait that was longer than the progress timeout.
    overdue: bool,
    gone: bool,
}

/// What an answer was given when it was admitted.
pub struct Admitted {
    /// The version that takes it.
    pub version: VersionName,
    /// Its place at an engine.
    pub permit: Permit,
    /// What its account was charged.
    pub charge: Charge,
}

impl Drop for Drive {
    fn drop(&mut self) {
        self.node.adjust_open_requests(-1);
    }
}

impl Drive {
    /// Prepares to drive an answer whose pieces go to `pieces`.
    pub fn new(
        node: Arc<Node>,
        ask: GenerationRequest,
        admitted: Option<Admitted>,
        pieces: mpsc::Sender<Piece>,
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
        let (inputs, received) = mpsc::channel(INPUTS);
        Self {
            rng: node.rng(),
            node,
            ask: Arc::new(ask),
            inputs,
            received,
            pieces,
            links: HashMap::new(),
            version,
            permit,
            charge,
            trying: None,
            chunk: None,
            open: None,
            last_token: Instant::now(),
            resuming: false,
            granted: None,
            starts: 0,
            overdue: false,
            gone: false,
        }
    }

    /// Drives the answer to its end.
    pub async fn run(mut self, mut answer: Generation, mut effects: Vec<Effect>) {
        let request = self.ask.request.clone();
        let _registration =
            keeper_records::register_driver(&self.node, request, self.inputs.clone());
        loop {
            while !effects.is_empty() {
                let mut next = Vec::new();
                for effect in effects.drain(..) {
                    if let Some(input) = self.carry_out(effect).await {
                        answer.step(Instant::now(), input, &mut next);
                    }
                }
                effects = next;
                self.overdue = false;
            }
            let Some(due) = answer.next_tick() else {
                return self.settle();
            };
            let input = self.next(due).await;
            self.overdue = input == Input::Tick;
            self.notice(&input);
            answer.step(Instant::now(), input, &mut effects);
        }
    }

    async fn next(&mut self, due: Instant) -> Input {
        // Events come before the clock: after a pause of this process the tokens that wait are
        // read before a stall is seen.
        tokio::select! {
            biased;
            Some(input) = self.received.recv() => input,
            () = self.pieces.closed(), if !self.gone => {
                self.gone = true;
                Input::CallerDisconnected
            }
            () = time::sleep_until(due) => Input::Tick,
        }
    }

    async fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::ChooseTarget(criteria) => return self.choose(&criteria).await,
            Effect::Start(start) => return self.start(start),
            Effect::Resume {
                connection: link,
                stream,
                from,
            } => {
                let Some((target, address)) = self.find(&stream.target) else {
                    return Some(Input::Closed(link));
                };
                if self.overdue {
                    self.node.metrics.add(Counter::Stalls, 1);
                }
                let stall = self.node.progress_timeouts.estimator(&stream.target);
                let request = self.ask.request.clone();
                let inputs = self.inputs.clone();
                let task =
                    engine_stream::resume(request, address, link, stream, from, stall, inputs);
                self.open(link, target, task, None);
                if let Some(open) = self.links.get_mut(&link) {
                    open.resumed = true;
                }
            }
            Effect::Close(link) => {
                // A connection that is closed before its answer is whole was given up as silent.
                self.end_chunk(link, Failure::Stalled);
                self.links.remove(&link);
            }
            Effect::Cancel(stream) => self.cancel(stream),
            Effect::QueryRecord(request) => self.review(request),
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
                return self.send(Piece::Token(emit)).await;
            }
            Effect::Finish(finish) => {
                self.finish_chunk();
                return self.send(Piece::End(finish)).await;
            }
            Effect::Fail(error) => {
                self.node.metrics.add(Counter::Failed, 1);
                return self.send(Piece::Failed(error)).await;
            }
        }
        None
    }

    async fn send(&mut self, piece: Piece) -> Option<Input> {
        if self.gone || self.pieces.send(piece).await.is_ok() {
            return None;
        }
        self.gone = true;
        Some(Input::CallerDisconnected)
    }

    /// Learns of targets from what their connections bring.
    fn notice(&mut self, input: &Input) {
        let now = Instant::now();
        match input {
            Input::Event(link, Event::Frame(_)) => {
                self.last_token = now;
                if let Some(charge) = &mut self.charge {
                    charge.used += 1;
                }
                if let Some(open) = self.links.get_mut(link) {
                    open.came = true;
                    // Only a token shows that the stream goes on.
                    if std::mem::take(&mut open.resumed) {
                        self.node.metrics.add(Counter::ResumedSame, 1);
                    }
                }
                self.count_token(*link, now);
                if let Some(trying) = self.take_trying(*link) {
                    let latency_ms = (now - trying.began).as_secs_f64() * 1e3;
                    self.node.report_target_event(TargetEvent::Succeeded {
                        route: trying.route,
                        target: trying.target,
                        latency_ms,
                    });
                }
            }
            Input::Closed(link) => {
                self.suspect(*link);
                self.failed(*link);
                self.end_chunk(*link, Failure::Cut);
            }
            Input::Malformed(link) => {
                self.failed(*link);
                self.end_chunk(*link, Failure::Wrong);
            }
            Input::Refused(link, Refusal::Failed) => {
                self.suspect(*link);
                self.failed(*link);
                self.end_chunk(*link, Failure::Error);
            }
            Input::Opened(link) => self.ask_chunk(*link),
            // That an engine has not loaded a version says nothing about the version. It must not be
            // asked again at once, or one answer asks it thousands of times.
            Input::Refused(link, Refusal::VersionNotLoaded) => {
                self.take_trying(*link);
                if let Some(chunk) = self.chunk.take_if(|chunk| chunk.link == *link) {
                    self.node
                        .record_unloaded(&chunk.trial.target, &chunk.trial.version);
                }
            }
            Input::Refused(link, _) => {
                self.suspect(*link);
                self.take_trying(*link);
                self.end_chunk(*link, Failure::Refused);
            }
            Input::Chosen(chosen) if std::mem::take(&mut self.resuming) => {
                self.granted = self.find(&chosen.target).map(|(target, _)| target);
            }
            Input::NoTarget => self.resuming = false,
            _ => {}
        }
    }

    /// Keeps work from the engine of a connection for a moment. One that fails at once looks idle, and
    /// would be chosen again and again.
    fn suspect(&self, link: ConnectionId) {
        if let Some(open) = self.links.get(&link) {
            self.node.suspects.add(open.target, Instant::now());
        }
    }

    fn failed(&mut self, link: ConnectionId) {
        if let Some(trying) = self.take_trying(link) {
            self.node.report_target_event(TargetEvent::Failed {
                route: trying.route,
                target: trying.target,
            });
        }
    }

    /// Ends the wait for the first token of a connection's attempt.
    fn take_trying(&mut self, link: ConnectionId) -> Option<Trying> {
        let trying = self.trying.take_if(|trying| trying.link == link)?;
        if trying.resumed {
            self.node.admission.release_resume(trying.target);
        }
        Some(trying)
    }

    fn settle(&mut self) {
        // A place that was given and not used would hold back others' resumes for good.
        self.received.close();
        while let Ok(input) = self.received.try_recv() {
            self.notice(&input);
        }
        let trying = self.trying.take().filter(|trying| trying.resumed);
        let used = trying.map(|trying| trying.target);
        for target in used.into_iter().chain(self.granted.take()) {
            self.node.admission.release_resume(target);
        }
        self.node.admission.notify_ended();
    }
}
