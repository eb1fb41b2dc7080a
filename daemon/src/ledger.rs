//! Runs the shards of keyed calls: one task for each shard that this instance uses.

use std::{
    collections::HashMap,
    future::pending,
    sync::{
        atomic::{AtomicU64, Ordering::Relaxed},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};

use celerypond_ledger::{
    Answer, Call, CallId, CallKey, Effect, FinishedCall, ListReply, ReadReply, Settings, Shard,
    ShardNumber, WriteReply,
};
use celerypond_platform::{Client, PlatformError};
use celerypond_telemetry::Counter;
use futures::future::{BoxFuture, FutureExt};
use rand::Rng;
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, Instant},
};

use crate::{node::Node, service_call::ServiceCall};

/// How many shards the key space has; the same at every instance for all time.
///
/// Few shards make large batches; `docs/design/ledger.md` has the measurement.
pub const SHARDS: u16 = 4;
/// The least time between two writes of a shard, so that all shards keep to the store's write rate.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(14);
/// How many commands may wait for a shard.
const COMMANDS: usize = 1024;
/// The part of a call's deadline that is left for the service after the intent is recorded.
const RUN_PART: u32 = 2;

/// The shards of keyed calls that this instance uses.
#[derive(Default)]
pub struct Ledger {
    shards: Mutex<HashMap<u16, mpsc::Sender<Command>>>,
    calls: AtomicU64,
}

enum Command {
    Call {
        call: Call,
        send: ServiceCall,
        answer: oneshot::Sender<Answer>,
    },
    Finish(FinishedCall),
}

/// The reply to the one store call that a shard may have under way.
enum Stored {
    Listed(ListReply),
    Read(ReadReply),
    Written(WriteReply),
}

struct Actor {
    node: Arc<Node>,
    shard: Shard,
    commands: mpsc::Receiver<Command>,
    finished: mpsc::WeakSender<Command>,
    waiting: HashMap<CallId, Wait>,
    store: Option<BoxFuture<'static, Stored>>,
}

struct Wait {
    send: ServiceCall,
    answer: oneshot::Sender<Answer>,
}

impl Ledger {
    /// Runs a keyed call at most once and waits for its outcome; `None` when the instance ends.
    pub async fn call(&self, node: &Arc<Node>, key: CallKey, send: ServiceCall) -> Option<Answer> {
        let now = Instant::now();
        let left = send.deadline.saturating_duration_since(now);
        let service_timeout = left / RUN_PART;
        let call = Call {
            id: CallId(self.calls.fetch_add(1, Relaxed)),
            key,
            fingerprint: send.fingerprint(),
            send_by: now + (left - service_timeout),
            service_timeout,
        };
        let (answer, answered) = oneshot::channel();
        let command = Command::Call { call, send, answer };
        node.metrics.add(Counter::LedgerCalls, 1);
        self.shard(node, key).send(command).await.ok()?;
        answered.await.ok()
    }

    fn shard(&self, node: &Arc<Node>, key: CallKey) -> mpsc::Sender<Command> {
        let number = key.shard(SHARDS);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = shards.entry(number).or_insert_with(|| {
            let (sender, commands) = mpsc::channel(COMMANDS);
            let actor = Actor::new(node, number, sender.downgrade(), commands);
            node.background_tasks.spawn(actor.run());
            sender
        });
        sender.clone()
    }

    /// Lets the shards end once nobody waits for them.
    pub fn close(&self) {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        shards.clear();
    }
}

impl Actor {
    fn new(
        node: &Arc<Node>,
        number: u16,
        finished: mpsc::WeakSender<Command>,
        commands: mpsc::Receiver<Command>,
    ) -> Self {
        let seed = node.rng().random();
        let number = ShardNumber(number);
        let settings = Settings {
            min_write_interval: MIN_WRITE_INTERVAL,
            ..Settings::default()
        };
        Self {
            node: Arc::clone(node),
            shard: Shard::new(number, settings, seed, Instant::now()),
            commands,
            finished,
            waiting: HashMap::new(),
            store: None,
        }
    }

