//! The commands of the group on disk.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Length of a record's head: the length and the checksum, in bytes.
const HEAD_BYTES: usize = 8;

/// Name of the file within the data folder.
const FILE_NAME: &str = "group-0.log";

/// A file of checked records; a torn last record is cut off at opening.
pub(super) struct LogFile {
    file: File,
}

impl LogFile {
    /// Opens the log in `folder` and reads its records.
    pub(super) fn open(folder: &Path) -> io::Result<(Self, Vec<Vec<u8>>)> {
        std::fs::create_dir_all(folder)?;
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(folder.join(FILE_NAME))?;
        File::open(folder)?.sync_all()?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (records, whole) = split_records(&bytes)?;
        file.set_len(whole as u64)?;
        file.seek(SeekFrom::End(0))?;
        file.sync_all()?;
        Ok((Self { file }, records))
    }

    /// Appends a record and makes it durable.
    pub(super) fn append(&mut self, record: &[u8]) -> io::Result<()> {
        let length = u32::try_from(record.len())
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "the record is too long"))?;
        let mut bytes = Vec::with_capacity(HEAD_BYTES + record.len());
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&checksum(record).to_le_bytes());
        bytes.extend_from_slice(record);
        self.file.write_all(&bytes)?;
        self.file.sync_data()
    }
}

/// The records in `bytes` and the length of their whole part.
fn split_records(bytes: &[u8]) -> io::Result<(Vec<Vec<u8>>, usize)> {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(record) = next_record(&bytes[offset..]) {
        offset += HEAD_BYTES + record.len();
        records.push(record.to_vec());
    }
    if has_whole_record_after(&bytes[offset..]) {
        let text = format!("the log is damaged at byte {offset}, before its last record");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    Ok((records, offset))
}

fn next_record(bytes: &[u8]) -> Option<&[u8]> {
    let (length, told) = head(bytes)?;
    let record = bytes.get(HEAD_BYTES..HEAD_BYTES + length)?;
    (checksum(record) == told).then_some(record)
}

/// Whether a damaged record is followed by a whole one.
fn has_whole_record_after(bytes: &[u8]) -> bool {
    let Some((length, _)) = head(bytes) else {
        return false;
    };
    bytes
        .get(HEAD_BYTES + length..)
        .is_some_and(|rest| next_record(rest).is_some())
}

fn head(bytes: &[u8]) -> Option<(usize, u32)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?);
    let told = u32::from_le_bytes(bytes.get(4..HEAD_BYTES)?.try_into().ok()?);
    Some((usize::try_from(length).ok()?, told))
}

fn checksum(record: &[u8]) -> u32 {
    let hash = blake3::hash(record);
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
