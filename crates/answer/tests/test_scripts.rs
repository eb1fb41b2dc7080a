//! Scripted scenarios; the scripts say what happens and what the caller and the engines see.

use std::{error::Error, fmt::Write as _, time::Duration};

use celerypond_answer::{DeliveryMode, ExtensionLimits};
use goldenscript::{Argument, Command, Context};
use rstest::rstest;

use crate::world::{Fault, World, CURRENT};

struct Runner(World);

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let world = &mut self.0;
        match command.name.as_str() {
            "world" => {
                let count = |key: Option<&str>, other| key.map_or(Ok(other), str::parse);
                let engines = count(args.take_key("engines"), 2)?;
                let routers = count(args.take_key("routers"), 1)?;
                *world = World::new(engines, routers, 0);
                world.limit = count(args.take_key("limit"), 20)? as u32;
                world.deadline = ms(args.take_key("deadline").unwrap_or("5000"))?;
                world.drifts = args.take_key("drifts").is_some();
                world.brings = args.take_key("brings").is_some();
                world.settle = ms(args.take_key("settle").unwrap_or("0"))?;
                if let Some(after) = args.take_key("copies") {
                    let after = after.parse()?;
                    world.copies = ExtensionLimits {
                        min_length: after,
                        batch: 4,
                    };
                }
                if args.take_key("mode") == Some("buffered") {
                    world.mode = DeliveryMode::Buffered;
                }
            }
            "call" => drop(world.call()),
            "at" => {
                let after = ms(args.next_pos().ok_or("no time")?)?;
                world.later(after, fault(&mut args)?);
            }
            "when" => {
                let tokens = args.next_pos().ok_or("no count")?.parse()?;
                world.when(tokens, fault(&mut args)?);
            }
            "run" => return outcome(world.run()),
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
        ["kill", at] => Fault::Kill(index(at)?),
        ["pause", at, time] => Fault::Pause(index(at)?, ms(time)?),
        ["silence", at] => Fault::Silence(index(at)?),
        ["slow", at, time] => Fault::Slow(index(at)?, ms(time)?),
        ["load", at, version] => Fault::Load(index(at)?, version.into()),
        ["unload", at] => Fault::Unload(index(at)?),
        ["kill-router", at] => Fault::KillRouter(index(at)?),
        ["pause-router", at, time] => Fault::PauseRouter(index(at)?, ms(time)?),
        ["reconnect", at] => Fault::Reconnect(index(at)?),
        ["leave", at] => Fault::Leave(index(at)?),
        ["lose-keepers"] => Fault::LoseKeepers,
        _ => return Err(format!("unknown fault {words:?}").into()),
    })
}

fn outcome(world: &mut World) -> Result<String, Box<dyn Error>> {
    let mut text = world.log.join("\n");
    for at in 0..world.callers.len() {
        let caller = &world.callers[at];
        let end = match (&caller.finish, &caller.failure) {
            (Some(finish), _) => format!("whole, {} of {}", finish.length, finish.version),
            (None, Some(error)) => format!("failed: {error}"),
            (None, None) => "no end".to_owned(),
        };
        let check = world.fault(at).unwrap_or_else(|| "right".to_owned());
        let shown = caller.tokens.len();
        write!(text, "\ncaller {at}: {shown} shown, {check}; {end}")?;
    }
    writeln!(text, "\ngenerated {}", world.generated)?;
    Ok(text)
}

#[rstest]
fn scenario_goes_as_the_script_says(
    #[files("tests/scripts/*.txt")]
    #[base_dir = "."]
    path: std::path::PathBuf,
) {
    goldenscript::run(&mut Runner(World::new(0, 0, 0)), path).unwrap();
}
