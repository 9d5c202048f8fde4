//! Snapshot files: a frame with the head, and behind it the serialized state, which is written and
//! read in parts.

use super::super::frame::{HEADER_BYTES, encode_frame, frame_end, read_frame};
use super::super::{StateWriter, StorageError, gap_in_parts};
use super::{FileStorage, SNAPSHOT_PREFIX, corruption, file_name, io_error};
use crate::{GroupMembership, SnapshotHead, SnapshotPoint};
use chicoryladder_types::{LogIndex, TermNumber};
use crc32fast::Hasher;
use serde::{Deserialize, Serialize};
use std::io::{self, BufWriter, Write};

/// The snapshot of the own state that is being written.
const DRAFT_NAME: &str = "draft-of-snapshot";

/// The snapshot of the leader that is being received. The seat may take its own at the same time.
const RECEIVED_NAME: &str = "draft-of-received-snapshot";

/// The bytes of the state that are written or checked at once.
const PART_BYTES: usize = 256 * 1024;

/// The head of a snapshot file. Its frame has room for any figures, as it is written after the
/// state: zeros follow it.
#[derive(Debug, Serialize, Deserialize)]
struct FileHead {
    index: LogIndex,
    term: TermNumber,
    membership: GroupMembership,
    data_bytes: u64,
    data_crc: u32,
}

/// A snapshot file that is being written.
#[derive(Debug)]
pub(super) struct SnapshotDraft {
    name: &'static str,
    point: SnapshotPoint,
    /// The size of the head without its frame, in bytes.
    head_bytes: usize,
    data_bytes: u64,
    hasher: Hasher,
}

impl SnapshotDraft {
    /// Whether the draft has the whole state of a snapshot.
    pub(super) fn is_complete(&self, head: &SnapshotHead) -> bool {
        self.point == head.point && self.data_bytes == head.size
    }

    /// The encoded head, without its frame.
    fn encode_head(&self, data_bytes: u64, data_crc: u32) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&FileHead {
            index: self.point.index,
            term: self.point.term,
            membership: self.point.membership.clone(),
            data_bytes,
            data_crc,
        })
    }
}

/// Appends the serialized state to a draft.
struct DraftWriter<'a> {
    storage: &'a mut FileStorage,
    draft: SnapshotDraft,
    failure: Option<StorageError>,
}

