//! The routing task.

use super::batch_slots::BatchSlots;
use super::handle::{
    BatchGrant, BatchRoom, RoutingEvent, RoutingPlace, ServerGrant, SlotRequest, SlotWish,
    WorkKind, no_server,
};
use super::table::{ServerKey, ServerTable};
use chicoryladder_types::prelude::*;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The time between two looks for lost servers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

type GrantSender = oneshot::Sender<Result<ServerGrant, RequestRefusal>>;

struct WaitingRequest {
    request: SlotRequest,
    sender: GrantSender,
    /// Whether a batch item was stopped in favour of this request.
    asked: bool,
}

/// Owns the servers and the waiting requests of one host.
pub(super) struct RoutingTask {
    place: RoutingPlace,
    clock: Arc<dyn ClockSource>,
    wishes: mpsc::UnboundedSender<SlotWish>,
    events_out: mpsc::UnboundedSender<RoutingEvent>,
    events: mpsc::UnboundedReceiver<RoutingEvent>,
    table: ServerTable,
    online: VecDeque<WaitingRequest>,
    batch: VecDeque<WaitingRequest>,
    batch_slots: BatchSlots,
}

impl RoutingTask {
    pub(super) fn new(
        place: RoutingPlace,
        clock: Arc<dyn ClockSource>,
        wishes: mpsc::UnboundedSender<SlotWish>,
        events_out: mpsc::UnboundedSender<RoutingEvent>,
        events: mpsc::UnboundedReceiver<RoutingEvent>,
    ) -> Self {
        Self {
            place,
            clock,
            wishes,
            events_out,
            events,
            table: ServerTable::default(),
            online: VecDeque::new(),
            batch: VecDeque::new(),
            batch_slots: BatchSlots::default(),
        }
    }

    pub(super) async fn run(mut self) {
        let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = sweeps.tick() => self.sweep(),
            }
            self.serve_waiting();
        }
    }

    fn handle(&mut self, event: RoutingEvent) {
        let now = self.clock.now();
        match event {
            RoutingEvent::Announced(announcement) => self.table.announce(announcement, now),
            RoutingEvent::Released {
                server,
                load,
                failed,
                batch,
            } => {
                self.table.give_back(server, load, now);
                if failed {
                    self.table.pause_batch(server, now);
                }
                if let Some(id) = batch {
                    self.batch_slots.remove(id);
                }
            }
            RoutingEvent::Hosts(hosts) => self.table.set_hosts(hosts),
            RoutingEvent::YieldSlot(name) => self.yield_slot(&name),
            RoutingEvent::Room(sender) => {
                let _ = sender.send(BatchRoom {
                    idle: self.table.idle_slots(&self.place.host, now),
                    taken: self.batch_slots.count(),
                });
            }
            RoutingEvent::Wanted(request, sender) => self.enqueue(request, sender),
            RoutingEvent::List(sender) => {
                // A closed channel means that the asker has left.
                let _ = sender.send(self.table.views(now));
            }
        }
    }

    fn enqueue(&mut self, request: SlotRequest, sender: GrantSender) {
        if !self.table.can_serve(&request, self.clock.now()) {
            let _ = sender.send(Err(no_server(&request.target)));
            return;
        }
        let asked = false;
        let waiting = WaitingRequest {
            request,
            sender,
            asked,
        };
        match waiting.request.kind {
            WorkKind::Online => self.online.push_back(waiting),
            WorkKind::Batch { .. } => self.batch.push_back(waiting),
        }
    }

    fn sweep(&mut self) {
        let now = self.clock.now();
        self.table.forget_lost(now);
        for waiting in &mut self.online {
            waiting.asked = false;
        }
        for queue in [&mut self.online, &mut self.batch] {
            let (kept, lost): (VecDeque<_>, VecDeque<_>) = std::mem::take(queue)
                .into_iter()
                .partition(|waiting| self.table.can_serve(&waiting.request, now));
            *queue = kept;
            for waiting in lost {
                let refusal = no_server(&waiting.request.target);
                let _ = waiting.sender.send(Err(refusal));
            }
        }
    }

    /// Grants slots to online requests, then to batch items.
    fn serve_waiting(&mut self) {
        let mut online = std::mem::take(&mut self.online);
        online.retain_mut(|waiting| !self.try_grant(waiting));
        for waiting in &mut online {
            self.ask_for_slot(waiting);
        }
        self.online = online;
        let mut batch = std::mem::take(&mut self.batch);
        batch.retain_mut(|waiting| !self.try_grant(waiting));
        self.batch = batch;
    }

    /// Stops a batch item for an online request that found no slot, once.
    fn ask_for_slot(&mut self, waiting: &mut WaitingRequest) {
        if waiting.asked {
            return;
        }
        waiting.asked = true;
        let now = self.clock.now();
        let table = &self.table;
        let request = &waiting.request;
        let stopped = self
            .batch_slots
            .stop_youngest(|key| table.suits(key, request, now));
        if stopped {
            return;
        }
        if let Some(key) = self.table.next_choice(request, now) {
            self.wish_for_slot(key);
        }
    }

    /// Makes room on a server whose slots other hosts' requests take up.
    fn relieve(&mut self, key: ServerKey) {
        if !self.table.is_crowded(key) {
            return;
        }
        if !self.batch_slots.stop_youngest(|other| other == key) {
            self.wish_for_slot(key);
        }
    }

    fn wish_for_slot(&self, key: ServerKey) {
        let wish = self.table.slot_wish(key);
        if let Some(wish) = wish.filter(|wish| wish.home != self.place.host) {
            // A closed channel means that the host is stopping.
            let _ = self.wishes.send(wish);
        }
    }

    fn yield_slot(&mut self, name: &ServerName) {
        if let Some(key) = self.table.key_of(name) {
            self.batch_slots.stop_youngest(|other| other == key);
        }
    }

    fn batch_grant(&mut self, key: ServerKey, kind: WorkKind) -> Option<BatchGrant> {
        let WorkKind::Batch { stoppable } = kind else {
            self.relieve(key);
            return None;
        };
        let (id, stop) = self.batch_slots.add(key, stoppable);
        Some(BatchGrant { id, stop })
    }

    /// Whether the request was granted a slot or left.
    fn try_grant(&mut self, waiting: &mut WaitingRequest) -> bool {
        if waiting.sender.is_closed() {
            return true;
        }
        let now = self.clock.now();
        let Some(key) = self.table.choose(&waiting.request, &self.place, now) else {
            return false;
        };
        let Some(announcement) = self.table.take_slot(key, now) else {
            return false;
        };
        let name = announcement.name.clone();
        let address = announcement.address;
        let grant = ServerGrant {
            name,
            address,
            load: None,
            failed: false,
            server: key,
            batch: self.batch_grant(key, waiting.request.kind),
            events: self.events_out.clone(),
        };
        let (sender, _) = oneshot::channel();
        let sender = std::mem::replace(&mut waiting.sender, sender);
        // An asker that has left drops the grant, which gives the slot back.
        let _ = sender.send(Ok(grant));
        true
    }
}
