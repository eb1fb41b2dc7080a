//! Runs a stand-in until it is stopped, or the load generator.

use std::{fs, io, process::ExitCode, time::Duration};

use celerypond_testutils::{
    engine::{Engine, EngineSettings},
    load::LoadPlan,
    platform::Platform,
    server::Server,
    service::Service,
};
use celerypond_types::VersionName;

mod flags;

use flags::{CelerypondStandin, CelerypondStandinCmd};

const DEFAULT_TOKEN_INTERVAL_MS: u64 = 20;
const DEFAULT_SLOTS: usize = 64;
const DEFAULT_CALLERS: u64 = 12;
const DEFAULT_DURATION_S: u64 = 10;
const DEFAULT_MAX_TOKENS: u32 = 8;
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(50);

#[tokio::main]
async fn main() -> ExitCode {
    let flags = CelerypondStandin::from_env_or_exit();
    let command = match flags.subcommand {
        CelerypondStandinCmd::Load(flags) => return run_load(&flags).await,
        command => command,
    };
    match serve(command).await {
        Ok(mut server) => {
            eprintln!("listening on {}", server.address);
            server.wait().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("could not start the stand-in: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(command: CelerypondStandinCmd) -> io::Result<Server> {
    match command {
        CelerypondStandinCmd::Platform(flags) => {
            let list = serde_json::from_slice(&fs::read(flags.instances)?)?;
            let lag = Duration::from_millis(flags.lag_ms.unwrap_or(0));
            Platform::new(list, lag).serve(flags.listen).await
        }
        CelerypondStandinCmd::Engine(flags) => {
            let settings = EngineSettings {
                versions: flags.versions.iter().map(VersionName::new).collect(),
                token_interval: Duration::from_millis(
                    flags.gap_ms.unwrap_or(DEFAULT_TOKEN_INTERVAL_MS),
                ),
                prefill_per_token: PREFILL_PER_TOKEN,
                slots: flags.slots.unwrap_or(DEFAULT_SLOTS),
                checks_fencing: flags.checks_fencing,
            };
            Engine::new(settings).serve(flags.listen).await
        }
        CelerypondStandinCmd::Load(_) => Err(io::ErrorKind::Unsupported.into()),
        CelerypondStandinCmd::Service(flags) => Service::default().serve(flags.listen).await,
    }
}

async fn run_load(flags: &flags::Load) -> ExitCode {
    let addresses: Result<Vec<_>, _> = flags.at.split(',').map(str::parse).collect();
    let Ok(addresses) = addresses else {
        eprintln!("the addresses must be IP addresses with ports, separated by commas");
        return ExitCode::FAILURE;
    };
    let plan = LoadPlan {
        addresses,
        key: flags.key.clone(),
        model: flags.model.clone(),
        callers: flags.callers.unwrap_or(DEFAULT_CALLERS),
        duration: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_DURATION_S)),
        max_tokens: flags.tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    };
    let outcome = plan.run().await;
    println!(
        "{}",
        serde_json::to_string_pretty(&outcome).unwrap_or_default()
    );
    ExitCode::SUCCESS
}
