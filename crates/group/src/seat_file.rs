//! The seat that a data folder belongs to.
//!
//! The file is written before the first vote or acknowledgement of the seat. A
//! folder without it has lost its disk, or never had a seat: whatever it holds,
//! it must join as a new seat.

use crate::durable_file::{read_file, replace_file};
use chicoryladder_types::SeatId;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "seat";

/// The members of a group's first start.
pub type BootstrapMembers = BTreeMap<SeatId, SocketAddr>;

/// A seat, and what it starts from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatRecord {
    /// The seat.
    pub seat: SeatId,
    /// The members of the group's first start; empty on a seat that joined later.
    pub bootstrap_members: BootstrapMembers,
}

/// The file that names the seat of a data folder: the seat on the first line, and a
/// founder with its address on each of the others.
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
    pub fn read(&self) -> io::Result<Option<SeatRecord>> {
        let Some(text) = read_file(&self.folder, FILE_NAME)? else {
            return Ok(None);
        };
        let mut lines = text.lines();
        let seat = parse_seat(lines.next().unwrap_or_default())?;
        let bootstrap_members = lines
            .map(parse_bootstrap_member)
            .collect::<io::Result<_>>()?;
        Ok(Some(SeatRecord {
            seat,
            bootstrap_members,
        }))
    }

    /// Records the seat durably.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be made durable.
    pub fn write(&self, record: &SeatRecord) -> io::Result<()> {
        let bootstrap_members = record.bootstrap_members.iter();
        let lines = bootstrap_members.map(|(seat, address)| format!("{seat} {address}\n"));
        let text = format!("{}\n{}", record.seat, lines.collect::<String>());
        replace_file(&self.folder, FILE_NAME, &text)
    }

    /// Deletes the file, so that the folder has no seat.
    ///
    /// # Errors
    ///
    /// Fails if the file is there and cannot be deleted.
    pub fn delete(&self) -> io::Result<()> {
        match fs::remove_file(self.folder.join(FILE_NAME)) {
            Ok(()) => fs::File::open(&self.folder)?.sync_all(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(error),
        }
    }
}

fn parse_seat(text: &str) -> io::Result<SeatId> {
    text.trim().parse().map(SeatId).map_err(io::Error::other)
}

fn parse_bootstrap_member(line: &str) -> io::Result<(SeatId, SocketAddr)> {
    let (seat, address) = line
        .split_once(' ')
        .ok_or_else(|| io::Error::other("a founder has no address"))?;
    let address = address.parse().map_err(io::Error::other)?;
    Ok((parse_seat(seat)?, address))
}
