//! A group of replicas with simulated time, disks and network links.

use crate::faulty_storage::SyncSkippingStorage;
use crate::kv::{KvCommand, KvMachine, KvState};
use crate::model_disk::ModelDisk;
use crate::network::{LinkFaults, TestNetwork};
use chicoryladder_consensus::{
    FileStorage, GroupMembership, GroupReplica, LogStorage, MembershipChange, MemoryDisk,
    MemoryStorage, ProposalToken, ProposeError, ReplicaOutput, SeatMessage, SeatRole, SeatSettings,
};
use chicoryladder_types::{GroupId, LogIndex, SeatId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

pub(crate) const STEP: Duration = Duration::from_millis(2);
pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// How the disks of a cluster handle a sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncRule {
    Durable,
    Skipped,
    /// Durable, in files on a model of a disk, of whose commands a start loads few.
    Files,
}

/// The commands that a start loads from files: about three of them.
const LOADED_MAX_BYTES: usize = 40;

pub(crate) struct TestSeat {
    pub(crate) replica: Option<GroupReplica<KvMachine>>,
    pub(crate) disk: MemoryDisk,
    files: ModelDisk,
    pub(crate) paused: bool,
    /// The rate of the seat's clock, in percent of simulated time.
    pub(crate) clock_percent: u32,
    initial: GroupMembership,
}

pub(crate) struct TestCluster {
    pub(crate) seats: BTreeMap<SeatId, TestSeat>,
    pub(crate) network: TestNetwork,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) elapsed: Duration,
    pub(crate) outputs: Vec<ReplicaOutput>,
    pub(crate) snapshot_interval: u64,
    pub(crate) applied_max_bytes: usize,
    /// The size of each snapshot that was sent to a seat, and the number of bytes sent, by
    /// seat and snapshot index.
    pub(crate) snapshots_sent: BTreeMap<(SeatId, LogIndex), (u64, u64)>,
    sync_rule: SyncRule,
    base: Instant,
    next_token: u64,
    checksums: BTreeMap<LogIndex, u32>,
}

