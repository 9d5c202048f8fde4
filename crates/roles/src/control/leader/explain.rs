//! Where a request or an item would go, by the state of the leader.

use super::super::question::{
    MatchRefusal, PlacementMatch, PlacementQuestion, PlacementReport, QuestionCaller,
    QuestionError, QuestionTarget, TargetShare, kind_name,
};
use super::LeaderState;
use crate::entry::{choose_service, find_route, find_team, needs_team};
use crate::message::ItemSlot;
use crate::online_attempt::OnlineAttempt;
use chicoryladder_broker::{SlotRequest, StreamId, StreamPart};
use chicoryladder_plan::{PlanRoute, PlanTeam, RouteKind};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, ServiceName, ZoneDrainStep};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A request as its entry host would match it.
struct MatchedQuestion<'a> {
    route: &'a PlanRoute,
    team: Option<&'a PlanTeam>,
    service: ServiceName,
    path: &'a str,
}

impl LeaderState {
    /// Where the request of a question would go now. Nothing changes.
    ///
    /// # Errors
    ///
    /// Fails if the question names something that does not exist.
    pub(crate) fn explain_request(
        &self,
        question: &PlacementQuestion,
        leader: &HostName,
        areas: &BTreeMap<ZoneName, AreaName>,
        now: Instant,
    ) -> Result<PlacementReport, QuestionError> {
        let zone = &question.zone;
        if self.is_zone(zone, ZoneDrainStep::Begin, areas, now) == Some(false) {
            return Err(QuestionError::UnknownZone(zone.clone()));
        }
        let report = self.empty_report(leader, zone, now);
        let (route, path) = match self.route_of(question)? {
            Ok(found) => found,
            Err(refusal) => return Ok(refused_report(report, &refusal)),
        };
        if route.kind == RouteKind::Batch {
            return Err(QuestionError::BatchRoute(route.name.clone()));
        }
        let service = service_of(question, route)?;
        let team = match self.team_of(question, route)? {
            Ok(team) => team,
            Err(refusal) => return Ok(refused_report(report, &refusal)),
        };
        let matched = MatchedQuestion {
            route,
            team,
            service,
            path,
        };
        Ok(self.explain_matched(report, question, &matched, now))
    }

