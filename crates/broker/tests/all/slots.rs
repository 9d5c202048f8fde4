//! Grants, queueing, preemption and refusals.

use crate::support::{
    APP, BrokerFixture, ENGINE, check_in, granted, refused_after, requester, segment, stopped,
    team, team_name, zone,
};
use chicoryladder_broker::{
    ActiveRun, CheckInOutcome, ProvenWork, RunOutcome, RunReport, ServerCheckIn, WorkKind,
};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::time::Duration;

const TWO_ZONES: &[(&str, &str)] = &[("a1", "a"), ("b1", "b")];

#[test]
fn a_server_in_the_own_zone_is_preferred_until_it_is_full() {
    let mut fixture = BrokerFixture::new(TWO_ZONES, Vec::new());
    let servers: Vec<_> = (0..16)
        .map(|_| granted(&fixture.request_online()).expect("it is valid"))
        .collect();
    let in_zone = servers.iter().filter(|server| *server == "a1").count();
    assert_eq!(in_zone, 8);
    assert!(servers[..8].iter().all(|server| server == "a1"));
}

#[test]
fn a_server_that_cached_the_prompt_is_preferred_to_an_idle_one() {
    let mut fixture = BrokerFixture::new(&[("a1", "a"), ("a2", "a")], Vec::new());
    let prompt = vec![segment(1, 2_000), segment(2, 10)];
    let mut request = fixture.slot_request(WorkKind::Online);
    request.prompt.clone_from(&prompt);
    let first = granted(&fixture.submit(request)).expect("it is valid");
    for _ in 0..5 {
        let mut request = fixture.slot_request(WorkKind::Online);
        request.prompt.clone_from(&prompt);
        assert_eq!(granted(&fixture.submit(request)).as_ref(), Some(&first));
    }
}

#[test]
fn a_cached_segment_counts_only_after_the_same_segments() {
    let mut fixture = BrokerFixture::new(&[("a1", "a"), ("a2", "a")], Vec::new());
    let submit = |fixture: &mut BrokerFixture, first: u64| {
        let mut request = fixture.slot_request(WorkKind::Online);
        request.prompt = vec![segment(first, 10), segment(2, 2_000), segment(3, 10)];
        granted(&fixture.submit(request)).expect("it is valid")
    };
    let cached = submit(&mut fixture, 1);
    assert_ne!(submit(&mut fixture, 9), cached);
    assert_eq!(submit(&mut fixture, 1), cached);
}

#[test]
fn batch_items_leave_one_slot_of_each_engine_free() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let granted_count = (0..10)
        .filter(|_| granted(&fixture.request_batch()).is_some())
        .count();
    assert_eq!(granted_count, 7);
    assert!(granted(&fixture.request_online()).is_some());
}

#[test]
fn an_online_request_preempts_the_most_recently_started_batch_item() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for _ in 0..7 {
        fixture.request_batch();
        fixture.now += Duration::from_millis(10);
    }
    fixture.request_online();
    let events = fixture.request_online();
    assert_eq!(granted(&events).as_deref(), Some("a1"));
    assert_eq!(stopped(&events), Some(7));
}

#[test]
fn the_end_of_a_preempted_item_frees_no_second_slot() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for _ in 0..7 {
        fixture.request_batch();
    }
    fixture.request_online();
    let ticket = stopped(&fixture.request_online()).expect("it is valid");
    fixture.release(ticket, RunOutcome::Stopped);
    // Eight requests run, so the next online request preempts another item.
    assert!(stopped(&fixture.request_online()).is_some());
}

#[test]
fn a_queued_request_gets_the_next_free_slot() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        assert!(granted(&fixture.request_online()).is_some());
    }
    assert!(fixture.request_online().is_empty());
    let events = fixture.release(3, RunOutcome::Served);
    assert_eq!(granted(&events).as_deref(), Some("a1"));
}

