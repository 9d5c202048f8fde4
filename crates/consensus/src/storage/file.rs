//! Storage in checksummed files in one directory.
//!
//! Changes are appended to numbered segment files, one frame for each sync. A new
//! segment begins with the term and the vote, so that older segments can be deleted
//! once a snapshot covers their entries. A snapshot is written to a temporary file,
//! synced and renamed. The directory is synced after a file was created, renamed or
//! deleted.

use super::frame::{FrameError, HEADER_BYTES, encode_frame, frame_end, read_frame};
use super::{LogStorage, StorageError, StorageRecord, StoredState, reconcile, replay};
use crate::{GroupMembership, HardState, LogEntry, SnapshotRecord};
use bytes::Bytes;
use chicoryladder_types::{LogIndex, TermNumber};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The size from which on the next write starts a new segment.
const SEGMENT_MAX_BYTES: u64 = 8 * 1024 * 1024;

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SNAPSHOT_TEMP_NAME: &str = "draft-of-snapshot";

#[derive(Debug)]
struct SegmentRecord {
    number: u64,
    last_entry: LogIndex,
}

/// The header of a snapshot file. The serialized state follows it outside of the frame,
/// since copying it into a frame would double the memory use of a snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotHead {
    index: LogIndex,
    term: TermNumber,
    membership: GroupMembership,
    data_bytes: u64,
    data_crc: u32,
}

/// Storage in files in one directory.
#[derive(Debug)]
pub struct FileStorage {
    directory: PathBuf,
    segments: Vec<SegmentRecord>,
    segment_file: Option<File>,
    segment_bytes: u64,
    hard_state: HardState,
    pending: Vec<StorageRecord>,
    failed: bool,
}

impl FileStorage {
    /// Opens the storage in a directory, which is created if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be created or synced.
    pub fn open(directory: impl Into<PathBuf>) -> Result<Self, StorageError> {
        let directory = directory.into();
        fs::create_dir_all(&directory).map_err(|source| io_error(&directory, source))?;
        if let Some(parent) = directory.parent().filter(|p| p.is_dir()) {
            sync_directory(parent)?;
        }
        Ok(Self {
            directory,
            segments: Vec::new(),
            segment_file: None,
            segment_bytes: 0,
            hard_state: HardState::default(),
            pending: Vec::new(),
            failed: false,
        })
    }

    fn path(&self, prefix: &str, number: u64) -> PathBuf {
        self.directory.join(format!("{prefix}{number:020}"))
    }

