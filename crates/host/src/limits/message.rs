//! Messages between the limits tasks of the hosts.

use super::trials::TrialMessage;
use chicoryladder_policy::limits::{
    LeaseClaim, LeaseVote, OwnerAction, QuotaGrant, QuotaRecall, QuotaRequest, ShardClaim,
    TokenPool,
};
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What the limits tasks tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LimitMessage {
    /// A host asks for tokens.
    Request(QuotaRequest),
    /// A keeper grants tokens.
    Grant(QuotaGrant),
    /// A keeper wants idle tokens back.
    Recall(QuotaRecall),
    /// A host asks a voter for shards.
    Claim(LeaseClaim),
    /// A voter answers.
    Vote(LeaseVote),
    /// Concerns the trial of a suspect.
    Trial(TrialMessage),
    /// A host is up and keeps these shards.
    Keeping(Vec<ShardClaim>),
}

/// Whom a message is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LimitReceiver {
    Host(HostName),
    Voters,
    Everyone,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OutgoingMessage {
    pub(super) receiver: LimitReceiver,
    pub(super) message: LimitMessage,
}

impl OutgoingMessage {
    pub(super) fn to_host(host: &HostName, message: LimitMessage) -> Self {
        Self {
            receiver: LimitReceiver::Host(host.clone()),
            message,
        }
    }
}

/// The messages for a keeper's actions.
pub(super) fn outgoing(actions: Vec<OwnerAction>) -> impl Iterator<Item = OutgoingMessage> {
    actions.into_iter().filter_map(|action| match action {
        OwnerAction::Grant(grant) => {
            let host = grant.holder.host().clone();
            Some(OutgoingMessage::to_host(&host, LimitMessage::Grant(grant)))
        }
        OwnerAction::Recall(recall) => {
            let host = recall.holder.host().clone();
            Some(OutgoingMessage::to_host(
                &host,
                LimitMessage::Recall(recall),
            ))
        }
        OwnerAction::Borrow(request) => {
            let TokenPool::Reserve(host) = request.pool.clone() else {
                return None;
            };
            Some(OutgoingMessage::to_host(
                &host,
                LimitMessage::Request(request),
            ))
        }
    })
}
