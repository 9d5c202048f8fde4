//! The directory that a storage keeps its files in.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// The files of a storage, by name. What was written is durable only after a sync: the
/// content of a file and the name of a new one with the sync of the file, renamed and removed
/// names with the sync of the folder.
pub trait StorageFolder: Debug + Send {
    /// The names of all files.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file or it cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// The size of a file, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Fills `buffer` from `offset` on.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file or it is too short.
    fn read_at(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()>;

    /// Creates an empty file, or empties the one with this name.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// Fails if not all bytes could be written; some of them may be.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Overwrites bytes of a file from `offset` on.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file or it cannot be written.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file or it cannot be written.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown what is durable.
    fn sync_file(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file; replaces one that has the new name.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names durable.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown what is durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub(super) struct DirectoryFolder {
    path: PathBuf,
    /// The file that is being appended to.
    appended: Option<(String, File)>,
}

impl DirectoryFolder {
    /// Opens a directory, which is created if it is absent.
    pub(super) fn open(path: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&path)?;
        if let Some(parent) = path.parent().filter(|parent| parent.is_dir()) {
            File::open(parent)?.sync_all()?;
        }
        let appended = None;
        Ok(Self { path, appended })
    }

    fn appended_file(&mut self, name: &str) -> io::Result<&mut File> {
        let is_other = self.appended.as_ref().is_none_or(|(open, _)| open != name);
        if is_other {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.appended = Some((name.to_owned(), file));
        }
        let (_, file) = self.appended.as_mut().ok_or(io::ErrorKind::NotFound)?;
        Ok(file)
    }
}

impl StorageFolder for DirectoryFolder {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            names.extend(item?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.path.join(name))?.len())
    }

    fn read_at(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        let file = File::open(self.path.join(name))?;
        file.read_exact_at(buffer, offset)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.appended = None;
        File::create(self.path.join(name)).map(|_| ())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.appended_file(name)?.write_all(bytes)
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        // A file that is open for appending is written at its end only.
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.write_all_at(bytes, offset)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.appended_file(name)?.set_len(length)
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        self.appended_file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.appended = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
