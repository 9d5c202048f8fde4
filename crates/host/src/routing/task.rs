//! The event loop of the routing task.

mod preemption;
mod zone_drains;

use super::batch_slots::BatchSlots;
use super::handle::{
    BatchCapacity, GrantSender, PendingSlot, ReleasedSlot, RoutingEvent, RoutingLocation,
    RoutingNotice, ServerGrant, SlotEvent, SlotNotice, SlotRequest, WorkKind,
};
use super::queues::{TargetQueue, TargetQueues, WaitingRequest};
use super::table::RoutingTable;
use chicoryladder_policy::queue::QueueTicket;
use chicoryladder_policy::routing::{ServerKey, ServerOutcome, WorkTarget};
use chicoryladder_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The interval at which expired servers and disconnected callers are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The number of teams whose first request is tried when a slot is free, because the
/// first of them may have to avoid just that server.
const HEADS_MAX: usize = 4;

/// The channels of the routing task.
pub(super) struct RoutingChannels {
    pub(super) notices: mpsc::UnboundedSender<RoutingNotice>,
    pub(super) event_sender: mpsc::UnboundedSender<RoutingEvent>,
    pub(super) events: mpsc::UnboundedReceiver<RoutingEvent>,
}

/// A batch item that waits for a slot.
struct WaitingItem {
    request: SlotRequest,
    deadline: Instant,
    sender: GrantSender,
}

/// Owns the servers and the waiting requests of one host.
pub(super) struct RoutingTask {
    host: HostName,
    clock: Arc<dyn ClockSource>,
    channels: RoutingChannels,
    table: RoutingTable,
    online: TargetQueues,
    batch: VecDeque<WaitingItem>,
    batch_slots: BatchSlots,
    /// Whether all zones with servers were drained when that was last looked at.
    is_wholly_drained: bool,
}

impl RoutingTask {
    pub(super) fn new(
        location: RoutingLocation,
        clock: Arc<dyn ClockSource>,
        channels: RoutingChannels,
        seed: [u8; 32],
    ) -> Self {
        Self {
            host: location.host.clone(),
            clock,
            channels,
            table: RoutingTable::new(location, ChaCha12Rng::from_seed(seed)),
            online: TargetQueues::new(),
            batch: VecDeque::new(),
            batch_slots: BatchSlots::default(),
            is_wholly_drained: false,
        }
    }

