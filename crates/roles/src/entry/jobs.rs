//! Batch job calls, which an entry host passes to the leader of the job group.

use super::matching::{JobCaller, MatchedRequest};
use crate::event_log::EventLog;
use crate::fleet_view::FleetView;
use crate::leader_client::{LeaderClient, LeaderError, LeaderReply};
use crate::message::{BatchCall, BatchReply, Call};
use crate::ports::{CallerDialect, CallerHead, JobCall};
use crate::process::ProcessBase;
use chicoryladder_batch::{BatchAnswer, BatchCommand, JobOwner, JobSpec, SubmitAnswer};
use chicoryladder_broker::ZoneAreas;
use chicoryladder_gateway::{AnswerBody, bytes_body};
use chicoryladder_plan::PlanVersion;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, Tail};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;

/// The timeout of one attempt at a call.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// The time within which a call must reach the leader. An election takes longer, but
/// callers retry at another host by themselves.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The suggested retry delay when no leader was found.
const NO_LEADER_RETRY: Duration = Duration::from_millis(500);

/// The suggested retry delay for a job that exceeds the waiting tokens of its team.
/// It is short since items complete continuously.
const QUEUE_FULL_RETRY: Duration = Duration::from_secs(1);

/// The completion target of a route that sets none.
const DEFAULT_COMPLETION_TARGET: Duration = Duration::from_secs(3_600);

/// The outcome of a submission that was not refused.
pub(super) enum Submission {
    /// The job is stored.
    Accepted(Response<AnswerBody>),
    /// The job was matched under a plan that is no longer in force.
    StalePlan {
        /// The plan in force.
        in_force: PlanVersion,
        /// Whether an earlier attempt got no reply.
        is_repeated: bool,
    },
}

/// Forwards calls about batch jobs to the job group.
#[derive(Clone)]
pub(super) struct JobGateway {
    client: LeaderClient,
    view: FleetView,
    log: EventLog,
    /// The areas of zones, for jobs with homes.
    areas: ZoneAreas,
    /// The zone of this host.
    zone: ZoneName,
}

impl JobGateway {
    pub(super) fn new(base: &ProcessBase, view: &FleetView, log: &EventLog) -> Self {
        Self {
            client: LeaderClient::new(base.rpc.clone(), base.clock.clone(), Vec::new()),
            view: view.clone(),
            log: log.clone(),
            areas: ZoneAreas::new(&base.settings.areas),
            zone: base.settings.host.zone.clone(),
        }
    }

    /// Submits a job by the plan that it was matched under. Once the response confirms it, the
    /// job is stored durably.
    pub(super) async fn submit(
        &self,
        matched: &MatchedRequest,
        host: &str,
        head: &CallerHead,
        body: &[u8],
        dialect: &dyn CallerDialect,
    ) -> Result<Submission, RequestRefusal> {
        let bad = |detail: String| RequestRefusal::not_run(RefusalReason::BadRequest, detail);
        if let Some(homes) = matched.homes() {
            check_storage(&self.areas, &homes, &self.zone)?;
        }
        let items = dialect.read_items(body).map_err(bad)?;
        let id = head
            .id
            .clone()
            .ok_or_else(|| bad("the job has no id".to_owned()))?;
        let route = &matched.route;
        let service = route.job_service();
        let service = service.ok_or_else(|| bad("the route leads nowhere".to_owned()))?;
        let due_in = route.completion_target.unwrap_or(DEFAULT_COMPLETION_TARGET);
        let job = JobSpec {
            id: id.clone(),
            team: matched.team.as_ref().map(|team| team.name.clone()),
            route: route.name.clone(),
            host: host.to_owned(),
            service: service.clone(),
            rank: rank(matched),
            due_in,
            give_up_in: route.give_up_after.unwrap_or(due_in),
            max_attempts: route.max_attempts.max(1),
            items,
        };
        let command = BatchCommand::Submit {
            job: Box::new(job),
            waiting_tokens_max: route.waiting_tokens_max,
        };
        let plan = matched.plan.version();
        let reply = self.change(command, Some(plan)).await?;
        match reply.answer {
            BatchReply::StalePlan(in_force) => Ok(Submission::StalePlan {
                in_force,
                is_repeated: reply.is_repeated,
            }),
            BatchReply::Changed(BatchAnswer::Submitted(answer)) => {
                self.log.note(
                    "job_submitted",
                    &json!({
                        "request": id,
                        "team": matched.team.as_ref().map(|team| &team.name),
                        "public": route.public,
                        "answer": format!("{answer:?}"),
                        "repeated": reply.is_repeated,
                        "plan": plan.0,
                    }),
                );
                submit_response(answer, reply.is_repeated).map(Submission::Accepted)
            }
            _ => Err(outcome_unknown()),
        }
    }

