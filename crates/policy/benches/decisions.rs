//! Benchmarks of single decisions by number of servers and of teams.

#![allow(missing_docs)]

use chicoryladder_policy::limits::{
    BucketOwner, LimitAdmission, LimiterAction, OwnerEpoch, QuotaSession, QuotaTimes, RateLimit,
    TeamLimiter, TokenPool,
};
use chicoryladder_policy::queue::{QueueRequest, RequestQueue};
use chicoryladder_policy::routing::{
    RouteChoice, RouteQuery, RouteTimes, ServerOutcome, ServerTable, WorkTarget,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ModelName, ServerAnnouncement, ServerGeneration, ServerLoad};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

fn model() -> ModelName {
    ModelName::try_from("walks").expect("valid")
}

fn server_table(servers: usize, now: Instant) -> ServerTable {
    let zones = ["a", "b", "c"].map(|zone| ZoneName::try_from(zone).expect("valid"));
    let mut table = ServerTable::new(zones[0].clone(), RouteTimes::default());
    for index in 0..servers {
        let announcement = ServerAnnouncement {
            name: ServerName::try_from(format!("server-{index}")).expect("valid"),
            zone: zones[index % 3].clone(),
            address: "127.0.0.1:1".parse().expect("valid"),
            generation: ServerGeneration(1),
            slots: 16,
            models: vec![model()],
            services: Vec::new(),
            checks_fencing: false,
            leaving: false,
            load: ServerLoad {
                running: 8,
                waiting: 0,
            },
        };
        table.announce(&announcement, now);
    }
    table
}

fn route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    let now = Instant::now();
    let target = WorkTarget::Model(model());
    let query = RouteQuery {
        target: &target,
        prefixes: &[],
        avoid: &[],
        reserved_slots: 0,
    };
    for servers in [10, 100, 1_000] {
        let mut table = server_table(servers, now);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                let choice = table.choose(black_box(&query), &mut rng, now);
                if let RouteChoice::Server(key) = choice {
                    table.start(key);
                    let outcome = ServerOutcome::Answered;
                    table.finish(key, outcome, Duration::from_millis(1), None, now);
                }
            });
        });
    }
    group.finish();
}

fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    let now = Instant::now();
    let class = ClassName::try_from("chat").expect("valid");
    let later = now + Duration::from_secs(3_600);
    for count in [8, 1_000, 15_000] {
        let teams = teams(count);
        let request = |index: usize| QueueRequest {
            team: Some(&teams[index % count]),
            share: 1,
            class: &class,
            class_max: None,
            give_up_at: later,
        };
        let mut queue = RequestQueue::new();
        for index in 0..count * 2 {
            queue
                .enqueue(&request(index), now)
                .expect("the queue has room");
        }
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                next += 7;
                let ticket = queue.order().next().expect("a request is waiting");
                queue.serve(ticket, Duration::from_millis(1), now);
                queue.enqueue(&request(next), now)
            });
        });
    }
    group.finish();
}

/// Measures one admission, including the messages between host and bucket owner.
fn limit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("limit");
    let limit = RateLimit::new(1_000_000_000, 1_000_000).expect("valid");
    let host = HostName::try_from("host").expect("valid");
    for count in [8, 1_000, 15_000] {
        let teams = teams(count);
        let start = Instant::now();
        let mut parts: HashMap<&TeamName, (TeamLimiter, BucketOwner)> = HashMap::new();
        for team in &teams {
            let limiter = TeamLimiter::new(team, &host, None, limit, QuotaSession(1));
            let (pool, times) = (TokenPool::Fleet, QuotaTimes::default());
            let epoch = OwnerEpoch(1);
            let owner = BucketOwner::new(team.clone(), pool, epoch, limit, times, start);
            parts.insert(team, (limiter, owner));
        }
        let mut now = start + Duration::from_secs(2);
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                next = (next + 7) % count;
                now += Duration::from_micros(1);
                let parts = parts
                    .get_mut(&teams[next])
                    .expect("every team has a limiter");
                admit(&mut parts.0, &mut parts.1, now)
            });
        });
    }
    group.finish();
}

fn admit(limiter: &mut TeamLimiter, owner: &mut BucketOwner, now: Instant) -> LimitAdmission {
    let admission = limiter.admit(now + Duration::from_secs(1), now);
    for action in limiter.poll(now) {
        let LimiterAction::Send(request) = action else {
            continue;
        };
        for owner_action in owner.handle_request(&request, now) {
            if let chicoryladder_policy::limits::OwnerAction::Grant(grant) = owner_action {
                limiter.handle_grant(&grant, now);
            }
        }
    }
    admission
}

fn teams(count: usize) -> Vec<TeamName> {
    let name = |index| TeamName::try_from(format!("team-{index}")).expect("valid");
    (0..count).map(name).collect()
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = route, queue, limit
}
criterion_main!(decisions);
