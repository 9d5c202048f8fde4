//! Log files: recovery, torn writes and corruption.

use crate::cluster::address;
use chicoryladder_consensus::{
    EntryPayload, FileStorage, GroupMembership, HardState, LogEntry, LogStorage, MemoryDisk,
    MemoryStorage, SnapshotError, SnapshotHead, SnapshotPoint, SnapshotReader, StorageError,
    StoredState,
};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use proptest::prelude::*;
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};

fn entry(index: u64, term: u64) -> LogEntry {
    let command = vec![u8::try_from(index % 251).expect("small"); 40];
    LogEntry {
        index: LogIndex(index),
        term: TermNumber(term),
        payload: EntryPayload::Command(command.into()),
    }
}

fn point(index: u64) -> SnapshotPoint {
    SnapshotPoint {
        index: LogIndex(index),
        term: TermNumber(1),
        membership: GroupMembership::of_voters([(SeatId(1), address(1))]),
    }
}

/// The serialized state of the snapshots.
const STATE: [u8; 100] = [7; 100];

fn head(index: u64) -> SnapshotHead {
    SnapshotHead {
        point: point(index),
        size: STATE.len() as u64,
    }
}

/// Saves a state in uneven pieces.
fn save_state(
    storage: &mut dyn LogStorage,
    point: &SnapshotPoint,
    state: &[u8],
) -> Result<SnapshotHead, StorageError> {
    storage.save_snapshot(point, &mut |output| {
        for piece in state.chunks(7) {
            output.write_all(piece).map_err(|error| SnapshotError {
                detail: error.to_string(),
            })?;
        }
        Ok(())
    })
}

fn save(storage: &mut dyn LogStorage, index: u64) {
    let saved = save_state(storage, &point(index), &STATE);
    assert_eq!(saved.expect("saved"), head(index));
}

/// The serialized state of a stored snapshot.
fn read_state(storage: &dyn LogStorage, head: &SnapshotHead) -> Vec<u8> {
    let mut state = Vec::new();
    let read = SnapshotReader::new(storage, head).read_to_end(&mut state);
    read.expect("the snapshot is stored");
    state
}

fn open(directory: &Path) -> (FileStorage, Result<StoredState, StorageError>) {
    let mut storage = FileStorage::open(directory).expect("a directory");
    let state = storage.load();
    (storage, state)
}

fn indexes(state: &StoredState) -> Vec<u64> {
    state.entries.iter().map(|e| e.index.0).collect()
}

fn segments(directory: &Path) -> Vec<PathBuf> {
    let listing = fs::read_dir(directory).expect("a directory");
    let paths = listing.map(|item| item.expect("an item").path());
    let mut paths: Vec<PathBuf> = paths
        .filter(|path| path.to_string_lossy().contains("segment-"))
        .collect();
    paths.sort();
    paths
}

/// Writes ten entries with one sync each.
fn write_ten_entries(directory: &Path) {
    let (mut storage, _) = open(directory);
    let term = TermNumber(1);
    let vote = Some(SeatId(1));
    storage
        .set_hard_state(HardState { term, vote })
        .expect("recorded");
    for index in 1..=10 {
        storage.append(&[entry(index, 1)]).expect("appended");
        storage.sync().expect("synced");
    }
}

#[test]
fn synced_entries_and_votes_are_loaded() {
    let directory = tempfile::tempdir().expect("a directory");
    write_ten_entries(directory.path());
    let (mut storage, state) = open(directory.path());
    let state = state.expect("loaded");
    assert_eq!(indexes(&state), (1..=10).collect::<Vec<_>>());
    assert_eq!(state.hard_state.vote, Some(SeatId(1)));
    storage.truncate_suffix(LogIndex(6)).expect("recorded");
    storage.append(&[entry(6, 2)]).expect("appended");
    storage.sync().expect("synced");
    let (_, state) = open(directory.path());
    let state = state.expect("loaded");
    assert_eq!(indexes(&state), (1..=6).collect::<Vec<_>>());
    assert_eq!(state.entries.last(), Some(&entry(6, 2)));
    assert_eq!(state.hard_state.term, TermNumber(1));
}

