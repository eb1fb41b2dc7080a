//! Scripted scenarios, one file each in `tests/scripts`.

use std::{collections::BTreeMap, error::Error, fmt::Write as _, time::Duration};

use celerypond_ledger::{
    Answer, Call, CallId, CallKey, Effect, FinishedCall, ListReply, NotRunCodes, ReadReply,
    RequestFingerprint, SentCall, ServiceResponse, Settings, Shard, ShardNumber, UnsentCall,
    WriteReply,
};
use celerypond_types::{NotRunReason, Outcome};
use goldenscript::{Command, Context, Runner};
use rstest::rstest;
use tokio::time::Instant;

use crate::memory_store::MemoryStore;

type Failure = Box<dyn Error>;

#[rstest]
#[case::same_key("same_key")]
#[case::paused_owner("paused_owner")]
#[case::lost_reply("lost_reply")]
#[case::store_down("store_down")]
#[case::crash("crash")]
fn a_script_goes_as_written(#[case] name: &str) {
    let path = format!("{}/tests/scripts/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(&mut Driver::new(), path).unwrap();
}

struct Driver {
    now: Instant,
    store: MemoryStore,
    shards: BTreeMap<String, Shard>,
    requests: BTreeMap<String, Effect>,
    unsent: BTreeMap<u64, UnsentCall>,
    sent: BTreeMap<u64, SentCall>,
    names: BTreeMap<CallKey, String>,
}

impl Driver {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            store: MemoryStore::new(),
            shards: BTreeMap::new(),
            requests: BTreeMap::new(),
            unsent: BTreeMap::new(),
            sent: BTreeMap::new(),
            names: BTreeMap::new(),
        }
    }

    fn shard(&mut self, node: &str) -> &mut Shard {
        let now = self.now;
        let seed = node.bytes().map(u64::from).sum();
        let new = || Shard::new(ShardNumber(0), Settings::default(), seed, now);
        self.shards.entry(node.to_owned()).or_insert_with(new)
    }

    /// Carries out the request of a node, as `how` says, and gives it the reply.
    fn store(&mut self, node: &str, how: &str) -> Result<Vec<Effect>, Failure> {
        let request = self.requests.remove(node).ok_or("no request")?;
        let now = self.now;
        let reaches = matches!(how, "" | "lost");
        let shard = self.shards.get_mut(node).ok_or("no such node")?;
        Ok(match request {
            Effect::List { .. } if how.is_empty() => {
                let objects = self.store.page("", usize::MAX);
                shard.handle_list_reply(ListReply::Listed(objects), now)
            }
            Effect::List { .. } => shard.handle_list_reply(ListReply::Failed, now),
            Effect::Get { key } if how.is_empty() => {
                shard.handle_read_reply(self.store.get(&key), now)
            }
            Effect::Get { .. } => shard.handle_read_reply(ReadReply::Failed, now),
            write => {
                let reply = reaches.then(|| self.store.write(&write));
                let heard = match (how, reply) {
                    ("", Some(reply)) => reply,
                    ("down", _) => WriteReply::NotApplied,
                    _ => WriteReply::Ambiguous,
                };
                shard.handle_write_reply(heard, now)
            }
        })
    }

    fn finish(&mut self, node: &str, finished: FinishedCall) -> Vec<Effect> {
        let now = self.now;
        self.shard(node).handle_finished_call(finished, now)
    }

    fn show(&mut self, node: &str, effects: Vec<Effect>) -> String {
        let mut out = String::new();
        for effect in effects {
            let line = self.line(&effect);
            // Writing to a string does not fail.
            _ = writeln!(out, "{node}: {line}");
            match effect {
                Effect::Dispatch { id, unsent } => _ = self.unsent.insert(id.0, unsent),
                Effect::Answer { .. } | Effect::ReportCorruption { .. } => {}
                request => _ = self.requests.insert(node.to_owned(), request),
            }
        }
        out
    }

    fn line(&self, effect: &Effect) -> String {
        match effect {
            Effect::List { prefix } => format!("list {prefix}"),
            Effect::Get { key } => format!("get {key}"),
            Effect::Create { key, value } => format!("create {key} [{}]", self.records(value)),
            Effect::Update {
                key,
                expected_version,
                value,
            } => {
                format!(
                    "update {key} at {expected_version} [{}]",
                    self.records(value)
                )
            }
            Effect::Dispatch { id, .. } => format!("dispatch {}", id.0),
            Effect::ReportCorruption { error } => error.to_string(),
            Effect::Answer { id, answer } => match answer {
                Answer::KeyReused => format!("answer {}: key reused", id.0),
                Answer::Outcome(Outcome::Ran(reply)) => {
                    format!("answer {}: ran {}", id.0, reply.status)
                }
                Answer::Outcome(Outcome::Unknown) => format!("answer {}: unknown", id.0),
                Answer::Outcome(Outcome::NotRun {
                    reason,
                    retry_after,
                }) => {
                    let wait = retry_after.as_millis();
                    format!("answer {}: not run, {reason}, retry in {wait} ms", id.0)
                }
            },
        }
    }

    fn records(&self, value: &[u8]) -> String {
        let batch: serde_json::Value = serde_json::from_slice(value).unwrap();
        let records = batch["records"].as_array().unwrap().iter().map(|record| {
            let key: CallKey = serde_json::from_value(record["key"].clone()).unwrap();
            let state = match &record["state"] {
                serde_json::Value::String(text) => text.clone(),
                other => other.as_object().unwrap().keys().next().unwrap().clone(),
            };
            format!("{} {state}", self.names[&key])
        });
        records.collect::<Vec<_>>().join(", ")
    }
}

