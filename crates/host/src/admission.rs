//! Authentication of requests by key, and resolution of their route and class.

use crate::replica::ReplicaHandle;
use chicoryladder_settings::{ClassTarget, FleetRoute, RouteMatch, TeamTerms};
use chicoryladder_state::{FleetView, KeyDecision, KeyId};
use chicoryladder_types::RouteName;
use chicoryladder_types::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// The retry hint for callers while the key view is stale.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The interval at which the lease of the view is checked while a request waits.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The team that a key authenticates, with the settings of the team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyHolder {
    pub(crate) team: TeamName,
    pub(crate) key_id: KeyId,
    pub(crate) terms: TeamTerms,
}

/// Checks keys against the replicated view of this host.
#[derive(Clone)]
pub(crate) struct KeyChecker {
    pub(crate) replica: ReplicaHandle,
}

impl KeyChecker {
    /// Returns the team that the key authenticates.
    ///
    /// # Errors
    ///
    /// Refuses missing, unknown and withdrawn keys. While the view is stale and may
    /// lack withdrawals, refuses every key whose team does not opt in to being served
    /// during a partition.
    pub(crate) fn check(&self, key: Option<&str>) -> Result<KeyHolder, RequestRefusal> {
        let Some(key) = key else {
            let detail = "this route needs a key, sent as `Authorization: Bearer KEY`";
            return Err(RequestRefusal::not_run(RefusalReason::MissingKey, detail));
        };
        let view = self.replica.view();
        let decision = view.check_key(key);
        if decision == KeyDecision::Withdrawn {
            return Err(withdrawn_key());
        }
        let (team, key_id) = self.fresh_team(decision)?;
        let terms = view.document.teams.get(&team).copied();
        let terms = terms.ok_or_else(unknown_key)?;
        if !self.replica.is_fresh() && !terms.serve_through_cut {
            return Err(stale_view());
        }
        Ok(KeyHolder {
            team,
            key_id,
            terms,
        })
    }

    /// Resolves once a key that passed [`Self::check`] must not be used any more,
    /// because it was withdrawn or because the view is stale.
    pub(crate) async fn revoked(&self, holder: &KeyHolder) -> RequestRefusal {
        let mut replica = self.replica.clone();
        loop {
            if let Err(refusal) = self.recheck(holder) {
                return refusal;
            }
            // The expiry of the lease does not signal a change of the view.
            let change = tokio::time::timeout(RECHECK_INTERVAL, replica.changed());
            if change.await == Ok(false) {
                return std::future::pending().await;
            }
        }
    }

    fn recheck(&self, holder: &KeyHolder) -> Result<(), RequestRefusal> {
        if self.replica.view().is_withdrawn(holder.key_id) {
            return Err(withdrawn_key());
        }
        if !self.replica.is_fresh() && !holder.terms.serve_through_cut {
            return Err(stale_view());
        }
        Ok(())
    }

    /// Returns the team of a key. An unknown key is refused as unknown only if the
    /// view is fresh, because a stale view may lack new keys.
    fn fresh_team(&self, decision: KeyDecision) -> Result<(TeamName, KeyId), RequestRefusal> {
        match decision {
            KeyDecision::Team { team, key_id } => Ok((team, key_id)),
            _ if self.replica.is_fresh() => Err(unknown_key()),
            _ => Err(stale_view()),
        }
    }
}

fn unknown_key() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::UnknownKey, "no team holds this key")
}

fn withdrawn_key() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::WithdrawnKey, "the key was withdrawn")
}

fn stale_view() -> RequestRefusal {
    let detail = "this host has not heard of key withdrawals lately";
    RequestRefusal::not_run(RefusalReason::KeyViewStale, detail).with_retry_after(STALE_RETRY_AFTER)
}

/// The route and class of a request, from the fleet document.
pub(crate) struct ResolvedRoute {
    pub(crate) name: RouteName,
    pub(crate) route: FleetRoute,
    pub(crate) class: ClassName,
    pub(crate) target: ClassTarget,
}

impl ResolvedRoute {
    /// Resolves the route and class of a request.
    ///
    /// # Errors
    ///
    /// Refuses paths, methods and classes that the fleet document does not cover, and
    /// classes that the route does not allow.
    pub(crate) fn resolve(
        view: &Arc<FleetView>,
        method: &str,
        path: &str,
        class: Option<&ClassName>,
    ) -> Result<Self, RequestRefusal> {
        let (name, route) = match view.document.match_route(method, path) {
            RouteMatch::Found { name, route } => (name.clone(), route.clone()),
            RouteMatch::WrongMethod => {
                let detail = format!("the route of {path} does not take {method}");
                return Err(RequestRefusal::not_run(RefusalReason::WrongMethod, detail));
            }
            RouteMatch::Unknown => {
                let detail = format!("no route covers {path}");
                return Err(RequestRefusal::not_run(RefusalReason::UnknownRoute, detail));
            }
        };
        let class = Self::class(&route, class)?;
        let known = view.document.classes.get(&class);
        let target = known.map(|known| known.target).ok_or_else(|| {
            let detail = format!("the fleet document has no class {class}");
            RequestRefusal::not_run(RefusalReason::ClassForbidden, detail)
        })?;
        Ok(Self {
            name,
            route,
            class,
            target,
        })
    }

    fn class(route: &FleetRoute, chosen: Option<&ClassName>) -> Result<ClassName, RequestRefusal> {
        let Some(chosen) = chosen else {
            let detail = "the route has no class";
            let missing = || RequestRefusal::not_run(RefusalReason::ClassForbidden, detail);
            return route.classes.first().cloned().ok_or_else(missing);
        };
        if route.classes.contains(chosen) {
            return Ok(chosen.clone());
        }
        let detail = format!("the route does not take the class {chosen}");
        Err(RequestRefusal::not_run(
            RefusalReason::ClassForbidden,
            detail,
        ))
    }
}
