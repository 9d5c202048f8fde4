//! Simulations of a large fleet whose zones are cut off, and whose broker is lost: the
//! reserves of teams must serve callers within their rate and bound those beyond it.

use crate::support::{plan, team, team_name, zone};
use chicoryladder_broker::{
    EntryRoster, HeldReserves, HolderRing, RateLedger, RateTolerance, ReserveHolders, ReserveTerms,
    RosterMember, RosterSettings, ZoneRoster,
};
use chicoryladder_plan::{RawTeam, ServicePlan};
use chicoryladder_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONES: u8 = 5;
const HOSTS_PER_ZONE: u8 = 50;
const STEP: Duration = Duration::from_millis(10);
const SYNC_STEPS: u32 = 35;
const KEY_LEASE: Duration = Duration::from_millis(3_750);
const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: RateTolerance = RateTolerance {
    requests: 20.0,
    share: 0.1,
    window: WINDOW,
};

fn address(zone: u8, host: u8) -> SocketAddr {
    SocketAddr::from(([10, zone, 0, host], 7_000))
}

fn roster_settings() -> RosterSettings {
    RosterSettings {
        detached_after: Duration::from_millis(400),
        remove_after: Duration::from_secs(5),
    }
}

/// The part of a broker that limits rates.
struct RateBroker {
    ledger: RateLedger,
    roster: EntryRoster,
    holders: ReserveHolders,
}

impl RateBroker {
    fn new(plan: &ServicePlan, now: Instant) -> Self {
        let mut ledger = RateLedger::new(TOLERANCE);
        ledger.set_plan(plan, now);
        Self {
            ledger,
            roster: EntryRoster::new(roster_settings()),
            holders: ReserveHolders::default(),
        }
    }

    fn tick(&mut self, plan: &ServicePlan, now: Instant) {
        self.roster.remove_silent(now);
        if self.roster.version() != self.holders.version() {
            self.holders = ReserveHolders::assign(&self.roster, plan);
            self.ledger.set_holders(self.holders.zone_count());
        }
        let shares = self.holders.detached_shares(&self.roster, now);
        self.ledger.set_detached_shares(&shares, now);
    }
}

#[derive(Default)]
struct SimulatedHost {
    roster: ZoneRoster,
    ring: HolderRing,
    held: HeldReserves,
    fresh_at: Option<Instant>,
}

/// What happens to the fleet at a time after the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FleetEvent {
    Cut(u8),
    Heal,
    LoseBroker,
    ReplaceBroker,
}

/// Entry hosts of five zones that admit requests through a broker, or by the reserves of
/// their zone while they cannot reach it.
struct FleetSimulation {
    plan: ServicePlan,
    broker: Option<RateBroker>,
    /// The entry hosts that the lost broker knew.
    members: Option<Vec<RosterMember>>,
    hosts: HashMap<SocketAddr, SimulatedHost>,
    cut: HashSet<u8>,
    start: Instant,
    steps: u32,
    /// The times at which requests of each team were admitted.
    admitted: HashMap<TeamName, Vec<Instant>>,
    refused: HashMap<TeamName, Vec<Instant>>,
}

