//! Leaders that restart and resume their leadership.

use crate::cluster::{ELECTION_TIMEOUT, TestCluster};
use crate::elections::lease_holders;
use crate::network::LinkFaults;
use chicoryladder_consensus::{
    BatchNumber, EntryPayload, GroupMembership, HardState, LogEntry, RaftSeat, SeatAction,
    SeatEvent, SeatMessage, SeatSettings, StoredState, VoteRequest,
};
use chicoryladder_types::{GroupId, LogIndex, SeatId, TermNumber};
use rand::RngExt;
use std::time::{Duration, Instant};

/// Pattern: all hosts lose power and start again together. Guards against a group without a
/// leader for an election timeout, which no lease requires once the only holder has restarted.
#[test]
fn a_restarted_leader_leads_again_before_an_election_timeout() {
    for seed in 1..=50 {
        let mut cluster = TestCluster::new(seed, 5, LinkFaults::RELIABLE);
        let leader = cluster.wait_for_leader();
        cluster.write(1, 1);
        // The seat stores that it leads after an election timeout.
        cluster.run(ELECTION_TIMEOUT * 3 / 2);
        let seats: Vec<SeatId> = (1..=5).map(SeatId).collect();
        for seat in &seats {
            cluster.crash(*seat);
        }
        // The hosts start one after the other, the leader among them.
        for seat in &seats {
            cluster.restart(*seat);
            cluster.run(ELECTION_TIMEOUT / 20);
        }
        cluster.run(ELECTION_TIMEOUT / 4);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        cluster.run(ELECTION_TIMEOUT * 4);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        assert_eq!(cluster.read(1), 1, "seed {seed}");
    }
}

/// Guards against a restarted seat that is elected at once while the lease of a leader that is
/// cut off still runs.
#[test]
fn leases_never_overlap_while_seats_restart() {
    for faults in [LinkFaults::RELIABLE, LinkFaults::LOSSY] {
        for seed in 1..=60 {
            let mut cluster = TestCluster::new(seed, 5, faults);
            for (record, percent) in cluster.seats.values_mut().zip([100, 109, 104, 100, 109]) {
                record.clock_percent = percent;
            }
            for _ in 0..8 {
                let leader = cluster.wait_for_leader();
                let restarted = SeatId(cluster.rng.random_range(1..=5));
                cluster.crash(restarted);
                if restarted != leader {
                    cluster.isolate(leader);
                }
                let down_steps = cluster.rng.random_range(1..150);
                for step in 0..400 {
                    if step == down_steps {
                        cluster.restart(restarted);
                    }
                    cluster.step();
                    let holders = lease_holders(&mut cluster);
                    assert!(holders <= 1, "seed {seed}: {holders} leases at a time");
                }
                cluster.network.heal();
            }
        }
    }
}

/// Guards against a seat that campaigns at once although it has not led in its stored term: it
/// may have confirmed the lease of the leader that won that election.
#[test]
fn only_the_leader_of_the_stored_term_campaigns_at_once() {
    let (own, others) = (SeatId(1), [SeatId(2), SeatId(3)]);
    let address = |seat: SeatId| ([10, 0, 0, 1], u16::try_from(seat.0).expect("it fits")).into();
    let voters = [own, others[0], others[1]].map(|seat| (seat, address(seat)));
    let requests_votes = |vote: SeatId, led_term: Option<u64>| {
        let stored = StoredState {
            hard_state: HardState {
                term: TermNumber(3),
                vote: Some(vote),
            },
            led_term: led_term.map(TermNumber),
            ..StoredState::default()
        };
        let settings = SeatSettings::new(GroupId(1), own);
        let membership = GroupMembership::of_voters(voters);
        let now = Instant::now();
        let mut seat = RaftSeat::new(settings, membership, stored, 1, now);
        let mut actions = seat.step(SeatEvent::Tick, now);
        actions.extend(seat.step(SeatEvent::Persisted(BatchNumber(u64::MAX)), now));
        actions.iter().any(|action| {
            matches!(action, SeatAction::Send(envelope)
                if matches!(&envelope.message, SeatMessage::Vote(request)
                    if request.transfer && request.term == TermNumber(4)))
        })
    };
    assert!(requests_votes(own, Some(3)));
    assert!(!requests_votes(own, Some(2)));
    assert!(!requests_votes(own, None));
    assert!(!requests_votes(others[0], Some(3)));
}

