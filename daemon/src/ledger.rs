//! Runs the ledger of keyed calls, with one task for each shard that this instance uses.

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

/// The number of shards of the key space. It must be the same at all instances and must never
/// change.
///
/// Fewer shards make larger batches; `docs/design/ledger.md` has the measurement.
pub const SHARD_COUNT: u16 = 4;
/// The minimum interval between two writes of a shard, so that all shards together stay within the
/// store's write rate.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(14);
/// The number of commands that may wait for a shard.
const COMMAND_QUEUE_LENGTH: usize = 1024;
/// The time left until a call's deadline is divided by this to get the timeout of the service; the
/// rest is for recording the intent.
const SERVICE_TIMEOUT_DIVISOR: u32 = 2;

/// The shards of keyed calls that this instance uses.
#[derive(Default)]
pub struct Ledger {
    shards: Mutex<HashMap<u16, mpsc::Sender<Command>>>,
    next_call_id: AtomicU64,
}

enum Command {
    Call {
        call: Call,
        service_call: ServiceCall,
        answer: oneshot::Sender<Answer>,
    },
    Finish(FinishedCall),
}

/// The reply to a store call; a shard has at most one in flight.
enum StoreReply {
    Listed(ListReply),
    Read(ReadReply),
    Written(WriteReply),
}

struct ShardTask {
    node: Arc<Node>,
    shard: Shard,
    commands: mpsc::Receiver<Command>,
    /// Sends finished calls back to this task; weak, so that it does not keep the task from ending.
    command_sender: mpsc::WeakSender<Command>,
    waiting: HashMap<CallId, WaitingCall>,
    /// The store call in flight.
    store_call: Option<BoxFuture<'static, StoreReply>>,
}

/// A call whose caller waits for the answer.
struct WaitingCall {
    service_call: ServiceCall,
    answer: oneshot::Sender<Answer>,
}

impl Ledger {
    /// Runs a keyed call at most once and waits for its outcome; `None` if the instance shuts down.
    pub async fn call(
        &self,
        node: &Arc<Node>,
        key: CallKey,
        service_call: ServiceCall,
    ) -> Option<Answer> {
        let now = Instant::now();
        let time_left = service_call.deadline.saturating_duration_since(now);
        let service_timeout = time_left / SERVICE_TIMEOUT_DIVISOR;
        let call = Call {
            id: CallId(self.next_call_id.fetch_add(1, Relaxed)),
            key,
            fingerprint: service_call.fingerprint(),
            send_by: now + (time_left - service_timeout),
            service_timeout,
        };
        let (answer, answer_receiver) = oneshot::channel();
        let command = Command::Call {
            call,
            service_call,
            answer,
        };
        node.metrics.add(Counter::LedgerCalls, 1);
        self.shard_task(node, key).send(command).await.ok()?;
        answer_receiver.await.ok()
    }

    /// Returns the command channel of a key's shard, and starts its task on first use.
    fn shard_task(&self, node: &Arc<Node>, key: CallKey) -> mpsc::Sender<Command> {
        let number = key.shard(SHARD_COUNT);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = shards.entry(number).or_insert_with(|| {
            let (sender, commands) = mpsc::channel(COMMAND_QUEUE_LENGTH);
            let task = ShardTask::new(node, number, sender.downgrade(), commands);
            node.background_tasks.spawn(task.run());
            sender
        });
        sender.clone()
    }

    /// Lets each shard's task end as soon as all its calls have ended.
    pub fn close(&self) {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        shards.clear();
    }
}

