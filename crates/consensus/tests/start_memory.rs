//! The memory use of a start after many large entries. The file has a single test, since the
//! peak is measured for the whole process.

use chicoryladder_consensus::{
    FileStorage, GroupMembership, GroupReplica, ProposalToken, RestoreError, SeatSettings,
    SnapshotError, StateMachine,
};
use chicoryladder_types::{GroupId, LogIndex, SeatId};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// The size of a command: a large job.
const COMMAND_BYTES: usize = 3 * 1024 * 1024;

const COMMANDS: u64 = 32;

/// The applied entries that a running seat keeps in memory.
const APPLIED_MAX_BYTES: usize = 8 * 1024 * 1024;

/// What the log may take on the disk, and a start in memory: the entries between two snapshots,
/// one that is being read, and a segment.
const LOG_MAX_BYTES: usize = 32 * 1024 * 1024;

/// What a running seat may take: the log and the tail for observers, and some copies of the
/// command that is being written.
const RUNNING_MAX_BYTES: usize = 64 * 1024 * 1024;

/// A state machine whose state is small, whatever it applies.
struct CountingMachine {
    applied: u64,
}

impl StateMachine for CountingMachine {
    fn apply(&mut self, _: LogIndex, _: &[u8]) -> Vec<u8> {
        self.applied += 1;
        Vec::new()
    }

    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError> {
        let written = output.write_all(&self.applied.to_le_bytes());
        written.map_err(|error| SnapshotError {
            detail: error.to_string(),
        })
    }

    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError> {
        let mut bytes = [0; 8];
        input.read_exact(&mut bytes).expect("a counter");
        self.applied = u64::from_le_bytes(bytes);
        Ok(())
    }
}

/// Forgets the highest memory use so far.
fn reset_peak_memory() {
    std::fs::write("/proc/self/clear_refs", "5").expect("the peak can be reset");
}

/// The highest memory use of the process since the last reset, in bytes.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process has a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kib.expect("a number of KiB") * 1024
}

/// The size of the files of a seat, in bytes.
fn disk_usage(folder: &Path) -> usize {
    let listing = std::fs::read_dir(folder).expect("a folder");
    let sizes = listing.map(|item| item.expect("a file").metadata().expect("metadata").len());
    usize::try_from(sizes.sum::<u64>()).expect("it fits")
}

fn open(folder: &Path, now: Instant) -> GroupReplica<CountingMachine> {
    let settings = SeatSettings::new(GroupId(0), SeatId(1));
    open_with_interval(settings.snapshot_interval_bytes, folder, now)
}

fn open_with_interval(
    snapshot_interval_bytes: u64,
    folder: &Path,
    now: Instant,
) -> GroupReplica<CountingMachine> {
    let address = SocketAddr::from(([10, 0, 0, 1], 7700));
    let settings = SeatSettings {
        snapshot_interval_bytes,
        applied_max_bytes: APPLIED_MAX_BYTES,
        ..SeatSettings::new(GroupId(0), SeatId(1))
    };
    let membership = GroupMembership::of_voters([(SeatId(1), address)]);
    let storage = FileStorage::open(folder).expect("a storage folder");
    let machine = CountingMachine { applied: 0 };
    GroupReplica::start(settings, membership, Box::new(storage), machine, 1, now)
        .expect("a replica")
}

/// Commits as many commands as the test has, each with its own sync.
fn commit_commands(replica: &mut GroupReplica<CountingMachine>, mut now: Instant) {
    for number in 0..COMMANDS {
        now += Duration::from_secs(1);
        replica.tick(now);
        replica.flush(now).expect("it is stored");
        let command = vec![7; COMMAND_BYTES];
        replica
            .propose(ProposalToken(number), command.into())
            .expect("an accepted proposal");
        replica.flush(now).expect("it is stored");
    }
}

/// Starts the seat of a folder, within its bound of memory, and lets it apply its log.
fn check_start(folder: &Path, before: usize, now: Instant) {
    reset_peak_memory();
    let mut replica = open(folder, now);
    for _ in 0..2 {
        replica.tick(now);
        replica.flush(now).expect("it is stored");
    }
    let grown = peak_memory().saturating_sub(before);
    println!("the start took {grown} bytes");
    assert!(grown <= LOG_MAX_BYTES, "the start took {grown} bytes");
    assert_eq!(replica.machine().applied, COMMANDS);
}

/// A seat that was killed after some large entries exceeded its memory at each start: the log
/// was compacted by the number of its entries only, and a start held all of them.
#[test]
fn a_start_after_large_entries_holds_a_bounded_part_of_them() {
    let before = peak_memory();
    let now = Instant::now();
    let folder = tempfile::tempdir().expect("a folder");
    let mut replica = open(folder.path(), now);
    commit_commands(&mut replica, now);
    drop(replica);
    // The entries that are kept for observers were bounded by their number only, too.
    let running = peak_memory().saturating_sub(before);
    println!("the running seat took {running} bytes");
    assert!(
        running <= RUNNING_MAX_BYTES,
        "the seat took {running} bytes"
    );
    let stored = disk_usage(folder.path());
    println!("{stored} bytes on the disk");
    assert!(stored <= LOG_MAX_BYTES, "{stored} bytes on the disk");
    check_start(folder.path(), before, now);

    // The log that a build without a bound on its bytes has left.
    let folder = tempfile::tempdir().expect("a folder");
    let mut replica = open_with_interval(u64::MAX, folder.path(), now);
    commit_commands(&mut replica, now);
    drop(replica);
    let stored = disk_usage(folder.path()) as u64;
    assert!(stored > COMMANDS * COMMAND_BYTES as u64);
    check_start(folder.path(), before, now);
}
