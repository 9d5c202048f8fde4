//! Disks that are full, or fail, one after the other, under a group of three threads.

use chicoryladder_consensus::{
    DiskFault, GroupMembership, MemoryDisk, MemoryStorage, RestoreError, SeatEnvelope,
    SeatSettings, SnapshotError, StateMachine,
};
use chicoryladder_group::{GroupHandle, GroupSettings, GroupThread, SeatTransport};
use chicoryladder_types::{GroupId, LogIndex, SeatId, SystemClock};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long each disk is full.
const FULL_TIME: Duration = Duration::from_millis(500);

/// The time within which a change has to be acknowledged once all disks have room.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(5);

/// The sum of the applied numbers.
#[derive(Default)]
struct SumMachine {
    sum: u64,
}

impl StateMachine for SumMachine {
    fn apply(&mut self, _: LogIndex, command: &[u8]) -> Vec<u8> {
        self.sum += command.iter().map(|byte| u64::from(*byte)).sum::<u64>();
        Vec::new()
    }

    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError> {
        output.write_all(&self.sum.to_le_bytes()).expect("written");
        Ok(())
    }

    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError> {
        let mut bytes = [0; 8];
        input.read_exact(&mut bytes).expect("a sum");
        self.sum = u64::from_le_bytes(bytes);
        Ok(())
    }
}

type Handles = Arc<Mutex<BTreeMap<SocketAddr, GroupHandle<SumMachine>>>>;

/// Delivers messages within the process.
struct LocalTransport {
    from: SocketAddr,
    handles: Handles,
}

impl SeatTransport for LocalTransport {
    fn send(&self, address: SocketAddr, envelope: SeatEnvelope) {
        let handles = self.handles.lock().expect("no panic");
        if let Some(handle) = handles.get(&address) {
            handle.deliver(envelope, self.from);
        }
    }
}

fn address(seat: SeatId) -> SocketAddr {
    let port = 7_000 + u16::try_from(seat.0).expect("a small number");
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn start_seat(seat: SeatId, disk: &MemoryDisk, handles: &Handles) {
    let seats = (1..=3).map(SeatId);
    let disk = disk.clone();
    let settings = GroupSettings {
        seat: SeatSettings {
            heartbeat_interval: Duration::from_millis(20),
            election_timeout: Duration::from_millis(100),
            ..SeatSettings::new(GroupId(0), seat)
        },
        bootstrap_members: GroupMembership::of_voters(seats.map(|seat| (seat, address(seat)))),
        open_storage: Box::new(move || Ok(Box::new(MemoryStorage::new(disk.clone())))),
        address: address(seat),
        seed: seat.0,
    };
    let transport = LocalTransport {
        from: address(seat),
        handles: handles.clone(),
    };
    let clock = Arc::new(SystemClock);
    let handle = GroupThread::start(settings, SumMachine::default, transport, clock);
    let handle = handle.expect("a thread");
    let mut handles = handles.lock().expect("no panic");
    handles.insert(address(seat), handle);
}

/// Proposes a number at each seat in turn until one acknowledges it; returns whether one has.
async fn acknowledge(handles: &Handles, number: u8, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        let seats: Vec<_> = handles
            .lock()
            .expect("no panic")
            .values()
            .cloned()
            .collect();
        for handle in seats {
            let proposing = handle.propose(vec![number]);
            let proposed = tokio::time::timeout(Duration::from_secs(1), proposing).await;
            if matches!(proposed, Ok(Ok(_))) {
                return true;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Lets the disks fail in turn, beside changes; returns whether a change is acknowledged after
/// that.
async fn play(fault: DiskFault) -> bool {
    let handles = Handles::default();
    let disks: BTreeMap<SeatId, MemoryDisk> = (1..=3)
        .map(|number| (SeatId(number), MemoryDisk::default()))
        .collect();
    for (seat, disk) in &disks {
        start_seat(*seat, disk, &handles);
    }
    assert!(acknowledge(&handles, 1, ACKNOWLEDGED_WITHIN).await);
    for disk in disks.values() {
        disk.set_fault(Some(fault));
        let until = Instant::now() + FULL_TIME;
        while Instant::now() < until {
            acknowledge(&handles, 1, Duration::from_millis(50)).await;
        }
        disk.set_fault(None);
        // The next disk fails after this one has recovered.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    acknowledge(&handles, 1, ACKNOWLEDGED_WITHIN).await
}

/// Guards against seats that stay stopped after their disk was full, until the group has lost its
/// quorum although all processes run.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_acknowledged_after_disks_were_full_in_turn() {
    assert!(play(DiskFault::Full).await);
}

/// The same where the sync tells it: a seat whose sync had failed once never served again.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_acknowledged_after_syncs_failed_in_turn() {
    assert!(play(DiskFault::SyncFails).await);
}
