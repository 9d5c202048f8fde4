//! `chicoryladder where`: where a request or an item would go now, and why.
//!
//! Nothing is sent to a server. The leader of the control group decides on the question by the
//! code that decides on requests, and changes nothing.

use crate::access::{ControlAccess, control_access};
use crate::client::ApiRequest;
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options, table};
use bpaf::Bpaf;
use chicoryladder_broker::{
    BindingLimits, CandidateFigures, ExplainedOutcome, QuarantineStanding, ServerObstacle,
    SlotExplanation,
};
use chicoryladder_roles::{PlacementMatch, PlacementReport};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{RefusalReason, ServiceName};
use hyper::{Method, Uri};
use std::fmt::Write;

/// The options of `where`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(where_options), ignore_rustdoc)]
pub struct WhereOptions {
    #[bpaf(external(control_access))]
    access: ControlAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
    #[bpaf(external(where_caller), optional)]
    caller: Option<WhereCaller>,
    /// Zone of the entry host; default is that of the host that is asked
    #[bpaf(argument("ZONE"), optional)]
    zone: Option<ZoneName>,
    /// Tokens of the prompt and the longest possible output
    #[bpaf(argument("COUNT"), optional)]
    tokens: Option<u64>,
    /// Segments of the prompt, as ID:TOKENS with hexadecimal ids, separated by commas
    #[bpaf(argument("SEGMENTS"), optional)]
    segments: Option<String>,
    /// Id of the request, by which routes to several services choose one
    #[bpaf(argument("ID"), optional)]
    id: Option<String>,
    #[bpaf(external(where_target))]
    target: WhereTarget,
}

/// Who would send the request.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
enum WhereCaller {
    Team(
        /// Team of the caller
        #[bpaf(long("team"), argument("TEAM"))]
        TeamName,
    ),
    Key(
        /// File that contains the caller's key
        #[bpaf(long("key-file"), argument("FILE"))]
        std::path::PathBuf,
    ),
}

/// What would be sent.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
enum WhereTarget {
    Route {
        /// HTTP host name of the request
        #[bpaf(argument("HOST"))]
        host: String,
        /// Path of the request
        #[bpaf(argument("PATH"), guard(is_path, "a path begins with a slash"))]
        path: String,
        /// Service, if the route leads to several
        #[bpaf(argument("SERVICE"), optional)]
        service: Option<ServiceName>,
    },
    Service {
        /// Service of a request on the first route that leads to it
        #[bpaf(argument("SERVICE"))]
        service: ServiceName,
    },
    Item {
        /// Batch job
        #[bpaf(argument("JOB"))]
        job: String,
        /// Item of the job that has no result yet
        #[bpaf(argument("ITEM"))]
        item: String,
    },
}

#[allow(clippy::ptr_arg, reason = "bpaf passes a reference")]
fn is_path(path: &String) -> bool {
    path.starts_with('/')
}

impl WhereOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let key_file = match &self.caller {
            Some(WhereCaller::Key(file)) => Some(file.as_path()),
            Some(WhereCaller::Team(_)) | None => None,
        };
        let client = self.access.client(key_file)?;
        let path = self.path()?;
        let request = ApiRequest::new(Method::GET, &path);
        let report = client.call(&request).await;
        let report: PlacementReport = report.map_err(|error| match error {
            CommandError::Refused {
                status,
                code,
                message,
                ..
            } if code == RefusalReason::NoQuorum.as_str() => CommandError::Refused {
                status,
                code,
                message,
                remedy: "ask again, or ask another control host",
            },
            error => error,
        })?;
        self.output.print(&report, describe)
    }

    /// The path and query of the question.
    fn path(&self) -> Result<String, CommandError> {
        let mut path = match &self.target {
            WhereTarget::Route { host, path, .. } => {
                let path = path.split('?').next().unwrap_or_default();
                format!("/explain/route/{host}{path}")
            }
            WhereTarget::Service { service } => format!("/explain/service/{service}"),
            WhereTarget::Item { job, item } => format!("/explain/item/{job}/{item}"),
        };
        let service = match &self.target {
            WhereTarget::Route { service, .. } => service.as_ref().map(ToString::to_string),
            WhereTarget::Service { .. } | WhereTarget::Item { .. } => None,
        };
        let team = match &self.caller {
            Some(WhereCaller::Team(team)) => Some(team.to_string()),
            Some(WhereCaller::Key(_)) | None => None,
        };
        let parameters = [
            ("team", team),
            ("zone", self.zone.as_ref().map(ToString::to_string)),
            ("tokens", self.tokens.map(|tokens| tokens.to_string())),
            ("segments", self.segments.clone()),
            ("id", self.id.clone()),
            ("service", service),
        ];
        let mut separator = '?';
        for (name, value) in parameters {
            if let Some(value) = value {
                // Writing to a string cannot fail.
                let _ = write!(path, "{separator}{name}={value}");
                separator = '&';
            }
        }
        // A fragment would be cut off silently.
        if path.contains('#') || path.parse::<Uri>().is_err() {
            let message = format!("the question cannot be put into a URL: {path}");
            return Err(CommandError::failed(message));
        }
        Ok(path)
    }
}

