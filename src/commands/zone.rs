//! `chicoryladder zone`.

use super::apply::{describe_propagation, require_in_force};
use crate::access::{OperatorAccess, operator_access};
use crate::client::ApiRequest;
use crate::error::CommandError;
use crate::operation::{chosen_or_random, parse_id};
use crate::output::{OutputOptions, output_options, table};
use bpaf::Bpaf;
use chicoryladder_types::admin::{ZoneDrainAnswer, ZoneDrainRequest, ZoneEntry, ZonesAnswer};
use chicoryladder_types::{OperationId, ZoneName};
use hyper::Method;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The subcommands of `zone`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(zone_options), ignore_rustdoc)]
pub enum ZoneOptions {
    /// Send nothing more to the servers of a zone; running requests go on
    #[bpaf(command("drain"))]
    Drain(#[bpaf(external(order_options))] OrderOptions),
    /// Use the servers of a drained zone again
    #[bpaf(command("undrain"))]
    Undrain(#[bpaf(external(order_options))] OrderOptions),
    /// List the zones, and who drained them and when
    #[bpaf(command("list"))]
    List(#[bpaf(external(list_options))] ListOptions),
}

/// The options of `zone drain` and `zone undrain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(order_options), ignore_rustdoc)]
pub struct OrderOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Id of the operation; repeat it to resend safely after a lost response
    #[bpaf(long("operation-id"), argument::<String>("ID"), parse(parse_id), optional)]
    operation_id: Option<OperationId>,
    /// Name of the zone
    #[bpaf(positional::<String>("ZONE"), parse(parse_zone))]
    zone: ZoneName,
}

/// The options of `zone list`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(list_options), ignore_rustdoc)]
pub struct ListOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
}

fn parse_zone(text: String) -> Result<ZoneName, String> {
    ZoneName::try_from(text).map_err(|error| error.to_string())
}

impl ZoneOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Drain(options) => options.run(true).await,
            Self::Undrain(options) => options.run(false).await,
            Self::List(options) => options.run().await,
        }
    }
}

impl OrderOptions {
    async fn run(&self, drained: bool) -> Result<(), CommandError> {
        let operation_id = chosen_or_random(self.operation_id.as_ref())?;
        let order = ZoneDrainRequest {
            drained,
            operation_id: Some(operation_id.clone()),
        };
        let client = self.access.client()?;
        let path = format!("/admin/v1/zones/{}", self.zone);
        let request = ApiRequest::new(Method::PUT, &path).with_json(&order)?;
        let answer: ZoneDrainAnswer = match client.call(&request).await {
            Err(CommandError::Unreachable { detail, .. }) => {
                let remedy = format!("send it again with --operation-id {operation_id}");
                return Err(CommandError::Unreachable { detail, remedy });
            }
            other => other?,
        };
        self.output.print(&answer, describe_order)?;
        require_in_force(&answer.propagation)
    }
}

impl ListOptions {
    async fn run(&self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let request = ApiRequest::new(Method::GET, "/admin/v1/zones");
        let answer: ZonesAnswer = client.call(&request).await?;
        self.output
            .print(&answer, |answer| describe(&answer.zones, SystemTime::now()))
    }
}

fn describe_order(answer: &ZoneDrainAnswer) -> String {
    let state = if answer.drained {
        "drained"
    } else {
        "not drained"
    };
    let propagation = describe_propagation(&answer.propagation);
    format!("zone {} is {state}, {propagation}", answer.zone)
}

fn describe(zones: &[ZoneEntry], now: SystemTime) -> String {
    let headings = ["ZONE", "STATE", "HOSTS", "SERVERS", "ASKED BY", "SINCE"];
    let rows: Vec<Vec<String>> = zones.iter().map(|entry| cells(entry, now)).collect();
    table(&headings, &rows)
}

fn cells(entry: &ZoneEntry, now: SystemTime) -> Vec<String> {
    let state = if entry.drained { "drained" } else { "in use" };
    let asked_by = entry.asked_by.map(|address| address.to_string());
    let since = entry.since_ms.map(|since_ms| {
        let since = UNIX_EPOCH + Duration::from_millis(since_ms);
        let age = now.duration_since(since).unwrap_or_default();
        format!("{} s ago", age.as_secs())
    });
    vec![
        entry.zone.to_string(),
        state.to_owned(),
        entry.hosts.to_string(),
        entry.servers.to_string(),
        asked_by.unwrap_or_else(|| "-".to_owned()),
        since.unwrap_or_else(|| "-".to_owned()),
    ]
}
