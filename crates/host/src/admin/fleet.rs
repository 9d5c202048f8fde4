//! The `fleet` resource of the administration API: the fleet document.

use super::{AdminService, parse_body};
use crate::replica::ProposeError;
use chicoryladder_gateway::{AdminAnswer, AnswerBody, json_answer};
use chicoryladder_settings::FleetDocument;
use chicoryladder_state::{ApplyDocument, FleetCommand, FleetOutcome, PropagationGoal};
use chicoryladder_types::OperationId;
use chicoryladder_types::admin::{
    ApplyAnswer, ApplyRequest, ConflictAnswer, FleetAnswer, PropagationReport,
};
use chicoryladder_types::prelude::*;
use hyper::Response;
use serde::Serialize;

/// A revision conflict in the public error format, with the operation that won.
#[derive(Serialize)]
struct ConflictBody {
    error: ConflictError,
}

#[derive(Serialize)]
struct ConflictError {
    message: String,
    r#type: &'static str,
    code: &'static str,
    verdict: &'static str,
    conflict: ConflictAnswer,
}

impl AdminService {
    pub(super) fn get_fleet(&self) -> Response<AnswerBody> {
        let view = self.replica.view();
        let answer = FleetAnswer {
            revision: view.revision,
            document: view.document.to_string(),
        };
        json_answer(200, &answer)
    }

    /// Proposes a document and waits until every host applies it.
    pub(super) async fn put_fleet(&self, body: &[u8]) -> AdminAnswer {
        let request: ApplyRequest = parse_body(body)?;
        let document = FleetDocument::parse("document", &request.document).map_err(|report| {
            RequestRefusal::not_run(RefusalReason::BadRequest, report.to_lines())
        })?;
        let command = FleetCommand::ApplyDocument(ApplyDocument {
            text: document.to_string(),
            expected_revision: request.expected_revision,
            operation_id: self.operation_id(request.operation_id)?,
            host: self.host.clone(),
        });
        let outcome = self.replica.propose_fleet(command).await;
        match outcome.map_err(ProposeError::refusal)? {
            FleetOutcome::Accepted { revision } => {
                log::info!("admin: accepted revision {revision} of the fleet document.");
                let propagation = self.wait_until_applied().await;
                Ok(json_answer(
                    200,
                    &ApplyAnswer {
                        revision,
                        propagation,
                    },
                ))
            }
            FleetOutcome::Conflict {
                expected,
                current,
                winner,
                winner_host,
            } => Ok(conflict_answer(ConflictAnswer {
                expected_revision: expected,
                current_revision: current,
                winner,
                winner_host,
            })),
            outcome => Err(refused(&outcome)),
        }
    }

    /// The operation id from the request, or a random one.
    pub(super) fn operation_id(
        &self,
        supplied: Option<OperationId>,
    ) -> Result<OperationId, RequestRefusal> {
        supplied.or_else(|| self.ids.operation()).ok_or_else(|| {
            let detail = "no operation id could be drawn";
            RequestRefusal::not_run(RefusalReason::BadRequest, detail)
        })
    }

    /// Waits until every host has applied what this host has applied now.
    ///
    /// A proposal returns only once its command is applied on this host, so the
    /// position includes that command.
    pub(super) async fn wait_until_applied(&self) -> PropagationReport {
        let applied = self.replica.view().applied;
        self.wait_for_propagation(|_| PropagationGoal::Applied(applied))
            .await
    }
}

fn conflict_answer(conflict: ConflictAnswer) -> Response<AnswerBody> {
    let reason = RefusalReason::RevisionConflict;
    let message = format!(
        "revision {} is in force, not {}",
        conflict.current_revision, conflict.expected_revision
    );
    let body = ConflictBody {
        error: ConflictError {
            message,
            r#type: "invalid_request_error",
            code: reason.as_str(),
            verdict: RunVerdict::NotRun.as_str(),
            conflict,
        },
    };
    json_answer(reason.status(), &body)
}

pub(super) fn refused(outcome: &FleetOutcome) -> RequestRefusal {
    let (reason, detail) = match outcome {
        FleetOutcome::Malformed { faults } => (RefusalReason::BadRequest, faults.clone()),
        FleetOutcome::NotGranted { refusal } => (RefusalReason::BadRequest, refusal.to_string()),
        FleetOutcome::OperationReused => (
            RefusalReason::KeyReused,
            "the operation id was used for another operation".to_owned(),
        ),
        FleetOutcome::Accepted { .. }
        | FleetOutcome::Conflict { .. }
        | FleetOutcome::Granted { .. }
        | FleetOutcome::Withdrawn { .. }
        | FleetOutcome::Claimed(_)
        | FleetOutcome::Settled
        | FleetOutcome::ZoneDrainSet
        | FleetOutcome::AlreadyApplied => {
            (RefusalReason::BadRequest, "unexpected outcome".to_owned())
        }
    };
    RequestRefusal::not_run(reason, detail)
}
