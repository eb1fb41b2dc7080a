//! Scripted scenarios of a few instances; each script explains the failure that it guards against.

use std::{collections::BTreeMap, error::Error, fmt::Write as _};

use celerypond_bundle::Model;
use celerypond_rollout::{
    parse_json, rollout_key, share_increases, Condition, Failure, ModelPart, RequestClass, Rollout,
    RolloutConfig, RolloutController, StoreCall, StoreReply, Trial,
};
use celerypond_types::{InstanceName, Revision};
use goldenscript::Context;
use rstest::rstest;

use crate::{
    fake_fleet::{candidate, ORIGIN},
    fake_store::FakeStore,
    test_share_increase::model,
};

#[derive(Default)]
struct Script {
    controllers: BTreeMap<String, RolloutController>,
    incarnation: u64,
    versions: BTreeMap<String, u64>,
    planned: BTreeMap<String, Vec<Rollout>>,
    open: BTreeMap<String, u32>,
    live: Vec<InstanceName>,
    store: FakeStore,
    now: u64,
}

impl Script {
    fn models() -> [Model; 1] {
        [Model {
            complete_within_s: 100,
            deadline_ms: 10_000,
            ..model("v1", 100)
        }]
    }

    fn start(&mut self, name: &str) {
        self.incarnation += 1;
        let mut controller =
            RolloutController::new(name.into(), self.incarnation, RolloutConfig::default());
        let next = &Self::models()[0];
        let increases = share_increases(Some(&model("v1", 0)), next);
        let part = ModelPart {
            origin: ORIGIN,
            rolled_ms: 0,
            increases,
        };
        controller.set_parts(BTreeMap::from([(next.name.clone(), part)]));
        controller.set_live(&self.live);
        self.controllers.insert(name.to_owned(), controller);
    }

    fn read(&mut self, name: &str) -> &'static str {
        match self.store.call(&StoreCall::read(rollout_key(ORIGIN))) {
            StoreReply::Found { version, value } => {
                self.versions.insert(name.to_owned(), version);
                let rollout = parse_json(&value).unwrap();
                self.controllers
                    .get_mut(name)
                    .unwrap()
                    .merge_rollout(rollout);
                "read"
            }
            StoreReply::Missing => "missing",
            _ => "store down",
        }
    }

    fn plan_stages(&mut self, name: &str) -> String {
        let due = self.controllers[name].due_records(
            &Self::models(),
            |_| 100.0,
            !self.store.down,
            self.now,
        );
        let phases: Vec<_> = due
            .iter()
            .map(|rollout| format!("{:?}", rollout.versions[0].phase))
            .collect();
        self.planned.insert(name.to_owned(), due);
        if phases.is_empty() {
            "nothing due".to_owned()
        } else {
            phases.join(" ")
        }
    }

    fn write(&mut self, name: &str) -> String {
        let mut out = String::new();
        for rollout in self.planned.remove(name).unwrap_or_default() {
            let condition = match (rollout.step, self.versions.get(name)) {
                (1, _) | (_, None) => Condition::Absent,
                (_, Some(version)) => Condition::Version(*version),
            };
            let reply =
                self.store
                    .call(&StoreCall::write(rollout_key(ORIGIN), condition, &rollout));
            if let StoreReply::Written { version } = reply {
                self.versions.insert(name.to_owned(), version);
                self.controllers
                    .get_mut(name)
                    .unwrap()
                    .merge_rollout(rollout);
            }
            writeln!(out, "{reply:?}").unwrap();
        }
        out
    }

    fn apply(&mut self, name: &str) {
        let open = self.open.get(name).copied().unwrap_or(0);
        self.controllers
            .get_mut(name)
            .unwrap()
            .update_applied_state(ORIGIN, |_, _| open);
    }

    fn gossip(&mut self, from: &str, to: &str) {
        self.apply(from);
        let sender = self.controllers[from].clone();
        let receiver = self.controllers.get_mut(to).unwrap();
        receiver.merge_snapshot(&sender.snapshot());
        for report in sender.evidence().reports() {
            receiver.merge_report(report.clone());
        }
        for applied in self
            .live
            .iter()
            .filter_map(|name| sender.applied_states().get(name))
        {
            receiver.merge_applied_state(applied.clone());
        }
    }

    /// Records `count` requests for each version, which fail for the new one if it is bad.
    fn requests(&mut self, name: &str, count: u64, is_bad: bool) -> String {
        let controller = self.controllers.get_mut(name).unwrap();
        for at in 0..2 * count {
            let version = if at % 2 == 0 { "v2" } else { "v1" };
            let trial = Trial {
                model: "draft".into(),
                version: version.into(),
                class: RequestClass("draft".into()),
                target: format!("{version}-{}", 1 + at / 2 % 2).as_str().into(),
                is_first: true,
                begun_ms: self.now,
            };
            controller.record_sent(&trial);
            if is_bad && at % 2 == 0 {
                controller.record_failure(&trial, Failure::Error, self.now);
            } else {
                controller.record_success(&trial, 400_000);
            }
        }
        let is_braked = controller.evaluate(|_| 2, self.now);
        if is_braked {
            "version braked".to_owned()
        } else {
            String::new()
        }
    }

    fn status(&self) -> String {
        let mut out = String::new();
        let value = self
            .store
            .objects
            .get(&rollout_key(ORIGIN))
            .map(|(_, value)| value);
        if let Some(rollout) = value.and_then(|value| parse_json::<Rollout>(value)) {
            let record = &rollout.versions[0];
            writeln!(
                out,
                "store: {:?}, step {}, by {}",
                record.phase, rollout.step, rollout.by
            )
            .unwrap();
        }
        let change = share_increases(Some(&model("v1", 0)), &Self::models()[0]).remove(0);
        for (name, controller) in &self.controllers {
            let share = controller.local_share(ORIGIN, &change) / 10_000;
            let braked = controller.brakes().cause(ORIGIN, &candidate()).is_some();
            let applied = controller
                .applied_states()
                .get(&name.as_str().into())
                .and_then(|applied| applied.find(ORIGIN, &candidate()));
            let promised = applied.is_some_and(|applied| applied.promised);
            let synced = controller.is_synced();
            writeln!(
                out,
                "{name}: share {share} %, braked {braked}, promised {promised}, synced {synced}"
            )
            .unwrap();
        }
        out
    }
}

