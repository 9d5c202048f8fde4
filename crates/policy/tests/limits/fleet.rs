//! A simulation of hosts that admit the requests of one team, the owners of its buckets,
//! and a faulty network, with a virtual clock.
//!
//! There are three zones. Host `n` is in zone `n % 3`; the first host of each zone owns the
//! zone's reserve, and host 0 also owns the fleet bucket.

use chicoryladder_policy::limits::{
    BucketOwner, FleetBucketOwner, LimitAdmission, LimiterAction, OwnerAction, OwnerEpoch,
    QuotaGrant, QuotaHolder, QuotaRecall, QuotaRequest, QuotaSession, QuotaTimes, RateLimit,
    SplitLimit, TeamLimiter, TokenPool, WaiterKey,
};
use chicoryladder_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

/// The interval between polls of all hosts and owners.
const TICK: Duration = Duration::from_millis(2);

/// The network faults of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) max_delay: Duration,
}

impl Faults {
    pub(crate) const NONE: Self = Self {
        loss_percent: 0,
        duplicate_percent: 0,
        max_delay: Duration::from_micros(1_500),
    };
}

#[derive(Clone, Debug)]
enum SimMessage {
    Request(QuotaRequest),
    Grant(QuotaGrant),
    Recall(QuotaRecall),
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrival(usize),
    Deliver(SimMessage),
    Tick,
}

struct SimHost {
    name: HostName,
    zone: usize,
    limiter: TeamLimiter,
    waiting: BTreeMap<WaiterKey, usize>,
}

/// The outcome of one arrival; `after` is the time from the arrival to the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Undecided,
    Admitted {
        after: Duration,
    },
    Refused {
        after: Duration,
        retry_after: Duration,
    },
}

pub(crate) struct Fleet {
    pub(crate) limit: RateLimit,
    pub(crate) admitted: Vec<Duration>,
    pub(crate) arrivals: Vec<Duration>,
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) messages: u64,
    faults: Faults,
    rng: ChaCha8Rng,
    base: Instant,
    now: Duration,
    max_wait: Duration,
    hosts: Vec<SimHost>,
    owner: Option<FleetBucketOwner>,
    reserve_owners: Vec<Option<BucketOwner>>,
    reserves: Vec<HostName>,
    split: SplitLimit,
    epoch: u64,
    partitioned_zone: Option<usize>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    next_event: u64,
}

impl Fleet {
    pub(crate) fn new(hosts: usize, limit: RateLimit, faults: Faults, seed: u64) -> Self {
        let base = Instant::now();
        let team = team();
        let reserves: Vec<HostName> = (0..3).map(host).collect();
        let split = SplitLimit::new(limit, 3, 10);
        let sim_host = |index: usize| {
            let name = host(index);
            let reserve = split.reserve.map(|_| reserves[index % 3].clone());
            SimHost {
                limiter: TeamLimiter::new(&team, &name, reserve, limit, QuotaSession(1)),
                name,
                zone: index % 3,
                waiting: BTreeMap::new(),
            }
        };
        let mut fleet = Self {
            limit,
            admitted: Vec::new(),
            arrivals: Vec::new(),
            outcomes: Vec::new(),
            messages: 0,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            base,
            now: Duration::ZERO,
            max_wait: Duration::from_millis(50),
            hosts: (0..hosts).map(sim_host).collect(),
            owner: None,
            reserve_owners: vec![None, None, None],
            reserves,
            split,
            epoch: 0,
            partitioned_zone: None,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
        };
        fleet.replace_owners();
        fleet.push(TICK, SimEvent::Tick);
        fleet
    }

    pub(crate) fn set_max_wait(&mut self, max_wait: Duration) {
        self.max_wait = max_wait;
    }

    /// Cuts one zone off from the others; `None` reconnects it.
    pub(crate) fn partition(&mut self, zone: Option<usize>) {
        self.partitioned_zone = zone;
    }

    /// Replaces all bucket owners by successors in the next epoch.
    pub(crate) fn replace_owners(&mut self) {
        self.epoch += 1;
        let times = QuotaTimes::default();
        let since = self.instant();
        let epoch = OwnerEpoch(self.epoch);
        let owner = |pool, limit| BucketOwner::new(team(), pool, epoch, limit, times, since);
        let split = self.split;
        let session = QuotaSession(self.epoch * 1_000_000);
        let owner_host = host(0);
        self.owner = Some(FleetBucketOwner::new(
            owner(TokenPool::Fleet, split.fleet),
            &team(),
            &owner_host,
            &self.reserves,
            split.reserve,
            session,
        ));
        for (index, reserve) in self.reserves.iter().enumerate() {
            let pool = TokenPool::Reserve(reserve.clone());
            self.reserve_owners[index] = split.reserve.map(|limit| owner(pool, limit));
        }
    }

