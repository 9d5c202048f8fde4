//! Views of jobs and results for callers and dispatchers.

use crate::{BodyDigest, ItemEnd, ItemResult, JobCounts, JobPhase, JobSlack, LeaseId, UnixMillis};
use chicoryladder_types::{ClassName, JobId, TeamName};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::value::RawValue;

/// The status of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The team that owns it.
    pub team: TeamName,
    /// The class of the job's requests.
    pub class: ClassName,
    /// The phase.
    pub phase: JobPhase,
    /// The number of items in each state.
    pub counts: JobCounts,
    /// The time of the submission.
    pub submitted_at: UnixMillis,
    /// The deadline of the job.
    pub deadline_at: Option<UnixMillis>,
    /// The time at which the last item ended.
    pub ended_at: Option<UnixMillis>,
    /// The slack to the deadline; for an ended job, the slack when it ended.
    pub slack: JobSlack,
}

/// The first job submitted with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstSubmission {
    /// The job.
    pub job: JobId,
    /// The digest of the submitted body.
    pub digest: BodyDigest,
}

/// The part of the state that a dispatcher needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchView {
    /// Whether any job has items to lease.
    pub has_work: bool,
    /// The dispatcher's leases on cancelled jobs.
    pub revoked: Vec<LeaseId>,
}

/// The result of one item as returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// The caller's id of the item.
    pub custom_id: String,
    /// The result.
    pub result: ItemResult,
}

/// A page of results of a job, in the order in which its items ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// The results.
    pub lines: Vec<ResultLine>,
    /// The position from which to read the next page.
    pub next: u32,
    /// Whether the job has ended and this page holds its last results.
    pub complete: bool,
}

impl ResultLine {
    /// Formats the line of the result file in the format of the public batch APIs,
    /// without a line break.
    ///
    /// # Errors
    ///
    /// Fails if JSON serialization fails, which does not occur in practice.
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

/// A body as JSON if it is valid single-line JSON, otherwise as text.
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
    // A raw value is copied verbatim; a line break in it would split the JSONL line.
    let is_single_line = !bytes.contains(&b'\n') && !bytes.contains(&b'\r');
    match serde_json::from_slice::<&RawValue>(bytes) {
        Ok(raw) if is_single_line => JsonBody::Raw(raw),
        _ => JsonBody::Text(String::from_utf8_lossy(bytes).into_owned()),
    }
}
