//! Concurrent callers under random faults; their call history must be linearizable.

use crate::cluster::{ELECTION_TIMEOUT, SyncRule, TestCluster};
use crate::history::{CallHistory, CallNumber, KeyCall};
use crate::kv::KvCommand;
use crate::network::LinkFaults;
use crate::seeds::seeds;
use chicoryladder_consensus::{DroppedReason, ProposalToken, ReplicaOutput, SeatRole};
use chicoryladder_types::SeatId;
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

const KEYS: u8 = 3;
const CLIENTS: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether reads require the lease or only the leader role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadRule {
    Lease,
    RoleOnly,
}

#[derive(Clone, Copy)]
struct PendingCall {
    number: CallNumber,
    started_at: Duration,
}

struct Workload {
    cluster: TestCluster,
    history: CallHistory,
    read_rule: ReadRule,
    pending: BTreeMap<ProposalToken, PendingCall>,
    next_value: u32,
    seen_outputs: usize,
}

impl Workload {
    fn new(seed: u64, read_rule: ReadRule, sync_rule: SyncRule) -> Self {
        Self {
            cluster: TestCluster::with_rule(seed, 3, LinkFaults::LOSSY, sync_rule),
            history: CallHistory::default(),
            read_rule,
            pending: BTreeMap::new(),
            next_value: 0,
            seen_outputs: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.cluster.elapsed + time;
        while self.cluster.elapsed < until {
            if self.cluster.rng.random_ratio(1, 100) {
                self.inject_fault();
            }
            if self.cluster.rng.random_ratio(1, 8) {
                self.call();
            }
            self.cluster.step();
            self.collect();
        }
    }

    fn any_seat(&mut self) -> SeatId {
        SeatId(self.cluster.rng.random_range(1..=3))
    }

    fn inject_fault(&mut self) {
        let seat = self.any_seat();
        let other = self.any_seat();
        match self.cluster.rng.random_range(0..10) {
            0 | 1 => self.cluster.isolate(seat),
            2 => self.cluster.network.cut(seat, other),
            3 => self.cluster.crash(seat),
            4 => self.set_paused(seat, true),
            5 => {
                let now = self.cluster.now(seat);
                if let Some(replica) = self.cluster.replica(seat) {
                    let _ = replica.transfer(None, now);
                }
            }
            _ => self.repair(),
        }
    }

    fn set_paused(&mut self, seat: SeatId, paused: bool) {
        if let Some(record) = self.cluster.seats.get_mut(&seat) {
            record.paused = paused && record.replica.is_some();
        }
    }

    fn repair(&mut self) {
        self.cluster.network.heal();
        for seat in (1..=3).map(SeatId) {
            self.set_paused(seat, false);
            if self.cluster.seats[&seat].replica.is_none() {
                self.cluster.restart(seat);
            }
            // A resumed process may serve a read before its timers run.
            self.read(seat, 0);
        }
    }

    fn call(&mut self) {
        let seat = self.any_seat();
        let key = self.cluster.rng.random_range(0..KEYS);
        if self.cluster.rng.random_ratio(1, 2) {
            self.read(seat, key);
        } else if self.pending.len() < CLIENTS {
            self.change(seat, key);
        }
    }

    fn read(&mut self, seat: SeatId, key: u8) {
        let now = self.cluster.now(seat);
        let read_rule = self.read_rule;
        let Some(replica) = self.cluster.replica(seat) else {
            return;
        };
        let allowed = match read_rule {
            ReadRule::Lease => replica.can_read(now),
            ReadRule::RoleOnly => replica.seat().role() == SeatRole::Leader,
        };
        if allowed && let Some(state) = self.cluster.state(seat) {
            let number = self.history.begin(key, KeyCall::Read(None));
            let seen = Some(state.get(key));
            self.history.end(number, KeyCall::Read(seen));
        }
    }

    fn change(&mut self, seat: SeatId, key: u8) {
        self.next_value += 1;
        let value = self.next_value;
        let swaps = self.cluster.rng.random_ratio(1, 3);
        let from = value.saturating_sub(self.cluster.rng.random_range(1..4));
        let (command, call) = if swaps {
            let to = value;
            let swapped = None;
            let call = KeyCall::CompareAndSwap { from, to, swapped };
            (KvCommand::CompareAndSwap { key, from, to }, call)
        } else {
            (KvCommand::Write { key, value }, KeyCall::Write(value))
        };
        if let Ok(token) = self.cluster.propose(seat, command) {
            let number = self.history.begin(key, call);
            let started_at = self.cluster.elapsed;
            self.pending
                .insert(token, PendingCall { number, started_at });
        }
    }

    fn collect(&mut self) {
        let outputs = self.cluster.outputs.split_off(self.seen_outputs);
        for output in &outputs {
            match output {
                ReplicaOutput::Answered { token, answer, .. } => self.finish(*token, answer),
                ReplicaOutput::Dropped { token, reason } => {
                    let pending = self.pending.remove(token);
                    if let Some(pending) = pending.filter(|_| *reason == DroppedReason::Superseded)
                    {
                        self.history.discard(pending.number);
                    }
                }
                ReplicaOutput::Send(_) => {}
            }
        }
        let elapsed = self.cluster.elapsed;
        self.pending
            .retain(|_, pending| elapsed < pending.started_at + CALL_TIMEOUT);
    }

    fn finish(&mut self, token: ProposalToken, answer: &[u8]) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let call = match self.history.call(pending.number) {
            KeyCall::CompareAndSwap { from, to, .. } => {
                let swapped = Some(answer == [1]);
                KeyCall::CompareAndSwap { from, to, swapped }
            }
            other => other,
        };
        self.history.end(pending.number, call);
    }
}