    /// Removes the owner of the fleet bucket without a replacement.
    pub(crate) fn lose_fleet_owner(&mut self) {
        self.owner = None;
    }

    /// Schedules the arrival of a request at a host.
    pub(crate) fn arrive(&mut self, at: Duration, host: usize) {
        self.push(at, SimEvent::Arrival(host));
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&id).expect("a queued event");
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns whether no bucket has more tokens, including those in quotas, than its
    /// burst.
    pub(crate) fn buckets_within_burst(&self) -> bool {
        let within =
            |owner: &BucketOwner| owner.committed().whole_tokens() <= owner.limit().burst();
        let fleet = self.owner.iter().map(FleetBucketOwner::owner);
        fleet
            .chain(self.reserve_owners.iter().flatten())
            .all(within)
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn push(&mut self, at: Duration, event: SimEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(host) => self.handle_arrival(host),
            SimEvent::Deliver(message) => self.handle_message(message),
            SimEvent::Tick => {
                self.push(self.now + TICK, SimEvent::Tick);
                for host in 0..self.hosts.len() {
                    self.poll_host(host);
                }
                self.poll_owners();
            }
        }
    }

    fn handle_arrival(&mut self, host: usize) {
        let now = self.instant();
        let arrival = self.arrivals.len();
        self.arrivals.push(self.now);
        self.outcomes.push(Outcome::Undecided);
        match self.hosts[host].limiter.admit(now + self.max_wait, now) {
            LimitAdmission::Admitted => self.admitted(arrival),
            LimitAdmission::Waiting(key) => {
                self.hosts[host].waiting.insert(key, arrival);
            }
            LimitAdmission::Refused { retry_after } => self.refused(arrival, retry_after),
        }
        self.poll_host(host);
    }

    fn admitted(&mut self, arrival: usize) {
        let after = self.now.saturating_sub(self.arrivals[arrival]);
        self.outcomes[arrival] = Outcome::Admitted { after };
        self.admitted.push(self.now);
    }

    fn refused(&mut self, arrival: usize, retry_after: Duration) {
        let after = self.now.saturating_sub(self.arrivals[arrival]);
        self.outcomes[arrival] = Outcome::Refused { after, retry_after };
    }

    fn poll_host(&mut self, host: usize) {
        let now = self.instant();
        for action in self.hosts[host].limiter.poll(now) {
            match action {
                LimiterAction::Admit(key) => {
                    let arrival = self.hosts[host]
                        .waiting
                        .remove(&key)
                        .expect("a waiting request");
                    self.admitted(arrival);
                }
                LimiterAction::Refuse {
                    waiter,
                    retry_after,
                } => {
                    let arrival = self.hosts[host].waiting.remove(&waiter);
                    self.refused(arrival.expect("a waiting request"), retry_after);
                }
                LimiterAction::Send(request) => self.send(&SimMessage::Request(request)),
            }
        }
    }

    fn poll_owners(&mut self) {
        let now = self.instant();
        let fleet = self.owner.as_mut().map(|owner| owner.poll(now));
        self.dispatch(fleet.unwrap_or_default());
        for zone in 0..self.reserve_owners.len() {
            let actions = self.reserve_owners[zone]
                .as_mut()
                .map(|owner| owner.poll(now));
            self.dispatch(actions.unwrap_or_default());
        }
    }

