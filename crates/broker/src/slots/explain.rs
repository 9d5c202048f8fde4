//! What would be decided on a request, without deciding on it.
//!
//! Each step is the function by which the broker decides: the early refusal, the choice of a
//! slot, the queue. What these change beside their result, such as the booking of a return, they
//! change in a copy.

use super::SlotBroker;
use super::assignment::SlotChoice;
use super::pressure::QueueVerdict;
use crate::admission::CallerTerms;
use crate::explanation::{
    BindingLimits, CandidateFigures, CandidateList, ColdFigures, ExplainedOutcome,
    QuarantineStanding, RateFigures, RefusedFor, SlotExplanation, SpeedFigures, whole_ms,
};
use crate::grants::ServerKey;
use crate::placement::{PlacementQuery, cached_tokens, prompt_prefixes};
use crate::pool::ServicePool;
use crate::request::{SlotRequest, WorkKind};
use chicoryladder_policy::quarantine::Admission;
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

impl SlotBroker {
    /// What [`Self::request_slot_for`] would decide on a request now, with the figures that
    /// decide. Nothing changes: no token is taken, no slot, and no trial begins.
    ///
    /// Where requests compete by their targets, those that are queued ahead of the request get
    /// the slots that have become free since the last tick before it does. The explanation does
    /// not anticipate that.
    #[must_use]
    pub fn explain_slot(
        &self,
        request: &SlotRequest,
        terms: Option<&CallerTerms>,
        now: Instant,
    ) -> SlotExplanation {
        let mut request = request.clone();
        let uses_targets = self.uses_targets(&request.service);
        let terms = terms.filter(|_| uses_targets && request.kind == WorkKind::Online);
        let outcome = self.outcome_of(&mut request, terms, now);
        let pool = self.services.get(&request.service);
        let candidates = pool.map(|pool| self.candidate_list(pool, &request, now));
        SlotExplanation {
            outcome,
            limits: self.binding_limits(&request, now),
            load: self.pool_load(&request.service, now),
            weighs_speed: pool.is_some_and(|pool| self.weighs_servers(pool)),
            uses_targets,
            candidates: candidates.unwrap_or_default(),
        }
    }

    fn outcome_of(
        &self,
        request: &mut SlotRequest,
        terms: Option<&CallerTerms>,
        now: Instant,
    ) -> ExplainedOutcome {
        if let Some((reason, retry_after)) = self.early_refusal(request, now) {
            return ExplainedOutcome::Refused {
                reason: reason.into(),
                retry_after_ms: whole_ms(retry_after),
            };
        }
        let choice = self.choose_slot(request, now);
        let preempts_item = matches!(choice, Some(SlotChoice::Preempted(_)));
        if let Some(server) = choice.and_then(|choice| self.server_name(choice)) {
            return ExplainedOutcome::Sent {
                server,
                preempts_item,
            };
        }
        match terms {
            Some(terms) => self.queue_by_target(request, terms, now),
            None => self.queue_in_order(request, now),
        }
    }

    fn server_name(&self, choice: SlotChoice) -> Option<ServerName> {
        let entry = self.servers.get(self.chosen_server(choice)?)?;
        Some(entry.record.check_in.name.clone())
    }

    fn queue_by_target(
        &self,
        request: &SlotRequest,
        terms: &CallerTerms,
        now: Instant,
    ) -> ExplainedOutcome {
        let pool = self.services.get(&request.service);
        let mut admission = pool.map(|pool| pool.admission.clone()).unwrap_or_default();
        admission.record_arrival(request.rank, terms, now);
        let limits = self.wait_limits(request, terms);
        match self.decide_by_target(&mut admission, request, terms, now) {
            QueueVerdict::Queued { is_late, wait } => ExplainedOutcome::Queued {
                predicted_wait_ms: Some(whole_ms(wait)),
                wait_max_ms: whole_ms(limits.late),
                is_late,
                is_undecided: self.is_undecided(request, now),
            },
            QueueVerdict::Refused { retry_after } => refused_without_slot(retry_after),
        }
    }

    fn queue_in_order(&self, request: &SlotRequest, now: Instant) -> ExplainedOutcome {
        let wait = self.ordered_wait(request, now);
        match wait.refused_until(request.ticket) {
            Some(retry_after) => refused_without_slot(retry_after),
            None => ExplainedOutcome::Queued {
                predicted_wait_ms: wait.predicted.map(whole_ms),
                wait_max_ms: whole_ms(wait.longest),
                is_late: false,
                is_undecided: self.is_undecided(request, now),
            },
        }
    }

