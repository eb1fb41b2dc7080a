//! Scripted scenarios.

use std::{error::Error, fmt::Write as _, time::Duration};

use celerypond_fleet::{Brake, Gossip, GossipSettings, MemberState};
use celerypond_types::Revision;
use goldenscript::{ArgumentConsumer, Command, Context, Runner};

use crate::simulation::Simulation;

struct Script(Option<Simulation>);

type Output = Result<String, Box<dyn Error>>;

fn number<T: std::str::FromStr>(args: &mut ArgumentConsumer<'_>) -> Result<T, Box<dyn Error>> {
    let text = args.next_pos().ok_or("a number is missing")?;
    text.parse().map_err(|_| "not a number".into())
}

impl Script {
    fn simulation(&mut self) -> &mut Simulation {
        self.0.as_mut().unwrap()
    }

    fn show(&mut self) -> String {
        let mut text = String::new();
        for (at, node) in self.simulation().nodes.iter().enumerate() {
            match node {
                Some(node) => writeln!(text, "i{at}: {}", line(node)).unwrap(),
                None => writeln!(text, "i{at}: down").unwrap(),
            }
        }
        text
    }
}

fn line(node: &Gossip) -> String {
    let names = |state| {
        let members = node.membership().in_state(state);
        let names: Vec<&str> = members.map(|m| m.name.as_str()).collect();
        names.join(" ")
    };
    let brakes: Vec<String> = node
        .facts()
        .brakes()
        .map(|brake| format!("{}@{}", brake.version, brake.revision))
        .collect();
    format!(
        "revision {} brakes [{}] live [{}] suspected [{}] leaving [{}]",
        node.facts().revision(),
        brakes.join(" "),
        names(MemberState::Live),
        names(MemberState::Suspected),
        names(MemberState::Leaving),
    )
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "start" => {
                let n = number(&mut args)?;
                self.0 = Some(Simulation::new(n, GossipSettings::default(), 1));
            }
            "run" => {
                let seconds = number(&mut args)?;
                self.simulation().run(Duration::from_secs(seconds));
            }
            "list" => self.simulation().update_all_lists(),
            "kill" => {
                let at = number(&mut args)?;
                self.simulation().kill(at);
            }
            "boot" => {
                let (at, incarnation) = (number(&mut args)?, number(&mut args)?);
                self.simulation().start_instance(at, incarnation);
            }
            "side" => {
                let (at, side): (usize, u8) = (number(&mut args)?, number(&mut args)?);
                self.simulation().partition[at] = side;
            }
            "raise" => {
                let at = number(&mut args)?;
                let revision = Revision(number(&mut args)?);
                self.simulation().node(at).raise_acting_revision(revision);
                self.simulation().send_urgent(at);
            }
            "trip" => {
                let at = number(&mut args)?;
                let revision = Revision(number(&mut args)?);
                let version = args.next_pos().unwrap_or("v2").into();
                self.simulation()
                    .node(at)
                    .add_brake(Brake { revision, version });
                self.simulation().send_urgent(at);
            }
            "leave" => {
                let at = number(&mut args)?;
                self.simulation().node(at).announce_leaving();
                self.simulation().send_urgent(at);
            }
            "show" => return Ok(self.show()),
            name => return Err(format!("no command {name}").into()),
        }
        args.reject_next()?;
        Ok(String::new())
    }
}

#[rstest::rstest]
#[case("outage")]
#[case("partition")]
fn a_scenario_ends_as_written(#[case] name: &str) {
    goldenscript::run(&mut Script(None), format!("tests/scripts/{name}.txt")).unwrap();
}