    fn dispatch(&mut self, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Grant(grant) => self.send(&SimMessage::Grant(grant)),
                OwnerAction::Recall(recall) => self.send(&SimMessage::Recall(recall)),
                OwnerAction::Borrow(request) => self.send(&SimMessage::Request(request)),
            }
        }
    }

    fn send(&mut self, message: &SimMessage) {
        self.messages += 1;
        let (pool, holder) = match message {
            SimMessage::Request(m) => (&m.pool, &m.holder),
            SimMessage::Grant(m) => (&m.pool, &m.holder),
            SimMessage::Recall(m) => (&m.pool, &m.holder),
        };
        let holder_zone = self.host_index(holder) % 3;
        let owner_zone = match pool {
            TokenPool::Fleet => 0,
            TokenPool::Reserve(reserve) => self.zone_index(reserve),
        };
        let crosses_zones = holder_zone != owner_zone;
        let partitioned = [holder_zone, owner_zone]
            .map(Some)
            .contains(&self.partitioned_zone);
        if crosses_zones && partitioned {
            return;
        }
        let copies = if self.occurs(self.faults.duplicate_percent) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.occurs(self.faults.loss_percent) {
                let delay = self.delay(crosses_zones);
                self.push(self.now + delay, SimEvent::Deliver(message.clone()));
            }
        }
    }

    /// Returns a random delay if the faults have a large delay, else the fixed delay of a
    /// network without faults.
    fn delay(&mut self, crosses_zones: bool) -> Duration {
        if self.faults.max_delay > Duration::from_millis(2) {
            return self
                .rng
                .random_range(Duration::ZERO..=self.faults.max_delay);
        }
        Duration::from_micros(if crosses_zones { 1_500 } else { 200 })
    }

    /// Returns `true` with a probability of `percent` percent.
    fn occurs(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn handle_message(&mut self, message: SimMessage) {
        let now = self.instant();
        match message {
            SimMessage::Request(request) => {
                let actions = self.handle_owner_request(&request, now);
                self.dispatch(actions);
            }
            SimMessage::Grant(grant) => self.deliver_grant(&grant, now),
            SimMessage::Recall(recall) => {
                let host = self.host_index(&recall.holder);
                if matches!(recall.holder, QuotaHolder::Admission(_)) {
                    self.hosts[host].limiter.handle_recall(&recall, now);
                    self.poll_host(host);
                }
            }
        }
    }

    fn handle_owner_request(&mut self, request: &QuotaRequest, now: Instant) -> Vec<OwnerAction> {
        let actions = match &request.pool {
            TokenPool::Fleet => {
                let owner = self.owner.as_mut();
                owner.map(|owner| owner.handle_request(request, now))
            }
            TokenPool::Reserve(reserve) => {
                let zone = self.zone_index(reserve);
                let owner = self.reserve_owners[zone].as_mut();
                owner.map(|owner| owner.handle_request(request, now))
            }
        };
        actions.unwrap_or_default()
    }

    fn deliver_grant(&mut self, grant: &QuotaGrant, now: Instant) {
        match &grant.holder {
            QuotaHolder::Admission(_) => {
                let host = self.host_index(&grant.holder);
                self.hosts[host].limiter.handle_grant(grant, now);
                self.poll_host(host);
            }
            QuotaHolder::Borrower(_) => {
                let owner = self.owner.as_mut();
                let actions = owner.map(|owner| owner.handle_grant(grant, now));
                self.dispatch(actions.unwrap_or_default());
            }
        }
    }

    fn host_index(&self, holder: &QuotaHolder) -> usize {
        let host = self
            .hosts
            .iter()
            .position(|host| host.name == *holder.host());
        host.expect("a host of the fleet")
    }

    fn zone_index(&self, reserve: &HostName) -> usize {
        self.reserves
            .iter()
            .position(|host| host == reserve)
            .expect("an owner of a reserve")
    }

    /// Returns the hosts of one zone.
    pub(crate) fn hosts_of(&self, zone: usize) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let hosts = hosts.filter(|(_, host)| host.zone == zone);
        hosts.map(|(index, _)| index).collect()
    }
}

pub(crate) fn team() -> TeamName {
    TeamName::try_from("park").expect("valid")
}

pub(crate) fn host(index: usize) -> HostName {
    HostName::try_from(format!("host-{index}")).expect("valid")
}

/// Generates Poisson arrivals at `rate` per second, distributed over hosts by `weights`.
pub(crate) fn poisson(
    seed: u64,
    rate: f64,
    span: Duration,
    weights: &[u32],
) -> Vec<(Duration, usize)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let total: u32 = weights.iter().sum();
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-draw.ln() / rate);
        if at >= span {
            return arrivals;
        }
        let mut pick = rng.random_range(0..total);
        let host = weights.iter().position(|weight| {
            let chosen = pick < *weight;
            pick = pick.saturating_sub(*weight);
            chosen
        });
        arrivals.push((at, host.expect("pick is below the total")));
    }
}
