//! The memory use of snapshots of a large state. The file has a single test, since the
//! peak is measured for the whole process.

use chicoryladder_consensus::{
    CommandBytes, FileStorage, GroupMembership, GroupReplica, ProposalToken, RestoreError,
    SeatSettings, SnapshotError, StateMachine,
};
use chicoryladder_types::{GroupId, LogIndex, SeatId};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The size of the state, far larger than all other memory of the process.
const STATE_BYTES: usize = 64 * 1024 * 1024;

struct LargeMachine;

impl StateMachine for LargeMachine {
    fn apply(&mut self, _: LogIndex, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        Ok(vec![7; STATE_BYTES])
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        assert_eq!(snapshot.len(), STATE_BYTES);
        Ok(())
    }
}

/// Reads a memory field of `/proc/self/status`, in bytes.
fn memory(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process has a status");
    let line = status.lines().find(|line| line.starts_with(name));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<usize>().ok())
        .expect("a number of KiB")
        * 1024
}

fn open(folder: &std::path::Path, now: Instant) -> GroupReplica<LargeMachine> {
    let address = SocketAddr::from(([10, 0, 0, 1], 7700));
    let settings = SeatSettings {
        snapshot_interval_entries: 4,
        ..SeatSettings::new(GroupId(0), SeatId(1))
    };
    let membership = GroupMembership::of_voters([(SeatId(1), address)]);
    let storage = FileStorage::open(folder).expect("a storage folder");
    GroupReplica::start(
        settings,
        membership,
        Box::new(storage),
        LargeMachine,
        1,
        now,
    )
    .expect("a replica")
}

/// A snapshot must be in memory only once, also while it is written and loaded, and must
/// not stay in memory: chunks to send are read from the disk.
#[test]
fn a_snapshot_is_held_once_and_only_while_it_is_needed() {
    let folder = tempfile::tempdir().expect("a folder");
    let before = memory("VmHWM:");
    let mut now = Instant::now();
    let mut replica = open(folder.path(), now);
    for number in 0..16 {
        now += Duration::from_secs(1);
        replica.tick(now);
        replica.flush(now).expect("it is stored");
        let command: CommandBytes = vec![number].into();
        replica
            .propose(ProposalToken(u64::from(number)), command)
            .expect("an accepted proposal");
        replica.flush(now).expect("it is stored");
    }
    let resident = memory("VmRSS:").saturating_sub(before);
    assert!(resident < STATE_BYTES / 2, "holds {resident} bytes");
    drop(replica);
    let replica = open(folder.path(), now);
    assert!(replica.applied() > LogIndex(4), "{:?}", replica.applied());
    let grown = memory("VmHWM:") - before;
    let resident = memory("VmRSS:").saturating_sub(before);
    assert!(
        resident < STATE_BYTES / 2,
        "holds {resident} bytes after a start"
    );
    assert!(
        grown < STATE_BYTES + STATE_BYTES / 2,
        "grew by {grown} bytes"
    );
}
