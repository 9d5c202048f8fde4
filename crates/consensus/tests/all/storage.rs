//! Log files: recovery, torn tails and damage.

use crate::cluster::address;
use chicoryladder_consensus::{
    EntryPayload, FileStorage, GroupMembership, HardState, LogEntry, LogStorage, MemoryDisk,
    MemoryStorage, SnapshotRecord, StorageError, StoredState,
};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use proptest::prelude::*;
use std::fs;
use std::path::{Path, PathBuf};

fn entry(index: u64, term: u64) -> LogEntry {
    let command = vec![u8::try_from(index % 251).expect("small"); 40];
    LogEntry {
        index: LogIndex(index),
        term: TermNumber(term),
        payload: EntryPayload::Command(command.into()),
    }
}

fn snapshot(index: u64) -> SnapshotRecord {
    SnapshotRecord {
        index: LogIndex(index),
        term: TermNumber(1),
        membership: GroupMembership::of_voters([(SeatId(1), address(1))]),
        data: vec![7; 100].into(),
    }
}

fn open(folder: &Path) -> (FileStorage, Result<StoredState, StorageError>) {
    let mut storage = FileStorage::open(folder).expect("a folder");
    let state = storage.load();
    (storage, state)
}

fn indexes(state: &StoredState) -> Vec<u64> {
    state.entries.iter().map(|e| e.index.0).collect()
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let listing = fs::read_dir(folder).expect("a folder");
    let paths = listing.map(|item| item.expect("an item").path());
    let mut paths: Vec<PathBuf> = paths
        .filter(|path| path.to_string_lossy().contains("segment-"))
        .collect();
    paths.sort();
    paths
}

/// Writes ten entries, one sync each.
fn fill(folder: &Path) {
    let (mut storage, _) = open(folder);
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
fn synced_entries_and_votes_come_back() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path());
    let (mut storage, state) = open(folder.path());
    let state = state.expect("loaded");
    assert_eq!(indexes(&state), (1..=10).collect::<Vec<_>>());
    assert_eq!(state.hard_state.vote, Some(SeatId(1)));
    storage.truncate_suffix(LogIndex(6)).expect("recorded");
    storage.append(&[entry(6, 2)]).expect("appended");
    storage.sync().expect("synced");
    let (_, state) = open(folder.path());
    let state = state.expect("loaded");
    assert_eq!(indexes(&state), (1..=6).collect::<Vec<_>>());
    assert_eq!(state.entries.last(), Some(&entry(6, 2)));
    assert_eq!(state.hard_state.term, TermNumber(1));
}

#[test]
fn torn_tail_is_cut_at_every_length() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path());
    let path = segments(folder.path()).pop().expect("a segment");
    let whole = fs::read(&path).expect("bytes");
    let frame = whole.len() / 11;
    for length in (whole.len() - frame)..whole.len() {
        fs::write(&path, &whole[..length]).expect("written");
        let (mut storage, state) = open(folder.path());
        let expected: Vec<u64> = (1..=9).collect();
        assert_eq!(indexes(&state.expect("loaded")), expected, "at {length}");
        storage.append(&[entry(10, 2)]).expect("appended");
        storage.sync().expect("synced");
        let (_, state) = open(folder.path());
        assert_eq!(indexes(&state.expect("loaded")).len(), 10);
        for extra in segments(folder.path()).iter().skip(1) {
            fs::remove_file(extra).expect("removed");
        }
    }
}

#[test]
fn damage_before_the_end_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path());
    let path = segments(folder.path()).pop().expect("a segment");
    let whole = fs::read(&path).expect("bytes");
    for offset in [0, 5, 9, 20, whole.len() / 2] {
        let mut bytes = whole.clone();
        bytes[offset] ^= 0x40;
        fs::write(&path, &bytes).expect("written");
        let (_, state) = open(folder.path());
        let damaged = matches!(state, Err(StorageError::Corrupt { .. }));
        assert!(damaged, "damage at {offset} went unnoticed");
        assert_eq!(fs::read(&path).expect("bytes"), bytes, "the file changed");
    }
}

