//! The command that explains a request.

use std::{fs, path::Path};

use celerypond_cli::{explain as join, Line, Source, Story};

use crate::{context::Context, exit::Failure, flags::Explain};

/// Prints the story of a request.
pub(crate) fn explain(context: &Context, flags: &Explain) -> Result<(), Failure> {
    let files = flags.files.iter().map(|path| read(path));
    let files: Vec<(String, String)> = files.collect::<Result<_, _>>()?;
    let sources: Vec<Source<'_>> = files
        .iter()
        .map(|(name, text)| Source { name, text })
        .collect();
    let story = join(&flags.request, &sources).map_err(Failure::Explain)?;
    if context.json {
        context.print(&story);
    } else {
        print(&story);
    }
    Ok(())
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
