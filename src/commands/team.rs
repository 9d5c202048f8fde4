//! `chicoryladder team`.

use super::get::{fetch_fleet, read_fleet};
use crate::access::{OperatorAccess, operator_access};
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options, table};
use bpaf::Bpaf;
use chicoryladder_settings::{FleetDocument, TeamTerms};
use chicoryladder_types::TeamName;
use serde::Serialize;

/// The subcommands of `team`.
#[derive(Clone, Debug, Bpaf)]
#[allow(missing_docs, reason = "bpaf shows them as headings")]
#[bpaf(generate(team_options), ignore_rustdoc)]
pub enum TeamOptions {
    /// List all teams
    #[bpaf(command("list"))]
    List {
        #[bpaf(external(operator_access))]
        access: OperatorAccess,
        #[bpaf(external(output_options))]
        output: OutputOptions,
    },
    /// Show one team
    #[bpaf(command("show"))]
    Show {
        #[bpaf(external(operator_access))]
        access: OperatorAccess,
        #[bpaf(external(output_options))]
        output: OutputOptions,
        /// Name of the team
        #[bpaf(positional("TEAM"))]
        team: String,
    },
}

#[derive(Serialize)]
struct TeamRow {
    team: TeamName,
    rate_per_second: f64,
    burst: u32,
    share: u32,
    serve_through_cut: bool,
}

impl TeamOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::List { access, output } => {
                let rows = all_rows(&read_teams(&access).await?);
                output.print(&rows, |rows| describe(rows))
            }
            Self::Show {
                access,
                output,
                team,
            } => {
                let row = one_row(&read_teams(&access).await?, &team)?;
                output.print(&row, |row| describe(std::slice::from_ref(row)))
            }
        }
    }
}

async fn read_teams(access: &OperatorAccess) -> Result<FleetDocument, CommandError> {
    let client = access.client()?;
    read_fleet(&fetch_fleet(&client).await?)
}

fn all_rows(document: &FleetDocument) -> Vec<TeamRow> {
    document
        .teams
        .iter()
        .map(|(name, terms)| to_row(name, terms))
        .collect()
}

fn one_row(document: &FleetDocument, team: &str) -> Result<TeamRow, CommandError> {
    let found = document
        .teams
        .iter()
        .find(|(name, _)| name.as_str() == team);
    match found {
        Some((name, terms)) => Ok(to_row(name, terms)),
        None => Err(CommandError::failed(format!(
            "the fleet document has no team `{team}`"
        ))),
    }
}

fn to_row(team: &TeamName, terms: &TeamTerms) -> TeamRow {
    TeamRow {
        team: team.clone(),
        rate_per_second: terms.rate.per_second(),
        burst: terms.burst,
        share: terms.share,
        serve_through_cut: terms.serve_through_cut,
    }
}

fn describe(rows: &[TeamRow]) -> String {
    let cells = |row: &TeamRow| {
        let through_cut = if row.serve_through_cut { "yes" } else { "no" };
        vec![
            row.team.to_string(),
            row.rate_per_second.to_string(),
            row.burst.to_string(),
            row.share.to_string(),
            through_cut.to_owned(),
        ]
    };
    let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
    table(&["TEAM", "RATE", "BURST", "SHARE", "THROUGH CUT"], &rows)
}
