//! Runs one stand-in until it is stopped.

use std::{fs, io, process::ExitCode, time::Duration};

use celerypond_testutils::{
    engine::{Engine, EngineSettings},
    platform::Platform,
    server::Server,
    service::Service,
};
use celerypond_types::VersionName;

mod flags;

use flags::{CelerypondStandin, CelerypondStandinCmd};

const DEFAULT_GAP_MS: u64 = 20;
const DEFAULT_SLOTS: usize = 64;
const PREFILL: Duration = Duration::from_micros(50);

#[tokio::main]
async fn main() -> ExitCode {
    let flags = CelerypondStandin::from_env_or_exit();
    match serve(flags.subcommand).await {
        Ok(mut server) => {
            eprintln!("listening on {}", server.address);
            server.wait().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the stand-in could not start: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(command: CelerypondStandinCmd) -> io::Result<Server> {
    match command {
        CelerypondStandinCmd::Platform(flags) => {
            let listing = serde_json::from_slice(&fs::read(flags.instances)?)?;
            let lag = Duration::from_millis(flags.lag_ms.unwrap_or(0));
            Platform::new(listing, lag).serve(flags.listen).await
        }
        CelerypondStandinCmd::Engine(flags) => {
            let settings = EngineSettings {
                versions: flags.versions.iter().map(VersionName::new).collect(),
                gap: Duration::from_millis(flags.gap_ms.unwrap_or(DEFAULT_GAP_MS)),
                prefill: PREFILL,
                slots: flags.slots.unwrap_or(DEFAULT_SLOTS),
                checks_fencing: flags.checks_fencing,
            };
            Engine::new(settings).serve(flags.listen).await
        }
        CelerypondStandinCmd::Service(flags) => Service::default().serve(flags.listen).await,
    }
}
