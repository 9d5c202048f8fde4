//! `chicoryladder key`.

use super::apply::{describe_propagation, require_in_force};
use crate::access::{OperatorAccess, operator_access};
use crate::client::ApiRequest;
use crate::error::CommandError;
use crate::operation::{chosen_or_random, parse_id};
use crate::output::{OutputOptions, output_options, table};
use bpaf::Bpaf;
use chicoryladder_state::KeyId;
use chicoryladder_types::admin::{GrantAnswer, GrantRequest, KeyEntry, KeysAnswer, WithdrawAnswer};
use chicoryladder_types::{OperationId, TeamName};
use hyper::Method;

/// The subcommands of `key`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(key_options), ignore_rustdoc)]
pub enum KeyOptions {
    /// Grant a key to a team and print it; it cannot be shown again
    #[bpaf(command("grant"))]
    Grant(#[bpaf(external(grant_options))] GrantOptions),
    /// Withdraw a key permanently
    #[bpaf(command("withdraw"))]
    Withdraw(#[bpaf(external(withdraw_options))] WithdrawOptions),
    /// List all keys
    #[bpaf(command("list"))]
    List(#[bpaf(external(list_options))] ListOptions),
}

/// The options of `key grant`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(grant_options), ignore_rustdoc)]
pub struct GrantOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Id of the operation; repeat it to resend safely after a lost response
    #[bpaf(long("operation-id"), argument::<String>("ID"), parse(parse_id), optional)]
    operation_id: Option<OperationId>,
    /// Team that the key belongs to
    #[bpaf(positional::<String>("TEAM"), parse(parse_team))]
    team: TeamName,
}

/// The options of `key withdraw`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(withdraw_options), ignore_rustdoc)]
pub struct WithdrawOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Id of the key: the 16 digits after `ck_`
    #[bpaf(positional::<String>("ID"), parse(parse_key_id))]
    key_id: KeyId,
}

/// The options of `key list`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(list_options), ignore_rustdoc)]
pub struct ListOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
}

fn parse_team(text: String) -> Result<TeamName, String> {
    TeamName::try_from(text).map_err(|error| error.to_string())
}

#[allow(clippy::needless_pass_by_value, reason = "bpaf passes a value")]
fn parse_key_id(text: String) -> Result<KeyId, String> {
    KeyId::try_from(text.as_str()).map_err(|error| error.to_string())
}

impl KeyOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Grant(options) => options.run().await,
            Self::Withdraw(options) => options.run().await,
            Self::List(options) => options.run().await,
        }
    }
}

impl GrantOptions {
    async fn run(&self) -> Result<(), CommandError> {
        let operation_id = chosen_or_random(self.operation_id.as_ref())?;
        let grant = GrantRequest {
            team: self.team.clone(),
            operation_id: Some(operation_id.clone()),
        };
        let client = self.access.client()?;
        let request = ApiRequest::new(Method::POST, "/admin/v1/keys").with_json(&grant)?;
        let answer: GrantAnswer = match client.call(&request).await {
            Err(CommandError::Unreachable { detail, .. }) => {
                let remedy = format!("send it again with --operation-id {operation_id}");
                return Err(CommandError::Unreachable { detail, remedy });
            }
            other => other?,
        };
        self.output.print(&answer, |answer| answer.key.clone())?;
        require_in_force(&answer.propagation)
    }
}

impl WithdrawOptions {
    async fn run(&self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let path = format!("/admin/v1/keys/{}", self.key_id);
        let request = ApiRequest::new(Method::DELETE, &path);
        let answer: WithdrawAnswer = client.call(&request).await?;
        self.output.print(&answer, describe_withdrawal)?;
        require_in_force(&answer.propagation)
    }
}

impl ListOptions {
    async fn run(&self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let request = ApiRequest::new(Method::GET, "/admin/v1/keys");
        let answer: KeysAnswer = client.call(&request).await?;
        self.output
            .print(&answer, |answer| describe_keys(&answer.keys))
    }
}

fn describe_withdrawal(answer: &WithdrawAnswer) -> String {
    let propagation = describe_propagation(&answer.propagation);
    let logged = if answer.logged {
        "logged"
    } else {
        "not yet logged"
    };
    let mut text = format!(
        "key {} is withdrawn, {logged}, {propagation}",
        answer.key_id
    );
    if !answer.propagation.in_force {
        text.push_str(&describe_bound(answer.stops_within_ms));
    }
    text
}

fn describe_bound(stops_within_ms: Option<u64>) -> String {
    match stops_within_ms {
        Some(millis) => format!("; hosts not heard from stop accepting the key within {millis} ms"),
        None => "; hosts not heard from may accept the key until they are reached".to_owned(),
    }
}

fn describe_keys(keys: &[KeyEntry]) -> String {
    let row = |entry: &KeyEntry| {
        let team = entry.team.as_ref().map_or("-", |team| team.as_str());
        let state = if entry.withdrawn {
            "withdrawn"
        } else {
            "granted"
        };
        vec![entry.key_id.clone(), team.to_owned(), state.to_owned()]
    };
    let rows: Vec<Vec<String>> = keys.iter().map(row).collect();
    table(&["KEY", "TEAM", "STATE"], &rows)
}
