//! Scenarios in tests/scripts, compared with their recorded output.

use std::{error::Error, fmt::Write as _, time::Duration};

use celerypond_fleet::{Brake, Gossip, GossipSettings, MemberState};
use celerypond_types::Revision;
use goldenscript::{ArgumentConsumer, Command, Context, Runner};

use crate::simulation::Simulation;

/// The simulation that a script controls, once started.
struct Script(Option<Simulation>);

type Output = Result<String, Box<dyn Error>>;

/// Parses the next argument of a command.
fn number<T: std::str::FromStr>(args: &mut ArgumentConsumer<'_>) -> Result<T, Box<dyn Error>> {
    let text = args.next_pos().ok_or("a number is missing")?;
    text.parse().map_err(|_| "not a number".into())
}

impl Script {
    fn simulation(&mut self) -> &mut Simulation {
        self.0.as_mut().unwrap()
    }

    /// Returns one line about each instance.
    fn show(&mut self) -> String {
        let mut text = String::new();
        for (index, node) in self.simulation().nodes.iter().enumerate() {
            match node {
                Some(node) => writeln!(text, "i{index}: {}", describe(node)).unwrap(),
                None => writeln!(text, "i{index}: down").unwrap(),
            }
        }
        text
    }
}

/// Returns what an instance knows.
fn describe(node: &Gossip) -> String {
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
                let index = number(&mut args)?;
                self.simulation().kill(index);
            }
            "start-instance" => {
                let (index, incarnation) = (number(&mut args)?, number(&mut args)?);
                self.simulation().start_instance(index, incarnation);
            }
            "partition" => {
                let (index, side): (usize, u8) = (number(&mut args)?, number(&mut args)?);
                self.simulation().partition[index] = side;
            }
            "raise-revision" => {
                let index = number(&mut args)?;
                let revision = Revision(number(&mut args)?);
                self.simulation()
                    .node(index)
                    .raise_acting_revision(revision);
                self.simulation().send_urgent(index);
            }
            "add-brake" => {
                let index = number(&mut args)?;
                let revision = Revision(number(&mut args)?);
                let version = args.next_pos().unwrap_or("v2").into();
                self.simulation()
                    .node(index)
                    .add_brake(Brake { revision, version });
                self.simulation().send_urgent(index);
            }
            "leave" => {
                let index = number(&mut args)?;
                self.simulation().node(index).announce_leaving();
                self.simulation().send_urgent(index);
            }
            "show" => return Ok(self.show()),
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_next()?;
        Ok(String::new())
    }
}

#[rstest::rstest]
#[case("outage")]
#[case("partition")]
fn script_output_is_as_recorded(#[case] name: &str) {
    goldenscript::run(&mut Script(None), format!("tests/scripts/{name}.txt")).unwrap();
}
