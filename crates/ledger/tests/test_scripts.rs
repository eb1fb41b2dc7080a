//! Scripted scenarios in `tests/scripts`. A script contains the inputs of the shards and the effects
//! that are expected.

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

type ScriptError = Box<dyn Error>;

#[rstest]
#[case::same_key("same_key")]
#[case::paused_writer("paused_writer")]
#[case::lost_reply("lost_reply")]
#[case::store_down("store_down")]
#[case::crash("crash")]
fn script_gives_the_expected_output(#[case] name: &str) {
    let path = format!("{}/tests/scripts/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(&mut ScriptRunner::new(), path).unwrap();
}

struct ScriptRunner {
    now: Instant,
    store: MemoryStore,
    /// The shards, by the name of the instance.
    shards: BTreeMap<String, Shard>,
    /// The store requests that are under way, by the name of the instance.
    requests: BTreeMap<String, Effect>,
    unsent: BTreeMap<u64, UnsentCall>,
    sent: BTreeMap<u64, SentCall>,
    /// The keys as the script names them.
    key_names: BTreeMap<CallKey, String>,
}

impl ScriptRunner {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            store: MemoryStore::new(),
            shards: BTreeMap::new(),
            requests: BTreeMap::new(),
            unsent: BTreeMap::new(),
            sent: BTreeMap::new(),
            key_names: BTreeMap::new(),
        }
    }

    fn shard(&mut self, instance: &str) -> &mut Shard {
        let now = self.now;
        let seed = instance.bytes().map(u64::from).sum();
        let new = || Shard::new(ShardNumber(0), Settings::default(), seed, now);
        self.shards.entry(instance.to_owned()).or_insert_with(new)
    }

    /// Carries out the store request of an instance and passes the reply to its shard. `fault` is empty,
    /// `lose-request`, `lose-reply` or `down`.
    fn answer_request(&mut self, instance: &str, fault: &str) -> Result<Vec<Effect>, ScriptError> {
        let request = self
            .requests
            .remove(instance)
            .ok_or("no request is under way")?;
        let now = self.now;
        let has_effect = matches!(fault, "" | "lose-reply");
        let shard = self.shards.get_mut(instance).ok_or("unknown instance")?;
        Ok(match request {
            Effect::List { .. } if fault.is_empty() => {
                let objects = self.store.page("", usize::MAX);
                shard.handle_list_reply(ListReply::Listed(objects), now)
            }
            Effect::List { .. } => shard.handle_list_reply(ListReply::Failed, now),
            Effect::Get { key } if fault.is_empty() => {
                shard.handle_read_reply(self.store.get(&key), now)
            }
            Effect::Get { .. } => shard.handle_read_reply(ReadReply::Failed, now),
            write => {
                let applied = has_effect.then(|| self.store.write(&write));
                let reply = match (fault, applied) {
                    ("", Some(reply)) => reply,
                    ("down", _) => WriteReply::NotApplied,
                    _ => WriteReply::Ambiguous,
                };
                shard.handle_write_reply(reply, now)
            }
        })
    }

    fn finish(&mut self, instance: &str, finished: FinishedCall) -> Vec<Effect> {
        let now = self.now;
        self.shard(instance).handle_finished_call(finished, now)
    }

    fn record_effects(&mut self, instance: &str, effects: Vec<Effect>) -> String {
        let mut out = String::new();
        for effect in effects {
            let line = self.format_effect(&effect);
            // Writing to a string can't fail.
            _ = writeln!(out, "{instance}: {line}");
            match effect {
                Effect::Dispatch { id, unsent } => _ = self.unsent.insert(id.0, unsent),
                Effect::Answer { .. } | Effect::ReportCorruption { .. } => {}
                request => _ = self.requests.insert(instance.to_owned(), request),
            }
        }
        out
    }

    fn format_effect(&self, effect: &Effect) -> String {
        match effect {
            Effect::List { prefix } => format!("list {prefix}"),
            Effect::Get { key } => format!("get {key}"),
            Effect::Create { key, value } => {
                format!("create {key} [{}]", self.format_records(value))
            }
            Effect::Update {
                key,
                expected_version,
                value,
            } => {
                format!(
                    "update {key} at {expected_version} [{}]",
                    self.format_records(value)
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

    fn format_records(&self, value: &[u8]) -> String {
        let batch: serde_json::Value = serde_json::from_slice(value).unwrap();
        let records = batch["records"].as_array().unwrap().iter().map(|record| {
            let key: CallKey = serde_json::from_value(record["key"].clone()).unwrap();
            let state = match &record["state"] {
                serde_json::Value::String(text) => text.clone(),
                other => other.as_object().unwrap().keys().next().unwrap().clone(),
            };
            format!("{} {state}", self.key_names[&key])
        });
        records.collect::<Vec<_>>().join(", ")
    }
}

impl Runner for ScriptRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, ScriptError> {
        let mut args = command.consume_args();
        let instance = args.next_pos().unwrap_or_default().to_owned();
        let argument = args.next_pos().unwrap_or_default().to_owned();
        let id = argument.parse().unwrap_or_default();
        let now = self.now;
        let effects = match &*command.name {
            "call" => {
                let name = args.next_pos().ok_or("no key")?;
                let key = CallKey::of(&"account".into(), &name.into());
                self.key_names.insert(key, name.to_owned());
                let body = args.take_key("body").unwrap_or_default();
                let call = Call {
                    id: CallId(id),
                    key,
                    fingerprint: RequestFingerprint::of("POST", "/holds", body.as_bytes()),
                    send_by: now + Duration::from_secs(2),
                    service_timeout: Duration::from_secs(5),
                };
                self.shard(&instance).handle_call(call, now)
            }
            "store" => self.answer_request(&instance, &argument)?,
            "tick" => self.shard(&instance).tick(now),
            "crash" => {
                self.shards.remove(&instance);
                self.requests.remove(&instance);
                Vec::new()
            }
            // The only argument is a duration in milliseconds.
            "advance" => {
                self.now += Duration::from_millis(instance.parse()?);
                return Ok(String::new());
            }
            "send" => match self
                .unsent
                .remove(&id)
                .ok_or("the call was not dispatched or was already sent")?
                .mark_sent(now)
            {
                Ok(sent) => {
                    self.sent.insert(id, sent);
                    return Ok(format!("service: run {id}\n"));
                }
                Err(finished) => self.finish(&instance, finished),
            },
            "refuse" => {
                let unsent = self
                    .unsent
                    .remove(&id)
                    .ok_or("the call was not dispatched or was already sent")?;
                let wait = Duration::from_millis(100);
                self.finish(&instance, unsent.not_run(NotRunReason::NotConnected, wait))
            }
            "answered" => {
                let sent = self.sent.remove(&id).ok_or("the call was not sent")?;
                let status = args.next_pos().unwrap_or("200").parse()?;
                let not_run_codes = NotRunCodes::new(&[429]);
                let response = ServiceResponse::new(status, "text/plain", "");
                self.finish(
                    &instance,
                    sent.answered(response, Duration::ZERO, &not_run_codes),
                )
            }
            "unanswered" => {
                let sent = self.sent.remove(&id).ok_or("the call was not sent")?;
                self.finish(&instance, sent.unanswered())
            }
            other => return Err(format!("unknown command {other}").into()),
        };
        Ok(self.record_effects(&instance, effects))
    }
}