#[test]
fn a_request_with_a_lower_rank_number_is_served_first() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        fixture.request_online();
    }
    let mut low_priority = fixture.slot_request(WorkKind::Online);
    low_priority.rank = 5;
    let low_priority_ticket = low_priority.ticket;
    fixture.submit(low_priority);
    let high_priority = fixture.slot_request(WorkKind::Online);
    let high_priority_ticket = high_priority.ticket;
    fixture.submit(high_priority);
    let first = fixture.release(1, RunOutcome::Served);
    let second = fixture.release(2, RunOutcome::Served);
    let ticket = |events: &[chicoryladder_broker::BrokerEvent]| match &events[0] {
        chicoryladder_broker::BrokerEvent::Decided { ticket, .. } => *ticket,
        other => {
            panic!("unexpected event {other:?}")
        }
    };
    assert_eq!(ticket(&first), high_priority_ticket);
    assert_eq!(ticket(&second), low_priority_ticket);
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_immediately() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let mut refusal = None;
    for _ in 0..40 {
        refusal = refusal.or(refused_after(&fixture.request_online()));
    }
    let after = refusal.expect("nothing was refused");
    assert!(after > Duration::ZERO);
}

#[test]
fn a_queued_request_is_refused_when_its_wait_expires() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        fixture.request_online();
    }
    assert!(fixture.request_online().is_empty());
    assert!(refused_after(&fixture.tick(Duration::from_millis(301))).is_some());
}

#[test]
fn a_refused_request_is_not_charged_to_its_team() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], vec![team("t", 1.0, 1.0)]);
    for _ in 0..8 {
        fixture.request_online();
    }
    let mut refused = 0;
    for _ in 0..60 {
        let mut request = fixture.slot_request(WorkKind::Online);
        request.charged_team = Some(team_name("t"));
        request.first_answer_within = Duration::ZERO;
        refused += usize::from(refused_after(&fixture.submit(request)).is_some());
    }
    assert_eq!(refused, 60);
    fixture.release(1, RunOutcome::Served);
    let mut request = fixture.slot_request(WorkKind::Online);
    request.charged_team = Some(team_name("t"));
    assert!(granted(&fixture.submit(request)).is_some());
}

#[test]
fn the_suspension_of_an_unreachable_server_grows_with_each_failure() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let mut suspensions = Vec::new();
    for _ in 0..3 {
        let request = fixture.slot_request(WorkKind::Online);
        let ticket = request.ticket;
        assert!(granted(&fixture.submit(request)).is_some());
        fixture.release(ticket, RunOutcome::Unreachable);
        let mut suspension = Duration::ZERO;
        loop {
            let probe = fixture.slot_request(WorkKind::Batch);
            let probe_ticket = probe.ticket;
            let found = granted(&fixture.submit(probe)).is_some();
            fixture.release(probe_ticket, RunOutcome::Stopped);
            if found {
                break;
            }
            suspension += Duration::from_millis(50);
            fixture.now += Duration::from_millis(50);
        }
        suspensions.push(suspension);
    }
    assert!(
        suspensions[0] < suspensions[1] && suspensions[1] < suspensions[2],
        "{suspensions:?}"
    );
}

#[test]
fn the_slots_of_a_lost_host_are_reclaimed() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        fixture.request_online();
    }
    for _ in 0..5 {
        fixture.tick(Duration::from_millis(500));
    }
    assert!(granted(&fixture.request_online()).is_some());
}

#[test]
fn a_new_broker_counts_the_active_runs_that_a_host_lists() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let run = |ticket| ActiveRun {
        ticket,
        server: ServerName::try_from("a1").expect("it is valid"),
        kind: WorkKind::Online,
        tokens: 100,
        brokerless: true,
        proven: ProvenWork::None,
    };
    let active: Vec<_> = (100..108).map(run).collect();
    fixture
        .broker
        .reconcile(&requester("entry-2"), &active, fixture.now);
    assert!(granted(&fixture.request_online()).is_none());
    fixture.now += Duration::from_millis(1_100);
    fixture
        .broker
        .reconcile(&requester("entry-2"), &[], fixture.now);
    assert!(
        granted(&fixture.broker.take_events()).is_some()
            || granted(&fixture.request_online()).is_some()
    );
}

#[test]
fn a_withdrawn_request_gets_no_decision() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        fixture.request_online();
    }
    let request = fixture.slot_request(WorkKind::Online);
    let ticket = request.ticket;
    fixture.submit(request);
    let report = RunReport {
        ticket,
        outcome: RunOutcome::Stopped,
        load: None,
        first_answer: None,
        refund: true,
        completed: ProvenWork::None,
    };
    fixture
        .broker
        .release(&requester("entry-1"), &report, fixture.now);
    assert!(fixture.release(1, RunOutcome::Served).is_empty());
}