    pub(super) async fn run(mut self) {
        let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            let pause = self.pause();
            tokio::select! {
                event = self.channels.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = sweeps.tick() => self.sweep(),
                () = tokio::time::sleep(pause) => {}
            }
            self.serve_waiting();
        }
    }

    /// Returns the time until the next queued request expires.
    fn pause(&self) -> Duration {
        let online = self.online.values().filter_map(TargetQueue::next_wakeup);
        let batch = self.batch.iter().map(|item| item.deadline);
        let next = online.chain(batch).min();
        let now = self.clock.now();
        next.map_or(SWEEP_INTERVAL, |at| at.saturating_duration_since(now))
    }

    fn handle(&mut self, event: RoutingEvent) {
        let now = self.clock.now();
        match event {
            RoutingEvent::Announced(announcement) => self.table.announce(&announcement, now),
            RoutingEvent::Released(released) => self.release(&released, now),
            RoutingEvent::Departing(key, request) => self.record_departure(key, request),
            RoutingEvent::Hosts(hosts) => self.table.set_hosts(hosts),
            RoutingEvent::PreemptBatchItem(requester, name) => self.preempt(requester, &name),
            RoutingEvent::OnlineDispatched(name) => self.record_online_dispatch(&name),
            RoutingEvent::RemoteSlotReleased(name) => {
                if let Some(key) = self.table.find(&name) {
                    self.table.servers().record_freed_slot(key);
                }
            }
            RoutingEvent::Capacity(sender) => {
                let _ = sender.send(BatchCapacity {
                    idle: self.table.idle_slots(now),
                    occupied: self.batch_slots.count(),
                });
            }
            RoutingEvent::CanServe(request, sender) => {
                let _ = sender.send(self.table.can_serve(&request, now));
            }
            RoutingEvent::DrainedZones(zones) => self.set_drained_zones(zones, now),
            RoutingEvent::IsDrained(name, sender) => {
                let _ = sender.send(self.is_drained(&name));
            }
            RoutingEvent::Requested(pending) => self.handle_request(pending, now),
            RoutingEvent::List(sender) => {
                // The channel is closed if the requester no longer waits.
                let _ = sender.send(self.table.views(now));
            }
        }
    }

    fn handle_request(&mut self, pending: PendingSlot, now: Instant) {
        let PendingSlot {
            mut request,
            deadline,
            sender,
        } = pending;
        if !self.table.can_serve(&request, now) {
            // A server on which an attempt failed before is better than none.
            request.excluded.clear();
        }
        if !self.table.can_serve(&request, now) {
            let _ = sender.send(Err(self.table.refusal(&request, now)));
            return;
        }
        let WorkKind::Online(parameters) = request.kind.clone() else {
            self.batch.push_back(WaitingItem {
                request,
                deadline,
                sender,
            });
            return;
        };
        let queue = self.online.entry(request.target.clone()).or_default();
        if queue.is_empty()
            && let Some(key) = self.table.choose(&request, now)
        {
            self.grant(key, &request, sender, now);
            return;
        }
        let waiting = WaitingRequest {
            request,
            sender,
            preemption_requested: false,
        };
        queue.enqueue(&parameters, deadline, waiting, now);
    }

    fn release(&mut self, released: &ReleasedSlot, now: Instant) {
        let key = released.server;
        let elapsed = now.saturating_duration_since(released.started);
        if released.outcome == ServerOutcome::Answered && released.batch.is_none() {
            self.record_service_time(key, elapsed);
        }
        let servers = self.table.servers();
        servers.finish(key, released.outcome, elapsed, released.load, now);
        self.table.release_slot(key, released.load, now);
        let no_fault = matches!(
            released.outcome,
            ServerOutcome::Answered | ServerOutcome::Cancelled
        );
        if released.batch.is_some() && !no_fault {
            self.table.pause_batch(key, now);
        }
        let requester = released
            .batch
            .and_then(|batch| self.batch_slots.remove(batch));
        let server = self.table.servers().get(key);
        if let (Some(receiver), Some(record)) = (requester, server) {
            let server = record.announcement().name.clone();
            // The channel is closed only while the host is stopping.
            let notice = SlotNotice {
                receiver,
                server,
                event: SlotEvent::Released,
            };
            let _ = self.channels.notices.send(RoutingNotice::Slot(notice));
        }
    }

    /// Gives a server no more work that said that it leaves, and tells the other hosts.
    fn record_departure(&mut self, key: ServerKey, request: RequestId) {
        let Some(announcement) = self.table.servers().mark_leaving(key) else {
            return;
        };
        log::info!(
            "routing: server {} (generation {}) said in its answer to request {request} that \
             it leaves.",
            announcement.name,
            announcement.generation.0
        );
        let notice = RoutingNotice::Departure(announcement);
        // The channel is closed only while the host is stopping.
        let _ = self.channels.notices.send(notice);
    }

    fn record_service_time(&mut self, key: ServerKey, elapsed: Duration) {
        let Some(record) = self.table.servers().get(key) else {
            return;
        };
        for (target, queue) in &mut self.online {
            if record.offers(target) {
                queue.record_service_time(elapsed);
            }
        }
    }

    fn sweep(&mut self) {
        let now = self.clock.now();
        self.table.remove_expired(now);
        self.warn_of_drains(now);
        self.refuse_unserved(now);
    }

    /// Refuses queued requests that no server can take.
    fn refuse_unserved(&mut self, now: Instant) {
        let table = &self.table;
        for queue in self.online.values_mut() {
            queue.sweep(|request| {
                let lost = !table.can_serve(request, now);
                lost.then(|| table.refusal(request, now))
            });
        }
        self.online.retain(|_, queue| !queue.is_empty());
    }

    /// Grants slots to online requests, then to batch items.
    fn serve_waiting(&mut self) {
        let now = self.clock.now();
        let targets: Vec<WorkTarget> = self.online.keys().cloned().collect();
        for target in &targets {
            if let Some(queue) = self.online.get_mut(target) {
                queue.expire(now);
            }
            while self.serve_one(target, now) {}
            self.request_preemption(target, now);
        }
        self.serve_batch(now);
    }

    /// Grants a slot to one waiting request, or removes one whose caller has
    /// disconnected. Returns false if neither is possible.
    fn serve_one(&mut self, target: &WorkTarget, now: Instant) -> bool {
        let Some(queue) = self.online.get(target) else {
            return false;
        };
        let heads = queue.heads(HEADS_MAX);
        heads
            .into_iter()
            .any(|ticket| self.try_serve(target, ticket, now))
    }

    /// Returns whether the request was granted a slot, or removed because its caller
    /// has disconnected.
    fn try_serve(&mut self, target: &WorkTarget, ticket: QueueTicket, now: Instant) -> bool {
        let Some(queue) = self.online.get_mut(target) else {
            return false;
        };
        let Some(waiting) = queue.get(ticket) else {
            return false;
        };
        if waiting.sender.is_closed() {
            queue.remove_disconnected(ticket);
            return true;
        }
        let Some(key) = self.table.choose(&waiting.request, now) else {
            return false;
        };
        if let Some(waiting) = queue.serve(ticket, now) {
            self.grant(key, &waiting.request, waiting.sender, now);
        }
        true
    }

    fn serve_batch(&mut self, now: Instant) {
        for item in std::mem::take(&mut self.batch) {
            if item.sender.is_closed() {
                continue;
            }
            if let Some(key) = self.table.choose(&item.request, now) {
                self.grant(key, &item.request, item.sender, now);
            } else if item.deadline <= now || !self.table.can_serve(&item.request, now) {
                let _ = item
                    .sender
                    .send(Err(self.table.refusal(&item.request, now)));
            } else {
                self.batch.push_back(item);
            }
        }
    }

    fn grant(&mut self, key: ServerKey, request: &SlotRequest, sender: GrantSender, now: Instant) {
        let Some(announcement) = self.table.take_slot(key, now) else {
            return;
        };
        let name = announcement.name.clone();
        let address = announcement.address;
        let generation = announcement.generation;
        if let WorkKind::Online(parameters) = &request.kind {
            for prefix in &parameters.prefixes {
                self.table.servers().record_prefix(*prefix, key);
            }
        }
        let grant = ServerGrant {
            name,
            generation,
            address,
            load: None,
            outcome: ServerOutcome::Cancelled,
            server: key,
            started: now,
            batch: self.batch_grant(key, &request.kind, now),
            events: self.channels.event_sender.clone(),
        };
        // If the requester no longer waits, the grant is dropped, which releases the slot.
        let _ = sender.send(Ok(grant));
    }
}
