//! A store with one file per job.
//!
//! A file is a sequence of records, each with a fixed-size header (payload length,
//! CRC32, kind, item) and a payload. Records are only appended, and a job is
//! removed by deleting its file. On opening, a file is scanned up to the first
//! record that is incomplete or fails its checksum and truncated there. Records
//! lost that way are rewritten when the replica restores its snapshot and replays
//! its log. Memory holds the offset and length of each record.

mod record;

use super::{ItemStore, RecordKind, StoreError, StoreRecord};
use chicoryladder_types::JobId;
use record::{HEADER_BYTES, RecordHeader, read_record};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{BufReader, ErrorKind, Seek, SeekFrom, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const FILE_SUFFIX: &str = "items";

/// The buffer size at which buffered records are written, in bytes.
const WRITE_BUFFER_BYTES: usize = 256 * 1024;

/// The location of a record's payload in its file. A zero offset stands for no
/// record, since each payload is preceded by a header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RecordSpan {
    offset: u64,
    length: u32,
}

#[derive(Debug, Default)]
struct JobFile {
    length: u64,
    unsynced: bool,
    requests: Vec<RecordSpan>,
    results: Vec<RecordSpan>,
}

impl JobFile {
    fn spans(&self, kind: RecordKind) -> &[RecordSpan] {
        match kind {
            RecordKind::Request => &self.requests,
            RecordKind::Result => &self.results,
        }
    }

    fn span(&self, item: u32, kind: RecordKind) -> Option<RecordSpan> {
        let span = self.spans(kind).get(item as usize)?;
        (span.offset != 0).then_some(*span)
    }

    fn insert(&mut self, item: u32, kind: RecordKind, span: RecordSpan) {
        let spans = match kind {
            RecordKind::Request => &mut self.requests,
            RecordKind::Result => &mut self.results,
        };
        let position = item as usize;
        if spans.len() <= position {
            spans.resize(position + 1, RecordSpan::default());
        }
        spans[position] = span;
    }
}

/// Keeps the records of each job in one file of a folder.
#[derive(Debug)]
pub struct FileStore {
    folder: PathBuf,
    files: BTreeMap<JobId, JobFile>,
}

impl FileStore {
    /// Opens the store in `folder`, creating it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder or a file in it cannot be read or written.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(folder)?;
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if let Some(job) = job_from_path(&path) {
                files.insert(job, scan_file(&path, job)?);
            }
        }
        let folder = folder.to_owned();
        Ok(Self { folder, files })
    }

    fn path(&self, job: JobId) -> PathBuf {
        self.folder.join(format!("{job}.{FILE_SUFFIX}"))
    }
}

impl ItemStore for FileStore {
    fn put(&mut self, job: JobId, records: &[StoreRecord<'_>]) -> Result<(), StoreError> {
        let path = self.path(job);
        let file = self.files.entry(job).or_default();
        let mut writer = FileWriter::open(&path, file.length)?;
        for record in records {
            if file.span(record.item, record.kind).is_some() {
                continue;
            }
            let span = writer.append(record)?;
            file.insert(record.item, record.kind, span);
        }
        file.length = writer.finish()?;
        file.unsynced = true;
        Ok(())
    }

    fn get(&self, job: JobId, item: u32, kind: RecordKind) -> Result<Vec<u8>, StoreError> {
        let span = self.files.get(&job).and_then(|file| file.span(item, kind));
        let span = span.ok_or(StoreError::Missing { job, item })?;
        let file = File::open(self.path(job))?;
        let mut header = [0; HEADER_BYTES];
        file.read_exact_at(&mut header, span.offset - HEADER_BYTES as u64)?;
        let mut payload = vec![0; span.length as usize];
        file.read_exact_at(&mut payload, span.offset)?;
        let header = RecordHeader::decode(header);
        if !header.identifies(item, kind) || !header.checksum_matches(&payload) {
            return Err(StoreError::Corrupt { job, item });
        }
        Ok(payload)
    }

    fn remove(&mut self, job: JobId) -> Result<(), StoreError> {
        if self.files.remove(&job).is_none() {
            return Ok(());
        }
        match fs::remove_file(self.path(job)) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error.into()),
            _ => Ok(()),
        }
    }

    fn jobs(&self) -> Vec<JobId> {
        self.files.keys().copied().collect()
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let unsynced: Vec<JobId> = self
            .files
            .iter()
            .filter(|(_, file)| file.unsynced)
            .map(|(job, _)| *job)
            .collect();
        for job in unsynced {
            File::open(self.path(job))?.sync_data()?;
            if let Some(file) = self.files.get_mut(&job) {
                file.unsynced = false;
            }
        }
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }
}

/// Appends records at a known end of a file, overwriting what an earlier failed
/// write left there.
struct FileWriter {
    file: File,
    position: u64,
    buffer: Vec<u8>,
}

impl FileWriter {
    fn open(path: &Path, end: u64) -> Result<Self, StoreError> {
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        file.seek(SeekFrom::Start(end))?;
        Ok(Self {
            file,
            position: end,
            buffer: Vec::new(),
        })
    }

    fn append(&mut self, record: &StoreRecord<'_>) -> Result<RecordSpan, StoreError> {
        let header = RecordHeader::new(record)?;
        self.buffer.extend_from_slice(&header.encode());
        self.buffer.extend_from_slice(record.bytes);
        let span = RecordSpan {
            offset: self.position + HEADER_BYTES as u64,
            length: header.length,
        };
        self.position = span.offset + u64::from(span.length);
        if self.buffer.len() >= WRITE_BUFFER_BYTES {
            self.flush()?;
        }
        Ok(span)
    }

    fn flush(&mut self) -> Result<(), StoreError> {
        self.file.write_all(&self.buffer)?;
        self.buffer.clear();
        Ok(())
    }

    fn finish(mut self) -> Result<u64, StoreError> {
        self.flush()?;
        Ok(self.position)
    }
}

fn job_from_path(path: &Path) -> Option<JobId> {
    if path.extension()? != FILE_SUFFIX {
        return None;
    }
    JobId::try_from(path.file_stem()?.to_str()?).ok()
}

fn scan_file(path: &Path, job: JobId) -> Result<JobFile, StoreError> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    let size = file.metadata()?.len();
    let mut reader = BufReader::new(&file);
    let mut scanned = JobFile {
        // The process before may have been killed before it had synced its last records.
        unsynced: true,
        ..JobFile::default()
    };
    while let Some((header, kind)) = read_record(&mut reader, size - scanned.length)? {
        let offset = scanned.length + HEADER_BYTES as u64;
        let length = header.length;
        scanned.insert(header.item, kind, RecordSpan { offset, length });
        scanned.length = offset + u64::from(length);
    }
    if scanned.length < size {
        let lost = size - scanned.length;
        log::warn!(
            "batch: truncated {lost} bytes of incomplete records from the file of job {job}."
        );
        file.set_len(scanned.length)?;
    }
    Ok(scanned)
}
