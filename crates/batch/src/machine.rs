//! The replicated state machine of batch jobs.

use crate::spec::{ItemSpec, JobOwner, JobSpec};
use chicoryladder_consensus::{
    RestoreError, SnapshotError, StateDecoder, StateMachine, encode_state,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{LogIndex, RouteName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::sync::Arc;

/// The output that the runs of an item have produced so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The data of all events, joined by line feeds.
    pub text: String,
    /// The id of the last complete event, if any.
    pub last_event: Option<u64>,
}

/// The output of an item since the last recorded progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressDelta {
    /// The job.
    pub job: String,
    /// The index of the item in the job.
    pub item: u32,
    /// The last event recorded before this delta.
    pub after: Option<u64>,
    /// The text to append.
    pub text: String,
    /// The last event of the appended text.
    pub last_event: Option<u64>,
}

/// The outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The item completed with this text.
    Completed(Arc<str>),
    /// The item was given up.
    GivenUp,
}

/// A replicated command of the batch state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchCommand {
    /// Accepts a job, unless it exceeds the limit on waiting tokens.
    Submit {
        /// The job.
        job: Box<JobSpec>,
        /// The maximum number of waiting tokens of the team on the route; 0 means no
        /// limit.
        waiting_tokens_max: u64,
    },
    /// Records the output of runs, so that a later leader resumes from it.
    AppendProgress(Vec<ProgressDelta>),
    /// Adds the result of a completed item to the results of its job: its recorded output
    /// with this last delta appended.
    Complete(ProgressDelta),
    /// Adds an item to the results of its job as given up.
    GiveUp {
        /// The job.
        job: String,
        /// The index of the item in the job.
        item: u32,
    },
    /// Increments the count of failed runs of an item.
    CountFailure {
        /// The job.
        job: String,
        /// The index of the item in the job.
        item: u32,
    },
    /// Ends a job, which accepts no more results.
    End {
        /// The job.
        job: String,
        /// The team that requests it; must be the owner of the job.
        team: Option<TeamName>,
    },
    /// Removes a job whose results are no longer needed.
    Remove {
        /// The job.
        job: String,
    },
    /// Discards the recorded output of items, which a version of the servers' software writes
    /// anew.
    BeginOutput(Vec<OutputStart>),
}

/// The beginning of the output of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputStart {
    /// The job.
    pub job: String,
    /// The index of the item in the job.
    pub item: u32,
    /// The version of the software that writes it.
    pub version: SoftwareVersion,
}

/// The reply to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitAnswer {
    /// The job is accepted.
    Accepted,
    /// The job was accepted before.
    Repeated,
    /// The job would exceed the limit on waiting tokens of the team.
    NoRoom,
}

/// The reply to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchAnswer {
    /// The reply to [`BatchCommand::Submit`].
    Submitted(SubmitAnswer),
    /// The command took effect.
    Done,
    /// The job or item does not exist or has already ended.
    NoEffect,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ItemState {
    Waiting {
        spec: Arc<ItemSpec>,
        failures: u32,
        progress: RunProgress,
    },
    Ended {
        id: String,
        outcome: ItemOutcome,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct JobRecord {
    /// The job specification, without its items.
    job_spec: JobSpec,
    items: Vec<ItemState>,
    /// The indexes of the items that have a result, in the order of the results.
    result_order: Vec<u32>,
    ended: bool,
}

impl JobRecord {
    fn is_open(&self) -> bool {
        !self.ended && self.result_order.len() < self.items.len()
    }

    /// The tokens of the items that have no result yet.
    fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let tokens = |item: &ItemState| match item {
            ItemState::Waiting { spec, .. } => spec.tokens,
            ItemState::Ended { .. } => 0,
        };
        self.items.iter().map(tokens).fold(0, u64::saturating_add)
    }
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The id of the item.
    pub id: String,
    /// The outcome of the item.
    pub outcome: ItemOutcome,
}

/// A page of the results of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPage {
    /// The number of items of the job.
    pub total: u64,
    /// The position of the result after this page.
    pub next: u64,
    /// The results on this page.
    pub results: Vec<ItemResult>,
}

/// An item without a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenItem {
    /// The job specification, without its items.
    pub job_spec: Arc<JobSpec>,
    /// The index of the item in the job.
    pub item: u32,
    /// The item specification.
    pub spec: Arc<ItemSpec>,
    /// The number of its failed runs.
    pub failures: u32,
    /// The output that its runs have produced so far.
    pub progress: RunProgress,
    /// The version of the software that wrote it, if it is known.
    pub version: Option<SoftwareVersion>,
}

/// The replicated state machine of batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchMachine {
    jobs: BTreeMap<String, JobRecord>,
    /// The version that wrote the output of each item, by job and index. Snapshots of earlier
    /// builds end before it.
    written_by: BTreeMap<String, BTreeMap<u32, SoftwareVersion>>,
}

