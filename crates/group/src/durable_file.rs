//! Atomic and durable replacement of small files.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Replaces a file atomically. The directory is created if it is absent.
///
/// A reader sees either the old or the new text, also after a crash; once this function
/// returns, the new text is durable.
///
/// # Errors
///
/// Fails if the file cannot be made durable.
pub(crate) fn replace_file(directory: &Path, name: &str, text: &str) -> io::Result<()> {
    fs::create_dir_all(directory)?;
    let temp_path = directory.join(format!("{name}-draft"));
    let mut file = File::create(&temp_path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temp_path, directory.join(name))?;
    File::open(directory)?.sync_all()?;
    if let Some(parent) = directory.parent().filter(|parent| parent.is_dir()) {
        File::open(parent)?.sync_all()?;
    }
    Ok(())
}

/// Reads a file; `None` if it does not exist.
///
/// # Errors
///
/// Fails if the file exists and cannot be read.
pub(crate) fn read_file(directory: &Path, name: &str) -> io::Result<Option<String>> {
    match fs::read_to_string(directory.join(name)) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