    fn record(&mut self, record: StorageRecord) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Stopped);
        }
        self.pending.push(record);
        Ok(())
    }

    /// Runs one step; an error stops the storage permanently.
    fn guard(
        &mut self,
        step: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Stopped);
        }
        let outcome = step(self);
        self.failed = outcome.is_err();
        outcome
    }

    fn file_numbers(&self, prefix: &str) -> Result<Vec<u64>, StorageError> {
        let listing = fs::read_dir(&self.directory).map_err(|e| io_error(&self.directory, e))?;
        let mut numbers = Vec::new();
        for item in listing {
            let item = item.map_err(|e| io_error(&self.directory, e))?;
            let name = item.file_name();
            let number = name.to_str().and_then(|n| n.strip_prefix(prefix));
            numbers.extend(number.and_then(|n| n.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn load_snapshot(&self) -> Result<Option<SnapshotRecord>, StorageError> {
        let Some(number) = self.file_numbers(SNAPSHOT_PREFIX)?.pop() else {
            return Ok(None);
        };
        let path = self.path(SNAPSHOT_PREFIX, number);
        let bytes = fs::read(&path).map_err(|e| io_error(&path, e))?;
        let corrupt = || corruption(&path, 0, "snapshot checksum mismatch");
        let bytes = Bytes::from(bytes);
        let (payload, data) = read_frame(&bytes).map_err(|_| corrupt())?;
        let head: SnapshotHead = postcard::from_bytes(payload).map_err(|_| corrupt())?;
        if data.len() as u64 != head.data_bytes || crc32fast::hash(data) != head.data_crc {
            return Err(corrupt());
        }
        Ok(Some(SnapshotRecord {
            index: head.index,
            term: head.term,
            membership: head.membership,
            data: bytes.slice_ref(data),
        }))
    }

    fn load_segments(&mut self, state: &mut StoredState) -> Result<(), StorageError> {
        let numbers = self.file_numbers(SEGMENT_PREFIX)?;
        let last = numbers.last().copied();
        for number in numbers {
            let path = self.path(SEGMENT_PREFIX, number);
            let previous = self.segments.last();
            if previous.is_some_and(|previous| previous.number + 1 != number) {
                return Err(corruption(&path, 0, "the preceding segment is missing"));
            }
            let last_entry = load_segment(&path, Some(number) == last, state)?;
            self.segments.push(SegmentRecord { number, last_entry });
        }
        Ok(())
    }

    fn ensure_segment(&mut self) -> Result<(), StorageError> {
        if self.segment_file.is_some() && self.segment_bytes < SEGMENT_MAX_BYTES {
            return Ok(());
        }
        let number = self.segments.last().map_or(1, |last| last.number + 1);
        let path = self.path(SEGMENT_PREFIX, number);
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(&path)
            .map_err(|e| io_error(&path, e))?;
        sync_directory(&self.directory)?;
        self.segment_file = Some(file);
        self.segment_bytes = 0;
        let last_entry = LogIndex::default();
        self.segments.push(SegmentRecord { number, last_entry });
        let hard_state = StorageRecord::HardState(self.hard_state);
        self.pending.insert(0, hard_state);
        Ok(())
    }

    fn write_pending(&mut self) -> Result<(), StorageError> {
        self.ensure_segment()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        let records = std::mem::take(&mut self.pending);
        let frame = encode(&self.directory, &records)?;
        if let Some(file) = &mut self.segment_file {
            file.write_all(&frame)
                .map_err(|e| io_error(&self.directory, e))?;
            file.sync_data().map_err(StorageError::SyncFailed)?;
        }
        self.segment_bytes += frame.len() as u64;
        if let Some(segment) = self.segments.last_mut() {
            let highest = records.iter().map(entry_index).max().unwrap_or_default();
            segment.last_entry = segment.last_entry.max(highest);
        }
        Ok(())
    }

    fn write_snapshot(&self, snapshot: &SnapshotRecord) -> Result<(), StorageError> {
        let path = self.path(SNAPSHOT_PREFIX, snapshot.index.0);
        let temp_path = self.directory.join(SNAPSHOT_TEMP_NAME);
        let head = SnapshotHead {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            data_bytes: snapshot.data.len() as u64,
            data_crc: crc32fast::hash(&snapshot.data),
        };
        let frame = encode(&path, &head)?;
        let mut file = File::create(&temp_path).map_err(|e| io_error(&temp_path, e))?;
        file.write_all(&frame)
            .map_err(|e| io_error(&temp_path, e))?;
        file.write_all(&snapshot.data)
            .map_err(|e| io_error(&temp_path, e))?;
        file.sync_all().map_err(StorageError::SyncFailed)?;
        fs::rename(&temp_path, &path).map_err(|e| io_error(&path, e))?;
        sync_directory(&self.directory)
    }

    /// Deletes older snapshots and the segments that a snapshot covers. The segment that
    /// is being written is kept, since it holds the current term and vote.
    fn delete_covered(&mut self, index: LogIndex) -> Result<(), StorageError> {
        for number in self.file_numbers(SNAPSHOT_PREFIX)? {
            if number < index.0 {
                self.delete(SNAPSHOT_PREFIX, number)?;
            }
        }
        while let [first, _, ..] = self.segments.as_slice() {
            if first.last_entry > index {
                break;
            }
            self.delete(SEGMENT_PREFIX, first.number)?;
            self.segments.remove(0);
        }
        sync_directory(&self.directory)
    }

    fn delete(&self, prefix: &str, number: u64) -> Result<(), StorageError> {
        let path = self.path(prefix, number);
        fs::remove_file(&path).map_err(|e| io_error(&path, e))
    }
}

impl LogStorage for FileStorage {
    fn load(&mut self) -> Result<StoredState, StorageError> {
        let mut state = StoredState {
            snapshot: self.load_snapshot()?,
            ..StoredState::default()
        };
        self.segments.clear();
        self.load_segments(&mut state)?;
        self.hard_state = state.hard_state;
        if !reconcile(&mut state) {
            return Err(corruption(&self.directory, 0, "log entries are missing"));
        }
        Ok(state)
    }

    fn set_hard_state(&mut self, state: HardState) -> Result<(), StorageError> {
        self.record(StorageRecord::HardState(state))?;
        self.hard_state = state;
        Ok(())
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        for entry in entries {
            self.record(StorageRecord::Append(entry.clone()))?;
        }
        Ok(())
    }

    fn truncate_suffix(&mut self, from: LogIndex) -> Result<(), StorageError> {
        self.record(StorageRecord::Truncate(from))
    }

    fn save_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), StorageError> {
        self.guard(|storage| {
            storage.write_snapshot(snapshot)?;
            storage.write_pending()?;
            storage.delete_covered(snapshot.index)
        })
    }

    fn read_snapshot(
        &self,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> Result<Option<Vec<u8>>, StorageError> {
        let path = self.path(SNAPSHOT_PREFIX, index.0);
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(io_error(&path, error)),
        };
        let failed = |error| io_error(&path, error);
        let mut header = [0; HEADER_BYTES];
        file.read_exact_at(&mut header, 0).map_err(failed)?;
        let data_start = frame_end(&header)
            .ok_or_else(|| corruption(&path, 0, "the snapshot header is invalid"))?;
        let mut part = vec![0; length];
        file.read_exact_at(&mut part, data_start + offset)
            .map_err(failed)?;
        Ok(Some(part))
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        self.guard(|storage| {
            if storage.pending.is_empty() {
                return Ok(());
            }
            storage.write_pending()
        })
    }
}

/// Replays one segment and returns its highest entry index.
fn load_segment(
    path: &Path,
    is_last: bool,
    state: &mut StoredState,
) -> Result<LogIndex, StorageError> {
    let bytes = fs::read(path).map_err(|e| io_error(path, e))?;
    let mut rest = bytes.as_slice();
    let mut last_entry = LogIndex::default();
    while !rest.is_empty() {
        let offset = (bytes.len() - rest.len()) as u64;
        let payload = match read_frame(rest) {
            Ok((payload, after)) => {
                rest = after;
                payload
            }
            Err(FrameError::Torn) if is_last => {
                truncate_file(path, offset)?;
                break;
            }
            Err(_) => return Err(corruption(path, offset, "invalid frame")),
        };
        let records: Vec<StorageRecord> = postcard::from_bytes(payload)
            .map_err(|_| corruption(path, offset, "undecodable frame payload"))?;
        for record in records {
            last_entry = last_entry.max(entry_index(&record));
            replay(state, record);
        }
    }
    Ok(last_entry)
}

fn entry_index(record: &StorageRecord) -> LogIndex {
    match record {
        StorageRecord::Append(entry) => entry.index,
        StorageRecord::HardState(_) | StorageRecord::Truncate(_) => LogIndex::default(),
    }
}

fn encode(path: &Path, value: &(impl Serialize + ?Sized)) -> Result<Vec<u8>, StorageError> {
    let payload = postcard::to_stdvec(value).map_err(|e| io_error(path, io::Error::other(e)))?;
    let too_long = || io_error(path, io::ErrorKind::FileTooLarge.into());
    encode_frame(&payload).ok_or_else(too_long)
}

fn io_error(path: &Path, source: io::Error) -> StorageError {
    if source.kind() == io::ErrorKind::StorageFull {
        return StorageError::DiskFull(source);
    }
    let path = path.to_owned();
    StorageError::Io { path, source }
}

fn corruption(path: &Path, offset: u64, detail: &'static str) -> StorageError {
    StorageError::Corrupt {
        path: path.to_owned(),
        offset,
        detail,
    }
}

fn sync_directory(directory: &Path) -> Result<(), StorageError> {
    let file = File::open(directory).map_err(|e| io_error(directory, e))?;
    file.sync_all().map_err(StorageError::SyncFailed)
}

/// Truncates a segment at a torn frame, whose sync never completed.
fn truncate_file(path: &Path, length: u64) -> Result<(), StorageError> {
    log::warn!(
        "replica: removing a torn write at the end of a log segment, from byte {length} on."
    );
    let file = OpenOptions::new()
        .write(true)
        .open(path)
        .map_err(|e| io_error(path, e))?;
    file.set_len(length).map_err(|e| io_error(path, e))?;
    file.sync_all().map_err(StorageError::SyncFailed)
}
