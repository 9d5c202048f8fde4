//! `chicoryladder apply`.

use super::diff::{describe, read_document};
use super::get::{fetch_fleet, read_fleet};
use crate::access::{OperatorAccess, operator_access};
use crate::client::{ApiClient, ApiRequest};
use crate::error::CommandError;
use crate::operation::{chosen_or_random, parse_id};
use crate::output::{OutputOptions, output_options};
use bpaf::Bpaf;
use chicoryladder_settings::FleetDocument;
use chicoryladder_types::admin::{ApplyAnswer, ApplyRequest, PropagationReport};
use chicoryladder_types::{FleetRevision, OperationId};
use hyper::Method;
use std::path::PathBuf;

/// The options of `apply`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(apply_options), ignore_rustdoc)]
pub struct ApplyOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Revision that the document replaces; default: the one in force
    #[bpaf(long("expected-revision"), argument("NUMBER"))]
    expected_revision: Option<u64>,
    /// Id of the operation; repeat it to resend safely after a lost response
    #[bpaf(long("operation-id"), argument::<String>("ID"), parse(parse_id), optional)]
    operation_id: Option<OperationId>,
    /// Fleet document
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl ApplyOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let document = read_document(&self.file)?;
        let client = self.access.client()?;
        let expected_revision = self.expected_revision(&client, &document).await?;
        let operation_id = chosen_or_random(self.operation_id.as_ref())?;
        let request = ApplyRequest {
            document: document.to_string(),
            expected_revision,
            operation_id: Some(operation_id.clone()),
        };
        let answer = put_fleet(&client, &request, &operation_id).await?;
        self.output.print(&answer, describe_answer)?;
        require_in_force(&answer.propagation)
    }

    /// Returns the revision to replace. If it was not given, it is fetched, and the
    /// text output lists the changes to that revision.
    async fn expected_revision(
        &self,
        client: &ApiClient,
        document: &FleetDocument,
    ) -> Result<FleetRevision, CommandError> {
        if let Some(revision) = self.expected_revision {
            return Ok(FleetRevision(revision));
        }
        let in_force = fetch_fleet(client).await?;
        if self.output.is_text() {
            println!("{}", describe(&read_fleet(&in_force)?.diff(document)));
        }
        Ok(in_force.revision)
    }
}

async fn put_fleet(
    client: &ApiClient,
    request: &ApplyRequest,
    operation_id: &OperationId,
) -> Result<ApplyAnswer, CommandError> {
    let message = ApiRequest::new(Method::PUT, "/admin/v1/fleet").with_json(request)?;
    let result = client.call(&message).await;
    if let Err(CommandError::Unreachable { detail, .. }) = result {
        let remedy = format!(
            "send it again with --expected-revision {} --operation-id {operation_id}",
            request.expected_revision
        );
        return Err(CommandError::Unreachable { detail, remedy });
    }
    result
}

fn describe_answer(answer: &ApplyAnswer) -> String {
    let propagation = describe_propagation(&answer.propagation);
    format!("revision {} is accepted and {propagation}", answer.revision)
}

/// Describes which hosts have not yet confirmed a change.
pub(super) fn describe_propagation(propagation: &PropagationReport) -> String {
    if propagation.in_force {
        return "in force on every host".to_owned();
    }
    let hosts = propagation.hosts_not_heard.iter();
    let hosts = hosts.map(|location| format!("{} ({})", location.host, location.zone));
    let contacts = propagation
        .contacts_not_heard
        .iter()
        .map(ToString::to_string);
    let missing: Vec<String> = hosts.chain(contacts).collect();
    format!("not heard from yet: {}", missing.join(", "))
}

/// Returns an error if a change is not yet in force on every host.
pub(super) fn require_in_force(propagation: &PropagationReport) -> Result<(), CommandError> {
    if propagation.in_force {
        return Ok(());
    }
    Err(CommandError::Incomplete {
        message: "the change is accepted, but not yet in force everywhere".to_owned(),
        remedy: "it propagates in the background; `chicoryladder members` shows the position of each host"
            .to_owned(),
    })
}
