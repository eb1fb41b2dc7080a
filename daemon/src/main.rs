//! The daemon `celerypondd`.

use std::{fs, path::Path, process::ExitCode};

use celerypond_bundle::{LogLevel, Settings};
use celerypond_daemon::server;
use celerypond_telemetry as telemetry;
use tokio::runtime::{Builder, Runtime};

mod flags;
mod relaying;

/// The exit code if the settings are missing or have faults.
pub(crate) const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::Celerypondd::from_env_or_exit();
    if flags.relay {
        return relaying::main(flags.check);
    }
    let Some(path) = flags.config else {
        eprintln!("--config or --relay is needed");
        return ExitCode::from(BAD_SETTINGS);
    };
    let Some(settings) = read_settings(&path) else {
        return ExitCode::from(BAD_SETTINGS);
    };
    if flags.check {
        println!("the settings have no fault");
        return ExitCode::SUCCESS;
    }
    if let Err(report) = log_settings(&settings).install() {
        eprintln!("{report:#}");
        return ExitCode::FAILURE;
    }
    run(settings)
}

fn read_settings(path: &Path) -> Option<Settings> {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return None;
        }
    };
    match Settings::parse(&text) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", path.display());
            }
            None
        }
    }
}

fn run(settings: Settings) -> ExitCode {
    let runtime = match build_runtime(settings.threads) {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let served = runtime.block_on(async { server::run(settings, server::signals()?).await });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

fn build_runtime(threads: Option<usize>) -> std::io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    if let Some(threads) = threads {
        builder.worker_threads(threads);
    }
    builder.enable_all().build()
}

fn log_settings(settings: &Settings) -> telemetry::LogSettings {
    telemetry::LogSettings {
        level: match settings.log.level {
            LogLevel::Error => log::LevelFilter::Error,
            LogLevel::Warn => log::LevelFilter::Warn,
            LogLevel::Info => log::LevelFilter::Info,
            LogLevel::Debug => log::LevelFilter::Debug,
        },
        format: match settings.log.format {
            celerypond_bundle::LogFormat::Text => telemetry::LogFormat::Text,
            celerypond_bundle::LogFormat::Json => telemetry::LogFormat::Json,
        },
        output: match &settings.log.file {
            Some(path) => telemetry::Output::File(path.clone()),
            None => telemetry::Output::Stderr,
        },
    }
}
