//! Persists addresses for the next start of a process.

use crate::durable_file::{read_file, replace_file};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A file in a data directory with one address per line.
#[derive(Clone, Debug)]
pub struct AddressFile {
    directory: PathBuf,
    name: &'static str,
}

impl AddressFile {
    /// Refers to the file of the given name in a directory; does no I/O.
    #[must_use]
    pub fn new(directory: &Path, name: &'static str) -> Self {
        Self {
            directory: directory.to_owned(),
            name,
        }
    }

    /// Reads the addresses; empty if the file does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a line is not an address.
    pub fn read(&self) -> io::Result<Vec<SocketAddr>> {
        let text = read_file(&self.directory, self.name)?.unwrap_or_default();
        let lines = text.lines();
        lines
            .map(|line| line.parse().map_err(io::Error::other))
            .collect()
    }

    /// Stores the addresses durably.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be made durable.
    pub fn write(&self, addresses: &[SocketAddr]) -> io::Result<()> {
        let lines = addresses.iter().map(|address| format!("{address}\n"));
        replace_file(&self.directory, self.name, &lines.collect::<String>())
    }
}