    /// Where an item would go now. Nothing changes.
    pub(crate) fn explain_item(
        &self,
        item: &ItemSlot,
        leader: &HostName,
        now: Instant,
    ) -> PlacementReport {
        let request = SlotRequest {
            homes: item.homes.clone(),
            ..item.slot_request.clone()
        };
        let route = self.plan.route_named(&item.route);
        PlacementReport {
            item_state: Some(item.state.clone()),
            r#match: Some(PlacementMatch {
                route: item.route.clone(),
                kind: kind_name(RouteKind::Batch).to_owned(),
                team: item.team.clone(),
                service: request.service.clone(),
                targets: route.map(targets).unwrap_or_default(),
                rank: request.rank,
            }),
            slot: Some(self.broker.explain_slot(&request, None, now)),
            ..self.empty_report(leader, &request.zone, now)
        }
    }

    fn empty_report(&self, leader: &HostName, zone: &ZoneName, now: Instant) -> PlacementReport {
        let led_for = now.saturating_duration_since(self.leads_since);
        PlacementReport {
            leader: leader.clone(),
            leads_for_ms: u64::try_from(led_for.as_millis()).unwrap_or(u64::MAX),
            plan: self.plan.version().0,
            zone: zone.clone(),
            item_state: None,
            r#match: None,
            refused: None,
            slot: None,
        }
    }

    /// The route of a question and the path of its request, or the refusal that its caller would
    /// get.
    fn route_of<'a>(
        &'a self,
        question: &'a PlacementQuestion,
    ) -> Result<Result<(&'a PlanRoute, &'a str), RequestRefusal>, QuestionError> {
        match &question.target {
            QuestionTarget::Path { host, path, .. } => {
                let route = find_route(&self.plan, host, path);
                Ok(route.map(|route| (route, path.as_str())))
            }
            QuestionTarget::Service(service) => {
                let unknown = || QuestionError::UnknownService(service.clone());
                let leads_there = |route: &&chicoryladder_plan::RawRoute| {
                    let is_online = route.kind != RouteKind::Batch;
                    is_online && route.targets.iter().any(|t| t.service == *service)
                };
                let mut routes = self.plan.raw().routes.iter();
                let found = routes.find(leads_there).ok_or_else(unknown)?;
                let route = self.plan.route_named(&found.name).ok_or_else(unknown)?;
                Ok(Ok((route, route.prefix.as_str())))
            }
            QuestionTarget::Item { .. } => Err(QuestionError::NoTarget),
        }
    }

    /// The team of a question, or the refusal that its caller would get.
    fn team_of<'a>(
        &'a self,
        question: &PlacementQuestion,
        route: &PlanRoute,
    ) -> Result<Result<Option<&'a PlanTeam>, RequestRefusal>, QuestionError> {
        let named = match &question.caller {
            QuestionCaller::Team(name) => {
                let team = self.plan.team(name);
                Ok(team.ok_or_else(|| QuestionError::UnknownTeam(name.clone()))?)
            }
            QuestionCaller::Key(key) => find_team(&self.plan, Some(key)),
            QuestionCaller::Keyless => find_team(&self.plan, None),
        };
        if !needs_team(&self.plan, route) {
            return Ok(Ok(None));
        }
        Ok(named.map(Some))
    }

    fn explain_matched(
        &self,
        report: PlacementReport,
        question: &PlacementQuestion,
        matched: &MatchedQuestion<'_>,
        now: Instant,
    ) -> PlacementReport {
        let (route, team) = (matched.route, matched.team);
        let team_name = team.map(|team| &team.name);
        let id = question.id.as_deref().unwrap_or_default();
        let is_stream = route.kind == RouteKind::Stream;
        let attempt = OnlineAttempt {
            plan: &self.plan,
            route,
            team,
            service: &matched.service,
            zone: &question.zone,
            prompt: &question.prompt(),
            // The body is not part of the question, so quarantine is that of the segments.
            fingerprint: RequestFingerprint::new(team_name, &route.name, matched.path, b""),
            stream: is_stream.then(|| StreamPart::Beginning(StreamId::of_attempt(id))),
            avoid: Vec::new(),
            is_charged: false,
            is_repeated: false,
            goes_on: false,
            left: route.timeout,
            waited: Duration::ZERO,
        };
        let (request, terms) = (attempt.slot_request(), attempt.caller_terms());
        PlacementReport {
            r#match: Some(PlacementMatch {
                route: route.name.clone(),
                kind: kind_name(route.kind).to_owned(),
                team: team_name.cloned(),
                service: matched.service.clone(),
                targets: targets(route),
                rank: request.rank,
            }),
            slot: Some(self.broker.explain_slot(&request, Some(&terms), now)),
            ..report
        }
    }
}

/// The service to which a route sends the request of a question.
fn service_of(
    question: &PlacementQuestion,
    route: &PlanRoute,
) -> Result<ServiceName, QuestionError> {
    let named = match &question.target {
        QuestionTarget::Path { service, .. } => service.as_ref(),
        QuestionTarget::Service(service) => Some(service),
        QuestionTarget::Item { .. } => None,
    };
    let Some(service) = named else {
        let largest = route.job_service().filter(|_| question.id.is_none());
        let id = question.id.as_deref().unwrap_or_default();
        return Ok(largest.map_or_else(|| choose_service(route, id), ServiceName::clone));
    };
    let leads_there = route.targets.iter().any(|t| t.service == *service);
    leads_there
        .then(|| service.clone())
        .ok_or_else(|| QuestionError::OtherService {
            route: route.name.clone(),
            service: service.clone(),
        })
}

fn targets(route: &PlanRoute) -> Vec<TargetShare> {
    let targets = route.targets.iter().map(|target| TargetShare {
        service: target.service.clone(),
        weight: target.weight,
    });
    targets.collect()
}

