//! Validation and lookups of service plans.

use chicoryladder_plan::{
    CallerLimits, PlanError, PlanVersion, RawPlan, RawRoute, RawService, RawTeam, RouteKind,
    RouteTarget, ServicePlan,
};
use chicoryladder_types::{RouteName, ServiceName, Tail, TeamName};
use std::time::Duration;

fn route(name: &str, prefix: &str, service: &str) -> RawRoute {
    RawRoute {
        name: RouteName::try_from(name).expect("it is valid"),
        host: "walks.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(300),
        gap_target: None,
        rank: 0,
        targets: vec![RouteTarget {
            service: ServiceName::try_from(service).expect("it is valid"),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        resumable: false,
        completion_target: None,
        give_up_after: None,
        waiting_tokens_max: 0,
    }
}

fn service(name: &str) -> RawService {
    RawService {
        name: ServiceName::try_from(name).expect("it is valid"),
        connections_max: 100,
        engine: None,
    }
}

fn team(name: &str, keys: &[&str]) -> RawTeam {
    RawTeam {
        name: TeamName::try_from(name).expect("it is valid"),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rank: None,
        rate: 10.0,
        burst: 10.0,
    }
}

fn plan() -> RawPlan {
    RawPlan {
        version: PlanVersion(7),
        routes: vec![
            route("all", "/", "app"),
            route("walks", "/walks/", "app"),
            route("plans", "/walks/plans/", "app"),
        ],
        services: vec![service("app")],
        teams: vec![team("curepipe", &["k1", "k2"]), team("flic", &["k3"])],
        limits: CallerLimits::default(),
        terms: Tail::default(),
    }
}

fn rejection(change: impl FnOnce(&mut RawPlan)) -> PlanError {
    let mut raw = plan();
    change(&mut raw);
    ServicePlan::try_from(raw).expect_err("the plan is rejected")
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_selected() {
    let plan = ServicePlan::try_from(plan()).expect("it is valid");
    let found = |path| {
        plan.route("walks.example", path)
            .map(|r| r.name.to_string())
    };
    assert_eq!(found("/walks/plans/1"), Some("plans".to_owned()));
    assert_eq!(found("/walks/plans"), Some("walks".to_owned()));
    assert_eq!(found("/walks/"), Some("walks".to_owned()));
    assert_eq!(found("/walksy/1"), Some("all".to_owned()));
    assert!(plan.route("other.example", "/walks/").is_none());
}

#[test]
fn hosts_match_regardless_of_case_and_port() {
    let plan = ServicePlan::try_from(plan()).expect("it is valid");
    assert!(plan.route("Walks.Example:8080", "/walks/1").is_some());
}

#[test]
fn a_team_is_found_by_each_of_its_keys() {
    let plan = ServicePlan::try_from(plan()).expect("it is valid");
    let team = |key| plan.keys().team_of(key).map(|team| team.name.to_string());
    assert_eq!(team("k1"), Some("curepipe".to_owned()));
    assert_eq!(team("k2"), Some("curepipe".to_owned()));
    assert_eq!(team("k3"), Some("flic".to_owned()));
    assert_eq!(team("k4"), None);
}

#[test]
fn each_rule_rejects_a_plan_that_violates_it() {
    let unknown = rejection(|plan| plan.routes[1] = route("walks", "/walks/", "none"));
    assert!(matches!(unknown, PlanError::UnknownService { .. }));
    let shared = rejection(|plan| plan.routes.push(route("again", "/walks/", "app")));
    assert!(matches!(shared, PlanError::DuplicatePrefix { .. }));
    let weight = rejection(|plan| plan.routes[0].targets[0].weight = 0);
    assert!(matches!(weight, PlanError::NoWeight(_)));
    let no_targets = rejection(|plan| plan.routes[0].targets.clear());
    assert!(matches!(no_targets, PlanError::NoWeight(_)));
    let timeout = rejection(|plan| plan.routes[0].timeout = Duration::ZERO);
    assert!(matches!(timeout, PlanError::NoTimeout(_)));
    let prefix = rejection(|plan| plan.routes[0].prefix = "walks".to_owned());
    assert!(matches!(prefix, PlanError::BadPrefix(_)));
    let key = rejection(|plan| plan.teams[1].keys.push("k1".to_owned()));
    assert!(matches!(key, PlanError::SharedKey { .. }));
    let service_twice = rejection(|plan| plan.services.push(service("app")));
    assert!(matches!(
        service_twice,
        PlanError::DuplicateName {
            kind: "service",
            ..
        }
    ));
    let rate = rejection(|plan| plan.teams[0].rate = f64::NAN);
    assert!(matches!(rate, PlanError::BadRate(_)));
}

#[test]
fn a_key_that_one_team_lists_twice_is_valid() {
    let mut raw = plan();
    raw.teams[0].keys.push("k1".to_owned());
    assert!(ServicePlan::try_from(raw).is_ok());
}

#[test]
fn a_plan_lowers_the_limit_of_a_team_by_its_rate_or_burst_or_by_its_absence() {
    let checked = |rate: f64, burst: f64| {
        let mut raw = plan();
        raw.teams[0].rate = rate;
        raw.teams[0].burst = burst;
        ServicePlan::try_from(raw).expect("it is valid")
    };
    let name = plan().teams[0].name.clone();
    let before = checked(200.0, 200.0);
    assert!(checked(2.0, 200.0).lowers_limit(&before, &name));
    assert!(checked(200.0, 2.0).lowers_limit(&before, &name));
    assert!(!checked(200.0, 200.0).lowers_limit(&before, &name));
    assert!(!checked(300.0, 200.0).lowers_limit(&before, &name));
    // A rate of 0 is no limit.
    assert!(!checked(0.0, 200.0).lowers_limit(&before, &name));
    assert!(before.lowers_limit(&checked(0.0, 200.0), &name));
    let mut without = plan();
    without.teams.remove(0);
    let without = ServicePlan::try_from(without).expect("it is valid");
    assert!(without.lowers_limit(&before, &name));
    assert!(!before.lowers_limit(&without, &name));
}
