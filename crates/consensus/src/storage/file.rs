//! Storage in checksummed files in one directory.
//!
//! Changes are appended to numbered segment files, mostly one frame for each sync. A new
//! segment begins with the term and the vote, so that older segments can be deleted
//! once a snapshot covers their entries. A snapshot is written to a temporary file in parts,
//! synced and renamed. The directory is synced after a file was created, renamed or
//! deleted.

mod snapshots;

use super::folder::{DirectoryFolder, StorageFolder};
use super::frame::{FrameError, FrameReader, HEADER_BYTES, encode_frame, read_frame};
use super::loaded::LogLoader;
use super::{
    LogStorage, StateWriter, StorageError, StorageRecord, StoredState, gap_in_parts, reconcile,
};
use crate::{EntryPayload, HardState, LogEntry, SnapshotHead, SnapshotPoint, StoredCommand};
use chicoryladder_types::{LogIndex, TermNumber};
use serde::Serialize;
use snapshots::SnapshotDraft;
use std::io;
use std::path::{Path, PathBuf};

/// The size from which on the next write starts a new segment.
const SEGMENT_MAX_BYTES: u64 = 8 * 1024 * 1024;

/// The size from which on the changes of one sync are written in several frames, each with a sync
/// of its own: a frame is in memory as a whole while it is written or read.
const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The size of the commands that a start keeps in memory. They are the ones that seats which lag
/// are most likely to need.
const LOADED_MAX_BYTES: usize = 8 * 1024 * 1024;

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// The file with the last term that the seat led. It is not a record in a segment, which builds
/// before could not read.
const LEADERSHIP_NAME: &str = "leadership";

#[derive(Debug)]
struct SegmentRecord {
    number: u64,
    last_entry: LogIndex,
}

/// Storage in files in one directory.
#[derive(Debug)]
pub struct FileStorage {
    /// The path that errors name.
    directory: PathBuf,
    folder: Box<dyn StorageFolder>,
    segments: Vec<SegmentRecord>,
    /// Whether the last segment was begun by this process, which appends to no other.
    is_writing: bool,
    segment_bytes: u64,
    hard_state: HardState,
    pending: Vec<StorageRecord>,
    failed: bool,
    loaded_max_bytes: usize,
    /// The snapshot that is being received.
    received: Option<SnapshotDraft>,
}

impl FileStorage {
    /// Opens the storage in a directory, which is created if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be created or synced.
    pub fn open(directory: impl Into<PathBuf>) -> Result<Self, StorageError> {
        let directory = directory.into();
        let folder = DirectoryFolder::open(directory.clone());
        let folder = folder.map_err(|source| io_error(&directory, source))?;
        Ok(Self::in_folder(directory, Box::new(folder)))
    }

    /// Opens the storage in a folder; errors name it by `directory`.
    #[must_use]
    pub fn in_folder(directory: PathBuf, folder: Box<dyn StorageFolder>) -> Self {
        Self {
            directory,
            folder,
            segments: Vec::new(),
            is_writing: false,
            segment_bytes: 0,
            hard_state: HardState::default(),
            pending: Vec::new(),
            failed: false,
            loaded_max_bytes: LOADED_MAX_BYTES,
            received: None,
        }
    }

