//! `chicoryladder get`.

use crate::access::{OperatorAccess, operator_access};
use crate::client::{ApiClient, ApiRequest};
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options};
use bpaf::Bpaf;
use chicoryladder_settings::FleetDocument;
use chicoryladder_types::admin::FleetAnswer;
use hyper::Method;

/// The options of `get`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(get_options), ignore_rustdoc)]
pub struct GetOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
}

impl GetOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let answer = fetch_fleet(&client).await?;
        self.output.print(&answer, |answer| {
            format!("# revision {}\n{}", answer.revision, answer.document)
        })
    }
}

/// Fetches the fleet document in force from the first host that responds.
pub(super) async fn fetch_fleet(client: &ApiClient) -> Result<FleetAnswer, CommandError> {
    let request = ApiRequest::new(Method::GET, "/admin/v1/fleet");
    client.call(&request).await
}

/// Parses the fleet document of a response.
pub(super) fn read_fleet(answer: &FleetAnswer) -> Result<FleetDocument, CommandError> {
    let name = format!("revision {}", answer.revision);
    Ok(FleetDocument::parse(&name, &answer.document)?)
}