impl goldenscript::Runner for Script {
    type Command = goldenscript::Command;

    fn run(&mut self, command: &Self::Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let words: Vec<_> = std::iter::from_fn(|| args.next_pos().map(str::to_owned)).collect();
        let first = words.first().cloned().unwrap_or_default();
        match command.name.as_str() {
            // Starts instances, which are all that are live.
            "start" => {
                self.live = words.iter().map(InstanceName::new).collect();
                for name in &words {
                    self.start(name);
                }
            }
            // Restarts an instance, which loses its state.
            "restart" => self.start(&first),
            // Sets the time in seconds after the roll.
            "now" => self.now = first.parse::<u64>()? * 1_000,
            "store" => self.store.down = first == "down",
            // Sets the number of open answers of the base on an instance.
            "open" => {
                self.open.insert(first, words[1].parse()?);
            }
            // Reads the record from the store.
            "read" => return Ok(self.read(&first).to_owned()),
            // Plans the next record, which `write` writes.
            "plan" => return Ok(self.plan_stages(&first)),
            "write" => return Ok(self.write(&first)),
            // Reads, updates the applied state, plans and writes.
            "step" => {
                self.read(&first);
                self.apply(&first);
                let planned = self.plan_stages(&first);
                let written = self.write(&first);
                return Ok(format!("{planned}\n{written}"));
            }
            "apply" => self.apply(&first),
            // Sends all state of the first instance to the second.
            "gossip" => self.gossip(&first, &words[1]),
            // Records successful requests for both versions, and evaluates them.
            "succeed" => return Ok(self.requests(&first, words[1].parse()?, false)),
            // The same, but those for the new version fail.
            "fail" => return Ok(self.requests(&first, words[1].parse()?, true)),
            // Shows the status that operators get from an instance.
            "report" => {
                let controller = &self.controllers[&first];
                let status =
                    controller.reported_status(ORIGIN, &candidate(), !self.store.down, self.now);
                return Ok(serde_json::to_string(&status)?);
            }
            // Shows the record in the store and the state of each instance.
            "status" => return Ok(self.status()),
            name => return Err(format!("no command {name}").into()),
        }
        Ok(String::new())
    }
}

#[rstest]
#[case("promise")]
#[case("synced")]
#[case("partition")]
#[case("brake")]
#[case("race")]
fn scenario(#[case] name: &str) {
    assert!(ORIGIN > Revision(0));
    goldenscript::run(&mut Script::default(), format!("tests/scripts/{name}.txt")).unwrap();
}