impl Write for DraftWriter<'_> {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        if let Err(error) = self.storage.append_draft(&mut self.draft, data) {
            self.failure.get_or_insert(error);
            return Err(io::ErrorKind::Other.into());
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl FileStorage {
    /// Writes a snapshot of the own state, not durably.
    pub(super) fn write_draft(
        &mut self,
        point: &SnapshotPoint,
        write_state: &mut StateWriter<'_>,
    ) -> Result<SnapshotDraft, StorageError> {
        let draft = self.create_draft(DRAFT_NAME, point)?;
        let writer = DraftWriter {
            storage: self,
            draft,
            failure: None,
        };
        let mut buffered = BufWriter::with_capacity(PART_BYTES, writer);
        let written = write_state(&mut buffered);
        let flushed = buffered.flush();
        let (writer, _) = buffered.into_parts();
        if let Some(failure) = writer.failure {
            return Err(failure);
        }
        written?;
        flushed.map_err(|e| io_error(&writer.storage.path(DRAFT_NAME), e))?;
        Ok(writer.draft)
    }

    /// Appends a part of a snapshot that is received.
    pub(super) fn append_received(
        &mut self,
        head: &SnapshotHead,
        offset: u64,
        data: &[u8],
    ) -> Result<(), StorageError> {
        let mut draft = if offset == 0 {
            self.create_draft(RECEIVED_NAME, &head.point)?
        } else {
            let follows =
                |draft: &SnapshotDraft| draft.point == head.point && draft.data_bytes == offset;
            let draft = self.received.take().filter(follows);
            draft.ok_or_else(|| gap_in_parts(offset))?
        };
        self.append_draft(&mut draft, data)?;
        self.received = Some(draft);
        Ok(())
    }

    fn create_draft(
        &mut self,
        name: &'static str,
        point: &SnapshotPoint,
    ) -> Result<SnapshotDraft, StorageError> {
        let mut draft = SnapshotDraft {
            name,
            point: point.clone(),
            head_bytes: 0,
            data_bytes: 0,
            hasher: Hasher::new(),
        };
        let longest = draft.encode_head(u64::MAX, u32::MAX);
        let longest = longest.map_err(|e| self.io_error(name, io::Error::other(e)))?;
        draft.head_bytes = longest.len();
        let reserved = vec![0; HEADER_BYTES + draft.head_bytes];
        let created = self.folder.create(name);
        let reserved = created.and_then(|()| self.folder.append(name, &reserved));
        reserved.map_err(|e| self.io_error(name, e))?;
        Ok(draft)
    }

    fn append_draft(&mut self, draft: &mut SnapshotDraft, data: &[u8]) -> Result<(), StorageError> {
        let appended = self.folder.append(draft.name, data);
        appended.map_err(|e| self.io_error(draft.name, e))?;
        draft.hasher.update(data);
        draft.data_bytes += data.len() as u64;
        Ok(())
    }

    /// Writes the head of a draft and makes it the newest snapshot, durably.
    pub(super) fn finish_draft(
        &mut self,
        draft: SnapshotDraft,
    ) -> Result<SnapshotHead, StorageError> {
        let temp_name = draft.name;
        let name = file_name(SNAPSHOT_PREFIX, draft.point.index.0);
        let failed = |e| io_error(&self.directory.join(temp_name), e);
        let head = draft.encode_head(draft.data_bytes, draft.hasher.clone().finalize());
        let mut head = head.map_err(|e| failed(io::Error::other(e)))?;
        head.resize(draft.head_bytes, 0);
        let frame =
            encode_frame(&head).ok_or_else(|| failed(io::ErrorKind::FileTooLarge.into()))?;
        let folder = &mut self.folder;
        folder.write_at(temp_name, 0, &frame).map_err(failed)?;
        let synced = folder.sync_file(temp_name);
        synced.map_err(StorageError::SyncFailed)?;
        folder.rename(temp_name, &name).map_err(failed)?;
        folder.sync().map_err(StorageError::SyncFailed)?;
        Ok(SnapshotHead {
            point: draft.point,
            size: draft.data_bytes,
        })
    }

    /// Reads the head of the newest snapshot, and checks its state.
    pub(super) fn load_snapshot(&self) -> Result<Option<SnapshotHead>, StorageError> {
        let Some(number) = self.file_numbers(SNAPSHOT_PREFIX)?.pop() else {
            return Ok(None);
        };
        let name = file_name(SNAPSHOT_PREFIX, number);
        let corrupt = || corruption(&self.path(&name), 0, "snapshot checksum mismatch");
        let failed = |e| self.io_error(&name, e);
        let file_bytes = self.folder.length(&name).map_err(failed)?;
        let data_start = self.state_start(&name).map_err(failed)?;
        let data_start = data_start.filter(|end| *end <= file_bytes);
        let data_start = data_start.ok_or_else(corrupt)?;
        let frame_bytes = usize::try_from(data_start).map_err(|_| corrupt())?;
        let mut frame = vec![0; frame_bytes];
        self.folder.read_at(&name, 0, &mut frame).map_err(failed)?;
        let (payload, _) = read_frame(&frame).map_err(|_| corrupt())?;
        let head: FileHead = postcard::from_bytes(payload).map_err(|_| corrupt())?;
        let is_whole = file_bytes - data_start == head.data_bytes;
        if !is_whole || self.state_crc(&name, data_start, file_bytes)? != head.data_crc {
            return Err(corrupt());
        }
        Ok(Some(SnapshotHead {
            point: SnapshotPoint {
                index: head.index,
                term: head.term,
                membership: head.membership,
            },
            size: head.data_bytes,
        }))
    }

    /// The checksum of the bytes of a file from `offset` to `end`.
    fn state_crc(&self, name: &str, mut offset: u64, end: u64) -> Result<u32, StorageError> {
        let mut hasher = Hasher::new();
        let mut part = vec![0; PART_BYTES];
        while offset < end {
            let left = usize::try_from(end - offset).unwrap_or(usize::MAX);
            part.truncate(left);
            let read = self.folder.read_at(name, offset, &mut part);
            read.map_err(|e| self.io_error(name, e))?;
            hasher.update(&part);
            offset += part.len() as u64;
        }
        Ok(hasher.finalize())
    }

    /// The offset of the state in a snapshot file; `None` if the file has no frame.
    fn state_start(&self, name: &str) -> io::Result<Option<u64>> {
        let mut header = [0; HEADER_BYTES];
        match self.folder.read_at(name, 0, &mut header) {
            Ok(()) => Ok(frame_end(&header)),
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads a part of the state of a snapshot; `None` if it is not stored.
    pub(super) fn read_state(
        &self,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> Result<Option<Vec<u8>>, StorageError> {
        let name = file_name(SNAPSHOT_PREFIX, index.0);
        let data_start = match self.state_start(&name) {
            Ok(data_start) => data_start,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(self.io_error(&name, error)),
        };
        let invalid = || corruption(&self.path(&name), 0, "the snapshot header is invalid");
        let data_start = data_start.ok_or_else(invalid)?;
        let mut part = vec![0; length];
        let read = self.folder.read_at(&name, data_start + offset, &mut part);
        read.map_err(|e| self.io_error(&name, e))?;
        Ok(Some(part))
    }
}
