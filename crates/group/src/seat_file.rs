//! The seat that a data folder belongs to.
//!
//! The file is written before the first vote or acknowledgement of the seat. A
//! folder without it has lost its disk, or never had a seat: whatever it holds,
//! it must join as a new seat.

use chicoryladder_types::SeatId;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "seat";
const DRAFT_NAME: &str = "seat-draft";

/// The file that names the seat of a data folder.
#[derive(Clone, Debug)]
pub struct SeatFile {
    folder: PathBuf,
}

impl SeatFile {
    /// The file of the given folder.
    #[must_use]
    pub fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
        }
    }

    /// Reads the seat; `None` if the folder has none.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or holds no seat.
    pub fn read(&self) -> io::Result<Option<SeatId>> {
        match fs::read_to_string(self.folder.join(FILE_NAME)) {
            Ok(text) => {
                let seat = text.trim().parse().map_err(io::Error::other)?;
                Ok(Some(SeatId(seat)))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Records the seat durably.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be made durable.
    pub fn write(&self, seat: SeatId) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let draft = self.folder.join(DRAFT_NAME);
        let mut file = File::create(&draft)?;
        writeln!(file, "{seat}")?;
        file.sync_all()?;
        fs::rename(&draft, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()?;
        if let Some(parent) = self.folder.parent().filter(|parent| parent.is_dir()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(())
    }
}
