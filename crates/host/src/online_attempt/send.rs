//! Sending a request until the head of its response arrives.
//!
//! An attempt that may be repeated leaves time for another one. If no other server could run
//! the request, silence is no reason to end the attempt: the server may be slow or stand
//! still. It may also be the connection that is silent, so the request is sent once more on a
//! new one, and the first response counts.

use super::{AttemptPlan, AttemptTimeouts, OnlineAttempts, slot_request};
use chicoryladder_gateway::{ServerFailure, ServerRequest, no_answer};
use chicoryladder_policy::retry::{AttemptFailure, RetryDecision};
use chicoryladder_types::prelude::*;
use hyper::Response;
use hyper::body::Incoming;
use std::pin::pin;

type SentRequest = Result<Response<Incoming>, ServerFailure>;

/// Sends the request of one attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptSender<'a> {
    pub(super) attempts: &'a OnlineAttempts<'a>,
    pub(super) plan: &'a AttemptPlan,
    /// The servers of all attempts so far, this one included.
    pub(super) excluded: &'a [ServerName],
    pub(super) timeouts: AttemptTimeouts,
}

impl AttemptSender<'_> {
    /// Sends the request and waits for the head of the response.
    pub(super) async fn send(&self, message: &ServerRequest) -> SentRequest {
        let client = self.attempts.client;
        let first_byte = self.timeouts.first_byte;
        let mut sending = pin!(client.send(message));
        if first_byte >= message.first_byte_timeout {
            return sending.await;
        }
        if let Ok(sent) = tokio::time::timeout(first_byte, &mut sending).await {
            return sent;
        }
        client.drop_idle_connections();
        let wanted = slot_request(self.plan, self.excluded);
        if self.attempts.routing.can_serve(wanted).await {
            return Err(no_answer(first_byte));
        }
        if self.is_drained().await || !self.may_send_again() {
            return sending.await;
        }
        self.attempts.metrics.count_retry(RetryReason::ServerSilent);
        let now = self.attempts.clock.now();
        let again = ServerRequest {
            first_byte_timeout: self.timeouts.deadline.saturating_duration_since(now),
            ..message.clone()
        };
        let mut repeating = pin!(client.send(&again));
        tokio::select! {
            sent = &mut sending => match sent {
                Ok(response) => Ok(response),
                Err(failure) => joined(failure.verdict, repeating.await),
            },
            sent = &mut repeating => match sent {
                Ok(response) => Ok(response),
                Err(failure) => joined(failure.verdict, sending.await),
            },
        }
    }

    /// Whether the zone of the server has been drained since the attempt began.
    async fn is_drained(&self) -> bool {
        match self.excluded.last() {
            Some(server) => self.attempts.routing.is_drained(server.clone()).await,
            None => false,
        }
    }

    /// Whether the first attempt may be sent once more; this is charged to the retry budget.
    fn may_send_again(&self) -> bool {
        let failure = AttemptFailure {
            reason: RetryReason::ServerSilent,
            verdict: RunVerdict::MayHaveRun,
            attempts: 1,
            idempotent: self.plan.idempotent,
            deadline: self.timeouts.deadline,
        };
        let is_first = self.excluded.len() == 1;
        let now = self.attempts.clock.now();
        let retries = self.attempts.retries;
        let decide = || retries.decide(&self.plan.class, &failure, now);
        is_first && matches!(decide(), RetryDecision::Retry { .. })
    }
}

/// The result of a request that was sent twice, with the verdict of the time that failed.
fn joined(earlier: RunVerdict, sent: SentRequest) -> SentRequest {
    sent.map_err(|last| ServerFailure {
        verdict: last.verdict.join(earlier),
        ..last
    })
}
