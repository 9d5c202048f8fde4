//! Small files that survive a loss of power whole.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Replaces a file of a folder, which is created if it is absent.
///
/// A reader finds the old text or the new one, and the new one for good once this
/// returns.
///
/// # Errors
///
/// Fails if the file cannot be made durable.
pub(crate) fn replace_file(folder: &Path, name: &str, text: &str) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let draft = folder.join(format!("{name}-draft"));
    let mut file = File::create(&draft)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&draft, folder.join(name))?;
    File::open(folder)?.sync_all()?;
    if let Some(parent) = folder.parent().filter(|parent| parent.is_dir()) {
        File::open(parent)?.sync_all()?;
    }
    Ok(())
}

/// Reads a file of a folder; `None` if there is none.
///
/// # Errors
///
/// Fails if the file is there and cannot be read.
pub(crate) fn read_file(folder: &Path, name: &str) -> io::Result<Option<String>> {
    match fs::read_to_string(folder.join(name)) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