#[test]
fn torn_write_of_any_length_is_removed() {
    let directory = tempfile::tempdir().expect("a directory");
    write_ten_entries(directory.path());
    let path = segments(directory.path()).pop().expect("a segment");
    let original = fs::read(&path).expect("bytes");
    let frame = original.len() / 11;
    for length in (original.len() - frame)..original.len() {
        fs::write(&path, &original[..length]).expect("written");
        let (mut storage, state) = open(directory.path());
        let expected: Vec<u64> = (1..=9).collect();
        assert_eq!(indexes(&state.expect("loaded")), expected, "at {length}");
        storage.append(&[entry(10, 2)]).expect("appended");
        storage.sync().expect("synced");
        let (_, state) = open(directory.path());
        assert_eq!(indexes(&state.expect("loaded")).len(), 10);
        for extra in segments(directory.path()).iter().skip(1) {
            fs::remove_file(extra).expect("removed");
        }
    }
}

#[test]
fn corruption_before_the_end_is_an_error() {
    let directory = tempfile::tempdir().expect("a directory");
    write_ten_entries(directory.path());
    let path = segments(directory.path()).pop().expect("a segment");
    let original = fs::read(&path).expect("bytes");
    for offset in [0, 5, 9, 20, original.len() / 2] {
        let mut bytes = original.clone();
        bytes[offset] ^= 0x40;
        fs::write(&path, &bytes).expect("written");
        let (_, state) = open(directory.path());
        let corrupt = matches!(state, Err(StorageError::Corrupt { .. }));
        assert!(corrupt, "corruption at {offset} was not detected");
        assert_eq!(fs::read(&path).expect("bytes"), bytes, "the file changed");
    }
}

#[test]
fn missing_segment_is_an_error() {
    let directory = tempfile::tempdir().expect("a directory");
    for _ in 0..3 {
        let (mut storage, state) = open(directory.path());
        let next = state.expect("loaded").entries.len() as u64 + 1;
        storage.append(&[entry(next, 1)]).expect("appended");
        storage.sync().expect("synced");
    }
    let paths = segments(directory.path());
    assert_eq!(paths.len(), 3);
    fs::remove_file(&paths[1]).expect("removed");
    let (_, state) = open(directory.path());
    assert!(matches!(state, Err(StorageError::Corrupt { .. })));
}

#[test]
fn snapshot_covers_entries_and_keeps_the_vote() {
    let directory = tempfile::tempdir().expect("a directory");
    write_ten_entries(directory.path());
    let (mut storage, _) = open(directory.path());
    save(&mut storage, 10);
    assert_eq!(segments(directory.path()).len(), 1);
    let (mut storage, state) = open(directory.path());
    let state = state.expect("loaded");
    assert_eq!(state.snapshot, Some(head(10)));
    assert_eq!(read_state(&storage, &head(10)), STATE);
    assert!(state.entries.is_empty());
    assert_eq!(state.hard_state.vote, Some(SeatId(1)));
    storage.append(&[entry(11, 1)]).expect("appended");
    storage.sync().expect("synced");
    let (_, state) = open(directory.path());
    assert_eq!(indexes(&state.expect("loaded")), [11]);
}

#[test]
fn corrupt_snapshot_is_an_error() {
    let directory = tempfile::tempdir().expect("a directory");
    write_ten_entries(directory.path());
    let (mut storage, _) = open(directory.path());
    save(&mut storage, 10);
    let path = directory.path().join(format!("snapshot-{:020}", 10));
    let mut bytes = fs::read(&path).expect("bytes");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).expect("written");
    let (_, state) = open(directory.path());
    assert!(matches!(state, Err(StorageError::Corrupt { .. })));
}