impl Runner for Driver {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let node = args.next_pos().unwrap_or_default().to_owned();
        let word = args.next_pos().unwrap_or_default().to_owned();
        let id = word.parse().unwrap_or_default();
        let now = self.now;
        let effects = match &*command.name {
            "call" => {
                let name = args.next_pos().ok_or("no key")?;
                let key = CallKey::of(&"account".into(), &name.into());
                self.names.insert(key, name.to_owned());
                let body = args.take_key("body").unwrap_or_default();
                let call = Call {
                    id: CallId(id),
                    key,
                    fingerprint: RequestFingerprint::of("POST", "/holds", body.as_bytes()),
                    send_by: now + Duration::from_secs(2),
                    service_timeout: Duration::from_secs(5),
                };
                self.shard(&node).handle_call(call, now)
            }
            "store" => self.store(&node, &word)?,
            "tick" => self.shard(&node).tick(now),
            "crash" => {
                self.shards.remove(&node);
                self.requests.remove(&node);
                Vec::new()
            }
            "advance" => {
                self.now += Duration::from_millis(node.parse()?);
                return Ok(String::new());
            }
            "send" => match self
                .unsent
                .remove(&id)
                .ok_or("no permission")?
                .mark_sent(now)
            {
                Ok(sent) => {
                    self.sent.insert(id, sent);
                    return Ok(format!("service: run {id}\n"));
                }
                Err(finished) => self.finish(&node, finished),
            },
            "refuse" => {
                let unsent = self.unsent.remove(&id).ok_or("no permission")?;
                let wait = Duration::from_millis(100);
                self.finish(&node, unsent.not_run(NotRunReason::NotConnected, wait))
            }
            "answered" => {
                let sent = self.sent.remove(&id).ok_or("not sent")?;
                let status = args.next_pos().unwrap_or("200").parse()?;
                let not_run_codes = NotRunCodes::new(&[429]);
                let reply = ServiceResponse::new(status, "text/plain", "");
                self.finish(&node, sent.answered(reply, Duration::ZERO, &not_run_codes))
            }
            "unanswered" => {
                let sent = self.sent.remove(&id).ok_or("not sent")?;
                self.finish(&node, sent.unanswered())
            }
            other => return Err(format!("no command {other}").into()),
        };
        Ok(self.show(&node, effects))
    }
}
