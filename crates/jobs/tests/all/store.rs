//! Tests of the file store under restarts, torn writes and corruption.

use crate::support::{TestGroup, answered, drafts, header, team};
use chicoryladder_jobs::{
    FileStore, ItemStore, JobMachine, MemoryStore, RecordKind, StoreError, StoreRecord,
};
use chicoryladder_types::{JobId, RefusalReason};
use proptest::prelude::*;
use std::fs;
use std::path::{Path, PathBuf};

const JOB: JobId = JobId::new(7);

fn record(item: u32, bytes: &[u8]) -> StoreRecord<'_> {
    let kind = RecordKind::Request;
    StoreRecord { item, kind, bytes }
}

fn open(folder: &Path) -> FileStore {
    FileStore::open(folder).expect("the folder is usable")
}

fn file_of(folder: &Path, job: JobId) -> PathBuf {
    folder.join(format!("{job}.items"))
}

#[test]
fn records_survive_a_restart_and_are_written_once() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    store
        .put(JOB, &[record(0, b"zero"), record(5, b"five")])
        .unwrap();
    store.sync().unwrap();
    let size = fs::metadata(file_of(folder.path(), JOB)).unwrap().len();
    let mut store = open(folder.path());
    store.put(JOB, &[record(5, b"five")]).unwrap();
    assert_eq!(
        fs::metadata(file_of(folder.path(), JOB)).unwrap().len(),
        size
    );
    assert_eq!(store.get(JOB, 5, RecordKind::Request).unwrap(), b"five");
    assert!(matches!(
        store.get(JOB, 3, RecordKind::Request),
        Err(StoreError::Missing { item: 3, .. })
    ));
    store.remove(JOB).unwrap();
    assert!(open(folder.path()).jobs().is_empty());
}

#[test]
fn a_flipped_bit_is_an_error_and_never_wrong_content() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    store.put(JOB, &[record(0, b"zero")]).unwrap();
    let path = file_of(folder.path(), JOB);
    let mut bytes = fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&path, &bytes).unwrap();
    assert!(matches!(
        store.get(JOB, 0, RecordKind::Request),
        Err(StoreError::Corrupt { item: 0, .. })
    ));
}

#[test]
fn a_failed_write_stops_the_machine() {
    let folder = tempfile::tempdir().unwrap();
    let inner = folder.path().join("store");
    let mut group = TestGroup::new();
    group.machine = JobMachine::new(Box::new(open(&inner)));
    fs::remove_dir_all(&inner).unwrap();
    let outcome = group.submit(&header(7, None, "b"), &drafts(1, true));
    let refused = chicoryladder_jobs::JobOutcome::Refused(RefusalReason::StorageFailed);
    assert_eq!(outcome, refused);
    assert!(group.machine.failure().is_some());
    assert!(group.machine.status(&team(), JOB, group.now).is_none());
}

#[test]
fn a_replica_replays_its_log_over_existing_files() {
    let folder = tempfile::tempdir().unwrap();
    let run = |store: Box<dyn ItemStore>| {
        let mut group = TestGroup::new();
        group.machine = JobMachine::new(store);
        group.submit(&header(7, None, "b"), &drafts(4, true));
        let (_, grants) = group.lease("h1", 2);
        for grant in grants {
            group.report(grant.attempt, answered(200, "{}"));
        }
        group.machine.snapshot().unwrap()
    };
    let first = run(Box::new(open(folder.path())));
    let path = file_of(folder.path(), JOB);
    let file = fs::File::options().write(true).open(path).unwrap();
    file.set_len(file.metadata().unwrap().len() - 3).unwrap();
    assert_eq!(run(Box::new(open(folder.path()))), first);
    assert_eq!(run(Box::<MemoryStore>::default()), first);
}

proptest! {
    #[test]
    fn a_truncated_file_keeps_the_complete_records_before_the_cut(
        sizes in prop::collection::vec(0_usize..40, 1..12),
        cut in 0_usize..700,
    ) {
        let folder = tempfile::tempdir().unwrap();
        let bodies: Vec<Vec<u8>> = sizes.iter().map(|size| vec![7; *size]).collect();
        let mut store = open(folder.path());
        let mut ends = Vec::new();
        let path = file_of(folder.path(), JOB);
        for (item, body) in (0..).zip(&bodies) {
            store.put(JOB, &[record(item, body)]).unwrap();
            ends.push(fs::metadata(&path).unwrap().len());
        }
        let cut = (cut as u64).min(*ends.last().unwrap());
        fs::File::options().write(true).open(&path).unwrap().set_len(cut).unwrap();
        let mut store = open(folder.path());
        for ((item, body), end) in (0..).zip(&bodies).zip(&ends) {
            let read = store.get(JOB, item, RecordKind::Request);
            prop_assert_eq!(read.is_ok(), *end <= cut);
            store.put(JOB, &[record(item, body)]).unwrap();
            prop_assert_eq!(&store.get(JOB, item, RecordKind::Request).unwrap(), body);
        }
    }
}
