//! The commands that explain requests from log lines.

use std::{
    fs,
    path::{Path, PathBuf},
};

use celerypond_cli::{explain as join, losses as count, Line, Loss, Source, Story};

use crate::{
    context::Context,
    exit::Failure,
    flags::{Explain, Losses},
};

/// The seconds of a row of losses, unless others are asked for.
const PART_S: u64 = 2;

/// Prints the story of a request.
pub(crate) fn explain(context: &Context, flags: &Explain) -> Result<(), Failure> {
    let files = read_all(&flags.files)?;
    let story = join(&flags.request, &sources(&files)).map_err(Failure::Explain)?;
    if context.json {
        context.print(&story);
    } else {
        print(&story);
    }
    Ok(())
}

/// Prints what became of requests.
pub(crate) fn losses(context: &Context, flags: &Losses) -> Result<(), Failure> {
    let files = read_all(&flags.files)?;
    let losses = count(&sources(&files), flags.part.unwrap_or(PART_S));
    if context.json {
        context.print(&losses);
    } else {
        losses.iter().for_each(print_loss);
    }
    Ok(())
}

fn print_loss(loss: &Loss) {
    let Loss {
        from_s,
        fate,
        count,
        example,
    } = loss;
    println!(
        "{from_s:>6} s  {:<16} {count:>5}  {example}",
        format!("{fate:?}")
    );
}

fn read_all(paths: &[PathBuf]) -> Result<Vec<(String, String)>, Failure> {
    paths.iter().map(|path| read(path)).collect()
}

fn sources(files: &[(String, String)]) -> Vec<Source<'_>> {
    let sources = files.iter().map(|(name, text)| Source { name, text });
    sources.collect()
}

fn read(path: &Path) -> Result<(String, String), Failure> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|error| Failure::File(path.to_owned(), error))?;
    let name = path.file_stem().unwrap_or(path.as_os_str());
    Ok((name.to_string_lossy().into_owned(), text))
}

fn print(story: &Story) {
    println!("request {}: {}", story.request, story.cause);
    for line in &story.lines {
        println!("{}", text(line));
    }
}

fn text(line: &Line) -> String {
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
    let Line {
        time,
        instance,
        message,
        ..
    } = line;
    format!("{time} {instance} {message} {}", values.join(" "))
}
