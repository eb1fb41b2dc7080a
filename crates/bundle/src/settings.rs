//! Settings of an instance.

use std::{net::SocketAddr, path::PathBuf};

use celerypond_types::{DataCentre, Digest, InstanceName, OperatorName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    document::Document,
    validation_error::{Expected, ValidationError, ValidationErrors},
};

/// The settings of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance, unique in the fleet.
    pub instance: InstanceName,
    /// The data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// The address for callers and operators, as IP address and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The address for other instances, as IP address and port.
    #[schemars(with = "String")]
    pub peer_address: SocketAddr,
    /// The addresses of the platform, tried in order.
    #[schemars(with = "Vec<String>")]
    pub platform: Vec<SocketAddr>,
    /// The peer addresses to contact at startup while the platform is unavailable.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The secret that all instances share, as 64 hexadecimal digits. It seals resume tokens.
    pub fleet_key: Digest,
    /// The operators who may submit, approve and roll bundles.
    pub operators: Vec<Operator>,
    /// The number of worker threads. Defaults to the number of processors.
    #[serde(default)]
    pub threads: Option<usize>,
    /// The maximum size of a request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// The log output.
    #[serde(default)]
    pub log: LogSettings,
    /// The address for metrics as statsd datagrams. `GET /v1/metrics` always serves them as well.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub statsd: Option<SocketAddr>,
    /// The file to which spans are written as JSON lines. By default, spans are not recorded.
    #[serde(default)]
    pub trace_file: Option<PathBuf>,
}

/// An operator, who may submit, approve and roll bundles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name, unique in the settings.
    pub name: OperatorName,
    /// The SHA-256 digest of the operator's key.
    pub key_digest: Digest,
}

/// The log output.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The format of log lines.
    #[serde(default)]
    pub format: LogFormat,
    /// The minimum severity of log lines.
    #[serde(default)]
    pub level: LogLevel,
    /// The file to which log lines are written. Defaults to standard error.
    #[serde(default)]
    pub file: Option<PathBuf>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures.
    Error,
    /// Conditions that may lead to failures.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Individual decisions.
    Debug,
}

fn default_body_limit() -> usize {
    4 << 20
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all errors in the document. Errors that only a complete document can be checked for
    /// are reported once it has no others.
    pub fn parse(text: &str) -> Result<Self, Vec<ValidationError>> {
        let mut document = Document::parse::<Self>(text)?;
        let operators: Vec<(usize, Operator)> = document.valid_entries("operators");
        let mut errors = std::mem::take(&mut document.errors);
        check_operators(&mut errors, &operators);
        document.errors = errors;
        let settings: Self = document.into_typed()?;
        let errors = settings.check();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }

    fn check(&self) -> Vec<ValidationError> {
        let mut errors = ValidationErrors::default();
        errors.check_name("instance", self.instance.as_str());
        errors.check_name("data_centre", self.data_centre.as_str());
        errors.check_range("address", self.address.port().into(), 1, 65_535);
        errors.check_range("peer_address", self.peer_address.port().into(), 1, 65_535);
        if self.address == self.peer_address {
            errors.add(
                "peer_address",
                self.peer_address.to_string(),
                Expected::Unique,
            );
        }
        if self.platform.is_empty() {
            errors.add("platform", "[]", Expected::NonEmptyList);
        }
        if let Some(threads) = self.threads {
            errors.check_range("threads", threads as u64, 1, 1024);
        }
        errors.check_range("body_limit", self.body_limit as u64, 1024, 64 << 20);
        errors.0
    }
}

fn check_operators(errors: &mut ValidationErrors, operators: &[(usize, Operator)]) {
    for (index, operator) in operators {
        let path = format!("operators[{index}]");
        errors.check_name(&format!("{path}.name"), operator.name.as_str());
        errors.check_key_digest(&format!("{path}.key_digest"), &operator.key_digest);
    }
    let names = operators.iter();
    errors.check_unique(
        names.map(|(index, operator)| (format!("operators[{index}].name"), &operator.name)),
    );
    let digests = operators.iter();
    errors.check_unique(digests.map(|(index, operator)| {
        (
            format!("operators[{index}].key_digest"),
            operator.key_digest,
        )
    }));
}
