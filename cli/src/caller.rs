//! The callers' commands.

use std::io::{self, Read, Write};

use celerypond_cli::{CompletionRequest, ServiceCall};

use crate::{
    context::Context,
    exit::Failure,
    flags::{Call, Generate},
    limit,
};

const DEFAULT_TOKENS: u32 = 256;

/// Lists the addresses that callers should use.
pub(crate) async fn entries(context: &Context) -> Result<(), Failure> {
    let entries = context.anonymous()?.entry_points().await?;
    if context.json {
        context.print(&entries);
    } else {
        for entry in &entries.entries {
            println!("{} {}", entry.address, entry.data_centre);
        }
    }
    Ok(())
}

/// Generates an answer and prints its text as it comes.
pub(crate) async fn generate(context: &Context, flags: Generate) -> Result<(), Failure> {
    let client = context.client()?;
    let prompt = CompletionRequest {
        model: flags.model,
        prompt: text(flags.prompt)?,
        max_tokens: flags.max_tokens.unwrap_or(DEFAULT_TOKENS),
        seed: flags.seed,
        adapter: flags.adapter,
        key: flags.key,
        timeout: limit(flags.limit_s),
    };
    let mut answer = client.generate(prompt).await;
    let ended = loop {
        match answer.next().await {
            Ok(token) if context.json => {
                println!("{}", serde_json::to_string(&token).unwrap_or_default())
            }
            Ok(token) => {
                print!("{}", token.text);
                // A terminal that is gone shows at the next print.
                let _ = io::stdout().flush();
            }
            Err(ended) => break ended?,
        }
    };
    if context.json {
        println!("{}", serde_json::to_string(&ended).unwrap_or_default());
    } else {
        println!();
        eprintln!(
            "{} tokens of version {}, connected again {} times",
            ended.tokens, ended.version, ended.reconnects
        );
    }
    Ok(())
}

/// Calls a plain service and prints its answer.
pub(crate) async fn call(context: &Context, flags: Call) -> Result<(), Failure> {
    let client = context.client()?;
    let called = ServiceCall {
        service: flags.service,
        method: flags.method,
        path: flags.path,
        body: text(flags.body.unwrap_or_default())?.into(),
        key: flags.key,
    };
    let response = client.call(&called, limit(flags.limit_s)).await?;
    let body = String::from_utf8_lossy(&response.body);
    if context.json {
        context.print(&serde_json::json!({ "status": response.status, "body": body }));
    } else {
        println!("{} {body}", response.status);
    }
    Ok(())
}

fn text(given: String) -> Result<String, Failure> {
    if given != "-" {
        return Ok(given);
    }
    let mut text = String::new();
    io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| Failure::File("-".into(), error))?;
    Ok(text)
}