fn describe(report: &PlacementReport) -> String {
    let mut lines = vec![format!(
        "plan {}, as decided by {}, which has led for {} ms",
        report.plan, report.leader, report.leads_for_ms
    )];
    if let Some(found) = &report.r#match {
        lines.push(describe_match(found, report));
    }
    if let Some(refused) = &report.refused {
        lines.push(format!(
            "would be refused: {} ({})",
            refused.detail, refused.reason
        ));
    }
    if let Some(slot) = &report.slot {
        lines.push(describe_outcome(&slot.outcome));
        lines.push(describe_limits(&slot.limits));
        lines.push(describe_load(slot));
        lines.push(describe_candidates(slot));
    }
    lines.join("\n")
}

fn describe_match(found: &PlacementMatch, report: &PlacementReport) -> String {
    let subject = match &report.item_state {
        Some(state) => format!("{state} item"),
        None => "request".to_owned(),
    };
    let team = found.team.as_ref();
    let team = team.map_or_else(
        || "without a team".to_owned(),
        |team| format!("of team {team}"),
    );
    let share = |target: &chicoryladder_roles::TargetShare| {
        format!("{} (weight {})", target.service, target.weight)
    };
    let several = if found.targets.len() > 1 {
        let shares: Vec<String> = found.targets.iter().map(share).collect();
        format!(", one of {}", shares.join(", "))
    } else {
        String::new()
    };
    format!(
        "{subject} {team} on route {} ({}), rank {}, from {}, for service {}{several}",
        found.route, found.kind, found.rank, report.zone, found.service
    )
}

fn describe_outcome(outcome: &ExplainedOutcome) -> String {
    match outcome {
        ExplainedOutcome::Sent {
            server,
            preempts_item: false,
        } => format!("would be sent to {server}"),
        ExplainedOutcome::Sent { server, .. } => {
            format!("would be sent to {server}, in the slot of an item that gives way")
        }
        ExplainedOutcome::Queued {
            predicted_wait_ms,
            wait_max_ms,
            is_late,
            is_undecided,
        } => {
            let wait = predicted_wait_ms.map(|wait| format!(" for about {wait} ms"));
            let late = if *is_late { ", beyond its target" } else { "" };
            let undecided = if *is_undecided {
                ", until it is known what else ran as servers crashed under it"
            } else {
                ""
            };
            let wait = wait.unwrap_or_default();
            format!("would be queued{wait}, at most {wait_max_ms} ms{late}{undecided}")
        }
        ExplainedOutcome::Refused {
            reason,
            retry_after_ms,
        } => format!(
            "would be refused: {}, retry after {retry_after_ms} ms",
            reason.as_str()
        ),
    }
}

