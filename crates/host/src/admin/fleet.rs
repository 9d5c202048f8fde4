//! The fleet document in the administration API.

use super::answers::{FleetAnswer, PutFleetAnswer, PutFleetBody};
use super::{AdminService, parse_body};
use crate::replica::ProposeError;
use chicoryladder_gateway::{AdminAnswer, AnswerBody, json_answer};
use chicoryladder_settings::FleetDocument;
use chicoryladder_state::{ApplyDocument, FleetCommand, FleetOutcome};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{FleetRevision, OperationId};
use hyper::Response;

impl AdminService {
    pub(super) fn get_fleet(&self) -> Response<AnswerBody> {
        let view = self.replica.view();
        let answer = FleetAnswer {
            revision: view.revision.0,
            document: view.document.to_string(),
        };
        json_answer(200, &answer)
    }

    pub(super) async fn put_fleet(&self, body: &[u8]) -> AdminAnswer {
        let body: PutFleetBody = parse_body(body)?;
        let document = FleetDocument::parse("document", &body.document).map_err(|report| {
            RequestRefusal::not_run(RefusalReason::BadRequest, report.to_lines())
        })?;
        let command = FleetCommand::ApplyDocument(ApplyDocument {
            text: document.to_string(),
            expected_revision: FleetRevision(body.expected_revision),
            operation_id: self.operation_id(body.operation_id)?,
            host: self.host.clone(),
        });
        let outcome = self.replica.propose_fleet(command).await;
        match outcome.map_err(ProposeError::refusal)? {
            FleetOutcome::Accepted { revision } => {
                let answer = PutFleetAnswer {
                    revision: revision.0,
                };
                Ok(json_answer(200, &answer))
            }
            outcome => Err(refused(&outcome)),
        }
    }

    /// The operation id of the operator, or a new one.
    pub(super) fn operation_id(&self, told: Option<String>) -> Result<OperationId, RequestRefusal> {
        match told {
            Some(text) => OperationId::try_from(text).map_err(|error| {
                RequestRefusal::not_run(RefusalReason::BadRequest, error.to_string())
            }),
            None => self.ids.operation().ok_or_else(|| {
                let detail = "no operation id could be drawn";
                RequestRefusal::not_run(RefusalReason::BadRequest, detail)
            }),
        }
    }
}

pub(super) fn refused(outcome: &FleetOutcome) -> RequestRefusal {
    let (reason, detail) = match outcome {
        FleetOutcome::Conflict {
            expected,
            current,
            winner,
            winner_host,
        } => {
            let winner = winner.as_ref().map_or("none", OperationId::as_str);
            let host = winner_host.as_ref().map_or("no host", HostName::as_str);
            let detail = format!(
                "revision {current} is in force, not {expected}; operation {winner} by {host} set it"
            );
            (RefusalReason::RevisionConflict, detail)
        }
        FleetOutcome::Malformed { faults } => (RefusalReason::BadRequest, faults.clone()),
        FleetOutcome::NotGranted { refusal } => (RefusalReason::BadRequest, refusal.to_string()),
        FleetOutcome::OperationReused => (
            RefusalReason::KeyReused,
            "the operation id was used for another operation".to_owned(),
        ),
        FleetOutcome::Accepted { .. }
        | FleetOutcome::Granted { .. }
        | FleetOutcome::Withdrawn { .. }
        | FleetOutcome::AlreadyApplied => {
            (RefusalReason::BadRequest, "unexpected outcome".to_owned())
        }
    };
    RequestRefusal::not_run(reason, detail)
}
