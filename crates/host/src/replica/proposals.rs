//! Tracking of pending proposals.
//!
//! A proposal that is known not to have been committed is resubmitted to the
//! current leader. One whose outcome is unknown is resubmitted only if it is
//! idempotent; otherwise its caller gets an error that says that it may have been
//! committed.

use super::command::{GroupOutcome, ProposalContent};
use super::handle::ProposeError;
use chicoryladder_consensus::ProposalToken;
use chicoryladder_types::LogIndex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The time without a reply after which an idempotent proposal is resent.
const RESEND_AFTER: Duration = Duration::from_millis(1_500);

pub(super) type OutcomeSender = oneshot::Sender<Result<GroupOutcome, ProposeError>>;

/// Identifies a proposal of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct ProposalNumber(pub(super) u64);

/// The stage of a proposal.
enum ProposalStage {
    /// Not submitted, or known not to have been committed.
    Waiting,
    /// Appended to this host's log.
    InLog,
    /// Sent to the leader.
    Sent { at: Instant },
    /// Committed, but not yet applied on this host.
    Committed {
        index: LogIndex,
        outcome: GroupOutcome,
    },
}

struct LocalProposal {
    content: ProposalContent,
    idempotent: bool,
    sender: OutcomeSender,
    stage: ProposalStage,
}

/// The proposer that awaits the outcome of an entry of this host's log.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProposalOrigin {
    Local(ProposalNumber),
    Peer { address: SocketAddr, proposal: u64 },
}

/// The proposals of this host, and those that it appended for other hosts.
pub(super) struct ProposalTracker {
    next_number: u64,
    local: HashMap<ProposalNumber, LocalProposal>,
    next_token: u64,
    origins: HashMap<ProposalToken, ProposalOrigin>,
}

impl ProposalTracker {
    /// Creates an empty tracker; the random `seed` prevents late replies to an
    /// earlier run of the process from matching.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            next_number: seed >> 1,
            local: HashMap::new(),
            next_token: 0,
            origins: HashMap::new(),
        }
    }

    pub(super) fn open(
        &mut self,
        content: ProposalContent,
        idempotent: bool,
        sender: OutcomeSender,
    ) -> ProposalNumber {
        self.next_number += 1;
        let number = ProposalNumber(self.next_number);
        let proposal = LocalProposal {
            content,
            idempotent,
            sender,
            stage: ProposalStage::Waiting,
        };
        self.local.insert(number, proposal);
        number
    }

    pub(super) fn content(&self, number: ProposalNumber) -> Option<ProposalContent> {
        self.local.get(&number).map(|p| p.content.clone())
    }

    /// Allocates a token for an entry of this host's log.
    pub(super) fn token(&mut self, origin: ProposalOrigin) -> ProposalToken {
        self.next_token += 1;
        let token = ProposalToken(self.next_token);
        self.origins.insert(token, origin);
        token
    }

    pub(super) fn take_origin(&mut self, token: ProposalToken) -> Option<ProposalOrigin> {
        self.origins.remove(&token)
    }

    pub(super) fn mark_in_log(&mut self, number: ProposalNumber) {
        self.set_stage(number, ProposalStage::InLog);
    }

    pub(super) fn mark_sent(&mut self, number: ProposalNumber, at: Instant) {
        self.set_stage(number, ProposalStage::Sent { at });
    }

    /// Makes a proposal that is known not to have been committed due again.
    pub(super) fn mark_not_committed(&mut self, number: ProposalNumber) {
        let known = self.local.get(&number);
        if known.is_some_and(|p| !matches!(p.stage, ProposalStage::Committed { .. })) {
            self.set_stage(number, ProposalStage::Waiting);
        }
    }

    /// Handles a proposal whose outcome will never be reported.
    pub(super) fn mark_unknown(&mut self, number: ProposalNumber) {
        if self.local.get(&number).is_some_and(|p| p.idempotent) {
            self.set_stage(number, ProposalStage::Waiting);
        } else {
            self.finish(number, Err(ProposeError::NoQuorum));
        }
    }

    pub(super) fn mark_committed(
        &mut self,
        number: ProposalNumber,
        index: LogIndex,
        outcome: GroupOutcome,
    ) {
        self.set_stage(number, ProposalStage::Committed { index, outcome });
    }

    /// Makes idempotent proposals due again after a change of leader, since those
    /// sent to the previous leader may be lost.
    pub(super) fn requeue_sent(&mut self) {
        for proposal in self.local.values_mut() {
            if proposal.idempotent && matches!(proposal.stage, ProposalStage::Sent { .. }) {
                proposal.stage = ProposalStage::Waiting;
            }
        }
    }

    /// Abandons the entries of this host's log after the log has become unwritable.
    pub(super) fn abandon_log(&mut self) {
        self.origins.clear();
        let in_log = |p: &LocalProposal| matches!(p.stage, ProposalStage::InLog);
        let lost = self.local.iter().filter(|(_, p)| in_log(p));
        let lost: Vec<ProposalNumber> = lost.map(|(number, _)| *number).collect();
        for number in lost {
            self.mark_unknown(number);
        }
    }

    /// The proposals to submit to the leader now.
    pub(super) fn due(&mut self, now: Instant) -> Vec<ProposalNumber> {
        self.local
            .retain(|_, proposal| !proposal.sender.is_closed());
        let is_due = |proposal: &LocalProposal| match proposal.stage {
            ProposalStage::Waiting => true,
            ProposalStage::Sent { at } => proposal.idempotent && now >= at + RESEND_AFTER,
            ProposalStage::InLog | ProposalStage::Committed { .. } => false,
        };
        let due = self.local.iter().filter(|(_, proposal)| is_due(proposal));
        let mut due: Vec<ProposalNumber> = due.map(|(number, _)| *number).collect();
        due.sort_unstable();
        due
    }

    /// Completes the proposals whose log position is applied on this host, so that
    /// callers read their own writes.
    pub(super) fn complete_applied(&mut self, applied: LogIndex) {
        let is_applied = |proposal: &LocalProposal| matches!(proposal.stage, ProposalStage::Committed { index, .. } if index <= applied);
        let ready = self.local.iter().filter(|(_, p)| is_applied(p));
        let ready: Vec<ProposalNumber> = ready.map(|(number, _)| *number).collect();
        for number in ready {
            if let Some(proposal) = self.local.remove(&number)
                && let ProposalStage::Committed { outcome, .. } = proposal.stage
            {
                // A closed channel means that the caller no longer waits.
                let _ = proposal.sender.send(Ok(outcome));
            }
        }
    }

    pub(super) fn finish(
        &mut self,
        number: ProposalNumber,
        result: Result<GroupOutcome, ProposeError>,
    ) {
        if let Some(proposal) = self.local.remove(&number) {
            let _ = proposal.sender.send(result);
        }
    }

    fn set_stage(&mut self, number: ProposalNumber, stage: ProposalStage) {
        if let Some(proposal) = self.local.get_mut(&number) {
            proposal.stage = stage;
        }
    }
}
