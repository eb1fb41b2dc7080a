//! Scripted scenarios. The scripts contain the injected faults and the expected actions and
//! results.

use std::{error::Error, fmt::Write as _, time::Duration};

use celerypond_answer::{DeliveryMode, ExtensionLimits};
use goldenscript::{Argument, Command, Context};
use rstest::rstest;

use crate::simulation::{Fault, Simulation, CURRENT};

struct Runner(Simulation);

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let simulation = &mut self.0;
        match command.name.as_str() {
            "cluster" => {
                let count = |key: Option<&str>, other| key.map_or(Ok(other), str::parse);
                let engines = count(args.take_key("engines"), 2)?;
                let instances = count(args.take_key("instances"), 1)?;
                *simulation = Simulation::new(engines, instances, 0);
                simulation.limit = count(args.take_key("limit"), 20)? as u32;
                simulation.deadline = ms(args.take_key("deadline").unwrap_or("5000"))?;
                simulation.nondeterministic = args.take_key("nondeterministic").is_some();
                simulation.sends_tokens = args.take_key("sends-tokens").is_some();
                simulation.record_delay = ms(args.take_key("record-delay").unwrap_or("0"))?;
                if let Some(after) = args.take_key("extend-after") {
                    let after = after.parse()?;
                    simulation.record_extension = ExtensionLimits {
                        min_length: after,
                        batch: 4,
                    };
                }
                if args.take_key("mode") == Some("buffered") {
                    simulation.mode = DeliveryMode::Buffered;
                }
            }
            "call" => drop(simulation.call()),
            "at" => {
                let after = ms(args.next_pos().ok_or("no time")?)?;
                simulation.inject_after(after, fault(&mut args)?);
            }
            "when" => {
                let tokens = args.next_pos().ok_or("no count")?.parse()?;
                simulation.inject_at_token(tokens, fault(&mut args)?);
            }
            "run" => return outcome(simulation.run()),
            other => return Err(format!("unknown command {other}").into()),
        }
        args.reject_next()?;
        Ok(String::new())
    }
}

fn ms(text: &str) -> Result<Duration, Box<dyn Error>> {
    Ok(Duration::from_millis(text.parse()?))
}

fn fault<'a>(args: &mut impl Iterator<Item = &'a Argument>) -> Result<Fault, Box<dyn Error>> {
    let words: Vec<&str> = args
        .filter_map(|arg| match arg {
            Argument::Positional(word) => Some(word.as_str()),
            _ => None,
        })
        .collect();
    let index = |word: &str| match word {
        "current" => Ok(CURRENT),
        word => word.parse(),
    };
    Ok(match words[..] {
        ["kill-engine", at] => Fault::KillEngine(index(at)?),
        ["pause-engine", at, time] => Fault::PauseEngine(index(at)?, ms(time)?),
        ["silence", at] => Fault::Silence(index(at)?),
        ["slow", at, time] => Fault::Slow(index(at)?, ms(time)?),
        ["load", at, version] => Fault::Load(index(at)?, version.into()),
        ["unload", at] => Fault::Unload(index(at)?),
        ["kill-instance", at] => Fault::KillInstance(index(at)?),
        ["pause-instance", at, time] => Fault::PauseInstance(index(at)?, ms(time)?),
        ["reconnect", at] => Fault::Reconnect(index(at)?),
        ["disconnect", at] => Fault::Disconnect(index(at)?),
        ["lose-keepers"] => Fault::LoseKeepers,
        _ => return Err(format!("unknown fault {words:?}").into()),
    })
}

fn outcome(simulation: &mut Simulation) -> Result<String, Box<dyn Error>> {
    let mut text = simulation.log.join("\n");
    for at in 0..simulation.callers.len() {
        let caller = &simulation.callers[at];
        let end = match (&caller.finish, &caller.failure) {
            (Some(finish), _) => format!("complete, {} of {}", finish.length, finish.version),
            (None, Some(error)) => format!("failed: {error}"),
            (None, None) => "not ended".to_owned(),
        };
        let check = simulation
            .check_output(at)
            .unwrap_or_else(|| "consistent".to_owned());
        let delivered = caller.tokens.len();
        write!(text, "\ncaller {at}: {delivered} delivered, {check}; {end}")?;
    }
    writeln!(text, "\ngenerated {}", simulation.generated)?;
    Ok(text)
}

#[rstest]
fn scenario_matches_script(
    #[files("tests/scripts/*.txt")]
    #[base_dir = "."]
    path: std::path::PathBuf,
) {
    goldenscript::run(&mut Runner(Simulation::new(0, 0, 0)), path).unwrap();
}
