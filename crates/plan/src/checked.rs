//! Validation and indexing of plans.

use crate::error::PlanError;
use crate::raw::{CallerLimits, ColdTerms, PlanVersion, RawPlan, RawRoute, RawService, RawTeam};
use chicoryladder_types::{AreaName, RouteName, ServiceName, TeamName};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// A route of a validated plan.
pub type PlanRoute = Arc<RawRoute>;

/// A service of a validated plan.
pub type PlanService = Arc<RawService>;

/// A team of a validated plan.
pub type PlanTeam = Arc<RawTeam>;

/// The index of teams by API key.
#[derive(Clone, Debug, Default)]
pub struct TeamIndex {
    by_key: HashMap<String, PlanTeam>,
}

impl TeamIndex {
    /// Returns the team that owns the key.
    #[must_use]
    pub fn team_of(&self, key: &str) -> Option<&PlanTeam> {
        self.by_key.get(key)
    }
}

/// A validated plan: it violates none of the rules that [`PlanError`] lists.
#[derive(Clone, Debug, Default)]
pub struct ServicePlan {
    raw: RawPlan,
    routes: HashMap<String, HashMap<String, PlanRoute>>,
    services: HashMap<ServiceName, PlanService>,
    teams: HashMap<TeamName, PlanTeam>,
    keys: TeamIndex,
}

impl ServicePlan {
    /// The version of the plan.
    #[must_use]
    pub fn version(&self) -> PlanVersion {
        self.raw.version
    }

    /// The limits on callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.raw.limits
    }

    /// The plan as parsed.
    #[must_use]
    pub fn raw(&self) -> &RawPlan {
        &self.raw
    }

    /// Whether the plan has teams, in which case callers need a key on routes that are
    /// not public.
    #[must_use]
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Returns the route of the HTTP host name with the longest prefix that matches the
    /// path. A port in `host` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&PlanRoute> {
        let prefixes = self.routes.get(&host_key(host))?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the route of the given name.
    #[must_use]
    pub fn route_named(&self, name: &RouteName) -> Option<&PlanRoute> {
        let mut routes = self.routes.values().flat_map(HashMap::values);
        routes.find(|route| route.name == *name)
    }

    /// Returns the service of the given name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&PlanService> {
        self.services.get(name)
    }

    /// Returns the team of the given name.
    #[must_use]
    pub fn team(&self, name: &TeamName) -> Option<&PlanTeam> {
        self.teams.get(name)
    }

    /// How many requests a cold server of a service bears; `None` if its servers are never
    /// cold.
    #[must_use]
    pub fn cold_terms(&self, service: &ServiceName) -> Option<ColdTerms> {
        self.raw.terms.0.cold.get(service).copied()
    }

    /// The areas in which a request of a route and a team may run, and to which its body may
    /// be sent; `None` if neither has homes. If both have some, both bind.
    #[must_use]
    pub fn homes(&self, route: &RouteName, team: Option<&TeamName>) -> Option<BTreeSet<AreaName>> {
        let terms = &self.raw.terms.0;
        let of_route = terms.route_homes.get(route);
        let of_team = team.and_then(|team| terms.team_homes.get(team));
        match (of_route, of_team) {
            (Some(route), Some(team)) => Some(route.intersection(team).cloned().collect()),
            (Some(homes), None) | (None, Some(homes)) => Some(homes.clone()),
            (None, None) => None,
        }
    }

    /// Whether this plan allows a team a lower rate or burst than an earlier one did, or names
    /// the team no more.
    #[must_use]
    pub fn lowers_limit(&self, earlier: &Self, team: &TeamName) -> bool {
        // A rate of 0 is no limit.
        let limit = |team: &PlanTeam| {
            let rate = if team.rate > 0.0 {
                team.rate
            } else {
                f64::INFINITY
            };
            (rate, team.burst)
        };
        let limits = (self.team(team).map(limit), earlier.team(team).map(limit));
        match limits {
            (Some((rate, burst)), Some((rate_before, burst_before))) => {
                rate < rate_before || burst < burst_before
            }
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }

    /// The index of teams by API key.
    #[must_use]
    pub fn keys(&self) -> &TeamIndex {
        &self.keys
    }
}

