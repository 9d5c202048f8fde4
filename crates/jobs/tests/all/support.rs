//! Builders shared by the tests of this package.

use chicoryladder_jobs::{
    AttemptEnd, AttemptReport, BodyBytes, BodyDigest, ItemDraft, ItemGrant, ItemRef, ItemRequest,
    JobCommand, JobHeader, JobMachine, JobOutcome, JobShare, LeaseId, LeaseRequest, MemoryStore,
    SubmissionKey, UnixMillis,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{JobId, LogIndex};
use std::time::Duration;

/// The time of the first command.
pub(crate) const START: UnixMillis = UnixMillis(1_000_000);

/// The duration of a lease.
pub(crate) const LEASE: Duration = Duration::from_secs(5);

/// A machine with its log position and a clock.
pub(crate) struct TestGroup {
    pub(crate) machine: JobMachine,
    pub(crate) index: LogIndex,
    pub(crate) now: UnixMillis,
}

impl TestGroup {
    pub(crate) fn new() -> Self {
        Self {
            machine: JobMachine::new(Box::new(MemoryStore::default())),
            index: LogIndex(0),
            now: START,
        }
    }

    pub(crate) fn apply(&mut self, command: &JobCommand) -> JobOutcome {
        self.index = self.index.next();
        self.machine.apply(self.index, command)
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.now = self.now.after(step);
    }

    pub(crate) fn submit(&mut self, header: &JobHeader, items: &[ItemDraft]) -> JobOutcome {
        self.apply(&JobCommand::Submit {
            header: header.clone(),
            items: items.to_vec(),
        })
    }

    pub(crate) fn lease(&mut self, host: &str, limit: u32) -> (LeaseId, Vec<ItemGrant>) {
        let request = LeaseRequest {
            host: host_name(host),
            limit,
            excluded: Vec::new(),
            now: self.now,
            duration: LEASE,
        };
        match self.apply(&JobCommand::LeaseItems(request)) {
            JobOutcome::Leased { lease, grants, .. } => (lease, grants),
            other => panic!("not leased: {other:?}"),
        }
    }

    pub(crate) fn report(&mut self, attempt: ItemRef, end: AttemptEnd) -> JobOutcome {
        let now = self.now;
        let reports = vec![AttemptReport { attempt, end }];
        self.apply(&JobCommand::CompleteItems { reports, now })
    }

    pub(crate) fn start(&mut self, lease: LeaseId, attempts: &[ItemRef]) -> Vec<ItemRef> {
        let command = JobCommand::StartItems {
            lease,
            attempts: attempts.to_vec(),
            now: self.now,
        };
        match self.apply(&command) {
            JobOutcome::Started { attempts } => attempts,
            other => panic!("not started: {other:?}"),
        }
    }

    pub(crate) fn cancel(&mut self, job: JobId) -> JobOutcome {
        let command = JobCommand::CancelJob {
            team: team(),
            job,
            now: self.now,
        };
        self.apply(&command)
    }

    pub(crate) fn sweep_after(&mut self, step: Duration) -> JobOutcome {
        self.advance(step);
        let now = self.now;
        self.apply(&JobCommand::Sweep { now })
    }
}

pub(crate) fn team() -> TeamName {
    team_name("letters")
}

pub(crate) fn team_name(text: &str) -> TeamName {
    TeamName::try_from(text).expect("a valid test value")
}

pub(crate) fn host_name(text: &str) -> HostName {
    HostName::try_from(text).expect("a valid test value")
}

pub(crate) fn header(job: u128, key: Option<&str>, body: &str) -> JobHeader {
    JobHeader {
        job: JobId::new(job),
        team: team(),
        class: ClassName::try_from("lot").expect("a valid test value"),
        key: key.map(|key| SubmissionKey::try_from(key).expect("a valid test value")),
        digest: BodyDigest::of(body.as_bytes()),
        share: JobShare::default(),
        submitted_at: START,
        deadline_at: None,
        expires_at: START.after(Duration::from_secs(24 * 60 * 60)),
    }
}

pub(crate) fn drafts(count: usize, idempotent: bool) -> Vec<ItemDraft> {
    (0..count).map(|item| draft(item, idempotent)).collect()
}

pub(crate) fn draft(item: usize, idempotent: bool) -> ItemDraft {
    ItemDraft {
        idempotent,
        request: ItemRequest {
            custom_id: format!("letter-{item}"),
            method: "POST".to_owned(),
            url: "/v1/chat/completions".to_owned(),
            body: BodyBytes::from(&br#"{"model":"clerk"}"#[..]),
        },
    }
}

pub(crate) fn answered(status: u16, text: &str) -> AttemptEnd {
    AttemptEnd::Answered {
        status,
        body: BodyBytes::from(text.as_bytes()),
    }
}

pub(crate) fn refused(verdict: RunVerdict, reason: RefusalReason) -> AttemptEnd {
    AttemptEnd::Refused {
        verdict,
        reason,
        detail: "refused by the test".to_owned(),
    }
}
