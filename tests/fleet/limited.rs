//! Servers that limit their requests a second, over whole fleets.

use crate::servers::Server;
use crate::world::{ProcessFleet, Role};
use futures_util::future::join_all;
use std::time::{Duration, Instant};

/// The time within which a limit that one host reads holds on all hosts: one sync.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// The span over which the requests to a server are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The limit of a server, in requests a second.
const LIMIT: u64 = 3;

/// What the users' rule allows within a window: one and a half times the limit, and 5.
const ALLOWED: usize = 23;

fn most_in_window(fleet: &ProcessFleet, server: &Server, since: Instant) -> usize {
    let runs = fleet.runs.all();
    let of_server = runs.iter().filter(|run| run.server == server.name);
    let sent: Vec<Instant> = of_server.map(|run| run.at).collect();
    let sent: Vec<Instant> = sent.into_iter().filter(|at| *at >= since).collect();
    let in_window = |first: &Instant| {
        let window = *first..*first + WINDOW;
        sent.iter().filter(|at| window.contains(at)).count()
    };
    sent.iter().map(in_window).max().unwrap_or_default()
}

/// Sends requests to all entry hosts, eight at a time, and returns how many were served.
pub(crate) async fn send_streams(
    fleet: &ProcessFleet,
    name: &str,
    time: Duration,
) -> (usize, usize) {
    let entries = fleet.host_names(Role::Entry);
    let end = Instant::now() + time;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < end {
        let calls = (0..8).map(|number| {
            let id = format!("{name}-{}", sent + number);
            fleet.caller_request(&entries[number % entries.len()], "/walk/3", &id)
        });
        let answers = join_all(calls.map(|call| async move { call.send().await })).await;
        sent += answers.len();
        let is_served = |answer: &crate::client::Answer| answer.status.is_success();
        served += answers.iter().flatten().filter(|a| is_served(a)).count();
    }
    (sent, served)
}

/// Guards against a server that gets as many requests as it has slots for, from all hosts
/// and for items and online requests together, whatever limit it names.
#[tokio::test(flavor = "multi_thread")]
async fn a_limited_server_gets_no_more_requests_than_it_names() {
    let fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let limited = fleet.servers[0].clone();
    assert!(limited.name.starts_with("engine"));
    limited.name_limit(LIMIT);
    let ids: Vec<String> = (0..40).map(|n| format!("limited-{n}")).collect();
    let answer = fleet.submit(&entry, "job-limited", &ids, 8).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    send_streams(&fleet, "before", REPORT_TIME).await;
    let since = Instant::now();
    let (sent, served) = send_streams(&fleet, "limited", 2 * WINDOW).await;
    let most = most_in_window(&fleet, &limited, since);
    assert!(most <= ALLOWED, "{most} requests in 4 s");
    assert!(most > 0 && served == sent, "{most}, {served} of {sent}");
    limited.name_limit(0);
    // A response of the limited server has to tell.
    send_streams(&fleet, "between", REPORT_TIME).await;
    let since = Instant::now();
    send_streams(&fleet, "after", WINDOW).await;
    let most = most_in_window(&fleet, &limited, since);
    assert!(most > ALLOWED, "{most} requests in 4 s");
}

/// Guards against hosts without the broker that send a limited server all they have.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_out_of_touch_keep_to_the_limit_of_a_server() {
    let mut fleet = ProcessFleet::start().await;
    for name in fleet.host_names(Role::Control) {
        fleet.kill(&name);
    }
    for server in &fleet.servers {
        server.name_limit(LIMIT);
    }
    send_streams(&fleet, "before", REPORT_TIME / 2).await;
    let since = Instant::now();
    send_streams(&fleet, "alone", WINDOW).await;
    for server in &fleet.servers {
        let most = most_in_window(&fleet, server, since);
        assert!(
            most <= ALLOWED,
            "{} got {most} requests in 4 s",
            server.name
        );
    }
}

/// Guards against a new broker that gives a limited server all it has slots for until one of
/// its responses is reported.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_outlasts_the_leader_of_the_control_group() {
    let mut fleet = ProcessFleet::start().await;
    let limited = fleet.servers[0].clone();
    limited.name_limit(LIMIT);
    send_streams(&fleet, "before", REPORT_TIME).await;
    let since = Instant::now();
    for round in 0..3 {
        send_streams(&fleet, &format!("round-{round}"), WINDOW / 4).await;
        let leader = fleet.leader(Role::Control).expect("a leader");
        fleet.kill(&leader);
        fleet.start_process(&leader, false);
    }
    send_streams(&fleet, "end", WINDOW / 2).await;
    let most = most_in_window(&fleet, &limited, since);
    assert!(most <= ALLOWED, "{most} requests in 4 s");
}
