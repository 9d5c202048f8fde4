//! Addresses that a process keeps for its next start.

use crate::durable_file::{read_file, replace_file};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A file of a data folder with an address on each line.
#[derive(Clone, Debug)]
pub struct AddressFile {
    folder: PathBuf,
    name: &'static str,
}

impl AddressFile {
    /// The file of the given name and folder.
    #[must_use]
    pub fn new(folder: &Path, name: &'static str) -> Self {
        Self {
            folder: folder.to_owned(),
            name,
        }
    }

    /// Reads the addresses; none if there is no file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or holds something else.
    pub fn read(&self) -> io::Result<Vec<SocketAddr>> {
        let text = read_file(&self.folder, self.name)?.unwrap_or_default();
        let lines = text.lines();
        lines
            .map(|line| line.parse().map_err(io::Error::other))
            .collect()
    }

    /// Records the addresses durably.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be made durable.
    pub fn write(&self, addresses: &[SocketAddr]) -> io::Result<()> {
        let lines = addresses.iter().map(|address| format!("{address}\n"));
        replace_file(&self.folder, self.name, &lines.collect::<String>())
    }
}