impl FleetSimulation {
    fn new(teams: Vec<RawTeam>) -> Self {
        let start = Instant::now();
        let plan = plan(teams);
        let mut broker = RateBroker::new(&plan, start);
        broker.ledger.fill_all();
        let addresses = (0..ZONES).flat_map(|zone| (0..HOSTS_PER_ZONE).map(move |h| (zone, h)));
        let hosts = addresses.map(|(zone, host)| (address(zone, host), SimulatedHost::default()));
        Self {
            plan,
            broker: Some(broker),
            members: None,
            hosts: hosts.collect(),
            cut: HashSet::new(),
            start,
            steps: 0,
            admitted: HashMap::new(),
            refused: HashMap::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.steps
    }

    fn apply(&mut self, event: FleetEvent) {
        let now = self.now();
        match event {
            FleetEvent::Cut(zone) => {
                self.cut.insert(zone);
            }
            FleetEvent::Heal => self.cut.clear(),
            FleetEvent::LoseBroker => {
                self.members = self.broker.take().map(|broker| broker.holders.members());
            }
            FleetEvent::ReplaceBroker => {
                let earlier = self.broker.take().map(|broker| broker.holders.members());
                let members = earlier.or(self.members.take()).unwrap_or_default();
                let mut broker = RateBroker::new(&self.plan, now);
                broker.roster.restore(&members, now);
                self.broker = Some(broker);
            }
        }
    }

    fn sync(&mut self, zone_number: u8, host: u8) {
        let now = self.now();
        let own_address = address(zone_number, host);
        let Some(broker) = self
            .broker
            .as_mut()
            .filter(|_| !self.cut.contains(&zone_number))
        else {
            return;
        };
        let state = self.hosts.get_mut(&own_address).expect("a host");
        let threshold = chicoryladder_broker::SELF_REFILL_AFTER;
        let was_detached = state.fresh_at.is_some_and(|at| now - at >= threshold);
        let zone_name = zone(&zone_number.to_string());
        broker
            .roster
            .record(own_address, &zone_name, was_detached, now);
        broker.tick(&self.plan, now);
        state.fresh_at = Some(now);
        state.held.end_self_refill();
        let roster = broker.holders.zone(&zone_name);
        if state.roster != roster {
            state.ring = HolderRing::new(&roster.hosts);
            let ring = &state.ring;
            state
                .held
                .retain(|team| ring.holder(team) == Some(own_address));
            state.roster = roster;
        }
        let held: HashMap<TeamName, u32> = state.held.granted().into_iter().collect();
        for name in broker.holders.teams_of(own_address) {
            let team = self.plan.team(name).expect("a team");
            let count = held.get(name).copied().unwrap_or_default();
            let more = broker.ledger.top_up(team, count, now);
            state.held.add(name.clone(), more);
        }
    }

    fn request(&mut self, team: &TeamName, zone_number: u8, host: u8) {
        let now = self.now();
        let broker = self.broker.as_mut();
        let broker = broker.filter(|_| !self.cut.contains(&zone_number));
        let is_admitted = match broker {
            Some(broker) => broker.ledger.take(team, now).is_ok(),
            None => self.take_reserve(team, address(zone_number, host)),
        };
        let times = if is_admitted {
            &mut self.admitted
        } else {
            &mut self.refused
        };
        times.entry(team.clone()).or_default().push(now);
    }

    fn take_reserve(&mut self, team: &TeamName, host: SocketAddr) -> bool {
        let now = self.now();
        let rate = self.plan.team(team).expect("a team").rate;
        let Some(holder) = self.hosts[&host].ring.holder(team) else {
            return false;
        };
        let holder = self.hosts.get_mut(&holder).expect("a host");
        let terms = ReserveTerms {
            rate,
            share: holder.roster.share(),
            lease: KEY_LEASE,
        };
        let fresh_at = holder.fresh_at;
        fresh_at.is_some_and(|at| holder.held.take(team, terms, at, now).is_ok())
    }

    /// Simulates `length`, with requests of each team at `load` times its rate.
    fn run(&mut self, length: Duration, load: f64, events: &[(Duration, FleetEvent)], seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let teams: Vec<(TeamName, f64)> = {
            let teams = self.plan.raw().teams.iter();
            teams.map(|team| (team.name.clone(), team.rate)).collect()
        };
        let end = self.now() + length;
        while self.now() < end {
            let elapsed = self.now() - self.start;
            for (_, event) in events.iter().filter(|(at, _)| *at == elapsed) {
                self.apply(*event);
            }
            for zone_number in 0..ZONES {
                for host in 0..HOSTS_PER_ZONE {
                    let turn = u32::from(host) * 7 + u32::from(zone_number);
                    if (self.steps + turn).is_multiple_of(SYNC_STEPS) {
                        self.sync(zone_number, host);
                    }
                }
            }
            if let Some(broker) = &mut self.broker {
                broker.tick(&self.plan, self.start + STEP * self.steps);
            }
            for (name, rate) in &teams {
                let mut due = rate * load * STEP.as_secs_f64();
                while due > 0.0 {
                    if rng.random::<f64>() < due {
                        let zone_number = rng.random_range(0..ZONES);
                        let host = rng.random_range(0..HOSTS_PER_ZONE);
                        self.request(name, zone_number, host);
                    }
                    due -= 1.0;
                }
            }
            self.steps += 1;
        }
    }

    /// Checks that no window admitted more than its rate, burst and tolerance.
    fn check_windows(&self) {
        for team in &self.plan.raw().teams {
            let times = self.admitted.get(&team.name).map_or(&[][..], Vec::as_slice);
            let allowed = (team.rate * WINDOW.as_secs_f64() + team.burst) * (1.0 + TOLERANCE.share)
                + TOLERANCE.requests;
            for (first, start) in times.iter().enumerate() {
                let within = times[first..]
                    .iter()
                    .take_while(|at| **at - *start < WINDOW);
                let count = f64::from(u32::try_from(within.count()).expect("a count"));
                assert!(
                    count <= allowed,
                    "{count} of {} in a window from {:?}, {allowed} are allowed",
                    team.name,
                    *start - self.start
                );
            }
        }
    }

    /// The share of all requests that were admitted between two times.
    fn admitted_share(&self, from: Duration, to: Duration) -> f64 {
        let (from, to) = (self.start + from, self.start + to);
        let count = |times: &HashMap<TeamName, Vec<Instant>>| {
            let times = times.values().flatten();
            let within = times.filter(|at| (from..to).contains(*at)).count();
            f64::from(u32::try_from(within).expect("a count"))
        };
        let admitted = count(&self.admitted);
        admitted / (admitted + count(&self.refused))
    }
}

/// Teams as in a large fleet: many small ones and a few large ones, with a burst of one
/// second each.
fn teams() -> Vec<RawTeam> {
    let rate = |number: u32| if number < 3 { 120.0 } else { 8.0 };
    let team = |number| team(&format!("team-{number}"), rate(number), rate(number));
    (0..40).map(team).collect()
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Simulates a fleet in which each team sends `load` times its rate, and checks what was
/// admitted in every window.
fn simulate(
    length: Duration,
    load: f64,
    events: &[(Duration, FleetEvent)],
    seed: u64,
) -> FleetSimulation {
    let mut fleet = FleetSimulation::new(teams());
    fleet.run(length, load, events, seed);
    fleet.check_windows();
    fleet
}

/// Pattern: a zone is cut off for longer than the key lease, in a fleet with more hosts
/// than a team has requests a second. A reserve divided among all hosts is less than one
/// request per host there.
#[test]
fn a_zone_that_is_cut_off_serves_teams_within_their_rates() {
    let events = [
        (ms(3_000), FleetEvent::Cut(2)),
        (ms(9_000), FleetEvent::Heal),
    ];
    let fleet = simulate(ms(12_000), 0.6, &events, 1);
    let share = fleet.admitted_share(ms(3_000), ms(6_000));
    assert!(share > 0.95, "{share} admitted while the zone was cut off");
    let after = fleet.admitted_share(ms(9_100), ms(12_000));
    assert!(after > 0.99, "{after} admitted after the cut");
}

/// Pattern: the broker is lost, and the next one is elected 1.2 s later.
#[test]
fn a_lost_broker_leaves_most_requests_within_their_rates_admitted() {
    let events = [
        (ms(3_000), FleetEvent::LoseBroker),
        (ms(4_200), FleetEvent::ReplaceBroker),
    ];
    let fleet = simulate(ms(8_000), 0.6, &events, 2);
    let share = fleet.admitted_share(ms(3_000), ms(4_200));
    assert!(share > 0.5, "{share} admitted without a broker");
    let after = fleet.admitted_share(ms(4_600), ms(8_000));
    assert!(after > 0.99, "{after} admitted by the next broker");
}

/// Pattern: teams send ten times their rate while zones are cut off one after the other
/// and the broker is replaced.
#[test]
fn teams_beyond_their_rates_stay_bounded_through_cuts_and_new_brokers() {
    let events = [
        (ms(3_000), FleetEvent::Cut(0)),
        (ms(3_500), FleetEvent::Cut(1)),
        (ms(6_000), FleetEvent::Heal),
        (ms(7_000), FleetEvent::LoseBroker),
        (ms(8_200), FleetEvent::ReplaceBroker),
        (ms(10_000), FleetEvent::Cut(3)),
        (ms(12_000), FleetEvent::ReplaceBroker),
        (ms(14_000), FleetEvent::Heal),
    ];
    for seed in 0..4 {
        simulate(ms(18_000), 10.0, &events, seed);
    }
}

/// Pattern: most zones are cut off at once, and both sides get ten times the rate.
#[test]
fn both_sides_of_a_cut_together_stay_within_the_rate() {
    let events = [
        (ms(6_000), FleetEvent::Cut(0)),
        (ms(6_000), FleetEvent::Cut(1)),
        (ms(6_000), FleetEvent::Cut(2)),
        (ms(12_000), FleetEvent::Heal),
    ];
    for seed in 0..4 {
        simulate(ms(16_000), 10.0, &events, seed);
    }
}

#[test]
fn a_host_that_leaves_changes_the_holders_of_few_teams() {
    let hosts: Vec<SocketAddr> = (0..50).map(|host| address(1, host)).collect();
    let names: Vec<TeamName> = (0..1_000)
        .map(|n| team_name(&format!("team-{n}")))
        .collect();
    let before = HolderRing::new(&hosts);
    let after = HolderRing::new(&hosts[1..]);
    let mut per_host: HashMap<SocketAddr, usize> = HashMap::new();
    for name in &names {
        let holder = before.holder(name).expect("a holder");
        *per_host.entry(holder).or_default() += 1;
        if holder != hosts[0] {
            assert_eq!(after.holder(name), Some(holder));
        }
    }
    assert!(per_host.values().all(|count| *count <= 80), "{per_host:?}");
    assert_eq!(HolderRing::default().holder(&names[0]), None);
}

#[test]
fn a_reserve_beyond_its_lease_admits_nothing() {
    let start = Instant::now();
    let mut held = HeldReserves::default();
    held.add(team_name("t"), 2);
    let terms = ReserveTerms {
        rate: 10.0,
        share: 0.2,
        lease: KEY_LEASE,
    };
    let mut take = |at: Duration| held.take(&team_name("t"), terms, start, start + at);
    assert_eq!(take(ms(10)), Ok(()));
    assert_eq!(take(ms(20)), Ok(()));
    // The zone's share of the rate is earned from 700 ms on: two requests a second.
    assert_eq!(take(ms(100)), Err(Some(ms(1_100))));
    // Callers are told to return one after the other.
    assert_eq!(take(ms(200)), Err(Some(ms(1_500))));
    assert_eq!(take(ms(1_250)), Ok(()));
    // No more than the share of one second is kept.
    assert_eq!(take(ms(3_700)), Ok(()));
    assert_eq!(take(ms(3_700)), Ok(()));
    assert_eq!(take(ms(3_700)), Err(None));
    assert_eq!(take(KEY_LEASE), Err(None));
}

/// Guards against reserves of an earlier, higher limit that are spent once the broker is lost.
#[test]
fn a_lowered_limit_ends_what_was_granted_before() {
    let now = Instant::now();
    let names = [team_name("lowered"), team_name("kept")];
    let mut held = HeldReserves::default();
    for name in &names {
        held.add(name.clone(), 50);
    }
    held.discard_lowered(|team| *team == names[0]);
    let terms = ReserveTerms {
        rate: 2.0,
        share: 1.0,
        lease: KEY_LEASE,
    };
    let mut taken = |team: &TeamName| {
        let takes = (0..100).map(|_| held.take(team, terms, now, now + STEP));
        takes.flatten().count()
    };
    assert_eq!(taken(&names[0]), 0);
    assert_eq!(taken(&names[1]), 50);
}
