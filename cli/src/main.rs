//! The command line tool `celerypond`.

use std::{process::ExitCode, time::Duration};

mod caller;
mod context;
mod documents;
mod exit;
mod flags;
mod log_commands;
mod operator;

use context::Context;
use exit::Failure;
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
            failure.code()
        }
    }
}

async fn run(flags: Celerypond) -> Result<(), Failure> {
    let context = Context::new(flags.at, flags.key_file, flags.json);
    match flags.subcommand {
        CelerypondCmd::Check(check) => documents::check(&context, &check),
        CelerypondCmd::Diff(diff) => documents::diff(&context, &diff).await,
        CelerypondCmd::Schema(schema) => documents::schema(&schema),
        CelerypondCmd::Submit(submit) => operator::submit(&context, &submit).await,
        CelerypondCmd::Approve(approve) => operator::approve(&context, &approve).await,
        CelerypondCmd::Roll(roll) => operator::roll(&context, &roll).await,
        CelerypondCmd::Status(_) => operator::status(&context).await,
        CelerypondCmd::History(_) => operator::history(&context).await,
        CelerypondCmd::Explain(explain) => log_commands::explain(&context, &explain),
        CelerypondCmd::Losses(losses) => log_commands::losses(&context, &losses),
        CelerypondCmd::Entries(_) => caller::entries(&context).await,
        CelerypondCmd::Generate(generate) => caller::generate(&context, generate).await,
        CelerypondCmd::Call(call) => caller::call(&context, call).await,
    }
}

/// Returns a limit in seconds, or the one that fits most commands.
fn limit(seconds: Option<u64>) -> Duration {
    const DEFAULT_S: u64 = 600;
    Duration::from_secs(seconds.unwrap_or(DEFAULT_S))
}
