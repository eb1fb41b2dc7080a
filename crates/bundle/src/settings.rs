//! The settings of one instance.

use std::{net::SocketAddr, path::PathBuf};

use celerypond_types::{DataCentre, Digest, InstanceName, OperatorName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    document::Document,
    validation_error::{Expected, ValidationError, ValidationErrors},
};

/// The settings of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance, unique in the fleet.
    pub instance: InstanceName,
    /// Where the instance stands.
    pub data_centre: DataCentre,
    /// Where callers and operators reach it, as IP number and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Where other instances reach it, as IP number and port.
    #[schemars(with = "String")]
    pub peer_address: SocketAddr,
    /// The addresses of the platform, tried in order.
    #[schemars(with = "Vec<String>")]
    pub platform: Vec<SocketAddr>,
    /// Peer addresses to begin with while the platform is down.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The secret that all instances share, as 64 hexadecimal digits; it seals resume tokens.
    pub fleet_key: Digest,
    /// Who may submit, approve and roll bundles.
    pub operators: Vec<Operator>,
    /// Worker threads; as many as processors when left out.
    #[serde(default)]
    pub threads: Option<usize>,
    /// The largest request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
    /// Where counters go as statsd datagrams; they are always read at `GET /v1/metrics`.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub statsd: Option<SocketAddr>,
    /// The file to which spans go as JSON lines; none are kept when left out.
    #[serde(default)]
    pub trace_file: Option<PathBuf>,
}

/// Who may submit, approve and roll bundles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name, unique in the settings.
    pub name: OperatorName,
    /// The SHA-256 digest of the operator's key.
    pub key_digest: Digest,
}

/// Where log lines go.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// How lines look.
    #[serde(default)]
    pub format: LogFormat,
    /// The least important lines that are kept.
    #[serde(default)]
    pub level: LogLevel,
    /// The file; standard error when left out.
    #[serde(default)]
    pub file: Option<PathBuf>,
}

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// How important a log line is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only failures.
    Error,
    /// Failures and what may lead to them.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Every decision.
    Debug,
}

fn default_body_limit() -> usize {
    4 << 20
}

impl Settings {
    /// Reads settings and checks them.
    ///
    /// # Errors
    ///
    /// Gives every fault, each with its path, what was found and what was expected.
    pub fn parse(text: &str) -> Result<Self, Vec<ValidationError>> {
        let mut document = Document::read::<Self>(text)?;
        let operators: Vec<(usize, Operator)> = document.entries("operators");
        let mut faults = std::mem::take(&mut document.faults);
        check_operators(&mut faults, &operators);
        document.faults = faults;
        let settings: Self = document.whole()?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    fn faults(&self) -> Vec<ValidationError> {
        let mut faults = ValidationErrors::default();
        faults.name("instance", self.instance.as_str());
        faults.name("data_centre", self.data_centre.as_str());
        faults.range("address", self.address.port().into(), 1, 65_535);
        faults.range("peer_address", self.peer_address.port().into(), 1, 65_535);
        if self.address == self.peer_address {
            faults.add(
                "peer_address",
                self.peer_address.to_string(),
                Expected::Unique,
            );
        }
        if self.platform.is_empty() {
            faults.add("platform", "[]", Expected::NonEmptyList);
        }
        if let Some(threads) = self.threads {
            faults.range("threads", threads as u64, 1, 1024);
        }
        faults.range("body_limit", self.body_limit as u64, 1024, 64 << 20);
        faults.0
    }
}

fn check_operators(faults: &mut ValidationErrors, operators: &[(usize, Operator)]) {
    for (index, operator) in operators {
        let path = format!("operators[{index}]");
        faults.name(&format!("{path}.name"), operator.name.as_str());
        faults.key_digest(&format!("{path}.key_digest"), &operator.key_digest);
    }
    let names = operators.iter();
    faults.unique(names.map(|(at, it)| (format!("operators[{at}].name"), &it.name)));
    let digests = operators.iter();
    faults.unique(digests.map(|(at, it)| (format!("operators[{at}].key_digest"), it.key_digest)));
}
