//! What callers see of jobs and results.

use crate::{BodyDigest, ItemEnd, ItemResult, JobCounts, JobPhase, JobSlack, LeaseId, UnixMillis};
use chicoryladder_types::{ClassName, JobId, TeamName};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::value::RawValue;

/// The state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The team that owns it.
    pub team: TeamName,
    /// The class of work.
    pub class: ClassName,
    /// The phase.
    pub phase: JobPhase,
    /// The number of items in each state.
    pub counts: JobCounts,
    /// The time of the submission.
    pub submitted_at: UnixMillis,
    /// The time by which the job must finish.
    pub deadline_at: Option<UnixMillis>,
    /// The time at which its last item ended.
    pub ended_at: Option<UnixMillis>,
    /// How it stands against its deadline; of an ended job, how it stood.
    pub slack: JobSlack,
}

/// The job that was submitted first under an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstSubmission {
    /// The job.
    pub job: JobId,
    /// The digest of its body.
    pub digest: BodyDigest,
}

/// What a dispatcher has to know of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchView {
    /// Whether a dispatcher that asked for items would get some.
    pub has_work: bool,
    /// Its leases on cancelled jobs.
    pub revoked: Vec<LeaseId>,
}

/// The result of one item as the caller reads it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// The caller's name of the item.
    pub custom_id: String,
    /// The result.
    pub result: ItemResult,
}

/// Some results of a job, in the order in which its items ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// The results.
    pub lines: Vec<ResultLine>,
    /// The position to read on from.
    pub next: u32,
    /// Whether no result will ever follow.
    pub complete: bool,
}

impl ResultLine {
    /// The line of the result file, in the shape of the public batch APIs,
    /// without a line break.
    ///
    /// # Errors
    ///
    /// Never in practice; the error is that of the JSON writer.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string(&JsonLine(self))
    }
}

struct JsonLine<'a>(&'a ResultLine);

#[derive(Serialize)]
struct JsonResponse<'a> {
    status_code: u16,
    body: JsonBody<'a>,
}

/// A body as JSON where it is JSON, else as text.
#[derive(Serialize)]
#[serde(untagged)]
enum JsonBody<'a> {
    Raw(&'a RawValue),
    Text(String),
}

#[derive(Serialize)]
struct JsonError<'a> {
    code: &'static str,
    message: &'a str,
}

impl Serialize for JsonLine<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let result = &self.0.result;
        let response = result.status.map(|status_code| JsonResponse {
            status_code,
            body: json_body(result.body.as_slice()),
        });
        let error = (result.end != ItemEnd::Succeeded).then_some(JsonError {
            code: result.end.as_str(),
            message: &result.detail,
        });
        let mut line = serializer.serialize_struct("ResultLine", 3)?;
        line.serialize_field("custom_id", &self.0.custom_id)?;
        line.serialize_field("response", &response)?;
        line.serialize_field("error", &error)?;
        line.end()
    }
}

fn json_body(bytes: &[u8]) -> JsonBody<'_> {
    // A raw value is copied as it stands, and a line break would split the line.
    let one_line = !bytes.contains(&b'\n') && !bytes.contains(&b'\r');
    match serde_json::from_slice::<&RawValue>(bytes) {
        Ok(raw) if one_line => JsonBody::Raw(raw),
        _ => JsonBody::Text(String::from_utf8_lossy(bytes).into_owned()),
    }
}
