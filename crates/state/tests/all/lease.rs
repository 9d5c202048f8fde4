//! The lease on the key view: never longer than its length after a withdrawal.

use chicoryladder_state::{KeyLease, LeaseQuestion};
use chicoryladder_types::LogIndex;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_millis(100);
const SEED: [u8; 32] = [23; 32];
const CASES: u32 = 500;

fn at(origin: Instant, millis: u64) -> Instant {
    origin + Duration::from_millis(millis)
}

#[test]
fn a_new_host_is_not_fresh_before_it_applied_what_the_leader_told() {
    let origin = Instant::now();
    let mut lease = KeyLease::new(LENGTH);
    assert!(!lease.is_fresh(origin));
    let question = lease.ask(origin);
    lease.note_answer(question, LogIndex(9));
    lease.note_applied(LogIndex(8));
    assert!(!lease.is_fresh(at(origin, 1)));
    lease.note_applied(LogIndex(9));
    assert!(lease.is_fresh(at(origin, 100)));
    assert!(!lease.is_fresh(at(origin, 101)));
}

#[test]
fn a_delayed_answer_counts_from_its_question() {
    let origin = Instant::now();
    let mut lease = KeyLease::new(LENGTH);
    let question = lease.ask(origin);
    lease.note_answer(question, LogIndex(0));
    lease.note_applied(LogIndex(0));
    assert!(!lease.is_fresh(at(origin, 150)));
    // A doubled answer and one to a question never asked change nothing.
    lease.note_answer(question, LogIndex(0));
    lease.note_answer(LeaseQuestion(77), LogIndex(0));
    lease.note_applied(LogIndex(0));
    assert!(!lease.is_fresh(at(origin, 150)));
}

/// A question with the times, in milliseconds, that its messages take.
#[derive(Clone, Debug)]
struct Exchange {
    asked: u64,
    to_leader: u64,
    back: u64,
    applied_later: u64,
}

fn exchanges() -> impl Strategy<Value = Vec<Exchange>> {
    let exchange = (0..400_u64, 0..200_u64, 0..200_u64, 0..50_u64).prop_map(
        |(asked, to_leader, back, applied_later)| Exchange {
            asked,
            to_leader,
            back,
            applied_later,
        },
    );
    prop::collection::vec(exchange, 0..12)
}

/// What a host that never hears of the withdrawal does with its lease.
///
/// The withdrawal is committed at position 1, `withdrawn_at` after the origin.
/// The answer of the leader tells 1 from then on. The host never applies
/// position 1, as if cut off from the tail of the log but not from answers.
fn last_fresh(exchanges: &[Exchange], withdrawn_at: u64, counts_from_answer: bool) -> u64 {
    let origin = Instant::now();
    let mut lease = KeyLease::new(LENGTH);
    let mut events: Vec<(u64, LogIndex, u64)> = exchanges
        .iter()
        .map(|exchange| {
            let answered = exchange.asked + exchange.to_leader;
            let committed = LogIndex(u64::from(answered >= withdrawn_at));
            let arrived = answered + exchange.back + exchange.applied_later;
            (arrived, committed, exchange.asked)
        })
        .collect();
    events.sort_unstable();
    let mut last = 0;
    for (arrived, committed, asked) in events {
        let begun = if counts_from_answer { arrived } else { asked };
        let question = lease.ask(at(origin, begun));
        lease.note_answer(question, committed);
        lease.note_applied(LogIndex(0));
        let is_fresh = |millis: &u64| lease.is_fresh(at(origin, *millis));
        let fresh = (arrived..arrived + 300).rfind(is_fresh);
        last = last.max(fresh.unwrap_or(0));
    }
    last
}

fn run(counts_from_answer: bool) -> Result<(), String> {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&(exchanges(), 0..500_u64), |(exchanges, withdrawn_at)| {
            let last = last_fresh(&exchanges, withdrawn_at, counts_from_answer);
            let bound = withdrawn_at + 100;
            prop_assert!(last <= bound, "fresh at {last}, bound {bound}");
            Ok(())
        })
        .map_err(|failure| format!("seed {SEED:?}: {failure}"))
}

#[test]
fn no_host_trusts_its_view_for_longer_than_the_lease_after_a_withdrawal() {
    run(false).expect("the bound holds");
}

#[test]
fn the_check_fails_when_the_lease_counts_from_the_answer() {
    assert!(run(true).is_err(), "a delayed answer must be caught");
}