fn run_history(seed: u64, read_rule: ReadRule, sync_rule: SyncRule) -> CallHistory {
    let mut workload = Workload::new(seed, read_rule, sync_rule);
    workload.run(Duration::from_secs(8));
    workload.repair();
    workload.run(Duration::from_secs(2));
    workload.history
}

#[test]
fn histories_under_faults_are_linearizable() {
    let mut answered = 0;
    for seed in seeds(24) {
        let history = run_history(seed, ReadRule::Lease, SyncRule::Durable);
        answered += history.answered();
        assert!(history.is_linearizable(), "not linearizable: seed {seed}");
    }
    assert!(answered > 0);
}

#[test]
fn reads_without_a_lease_are_detected() {
    let detected = (1..=40).any(|seed| {
        let history = run_history(seed, ReadRule::RoleOnly, SyncRule::Durable);
        !history.is_linearizable()
    });
    assert!(detected, "no violation was found with reads by role only");
}

#[test]
fn skipped_syncs_are_detected() {
    let detected = (1..=40).any(|seed| {
        let history = run_history(seed, ReadRule::Lease, SyncRule::Skipped);
        !history.is_linearizable()
    });
    assert!(detected, "no violation was found with skipped syncs");
}

#[test]
fn resumed_leader_with_an_expired_lease_serves_no_read() {
    let mut cluster = TestCluster::new(5, 3, LinkFaults::RELIABLE);
    cluster.write(1, 10);
    let old = cluster.wait_for_leader();
    cluster.seats.get_mut(&old).expect("a seat").paused = true;
    cluster.run(ELECTION_TIMEOUT * 4);
    cluster.write(1, 11);
    cluster.seats.get_mut(&old).expect("a seat").paused = false;
    let now = cluster.now(old);
    let replica = cluster.replica(old).expect("a replica");
    // A check of only the role would allow a read of the outdated value.
    assert_eq!(replica.seat().role(), SeatRole::Leader);
    assert!(!replica.can_read(now));
    assert_eq!(cluster.state(old).expect("a state").get(1), 10);
}
