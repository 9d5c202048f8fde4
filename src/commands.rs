//! The command line of `chicoryladder`, with one module for each subcommand.
//!
//! The exit codes are those of [`CommandExit`]; `docs/operators/commands.md`
//! lists them.

pub mod apply;
pub mod demo;
pub mod diff;
pub mod explain;
pub mod get;
pub mod job;
pub mod key;
pub mod load;
pub mod members;
pub mod seats;
pub mod servers;
pub mod standin;
pub mod status;
pub mod team;
pub mod where_to;
pub mod zone;

use crate::error::{CommandError, CommandExit};
use bpaf::{Bpaf, ParseFailure};
use std::process::ExitCode;

/// Operate a chicoryladder fleet and use it
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    generate(command_options),
    footer(
        "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid file, 4 conflict, 5 refused, 6 no host answered, 7 not complete yet, 8 differences, 9 failed items."
    )
)]
pub enum Command {
    /// Apply a fleet document
    #[bpaf(command("apply"))]
    Apply(#[bpaf(external(apply::apply_options))] apply::ApplyOptions),
    /// Print the fleet document in force
    #[bpaf(command("get"))]
    Get(#[bpaf(external(get::get_options))] get::GetOptions),
    /// Compare a fleet document with the one in force
    #[bpaf(command("diff"))]
    Diff(#[bpaf(external(diff::diff_options))] diff::DiffOptions),
    /// Trace a request, job or item through the logs of processes
    #[bpaf(command("explain"))]
    Explain(#[bpaf(external(explain::explain_options))] explain::ExplainOptions),
    /// Tell where a request or an item would go now, without sending it
    #[bpaf(command("where"))]
    Where(#[bpaf(external(where_to::where_options))] where_to::WhereOptions),
    /// Grant, withdraw and list callers' keys
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key::key_options))] key::KeyOptions),
    /// Show the teams of the fleet document
    #[bpaf(command("team"))]
    Team(#[bpaf(external(team::team_options))] team::TeamOptions),
    /// Submit, watch, read and cancel batch jobs
    #[bpaf(command("job"))]
    Job(#[bpaf(external(job::job_options))] job::JobOptions),
    /// Show which classes are on target
    #[bpaf(command("status"))]
    Status(#[bpaf(external(status::status_options))] status::StatusOptions),
    /// List the entry hosts
    #[bpaf(command("members"))]
    Members(#[bpaf(external(members::members_options))] members::MembersOptions),
    /// List and change the seats of the consensus group
    #[bpaf(command("seats"))]
    Seats(#[bpaf(external(seats::seats_options))] seats::SeatsOptions),
    /// List the backend servers
    #[bpaf(command("servers"))]
    Servers(#[bpaf(external(servers::servers_options))] servers::ServersOptions),
    /// Drain the servers of availability zones
    #[bpaf(command("zone"))]
    Zone(#[bpaf(external(zone::zone_options))] zone::ZoneOptions),
    /// Run online and batch work on three entry hosts in one process and inject faults
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo::demo_options))] demo::DemoOptions),
    /// Measure a fleet under open-loop load
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load::load_options))] load::LoadOptions),
    /// Run stand-in backend servers
    #[bpaf(command("standin"))]
    Standin(#[bpaf(external(standin::standin_options))] standin::StandinOptions),
}

impl Command {
    async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Apply(options) => options.run().await,
            Self::Get(options) => options.run().await,
            Self::Diff(options) => options.run().await,
            Self::Explain(options) => options.run(),
            Self::Where(options) => options.run().await,
            Self::Key(options) => options.run().await,
            Self::Team(options) => options.run().await,
            Self::Job(options) => options.run().await,
            Self::Status(options) => options.run().await,
            Self::Members(options) => options.run().await,
            Self::Seats(options) => options.run().await,
            Self::Servers(options) => options.run().await,
            Self::Zone(options) => options.run().await,
            Self::Demo(options) => options.run().await,
            Self::Load(options) => options.run().await,
            Self::Standin(options) => options.run().await,
        }
    }
}

/// Line width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// Parses the command line, runs the command and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    match command_options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => run_command(command).into(),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            exit_of(&failure).into()
        }
    }
}

fn exit_of(failure: &ParseFailure) -> CommandExit {
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => CommandExit::Done,
        ParseFailure::Stderr(_) => CommandExit::Usage,
    }
}

fn run_command(command: Command) -> CommandExit {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(command.run()),
        Err(error) => Err(CommandError::failed(error.to_string())),
    };
    result.map_or_else(CommandError::report, |()| CommandExit::Done)
}