#[test]
fn snapshot_that_conflicts_with_the_log_drops_the_log() {
    let directory = tempfile::tempdir().expect("a directory");
    write_ten_entries(directory.path());
    let (mut storage, _) = open(directory.path());
    let mut other = point(5);
    other.term = TermNumber(3);
    save_state(&mut storage, &other, &STATE).expect("saved");
    let (_, state) = open(directory.path());
    assert!(state.expect("loaded").entries.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// The loaded entries match the calls, for any series of changes.
    #[test]
    fn files_replay_any_series_of_changes(steps in prop::collection::vec((0..4_u8, 1..20_u64), 1..40)) {
        let directory = tempfile::tempdir().expect("a directory");
        let (mut storage, _) = open(directory.path());
        let mut expected: Vec<LogEntry> = Vec::new();
        let mut covered = 0;
        for (kind, number) in steps {
            let last = covered + expected.len() as u64;
            match kind {
                0 | 1 => {
                    let added: Vec<_> = (last + 1..=last + number).map(|i| entry(i, 1)).collect();
                    storage.append(&added).expect("appended");
                    expected.extend(added);
                }
                2 => {
                    let from = (covered + number).min(last + 1);
                    storage.truncate_suffix(LogIndex(from)).expect("recorded");
                    expected.retain(|e| e.index.0 < from);
                }
                _ => {
                    let index = (covered + number).min(last);
                    if index > covered {
                        save(&mut storage, index);
                        expected.retain(|e| e.index.0 > index);
                        covered = index;
                    }
                }
            }
            storage.sync().expect("synced");
            if number % 3 == 0 {
                let (reopened, state) = open(directory.path());
                prop_assert_eq!(&state.expect("loaded").entries, &expected);
                storage = reopened;
            }
        }
        let (_, state) = open(directory.path());
        prop_assert_eq!(state.expect("loaded").entries, expected);
    }
}

#[test]
fn stored_snapshot_is_read_in_chunks() {
    let directory = tempfile::tempdir().expect("a directory");
    let stored: Vec<u8> = (0..=250).collect();
    let disk = MemoryDisk::default();
    let (file, state) = open(directory.path());
    state.expect("loaded");
    let storages: [Box<dyn LogStorage>; 2] = [Box::new(file), Box::new(MemoryStorage::new(disk))];
    for mut storage in storages {
        let read = |storage: &dyn LogStorage, index, offset, length| {
            storage.read_snapshot(LogIndex(index), offset, length)
        };
        assert_eq!(read(&*storage, 6, 0, 10).expect("no fault"), None);
        save_state(&mut *storage, &point(6), &stored).expect("saved");
        let mut received = Vec::new();
        for (offset, length) in [(0, 100), (100, 100), (200, 51)] {
            let part = read(&*storage, 6, offset, length).expect("read");
            received.extend(part.expect("it is stored"));
        }
        assert_eq!(received, stored);
        assert_eq!(read(&*storage, 5, 0, 10).expect("no fault"), None);
        assert!(read(&*storage, 6, 200, 52).is_err());
        save(&mut *storage, 9);
        assert_eq!(read(&*storage, 6, 0, 10).expect("no fault"), None);
    }
}

/// A start kept all commands of the log in memory, which exceeded that of the host.
#[test]
fn commands_that_a_start_leaves_in_storage_are_loaded_as_written() {
    const LOADED_COMMANDS: usize = 3;
    let directory = tempfile::tempdir().expect("a directory");
    write_ten_entries(directory.path());
    let (mut storage, state) = open(directory.path());
    assert_eq!(state.expect("loaded").entries.len(), 10);
    storage.truncate_suffix(LogIndex(9)).expect("recorded");
    let added: Vec<_> = (9..=12).map(|index| entry(index, 2)).collect();
    storage.append(&added).expect("appended");
    storage.sync().expect("synced");

    let record_bytes = postcard::to_stdvec(&entry(1, 1)).expect("encoded").len() + 1;
    let storage = FileStorage::open(directory.path()).expect("a directory");
    let mut storage = storage.with_loaded_max_bytes(LOADED_COMMANDS * record_bytes);
    let entries = storage.load().expect("loaded").entries;
    let is_stored = |entry: &&LogEntry| matches!(entry.payload, EntryPayload::Stored(_));
    let stored = entries.iter().filter(is_stored).count();
    assert_eq!(stored, entries.len() - LOADED_COMMANDS);
    for mut loaded in entries {
        let (index, term) = (loaded.index.0, loaded.term.0);
        storage.load_command(&mut loaded).expect("loaded");
        assert_eq!(loaded, entry(index, term));
        assert_eq!(term, if index < 9 { 1 } else { 2 });
    }
}

/// Guards against parts of a snapshot that are mixed with another one, or are missing.
#[test]
fn a_snapshot_is_received_in_parts() {
    let directory = tempfile::tempdir().expect("a directory");
    let (file, state) = open(directory.path());
    state.expect("loaded");
    let memory = MemoryStorage::new(MemoryDisk::default());
    let storages: [Box<dyn LogStorage>; 2] = [Box::new(file), Box::new(memory)];
    for mut storage in storages {
        let received = head(6);
        let mut write = |head: &SnapshotHead, offset: usize, data: &[u8]| {
            storage.write_snapshot_part(head, offset as u64, data)
        };
        write(&head(5), 0, &STATE[..30]).expect("written");
        write(&received, 0, &STATE[..40]).expect("written");
        write(&received, 40, &STATE[40..]).expect("written");
        // The seat may take a snapshot of its own meanwhile.
        save(&mut *storage, 3);
        storage.install_snapshot(&received).expect("installed");
        assert_eq!(storage.load().expect("loaded").snapshot, Some(head(6)));
        assert_eq!(read_state(&*storage, &received), STATE);
        let mut write = |head: &SnapshotHead, offset: usize, data: &[u8]| {
            storage.write_snapshot_part(head, offset as u64, data)
        };
        write(&head(9), 0, &STATE[..40]).expect("written");
        write(&head(9), 50, &STATE[50..]).expect_err("a gap");
    }
    let (mut storage, state) = open(directory.path());
    assert_eq!(state.expect("loaded").snapshot, Some(head(6)));
    storage
        .write_snapshot_part(&head(9), 0, &STATE[..40])
        .expect("written");
    storage
        .install_snapshot(&head(9))
        .expect_err("a part is missing");
    let (_, state) = open(directory.path());
    assert_eq!(state.expect("loaded").snapshot, Some(head(6)));
}

/// The changes of one sync were written as one frame of any size, which a start had to hold.
#[test]
fn large_changes_of_one_sync_are_written_in_several_frames() {
    const ENTRIES: u64 = 9;
    const FRAME_MARKER: &[u8] = b"CLF1";
    let directory = tempfile::tempdir().expect("a directory");
    let (mut storage, _) = open(directory.path());
    let command = vec![7; 1024 * 1024];
    let entries: Vec<_> = (1..=ENTRIES)
        .map(|index| LogEntry {
            payload: EntryPayload::Command(command.clone().into()),
            ..entry(index, 1)
        })
        .collect();
    storage.append(&entries).expect("appended");
    storage.sync().expect("synced");
    let mut frames = 0;
    for path in segments(directory.path()) {
        let bytes = fs::read(path).expect("bytes");
        let windows = bytes.windows(FRAME_MARKER.len());
        frames += windows.filter(|window| *window == FRAME_MARKER).count();
    }
    assert!(frames >= 3, "{frames} frames");
    let (_, state) = open(directory.path());
    assert_eq!(
        indexes(&state.expect("loaded")),
        (1..=ENTRIES).collect::<Vec<_>>()
    );
}