impl BatchMachine {
    /// Returns the results of a job from a position on, up to about `max_bytes` of
    /// text, but at least one result if there is any.
    ///
    /// Returns `None` if there is no such job or the team may not access it.
    #[must_use]
    pub fn page(
        &self,
        team: Option<&TeamName>,
        job: &str,
        after: u64,
        max_bytes: usize,
    ) -> Option<JobPage> {
        let record = self.job_of(team, job)?;
        let from = usize::try_from(after).unwrap_or(usize::MAX);
        let mut page = JobPage {
            total: record.items.len() as u64,
            next: after,
            results: Vec::new(),
        };
        let mut bytes = 0;
        for index in record.result_order.iter().skip(from) {
            let Some(ItemState::Ended { id, outcome }) = record.items.get(*index as usize) else {
                break;
            };
            let length = match outcome {
                ItemOutcome::Completed(text) => text.len(),
                ItemOutcome::GivenUp => 0,
            };
            if bytes + length > max_bytes && !page.results.is_empty() {
                break;
            }
            bytes += length;
            page.next += 1;
            page.results.push(ItemResult {
                id: id.clone(),
                outcome: outcome.clone(),
            });
        }
        Some(page)
    }

    /// Returns the specification of an item without a result.
    #[must_use]
    pub fn item_spec(&self, team: Option<&TeamName>, job: &str, id: &str) -> Option<Arc<ItemSpec>> {
        let record = self.job_of(team, job).filter(|record| !record.ended)?;
        record.items.iter().find_map(|item| match item {
            ItemState::Waiting { spec, .. } if spec.id == id => Some(spec.clone()),
            ItemState::Waiting { .. } | ItemState::Ended { .. } => None,
        })
    }

    /// Returns who may access a job; `None` if there is no such job.
    #[must_use]
    pub fn owner(&self, job: &str) -> Option<JobOwner> {
        self.jobs.get(job).map(|record| record.job_spec.owner())
    }

    /// Returns all items without a result.
    #[must_use]
    pub fn open_items(&self) -> Vec<OpenItem> {
        let open = self.jobs.values().filter(|record| record.is_open());
        open.flat_map(|record| {
            let job_spec = Arc::new(record.job_spec.clone());
            record
                .items
                .iter()
                .zip(0..)
                .filter_map(move |(state, item)| {
                    let ItemState::Waiting {
                        spec,
                        failures,
                        progress,
                    } = state
                    else {
                        return None;
                    };
                    Some(OpenItem {
                        job_spec: job_spec.clone(),
                        item,
                        spec: spec.clone(),
                        failures: *failures,
                        progress: progress.clone(),
                        version: self.version_of(&record.job_spec.id, item),
                    })
                })
        })
        .collect()
    }

    /// Returns the ids of all jobs, and whether each is still open.
    #[must_use]
    pub fn jobs(&self) -> Vec<(String, bool)> {
        let job = |(id, record): (&String, &JobRecord)| (id.clone(), record.is_open());
        self.jobs.iter().map(job).collect()
    }

    fn version_of(&self, job: &str, item: u32) -> Option<SoftwareVersion> {
        self.written_by.get(job)?.get(&item).cloned()
    }

    fn job_of(&self, team: Option<&TeamName>, job: &str) -> Option<&JobRecord> {
        let record = self.jobs.get(job)?;
        record.job_spec.owner().admits(team).then_some(record)
    }

    fn waiting_tokens(&self, team: Option<&TeamName>, route: &RouteName) -> u64 {
        let of_route = |record: &&JobRecord| {
            record.job_spec.team.as_ref() == team && record.job_spec.route == *route
        };
        let jobs = self.jobs.values().filter(of_route);
        let waiting = jobs.map(JobRecord::waiting_tokens);
        waiting.fold(0, u64::saturating_add)
    }

    fn run(&mut self, command: BatchCommand) -> BatchAnswer {
        match command {
            BatchCommand::Submit {
                job,
                waiting_tokens_max,
            } => BatchAnswer::Submitted(self.submit(*job, waiting_tokens_max)),
            BatchCommand::AppendProgress(deltas) => {
                for delta in &deltas {
                    self.append_progress(delta);
                }
                BatchAnswer::Done
            }
            BatchCommand::Complete(delta) => self.complete(&delta),
            BatchCommand::GiveUp { job, item } => self.finish(&job, item, ItemOutcome::GivenUp),
            BatchCommand::CountFailure { job, item } => self.count_failure(&job, item),
            BatchCommand::End { job, team } => self.end(&job, team.as_ref()),
            BatchCommand::Remove { job } => {
                self.written_by.remove(&job);
                match self.jobs.remove(&job) {
                    Some(_) => BatchAnswer::Done,
                    None => BatchAnswer::NoEffect,
                }
            }
            BatchCommand::BeginOutput(starts) => {
                for start in starts {
                    self.begin_output(start);
                }
                BatchAnswer::Done
            }
        }
    }

