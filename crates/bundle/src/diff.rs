//! Differences between two bundles.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::Bundle;

/// A value that differs between two bundles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The path of the value. List entries are identified by name, as in `models[drafts].base`.
    pub path: SmolStr,
    /// The value in the first bundle, or `None` if it has none.
    pub before: Option<Value>,
    /// The value in the second bundle, or `None` if it has none.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Returns the values that differ between two bundles, sorted by path.
///
/// # Examples
///
/// ```
/// use celerypond_bundle::{Bundle, diff};
///
/// let old = r#"{"format":1,"title":"a","targets":[],"accounts":[]}"#;
/// let new = old.replace("\"a\"", "\"b\"");
/// let changes = diff(&Bundle::parse(old).unwrap(), &Bundle::parse(&new).unwrap());
/// assert_eq!(changes[0].to_string(), "~ title: \"a\" -> \"b\"");
/// ```
pub fn diff(before: &Bundle, after: &Bundle) -> Vec<Change> {
    let before = leaves(before);
    let after = leaves(after);
    let mut paths: Vec<&String> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path))
        .map(|path| Change {
            path: path.into(),
            before: before.get(path).cloned(),
            after: after.get(path).cloned(),
        })
        .collect()
}

fn leaves(bundle: &Bundle) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    let value = serde_json::to_value(bundle).unwrap_or_default();
    collect_leaves(String::new(), value, &mut leaves);
    leaves
}

fn collect_leaves(path: String, value: Value, leaves: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                collect_leaves(format!("{path}{dot}{name}"), value, leaves);
            }
        }
        Value::Array(entries) => {
            for (index, entry) in entries.into_iter().enumerate() {
                let name = entry_name(&entry).unwrap_or_else(|| index.to_string());
                collect_leaves(format!("{path}[{name}]"), entry, leaves);
            }
        }
        leaf => {
            leaves.insert(path, leaf);
        }
    }
}

fn entry_name(entry: &Value) -> Option<String> {
    let name = match entry {
        Value::String(name) => Some(name.as_str()),
        _ => ["name", "version"]
            .iter()
            .find_map(|field| entry.get(field)?.as_str()),
    };
    name.map(str::to_owned)
}
