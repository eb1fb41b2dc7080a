//! The operators' commands.

use std::time::Duration;

use celerypond_cli::Client;
use celerypond_types::Digest;
use http::Method;
use serde_json::{json, Value};

use crate::{
    context::Context,
    documents,
    exit::Failure,
    flags::{Approve, Roll, Submit},
};

/// The time between two questions for the status.
const PAUSE: Duration = Duration::from_secs(1);

/// Submits a bundle.
pub(crate) async fn submit(context: &Context, submit: &Submit) -> Result<(), Failure> {
    let bundle = documents::bundle(context, &submit.file)?;
    let text = serde_json::to_vec(&bundle).unwrap_or_default();
    let value = context
        .client()?
        .operator(Method::POST, "submit", text)
        .await?;
    show(context, &value, || {
        println!("submitted {}", text_of(&value["digest"]));
        println!(
            "another operator approves it with: celerypond approve {}",
            text_of(&value["digest"])
        );
    });
    Ok(())
}

/// Approves a bundle.
pub(crate) async fn approve(context: &Context, approve: &Approve) -> Result<(), Failure> {
    let body = json!({ "digest": digest(&approve.digest)? });
    let value = context
        .client()?
        .operator(Method::POST, "approve", body.to_string())
        .await?;
    show(context, &value, || {
        let who = text_of(&value["signature"]["operator"]);
        println!("approved {} by {who}", text_of(&value["digest"]));
    });
    Ok(())
}

/// Puts a bundle in force.
pub(crate) async fn roll(context: &Context, roll: &Roll) -> Result<(), Failure> {
    let body = json!({ "digest": digest(&roll.digest)?, "expected": roll.expected });
    let client = context.client()?;
    let value = client
        .operator(Method::POST, "roll", body.to_string())
        .await?;
    if let Some(winner) = value.get("outrun_by") {
        show(context, &value, || {
            let who = text_of(&winner["signature"]["operator"]);
            println!("{who} rolled revision {} first", winner["revision"]);
        });
        return Err(Failure::Outrun);
    }
    show(context, &value, || {
        println!("revision {} is accepted", value["revision"])
    });
    match (roll.wait, value["revision"].as_u64()) {
        (true, Some(revision)) => wait(context, &client, revision, moves(&value)).await,
        _ => Ok(()),
    }
}

/// Returns how many moves of traffic the rolled bundle asks for.
fn moves(rolled: &Value) -> usize {
    let parts = rolled["parts"].as_object().into_iter().flatten();
    parts
        .filter_map(|(_, part)| part["moves"].as_array())
        .map(Vec::len)
        .sum()
}

/// Follows a rollout to its end and shows each change on the standard error.
async fn wait(
    context: &Context,
    client: &Client,
    revision: u64,
    moves: usize,
) -> Result<(), Failure> {
    let mut shown = String::new();
    loop {
        // A question that fails is asked again: the rollout goes on without it.
        if let Ok(status) = client.operator(Method::GET, "status", "").await {
            let line = status_line(&status);
            if line != shown {
                eprintln!("{line}");
                shown = line;
            }
            if let Some(ending) = ending(&status, revision, moves) {
                show(context, &status, || println!("{}", ending.text()));
                return ending.result();
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// How a rollout ended.
#[derive(Clone, Copy)]
enum Ending {
    Done,
    TakenBack,
    Superseded,
}

impl Ending {
    fn text(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::TakenBack => "taken back",
            Self::Superseded => "superseded by a later bundle",
        }
    }

    fn result(self) -> Result<(), Failure> {
        match self {
            Self::Done => Ok(()),
            Self::TakenBack => Err(Failure::TakenBack),
            Self::Superseded => Err(Failure::Outrun),
        }
    }
}

/// Returns how the rollout of a revision ended, once it has.
///
/// The failure: another instance answers, which still has the bundle before, and its rollout is
/// reported as the end of this one. So only the revision that was rolled counts.
fn ending(status: &Value, revision: u64, moves: usize) -> Option<Ending> {
    let seen = status["revision"].as_u64()?;
    if seen > revision {
        return Some(Ending::Superseded);
    }
    if seen < revision {
        return None;
    }
    if moves == 0 {
        return is_everywhere(status).then_some(Ending::Done);
    }
    // One version that was taken back makes the whole bundle one that was not carried out.
    let rollouts = status["rollouts"].as_array()?;
    let endings: Option<Vec<&str>> = rollouts.iter().map(|it| it["ending"].as_str()).collect();
    let endings = endings.filter(|endings| endings.len() >= moves)?;
    match endings.contains(&"taken_back") {
        true => Some(Ending::TakenBack),
        false => Some(Ending::Done),
    }
}

fn is_everywhere(status: &Value) -> bool {
    let on = status["in_force"]["on"].as_u64();
    on.is_some_and(|on| on > 0) && on == status["in_force"]["of"].as_u64()
}

fn status_line(status: &Value) -> String {
    let in_force = &status["in_force"];
    let stage = text_of(&status["rollout"]["stage"]);
    let revision = &status["revision"];
    format!(
        "revision {revision} in force on {} of {}, rollout {stage}",
        in_force["on"], in_force["of"]
    )
}

/// Tells what is in force.
pub(crate) async fn status(context: &Context) -> Result<(), Failure> {
    let value = context
        .client()?
        .operator(Method::GET, "status", "")
        .await?;
    show(context, &value, || {
        println!("{}", status_line(&value));
        println!("bundle {}", text_of(&value["digest"]));
    });
    Ok(())
}

/// Lists the operators' steps.
pub(crate) async fn history(context: &Context) -> Result<(), Failure> {
    let value = context
        .client()?
        .operator(Method::GET, "history", "")
        .await?;
    show(context, &value, || {
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
    let who = text_of(&step["signature"]["operator"]);
    let action = text_of(&step["action"]["step"]);
    let revision = match step["action"].get("revision") {
        Some(revision) => format!(" as revision {revision}"),
        None => String::new(),
    };
    let when = humantime::format_rfc3339_millis(at);
    format!(
        "{when} {who} {action} {}{revision}",
        text_of(&step["digest"])
    )
}

fn digest(text: &str) -> Result<Digest, Failure> {
    text.parse()
        .map_err(|_| Failure::Form(text.to_owned(), "a digest of 64 hexadecimal digits"))
}

fn text_of(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn show(context: &Context, value: &Value, text: impl FnOnce()) {
    if context.json {
        context.print(value);
    } else {
        text();
    }
}
