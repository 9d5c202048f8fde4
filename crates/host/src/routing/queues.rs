//! The queues of online requests that wait for a slot.

use super::handle::{GrantSender, QueueParameters, SlotRequest};
use chicoryladder_policy::queue::{QueueRequest, QueueTicket, RequestQueue};
use chicoryladder_policy::routing::WorkTarget;
use chicoryladder_types::prelude::*;
use slotmap::SecondaryMap;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The service time that a team is charged before one has been measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(100);

/// A queued request.
pub(super) struct WaitingRequest {
    pub(super) request: SlotRequest,
    pub(super) sender: GrantSender,
    /// Whether a batch item was preempted, or its preemption requested, for this
    /// request since the last sweep.
    pub(super) preemption_requested: bool,
}

/// The requests queued for one model or service.
pub(super) struct TargetQueue {
    queue: RequestQueue,
    waiting: SecondaryMap<QueueTicket, WaitingRequest>,
    service_time: Duration,
}

impl Default for TargetQueue {
    fn default() -> Self {
        Self {
            queue: RequestQueue::new(),
            waiting: SecondaryMap::new(),
            service_time: INITIAL_SERVICE_TIME,
        }
    }
}

impl TargetQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues a request, or refuses it immediately.
    pub(super) fn enqueue(
        &mut self,
        parameters: &QueueParameters,
        give_up_at: Instant,
        waiting: WaitingRequest,
        now: Instant,
    ) {
        let request = QueueRequest {
            team: parameters.team.as_ref(),
            share: parameters.share,
            class: &parameters.class,
            class_max: parameters.class_max,
            give_up_at,
        };
        match self.queue.enqueue(&request, now) {
            Ok(ticket) => {
                self.waiting.insert(ticket, waiting);
            }
            Err(refusal) => {
                let answer = refusal_of(refusal.reason, refusal.retry_after);
                // The channel is closed if the caller has disconnected.
                let _ = waiting.sender.send(Err(answer));
            }
        }
    }

    /// Returns the first request of each of the next `count` teams in service order.
    pub(super) fn heads(&self, count: usize) -> Vec<QueueTicket> {
        self.queue.order().take(count).collect()
    }

    pub(super) fn get(&self, ticket: QueueTicket) -> Option<&WaitingRequest> {
        self.waiting.get(ticket)
    }

    pub(super) fn waiting_mut(&mut self) -> impl Iterator<Item = &mut WaitingRequest> {
        self.waiting.values_mut()
    }

    /// Removes a request from the queue in order to grant it a slot.
    pub(super) fn serve(&mut self, ticket: QueueTicket, now: Instant) -> Option<WaitingRequest> {
        self.queue.serve(ticket, self.service_time, now);
        self.waiting.remove(ticket)
    }

    /// Updates the moving average of the service time with one measurement.
    pub(super) fn record_service_time(&mut self, elapsed: Duration) {
        /// The reciprocal of the weight of a new measurement.
        const WEIGHT_DIVISOR: u32 = 8;
        self.service_time = (self.service_time * (WEIGHT_DIVISOR - 1) + elapsed) / WEIGHT_DIVISOR;
    }

    /// Refuses the requests whose time limit has passed.
    pub(super) fn expire(&mut self, now: Instant) {
        for expired in self.queue.expire(now) {
            let answer = refusal_of(RefusalReason::DeadlineUnmet, expired.retry_after);
            self.refuse(expired.ticket, answer);
        }
    }

    /// Removes the requests whose callers have disconnected, and refuses those for
    /// which `refusal_for` returns a refusal.
    pub(super) fn sweep(&mut self, refusal_for: impl Fn(&SlotRequest) -> Option<RequestRefusal>) {
        let mut removed = Vec::new();
        for (ticket, waiting) in &mut self.waiting {
            waiting.preemption_requested = false;
            let refusal = refusal_for(&waiting.request);
            if waiting.sender.is_closed() || refusal.is_some() {
                removed.push((ticket, refusal));
            }
        }
        for (ticket, refusal) in removed {
            self.queue.remove(ticket);
            match refusal {
                Some(refusal) => self.refuse(ticket, refusal),
                None => drop(self.waiting.remove(ticket)),
            }
        }
    }

    /// Removes a request whose caller has disconnected.
    pub(super) fn remove_disconnected(&mut self, ticket: QueueTicket) {
        self.queue.remove(ticket);
        self.waiting.remove(ticket);
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.queue.next_wakeup()
    }

    fn refuse(&mut self, ticket: QueueTicket, refusal: RequestRefusal) {
        if let Some(waiting) = self.waiting.remove(ticket) {
            let _ = waiting.sender.send(Err(refusal));
        }
    }
}

/// The queues of all models and services.
pub(super) type TargetQueues = HashMap<WorkTarget, TargetQueue>;

fn refusal_of(reason: RefusalReason, retry_after: Duration) -> RequestRefusal {
    let detail = match reason {
        RefusalReason::QueueFull => "too many requests of the class wait",
        _ => "no backend server can take the request in time",
    };
    RequestRefusal::not_run(reason, detail).with_retry_after(retry_after)
}
