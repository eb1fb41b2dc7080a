//! Where the system is, who asks, and how to print.

use std::{env, fs, path::PathBuf};

use celerypond_cli::Client;
use serde::Serialize;

use crate::exit::Failure;

const AT: &str = "CELERYPOND_AT";
const KEY: &str = "CELERYPOND_KEY";

/// Where the system is, who asks, and how to print.
pub(crate) struct Context {
    at: Option<String>,
    key_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub(crate) json: bool,
}

impl Context {
    /// Makes a context from the global flags.
    pub(crate) fn new(at: Option<String>, key_file: Option<PathBuf>, json: bool) -> Self {
        Self { at, key_file, json }
    }

    /// Makes a client.
    pub(crate) fn client(&self) -> Result<Client, Failure> {
        self.client_of(self.key()?.trim())
    }

    /// Makes a client for questions that need no key.
    pub(crate) fn anonymous(&self) -> Result<Client, Failure> {
        self.client_of("")
    }

    fn client_of(&self, key: &str) -> Result<Client, Failure> {
        let at = self.at.clone().or_else(|| env::var(AT).ok());
        let at = at.ok_or(Failure::Usage(
            "--at or CELERYPOND_AT must say where the system is",
        ))?;
        let known = at
            .split(',')
            .map(|text| match text.trim().parse() {
                Ok(address) => Ok(address),
                Err(_) => Err(Failure::Form(text.to_owned(), "an IP number and port")),
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Client::new(known, key)?)
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
            None => env::var(KEY)
                .map_err(|_| Failure::Usage("--key-file or CELERYPOND_KEY must give the key")),
        }
    }
}