    fn submit(&mut self, mut job: JobSpec, waiting_tokens_max: u64) -> SubmitAnswer {
        if self.jobs.contains_key(&job.id) {
            return SubmitAnswer::Repeated;
        }
        let tokens = job.items.iter().map(|item| item.tokens);
        let tokens = tokens.fold(0, u64::saturating_add);
        let waiting = self.waiting_tokens(job.team.as_ref(), &job.route);
        if waiting_tokens_max > 0 && waiting.saturating_add(tokens) > waiting_tokens_max {
            return SubmitAnswer::NoRoom;
        }
        let waiting = |spec| ItemState::Waiting {
            spec: Arc::new(spec),
            failures: 0,
            progress: RunProgress::default(),
        };
        let items = std::mem::take(&mut job.items).into_iter().map(waiting);
        let record = JobRecord {
            items: items.collect(),
            result_order: Vec::new(),
            ended: false,
            job_spec: job,
        };
        self.jobs.insert(record.job_spec.id.clone(), record);
        SubmitAnswer::Accepted
    }

    fn begin_output(&mut self, start: OutputStart) {
        let record = self.jobs.get_mut(&start.job).filter(|record| !record.ended);
        let item = record.and_then(|record| record.items.get_mut(start.item as usize));
        if let Some(ItemState::Waiting { progress, .. }) = item {
            *progress = RunProgress::default();
            let versions = self.written_by.entry(start.job).or_default();
            versions.insert(start.item, start.version);
        }
    }

    /// Appends to the recorded output of an item. Returns `false` if the delta does not
    /// follow the last recorded event.
    fn append_progress(&mut self, delta: &ProgressDelta) -> bool {
        let record = self.jobs.get_mut(&delta.job).filter(|record| !record.ended);
        let item = record.and_then(|record| record.items.get_mut(delta.item as usize));
        match item {
            Some(ItemState::Waiting { progress, .. }) if progress.last_event == delta.after => {
                progress.text.push_str(&delta.text);
                progress.last_event = delta.last_event;
                true
            }
            _ => false,
        }
    }

    fn complete(&mut self, delta: &ProgressDelta) -> BatchAnswer {
        if !self.append_progress(delta) {
            return BatchAnswer::NoEffect;
        }
        let record = self.jobs.get(&delta.job);
        let item = record.and_then(|record| record.items.get(delta.item as usize));
        let Some(ItemState::Waiting { progress, .. }) = item else {
            return BatchAnswer::NoEffect;
        };
        let text = progress.text.as_str().into();
        self.finish(&delta.job, delta.item, ItemOutcome::Completed(text))
    }

    /// Adds the result of an item to the results of its job and drops its specification.
    /// Later results of the same item are ignored.
    fn finish(&mut self, job: &str, item: u32, outcome: ItemOutcome) -> BatchAnswer {
        let Some(record) = self.jobs.get_mut(job).filter(|record| !record.ended) else {
            return BatchAnswer::NoEffect;
        };
        match record.items.get_mut(item as usize) {
            Some(state @ ItemState::Waiting { .. }) => {
                let ItemState::Waiting { spec, .. } = &*state else {
                    return BatchAnswer::NoEffect;
                };
                let id = spec.id.clone();
                *state = ItemState::Ended { id, outcome };
                record.result_order.push(item);
                if let Some(versions) = self.written_by.get_mut(job) {
                    versions.remove(&item);
                }
                BatchAnswer::Done
            }
            Some(ItemState::Ended { .. }) | None => BatchAnswer::NoEffect,
        }
    }

    fn count_failure(&mut self, job: &str, item: u32) -> BatchAnswer {
        let record = self.jobs.get_mut(job);
        match record.and_then(|record| record.items.get_mut(item as usize)) {
            Some(ItemState::Waiting { failures, .. }) => {
                *failures += 1;
                BatchAnswer::Done
            }
            Some(ItemState::Ended { .. }) | None => BatchAnswer::NoEffect,
        }
    }

    fn end(&mut self, job: &str, team: Option<&TeamName>) -> BatchAnswer {
        let of_team = |record: &&mut JobRecord| record.job_spec.team.as_ref() == team;
        match self.jobs.get_mut(job).filter(of_team) {
            Some(record) => {
                record.ended = true;
                self.written_by.remove(job);
                BatchAnswer::Done
            }
            None => BatchAnswer::NoEffect,
        }
    }
}

impl StateMachine for BatchMachine {
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8> {
        let answer = match postcard::from_bytes(command) {
            Ok(command) => self.run(command),
            Err(error) => {
                log_decode_failure(index, &error);
                BatchAnswer::NoEffect
            }
        };
        // A reply is a plain enum, whose encoding cannot fail.
        postcard::to_stdvec(&answer).unwrap_or_default()
    }

    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError> {
        encode_state(self, output)
    }

    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError> {
        // The state before and the one after need not be in memory at the same time.
        *self = Self::default();
        let mut decoder = StateDecoder::new(input);
        let jobs: usize = decoder.decode()?;
        for _ in 0..jobs {
            let (id, record) = decoder.decode()?;
            self.jobs.insert(id, record);
        }
        if !decoder.is_at_end()? {
            self.written_by = decoder.decode()?;
        }
        Ok(())
    }
}

fn log_decode_failure(index: LogIndex, error: &postcard::Error) {
    log::error!("batch: cannot decode the command of log entry {index}: {error}.");
}
