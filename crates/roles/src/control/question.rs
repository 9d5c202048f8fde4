//! The questions of operators where a request would go, and the answers.
//!
//! A question is read from a request for `/explain/...`:
//!
//! - `/explain/route/HOST/PATH`: a request with the HTTP host name and the path;
//! - `/explain/service/SERVICE`: a request for a service, on the first route that leads to it;
//! - `/explain/item/JOB/ITEM`: an item of a batch job that has no result yet.
//!
//! The query holds what callers send in header fields, and the zone: `team`, `zone`, `tokens`,
//! `segments`, `id`, `service`. A key is not part of the URL but a bearer credential, since URLs
//! end up in logs. Names and numbers need no escapes, and paths are taken as callers send them.

use crate::ports::PromptShape;
use chicoryladder_broker::{PromptSegment, SlotExplanation};
use chicoryladder_plan::RouteKind;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The path prefix of questions.
pub(super) const EXPLAIN_PATH: &str = "/explain/";

/// The hexadecimal digits of the id of a prompt segment. The last digits of a longer id suffice
/// to tell segments apart, as in callers' requests.
const SEGMENT_ID_DIGITS: usize = 16;

/// A question as it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RawQuestion<'a> {
    /// The path of the request.
    pub(crate) path: &'a str,
    /// The query of the request, without the question mark.
    pub(crate) query: &'a str,
    /// The key that came as a credential.
    pub(crate) key: Option<&'a str>,
    /// The zone of the host that was asked, for questions without a zone.
    pub(crate) own_zone: &'a ZoneName,
}

/// What would be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuestionTarget {
    /// A request that is matched to a route.
    Path {
        host: String,
        path: String,
        /// The service, for routes that lead to several.
        service: Option<ServiceName>,
    },
    /// A request for a service.
    Service(ServiceName),
    /// An item of a batch job.
    Item { job: String, item: String },
}

/// Who would send it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuestionCaller {
    /// A caller without a key.
    Keyless,
    /// A caller with a key of the team.
    Team(TeamName),
    /// A caller with the key.
    Key(String),
}

impl fmt::Debug for QuestionCaller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keyless => f.write_str("Keyless"),
            Self::Team(team) => f.debug_tuple("Team").field(team).finish(),
            // Keys must not get into logs.
            Self::Key(_) => f.write_str("Key"),
        }
    }
}

/// A question where a request or an item would go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacementQuestion {
    pub(crate) target: QuestionTarget,
    pub(crate) caller: QuestionCaller,
    /// The zone of the entry host.
    pub(crate) zone: ZoneName,
    /// The tokens of the prompt and the longest possible output.
    pub(crate) tokens: u64,
    pub(crate) segments: Vec<PromptSegment>,
    /// The id of the request, by which a service is chosen on routes that lead to several.
    pub(crate) id: Option<String>,
}

impl PlacementQuestion {
    /// The shape of the prompt.
    pub(crate) fn prompt(&self) -> PromptShape {
        PromptShape {
            segments: self.segments.clone(),
            tokens: self.tokens,
        }
    }
}

/// Why a question has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum QuestionError {
    /// The path names nothing that can be asked about.
    #[error("ask /explain/route/HOST/PATH, /explain/service/SERVICE or /explain/item/JOB/ITEM")]
    NoTarget,
    /// A part of the query is not known, not allowed here, or given twice.
    #[error("{0:?} is not one of team, zone, tokens, segments, id and service, each at most once")]
    UnknownParameter(String),
    /// A parameter does not apply to the target.
    #[error("{0} does not apply to this kind of question")]
    MisplacedParameter(String),
    /// A value cannot be read.
    #[error("{parameter}={value:?} cannot be read: {cause}")]
    InvalidValue {
        /// The name of the parameter.
        parameter: String,
        /// Its value.
        value: String,
        /// What is wrong with it.
        cause: String,
    },
    /// Both a team and a key are given.
    #[error("give either a team or a key")]
    TeamAndKey,
    /// The plan has no such team.
    #[error("the plan has no team {0}")]
    UnknownTeam(TeamName),
    /// The plan has no such service, or no route to it.
    #[error("the plan has no route to a service {0}")]
    UnknownService(ServiceName),
    /// The route does not lead to the service.
    #[error("route {route} does not lead to service {service}")]
    OtherService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// The route accepts jobs.
    #[error("route {0} accepts jobs, whose items are asked for by /explain/item/JOB/ITEM")]
    BatchRoute(RouteName),
    /// There is no such zone.
    #[error("there is no zone {0}")]
    UnknownZone(ZoneName),
    /// There is no such item, or it has a result.
    #[error("job {job} has no item {item} without a result")]
    UnknownItem {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// The leader of the job group cannot be asked.
    #[error("no leader of the job group answered")]
    NoJobLeader,
}

impl QuestionError {
    /// The refusal that is sent to the operator.
    #[must_use]
    pub fn refusal(&self) -> RequestRefusal {
        let reason = match self {
            Self::UnknownItem { .. } => RefusalReason::UnknownJob,
            Self::NoJobLeader => RefusalReason::NoQuorum,
            _ => RefusalReason::BadRequest,
        };
        RequestRefusal::not_run(reason, self.to_string())
    }
}

