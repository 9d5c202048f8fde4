//! Who gets which slot.

use crate::support::{
    APP, World, granted, part, refused_after, requester, stopped, team, team_name, zone,
};
use chicoryladder_broker::{ActiveRun, RunOutcome, RunReport, WorkKind};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::time::Duration;

const TWO_ZONES: &[(&str, &str)] = &[("a1", "a"), ("b1", "b")];

#[test]
fn a_server_of_the_own_zone_goes_first_until_it_is_full() {
    let mut world = World::new(TWO_ZONES, Vec::new());
    let servers: Vec<_> = (0..16)
        .map(|_| granted(&world.ask_online()).expect("it is valid"))
        .collect();
    let near = servers.iter().filter(|server| *server == "a1").count();
    assert_eq!(near, 8);
    assert!(servers[..8].iter().all(|server| server == "a1"));
}

#[test]
fn a_server_that_has_read_the_prompt_goes_before_an_idle_one() {
    let mut world = World::new(&[("a1", "a"), ("a2", "a")], Vec::new());
    let prompt = vec![part(1, 2_000), part(2, 10)];
    let mut question = world.question(WorkKind::Online);
    question.prompt.clone_from(&prompt);
    let first = granted(&world.ask(question)).expect("it is valid");
    for _ in 0..5 {
        let mut question = world.question(WorkKind::Online);
        question.prompt.clone_from(&prompt);
        assert_eq!(granted(&world.ask(question)).as_ref(), Some(&first));
    }
}

#[test]
fn batch_items_leave_a_slot_of_each_engine_free() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    let given = (0..10)
        .filter(|_| granted(&world.ask_batch()).is_some())
        .count();
    assert_eq!(given, 7);
    assert!(granted(&world.ask_online()).is_some());
}

#[test]
fn an_online_request_takes_the_slot_of_the_batch_item_that_began_last() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for _ in 0..7 {
        world.ask_batch();
        world.now += Duration::from_millis(10);
    }
    world.ask_online();
    let events = world.ask_online();
    assert_eq!(granted(&events).as_deref(), Some("a1"));
    assert_eq!(stopped(&events), Some(7));
}

#[test]
fn a_stopped_item_that_ends_frees_no_second_slot() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for _ in 0..7 {
        world.ask_batch();
    }
    world.ask_online();
    let ticket = stopped(&world.ask_online()).expect("it is valid");
    world.release(ticket, RunOutcome::Stopped);
    // Eight run; the next online request takes another item's slot.
    assert!(stopped(&world.ask_online()).is_some());
}

#[test]
fn a_request_that_waits_gets_the_next_free_slot() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        assert!(granted(&world.ask_online()).is_some());
    }
    assert!(world.ask_online().is_empty());
    let events = world.release(3, RunOutcome::Served);
    assert_eq!(granted(&events).as_deref(), Some("a1"));
}

#[test]
fn a_request_with_a_lower_rank_number_waits_less() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        world.ask_online();
    }
    let mut patient = world.question(WorkKind::Online);
    patient.rank = 5;
    let patient_ticket = patient.ticket;
    world.ask(patient);
    let urgent = world.question(WorkKind::Online);
    let urgent_ticket = urgent.ticket;
    world.ask(urgent);
    let first = world.release(1, RunOutcome::Served);
    let second = world.release(2, RunOutcome::Served);
    let ticket = |events: &[chicoryladder_broker::BrokerEvent]| match &events[0] {
        chicoryladder_broker::BrokerEvent::Decided { ticket, .. } => *ticket,
        other @ chicoryladder_broker::BrokerEvent::Stop { .. } => {
            panic!("unexpected event {other:?}")
        }
    };
    assert_eq!(ticket(&first), urgent_ticket);
    assert_eq!(ticket(&second), patient_ticket);
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    let mut refusal = None;
    for _ in 0..40 {
        refusal = refusal.or(refused_after(&world.ask_online()));
    }
    let after = refusal.expect("nothing was refused");
    assert!(after > Duration::ZERO);
}

#[test]
fn a_request_that_found_no_slot_in_time_is_refused_then() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        world.ask_online();
    }
    assert!(world.ask_online().is_empty());
    assert!(refused_after(&world.tick(Duration::from_millis(301))).is_some());
}

#[test]
fn a_refused_request_costs_its_team_nothing() {
    let mut world = World::new(&[("a1", "a")], vec![team("t", 1.0, 1.0)]);
    for _ in 0..8 {
        world.ask_online();
    }
    let mut refused = 0;
    for _ in 0..60 {
        let mut question = world.question(WorkKind::Online);
        question.charged_team = Some(team_name("t"));
        question.first_answer_within = Duration::ZERO;
        refused += usize::from(refused_after(&world.ask(question)).is_some());
    }
    assert_eq!(refused, 60);
    world.release(1, RunOutcome::Served);
    let mut question = world.question(WorkKind::Online);
    question.charged_team = Some(team_name("t"));
    assert!(granted(&world.ask(question)).is_some());
}