#[test]
fn excluded_servers_are_not_selected() {
    let mut fixture = BrokerFixture::new(TWO_ZONES, Vec::new());
    let mut request = fixture.slot_request(WorkKind::Online);
    request.avoid = vec![ServerName::try_from("a1").expect("it is valid")];
    request.zone = zone("a");
    assert_eq!(granted(&fixture.submit(request)).as_deref(), Some("b1"));
}

#[test]
fn a_request_for_a_service_without_servers_is_refused_immediately() {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    let mut request = fixture.slot_request(WorkKind::Online);
    request.service = ServiceName::try_from(APP).expect("it is valid");
    assert!(refused_after(&fixture.submit(request)).is_some());
}

#[test]
fn an_engine_gets_no_more_tokens_than_fit_in_its_memory() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for expected in [true, true, false] {
        let mut request = fixture.slot_request(WorkKind::Online);
        request.tokens = 50_000;
        assert_eq!(granted(&fixture.submit(request)).is_some(), expected);
    }
}

/// A broker runs for months, so its state must not grow with the number of requests
/// served.
#[test]
fn ended_runs_leave_no_state_behind() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let serve = |fixture: &mut BrokerFixture, incarnations: std::ops::Range<u64>| {
        for incarnation in incarnations {
            let mut host = requester("entry-1");
            host.incarnation = incarnation;
            let request = fixture.slot_request(WorkKind::Online);
            let report = RunReport {
                ticket: request.ticket,
                outcome: RunOutcome::Served,
                load: None,
                first_answer: None,
                refund: false,
                completed: ProvenWork::None,
            };
            fixture.broker.request_slot(&host, request, fixture.now);
            fixture.broker.release(&host, &report, fixture.now);
            fixture.broker.take_events();
        }
        fixture.now += Duration::from_secs(3);
        fixture.broker.tick(fixture.now);
        format!("{:?}", fixture.broker).len()
    };
    let after_hundred = serve(&mut fixture, 0..100);
    let after_thousand = serve(&mut fixture, 100..1_000);
    // Counters may have a few more digits.
    assert!(
        after_thousand < after_hundred + 500,
        "{after_hundred} characters grew to {after_thousand}"
    );
}

/// Pattern: a zone is cut off for seconds while the others are busy. Its servers fall silent
/// and cannot be reached; requests that try them are lost time.
#[test]
fn a_silent_server_that_was_unreachable_gets_no_work_until_it_checks_in() {
    let mut fixture = BrokerFixture::new(&[("far", "b")], Vec::new());
    // The server misses two check-ins, but does not count as lost yet.
    fixture.tick(Duration::from_secs(3));
    assert_eq!(granted(&fixture.request_online()).as_deref(), Some("far"));
    fixture.release(1, RunOutcome::Unreachable);
    fixture.tick(Duration::from_secs(1));
    assert_eq!(granted(&fixture.request_online()), None);
    let outcome = fixture
        .broker
        .check_in(check_in("far", "b", 2), fixture.now);
    assert_eq!(outcome, CheckInOutcome::Renewed);
    assert_eq!(granted(&fixture.request_online()).as_deref(), Some("far"));
}

#[test]
fn a_server_back_from_a_cut_is_not_suspended_for_its_failures_meanwhile() {
    let mut fixture = BrokerFixture::new(&[("far", "b")], Vec::new());
    fixture.tick(Duration::from_secs(3));
    fixture.request_online();
    fixture.release(1, RunOutcome::Unreachable);
    fixture
        .broker
        .check_in(check_in("far", "b", 2), fixture.now);
    assert_eq!(granted(&fixture.request_online()).as_deref(), Some("far"));
}

#[test]
fn a_failing_server_that_checks_in_regularly_stays_suspended() {
    let mut fixture = BrokerFixture::new(&[("grey", "a")], Vec::new());
    fixture.request_online();
    fixture.release(1, RunOutcome::Failed);
    fixture
        .broker
        .check_in(check_in("grey", "a", 2), fixture.now);
    assert_eq!(granted(&fixture.request_online()), None);
}

/// Pattern: the leader of the job group is lost with the items that it runs, and the next
/// one has to start them again while their deadline comes nearer.
#[test]
fn the_next_runner_of_items_gets_the_slots_of_the_one_that_is_lost() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let request_from = |fixture: &mut BrokerFixture, host: &str| {
        let mut request = fixture.slot_request(WorkKind::Batch);
        request.wait_max = Duration::from_secs(2);
        let now = fixture.now;
        fixture.broker.request_slot(&requester(host), request, now);
        granted(&fixture.broker.take_events()).is_some()
    };
    assert!((0..7).all(|_| request_from(&mut fixture, "store-1")));
    // While the first one is heard of, its items keep their slots.
    fixture.tick(Duration::from_millis(300));
    assert!(!request_from(&mut fixture, "store-2"));
    let events = fixture.tick(Duration::from_millis(500));
    assert!(granted(&events).is_some(), "the queued item starts");
    let events = fixture.request_online();
    assert!(granted(&events).is_some() && stopped(&events).is_none());
    assert!((0..5).all(|_| request_from(&mut fixture, "store-2")));
}