fn describe_limits(limits: &BindingLimits) -> String {
    let rate = limits.rate.map_or_else(
        || "none".to_owned(),
        |rate| {
            let wait = rate.wait_ms.map(|wait| format!(", next in {wait} ms"));
            format!(
                "{}/s with burst {}, {:.1} available{}",
                rate.per_second,
                rate.burst,
                rate.available,
                wait.unwrap_or_default()
            )
        },
    );
    let quarantine = match limits.quarantine {
        QuarantineStanding::Clear => "clear",
        QuarantineStanding::Trial => "the next trial of a held segment",
        QuarantineStanding::Refused => "refused",
    };
    let homes = limits.homes.as_ref();
    let homes = homes.map_or_else(|| "all areas".to_owned(), join);
    let drained = if limits.drained_zones.is_empty() {
        "none".to_owned()
    } else {
        join(&limits.drained_zones)
    };
    let version = limits.version.as_ref();
    let version = version.map_or("any", |version| version.as_str());
    format!(
        "limits: rate {rate}; quarantine {quarantine}; homes {homes}; drained zones {drained}; version {version}"
    )
}

fn join<T: ToString>(names: impl IntoIterator<Item = T>) -> String {
    let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
    names.join(", ")
}

fn describe_load(slot: &SlotExplanation) -> String {
    let load = &slot.load;
    let mut text = format!(
        "load: {} running, {} slots, {} waiting; a run holds its slot for {} ms",
        load.running, load.slots, load.waiting, load.hold_ms
    );
    if slot.uses_targets {
        text.push_str("; requests compete by their targets");
    }
    text
}

fn describe_candidates(slot: &SlotExplanation) -> String {
    let cost = if slot.weighs_speed { "COST MS" } else { "COST" };
    let headings = [
        "SERVER",
        "ZONE",
        "OBSTACLES",
        cost,
        "FREE",
        "ONLINE",
        "ITEMS",
        "TOKENS",
        "CACHED",
        "PACE",
        "COLD",
        "LIMIT",
        "FAILURES",
        "CHECK-IN",
    ];
    let list = &slot.candidates;
    let rows: Vec<Vec<String>> = list.candidates.iter().map(cells).collect();
    let mut text = table(&headings, &rows);
    if list.servers > list.candidates.len() {
        let obstacles = list.obstacles.iter();
        let obstacles = obstacles.map(|(obstacle, count)| format!("{count} {}", obstacle.as_str()));
        let (listed, obstacles) = (list.candidates.len(), join(obstacles));
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n{listed} of {} servers; with obstacles, of all: {obstacles}",
            list.servers
        );
    }
    text
}

fn cells(candidate: &CandidateFigures) -> Vec<String> {
    let none = || "-".to_owned();
    let obstacles = candidate.obstacles.iter().copied();
    let obstacles: Vec<&str> = obstacles.map(ServerObstacle::as_str).collect();
    let tokens = match candidate.memory_tokens {
        Some(memory) => format!("{} of {memory}", candidate.tokens),
        None => none(),
    };
    let pace = candidate.speed.map(|speed| {
        let age = speed.stated_age_ms.or(speed.observed_age_ms);
        let age = age.map(|age| format!(" ({age} ms ago)"));
        format!("{}%{}", speed.pace_percent, age.unwrap_or_default())
    });
    let cold = candidate.cold.map(|cold| {
        let rate = format!("{:.1}/s", cold.per_second);
        match cold.remaining_ms {
            0 => rate,
            left => format!("{rate} for {left} ms"),
        }
    });
    let limit = candidate.limit_per_second.map(|limit| {
        let age = candidate.limit_age_ms.map(|age| format!(" ({age} ms ago)"));
        format!("{limit}/s{}", age.unwrap_or_default())
    });
    let failures = match candidate.suspended_ms {
        Some(left) => format!("{}, suspended for {left} ms", candidate.failures),
        None => candidate.failures.to_string(),
    };
    vec![
        candidate.server.to_string(),
        candidate.zone.to_string(),
        if obstacles.is_empty() {
            none()
        } else {
            obstacles.join(",")
        },
        format!("{:.2}", candidate.cost),
        format!("{} of {}", candidate.free_slots, candidate.slots),
        candidate.running_online.to_string(),
        candidate.running_items.to_string(),
        tokens,
        candidate.cached_tokens.to_string(),
        pace.unwrap_or_else(none),
        cold.unwrap_or_else(none),
        limit.unwrap_or_else(none),
        failures,
        format!("{} ms ago", candidate.check_in_age_ms),
    ]
}
