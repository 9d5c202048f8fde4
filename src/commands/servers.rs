//! `chicoryladder servers`.

use crate::access::{OperatorAccess, operator_access};
use crate::client::ApiRequest;
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options, table};
use bpaf::Bpaf;
use chicoryladder_types::admin::{ServerEntry, ServersAnswer};
use hyper::Method;

/// The options of `servers`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(servers_options), ignore_rustdoc)]
pub struct ServersOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
}

impl ServersOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let request = ApiRequest::new(Method::GET, "/admin/v1/servers");
        let answer: ServersAnswer = client.call(&request).await?;
        self.output
            .print(&answer, |answer| describe(&answer.servers))
    }
}

fn describe(servers: &[ServerEntry]) -> String {
    let headings = ["SERVER", "ZONE", "ADDRESS", "STATE", "IN FLIGHT", "SLOTS"];
    let rows: Vec<Vec<String>> = servers.iter().map(cells).collect();
    table(&headings, &rows)
}

fn cells(entry: &ServerEntry) -> Vec<String> {
    let state = match (entry.live, entry.leaving) {
        (true, false) => "live",
        (true, true) => "leaving",
        (false, _) => "not heard",
    };
    vec![
        entry.server.to_string(),
        entry.zone.to_string(),
        entry.address.clone(),
        state.to_owned(),
        entry.in_flight.to_string(),
        entry.slots.to_string(),
    ]
}