    async fn run(mut self) {
        while let Some(effects) = self.next().await {
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    /// Waits for the next input; `None` when the ledger was closed and all calls have ended.
    async fn next(&mut self) -> Option<Vec<Effect>> {
        let wake = self.shard.wake_at();
        // A branch that is never ready would keep the shard from its end.
        let has_store = self.store.is_some();
        let store = async {
            match &mut self.store {
                Some(store) => store.await,
                None => pending().await,
            }
        };
        let clock = async {
            match wake {
                Some(at) => time::sleep_until(at).await,
                None => pending().await,
            }
        };
        let is_idle = self.shard.is_idle() && self.waiting.is_empty();
        tokio::select! {
            stored = store, if has_store => {
                self.store = None;
                Some(self.stored(stored))
            }
            command = self.commands.recv(), if !self.commands.is_closed() || !self.commands.is_empty() => {
                command.map(|command| self.command(command)).or(Some(Vec::new()))
            }
            () = clock, if !(is_idle && self.commands.is_closed()) => {
                Some(self.shard.tick(Instant::now()))
            }
            else => None,
        }
    }

    fn command(&mut self, command: Command) -> Vec<Effect> {
        let now = Instant::now();
        match command {
            Command::Call { call, send, answer } => {
                self.waiting.insert(call.id, Wait { send, answer });
                self.shard.handle_call(call, now)
            }
            Command::Finish(finished) => self.shard.handle_finished_call(finished, now),
        }
    }

    fn stored(&mut self, stored: Stored) -> Vec<Effect> {
        let now = Instant::now();
        match stored {
            Stored::Listed(reply) => self.shard.handle_list_reply(reply, now),
            Stored::Read(reply) => self.shard.handle_read_reply(reply, now),
            Stored::Written(reply) => {
                if reply == WriteReply::Conflict {
                    self.node.metrics.add(Counter::LedgerRaces, 1);
                }
                self.shard.handle_write_reply(reply, now)
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let client = self.node.platform.clone();
        let store = match effect {
            Effect::List { prefix } => list(client, prefix).boxed(),
            Effect::Get { key } => get(client, key).boxed(),
            Effect::Create { key, value } => {
                self.node.metrics.add(Counter::LedgerBatches, 1);
                async move { written(client.create(&key, value).await) }.boxed()
            }
            Effect::Update {
                key,
                expected_version,
                value,
            } => async move { written(client.update(&key, expected_version, value).await) }.boxed(),
            Effect::Dispatch { id, unsent } => return self.dispatch(id, unsent),
            Effect::Answer { id, answer } => {
                if let Some(wait) = self.waiting.remove(&id) {
                    // A caller that went away no longer wants the answer.
                    let _ = wait.answer.send(answer);
                }
                return;
            }
            Effect::ReportCorruption { error } => {
                log::error!("the shard cannot be read: {error}");
                return;
            }
        };
        self.node.metrics.add(Counter::StoreCalls, 1);
        self.store = Some(store);
    }

    fn dispatch(&mut self, id: CallId, unsent: celerypond_ledger::UnsentCall) {
        let Some(wait) = self.waiting.get(&id) else {
            return;
        };
        let send = wait.send.clone();
        let node = Arc::clone(&self.node);
        // The sender keeps the shard alive until the outcome is in its hands.
        let Some(sender) = self.finished.upgrade() else {
            return;
        };
        self.node.background_tasks.spawn(async move {
            let finished = send.send_once(&node, unsent).await;
            // A shard ends only after all its calls have.
            let _ = sender.send(Command::Finish(finished)).await;
        });
    }
}

async fn list(client: Client, prefix: smol_str::SmolStr) -> Stored {
    Stored::Listed(match client.list_all(&prefix).await {
        Ok(listing) => ListReply::Listed(listing.objects),
        Err(_) => ListReply::Failed,
    })
}

async fn get(client: Client, key: smol_str::SmolStr) -> Stored {
    let result = client.get(&key).await;
    Stored::Read(ReadReply::from(result.map_err(context)))
}

fn written(
    result: Result<celerypond_platform::Version, error_stack::Report<PlatformError>>,
) -> Stored {
    Stored::Written(WriteReply::from(result.map_err(context)))
}

fn context(report: error_stack::Report<PlatformError>) -> PlatformError {
    *report.current_context()
}
