//! A group in one process, with real files, simulated timers and no network delay.

use chicoryladder_consensus::{
    FileStorage, GroupMembership, GroupReplica, LogStorage, ProposalToken, ReplicaOutput,
    RestoreError, SeatEnvelope, SeatRole, SeatSettings, SnapshotError, StateMachine,
};
use chicoryladder_types::{GroupId, LogIndex, SeatId};
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
const COMMAND_BYTES: usize = 256;
const FIRST_PORT: u16 = 7_000;

/// A state machine that counts the applied commands.
struct CountingMachine {
    applied: u64,
}

impl StateMachine for CountingMachine {
    fn apply(&mut self, _: LogIndex, _: &[u8]) -> Vec<u8> {
        self.applied += 1;
        vec![1]
    }

    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError> {
        let written = output.write_all(&self.applied.to_le_bytes());
        written.map_err(|error| SnapshotError {
            detail: error.to_string(),
        })
    }

    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError> {
        let mut bytes = [0; 8];
        let read = input.read_exact(&mut bytes);
        read.map_err(|error| RestoreError {
            detail: error.to_string(),
        })?;
        self.applied = u64::from_le_bytes(bytes);
        Ok(())
    }
}

/// Replicas that deliver messages to each other without delay.
pub(crate) struct LocalGroup {
    folder: TempDir,
    replicas: BTreeMap<SeatId, GroupReplica<CountingMachine>>,
    now: Instant,
    next_token: u64,
    /// The number of commands whose result was returned.
    answered: usize,
}

impl LocalGroup {
    pub(crate) fn start(voters: u64) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let mut group = Self {
            folder,
            replicas: BTreeMap::new(),
            now: Instant::now(),
            next_token: 0,
            answered: 0,
        };
        for seat in (1..=voters).map(SeatId) {
            let replica = group.open(seat, voters);
            group.replicas.insert(seat, replica);
        }
        group
    }

    fn open(&self, seat: SeatId, voters: u64) -> GroupReplica<CountingMachine> {
        let mut settings = SeatSettings::new(GroupId(0), seat);
        settings.snapshot_interval_entries = u64::MAX;
        let members = (1..=voters).map(|number| {
            let port = FIRST_PORT + u16::try_from(number).expect("a small number");
            (
                SeatId(number),
                SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            )
        });
        let initial = GroupMembership::of_voters(members);
        let path = self.folder.path().join(format!("seat-{seat}"));
        let storage = FileStorage::open(path).expect("a storage folder");
        let seed = rand::random();
        let machine = CountingMachine { applied: 0 };
        let storage: Box<dyn LogStorage> = Box::new(storage);
        GroupReplica::start(settings, initial, storage, machine, seed, self.now).expect("a replica")
    }

    fn leader(&self) -> Option<SeatId> {
        let leads = |replica: &GroupReplica<CountingMachine>| {
            replica.seat().role() == SeatRole::Leader && replica.can_read(self.now)
        };
        let mut leaders = self.replicas.iter().filter(|(_, replica)| leads(replica));
        leaders.next().map(|(seat, _)| *seat)
    }

    /// Advances the simulated time until a leader may serve reads; returns the time taken.
    pub(crate) fn elect(&mut self) -> Duration {
        let begin = self.now;
        while self.leader().is_none() {
            self.now += STEP;
            for replica in self.replicas.values_mut() {
                replica.tick(self.now);
            }
            self.deliver_all();
        }
        self.now - begin
    }

    pub(crate) fn remove_leader(&mut self) {
        if let Some(leader) = self.leader() {
            self.replicas.remove(&leader);
        }
    }

    /// Commits `count` commands that share one sync on each seat.
    pub(crate) fn commit(&mut self, count: usize) {
        let leader = self.leader().expect("a leader");
        let replica = self.replicas.get_mut(&leader).expect("a leader");
        for _ in 0..count {
            self.next_token += 1;
            let token = ProposalToken(self.next_token);
            let command = vec![7; COMMAND_BYTES];
            replica
                .propose(token, command.into())
                .expect("an accepted proposal");
        }
        let expected = self.answered + count;
        self.deliver_all();
        assert_eq!(self.answered, expected, "every command is answered");
    }

    /// Flushes all seats and delivers their messages until none are left.
    fn deliver_all(&mut self) {
        let mut queue: VecDeque<SeatEnvelope> = VecDeque::new();
        let seats: Vec<SeatId> = self.replicas.keys().copied().collect();
        for seat in seats {
            self.flush(seat, &mut queue);
        }
        while let Some(envelope) = queue.pop_front() {
            let seat = envelope.to;
            if let Some(replica) = self.replicas.get_mut(&seat) {
                replica.receive(envelope, self.now);
                self.flush(seat, &mut queue);
            }
        }
    }

    fn flush(&mut self, seat: SeatId, queue: &mut VecDeque<SeatEnvelope>) {
        let replica = self.replicas.get_mut(&seat).expect("a replica");
        for output in replica.flush(self.now).expect("a successful flush") {
            match output {
                ReplicaOutput::Send(envelope) => queue.push_back(envelope),
                ReplicaOutput::Answered { .. } => self.answered += 1,
                ReplicaOutput::Dropped { .. } => {}
            }
        }
    }

    pub(crate) fn disk_bytes(&self) -> u64 {
        let path = self.folder.path().join("seat-1");
        let listing = std::fs::read_dir(path).expect("a storage folder");
        let sizes = listing.map(|item| item.expect("an entry").metadata().expect("metadata").len());
        sizes.sum()
    }

    /// Reopens the first seat from its files; returns the time taken.
    pub(crate) fn reopen(&mut self) -> Duration {
        self.replicas.clear();
        let begin = Instant::now();
        let replica = self.open(SeatId(1), 1);
        let time = begin.elapsed();
        self.replicas.insert(SeatId(1), replica);
        time
    }
}
