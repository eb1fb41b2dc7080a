//! The subcommands for operators.

use std::time::Duration;

use celerypond_cli::Client;
use celerypond_types::Digest;
use http::Method;
use serde_json::{json, Value};

use crate::{
    context::Context,
    document_commands,
    failure::Failure,
    flags::{Approve, Roll, Submit},
};

/// The interval between two requests for the status.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Submits a bundle for approval.
pub(crate) async fn submit(context: &Context, submit: &Submit) -> Result<(), Failure> {
    let bundle = document_commands::read_bundle(context, &submit.file)?;
    let text = serde_json::to_vec(&bundle).unwrap_or_default();
    let value = context
        .client()?
        .operator(Method::POST, "submit", text)
        .await?;
    print_value(context, &value, || {
        println!("submitted {}", str_or_dash(&value["digest"]));
        println!(
            "another operator approves it with: celerypond approve {}",
            str_or_dash(&value["digest"])
        );
    });
    Ok(())
}

/// Approves a bundle.
pub(crate) async fn approve(context: &Context, approve: &Approve) -> Result<(), Failure> {
    let body = json!({ "digest": parse_digest(&approve.digest)? });
    let value = context
        .client()?
        .operator(Method::POST, "approve", body.to_string())
        .await?;
    print_value(context, &value, || {
        let operator = str_or_dash(&value["signature"]["operator"]);
        println!("approved {} by {operator}", str_or_dash(&value["digest"]));
    });
    Ok(())
}

/// Puts an approved bundle in force.
pub(crate) async fn roll(context: &Context, roll: &Roll) -> Result<(), Failure> {
    let body = json!({ "digest": parse_digest(&roll.digest)?, "expected": roll.expected });
    let client = context.client()?;
    let value = client
        .operator(Method::POST, "roll", body.to_string())
        .await?;
    if let Some(winner) = value.get("outrun_by") {
        print_value(context, &value, || {
            let operator = str_or_dash(&winner["signature"]["operator"]);
            println!("{operator} rolled revision {} first", winner["revision"]);
        });
        return Err(Failure::Superseded);
    }
    print_value(context, &value, || {
        println!("revision {} is accepted", value["revision"])
    });
    match (roll.wait, value["revision"].as_u64()) {
        (true, Some(revision)) => {
            wait(context, &client, revision, count_share_increases(&value)).await
        }
        _ => Ok(()),
    }
}

/// Returns the number of share increases in the response of `roll`, each of which is rolled out.
fn count_share_increases(response: &Value) -> usize {
    let parts = response["parts"].as_object().into_iter().flatten();
    parts
        .filter_map(|(_, part)| part["moves"].as_array())
        .map(Vec::len)
        .sum()
}

/// Waits until the rollouts of a revision have ended, and prints each change of the status to
/// stderr.
async fn wait(
    context: &Context,
    client: &Client,
    revision: u64,
    expected_rollouts: usize,
) -> Result<(), Failure> {
    let mut printed = String::new();
    loop {
        // Failed requests are repeated, since the rollouts do not depend on them.
        if let Ok(status) = client.operator(Method::GET, "status", "").await {
            let line = status_line(&status);
            if line != printed {
                eprintln!("{line}");
                printed = line;
            }
            if let Some(ending) = ending(&status, revision, expected_rollouts) {
                print_value(context, &status, || println!("{}", ending.text()));
                return ending.result();
            }
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// How the rollouts of a revision ended.
#[derive(Clone, Copy)]
enum Ending {
    Done,
    RolledBack,
    Superseded,
}

impl Ending {
    fn text(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::RolledBack => "taken back",
            Self::Superseded => "superseded by a later bundle",
        }
    }

    fn result(self) -> Result<(), Failure> {
        match self {
            Self::Done => Ok(()),
            Self::RolledBack => Err(Failure::RolledBack),
            Self::Superseded => Err(Failure::Superseded),
        }
    }
}

/// Returns how the rollouts of a revision ended, or `None` if they have not ended.
///
/// A status with an older revision is ignored: it comes from an instance that does not have the new
/// bundle yet, and the rollouts in it are those of the previous bundle.
fn ending(status: &Value, revision: u64, expected_rollouts: usize) -> Option<Ending> {
    let current = status["revision"].as_u64()?;
    if current > revision {
        return Some(Ending::Superseded);
    }
    if current < revision {
        return None;
    }
    if expected_rollouts == 0 {
        return is_in_force_everywhere(status).then_some(Ending::Done);
    }
    // If one version was rolled back, the bundle was not fully carried out.
    let rollouts = status["rollouts"].as_array()?;
    let endings: Option<Vec<&str>> = rollouts
        .iter()
        .map(|rollout| rollout["ending"].as_str())
        .collect();
    let endings = endings.filter(|endings| endings.len() >= expected_rollouts)?;
    match endings.contains(&"taken_back") {
        true => Some(Ending::RolledBack),
        false => Some(Ending::Done),
    }
}

fn is_in_force_everywhere(status: &Value) -> bool {
    let on = status["in_force"]["on"].as_u64();
    on.is_some_and(|on| on > 0) && on == status["in_force"]["of"].as_u64()
}

fn status_line(status: &Value) -> String {
    let in_force = &status["in_force"];
    let stage = str_or_dash(&status["rollout"]["stage"]);
    let revision = &status["revision"];
    format!(
        "revision {revision} in force on {} of {}, rollout {stage}",
        in_force["on"], in_force["of"]
    )
}

/// Prints which bundle is in force and the state of its rollout.
pub(crate) async fn status(context: &Context) -> Result<(), Failure> {
    let value = context
        .client()?
        .operator(Method::GET, "status", "")
        .await?;
    print_value(context, &value, || {
        println!("{}", status_line(&value));
        println!("bundle {}", str_or_dash(&value["digest"]));
    });
    Ok(())
}

/// Prints the steps of operators.
pub(crate) async fn history(context: &Context) -> Result<(), Failure> {
    let value = context
        .client()?
        .operator(Method::GET, "history", "")
        .await?;
    print_value(context, &value, || {
        let steps = value["steps"].as_array();
        steps
            .into_iter()
            .flatten()
            .for_each(|step| println!("{}", history_line(step)));
    });
    Ok(())
}

fn history_line(step: &Value) -> String {
    let at_ms = step["signature"]["at_ms"].as_u64().unwrap_or_default();
    let at = std::time::UNIX_EPOCH + std::time::Duration::from_millis(at_ms);
    let operator = str_or_dash(&step["signature"]["operator"]);
    let action = str_or_dash(&step["action"]["step"]);
    let revision = match step["action"].get("revision") {
        Some(revision) => format!(" as revision {revision}"),
        None => String::new(),
    };
    let time = humantime::format_rfc3339_millis(at);
    format!(
        "{time} {operator} {action} {}{revision}",
        str_or_dash(&step["digest"])
    )
}

fn parse_digest(text: &str) -> Result<Digest, Failure> {
    text.parse()
        .map_err(|_| Failure::InvalidArgument(text.to_owned(), "a digest of 64 hexadecimal digits"))
}

fn str_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// Prints the value as JSON if `--json` is given, and calls `print_text` otherwise.
fn print_value(context: &Context, value: &Value, print_text: impl FnOnce()) {
    if context.json {
        context.print(value);
    } else {
        print_text();
    }
}