/// Pattern: a host crashes 60 ms after each of its elections and is back 40 ms later. Guards
/// against a group that it leads again and again, and that has no lease for half of the time.
#[test]
fn a_leader_that_crashes_soon_after_each_election_loses_its_lead() {
    let (mut with_lease, mut steps, mut crashes) = (0, 0, 0);
    for seed in 1..=10 {
        let mut cluster = TestCluster::new(seed, 5, LinkFaults::RELIABLE);
        let crashing = cluster.wait_for_leader();
        let (mut led, mut down) = (0, 0);
        for _ in 0..5_000 {
            cluster.step();
            steps += 1;
            with_lease += lease_holders(&mut cluster).min(1);
            if cluster.seats[&crashing].replica.is_none() {
                down += 1;
                if down == 20 {
                    cluster.restart(crashing);
                    down = 0;
                }
            } else if cluster.leader() == Some(crashing) {
                led += 1;
                if led == 30 {
                    cluster.crash(crashing);
                    crashes += 1;
                    led = 0;
                }
            }
        }
    }
    assert!(
        with_lease * 10 >= steps * 9,
        "{with_lease} of {steps} steps"
    );
    assert!(crashes <= 30, "{crashes} crashes in 10 runs of 10 s");
}

/// Pattern: the restarted leader can send, but not receive. Guards against requests for votes
/// that put off the election of another leader again and again.
#[test]
fn a_restarted_leader_that_receives_nothing_does_not_put_off_an_election() {
    for seed in 1..=60 {
        let mut cluster = TestCluster::new(seed, 5, LinkFaults::RELIABLE);
        let leader = cluster.wait_for_leader();
        cluster.write(1, 1);
        cluster.run(ELECTION_TIMEOUT * 3 / 2);
        cluster.crash(leader);
        for other in (1..=5).map(SeatId).filter(|seat| *seat != leader) {
            cluster.network.cut(other, leader);
        }
        cluster.restart(leader);
        let restarted = cluster.elapsed;
        cluster.wait_for_leader();
        let waited = cluster.elapsed.saturating_sub(restarted);
        assert!(waited <= ELECTION_TIMEOUT * 3, "seed {seed}: {waited:?}");
    }
}

/// Guards against a task that calls a seat without a pause, as the time of its next call is past
/// although nothing is due.
#[test]
fn a_seat_that_waits_for_another_election_is_not_due() {
    let (own, others) = (SeatId(1), [SeatId(2), SeatId(3)]);
    let address = |seat: SeatId| ([10, 0, 0, 1], u16::try_from(seat.0).expect("it fits")).into();
    let voters = [own, others[0], others[1]].map(|seat| (seat, address(seat)));
    let stored = StoredState {
        hard_state: HardState {
            term: TermNumber(1),
            vote: None,
        },
        entries: vec![LogEntry {
            index: LogIndex(1),
            term: TermNumber(1),
            payload: EntryPayload::NoOp,
        }],
        ..StoredState::default()
    };
    let settings = SeatSettings::new(GroupId(1), own);
    let timeout = settings.election_timeout;
    let start = Instant::now();
    let membership = GroupMembership::of_voters(voters);
    let mut seat = RaftSeat::new(settings, membership, stored, 1, start);
    let asked_at = start + timeout * 2;
    seat.step(SeatEvent::Tick, asked_at);
    // The log of the candidate is shorter, so the seat refuses its vote.
    let request = VoteRequest {
        term: TermNumber(2),
        last_index: LogIndex(1),
        last_term: TermNumber(0),
        transfer: false,
    };
    let vote = SeatEvent::Receive {
        from: others[0],
        message: SeatMessage::Vote(request),
    };
    seat.step(vote, asked_at);
    for millis in 0..1_000 {
        let now = asked_at + Duration::from_millis(millis);
        seat.step(SeatEvent::Tick, now);
        assert!(seat.wake_at() > now, "{millis} ms");
    }
}
