//! What the broker is asked for a caller's request.
//!
//! Entry hosts build their slot requests here, and the leader of the control group builds those
//! that operators ask about, so that both are decided alike.

use crate::ports::PromptShape;
use chicoryladder_broker::{CallerTerms, SlotRequest, StreamPart, WorkKind};
use chicoryladder_plan::{PlanRoute, PlanTeam, ServicePlan};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::time::Duration;

/// The time that must be left before the deadline for a request to be sent. No
/// server answers in less.
pub(crate) const SEND_TIME_MIN: Duration = Duration::from_millis(20);

/// An attempt to get a slot for a caller's request.
pub(crate) struct OnlineAttempt<'a> {
    pub(crate) plan: &'a ServicePlan,
    pub(crate) route: &'a PlanRoute,
    /// The team of the caller; `None` on a public route or without teams.
    pub(crate) team: Option<&'a PlanTeam>,
    pub(crate) service: &'a ServiceName,
    /// The zone of the host.
    pub(crate) zone: &'a ZoneName,
    pub(crate) prompt: &'a PromptShape,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) stream: Option<StreamPart>,
    /// Servers that must not be selected.
    pub(crate) avoid: Vec<ServerName>,
    /// Whether the rate of the team is charged already.
    pub(crate) is_charged: bool,
    /// Whether a late response is better than a refusal: a caller that retries after a refusal
    /// does not retry again, and the request may have run.
    pub(crate) is_repeated: bool,
    /// Whether the caller has the beginning of the response, and waits for the next event.
    pub(crate) goes_on: bool,
    /// The time until the response must be complete.
    pub(crate) left: Duration,
    /// The time since the request arrived.
    pub(crate) waited: Duration,
}

impl OnlineAttempt<'_> {
    /// What is left of the latency target of the route.
    fn target_left(&self) -> Duration {
        self.route.latency_target.saturating_sub(self.waited)
    }

    /// The slot request.
    pub(crate) fn slot_request(&self) -> SlotRequest {
        let within = if self.is_repeated {
            self.left / 2
        } else {
            self.target_left()
        };
        let charged_team = self.team.filter(|team| team.rate > 0.0 && !self.is_charged);
        let team = self.team.map(|team| &team.name);
        SlotRequest {
            ticket: 0,
            service: self.service.clone(),
            kind: WorkKind::Online,
            rank: (self.team)
                .and_then(|team| team.rank)
                .unwrap_or(self.route.rank),
            zone: self.zone.clone(),
            charged_team: charged_team.map(|team| team.name.clone()),
            prompt: self.prompt.segments.clone(),
            fingerprint: self.fingerprint,
            tokens: self.prompt.tokens,
            stream: self.stream.clone(),
            avoid: self.avoid.clone(),
            first_answer_within: within,
            wait_max: within.min(self.left),
            homes: self.plan.homes(&self.route.name, team),
        }
    }

    /// What the broker needs to know of the caller where requests compete by their targets. The
    /// slot request itself stays as it is for other brokers.
    pub(crate) fn caller_terms(&self) -> CallerTerms {
        let target_left = if self.goes_on {
            self.left / 2
        } else {
            self.target_left()
        };
        CallerTerms {
            team: self.team.map(|team| team.name.clone()),
            returned: self.is_repeated || self.goes_on,
            target_left,
            time_left: self.left.saturating_sub(SEND_TIME_MIN),
        }
    }
}
