//! Questions where a request or an item would go, at the leader.

use super::super::question::{PlacementQuestion, PlacementReport, QuestionError, QuestionTarget};
use super::ControlShared;
use crate::leader_client::LeaderClient;
use crate::message::{BatchCall, BatchReply, Call, ControlAnswer, GroupReply, ItemSlot};
use chicoryladder_broker::ExplainedOutcome;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// The time for which the leader of the job group is asked for an item: less than the hosts that
/// relay a question wait for the answer to it.
const JOB_LEADER_WAIT: Duration = Duration::from_millis(350);

impl ControlShared {
    /// Answers a question, without any change.
    pub(super) async fn explain(
        self: &Arc<Self>,
        question: &PlacementQuestion,
    ) -> GroupReply<ControlAnswer> {
        let report = match &question.target {
            QuestionTarget::Item { job, item } => {
                let slot = self.read_item_slot(job, item).await;
                slot.map(|slot| {
                    let (host, now) = (&self.base.settings.host.name, self.now());
                    self.state().explain_item(&slot, host, now)
                })
            }
            QuestionTarget::Path { .. } | QuestionTarget::Service(_) => {
                let settings = &self.base.settings;
                let (host, areas, now) = (&settings.host.name, &settings.areas, self.now());
                self.state().explain_request(question, host, areas, now)
            }
        };
        // A leader that lost its lease meanwhile may have replied with stale state.
        if !self.leads() {
            return self.not_leader();
        }
        self.log_question(question, report.as_ref());
        let report = match report {
            Ok(report) => report,
            Err(error) => return GroupReply::Answer(ControlAnswer::QuestionRefused(error)),
        };
        match serde_json::to_vec(&report) {
            Ok(report) => GroupReply::Answer(ControlAnswer::Explained(report)),
            Err(error) => {
                log::error!("control: failed to encode an explanation: {error}.");
                self.not_leader()
            }
        }
    }

    /// Asks the leader of the job group what the broker would be asked for an item.
    async fn read_item_slot(&self, job: &str, item: &str) -> Result<Box<ItemSlot>, QuestionError> {
        let (leader, hosts) = self.state().job_hosts(self.now());
        let client = LeaderClient::new(self.base.rpc.clone(), self.base.clock.clone(), hosts);
        client.set_leader(leader);
        let call = Call::Batch(BatchCall::ItemSlot {
            job: job.to_owned(),
            item: item.to_owned(),
        });
        let answer = client.call(&call, JOB_LEADER_WAIT, JOB_LEADER_WAIT, true);
        match answer.await.map(|reply| reply.answer) {
            Ok(BatchReply::ItemSlot(Some(slot))) => Ok(slot),
            Ok(BatchReply::ItemSlot(None)) => Err(QuestionError::UnknownItem {
                job: job.to_owned(),
                item: item.to_owned(),
            }),
            Ok(_) | Err(_) => Err(QuestionError::NoJobLeader),
        }
    }

    fn log_question(
        &self,
        question: &PlacementQuestion,
        report: Result<&PlacementReport, &QuestionError>,
    ) {
        let outcome = report.ok().and_then(|report| report.slot.as_ref());
        let outcome = outcome.map(|slot| &slot.outcome);
        let answer = match (report, outcome) {
            (Err(_), _) => "invalid",
            (Ok(_), None) => "unmatched",
            (Ok(_), Some(ExplainedOutcome::Sent { .. })) => "sent",
            (Ok(_), Some(ExplainedOutcome::Queued { .. })) => "queued",
            (Ok(_), Some(ExplainedOutcome::Refused { .. })) => "refused",
        };
        self.metrics.count_question(answer);
        let fields = json!({
            "asked": format!("{:?}", question.target),
            "zone": question.zone,
            "answer": answer,
            "outcome": outcome,
            "plan": report.ok().map(|report| report.plan),
            "cause": report.err().map(ToString::to_string),
        });
        self.log.routine("request_explained", &fields);
    }
}