#[test]
fn missing_segment_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    for _ in 0..3 {
        let (mut storage, state) = open(folder.path());
        let next = state.expect("loaded").entries.len() as u64 + 1;
        storage.append(&[entry(next, 1)]).expect("appended");
        storage.sync().expect("synced");
    }
    let paths = segments(folder.path());
    assert_eq!(paths.len(), 3);
    fs::remove_file(&paths[1]).expect("removed");
    let (_, state) = open(folder.path());
    assert!(matches!(state, Err(StorageError::Corrupt { .. })));
}

#[test]
fn snapshot_covers_entries_and_keeps_the_vote() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path());
    let (mut storage, _) = open(folder.path());
    storage.save_snapshot(&snapshot(10)).expect("saved");
    assert_eq!(segments(folder.path()).len(), 1);
    let (mut storage, state) = open(folder.path());
    let state = state.expect("loaded");
    assert_eq!(state.snapshot, Some(snapshot(10)));
    assert!(state.entries.is_empty());
    assert_eq!(state.hard_state.vote, Some(SeatId(1)));
    storage.append(&[entry(11, 1)]).expect("appended");
    storage.sync().expect("synced");
    let (_, state) = open(folder.path());
    assert_eq!(indexes(&state.expect("loaded")), [11]);
}

#[test]
fn damaged_snapshot_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path());
    let (mut storage, _) = open(folder.path());
    storage.save_snapshot(&snapshot(10)).expect("saved");
    let path = folder.path().join(format!("snapshot-{:020}", 10));
    let mut bytes = fs::read(&path).expect("bytes");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).expect("written");
    let (_, state) = open(folder.path());
    assert!(matches!(state, Err(StorageError::Corrupt { .. })));
}

#[test]
fn snapshot_from_another_history_drops_the_log() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path());
    let (mut storage, _) = open(folder.path());
    let mut other = snapshot(5);
    other.term = TermNumber(3);
    storage.save_snapshot(&other).expect("saved");
    let (_, state) = open(folder.path());
    assert!(state.expect("loaded").entries.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// What the files hold equals what the calls say, over any series of changes.
    #[test]
    fn files_replay_any_series_of_changes(steps in prop::collection::vec((0..4_u8, 1..20_u64), 1..40)) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut storage, _) = open(folder.path());
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
                        storage.save_snapshot(&snapshot(index)).expect("saved");
                        expected.retain(|e| e.index.0 > index);
                        covered = index;
                    }
                }
            }
            storage.sync().expect("synced");
            if number % 3 == 0 {
                let (reopened, state) = open(folder.path());
                prop_assert_eq!(&state.expect("loaded").entries, &expected);
                storage = reopened;
            }
        }
        let (_, state) = open(folder.path());
        prop_assert_eq!(state.expect("loaded").entries, expected);
    }
}

#[test]
fn a_stored_snapshot_is_read_in_parts() {
    let folder = tempfile::tempdir().expect("a folder");
    let record = SnapshotRecord {
        data: (0..=250).collect::<Vec<u8>>().into(),
        ..snapshot(6)
    };
    let disk = MemoryDisk::default();
    let (file, state) = open(folder.path());
    state.expect("loaded");
    let storages: [Box<dyn LogStorage>; 2] = [Box::new(file), Box::new(MemoryStorage::new(disk))];
    for mut storage in storages {
        let read = |storage: &dyn LogStorage, index, offset, length| {
            storage.read_snapshot(LogIndex(index), offset, length)
        };
        assert_eq!(read(&*storage, 6, 0, 10).expect("no fault"), None);
        storage.save_snapshot(&record).expect("saved");
        let mut whole = Vec::new();
        for (offset, length) in [(0, 100), (100, 100), (200, 51)] {
            let part = read(&*storage, 6, offset, length).expect("read");
            whole.extend(part.expect("it is stored"));
        }
        assert_eq!(whole, record.data);
        assert_eq!(read(&*storage, 5, 0, 10).expect("no fault"), None);
        assert!(read(&*storage, 6, 200, 52).is_err());
        storage.save_snapshot(&snapshot(9)).expect("saved");
        assert_eq!(read(&*storage, 6, 0, 10).expect("no fault"), None);
    }
}
