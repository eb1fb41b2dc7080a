//! Carries out what the state machine of an answer asks for.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use celerypond_answer::{
    Choice, Chosen, Effect, Emit, Event, Finish, Generation, Incomplete, Input, Link, Refusal,
    Start, Stream,
};
use celerypond_rollout::{Failure, Trial};
use celerypond_route::{InFlight, Route, View};
use celerypond_telemetry::{hop, Counter};
use celerypond_types::{RequestKey, TargetKey, TargetName, VersionKey, VersionName};
use rand::rngs::SmallRng;
use tokio::{
    sync::mpsc,
    task::AbortHandle,
    time::{self, Instant},
};

use tracing::Instrument;

use crate::{
    admission::Permit,
    engine,
    front::completions,
    keeping,
    link::{self, Ask},
    node::{self, Node},
    rollouts::{self, OpenAnswer},
    target_watch::{is_live, TargetEvent},
};

/// How many events of engines may wait for their answer.
const INPUTS: usize = 256;
/// How many pieces may wait for a caller who reads slowly.
pub const PIECES: usize = 256;
/// How many tokens count as one trial of a version.
const CHUNK: u32 = 32;
/// How long the cancellation of a stream is tried again; an engine may be paused that long.
const CANCEL: Duration = Duration::from_secs(30);
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

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
    ask: Arc<Ask>,
    rng: SmallRng,
    inputs: mpsc::Sender<Input>,
    received: mpsc::Receiver<Input>,
    pieces: mpsc::Sender<Piece>,
    links: HashMap<Link, Open>,
    /// The version that was chosen when the answer was admitted.
    version: Option<VersionName>,
    /// The place that was given when the answer was admitted.
    permit: Option<Permit>,
    /// The target of the attempt under way, until its first token.
    trying: Option<Trying>,
    /// The chunk of tokens under way, as evidence of the version.
    chunk: Option<Chunk>,
    open: Option<OpenAnswer>,
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

/// An attempt of which no token came yet.
struct Trying {
    link: Link,
    route: Route,
    target: TargetKey,
    began: Instant,
    resumed: bool,
}

/// A connection of the answer; dropping it closes it.
struct Open {
    node: Arc<Node>,
    task: AbortHandle,
    target: TargetKey,
    load: Option<InFlight>,
    /// Whether a token came over it.
    came: bool,
    /// Whether it reads a stream that was begun over another connection.
    resumed: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.task.abort();
        // An attempt ends with its connection, however that comes. One that brought nothing tells
        // nothing of the time that requests take: a dead engine would seem the quickest.
        if let Some(load) = self.load.take().filter(|_| self.came) {
            load.end(self.node.now_ms());
        }
    }
}

/// Some tokens in a row from one connection, which together count as one trial of the version.
struct Chunk {
    link: Link,
    trial: Trial,
    began: Instant,
    /// The tokens so far; the first token of an attempt is a chunk of its own.
    tokens: u32,
    /// Whether it counts as asked for.
    is_asked: bool,
}

impl Chunk {
    /// Notes that the tokens so far came well.
    fn came(&self, node: &Node, now: Instant) {
        let per_token = (now - self.began).as_micros() as u64 / u64::from(self.tokens.max(1));
        node.rollouts
            .note(|agent| agent.came(&self.trial, per_token));
    }

    /// Begins the next chunk; it counts from its first token on.
    fn next(&mut self, now: Instant) {
        self.began = now;
        self.tokens = 0;
        self.is_asked = false;
        self.trial.is_first = false;
        self.trial.begun_ms = node::wall_ms();
    }
}

impl Drop for Drive {
    fn drop(&mut self) {
        self.node.open_requests(-1);
    }
}