    /// Carries out a call about a job.
    pub(super) async fn call(
        &self,
        call: &JobCall,
        caller: JobCaller,
        dialect: &dyn CallerDialect,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let team = self.acting_team(call.job(), caller).await?;
        match call.clone() {
            JobCall::Page { job, after } => {
                match self.read(BatchCall::Page { team, job, after }).await? {
                    BatchReply::Page(Some(page)) => {
                        let mut response = Response::new(bytes_body(dialect.write_page(&page)));
                        let kind = HeaderValue::from_static("application/json");
                        response.headers_mut().insert(CONTENT_TYPE, kind);
                        Ok(response)
                    }
                    BatchReply::Page(None) => Err(unknown_job()),
                    _ => Err(outcome_unknown()),
                }
            }
            JobCall::Body { job, item } => {
                match self.read(BatchCall::Body { team, job, item }).await? {
                    BatchReply::Body(Some(body)) => Ok(Response::new(bytes_body(body))),
                    BatchReply::Body(None) => Err(unknown_job()),
                    _ => Err(outcome_unknown()),
                }
            }
            JobCall::End { job } => {
                let command = BatchCommand::End {
                    job: job.clone(),
                    team,
                };
                let reply = self.change(command, None).await?;
                self.log.note(
                    "job_ended",
                    &json!({
                        "job": job,
                        "answer": format!("{:?}", reply.answer),
                        "repeated": reply.is_repeated,
                    }),
                );
                match reply.answer {
                    BatchReply::Changed(BatchAnswer::Done) => Ok(empty_response(StatusCode::OK)),
                    // An earlier attempt may end the job if it is submitted meanwhile.
                    BatchReply::Changed(_) if reply.is_repeated => Err(outcome_unknown()),
                    BatchReply::Changed(_) => Err(unknown_job()),
                    _ => Err(outcome_unknown()),
                }
            }
        }
    }

    /// The team in whose name a call about a job is made; `None` if the job belongs to nobody.
    async fn acting_team(
        &self,
        job: &str,
        caller: JobCaller,
    ) -> Result<Option<TeamName>, RequestRefusal> {
        let refusal = match caller {
            JobCaller::Team(team) => return Ok(Some(team.name.clone())),
            JobCaller::Keyless => None,
            JobCaller::Unknown(refusal) => Some(refusal),
        };
        let job = job.to_owned();
        match (self.read(BatchCall::Owner { job }).await?, refusal) {
            (BatchReply::Owner(Some(JobOwner::Anyone)), _) => Ok(None),
            (BatchReply::Owner(_), Some(refusal)) => Err(refusal),
            // A plan without teams protects no job of a team either.
            (BatchReply::Owner(Some(JobOwner::Team(owner))), None) => Ok(Some(owner)),
            (BatchReply::Owner(None), None) => Err(unknown_job()),
            _ => Err(outcome_unknown()),
        }
    }

    /// Reads from the leader of the job group.
    async fn read(&self, call: BatchCall) -> Result<BatchReply, RequestRefusal> {
        Ok(self.call_leader(call).await?.answer)
    }

    /// Has the leader of the job group carry a command out, which was decided on by a plan.
    async fn change(
        &self,
        command: BatchCommand,
        plan: Option<PlanVersion>,
    ) -> Result<LeaderReply<BatchReply>, RequestRefusal> {
        self.call_leader(BatchCall::Change(command, Tail(plan)))
            .await
    }

    /// Calls the leader of the job group. Every call is idempotent and may be resent.
    async fn call_leader(
        &self,
        call: BatchCall,
    ) -> Result<LeaderReply<BatchReply>, RequestRefusal> {
        let store = self.view.store();
        self.client.set_hosts(&store.hosts);
        if self.client.leader().is_none() {
            self.client.set_leader(store.leader);
        }
        let call = Call::Batch(call);
        match self
            .client
            .call(&call, ATTEMPT_TIMEOUT, LEADER_TIMEOUT, true)
            .await
        {
            Ok(reply) => Ok(reply),
            Err(LeaderError::NoLeader) => {
                let detail = "no leader of the job group was found";
                Err(RequestRefusal::not_run(RefusalReason::NoQuorum, detail)
                    .with_retry_after(NO_LEADER_RETRY))
            }
            Err(LeaderError::OutcomeUnknown) => Err(outcome_unknown()),
        }
    }
}

