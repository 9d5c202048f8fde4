//! Hosts that reach no server although the broker and their callers reach them. Pattern: seven
//! hosts in three zones send steady online requests to twelve servers while some of the hosts
//! lose their paths to all of them, so that connections hang or are refused.

use crate::support::{BrokerFixture, check_in, requester, run_report};
use chicoryladder_broker::{BrokerEvent, RunOutcome, RunReport, SlotDecision, WorkKind};
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);

const SERVERS: usize = 12;

const HOSTS: usize = 7;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// The interval between two requests of a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// The time that a server takes for a request, and until its response begins.
const HOLD: Duration = Duration::from_millis(400);
const FIRST_ANSWER: Duration = Duration::from_millis(30);

/// The time after which the opening of a connection that hangs is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time in which a refused connection fails.
const REFUSAL_TIME: Duration = Duration::from_millis(5);

/// The servers that a host asks for, for one request.
const ATTEMPTS_MAX: usize = 6;

/// The time after the beginning of a fault from which its effect on others is counted.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// How the fault ends the attempts of the hosts that it concerns.
#[derive(Clone, Copy, Debug)]
enum PathFault {
    Hang,
    Refuse,
}

impl PathFault {
    fn failure_time(self) -> Duration {
        match self {
            Self::Hang => CONNECT_TIMEOUT,
            Self::Refuse => REFUSAL_TIME,
        }
    }
}

struct Attempt {
    host: usize,
    server: String,
    ends_at: Instant,
    outcome: RunOutcome,
    tried: Vec<String>,
}

/// Counts of the requests of one group of hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    served: usize,
    refused: usize,
}

/// Simulates hosts with a broker, and servers that run all they are given.
struct Simulation {
    fixture: BrokerFixture,
    cut_off: HashSet<usize>,
    dark_servers: HashSet<String>,
    fault: PathFault,
    /// The host of each pending slot request, and the servers it has tried.
    pending: BTreeMap<u64, (usize, Vec<String>)>,
    attempts: BTreeMap<u64, Attempt>,
    counts: [Counts; HOSTS],
    /// The attempts at each server.
    sent: BTreeMap<String, usize>,
    elapsed: Duration,
}

impl Simulation {
    fn new(fault: PathFault) -> Self {
        Self {
            fixture: BrokerFixture::with_servers(SERVERS, &ZONES),
            cut_off: HashSet::new(),
            dark_servers: HashSet::new(),
            fault,
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            counts: [Counts::default(); HOSTS],
            sent: BTreeMap::new(),
            elapsed: Duration::ZERO,
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.elapsed + time;
        while self.elapsed < end {
            self.elapsed += STEP;
            self.check_in();
            let events = self.fixture.tick(STEP);
            self.process(events);
            self.end_attempts();
            for host in 0..HOSTS {
                let phase = STEP * u32::try_from(host).expect("it is small");
                let since_start = (self.elapsed + phase).as_millis();
                if since_start.is_multiple_of(REQUEST_INTERVAL.as_millis()) {
                    self.request(host, Vec::new());
                }
            }
        }
    }

    fn check_in(&mut self) {
        if !self.elapsed.as_millis().is_multiple_of(1_000) {
            return;
        }
        let sequence = 1 + u64::try_from(self.elapsed.as_millis()).expect("it is small");
        for number in 0..SERVERS {
            let name = format!("s{number}");
            if !self.dark_servers.contains(&name) {
                let check_in = check_in(&name, ZONES[number % ZONES.len()], sequence);
                self.fixture.broker.check_in(check_in, self.fixture.now);
            }
        }
    }

    fn request(&mut self, host: usize, tried: Vec<String>) {
        let mut request = self.fixture.slot_request(WorkKind::Online);
        request.zone = crate::support::zone(ZONES[host % ZONES.len()]);
        let name = |server: &String| server.as_str().try_into().expect("it is valid");
        request.avoid = tried.iter().map(name).collect();
        self.pending.insert(request.ticket, (host, tried));
        let requester = requester(&format!("entry-{host}"));
        let now = self.fixture.now;
        self.fixture.broker.request_slot(&requester, request, now);
        let events = self.fixture.broker.take_events();
        self.process(events);
    }

    fn process(&mut self, events: Vec<BrokerEvent>) {
        for event in events {
            if let BrokerEvent::Decided {
                ticket, decision, ..
            } = event
            {
                let (host, tried) = self.pending.remove(&ticket).expect("a pending request");
                match decision {
                    SlotDecision::Granted { server, .. } => {
                        self.send(ticket, host, server.to_string(), tried);
                    }
                    SlotDecision::Refused { .. } => self.counts[host].refused += 1,
                }
            }
        }
    }

    fn send(&mut self, ticket: u64, host: usize, server: String, tried: Vec<String>) {
        *self.sent.entry(server.clone()).or_default() += 1;
        let fails = self.cut_off.contains(&host) || self.dark_servers.contains(&server);
        let (outcome, takes) = if fails {
            (RunOutcome::Unreachable, self.fault.failure_time())
        } else {
            (RunOutcome::Served, HOLD)
        };
        let attempt = Attempt {
            host,
            server,
            ends_at: self.fixture.now + takes,
            outcome,
            tried,
        };
        self.attempts.insert(ticket, attempt);
    }

    fn end_attempts(&mut self) {
        let now = self.fixture.now;
        let due = self.attempts.iter().filter(|(_, a)| a.ends_at <= now);
        let due: Vec<u64> = due.map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            let attempt = self.attempts.remove(&ticket).expect("it is listed");
            let is_served = attempt.outcome == RunOutcome::Served;
            let report = RunReport {
                first_answer: is_served.then_some(FIRST_ANSWER),
                ..run_report(ticket, attempt.outcome)
            };
            let requester = requester(&format!("entry-{}", attempt.host));
            self.fixture.broker.release(&requester, &report, now);
            let events = self.fixture.broker.take_events();
            self.process(events);
            if is_served {
                self.counts[attempt.host].served += 1;
            } else if attempt.tried.len() + 1 < ATTEMPTS_MAX {
                let mut tried = attempt.tried;
                tried.push(attempt.server);
                self.request(attempt.host, tried);
            } else {
                self.counts[attempt.host].refused += 1;
            }
        }
    }