impl Drive {
    /// Prepares to drive an answer whose pieces go to `pieces`.
    pub fn new(
        node: Arc<Node>,
        ask: Ask,
        admitted: Option<(VersionName, Permit)>,
        pieces: mpsc::Sender<Piece>,
    ) -> Self {
        let (version, permit) = admitted.unzip();
        node.open_requests(1);
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
        let _entered = keeping::enter(&self.node, request, self.inputs.clone());
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
            let Some(due) = answer.due() else {
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
                Input::CallerGone
            }
            () = time::sleep_until(due) => Input::Tick,
        }
    }

    async fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Choose(choice) => return self.choose(&choice).await,
            Effect::Start(start) => return self.start(start),
            Effect::Resume { link, stream, from } => {
                let Some((target, address)) = self.find(&stream.target) else {
                    return Some(Input::Closed(link));
                };
                if self.overdue {
                    self.node.metrics.add(Counter::Stalls, 1);
                }
                let stall = self.node.stalls.of(&stream.target);
                let request = self.ask.request.clone();
                let inputs = self.inputs.clone();
                let task = link::resume(request, address, link, stream, from, stall, inputs);
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
            Effect::Review(request) => self.review(request),
            Effect::Copy(copy) => keeping::extend(&self.node, &copy),
            Effect::Keep(record) => keeping::keep(&self.node, &record, &self.inputs),
            Effect::Forget(request, attempt) => keeping::forget(&self.node, &request, attempt),
            Effect::Tell(instance, record) => keeping::tell(&self.node, &instance, &record),
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
        Some(Input::CallerGone)
    }

    /// Learns of targets from what their connections bring.
    fn notice(&mut self, input: &Input) {
        let now = Instant::now();
        match input {
            Input::Event(link, Event::Frame(_)) => {
                self.last_token = now;
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
                    self.node.tell(TargetEvent::Succeeded {
                        route: trying.route,
                        target: trying.target,
                        latency_ms,
                    });
                }
            }
            Input::Closed(link) => {
                if let Some(open) = self.links.get(link) {
                    self.node.suspects.add(open.target, now);
                }
                self.failed(*link);
                self.end_chunk(*link, Failure::Cut);
            }
            Input::Malformed(link) => {
                self.failed(*link);
                self.end_chunk(*link, Failure::Wrong);
            }
            Input::Refused(link, Refusal::Failed) => {
                // An engine that fails at once looks idle, and would be chosen again and again.
                if let Some(open) = self.links.get(link) {
                    self.node.suspects.add(open.target, now);
                }
                self.failed(*link);
                self.end_chunk(*link, Failure::Error);
            }
            Input::Opened(link) => self.ask_chunk(*link),
            // That an engine has not loaded a version says nothing about the version. It must not be
            // asked again at once, or one answer asks it thousands of times.
            Input::Refused(link, Refusal::Version) => {
                self.take_trying(*link);
                if let Some(chunk) = self.chunk.take_if(|chunk| chunk.link == *link) {
                    self.node.unload(&chunk.trial.target, &chunk.trial.version);
                }
            }
            Input::Refused(link, _) => {
                if let Some(open) = self.links.get(link) {
                    self.node.suspects.add(open.target, now);
                }
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

    fn failed(&mut self, link: Link) {
        if let Some(trying) = self.take_trying(link) {
            self.node.tell(TargetEvent::Failed {
                route: trying.route,
                target: trying.target,
            });
        }
    }

    /// Counts a token into the evidence of its version.
    fn count_token(&mut self, link: Link, now: Instant) {
        let Some(chunk) = self.chunk.as_mut().filter(|chunk| chunk.link == link) else {
            return;
        };
        if chunk.trial.is_first {
            let took_us = (now - chunk.began).as_micros() as u64;
            self.node
                .rollouts
                .note(|agent| agent.came(&chunk.trial, took_us));
            chunk.next(now);
            return;
        }
        if !std::mem::replace(&mut chunk.is_asked, true) {
            self.node.rollouts.note(|agent| agent.sent(&chunk.trial));
        }
        chunk.tokens += 1;
        if chunk.tokens == CHUNK {
            chunk.came(&self.node, now);
            chunk.next(now);
        }
    }

    /// Ends the chunk under way with its answer.
    fn finish_chunk(&mut self) {
        if let Some(chunk) = self.chunk.take().filter(|chunk| chunk.tokens > 0) {
            chunk.came(&self.node, Instant::now());
        }
    }

    /// Counts the chunk under way as asked for, once its engine has taken it.
    ///
    /// The failure: attempts that engines refuse because they lack the version were counted as begun
    /// and never ended. Trials under way pass for good ones, so thousands of them hid that 60 of 100
    /// answers failed, and the bad version was completed.
    fn ask_chunk(&mut self, link: Link) {
        let chunk = self.chunk.as_mut().filter(|chunk| chunk.link == link);
        if let Some(chunk) = chunk.filter(|chunk| !chunk.is_asked) {
            chunk.is_asked = true;
            self.node.rollouts.note(|agent| agent.sent(&chunk.trial));
        }
    }

    /// Ends the chunk under way as failed, if it came over this connection.
    fn end_chunk(&mut self, link: Link, failure: Failure) {
        self.ask_chunk(link);
        if let Some(chunk) = self.chunk.take_if(|chunk| chunk.link == link) {
            let now_ms = node::wall_ms();
            self.node
                .rollouts
                .note(|agent| agent.failed(&chunk.trial, failure, now_ms));
        }
    }

    /// Ends the wait for the first token of a connection's attempt.
    fn take_trying(&mut self, link: Link) -> Option<Trying> {
        let trying = self.trying.take_if(|trying| trying.link == link)?;
        if trying.resumed {
            self.node.admission.settled(trying.target);
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
            self.node.admission.settled(target);
        }
        self.node.admission.ended();
    }

    async fn choose(&mut self, choice: &Choice) -> Option<Input> {
        if let Some(permit) = self.permit.take() {
            return Some(self.use_permit(permit).await);
        }
        let version = match (&choice.version, &self.version) {
            (Some(version), _) => version.clone(),
            (None, Some(version)) => version.clone(),
            (None, None) => return Some(Input::NoTarget),
        };
        let view = self.node.view.load_full();
        let Some(key) = view.version(&self.ask.model, &version) else {
            return Some(Input::NoTarget);
        };
        if choice.resumes {
            self.wait_to_resume(key, version);
            return None;
        }
        let avoid = choice
            .avoid
            .iter()
            .filter_map(|name| view.key(name))
            .collect();
        let name = self.pick_live(&view, Route::Version(key), avoid).await;
        Some(match name {
            Some(name) => Input::Chosen(self.chosen(name, version)),
            None => Input::NoTarget,
        })
    }

    /// Chooses a target that takes new work by a word that is not old.
    async fn pick_live(
        &mut self,
        view: &View,
        route: Route,
        avoid: Vec<TargetKey>,
    ) -> Option<TargetName> {
        let now = Instant::now();
        let mut excluded = self.node.suspects.with(avoid, now);
        let prefixes = completions::prefixes(&self.ask.prompt);
        let adapter = self.ask.adapter.as_ref();
        let adapter = adapter.map_or(0, |name| celerypond_route::hash(name.as_str().as_bytes()));
        loop {
            let ask = celerypond_route::Ask {
                prefixes: &prefixes,
                adapter,
                excluded: &excluded,
                near: Some(&self.node.settings.data_centre),
            };
            let picked = view.pick(route, &ask, now, &mut self.rng).ok()?;
            let target = view.target(picked.target)?;
            if is_live(&self.node, picked.target, target).await {
                return Some(target.name.clone());
            }
            excluded.push(picked.target);
        }
    }

    /// Begins at the place that was given when the answer was admitted.
    async fn use_permit(&mut self, permit: Permit) -> Input {
        let view = self.node.view.load_full();
        let (Some(target), Some(version)) = (view.target(permit.target), self.version.clone())
        else {
            return Input::NoTarget;
        };
        if !is_live(&self.node, permit.target, target).await {
            return Input::NoTarget;
        }
        let chosen = self.chosen(target.name.clone(), version);
        self.permit = Some(permit);
        Input::Chosen(chosen)
    }

    /// Waits in line with other answers that lost their engines; the place comes as an input.
    fn wait_to_resume(&mut self, key: VersionKey, version: VersionName) {
        let force = self.node.force.load_full();
        let model = force
            .as_ref()
            .and_then(|force| force.model(&self.ask.model));
        let unloaded = model.map(|model| self.node.rollouts.unloaded(&self.node, model, &version));
        let unloaded = unloaded.unwrap_or_default();
        let granted = self.node.admission.resume(key, unloaded, self.last_token);
        let node = Arc::clone(&self.node);
        let inputs = self.inputs.clone();
        let tokens = self.prompt_tokens();
        self.resuming = true;
        self.node.work.spawn(async move {
            let Ok(key) = granted.await else { return };
            let view = node.view.load_full();
            let live = match view.target(key) {
                Some(target) if is_live(&node, key, target).await => Some(target.name.clone()),
                _ => None,
            };
            let Some(target) = live else {
                node.admission.settled(key);
                // An answer that is over needs no target.
                let _ = inputs.send(Input::NoTarget).await;
                return;
            };
            let patience = node.stalls.patience(&target, tokens);
            let chosen = Chosen {
                target,
                version,
                patience,
            };
            if inputs.send(Input::Chosen(chosen)).await.is_err() {
                node.admission.settled(key);
            }
        });
    }

    fn chosen(&self, target: TargetName, version: VersionName) -> Chosen {
        let patience = self.node.stalls.patience(&target, self.prompt_tokens());
        Chosen {
            target,
            version,
            patience,
        }
    }

    fn prompt_tokens(&self) -> u32 {
        // About four characters make a token.
        (self.ask.prompt.len() / 4) as u32
    }

    fn start(&mut self, start: Start) -> Option<Input> {
        let link = start.link;
        let view = self.node.view.load_full();
        let resumed = self.granted.take().is_some();
        let key = view.key(&start.stream.target);
        let found = key.and_then(|key| Some((key, view.target(key)?)));
        let route = view
            .version(&self.ask.model, &start.version)
            .map(Route::Version);
        let (Some((target, found)), Some(route)) = (found, route) else {
            return Some(Input::Closed(link));
        };
        let permit = self.permit.take().filter(|permit| permit.target == target);
        let begun = permit
            .map(|permit| permit.load)
            .or_else(|| found.gauge.begin(self.node.now_ms()));
        // The target may have said that it leaves since it was chosen.
        let Some(load) = begun else {
            if resumed {
                self.node.admission.settled(target);
            }
            return Some(Input::Closed(link));
        };
        if self.starts > 0 {
            self.node.metrics.add(Counter::ResumedElsewhere, 1);
        }
        self.starts += 1;
        self.trying = Some(Trying {
            link,
            route,
            target,
            began: Instant::now(),
            resumed,
        });
        self.begin_chunk(link, &start);
        let stall = self.node.stalls.of(&start.stream.target);
        let inputs = self.inputs.clone();
        let task = link::start(Arc::clone(&self.ask), found.address, start, stall, inputs);
        self.open(link, target, task, Some(load));
        None
    }

    fn begin_chunk(&mut self, link: Link, start: &Start) {
        let route = rollouts::route(self.ask.adapter.as_ref());
        let model = &self.ask.model;
        let trial = rollouts::trial(model, &start.version, &route, &start.stream.target);
        if self.open.is_none() {
            self.open = Some(self.node.rollouts.open(&self.node, model, &start.version));
        }
        self.chunk = Some(Chunk {
            link,
            trial,
            began: Instant::now(),
            tokens: 0,
            is_asked: false,
        });
    }

    fn open(
        &mut self,
        link: Link,
        target: TargetKey,
        task: impl Future<Output = ()> + Send + 'static,
        load: Option<InFlight>,
    ) {
        let task = task.instrument(hop("target", None));
        let task = self.node.work.spawn(task).abort_handle();
        let open = Open {
            node: Arc::clone(&self.node),
            task,
            target,
            load,
            came: false,
            resumed: false,
        };
        self.links.insert(link, open);
    }

    fn review(&self, request: RequestKey) {
        let node = Arc::clone(&self.node);
        let inputs = self.inputs.clone();
        self.node.work.spawn(async move {
            let record = keeping::find(&node, &request).await;
            // An answer that is over needs no review.
            let _ = inputs.send(Input::Reviewed(record)).await;
        });
    }

    fn cancel(&self, stream: Stream) {
        let Some((_, address)) = self.find(&stream.target) else {
            return;
        };
        let request = self.ask.request.clone();
        let node = Arc::clone(&self.node);
        self.node.work.spawn(async move {
            let until = Instant::now() + CANCEL;
            while Instant::now() < until && !node.ending.is_cancelled() {
                if engine::cancel(address, &request, stream.attempt)
                    .await
                    .is_ok()
                {
                    return;
                }
                time::sleep(CANCEL_PAUSE).await;
            }
        });
    }

    fn find(&self, target: &TargetName) -> Option<(TargetKey, SocketAddr)> {
        let view = self.node.view.load();
        let key = view.key(target)?;
        Some((key, view.target(key)?.address))
    }
}
