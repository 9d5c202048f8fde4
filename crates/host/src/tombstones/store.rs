//! Storage of tombstones across restarts.

use chicoryladder_state::KeyTombstones;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The name of the file in the data folder.
const FILE_NAME: &str = "key-tombstones";

/// The name of the temporary file that is written and then renamed to [`FILE_NAME`].
const NEW_FILE_NAME: &str = "key-tombstones.new";

/// Storage for withdrawals that are not yet committed to the log.
pub(crate) trait TombstoneStore: Send + Sync {
    /// Reads the stored withdrawals.
    fn load(&self) -> io::Result<KeyTombstones>;

    /// Replaces the stored withdrawals; they are durable once this returns.
    fn save(&self, tombstones: &KeyTombstones) -> io::Result<()>;
}

/// Stores nothing, for a host without a disk.
pub(crate) struct NoTombstones;

impl TombstoneStore for NoTombstones {
    fn load(&self) -> io::Result<KeyTombstones> {
        Ok(KeyTombstones::default())
    }

    fn save(&self, _tombstones: &KeyTombstones) -> io::Result<()> {
        Ok(())
    }
}

/// Stores the withdrawals in one file of the data folder, replaced atomically.
pub(crate) struct FileTombstones {
    folder: PathBuf,
}

impl FileTombstones {
    pub(crate) fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
        }
    }
}

impl TombstoneStore for FileTombstones {
    fn load(&self) -> io::Result<KeyTombstones> {
        match std::fs::read(self.folder.join(FILE_NAME)) {
            Ok(bytes) => postcard::from_bytes(&bytes)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(KeyTombstones::default()),
            Err(error) => Err(error),
        }
    }

    fn save(&self, tombstones: &KeyTombstones) -> io::Result<()> {
        let bytes = postcard::to_stdvec(tombstones).map_err(io::Error::other)?;
        std::fs::create_dir_all(&self.folder)?;
        let new_path = self.folder.join(NEW_FILE_NAME);
        let mut file = File::create(&new_path)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&new_path, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()
    }
}