    fn binding_limits(&self, request: &SlotRequest, now: Instant) -> BindingLimits {
        let team = request.charged_team.as_ref();
        let standing = team.and_then(|team| self.rates.standing(team, now));
        let rate = standing.map(|standing| RateFigures {
            per_second: standing.rate,
            burst: standing.burst,
            available: standing.level,
            wait_ms: standing.wait.map(whole_ms),
        });
        let quarantine = match self.admission_of(request, now) {
            Admission::Admitted => QuarantineStanding::Clear,
            Admission::Trial => QuarantineStanding::Trial,
            Admission::Refused { .. } => QuarantineStanding::Refused,
        };
        BindingLimits {
            rate,
            quarantine,
            homes: request.homes.clone(),
            drained_zones: self.drained_zones().clone(),
            version: request.required_version().cloned(),
        }
    }

    fn candidate_list(
        &self,
        pool: &ServicePool,
        request: &SlotRequest,
        now: Instant,
    ) -> CandidateList {
        let prefixes = prompt_prefixes(&request.prompt);
        let query = self.placement_query(request, &prefixes, now);
        let mut counts = BTreeMap::new();
        let mut order: Vec<(bool, f64, ServerKey)> = Vec::new();
        for key in &pool.servers {
            let Some(entry) = self.servers.get(*key) else {
                continue;
            };
            let candidate = Self::candidate(pool, entry, request.kind, now);
            let mut is_hindered = false;
            for obstacle in self.obstacles(&candidate, request, now) {
                is_hindered = true;
                *counts.entry(obstacle).or_insert(0) += 1;
            }
            let cost = self.placement_cost(pool, &candidate, &query);
            order.push((is_hindered, cost, *key));
        }
        order.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        let listed = order.iter().take(CandidateList::LISTED_MAX);
        let figures = listed.filter_map(|(_, _, key)| self.figures_of(*key, pool, request, &query));
        CandidateList {
            servers: order.len(),
            obstacles: counts,
            candidates: figures.collect(),
        }
    }

    fn figures_of(
        &self,
        key: ServerKey,
        pool: &ServicePool,
        request: &SlotRequest,
        query: &PlacementQuery<'_>,
    ) -> Option<CandidateFigures> {
        let now = query.now;
        let entry = self.servers.get(key)?;
        let candidate = Self::candidate(pool, entry, request.kind, now);
        let (record, limit) = (&entry.record, entry.limit.get());
        let age = |at: Instant| whole_ms(now.saturating_duration_since(at));
        let cold = entry.cold.pace(limit, now).map(|pace| ColdFigures {
            source: entry.cold.source(limit, now),
            remaining_ms: whole_ms(entry.cold.remaining(now).unwrap_or_default()),
            per_second: pace.per_second(),
        });
        let weighs_speed = self.weighs_servers(pool);
        let (speed, cached_tokens) = if weighs_speed {
            let expectation = pool.expectation(entry, query.prefixes, now);
            let stated_age = entry.belief.pace.stated_age(now);
            let expected = expectation.stated(stated_age);
            let speed = SpeedFigures {
                pace_percent: expected.pace_percent,
                first_answer_ms: whole_ms(expected.first_answer),
                stated_age_ms: stated_age.map(whole_ms),
                observed_age_ms: entry.belief.pace.observed_age(now).map(whole_ms),
            };
            (Some(speed), expected.cached)
        } else {
            (None, cached_tokens(record, query.prefixes))
        };
        let suspended_until = record.suspended_until.filter(|until| *until > now);
        Some(CandidateFigures {
            server: record.check_in.name.clone(),
            zone: record.check_in.zone.clone(),
            version: record.check_in.version.clone(),
            obstacles: self.obstacles(&candidate, request, now).collect(),
            cost: self.placement_cost(pool, &candidate, query),
            slots: candidate.capacity,
            free_slots: candidate.free(),
            running_online: entry.running_online,
            running_items: entry.running_batch,
            tokens: entry.tokens,
            memory_tokens: pool.engine_tokens,
            used_share: candidate.used_share(now),
            cached_tokens,
            speed,
            cold,
            limit_per_second: limit.map(crate::server_limits::ServerLimit::per_second),
            limit_age_ms: entry.limit.read_at().map(age),
            failures: record.failures,
            suspended_ms: suspended_until
                .map(|until| whole_ms(until.saturating_duration_since(now))),
            check_in_age_ms: age(record.checked_in_at),
        })
    }
}

fn refused_without_slot(retry_after: Duration) -> ExplainedOutcome {
    ExplainedOutcome::Refused {
        reason: RefusedFor::NoSlot,
        retry_after_ms: whole_ms(retry_after),
    }
}
