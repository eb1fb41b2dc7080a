//! The subcommands for callers.

use std::io::{self, Read, Write};

use celerypond_cli::{CompletionRequest, ServiceCall};

use crate::{
    context::Context,
    failure::Failure,
    flags::{Call, Generate},
    timeout,
};

const DEFAULT_MAX_TOKENS: u32 = 256;

/// Prints the entry points.
pub(crate) async fn entries(context: &Context) -> Result<(), Failure> {
    let list = context.anonymous()?.entry_points().await?;
    if context.json {
        context.print(&list);
    } else {
        for entry in &list.entries {
            println!("{} {}", entry.address, entry.data_centre);
        }
    }
    Ok(())
}

/// Requests a completion and prints its tokens as they arrive.
pub(crate) async fn generate(context: &Context, flags: Generate) -> Result<(), Failure> {
    let client = context.client()?;
    let request = CompletionRequest {
        model: flags.model,
        prompt: read_argument(flags.prompt)?,
        max_tokens: flags.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        seed: flags.seed,
        adapter: flags.adapter,
        key: flags.key,
        timeout: timeout(flags.limit_s),
    };
    let mut stream = client.generate(request).await;
    let summary = loop {
        match stream.next().await {
            Ok(token) if context.json => {
                println!("{}", serde_json::to_string(&token).unwrap_or_default())
            }
            Ok(token) => {
                print!("{}", token.text);
                // If stdout is closed, the next `print!` reports it.
                let _ = io::stdout().flush();
            }
            Err(end) => break end?,
        }
    };
    if context.json {
        println!("{}", serde_json::to_string(&summary).unwrap_or_default());
    } else {
        println!();
        eprintln!(
            "{} tokens of version {}, connected again {} times",
            summary.tokens, summary.version, summary.reconnects
        );
    }
    Ok(())
}

/// Calls a plain service and prints its response.
pub(crate) async fn call(context: &Context, flags: Call) -> Result<(), Failure> {
    let client = context.client()?;
    let call = ServiceCall {
        service: flags.service,
        method: flags.method,
        path: flags.path,
        body: read_argument(flags.body.unwrap_or_default())?.into(),
        key: flags.key,
    };
    let response = client.call(&call, timeout(flags.limit_s)).await?;
    let body = String::from_utf8_lossy(&response.body);
    if context.json {
        context.print(&serde_json::json!({ "status": response.status, "body": body }));
    } else {
        println!("{} {body}", response.status);
    }
    Ok(())
}

/// Returns the argument, or the standard input if the argument is `-`.
fn read_argument(argument: String) -> Result<String, Failure> {
    if argument != "-" {
        return Ok(argument);
    }
    let mut text = String::new();
    io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| Failure::File("-".into(), error))?;
    Ok(text)
}