/// Refuses a job with homes whose bodies may be stored in an area that is not allowed. Store
/// hosts are in any zone of the settings, and a seat of the job group may move to each of them.
fn check_storage(
    areas: &ZoneAreas,
    homes: &BTreeSet<AreaName>,
    zone: &ZoneName,
) -> Result<(), RequestRefusal> {
    let detail = if areas.is_empty() {
        "the route or the team of the job has homes, and the settings name no area of any zone"
            .to_owned()
    } else if let Some((zone, area)) = areas.foreign_zone(homes, zone) {
        format!(
            "the bodies of the job would be stored in all areas, and area {area} (zone {zone}) is \
             not one that its route and team allow"
        )
    } else {
        return Ok(());
    };
    Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail))
}

/// The response to a submission. A refusal is certain only if no earlier attempt of the call may
/// still arrive, and find room then.
fn submit_response(
    answer: SubmitAnswer,
    is_repeated: bool,
) -> Result<Response<AnswerBody>, RequestRefusal> {
    match answer {
        SubmitAnswer::Accepted | SubmitAnswer::Repeated => Ok(empty_response(StatusCode::ACCEPTED)),
        SubmitAnswer::NoRoom if is_repeated => Err(outcome_unknown()),
        SubmitAnswer::NoRoom => {
            let detail = "the tokens of the team that wait leave no room";
            Err(RequestRefusal::not_run(RefusalReason::QueueFull, detail)
                .with_retry_after(QUEUE_FULL_RETRY))
        }
    }
}

fn rank(matched: &MatchedRequest) -> u32 {
    let team = matched.team.as_ref().and_then(|team| team.rank);
    team.unwrap_or(matched.route.rank)
}

fn unknown_job() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::UnknownJob, "there is no such job")
}

/// The refusal of a call that may or may not have taken effect.
pub(super) fn outcome_unknown() -> RequestRefusal {
    let detail = "the leader of the job group was lost during the call";
    RequestRefusal::new(RefusalReason::ServerSilent, RunVerdict::MayHaveRun, detail)
}

fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(bytes_body(Vec::new()));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    fn zone(name: &str) -> ZoneName {
        ZoneName::try_from(name).expect("it is valid")
    }

    fn area(name: &str) -> AreaName {
        AreaName::try_from(name).expect("it is valid")
    }

    fn areas(zones: &[(&str, &str)]) -> ZoneAreas {
        let zones = zones.iter().map(|(name, of)| (zone(name), area(of)));
        ZoneAreas::new(&zones.collect::<BTreeMap<_, _>>())
    }

    /// A job that was refused with "not run" ran later: an earlier attempt of the same call was
    /// held up on its way to the leader, and found room when it arrived.
    #[test]
    fn a_refusal_is_certain_only_without_an_earlier_attempt() {
        let refusal = |is_repeated| {
            let response = submit_response(SubmitAnswer::NoRoom, is_repeated);
            response.expect_err("it is refused")
        };
        assert_eq!(refusal(false).verdict, RunVerdict::NotRun);
        assert_eq!(refusal(true).verdict, RunVerdict::MayHaveRun);
    }

    /// Guards against bodies that are stored in an area that is neither a home nor that of the
    /// entry host, and against jobs that are refused although every store host is in one.
    #[test]
    fn a_job_is_refused_if_it_would_be_stored_in_an_area_that_is_not_allowed() {
        let two = areas(&[("a", "north"), ("b", "north"), ("c", "south")]);
        let home = BTreeSet::from([area("north")]);
        let refusal = check_storage(&two, &home, &zone("a")).expect_err("it is refused");
        assert_eq!(refusal.verdict, RunVerdict::NotRun);
        assert!(refusal.detail.contains("south"), "{}", refusal.detail);
        assert!(check_storage(&two, &home, &zone("c")).is_ok());
        let both = BTreeSet::from([area("north"), area("south")]);
        assert!(check_storage(&two, &both, &zone("a")).is_ok());
        let one = areas(&[("a", "north"), ("b", "north")]);
        assert!(check_storage(&one, &home, &zone("a")).is_ok());
        // Hosts in zones that the settings do not name are in no area.
        assert!(check_storage(&one, &home, &zone("d")).is_ok());
        assert!(check_storage(&areas(&[]), &home, &zone("a")).is_err());
    }
}