    /// Sets the size of the commands that a start keeps in memory, in bytes.
    #[must_use]
    pub fn with_loaded_max_bytes(self, loaded_max_bytes: usize) -> Self {
        Self {
            loaded_max_bytes,
            ..self
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn io_error(&self, name: &str, source: io::Error) -> StorageError {
        io_error(&self.path(name), source)
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
        let names = self.folder.names().map_err(|e| self.io_error("", e))?;
        let numbers = names.iter().filter_map(|name| {
            let number = name.strip_prefix(prefix)?;
            number.parse::<u64>().ok()
        });
        let mut numbers: Vec<u64> = numbers.collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Loads the segments after the last gap. A loss of power may undo a part of the deletion of
    /// older ones; if the gap has another cause, entries are missing.
    ///
    /// Returns the segments before the gap.
    fn load_segments(&mut self, loader: &mut LogLoader) -> Result<Vec<u64>, StorageError> {
        let mut leftovers = self.file_numbers(SEGMENT_PREFIX)?;
        let last = leftovers.last().copied();
        let gap = leftovers
            .windows(2)
            .rposition(|pair| pair[0] + 1 != pair[1]);
        let numbers = leftovers.split_off(gap.map_or(0, |before| before + 1));
        for number in numbers {
            let last_entry = self.load_segment(number, Some(number) == last, loader)?;
            self.segments.push(SegmentRecord { number, last_entry });
        }
        Ok(leftovers)
    }

    /// Makes the loaded files durable. The process before may have been killed before it had
    /// synced its last write, and this one builds on it, in another file.
    fn sync_loaded(&mut self, snapshot: Option<LogIndex>) -> Result<(), StorageError> {
        let segments = self.segments.iter();
        let segments = segments.map(|segment| file_name(SEGMENT_PREFIX, segment.number));
        let snapshot = snapshot.map(|index| file_name(SNAPSHOT_PREFIX, index.0));
        for name in segments.chain(snapshot) {
            let synced = self.folder.sync_file(&name);
            synced.map_err(StorageError::SyncFailed)?;
        }
        self.folder.sync().map_err(StorageError::SyncFailed)
    }

    /// Replays one segment and returns its highest entry index.
    fn load_segment(
        &mut self,
        number: u64,
        is_last: bool,
        loader: &mut LogLoader,
    ) -> Result<LogIndex, StorageError> {
        let name = file_name(SEGMENT_PREFIX, number);
        let path = self.path(&name);
        let opened = FrameReader::open(&*self.folder, &name);
        let mut frames = opened.map_err(|e| self.io_error(&name, e))?;
        let mut last_entry = LogIndex::default();
        let torn_at = loop {
            let offset = frames.offset();
            let payload = match frames.next() {
                Ok(Some(payload)) => payload,
                Ok(None) => break None,
                Err(FrameError::Torn) if is_last => break Some(offset),
                Err(FrameError::Io(error)) => return Err(self.io_error(&name, error)),
                Err(_) => return Err(corruption(&path, offset, "invalid frame")),
            };
            let undecodable = |_| corruption(&path, offset, "undecodable frame payload");
            let (count, mut rest) =
                postcard::take_from_bytes::<usize>(payload).map_err(undecodable)?;
            for _ in 0..count {
                let before = rest.len();
                let record: StorageRecord;
                (record, rest) = postcard::take_from_bytes(rest).map_err(undecodable)?;
                last_entry = last_entry.max(record.entry_index());
                let within_frame = HEADER_BYTES + payload.len() - before;
                let place = StoredCommand {
                    segment: number,
                    offset: offset + within_frame as u64,
                    length: before - rest.len(),
                };
                loader.replay(record, place);
            }
        };
        if let Some(offset) = torn_at {
            self.truncate_segment(&name, offset)?;
        }
        Ok(last_entry)
    }

    /// Truncates a segment at a torn frame, whose sync never completed.
    fn truncate_segment(&mut self, name: &str, length: u64) -> Result<(), StorageError> {
        log::warn!(
            "replica: removing a torn write at the end of a log segment, from byte {length} on."
        );
        let truncated = self.folder.truncate(name, length);
        truncated.map_err(|e| self.io_error(name, e))?;
        self.folder
            .sync_file(name)
            .map_err(StorageError::SyncFailed)
    }

    /// Begins a segment if the last one is full. Returns the record that a new one begins with.
    fn ensure_segment(&mut self) -> Result<Option<StorageRecord>, StorageError> {
        if self.is_writing && self.segment_bytes < SEGMENT_MAX_BYTES {
            return Ok(None);
        }
        let number = self.segments.last().map_or(1, |last| last.number + 1);
        let name = file_name(SEGMENT_PREFIX, number);
        let created = self.folder.create(&name);
        created.map_err(|e| self.io_error(&name, e))?;
        self.folder.sync().map_err(StorageError::SyncFailed)?;
        self.is_writing = true;
        self.segment_bytes = 0;
        let last_entry = LogIndex::default();
        self.segments.push(SegmentRecord { number, last_entry });
        Ok(Some(StorageRecord::HardState(self.hard_state)))
    }

    /// Writes the pending changes durably, in frames of a limited size.
    fn write_pending(&mut self) -> Result<(), StorageError> {
        let records = std::mem::take(&mut self.pending);
        let mut rest = records.as_slice();
        loop {
            let first = self.ensure_segment()?;
            let (frame, later) = rest.split_at(frame_length(rest));
            let frame: Vec<&StorageRecord> = first.iter().chain(frame).collect();
            if !frame.is_empty() {
                self.write_frame(&frame)?;
            }
            rest = later;
            if rest.is_empty() {
                return Ok(());
            }
        }
    }

    fn write_frame(&mut self, records: &[&StorageRecord]) -> Result<(), StorageError> {
        let frame = encode(&self.directory, records)?;
        let number = self.segments.last().map_or(1, |last| last.number);
        let name = file_name(SEGMENT_PREFIX, number);
        let appended = self.folder.append(&name, &frame);
        appended.map_err(|e| self.io_error(&name, e))?;
        let synced = self.folder.sync_file(&name);
        synced.map_err(StorageError::SyncFailed)?;
        self.segment_bytes += frame.len() as u64;
        if let Some(segment) = self.segments.last_mut() {
            let highest = records.iter().map(|record| record.entry_index()).max();
            segment.last_entry = segment.last_entry.max(highest.unwrap_or_default());
        }
        Ok(())
    }

    /// Reads the last term that the seat led. The file is no part of the log: without a whole
    /// one, the seat only waits for an election.
    fn load_leadership(&self) -> Option<TermNumber> {
        let bytes = self.folder.read(LEADERSHIP_NAME).ok()?;
        let (payload, _) = read_frame(&bytes).ok()?;
        postcard::from_bytes(payload).ok()
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
        self.folder.sync().map_err(StorageError::SyncFailed)
    }

    fn delete(&mut self, prefix: &str, number: u64) -> Result<(), StorageError> {
        let name = file_name(prefix, number);
        let removed = self.folder.remove(&name);
        removed.map_err(|e| self.io_error(&name, e))
    }
}

impl LogStorage for FileStorage {
    fn recover(&mut self) -> Result<(), StorageError> {
        if self.is_writing
            && let Some(last) = self.segments.last()
        {
            let name = file_name(SEGMENT_PREFIX, last.number);
            let truncated = self.folder.truncate(&name, self.segment_bytes);
            truncated.map_err(|e| self.io_error(&name, e))?;
            let synced = self.folder.sync_file(&name);
            synced.map_err(StorageError::SyncFailed)?;
        }
        self.is_writing = false;
        self.pending.clear();
        self.received = None;
        self.failed = false;
        Ok(())
    }

    fn load(&mut self) -> Result<StoredState, StorageError> {
        let state = StoredState {
            snapshot: self.load_snapshot()?,
            led_term: self.load_leadership(),
            ..StoredState::default()
        };
        self.segments.clear();
        let mut loader = LogLoader::new(state, self.loaded_max_bytes);
        let leftovers = self.load_segments(&mut loader)?;
        let mut state = loader.state;
        self.hard_state = state.hard_state;
        if !reconcile(&mut state) {
            return Err(corruption(&self.directory, 0, "log entries are missing"));
        }
        for number in leftovers {
            self.delete(SEGMENT_PREFIX, number)?;
        }
        self.sync_loaded(state.snapshot.as_ref().map(|snapshot| snapshot.point.index))?;
        Ok(state)
    }

    fn load_command(&self, entry: &mut LogEntry) -> Result<(), StorageError> {
        let EntryPayload::Stored(place) = entry.payload else {
            return Ok(());
        };
        let name = file_name(SEGMENT_PREFIX, place.segment);
        let mut bytes = vec![0; place.length];
        let read = self.folder.read_at(&name, place.offset, &mut bytes);
        read.map_err(|e| self.io_error(&name, e))?;
        match postcard::from_bytes(&bytes) {
            Ok(StorageRecord::Append(stored))
                if (stored.index, stored.term) == (entry.index, entry.term) =>
            {
                *entry = stored;
                Ok(())
            }
            _ => Err(corruption(&self.path(&name), place.offset, "not the entry")),
        }
    }

    fn set_hard_state(&mut self, state: HardState) -> Result<(), StorageError> {
        self.record(StorageRecord::HardState(state))?;
        self.hard_state = state;
        Ok(())
    }

    fn set_leadership(&mut self, term: TermNumber) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Stopped);
        }
        let frame = encode(&self.path(LEADERSHIP_NAME), &term)?;
        let folder = &mut self.folder;
        let created = folder.create(LEADERSHIP_NAME);
        let written = created.and_then(|()| folder.append(LEADERSHIP_NAME, &frame));
        written.map_err(|e| self.io_error(LEADERSHIP_NAME, e))?;
        let synced = self.folder.sync_file(LEADERSHIP_NAME);
        let synced = synced.and_then(|()| self.folder.sync());
        synced.map_err(StorageError::SyncFailed)
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

    fn save_snapshot(
        &mut self,
        point: &SnapshotPoint,
        write_state: &mut StateWriter<'_>,
    ) -> Result<SnapshotHead, StorageError> {
        let mut saved = None;
        self.guard(|storage| {
            let draft = storage.write_draft(point, write_state)?;
            saved = Some(storage.finish_draft(draft)?);
            storage.write_pending()?;
            storage.delete_covered(point.index)
        })?;
        saved.ok_or(StorageError::Stopped)
    }

    fn write_snapshot_part(
        &mut self,
        head: &SnapshotHead,
        offset: u64,
        data: &[u8],
    ) -> Result<(), StorageError> {
        self.guard(|storage| storage.append_received(head, offset, data))
    }

    fn install_snapshot(&mut self, head: &SnapshotHead) -> Result<(), StorageError> {
        self.guard(|storage| {
            let draft = storage.received.take();
            let draft = draft.filter(|draft| draft.is_complete(head));
            let draft = draft.ok_or_else(|| gap_in_parts(head.size))?;
            storage.finish_draft(draft)?;
            storage.write_pending()?;
            storage.delete_covered(head.point.index)
        })
    }

    fn read_snapshot(
        &self,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> Result<Option<Vec<u8>>, StorageError> {
        self.read_state(index, offset, length)
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

fn file_name(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:020}")
}

/// The number of the first records that are written in one frame.
fn frame_length(records: &[StorageRecord]) -> usize {
    let mut bytes = 0;
    let is_beyond = |record: &StorageRecord| {
        bytes += record.approximate_bytes();
        bytes > FRAME_MAX_BYTES
    };
    let beyond = records.iter().position(is_beyond);
    beyond.map_or(records.len(), |count| count.max(1))
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
