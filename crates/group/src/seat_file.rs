//! The file that records which seat a data directory belongs to.
//!
//! The file is written before the first vote or acknowledgement of the seat. If it is
//! missing, the host has lost its disk or never had a seat. Unless it bootstraps the
//! group, it must then join as a new seat, whatever else the directory contains.

use crate::durable_file::{read_file, replace_file};
use chicoryladder_types::SeatId;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "seat";

/// The seats and addresses of the members that bootstrap a group.
pub type BootstrapMembers = BTreeMap<SeatId, SocketAddr>;

/// A seat and the membership that it starts from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatRecord {
    /// The seat.
    pub seat: SeatId,
    /// The members at the bootstrap of the group; empty on a seat that joined later.
    pub bootstrap_members: BootstrapMembers,
}

/// The seat file of a data directory. The first line is the seat; every other line is a
/// bootstrap member with its address.
#[derive(Clone, Debug)]
pub struct SeatFile {
    directory: PathBuf,
}

impl SeatFile {
    /// Refers to the seat file in a directory; does no I/O.
    #[must_use]
    pub fn new(directory: &Path) -> Self {
        Self {
            directory: directory.to_owned(),
        }
    }

    /// Reads the seat; `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is malformed.
    pub fn read(&self) -> io::Result<Option<SeatRecord>> {
        let Some(text) = read_file(&self.directory, FILE_NAME)? else {
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

    /// Stores the seat durably.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be made durable.
    pub fn write(&self, record: &SeatRecord) -> io::Result<()> {
        let bootstrap_members = record.bootstrap_members.iter();
        let lines = bootstrap_members.map(|(seat, address)| format!("{seat} {address}\n"));
        let text = format!("{}\n{}", record.seat, lines.collect::<String>());
        replace_file(&self.directory, FILE_NAME, &text)
    }

    /// Deletes the file, so that the directory belongs to no seat.
    ///
    /// # Errors
    ///
    /// Fails if the file exists and cannot be deleted.
    pub fn delete(&self) -> io::Result<()> {
        match fs::remove_file(self.directory.join(FILE_NAME)) {
            Ok(()) => fs::File::open(&self.directory)?.sync_all(),
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
        .ok_or_else(|| io::Error::other("a bootstrap member has no address"))?;
    let address = address.parse().map_err(io::Error::other)?;
    Ok((parse_seat(seat)?, address))
}
