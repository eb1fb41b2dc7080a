//! Carries out what the state machine of an answer asks for.

use std::{collections::HashMap, sync::Arc, time::Duration};

use celerypond_answer::{
    Choice, Chosen, Effect, Emit, Finish, Generation, Incomplete, Input, Link, Start, Stream,
};
use celerypond_route::{InFlight, Reason, Route};
use celerypond_telemetry::Counter;
use celerypond_types::{TargetName, VersionName};
use rand::rngs::SmallRng;
use tokio::{
    sync::mpsc,
    task::AbortHandle,
    time::{self, Instant},
};

use crate::{
    engine,
    link::{self, Ask},
    node::Node,
};

/// How many events of engines may wait for their answer.
const INPUTS: usize = 256;
/// How many pieces may wait for a caller who reads slowly.
pub const PIECES: usize = 256;
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
    starts: u32,
    gone: bool,
}

/// A connection of the answer; dropping it closes it.
struct Open {
    task: AbortHandle,
    _load: Option<InFlight>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Drive {
    /// Prepares to drive an answer whose pieces go to `pieces`.
    pub fn new(node: Arc<Node>, ask: Ask, pieces: mpsc::Sender<Piece>) -> Self {
        let (inputs, received) = mpsc::channel(INPUTS);
        Self {
            rng: node.rng(),
            node,
            ask: Arc::new(ask),
            inputs,
            received,
            pieces,
            links: HashMap::new(),
            starts: 0,
            gone: false,
        }
    }

    /// Drives the answer to its end.
    pub async fn run(mut self, mut answer: Generation, mut effects: Vec<Effect>) {
        loop {
            while !effects.is_empty() {
                let mut next = Vec::new();
                for effect in effects.drain(..) {
                    if let Some(input) = self.carry_out(effect).await {
                        answer.step(Instant::now(), input, &mut next);
                    }
                }
                effects = next;
            }
            let Some(due) = answer.due() else {
                return;
            };
            let input = self.next(due).await;
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
            Effect::Choose(choice) => return Some(self.choose(&choice)),
            Effect::Start(start) => return self.start(start),
            Effect::Resume { link, stream, from } => {
                let Some(address) = self.address(&stream.target) else {
                    return Some(Input::Closed(link));
                };
                self.node.metrics.add(Counter::Stalls, 1);
                let stall = self.node.stalls.of(&stream.target);
                let request = self.ask.request.clone();
                let inputs = self.inputs.clone();
                let task = link::resume(request, address, link, stream, from, stall, inputs);
                self.open(link, task, None);
            }
            Effect::Close(link) => drop(self.links.remove(&link)),
            Effect::Cancel(stream) => self.cancel(stream),
            Effect::Review(_) => return Some(Input::Reviewed(None)),
            Effect::Keep(_) | Effect::Forget(..) | Effect::Tell(..) => {}
            Effect::Emit(emit) => {
                self.node.metrics.add(Counter::Tokens, 1);
                return self.send(Piece::Token(emit)).await;
            }
            Effect::Finish(finish) => return self.send(Piece::End(finish)).await,
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

    fn choose(&mut self, choice: &Choice) -> Input {
        match self.pick(choice) {
            Some(chosen) => Input::Chosen(chosen),
            None => Input::NoTarget,
        }
    }

    fn pick(&mut self, choice: &Choice) -> Option<Chosen> {
        let view = self.node.view.load();
        let version = match &choice.version {
            Some(version) => version.clone(),
            None => self.version()?,
        };
        let route = Route::Version(view.version(&self.ask.model, &version)?);
        let excluded: Vec<_> = choice
            .avoid
            .iter()
            .filter_map(|name| view.key(name))
            .collect();
        let ask = celerypond_route::Ask {
            excluded: &excluded,
            near: Some(&self.node.settings.data_centre),
            ..celerypond_route::Ask::default()
        };
        let picked = view.pick(route, &ask, Instant::now(), &mut self.rng).ok()?;
        debug_assert!(picked.reason != Reason::Affine || !ask.prefixes.is_empty());
        let target = view.target(picked.target)?.name.clone();
        let patience = self.node.stalls.patience(&target, self.prompt_tokens());
        Some(Chosen {
            target,
            version,
            patience,
        })
    }

    fn version(&self) -> Option<VersionName> {
        let force = self.node.force.load();
        let model = force.as_ref()?.model(&self.ask.model)?;
        Some(model.base.clone())
    }

    fn prompt_tokens(&self) -> u32 {
        // About four characters make a token.
        (self.ask.prompt.len() / 4) as u32
    }

    fn start(&mut self, start: Start) -> Option<Input> {
        let link = start.link;
        let view = self.node.view.load();
        let target = view
            .key(&start.stream.target)
            .and_then(|key| view.target(key));
        let begun = target.and_then(|target| {
            let now_ms = view.clock().millis(Instant::now());
            Some((target.address, target.gauge.begin(now_ms)?))
        });
        let Some((address, load)) = begun else {
            return Some(Input::Closed(link));
        };
        if self.starts > 0 {
            self.node.metrics.add(Counter::ResumedElsewhere, 1);
        }
        self.starts += 1;
        let stall = self.node.stalls.of(&start.stream.target);
        let inputs = self.inputs.clone();
        let task = link::start(Arc::clone(&self.ask), address, start, stall, inputs);
        self.open(link, task, Some(load));
        None
    }

    fn open(
        &mut self,
        link: Link,
        task: impl Future<Output = ()> + Send + 'static,
        load: Option<InFlight>,
    ) {
        let task = self.node.work.spawn(task).abort_handle();
        self.links.insert(link, Open { task, _load: load });
    }

    fn cancel(&self, stream: Stream) {
        let Some(address) = self.address(&stream.target) else {
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

    fn address(&self, target: &TargetName) -> Option<std::net::SocketAddr> {
        let view = self.node.view.load();
        let key = view.key(target)?;
        Some(view.target(key)?.address)
    }
}