fn refused_report(report: PlacementReport, refusal: &RequestRefusal) -> PlacementReport {
    PlacementReport {
        refused: Some(MatchRefusal {
            reason: refusal.reason.as_str().to_owned(),
            detail: refusal.detail.clone(),
        }),
        ..report
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::control::question::{QuestionCaller, RawQuestion};
    use chicoryladder_broker::{
        BrokerSettings, ColdTolerance, ExplainedOutcome, RateTolerance, RosterSettings,
        ServerCheckIn, ServerPhase, ZoneAreas,
    };
    use chicoryladder_plan::{
        CallerLimits, PlanTerms, PlanVersion, RawPlan, RawRoute, RawService, RawTeam, RouteTarget,
        ServicePlan,
    };
    use chicoryladder_types::{RouteName, SoftwareVersion, Tail};
    use std::collections::BTreeSet;
    use std::sync::Arc;

    const MINUTE: Duration = Duration::from_secs(60);

    fn service(name: &str) -> ServiceName {
        ServiceName::try_from(name).expect("it is valid")
    }

    fn zone(name: &str) -> ZoneName {
        ZoneName::try_from(name).expect("it is valid")
    }

    fn area(name: &str) -> AreaName {
        AreaName::try_from(name).expect("it is valid")
    }

    fn areas() -> BTreeMap<ZoneName, AreaName> {
        let zones = [("a", "north"), ("b", "south")];
        zones.map(|(name, of)| (zone(name), area(of))).into()
    }

    fn route(name: &str, kind: RouteKind, targets: &[(&str, u32)]) -> RawRoute {
        let target = |(name, weight): &(&str, u32)| RouteTarget {
            service: service(name),
            weight: *weight,
        };
        RawRoute {
            name: RouteName::try_from(name).expect("it is valid"),
            host: "walks.example".to_owned(),
            prefix: format!("/{name}/"),
            kind,
            timeout: Duration::from_secs(5),
            latency_target: Duration::from_millis(300),
            gap_target: None,
            rank: 1,
            targets: targets.iter().map(target).collect(),
            max_attempts: 1,
            public: name == "open",
            resumable: false,
            completion_target: Some(MINUTE),
            give_up_after: Some(MINUTE),
            waiting_tokens_max: 0,
        }
    }

    fn plan() -> ServicePlan {
        let services = ["app", "other"].map(|name| RawService {
            name: service(name),
            connections_max: 100,
            engine: None,
        });
        let team = TeamName::try_from("t").expect("it is valid");
        let homes = BTreeSet::from([area("south")]);
        let raw = RawPlan {
            version: PlanVersion(7),
            routes: vec![
                route("ping", RouteKind::Idempotent, &[("app", 1)]),
                route("open", RouteKind::Idempotent, &[("app", 1)]),
                route("two", RouteKind::Stream, &[("app", 1), ("other", 3)]),
                route("jobs", RouteKind::Batch, &[("app", 1)]),
            ],
            services: services.to_vec(),
            teams: vec![RawTeam {
                name: team.clone(),
                keys: vec!["k1".to_owned()],
                rank: Some(0),
                rate: 5.0,
                burst: 5.0,
            }],
            limits: CallerLimits::default(),
            terms: Tail(PlanTerms {
                team_homes: BTreeMap::from([(team, homes)]),
                ..PlanTerms::default()
            }),
        };
        ServicePlan::try_from(raw).expect("it is valid")
    }

    /// A leader with a server of `app` in each of two zones.
    fn leader(now: Instant) -> LeaderState {
        let settings = BrokerSettings {
            check_in_interval: Duration::from_millis(1_200),
            lost_after: Duration::from_secs(3),
            remove_after: MINUTE,
            requester_lost_after: MINUTE,
            tolerance: RateTolerance {
                requests: 1.0,
                share: 1.0,
                window: Duration::from_secs(1),
            },
            cold_tolerance: ColdTolerance::default(),
            pressure: false,
            weighs_placement: false,
            areas: ZoneAreas::new(&areas()),
        };
        let roster = RosterSettings {
            detached_after: MINUTE,
            remove_after: MINUTE,
        };
        let mut leader = LeaderState::new(settings, roster, now);
        leader.plan = Arc::new(plan());
        leader.broker.set_plan(&leader.plan, now);
        leader.broker.rates().fill_all();
        for name in ["a", "b"] {
            let server = ServerCheckIn {
                name: ServerName::try_from(format!("app-{name}").as_str()).expect("it is valid"),
                incarnation: 1,
                sequence: 1,
                service: service("app"),
                address: "127.0.0.1:9000".parse().expect("it is valid"),
                zone: zone(name),
                version: SoftwareVersion::from("v1"),
                slots: 4,
                phase: ServerPhase::Ready,
                warmup_remaining: Duration::ZERO,
            };
            leader.broker.check_in(server, now);
        }
        leader
    }

    fn ask(path: &str, query: &str, key: Option<&str>) -> Result<PlacementReport, QuestionError> {
        let now = Instant::now();
        let raw = RawQuestion {
            path,
            query,
            key,
            own_zone: &zone("a"),
        };
        let question = PlacementQuestion::try_from(raw)?;
        let host = HostName::try_from("control-1").expect("it is valid");
        leader(now).explain_request(&question, &host, &areas(), now)
    }

    fn sent_to(report: &PlacementReport) -> Option<&str> {
        match &report.slot.as_ref()?.outcome {
            ExplainedOutcome::Sent { server, .. } => Some(server.as_str()),
            _ => None,
        }
    }

    /// Guards against a match, homes or a rate other than those that an entry host finds for the
    /// same request.
    #[test]
    fn a_request_is_matched_as_at_an_entry_host() {
        let path = "/explain/route/walks.example/ping/1";
        let report = ask(path, "", Some("k1")).expect("an answer");
        let found = report.r#match.as_ref().expect("a match");
        assert_eq!((found.route.as_str(), found.rank), ("ping", 0));
        assert_eq!(found.team.as_ref().map(TeamName::as_str), Some("t"));
        // The homes of the team exclude the server in the zone of the host.
        assert_eq!(sent_to(&report), Some("app-b"));
        let limits = &report.slot.as_ref().expect("a decision").limits;
        assert_eq!(limits.homes, Some(BTreeSet::from([area("south")])));
        assert!(limits.rate.is_some_and(|rate| rate.wait_ms.is_none()));
        let by_team = ask(path, "team=t", None).expect("an answer");
        assert_eq!(by_team.slot, report.slot);
        let by_service = ask("/explain/service/app", "team=t", None).expect("an answer");
        assert_eq!(by_service.slot, report.slot);
        // Teams and their homes do not count on public routes.
        let open = ask("/explain/route/walks.example/open/1", "", Some("k1"));
        let open = open.expect("an answer");
        assert_eq!(open.r#match.as_ref().expect("a match").team, None);
        assert_eq!(sent_to(&open), Some("app-a"));
    }

    /// Guards against a service that is not the one to which the route sends the request: by
    /// its id, or for most requests.
    #[test]
    fn routes_to_several_services_tell_which_one_was_explained() {
        let path = "/explain/route/walks.example/two/1";
        let service_of = |query: &str| {
            let report = ask(path, query, Some("k1")).expect("an answer");
            let found = report.r#match.expect("a match");
            assert_eq!(found.targets.len(), 2);
            found.service
        };
        assert_eq!(service_of(""), service("other"));
        assert_eq!(service_of("service=app"), service("app"));
        let plan = plan();
        let route = plan.route("walks.example", "/two/1").expect("a route");
        for number in 0..20 {
            let id = format!("request-{number}");
            assert_eq!(service_of(&format!("id={id}")), choose_service(route, &id));
        }
    }

    /// Guards against an answer that names a server for a request which its entry host refuses.
    #[test]
    fn requests_without_a_match_are_refused_as_at_an_entry_host() {
        let path = "/explain/route/walks.example/ping/1";
        let cases = [
            (
                "/explain/route/walks.example/none/1",
                Some("k1"),
                "unknown_route",
            ),
            (path, None, "missing_key"),
            (path, Some("k2"), "unknown_key"),
        ];
        for (path, key, reason) in cases {
            let report = ask(path, "", key).expect("an answer");
            assert_eq!(report.refused.expect("a refusal").reason, reason);
            assert!(report.slot.is_none() && report.r#match.is_none());
        }
    }

    /// Guards against an answer to a question that names something that does not exist.
    #[test]
    fn names_that_do_not_exist_are_refused() {
        let path = "/explain/route/walks.example/ping/1";
        let cases = [
            (path, "team=u", "the plan has no team u"),
            (path, "zone=c&team=t", "there is no zone c"),
            (
                path,
                "service=other&team=t",
                "route ping does not lead to service other",
            ),
            (
                "/explain/service/none",
                "team=t",
                "no route to a service none",
            ),
            (
                "/explain/route/walks.example/jobs/1",
                "team=t",
                "route jobs accepts jobs",
            ),
        ];
        for (path, query, fault) in cases {
            let error = ask(path, query, None).expect_err("it is not valid");
            assert!(error.to_string().contains(fault), "{error}");
        }
    }

    /// Guards against keys in logs, which print questions by their fields.
    #[test]
    fn keys_are_not_printed() {
        let caller = QuestionCaller::Key("secret".to_owned());
        assert!(!format!("{caller:?}").contains("secret"));
    }
}
