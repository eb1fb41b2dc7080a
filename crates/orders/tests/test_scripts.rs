//! Simulations that are described by scripts, with the expected trace.

use std::{error::Error, time::Duration};

use celerypond_orders::{DesiredState, OrderSettings, StaleOrderGuard};
use goldenscript::{Command, Context, Runner};

use crate::simulation::{PausePoint, Simulation, ALWAYS};

struct Script {
    sim: Simulation,
    shown_lines: usize,
}

type Output = Result<String, Box<dyn Error>>;

impl Script {
    fn show(&mut self) -> String {
        let lines = self.sim.trace[self.shown_lines..].join("\n");
        self.shown_lines = self.sim.trace.len();
        let engines = self.sim.engines.iter();
        let states = engines.map(|(name, e)| format!("{name}: {} {:?}", e.role, e.versions));
        let states: Vec<String> = states.collect();
        format!("{lines}\n{}\n", states.join("\n"))
    }
}

fn seconds(text: &str) -> Result<Duration, Box<dyn Error>> {
    Ok(Duration::from_secs_f64(text.parse()?))
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut args = command.consume_args();
        let mut next = || args.next_pos().ok_or("missing argument");
        let sim = &mut self.sim;
        match command.name.as_str() {
            "engine" => {
                let guard = match next()? {
                    "fencing" => StaleOrderGuard::Fencing,
                    "idle-close" => StaleOrderGuard::IdleClose,
                    _ => StaleOrderGuard::Repair,
                };
                sim.add_engine(next()?, guard);
            }
            "want-lease" => sim.set_wanted(next()?.parse()?, true),
            "give-up-lease" => sim.set_wanted(next()?.parse()?, false),
            "set-desired" => {
                let instance = next()?.parse()?;
                let desired = DesiredState {
                    versions: [(next()?.into(), "w".into())].into(),
                    role: Some(next()?.into()),
                };
                sim.set_desired(instance, &desired);
            }
            "pause" => {
                let pause_point = match next()? {
                    "before-lease-check" => PausePoint::BeforeLeaseCheck,
                    "before-write" => PausePoint::BeforeWrite,
                    _ => PausePoint::AfterWrite,
                };
                sim.pause_rule = Some((pause_point, seconds(next()?)?, ALWAYS));
            }
            "store-down" => sim.store_down = true,
            "store-up" => sim.store_down = false,
            "run" => sim.run(seconds(next()?)?),
            "show" => return Ok(self.show()),
            name => return Err(format!("unknown command: {name}").into()),
        }
        Ok(String::new())
    }
}

#[rstest::rstest]
#[case("fencing")]
#[case("idle_close")]
#[case("repair")]
#[case("outage")]
fn a_script_gives_the_expected_trace(#[case] name: &str) {
    let settings = OrderSettings {
        repeat_interval: Duration::from_secs(20),
        ..OrderSettings::default()
    };
    let sim = Simulation::new(2, settings, 1);
    let mut script = Script {
        sim,
        shown_lines: 0,
    };
    goldenscript::run(&mut script, format!("tests/scripts/{name}.txt")).unwrap();
}