impl ShardTask {
    fn new(
        node: &Arc<Node>,
        number: u16,
        command_sender: mpsc::WeakSender<Command>,
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
            command_sender,
            waiting: HashMap::new(),
            store_call: None,
        }
    }

    async fn run(mut self) {
        while let Some(effects) = self.next_effects().await {
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    /// Waits for the next input and returns its effects; `None` if the ledger was closed and all
    /// calls have ended.
    async fn next_effects(&mut self) -> Option<Vec<Effect>> {
        let wake_at = self.shard.wake_at();
        // The branch must be disabled without a store call: `select!` takes its `else` branch,
        // which ends the task, only if all others are disabled.
        let has_store_call = self.store_call.is_some();
        let store_call = async {
            match &mut self.store_call {
                Some(store_call) => store_call.await,
                None => pending().await,
            }
        };
        let timer = async {
            match wake_at {
                Some(at) => time::sleep_until(at).await,
                None => pending().await,
            }
        };
        let is_idle = self.shard.is_idle() && self.waiting.is_empty();
        tokio::select! {
            reply = store_call, if has_store_call => {
                self.store_call = None;
                Some(self.handle_store_reply(reply))
            }
            command = self.commands.recv(), if !self.commands.is_closed() || !self.commands.is_empty() => {
                command.map(|command| self.handle_command(command)).or(Some(Vec::new()))
            }
            () = timer, if !(is_idle && self.commands.is_closed()) => {
                Some(self.shard.tick(Instant::now()))
            }
            else => None,
        }
    }

    fn handle_command(&mut self, command: Command) -> Vec<Effect> {
        let now = Instant::now();
        match command {
            Command::Call {
                call,
                service_call,
                answer,
            } => {
                self.waiting.insert(
                    call.id,
                    WaitingCall {
                        service_call,
                        answer,
                    },
                );
                self.shard.handle_call(call, now)
            }
            Command::Finish(finished) => self.shard.handle_finished_call(finished, now),
        }
    }

    fn handle_store_reply(&mut self, reply: StoreReply) -> Vec<Effect> {
        let now = Instant::now();
        match reply {
            StoreReply::Listed(reply) => self.shard.handle_list_reply(reply, now),
            StoreReply::Read(reply) => self.shard.handle_read_reply(reply, now),
            StoreReply::Written(reply) => {
                if reply == WriteReply::Conflict {
                    self.node.metrics.add(Counter::LedgerRaces, 1);
                }
                self.shard.handle_write_reply(reply, now)
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let client = self.node.platform.clone();
        let store_call = match effect {
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
                if let Some(waiting) = self.waiting.remove(&id) {
                    // This fails if the caller has disconnected.
                    let _ = waiting.answer.send(answer);
                }
                return;
            }
            Effect::ReportCorruption { error } => {
                log::error!(
                    "a ledger shard refuses calls because an object cannot be decoded: {error}"
                );
                return;
            }
        };
        self.node.metrics.add(Counter::StoreCalls, 1);
        self.store_call = Some(store_call);
    }

    fn dispatch(&mut self, id: CallId, unsent: celerypond_ledger::UnsentCall) {
        let Some(waiting) = self.waiting.get(&id) else {
            return;
        };
        let service_call = waiting.service_call.clone();
        let node = Arc::clone(&self.node);
        // The sender keeps the task of the shard alive until it has received the finished call.
        let Some(sender) = self.command_sender.upgrade() else {
            return;
        };
        self.node.background_tasks.spawn(async move {
            let finished = service_call.send_once(&node, unsent).await;
            // The task of the shard ends only after all its calls have ended, so this does not
            // fail.
            let _ = sender.send(Command::Finish(finished)).await;
        });
    }
}

async fn list(client: Client, prefix: smol_str::SmolStr) -> StoreReply {
    StoreReply::Listed(match client.list_all(&prefix).await {
        Ok(listing) => ListReply::Listed(listing.objects),
        Err(_) => ListReply::Failed,
    })
}

async fn get(client: Client, key: smol_str::SmolStr) -> StoreReply {
    let result = client.get(&key).await;
    StoreReply::Read(ReadReply::from(result.map_err(error_of)))
}

fn written(
    result: Result<celerypond_platform::Version, error_stack::Report<PlatformError>>,
) -> StoreReply {
    StoreReply::Written(WriteReply::from(result.map_err(error_of)))
}

fn error_of(report: error_stack::Report<PlatformError>) -> PlatformError {
    *report.current_context()
}
