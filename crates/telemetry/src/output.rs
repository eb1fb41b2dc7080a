//! Outputs for log lines and spans.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::PathBuf,
};

use error_stack::{Report, ResultExt as _};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An output for log lines or spans.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
    /// A file, to which lines are appended.
    File(PathBuf),
}

/// The error that a file cannot be opened.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0} cannot be opened for appending")]
pub struct OutputError(pub PathBuf);

impl Output {
    pub(crate) fn open(&self) -> Result<Writer, Report<OutputError>> {
        match self {
            Self::Stderr => Ok(Writer::Stderr),
            Self::Stdout => Ok(Writer::Stdout),
            Self::File(path) => OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
                .map(Writer::File)
                .change_context_lazy(|| OutputError(path.clone())),
        }
    }
}

/// An open output.
#[derive(Debug)]
pub(crate) enum Writer {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
    /// A file.
    File(File),
}

impl Writer {
    pub(crate) fn write(&self, bytes: &[u8]) -> io::Result<()> {
        match self {
            Self::Stderr => io::stderr().lock().write_all(bytes),
            Self::Stdout => io::stdout().lock().write_all(bytes),
            Self::File(file) => {
                let mut file = file;
                file.write_all(bytes)
            }
        }
    }
}

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Self::write(self, bytes).map(|()| bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