pub(crate) fn address(seat: u64) -> SocketAddr {
    let port = 7_000 + u16::try_from(seat).expect("a small number");
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

impl TestCluster {
    pub(crate) fn new(seed: u64, voters: u64, faults: LinkFaults) -> Self {
        Self::with_rule(seed, voters, faults, SyncRule::Durable)
    }

    pub(crate) fn with_rule(
        seed: u64,
        voters: u64,
        faults: LinkFaults,
        sync_rule: SyncRule,
    ) -> Self {
        let mut cluster = Self {
            seats: BTreeMap::new(),
            network: TestNetwork::new(faults),
            rng: ChaCha8Rng::seed_from_u64(seed),
            elapsed: Duration::ZERO,
            outputs: Vec::new(),
            snapshot_interval: 40,
            applied_max_bytes: usize::MAX,
            snapshots_sent: BTreeMap::new(),
            sync_rule,
            base: Instant::now() + Duration::from_secs(3_600),
            next_token: 0,
            checksums: BTreeMap::new(),
        };
        let initial = GroupMembership::of_voters((1..=voters).map(|n| (SeatId(n), address(n))));
        for number in 1..=voters {
            cluster.add_seat(SeatId(number), initial.clone());
        }
        cluster
    }

    /// Starts a seat on a new disk. `initial` is empty for a seat that joins later.
    pub(crate) fn add_seat(&mut self, seat: SeatId, initial: GroupMembership) {
        let record = TestSeat {
            replica: None,
            disk: MemoryDisk::default(),
            files: ModelDisk::new(seat.0),
            paused: false,
            clock_percent: 100,
            initial,
        };
        self.seats.insert(seat, record);
        self.restart(seat);
    }

    pub(crate) fn now(&self, seat: SeatId) -> Instant {
        let percent = self.seats[&seat].clock_percent;
        self.base + self.elapsed * percent / 100
    }

    pub(crate) fn crash(&mut self, seat: SeatId) {
        let record = self.seats.get_mut(&seat).expect("a seat");
        record.replica = None;
        record.paused = false;
        record.disk.discard_unsynced();
        record.files.lose_power();
    }

    pub(crate) fn restart(&mut self, seat: SeatId) {
        let mut settings = SeatSettings::new(GroupId(0), seat);
        settings.election_timeout = ELECTION_TIMEOUT;
        settings.heartbeat_interval = ELECTION_TIMEOUT / 5;
        settings.snapshot_interval_entries = self.snapshot_interval;
        settings.retained_entries = self.snapshot_interval / 2;
        settings.snapshot_chunk_bytes = 16;
        settings.applied_max_bytes = self.applied_max_bytes;
        settings.clock_drift_percent = 10;
        let now = self.now(seat);
        let seed = self.rng.random();
        let record = self.seats.get_mut(&seat).expect("a seat");
        let durable = MemoryStorage::new(record.disk.clone());
        let storage: Box<dyn LogStorage> = match self.sync_rule {
            SyncRule::Durable => Box::new(durable),
            SyncRule::Skipped => Box::new(SyncSkippingStorage::new(durable)),
            SyncRule::Files => {
                let folder = record.files.start_process();
                let storage = FileStorage::in_folder("model".into(), folder);
                Box::new(storage.with_loaded_max_bytes(LOADED_MAX_BYTES))
            }
        };
        let machine = KvMachine::default();
        let initial = record.initial.clone();
        let replica = GroupReplica::start(settings, initial, storage, machine, seed, now);
        record.replica = Some(replica.expect("a replica"));
    }

    pub(crate) fn replica(&mut self, seat: SeatId) -> Option<&mut GroupReplica<KvMachine>> {
        let record = self.seats.get_mut(&seat)?;
        record.replica.as_mut().filter(|_| !record.paused)
    }

    pub(crate) fn running(&self) -> Vec<SeatId> {
        let live = |record: &TestSeat| record.replica.is_some() && !record.paused;
        let seats = self.seats.iter().filter(|(_, record)| live(record));
        seats.map(|(seat, _)| *seat).collect()
    }

    /// Advances the simulation by one step.
    pub(crate) fn step(&mut self) {
        self.elapsed += STEP;
        for envelope in self.network.take_due(self.elapsed) {
            let seat = envelope.to;
            if self.seats.contains_key(&seat) {
                let now = self.now(seat);
                if let Some(replica) = self.replica(seat) {
                    replica.receive(envelope, now);
                }
            }
        }
        for seat in self.running() {
            let now = self.now(seat);
            if let Some(replica) = self.replica(seat) {
                replica.tick(now);
            }
            self.flush(seat);
        }
    }

    /// Flushes one seat; crashes it if that fails.
    pub(crate) fn flush(&mut self, seat: SeatId) {
        let now = self.now(seat);
        let Some(replica) = self.replica(seat) else {
            return;
        };
        match replica.flush(now) {
            Ok(outputs) => self.route(outputs),
            Err(_) => self.crash(seat),
        }
        self.check_agreement(seat);
    }

    fn route(&mut self, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(envelope) => {
                    if let SeatMessage::Snapshot(chunk) = &envelope.message {
                        let sent = self.snapshots_sent.entry((envelope.to, chunk.index));
                        let (_, bytes) = sent.or_insert((chunk.total, 0));
                        *bytes += chunk.data.len() as u64;
                    }
                    self.network.send(envelope, self.elapsed, &mut self.rng);
                }
                other => self.outputs.push(other),
            }
        }
    }

    /// Checks that all replicas apply the same commands in the same order.
    fn check_agreement(&mut self, seat: SeatId) {
        if let Some(state) = self.state(seat) {
            let known = *self
                .checksums
                .entry(state.last_applied)
                .or_insert(state.checksum);
            if self.sync_rule != SyncRule::Skipped {
                assert_eq!(
                    known, state.checksum,
                    "seat {seat} diverges at {}",
                    state.last_applied
                );
            }
        }
    }

    pub(crate) fn state(&mut self, seat: SeatId) -> Option<KvState> {
        let replica = self.replica(seat)?;
        Some(replica.machine().0.clone())
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.elapsed + time;
        while self.elapsed < until {
            self.step();
        }
    }

    /// The running leader with the highest term.
    pub(crate) fn leader(&mut self) -> Option<SeatId> {
        let mut leaders = Vec::new();
        for seat in self.running() {
            if let Some(replica) = self.replica(seat)
                && replica.seat().role() == SeatRole::Leader
            {
                leaders.push((replica.seat().term(), seat));
            }
        }
        leaders.into_iter().max().map(|(_, seat)| seat)
    }

    /// Runs until a leader may serve reads.
    pub(crate) fn wait_for_leader(&mut self) -> SeatId {
        for _ in 0..5_000 {
            self.step();
            if let Some(seat) = self.leader() {
                let now = self.now(seat);
                if self.replica(seat).is_some_and(|r| r.can_read(now)) {
                    return seat;
                }
            }
        }
        panic!("no leader after ten seconds");
    }

    pub(crate) fn propose(
        &mut self,
        seat: SeatId,
        command: KvCommand,
    ) -> Result<ProposalToken, ProposeError> {
        self.next_token += 1;
        let token = ProposalToken(self.next_token);
        let bytes = postcard::to_stdvec(&command).expect("a command");
        let replica = self.replica(seat);
        let replica = replica.ok_or(ProposeError::NotLeader { leader: None })?;
        replica.propose(token, bytes.into())?;
        Ok(token)
    }

    /// Writes through the leader and runs until the write is acknowledged.
    pub(crate) fn write(&mut self, key: u8, value: u32) {
        for _ in 0..20 {
            let leader = self.wait_for_leader();
            let Ok(token) = self.propose(leader, KvCommand::Write { key, value }) else {
                continue;
            };
            if self.await_answer(token) {
                return;
            }
        }
        panic!("the write was not acknowledged");
    }

    pub(crate) fn change(&mut self, change: &MembershipChange) -> Result<(), ProposeError> {
        let leader = self.wait_for_leader();
        self.next_token += 1;
        let token = ProposalToken(self.next_token);
        let now = self.now(leader);
        let replica = self.replica(leader).expect("a leader");
        replica.change_membership(token, change, now)?;
        assert!(self.await_answer(token), "{change:?} was not acknowledged");
        Ok(())
    }

    pub(crate) fn await_answer(&mut self, token: ProposalToken) -> bool {
        for _ in 0..1_000 {
            self.step();
            if self.is_answered(token) {
                return true;
            }
        }
        false
    }

    pub(crate) fn is_answered(&self, token: ProposalToken) -> bool {
        let answers = |output: &ReplicaOutput| matches!(output, ReplicaOutput::Answered { token: t, .. } if *t == token);
        self.outputs.iter().any(answers)
    }

    /// Reads from the current leader under its lease.
    pub(crate) fn read(&mut self, key: u8) -> u32 {
        let leader = self.wait_for_leader();
        self.state(leader).expect("a state").get(key)
    }

    /// Cuts the links between a seat and all others, in both directions.
    pub(crate) fn isolate(&mut self, seat: SeatId) {
        let others: Vec<SeatId> = self.seats.keys().copied().collect();
        for other in others.into_iter().filter(|other| *other != seat) {
            self.network.cut(seat, other);
            self.network.cut(other, seat);
        }
    }
}
