//! The subcommands for bundles and settings. They need no running instance, except for `diff` with
//! a digest.

use std::{fs, path::Path};

use celerypond_bundle::{Bundle, Settings, ValidationError};
use celerypond_types::Digest;
use http::Method;

use crate::{
    context::Context,
    failure::Failure,
    flags::{Check, Diff, Schema},
};

/// Validates a bundle, or the settings of an instance.
pub(crate) fn check(context: &Context, check: &Check) -> Result<(), Failure> {
    let text = read_file(&check.file)?;
    let errors = if check.settings {
        Settings::parse(&text).err()
    } else {
        Bundle::parse(&text).err()
    };
    report(context, &check.file, &errors.unwrap_or_default())
}

/// Prints the differences between two bundles.
pub(crate) async fn diff(context: &Context, diff: &Diff) -> Result<(), Failure> {
    let before = load_bundle(context, &diff.before).await?;
    let after = load_bundle(context, &diff.after).await?;
    let changes = celerypond_bundle::diff(&before, &after);
    if context.json {
        context.print(&changes);
    } else {
        changes.iter().for_each(|change| println!("{change}"));
    }
    Ok(())
}

/// Prints a JSON Schema.
pub(crate) fn schema(schema: &Schema) -> Result<(), Failure> {
    let value = match schema.kind.as_str() {
        "bundle" => celerypond_bundle::bundle_schema(),
        "settings" => celerypond_bundle::settings_schema(),
        other => {
            return Err(Failure::InvalidArgument(
                other.to_owned(),
                "`bundle` or `settings`",
            ))
        }
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&value).unwrap_or_default()
    );
    Ok(())
}

/// Reads a file.
pub(crate) fn read_file(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|error| Failure::File(path.to_owned(), error))
}

/// Reads a bundle from a file and validates it.
pub(crate) fn read_bundle(context: &Context, path: &Path) -> Result<Bundle, Failure> {
    let text = read_file(path)?;
    match Bundle::parse(&text) {
        Ok(bundle) => Ok(bundle),
        Err(errors) => {
            report(context, path, &errors)?;
            Err(Failure::InvalidDocument(errors.len()))
        }
    }
}

/// Loads a bundle from a file, or from an instance if `source` is a digest.
async fn load_bundle(context: &Context, source: &str) -> Result<Bundle, Failure> {
    let Ok(digest) = source.parse::<Digest>() else {
        return read_bundle(context, Path::new(source));
    };
    let path = format!("bundles/{digest}");
    let value = context.client()?.operator(Method::GET, &path, "").await?;
    serde_json::from_value(value)
        .map_err(|_| Failure::Client(celerypond_cli::ClientError::InvalidResponse))
}

/// Prints the validation errors, and fails if there are any.
fn report(context: &Context, path: &Path, errors: &[ValidationError]) -> Result<(), Failure> {
    if context.json {
        context.print(&errors);
    } else {
        for error in errors {
            println!("{}: {error}", path.display());
        }
    }
    match errors.len() {
        0 => Ok(()),
        count => Err(Failure::InvalidDocument(count)),
    }
}