/// A check-in that an earlier build has accepted may claim any warm-up time and number of
/// slots. The broker failed at the computation, for each request and after each restart.
#[test]
fn a_server_that_claims_an_endless_warm_up_is_no_danger_to_the_broker() {
    let mut fixture = BrokerFixture::with_servers(1, &["a"]);
    let odd = ServerCheckIn {
        warmup_remaining: Duration::MAX,
        slots: u32::MAX,
        ..check_in("odd", "b", 1)
    };
    fixture.broker.restore_server(odd, fixture.now);
    for _ in 0..4 {
        assert!(granted(&fixture.request_online()).is_some());
    }
    fixture.tick(Duration::from_millis(100));
    let service = ServiceName::try_from(ENGINE).expect("it is valid");
    let (running, slots, ..) = fixture.broker.load_of(&service, fixture.now);
    assert_eq!(running, 4);
    assert!(slots >= 8);
}

/// Items were never run on engines with one slot, as one is left free for online requests.
#[test]
fn items_take_the_only_slot_of_an_engine() {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    let server = ServerCheckIn {
        slots: 1,
        ..check_in("a1", "a", 1)
    };
    fixture.broker.check_in(server, fixture.now);
    assert!(granted(&fixture.request_batch()).is_some());
    let events = fixture.request_online();
    assert_eq!(granted(&events).as_deref(), Some("a1"));
    assert_eq!(stopped(&events), Some(1));
}

/// A request that the memory of no server holds waited until its time was up, and kept those
/// behind it from idle servers.
#[test]
fn a_request_that_no_memory_holds_is_refused_at_once() {
    for kind in [WorkKind::Online, WorkKind::Batch] {
        let mut fixture = BrokerFixture::new(TWO_ZONES, Vec::new());
        let mut request = fixture.slot_request(kind);
        request.tokens = 100_001;
        assert!(
            refused_after(&fixture.submit(request)).is_some(),
            "{kind:?}"
        );
        let mut request = fixture.slot_request(kind);
        request.tokens = 100_000;
        assert!(granted(&fixture.submit(request)).is_some(), "{kind:?}");
    }
}

/// A request that waited for memory kept smaller ones from free slots.
#[test]
fn a_request_that_waits_for_memory_lets_others_pass_for_half_of_its_wait() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let submit = |fixture: &mut BrokerFixture, tokens| {
        let mut request = fixture.slot_request(WorkKind::Batch);
        request.tokens = tokens;
        request.wait_max = Duration::from_secs(2);
        fixture.submit(request)
    };
    for _ in 0..2 {
        assert!(granted(&submit(&mut fixture, 50_000)).is_some());
    }
    for tokens in [60_000, 10_000, 45_000] {
        assert!(submit(&mut fixture, tokens).is_empty());
    }
    assert!(
        granted(&fixture.release(1, RunOutcome::Served)).is_some(),
        "the second one"
    );
    fixture.tick(Duration::from_millis(1_100));
    assert!(fixture.release(4, RunOutcome::Served).is_empty());
    // The memory is kept free for the first one.
    assert!(granted(&fixture.release(2, RunOutcome::Served)).is_some());
}

/// A request that avoids a server after a failed run kept others from its slots.
#[test]
fn a_request_that_avoids_a_server_lets_others_pass() {
    let mut fixture = BrokerFixture::new(TWO_ZONES, Vec::new());
    let of_second: Vec<u64> = (1..=16)
        .filter(|_| granted(&fixture.request_online()).as_deref() == Some("b1"))
        .collect();
    let mut request = fixture.slot_request(WorkKind::Online);
    request.avoid = vec![ServerName::try_from("b1").expect("it is valid")];
    assert!(fixture.submit(request).is_empty());
    assert!(fixture.request_online().is_empty());
    let events = fixture.release(of_second[0], RunOutcome::Served);
    assert_eq!(granted(&events).as_deref(), Some("b1"));
}