impl TryFrom<RawQuestion<'_>> for PlacementQuestion {
    type Error = QuestionError;

    fn try_from(raw: RawQuestion<'_>) -> Result<Self, QuestionError> {
        let mut parameters = read_parameters(raw.query)?;
        let service = parameters.take("service", parse_name::<ServiceName>)?;
        let target = read_target(raw.path, service)?;
        let team = parameters.take("team", parse_name::<TeamName>)?;
        let zone = parameters.take("zone", parse_name::<ZoneName>)?;
        let tokens = parameters.take("tokens", |text| {
            let tokens: Result<u64, _> = text.parse();
            tokens.map_err(|_| "it is not a number of tokens".to_owned())
        })?;
        let segments = parameters.take("segments", parse_segments)?;
        let id = parameters.take("id", |text| Ok(text.to_owned()))?;
        let caller = match (team, raw.key) {
            (Some(_), Some(_)) => return Err(QuestionError::TeamAndKey),
            (Some(team), None) => QuestionCaller::Team(team),
            (None, Some(key)) => QuestionCaller::Key(key.to_owned()),
            (None, None) => QuestionCaller::Keyless,
        };
        if matches!(target, QuestionTarget::Item { .. })
            && let Some(parameter) = parameters.given.first()
        {
            // The job tells all of it.
            return Err(QuestionError::MisplacedParameter((*parameter).to_owned()));
        }
        Ok(Self {
            target,
            caller,
            zone: zone.unwrap_or_else(|| raw.own_zone.clone()),
            tokens: tokens.unwrap_or_default(),
            segments: segments.unwrap_or_default(),
            id,
        })
    }
}

/// The parameters of a query.
struct QueryParameters<'a> {
    values: BTreeMap<&'a str, &'a str>,
    /// Their names, in the order in which they were taken.
    given: Vec<&'static str>,
}

impl QueryParameters<'_> {
    fn take<T>(
        &mut self,
        parameter: &'static str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<Option<T>, QuestionError> {
        let Some(value) = self.values.remove(parameter) else {
            return Ok(None);
        };
        self.given.push(parameter);
        let parsed = parse(value).map_err(|cause| QuestionError::InvalidValue {
            parameter: parameter.to_owned(),
            value: value.to_owned(),
            cause,
        })?;
        Ok(Some(parsed))
    }
}

fn read_parameters(query: &str) -> Result<QueryParameters<'_>, QuestionError> {
    const KNOWN: [&str; 6] = ["team", "zone", "tokens", "segments", "id", "service"];
    let mut values = BTreeMap::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let unknown = || QuestionError::UnknownParameter(pair.to_owned());
        let (name, value) = pair.split_once('=').ok_or_else(unknown)?;
        if !KNOWN.contains(&name) || values.insert(name, value).is_some() {
            return Err(unknown());
        }
    }
    let given = Vec::new();
    Ok(QueryParameters { values, given })
}

fn read_target(path: &str, service: Option<ServiceName>) -> Result<QuestionTarget, QuestionError> {
    let rest = path.strip_prefix(EXPLAIN_PATH);
    let (kind, rest) = rest
        .and_then(|rest| rest.split_once('/'))
        .ok_or(QuestionError::NoTarget)?;
    let target = match kind {
        "route" => {
            let (host, path) = rest.split_once('/').ok_or(QuestionError::NoTarget)?;
            return Ok(QuestionTarget::Path {
                host: host.to_owned(),
                path: format!("/{path}"),
                service,
            });
        }
        "service" => {
            let name = parse_name(rest).map_err(|cause| QuestionError::InvalidValue {
                parameter: "service".to_owned(),
                value: rest.to_owned(),
                cause,
            })?;
            QuestionTarget::Service(name)
        }
        "item" => {
            let (job, item) = rest.split_once('/').ok_or(QuestionError::NoTarget)?;
            QuestionTarget::Item {
                job: job.to_owned(),
                item: item.to_owned(),
            }
        }
        _ => return Err(QuestionError::NoTarget),
    };
    if service.is_some() {
        return Err(QuestionError::MisplacedParameter("service".to_owned()));
    }
    Ok(target)
}

fn parse_name<T>(text: &str) -> Result<T, String>
where
    T: for<'a> TryFrom<&'a str, Error: ToString>,
{
    T::try_from(text).map_err(|error| error.to_string())
}

