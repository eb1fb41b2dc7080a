//! The command line tool `celerypond` for operators and callers.

use std::{process::ExitCode, time::Duration};

mod caller_commands;
mod context;
mod document_commands;
mod failure;
mod flags;
mod log_commands;
mod operator_commands;

use context::Context;
use failure::Failure;
use flags::{Celerypond, CelerypondCmd};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let flags = Celerypond::from_env_or_exit();
    match run(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("celerypond: {failure}");
            if let Some(hint) = failure.hint() {
                eprintln!("hint: {hint}");
            }
            failure.exit_code()
        }
    }
}

async fn run(flags: Celerypond) -> Result<(), Failure> {
    let context = Context::new(flags.at, flags.key_file, flags.json);
    match flags.subcommand {
        CelerypondCmd::Check(check) => document_commands::check(&context, &check),
        CelerypondCmd::Diff(diff) => document_commands::diff(&context, &diff).await,
        CelerypondCmd::Schema(schema) => document_commands::schema(&schema),
        CelerypondCmd::Submit(submit) => operator_commands::submit(&context, &submit).await,
        CelerypondCmd::Approve(approve) => operator_commands::approve(&context, &approve).await,
        CelerypondCmd::Roll(roll) => operator_commands::roll(&context, &roll).await,
        CelerypondCmd::Status(_) => operator_commands::status(&context).await,
        CelerypondCmd::History(_) => operator_commands::history(&context).await,
        CelerypondCmd::Explain(explain) => log_commands::explain(&context, &explain),
        CelerypondCmd::Losses(losses) => log_commands::losses(&context, &losses),
        CelerypondCmd::Entries(_) => caller_commands::entries(&context).await,
        CelerypondCmd::Generate(generate) => caller_commands::generate(&context, generate).await,
        CelerypondCmd::Call(call) => caller_commands::call(&context, call).await,
    }
}

/// Returns the timeout for `--limit-s`, or the default.
fn timeout(seconds: Option<u64>) -> Duration {
    const DEFAULT_S: u64 = 600;
    Duration::from_secs(seconds.unwrap_or(DEFAULT_S))
}
