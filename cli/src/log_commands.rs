//! The subcommands that analyse log files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use celerypond_cli::{
    count_outcomes, explain as explain_request, Explanation, LogLine, LogSource, OutcomeCount,
};

use crate::{
    context::Context,
    failure::Failure,
    flags::{Explain, Losses},
};

/// The default interval of `losses`, in seconds.
const DEFAULT_INTERVAL_S: u64 = 2;

/// Explains what became of a request.
pub(crate) fn explain(context: &Context, flags: &Explain) -> Result<(), Failure> {
    let files = read_logs(&flags.files)?;
    let explanation =
        explain_request(&flags.request, &sources(&files)).map_err(Failure::Explain)?;
    if context.json {
        context.print(&explanation);
    } else {
        print_explanation(&explanation);
    }
    Ok(())
}

/// Prints how many requests had which outcome, by time.
pub(crate) fn losses(context: &Context, flags: &Losses) -> Result<(), Failure> {
    let files = read_logs(&flags.files)?;
    let counts = count_outcomes(&sources(&files), flags.part.unwrap_or(DEFAULT_INTERVAL_S));
    if context.json {
        context.print(&counts);
    } else {
        counts.iter().for_each(print_count);
    }
    Ok(())
}

fn print_count(row: &OutcomeCount) {
    let OutcomeCount {
        from_s,
        fate,
        count,
        example,
    } = row;
    println!(
        "{from_s:>6} s  {:<16} {count:>5}  {example}",
        format!("{fate:?}")
    );
}

fn read_logs(paths: &[PathBuf]) -> Result<Vec<(String, String)>, Failure> {
    paths.iter().map(|path| read_log(path)).collect()
}

fn sources(files: &[(String, String)]) -> Vec<LogSource<'_>> {
    let sources = files.iter().map(|(name, text)| LogSource { name, text });
    sources.collect()
}

fn read_log(path: &Path) -> Result<(String, String), Failure> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|error| Failure::File(path.to_owned(), error))?;
    let name = path.file_stem().unwrap_or(path.as_os_str());
    Ok((name.to_string_lossy().into_owned(), text))
}

fn print_explanation(explanation: &Explanation) {
    println!("request {}: {}", explanation.request, explanation.cause);
    for line in &explanation.lines {
        println!("{}", format_line(line));
    }
}

fn format_line(line: &LogLine) -> String {
    let values = line.values.iter();
    let values = values.filter(|(name, _)| !matches!(name.as_str(), "level" | "module"));
    let values: Vec<String> = values
        .map(|(name, value)| {
            format!(
                "{name}={}",
                value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_owned)
            )
        })
        .collect();
    let LogLine {
        time,
        instance,
        message,
        ..
    } = line;
    format!("{time} {instance} {message} {}", values.join(" "))
}
