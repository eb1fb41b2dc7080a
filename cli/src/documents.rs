//! Commands about documents, which need no running system.

use std::{fs, path::Path};

use celerypond_bundle::{Bundle, Settings, ValidationError};
use celerypond_types::Digest;
use http::Method;

use crate::{
    context::Context,
    exit::Failure,
    flags::{Check, Diff, Schema},
};

/// Checks a bundle or settings.
pub(crate) fn check(context: &Context, check: &Check) -> Result<(), Failure> {
    let text = read(&check.file)?;
    let faults = if check.settings {
        Settings::parse(&text).err()
    } else {
        Bundle::parse(&text).err()
    };
    report(context, &check.file, &faults.unwrap_or_default())
}

/// Lists what differs between two bundles.
pub(crate) async fn diff(context: &Context, diff: &Diff) -> Result<(), Failure> {
    let before = find(context, &diff.before).await?;
    let after = find(context, &diff.after).await?;
    let changes = celerypond_bundle::diff(&before, &after);
    if context.json {
        context.print(&changes);
    } else {
        changes.iter().for_each(|change| println!("{change}"));
    }
    Ok(())
}

/// Prints a schema.
pub(crate) fn schema(schema: &Schema) -> Result<(), Failure> {
    let value = match schema.kind.as_str() {
        "bundle" => celerypond_bundle::bundle_schema(),
        "settings" => celerypond_bundle::settings_schema(),
        other => return Err(Failure::Form(other.to_owned(), "`bundle` or `settings`")),
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&value).unwrap_or_default()
    );
    Ok(())
}

/// Reads a file.
pub(crate) fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|error| Failure::File(path.to_owned(), error))
}

/// Reads and checks a bundle.
pub(crate) fn bundle(context: &Context, path: &Path) -> Result<Bundle, Failure> {
    let text = read(path)?;
    match Bundle::parse(&text) {
        Ok(bundle) => Ok(bundle),
        Err(faults) => {
            report(context, path, &faults)?;
            Err(Failure::Faults(faults.len()))
        }
    }
}

async fn find(context: &Context, name: &str) -> Result<Bundle, Failure> {
    let Ok(digest) = name.parse::<Digest>() else {
        return bundle(context, Path::new(name));
    };
    let path = format!("bundles/{digest}");
    let value = context.client()?.operator(Method::GET, &path, "").await?;
    serde_json::from_value(value)
        .map_err(|_| Failure::Client(celerypond_cli::ClientError::InvalidResponse))
}

fn report(context: &Context, path: &Path, faults: &[ValidationError]) -> Result<(), Failure> {
    if context.json {
        context.print(&faults);
    } else {
        for fault in faults {
            println!("{}: {fault}", path.display());
        }
    }
    match faults.len() {
        0 => Ok(()),
        count => Err(Failure::Faults(count)),
    }
}
