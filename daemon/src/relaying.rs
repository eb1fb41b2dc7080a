//! The daemon as an instance that relays requests.

use std::{process::ExitCode, thread, time::Duration};

use celerypond_daemon::relay;
use celerypond_relay::Settings;
use celerypond_telemetry::{LogFormat, LogSettings, Output};
use tokio::runtime::{Builder, Runtime};

use crate::BAD_SETTINGS;

/// How long a panicking thread waits until its log line is written. It is a thread that serves
/// requests, and the reader of the log may have stopped.
const PANIC_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The interval at which a settings file with faults is read again.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the instance, or only checks its settings if `check` is set.
pub(crate) fn main(check: bool) -> ExitCode {
    if let Err(error) = relay::ignore_signals() {
        eprintln!("cannot install signal handlers: {error}");
        return ExitCode::FAILURE;
    }
    let settings = match relay::read_settings() {
        Ok(settings) => settings,
        Err(faults) => {
            report(&faults);
            if check {
                return ExitCode::from(BAD_SETTINGS);
            }
            wait_for_settings(faults)
        }
    };
    if check {
        println!("the settings have no fault");
        return ExitCode::SUCCESS;
    }
    serve(settings)
}

/// Waits until the settings file has no faults; `faults` are those that were reported. The file may
/// be written while the process starts.
fn wait_for_settings(mut faults: Vec<String>) -> Settings {
    loop {
        thread::sleep(SETTINGS_POLL_INTERVAL);
        match relay::read_settings() {
            Ok(settings) => return settings,
            Err(found) if found == faults => {}
            Err(found) => {
                report(&found);
                faults = found;
            }
        }
    }
}

fn report(faults: &[String]) {
    for fault in faults {
        eprintln!("{fault}");
    }
}

fn serve(settings: Settings) -> ExitCode {
    let logs = LogSettings {
        level: log::LevelFilter::Info,
        format: LogFormat::Json,
        output: Output::Stdout,
    };
    // Pending lines are written when this is dropped.
    let writing = match logs.install_rate_limited(&relay::LOG_LIMITER) {
        Ok(thread) => thread,
        Err(report) => {
            eprintln!("{report:#}");
            return ExitCode::FAILURE;
        }
    };
    celerypond_telemetry::install_panic_hook(&writing, PANIC_FLUSH_TIMEOUT);
    let runtime = match runtime(settings.cores) {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!(error:% = error; "cannot start the runtime");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(relay::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!(error:% = report; "cannot run the instance");
            ExitCode::FAILURE
        }
    }
}

/// On one core, further threads only cost memory and context switches.
fn runtime(cores: usize) -> std::io::Result<Runtime> {
    if cores <= 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    Builder::new_multi_thread()
        .worker_threads(cores)
        .enable_all()
        .build()
}
