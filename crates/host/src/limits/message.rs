//! Messages between the limits tasks of the hosts.

use super::trials::TrialMessage;
use chicoryladder_policy::limits::{
    LeaseClaim, LeaseVote, OwnerAction, QuotaGrant, QuotaRecall, QuotaRequest, ShardClaim,
    TokenPool,
};
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A message between the limits tasks of two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LimitMessage {
    /// A host requests tokens from the owner of a bucket.
    Request(QuotaRequest),
    /// A bucket owner grants tokens.
    Grant(QuotaGrant),
    /// A bucket owner recalls unused tokens.
    Recall(QuotaRecall),
    /// A host claims shards from a voter.
    Claim(LeaseClaim),
    /// A voter answers a claim.
    Vote(LeaseVote),
    /// Concerns the trial of a suspect request.
    Trial(TrialMessage),
    /// Announces that the sender is live and owns these shards.
    OwnedShards(Vec<ShardClaim>),
}

/// The destination of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LimitReceiver {
    Host(HostName),
    Voters,
    AllHosts,
}

/// A message together with its destination.
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

/// Returns the messages that carry out the actions of a bucket owner.
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
