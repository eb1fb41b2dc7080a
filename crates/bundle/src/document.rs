//! Reading a document so that one run reports every fault.
//!
//! A document with a wrong field is still read entry by entry, so that faults between entries show
//! in the same run as faults inside them.

use jsonschema::{
    error::{TypeKind, ValidationErrorKind},
    ValidationError as SchemaError,
};
use schemars::JsonSchema;
use serde::{de::DeserializeOwned, Deserialize};
use serde_json::Value;

use crate::validation_error::{Expected, ValidationError, ValidationErrors};

/// A document as JSON, with the faults that its schema shows.
pub(crate) struct Document {
    /// The JSON value.
    pub(crate) value: Value,
    /// What the schema shows.
    pub(crate) faults: ValidationErrors,
}

impl Document {
    /// Reads JSON text and checks it against the schema of `T`.
    pub(crate) fn read<T: JsonSchema>(text: &str) -> Result<Self, Vec<ValidationError>> {
        let value: Value = serde_json::from_str(text).map_err(|error| {
            let expected = Expected::Json(error.to_string().into());
            vec![ValidationError::new("$", "text that is not JSON", expected)]
        })?;
        let faults = ValidationErrors(schema_faults::<T>(&value));
        Ok(Self { value, faults })
    }

    /// Reads those entries of a list that have no fault, each with its index.
    pub(crate) fn entries<T: DeserializeOwned>(&mut self, list: &str) -> Vec<(usize, T)> {
        let values = self.value.get(list).and_then(Value::as_array);
        let mut entries = Vec::new();
        for (index, value) in values.into_iter().flatten().enumerate() {
            let path = format!("{list}[{index}]");
            match read_value(value) {
                Ok(entry) => entries.push((index, entry)),
                Err((at, text)) => {
                    let path = if at == "." {
                        path
                    } else {
                        format!("{path}.{at}")
                    };
                    value_fault(&mut self.faults, path, &text);
                }
            }
        }
        entries
    }

    /// Returns the names of all entries of a list, those with other faults too.
    pub(crate) fn names(&self, list: &str) -> Vec<String> {
        let values = self.value.get(list).and_then(Value::as_array);
        values
            .into_iter()
            .flatten()
            .filter_map(|value| Some(value.get("name")?.as_str()?.to_owned()))
            .collect()
    }

    /// Reads the whole document, if no fault was found.
    pub(crate) fn whole<T: DeserializeOwned>(mut self) -> Result<T, Vec<ValidationError>> {
        if !self.faults.0.is_empty() {
            return Err(self.faults.0);
        }
        match read_value(&self.value) {
            Ok(whole) => Ok(whole),
            Err((path, text)) => {
                value_fault(&mut self.faults, path, &text);
                Err(self.faults.0)
            }
        }
    }
}

fn read_value<T: DeserializeOwned>(value: &Value) -> Result<T, (String, String)> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| (error.path().to_string(), error.inner().to_string()))
}

/// Adds what a typed read found, unless the schema already found a fault at that place.
fn value_fault(faults: &mut ValidationErrors, path: String, text: &str) {
    let inside =
        |fault: &ValidationError| fault.path.starts_with(&path) || path.starts_with(&*fault.path);
    if !faults.0.iter().any(inside) {
        let text = text.strip_prefix("expected ").unwrap_or(text);
        faults.add(
            &path,
            "a value of another form",
            Expected::Value(text.into()),
        );
    }
}

fn schema_faults<T: JsonSchema>(value: &Value) -> Vec<ValidationError> {
    let schema = schemars::schema_for!(T).to_value();
    let Ok(validator) = jsonschema::validator_for(&schema) else {
        // Generated schemas are valid; a test of this crate compiles each of them.
        return Vec::new();
    };
    validator
        .iter_errors(value)
        .flat_map(|error| schema_fault(&error))
        .collect()
}

fn schema_fault(error: &SchemaError<'_>) -> Vec<ValidationError> {
    let path = place(error.instance_path().as_str());
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| {
                let expected = Expected::NoField(name.into());
                ValidationError::new(join(&path, name), "a field", expected)
            })
            .collect(),
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            let expected = Expected::Field(name.into());
            vec![ValidationError::new(join(&path, name), "nothing", expected)]
        }
        kind => {
            let expected = Expected::Schema(wanted(kind, error).into());
            vec![ValidationError::new(
                path,
                error.instance().to_string(),
                expected,
            )]
        }
    }
}

/// Says in words what the schema asks for.
fn wanted(kind: &ValidationErrorKind, error: &SchemaError<'_>) -> String {
    match kind {
        ValidationErrorKind::Type {
            kind: TypeKind::Single(wanted),
        } => format!("a value of type {wanted}"),
        ValidationErrorKind::Minimum { limit } => format!("a number of at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("a number of at most {limit}"),
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            let choices: Vec<String> = context.iter().flatten().filter_map(choice).collect();
            format!("one of {}", choices.join(", "))
        }
        _ => error.masked_with("the value").to_string(),
    }
}

fn choice(error: &SchemaError<'_>) -> Option<String> {
    match error.kind() {
        ValidationErrorKind::Constant { expected_value } => Some(expected_value.to_string()),
        ValidationErrorKind::Enum { options } => Some(options.to_string()),
        ValidationErrorKind::Type {
            kind: TypeKind::Single(wanted),
        } => Some(format!("a value of type {wanted}")),
        _ => None,
    }
}

/// Turns a JSON pointer into the form `models[0].base`.
fn place(pointer: &str) -> String {
    let mut path = String::new();
    for part in pointer.split('/').skip(1) {
        match part.parse::<usize>() {
            Ok(index) => path.push_str(&format!("[{index}]")),
            Err(_) => path = join(&path, part),
        }
    }
    if path.is_empty() {
        "$".to_owned()
    } else {
        path
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" | "$" => name.to_owned(),
        _ => format!("{path}.{name}"),
    }
}

/// Reads a value that is allowed to be absent.
pub(crate) fn optional<'a, T: Deserialize<'a>>(value: Option<&'a Value>) -> Option<T> {
    T::deserialize(value?).ok()
}
