//! Parsing of JSON documents with complete error reports.
//!
//! The entries of a list are parsed one by one. A document with an invalid entry can therefore
//! still be checked for errors between entries, and one run reports both kinds of errors.

use jsonschema::{
    error::{TypeKind, ValidationErrorKind},
    ValidationError as SchemaError,
};
use schemars::JsonSchema;
use serde::{de::DeserializeOwned, Deserialize};
use serde_json::Value;

use crate::validation_error::{Expected, ValidationError, ValidationErrors};

/// A JSON document and the errors found in it so far.
pub(crate) struct Document {
    /// The parsed JSON.
    pub(crate) value: Value,
    /// The errors found so far; initially the violations of the schema.
    pub(crate) errors: ValidationErrors,
}

impl Document {
    /// Parses JSON text and validates it against the schema of `T`.
    pub(crate) fn parse<T: JsonSchema>(text: &str) -> Result<Self, Vec<ValidationError>> {
        let value: Value = serde_json::from_str(text).map_err(|error| {
            let expected = Expected::Json(error.to_string().into());
            vec![ValidationError::new("$", "text that is not JSON", expected)]
        })?;
        let errors = ValidationErrors(schema_errors::<T>(&value));
        Ok(Self { value, errors })
    }

    /// Deserializes the valid entries of a list and returns them with their indices. Adds an error
    /// for each invalid one.
    pub(crate) fn valid_entries<T: DeserializeOwned>(&mut self, list: &str) -> Vec<(usize, T)> {
        let values = self.value.get(list).and_then(Value::as_array);
        let mut entries = Vec::new();
        for (index, value) in values.into_iter().flatten().enumerate() {
            let path = format!("{list}[{index}]");
            match deserialize(value) {
                Ok(entry) => entries.push((index, entry)),
                Err((subpath, message)) => {
                    let path = if subpath == "." {
                        path
                    } else {
                        format!("{path}.{subpath}")
                    };
                    add_deserialize_error(&mut self.errors, path, &message);
                }
            }
        }
        entries
    }

    /// Returns the names of all entries of a list, including invalid entries.
    pub(crate) fn entry_names(&self, list: &str) -> Vec<String> {
        let values = self.value.get(list).and_then(Value::as_array);
        values
            .into_iter()
            .flatten()
            .filter_map(|value| Some(value.get("name")?.as_str()?.to_owned()))
            .collect()
    }

    /// Deserializes the whole document if no error was found.
    pub(crate) fn into_typed<T: DeserializeOwned>(mut self) -> Result<T, Vec<ValidationError>> {
        if !self.errors.0.is_empty() {
            return Err(self.errors.0);
        }
        match deserialize(&self.value) {
            Ok(typed) => Ok(typed),
            Err((path, message)) => {
                add_deserialize_error(&mut self.errors, path, &message);
                Err(self.errors.0)
            }
        }
    }
}

fn deserialize<T: DeserializeOwned>(value: &Value) -> Result<T, (String, String)> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| (error.path().to_string(), error.inner().to_string()))
}

/// Adds a deserialization error, unless the schema already reported an error at that path, at one
/// of its ancestors or below it.
fn add_deserialize_error(errors: &mut ValidationErrors, path: String, text: &str) {
    let overlaps =
        |error: &ValidationError| error.path.starts_with(&path) || path.starts_with(&*error.path);
    if !errors.0.iter().any(overlaps) {
        let text = text.strip_prefix("expected ").unwrap_or(text);
        errors.add(
            &path,
            "a value of another form",
            Expected::Value(text.into()),
        );
    }
}

fn schema_errors<T: JsonSchema>(value: &Value) -> Vec<ValidationError> {
    let schema = schemars::schema_for!(T).to_value();
    let Ok(validator) = jsonschema::validator_for(&schema) else {
        // This does not happen, since a test of this crate compiles every generated schema.
        return Vec::new();
    };
    validator
        .iter_errors(value)
        .flat_map(|error| schema_error(&error))
        .collect()
}

fn schema_error(error: &SchemaError<'_>) -> Vec<ValidationError> {
    let path = pointer_to_path(error.instance_path().as_str());
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| {
                let expected = Expected::NoField(name.into());
                ValidationError::new(join_path(&path, name), "a field", expected)
            })
            .collect(),
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            let expected = Expected::Field(name.into());
            vec![ValidationError::new(
                join_path(&path, name),
                "nothing",
                expected,
            )]
        }
        kind => {
            let expected = Expected::Schema(describe_expected(kind, error).into());
            vec![ValidationError::new(
                path,
                error.instance().to_string(),
                expected,
            )]
        }
    }
}

/// Describes what the schema expects.
fn describe_expected(kind: &ValidationErrorKind, error: &SchemaError<'_>) -> String {
    match kind {
        ValidationErrorKind::Type {
            kind: TypeKind::Single(expected),
        } => format!("a value of type {expected}"),
        ValidationErrorKind::Minimum { limit } => format!("a number of at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("a number of at most {limit}"),
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            let alternatives: Vec<String> = context
                .iter()
                .flatten()
                .filter_map(describe_alternative)
                .collect();
            format!("one of {}", alternatives.join(", "))
        }
        _ => error.masked_with("the value").to_string(),
    }
}

fn describe_alternative(error: &SchemaError<'_>) -> Option<String> {
    match error.kind() {
        ValidationErrorKind::Constant { expected_value } => Some(expected_value.to_string()),
        ValidationErrorKind::Enum { options } => Some(options.to_string()),
        ValidationErrorKind::Type {
            kind: TypeKind::Single(expected),
        } => Some(format!("a value of type {expected}")),
        _ => None,
    }
}

/// Converts a JSON pointer to a path such as `models[0].base`.
fn pointer_to_path(pointer: &str) -> String {
    let mut path = String::new();
    for part in pointer.split('/').skip(1) {
        match part.parse::<usize>() {
            Ok(index) => path.push_str(&format!("[{index}]")),
            Err(_) => path = join_path(&path, part),
        }
    }
    if path.is_empty() {
        "$".to_owned()
    } else {
        path
    }
}

fn join_path(path: &str, name: &str) -> String {
    match path {
        "" | "$" => name.to_owned(),
        _ => format!("{path}.{name}"),
    }
}

/// Deserializes a value. Returns `None` if it is absent or invalid.
pub(crate) fn deserialize_if_valid<'a, T: Deserialize<'a>>(value: Option<&'a Value>) -> Option<T> {
    T::deserialize(value?).ok()
}
