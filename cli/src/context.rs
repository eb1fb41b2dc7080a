//! The global options: addresses of instances, the key and the output format.

use std::{env, fs, path::PathBuf};

use celerypond_cli::Client;
use serde::Serialize;

use crate::failure::Failure;

const ADDRESSES_VARIABLE: &str = "CELERYPOND_AT";
const KEY_VARIABLE: &str = "CELERYPOND_KEY";

/// The values of the global flags.
pub(crate) struct Context {
    addresses: Option<String>,
    key_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub(crate) json: bool,
}

impl Context {
    /// Creates a context from the global flags.
    pub(crate) fn new(addresses: Option<String>, key_file: Option<PathBuf>, json: bool) -> Self {
        Self {
            addresses,
            key_file,
            json,
        }
    }

    /// Creates a client with the key of the user.
    pub(crate) fn client(&self) -> Result<Client, Failure> {
        self.client_with_key(self.key()?.trim())
    }

    /// Creates a client for requests that need no key.
    pub(crate) fn anonymous(&self) -> Result<Client, Failure> {
        self.client_with_key("")
    }

    fn client_with_key(&self, key: &str) -> Result<Client, Failure> {
        let addresses = self
            .addresses
            .clone()
            .or_else(|| env::var(ADDRESSES_VARIABLE).ok());
        let addresses = addresses.ok_or(Failure::Usage(
            "--at or CELERYPOND_AT must say where the system is",
        ))?;
        let addresses = addresses
            .split(',')
            .map(|text| match text.trim().parse() {
                Ok(address) => Ok(address),
                Err(_) => Err(Failure::InvalidArgument(
                    text.to_owned(),
                    "an IP number and port",
                )),
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Client::new(addresses, key)?)
    }

    /// Prints a value as JSON.
    pub(crate) fn print(&self, value: &impl Serialize) {
        println!(
            "{}",
            serde_json::to_string_pretty(value).unwrap_or_default()
        );
    }

    fn key(&self) -> Result<String, Failure> {
        match &self.key_file {
            Some(path) => {
                fs::read_to_string(path).map_err(|error| Failure::File(path.clone(), error))
            }
            None => env::var(KEY_VARIABLE)
                .map_err(|_| Failure::Usage("--key-file or CELERYPOND_KEY must give the key")),
        }
    }
}
