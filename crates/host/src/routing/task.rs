//! The routing task.

use super::handle::{RoutingEvent, ServerGrant, SlotRequest, WorkKind, no_server};
use super::table::ServerTable;
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
}

/// Owns the servers and the waiting requests of one host.
pub(super) struct RoutingTask {
    zone: ZoneName,
    clock: Arc<dyn ClockSource>,
    events_out: mpsc::UnboundedSender<RoutingEvent>,
    events: mpsc::UnboundedReceiver<RoutingEvent>,
    table: ServerTable,
    online: VecDeque<WaitingRequest>,
    batch: VecDeque<WaitingRequest>,
}

impl RoutingTask {
    pub(super) fn new(
        zone: ZoneName,
        clock: Arc<dyn ClockSource>,
        events_out: mpsc::UnboundedSender<RoutingEvent>,
        events: mpsc::UnboundedReceiver<RoutingEvent>,
    ) -> Self {
        Self {
            zone,
            clock,
            events_out,
            events,
            table: ServerTable::default(),
            online: VecDeque::new(),
            batch: VecDeque::new(),
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
            RoutingEvent::Released { server, load } => self.table.give_back(server, load),
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
        let waiting = WaitingRequest { request, sender };
        match waiting.request.kind {
            WorkKind::Online => self.online.push_back(waiting),
            WorkKind::Batch => self.batch.push_back(waiting),
        }
    }

    fn sweep(&mut self) {
        let now = self.clock.now();
        self.table.forget_lost(now);
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
        self.online = online;
        let mut batch = std::mem::take(&mut self.batch);
        batch.retain_mut(|waiting| !self.try_grant(waiting));
        self.batch = batch;
    }

    /// Whether the request was granted a slot or left.
    fn try_grant(&mut self, waiting: &mut WaitingRequest) -> bool {
        if waiting.sender.is_closed() {
            return true;
        }
        let now = self.clock.now();
        let Some(key) = self.table.choose(&waiting.request, &self.zone, now) else {
            return false;
        };
        let Some(announcement) = self.table.take_slot(key) else {
            return false;
        };
        let grant = ServerGrant {
            name: announcement.name.clone(),
            address: announcement.address,
            load: None,
            server: key,
            events: self.events_out.clone(),
        };
        let (sender, _) = oneshot::channel();
        let sender = std::mem::replace(&mut waiting.sender, sender);
        // An asker that has left drops the grant, which gives the slot back.
        let _ = sender.send(Ok(grant));
        true
    }
}
