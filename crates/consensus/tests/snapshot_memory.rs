//! The memory use of snapshots of a large state. The file has a single test, since the
//! peak is measured for the whole process.

use chicoryladder_consensus::{
    CommandBytes, FileStorage, GroupMembership, GroupReplica, ProposalToken, RestoreError,
    SeatSettings, SnapshotError, StateMachine,
};
use chicoryladder_types::{GroupId, LogIndex, SeatId};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The size of the state, far larger than all other memory of the process.
const STATE_BYTES: usize = 64 * 1024 * 1024;

/// The size of the pieces in which the machine writes and reads its state.
const PART_BYTES: usize = 4096;

struct LargeMachine;

impl StateMachine for LargeMachine {
    fn apply(&mut self, _: LogIndex, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError> {
        for _ in 0..STATE_BYTES / PART_BYTES {
            let written = output.write_all(&[7; PART_BYTES]);
            written.map_err(|error| SnapshotError {
                detail: error.to_string(),
            })?;
        }
        Ok(())
    }

    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError> {
        let mut length = 0;
        let mut part = [0; PART_BYTES];
        loop {
            let read = input.read(&mut part).expect("it can be read");
            if read == 0 {
                break;
            }
            assert!(part[..read].iter().all(|byte| *byte == 7));
            length += read;
        }
        assert_eq!(length, STATE_BYTES);
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

/// A snapshot was in memory as a whole while it was written and loaded, beside the state: a store
/// of less than half of its memory ended at each snapshot.
#[test]
fn no_snapshot_is_in_memory_as_a_whole() {
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
    println!("grew by {grown} bytes");
    assert!(grown < STATE_BYTES / 8, "grew by {grown} bytes");
}