impl TryFrom<RawPlan> for ServicePlan {
    type Error = PlanError;

    fn try_from(raw: RawPlan) -> Result<Self, PlanError> {
        check_terms(&raw)?;
        let services = index_services(&raw)?;
        let routes = index_routes(&raw, &services)?;
        let (teams, keys) = index_teams(&raw)?;
        Ok(Self {
            raw,
            routes,
            services,
            teams,
            keys,
        })
    }
}

fn check_terms(raw: &RawPlan) -> Result<(), PlanError> {
    let is_valid = |terms: &ColdTerms| terms.per_second.is_finite() && terms.per_second > 0.0;
    let invalid = raw.terms.0.cold.iter().find(|(_, terms)| !is_valid(terms));
    invalid.map_or(Ok(()), |(service, _)| {
        Err(PlanError::BadColdRate(service.clone()))
    })
}

fn host_key(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

fn index_services(raw: &RawPlan) -> Result<HashMap<ServiceName, PlanService>, PlanError> {
    let mut services = HashMap::new();
    for service in &raw.services {
        let name = service.name.clone();
        if services.insert(name, Arc::new(service.clone())).is_some() {
            return Err(PlanError::DuplicateName {
                kind: "service",
                name: service.name.to_string(),
            });
        }
    }
    Ok(services)
}

type RouteIndex = HashMap<String, HashMap<String, PlanRoute>>;

fn index_routes(
    raw: &RawPlan,
    services: &HashMap<ServiceName, PlanService>,
) -> Result<RouteIndex, PlanError> {
    let mut routes = RouteIndex::new();
    let mut names = std::collections::HashSet::new();
    for route in &raw.routes {
        check_route(route, services)?;
        if !names.insert(&route.name) {
            return Err(PlanError::DuplicateName {
                kind: "route",
                name: route.name.to_string(),
            });
        }
        let prefixes = routes.entry(host_key(&route.host)).or_default();
        let previous = prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        if let Some(first) = previous {
            return Err(PlanError::DuplicatePrefix {
                first: first.name.clone(),
                second: route.name.clone(),
            });
        }
    }
    Ok(routes)
}

fn check_route(
    route: &RawRoute,
    services: &HashMap<ServiceName, PlanService>,
) -> Result<(), PlanError> {
    let unknown = |target: &&crate::RouteTarget| !services.contains_key(&target.service);
    if let Some(target) = route.targets.iter().find(unknown) {
        return Err(PlanError::UnknownService {
            route: route.name.clone(),
            service: target.service.clone(),
        });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(PlanError::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(PlanError::NoTimeout(route.name.clone()));
    }
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(PlanError::BadPrefix(route.name.clone()));
    }
    Ok(())
}

type IndexedTeams = (HashMap<TeamName, PlanTeam>, TeamIndex);

fn index_teams(raw: &RawPlan) -> Result<IndexedTeams, PlanError> {
    let mut teams = HashMap::new();
    let mut by_key: HashMap<String, PlanTeam> = HashMap::new();
    for team in &raw.teams {
        let limits = [team.rate, team.burst];
        if limits
            .iter()
            .any(|limit| !limit.is_finite() || *limit < 0.0)
        {
            return Err(PlanError::BadRate(team.name.clone()));
        }
        let record = Arc::new(team.clone());
        if teams.insert(team.name.clone(), record.clone()).is_some() {
            return Err(PlanError::DuplicateName {
                kind: "team",
                name: team.name.to_string(),
            });
        }
        for key in &team.keys {
            let previous = by_key.insert(key.clone(), record.clone());
            if let Some(first) = previous.filter(|first| first.name != team.name) {
                return Err(PlanError::SharedKey {
                    first: first.name.clone(),
                    second: team.name.clone(),
                });
            }
        }
    }
    Ok((teams, TeamIndex { by_key }))
}