    /// The requests of the hosts that reach the servers, since the last call.
    fn take_counts_of_others(&mut self) -> Counts {
        let counts = std::mem::take(&mut self.counts);
        let of_others = counts.iter().enumerate();
        let of_others = of_others.filter(|(host, _)| !self.cut_off.contains(host));
        of_others.fold(Counts::default(), |sum, (_, counts)| Counts {
            served: sum.served + counts.served,
            refused: sum.refused + counts.refused,
        })
    }
}

fn assert_others_are_served(cut_off: &[usize], fault: PathFault) {
    let mut simulation = Simulation::new(fault);
    simulation.run_for(Duration::from_secs(2));
    simulation.cut_off = cut_off.iter().copied().collect();
    simulation.run_for(SETTLE_TIME);
    simulation.take_counts_of_others();
    simulation.run_for(Duration::from_secs(10));
    let counts = simulation.take_counts_of_others();
    let all = counts.served + counts.refused;
    // The users' rule lets one in 50 of all first attempts fail.
    assert!(counts.refused * 50 <= all, "{fault:?}: {counts:?}");
    assert!(counts.served > 200, "{fault:?}: {counts:?}");
}

/// Guards against sound servers that are suspended for all hosts by the reports of hosts that
/// reach none: the hosts that reach them refused most requests.
#[test]
fn hosts_that_reach_no_server_take_none_from_the_others() {
    for fault in [PathFault::Hang, PathFault::Refuse] {
        assert_others_are_served(&[0, 1, 2, 3], fault);
        assert_others_are_served(&[0, 3, 6], fault);
        assert_others_are_served(&[4], fault);
    }
}

/// Servers that nobody reaches are still found by a few attempts of all hosts together.
#[test]
fn dark_servers_get_few_attempts_from_all_hosts_together() {
    for fault in [PathFault::Hang, PathFault::Refuse] {
        let mut simulation = Simulation::new(fault);
        simulation.run_for(Duration::from_secs(2));
        simulation.dark_servers = (0..4).map(|number| format!("s{number}")).collect();
        simulation.sent.clear();
        simulation.run_for(Duration::from_secs(10));
        let sent = simulation.sent.clone();
        let at = |server: &String| sent.get(server).copied().unwrap_or_default();
        let most = simulation.dark_servers.iter().map(at).max();
        // Each host learns of a server by itself at most twice: once in flight, once more.
        assert!(most <= Some(2 * HOSTS), "{fault:?}: {sent:?}");
        let counts = simulation.take_counts_of_others();
        let all = counts.served + counts.refused;
        assert!(counts.refused * 50 <= all, "{fault:?}: {counts:?}");
    }
}