#[test]
fn an_unreachable_server_pauses_longer_with_each_failure() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    let mut pauses = Vec::new();
    for _ in 0..3 {
        let question = world.question(WorkKind::Online);
        let ticket = question.ticket;
        assert!(granted(&world.ask(question)).is_some());
        world.release(ticket, RunOutcome::Unreachable);
        let mut pause = Duration::ZERO;
        loop {
            let probe = world.question(WorkKind::Batch);
            let probe_ticket = probe.ticket;
            let found = granted(&world.ask(probe)).is_some();
            world.release(probe_ticket, RunOutcome::Stopped);
            if found {
                break;
            }
            pause += Duration::from_millis(50);
            world.now += Duration::from_millis(50);
        }
        pauses.push(pause);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
}

#[test]
fn a_host_that_is_lost_gives_its_slots_back() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        world.ask_online();
    }
    for _ in 0..5 {
        world.tick(Duration::from_millis(500));
    }
    assert!(granted(&world.ask_online()).is_some());
}

#[test]
fn runs_that_a_host_lists_count_at_a_new_broker() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    let run = |ticket| ActiveRun {
        ticket,
        server: ServerName::try_from("a1").expect("it is valid"),
        kind: WorkKind::Online,
        tokens: 100,
        brokerless: true,
    };
    let active: Vec<_> = (100..108).map(run).collect();
    world
        .broker
        .reconcile(&requester("entry-2"), &active, world.now);
    assert!(granted(&world.ask_online()).is_none());
    world.now += Duration::from_millis(1_100);
    world
        .broker
        .reconcile(&requester("entry-2"), &[], world.now);
    assert!(
        granted(&world.broker.take_events()).is_some() || granted(&world.ask_online()).is_some()
    );
}

#[test]
fn a_withdrawn_question_is_not_answered() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for _ in 0..8 {
        world.ask_online();
    }
    let question = world.question(WorkKind::Online);
    let ticket = question.ticket;
    world.ask(question);
    let report = RunReport {
        ticket,
        outcome: RunOutcome::Stopped,
        load: None,
        first_answer: None,
        refund: true,
    };
    world
        .broker
        .release(&requester("entry-1"), &report, world.now);
    assert!(world.release(1, RunOutcome::Served).is_empty());
}

#[test]
fn servers_to_avoid_are_not_chosen() {
    let mut world = World::new(TWO_ZONES, Vec::new());
    let mut question = world.question(WorkKind::Online);
    question.avoid = vec![ServerName::try_from("a1").expect("it is valid")];
    question.zone = zone("a");
    assert_eq!(granted(&world.ask(question)).as_deref(), Some("b1"));
}

#[test]
fn a_service_without_servers_is_refused_at_once() {
    let mut world = World::new(&[], Vec::new());
    let mut question = world.question(WorkKind::Online);
    question.service = ServiceName::try_from(APP).expect("it is valid");
    assert!(refused_after(&world.ask(question)).is_some());
}

#[test]
fn an_engine_gets_no_more_tokens_than_fit_its_memory() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for expected in [true, true, false] {
        let mut question = world.question(WorkKind::Online);
        question.tokens = 50_000;
        assert_eq!(granted(&world.ask(question)).is_some(), expected);
    }
}

/// A broker runs for months: what it keeps must not grow with the requests it served.
#[test]
fn ended_runs_leave_nothing_behind() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    let serve = |world: &mut World, incarnations: std::ops::Range<u64>| {
        for incarnation in incarnations {
            let mut host = requester("entry-1");
            host.incarnation = incarnation;
            let question = world.question(WorkKind::Online);
            let report = RunReport {
                ticket: question.ticket,
                outcome: RunOutcome::Served,
                load: None,
                first_answer: None,
                refund: false,
            };
            world.broker.request_slot(&host, question, world.now);
            world.broker.release(&host, &report, world.now);
            world.broker.take_events();
        }
        world.now += Duration::from_secs(3);
        world.broker.tick(world.now);
        format!("{:?}", world.broker).len()
    };
    let after_hundred = serve(&mut world, 0..100);
    let after_thousand = serve(&mut world, 100..1_000);
    // Numbers have a few more digits.
    assert!(
        after_thousand < after_hundred + 500,
        "{after_hundred} characters grew to {after_thousand}"
    );
}
