//! Simulated clients that submit jobs with a key until they receive the outcome.

use super::fleet::{FleetProposal, ProposalOwner};
use crate::support::{draft, header, team};
use chicoryladder_jobs::{ItemDraft, JobCommand, JobOutcome, UnixMillis};
use chicoryladder_types::JobId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const APPEND_ITEMS: usize = 5;

/// The remaining commands of one submission of a job.
#[derive(Debug)]
struct SubmitterUpload {
    commands: Vec<JobCommand>,
}

/// A client with one job.
pub(crate) struct JobSubmitter {
    number: usize,
    key: String,
    items: Vec<ItemDraft>,
    upload: Option<SubmitterUpload>,
    waiting: bool,
    pub(crate) job: Option<JobId>,
    pub(crate) submissions: u32,
}

impl JobSubmitter {
    pub(crate) fn new(number: usize, rng: &mut ChaCha8Rng) -> Self {
        let count = rng.random_range(1..20);
        let items = (0..count).map(|item| draft(item, rng.random_bool(0.6)));
        Self {
            number,
            key: format!("lot-{number}"),
            items: items.collect(),
            upload: None,
            waiting: false,
            job: None,
            submissions: 0,
        }
    }

    pub(crate) fn key(&self) -> &str {
        &self.key
    }

    pub(crate) fn item_count(&self) -> usize {
        self.items.len()
    }

    /// The next proposal, unless the client is waiting for an outcome.
    pub(crate) fn step(&mut self, rng: &mut ChaCha8Rng, now: UnixMillis) -> Option<FleetProposal> {
        if self.waiting {
            return None;
        }
        if self.upload.is_none() {
            self.upload = Some(self.begin(rng, now));
            self.submissions += 1;
        }
        let upload = self.upload.as_mut()?;
        let command = upload.commands.remove(0);
        if upload.commands.is_empty() {
            self.upload = None;
        }
        self.waiting = true;
        let owner = ProposalOwner::Submitter(self.number);
        Some(FleetProposal { owner, command })
    }

    /// Handles the outcome of a proposal; `None` if it was lost. Returns the
    /// acknowledged job.
    pub(crate) fn answer(&mut self, outcome: Option<&JobOutcome>) -> Option<JobId> {
        self.waiting = false;
        match outcome {
            Some(JobOutcome::Submitted { job, .. }) => {
                self.upload = None;
                self.job = Some(*job);
                Some(*job)
            }
            Some(JobOutcome::UploadOpen { .. }) => None,
            Some(_) | None => {
                self.upload = None;
                None
            }
        }
    }

    fn begin(&self, rng: &mut ChaCha8Rng, now: UnixMillis) -> SubmitterUpload {
        let job = rng.random();
        let header = header(job, Some(&self.key), &self.key);
        if rng.random_bool(0.5) {
            let items = self.items.clone();
            let commands = vec![JobCommand::Submit { header, items }];
            return SubmitterUpload { commands };
        }
        let job_id = JobId::new(job);
        let team = team();
        let mut commands = vec![JobCommand::BeginUpload {
            job: job_id,
            team,
            now,
        }];
        let mut first_item = 0;
        for chunk in self.items.chunks(APPEND_ITEMS) {
            commands.push(JobCommand::AppendItems {
                job: job_id,
                first_item,
                items: chunk.to_vec(),
                now,
            });
            first_item += u32::try_from(chunk.len()).expect("a small chunk");
        }
        commands.push(JobCommand::CommitUpload {
            header,
            item_count: first_item,
        });
        SubmitterUpload { commands }
    }
}