/// Reads segments as in callers' requests: `ID:TOKENS`, separated by commas, with hexadecimal
/// ids.
fn parse_segments(text: &str) -> Result<Vec<PromptSegment>, String> {
    let parse = |entry: &str| {
        let (id, tokens) = entry.split_once(':')?;
        let digits = id.get(id.len().saturating_sub(SEGMENT_ID_DIGITS)..)?;
        Some(PromptSegment {
            id: u64::from_str_radix(digits, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    let segments = text.split(',').map(|entry| {
        let segment = parse(entry);
        segment.ok_or_else(|| format!("{entry:?} is not ID:TOKENS with a hexadecimal id"))
    });
    segments.collect()
}

/// A service to which a route leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetShare {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the others.
    pub weight: u32,
}

/// The route and team of a request or item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementMatch {
    /// The route.
    pub route: RouteName,
    /// The kind of its requests.
    pub kind: String,
    /// The team; `None` on a public route or without teams.
    pub team: Option<TeamName>,
    /// The service that was explained.
    pub service: ServiceName,
    /// All services to which the route leads.
    pub targets: Vec<TargetShare>,
    /// The priority rank; 0 is served first.
    pub rank: u32,
}

/// The refusal of a request that matches no route or team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MatchRefusal {
    /// The reason code.
    pub reason: String,
    /// A sentence on it.
    pub detail: String,
}

/// Where a request or an item would go, and why. Operators read it as JSON; times and ages are
/// in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// The host that decides: the leader of the control group.
    pub leader: HostName,
    /// How long it has led. A new leader learns within a second or two of what hosts and servers
    /// report.
    pub leads_for_ms: u64,
    /// The version of the plan in force.
    pub plan: u64,
    /// The zone from which the request would be sent.
    pub zone: ZoneName,
    /// The state of the item: `waiting`, `running` or `committing`; `None` for requests.
    pub item_state: Option<String>,
    /// The match; `None` if the request matches no route or team.
    pub r#match: Option<PlacementMatch>,
    /// Why the request matches none.
    pub refused: Option<MatchRefusal>,
    /// What the broker would decide; `None` if the request does not get there.
    pub slot: Option<SlotExplanation>,
}

/// The name of a kind of route in the output.
pub(crate) fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::AtMostOnce => "at_most_once",
        RouteKind::Stream => "stream",
        RouteKind::Batch => "batch",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn zone(name: &str) -> ZoneName {
        ZoneName::try_from(name).expect("it is valid")
    }

    fn read(
        path: &str,
        query: &str,
        key: Option<&str>,
    ) -> Result<PlacementQuestion, QuestionError> {
        PlacementQuestion::try_from(RawQuestion {
            path,
            query,
            key,
            own_zone: &zone("own"),
        })
    }

    /// Guards against a question that is read as another one: its answer would name a server
    /// that the request does not reach.
    #[test]
    fn questions_are_read_as_callers_send_requests() {
        let query = "team=t&zone=z&tokens=90&segments=a1:2000,ffb2b2b2b2b2b2b2b2:50";
        let question = read("/explain/route/walks.example/ping/1", query, None);
        let question = question.expect("it is valid");
        assert_eq!(
            question.target,
            QuestionTarget::Path {
                host: "walks.example".to_owned(),
                path: "/ping/1".to_owned(),
                service: None,
            }
        );
        let team = TeamName::try_from("t").expect("it is valid");
        assert_eq!(question.caller, QuestionCaller::Team(team));
        assert_eq!((question.zone, question.tokens), (zone("z"), 90));
        let ids: Vec<_> = question.segments.iter().map(|s| (s.id, s.tokens)).collect();
        assert_eq!(ids, [(0xa1, 2_000), (0xb2b2_b2b2_b2b2_b2b2, 50)]);
        let question = read("/explain/item/job-1/a/b", "", Some("k")).expect("it is valid");
        let (job, item) = ("job-1".to_owned(), "a/b".to_owned());
        assert_eq!(question.target, QuestionTarget::Item { job, item });
        assert_eq!(question.zone, zone("own"));
    }

    /// Guards against input that is ignored silently, so that the answer is to another question
    /// than the operator meant.
    #[test]
    fn bad_questions_are_refused_with_their_fault() {
        let path = "/explain/route/walks.example/ping/1";
        let cases = [
            ("/explain/", "", "ask /explain/route"),
            ("/explain/route/walks.example", "", "ask /explain/route"),
            ("/explain/service/two words", "", "service=\"two words\""),
            ("/explain/item/job", "", "ask /explain/route"),
            (path, "tokens=many", "tokens=\"many\""),
            (path, "segments=a1:2,xyz", "\"xyz\" is not ID:TOKENS"),
            (path, "segment=a1:2", "\"segment=a1:2\" is not one of"),
            (path, "zone=a&zone=b", "\"zone=b\" is not one of"),
            (path, "zone=", "zone=\"\" cannot be read"),
            (
                "/explain/service/app",
                "service=app",
                "service does not apply",
            ),
            (
                "/explain/item/job/item",
                "tokens=5",
                "tokens does not apply",
            ),
        ];
        for (path, query, fault) in cases {
            let error = read(path, query, None).expect_err("it is not valid");
            let text = error.to_string();
            assert!(text.contains(fault), "{path}?{query}: {text}");
            assert_eq!(error.refusal().reason, RefusalReason::BadRequest);
        }
        let error = read(path, "team=t", Some("k")).expect_err("it is not valid");
        assert_eq!(error, QuestionError::TeamAndKey);
    }
}
