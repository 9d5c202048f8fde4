//! The task that collects request statistics and maintains the latest board.
//!
//! Every second each host reports its statistics to the leader of the consensus
//! group. The leader builds a board from the reports and broadcasts it to all hosts.

use crate::peers::{PeerDirectory, PeerMessage};
use crate::replica::ReplicaHandle;
use chicoryladder_settings::{ClassTarget, OnlineTarget};
use chicoryladder_state::{BoardAggregator, BoardCache, StatisticsReport, StatisticsWindow};
use chicoryladder_types::admin::FleetBoard;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{LogIndex, TermNumber};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The time between two boards, and the duration of one slot of the window.
const BOARD_INTERVAL: Duration = Duration::from_secs(1);

/// An event for the board task.
enum BoardEvent {
    Served(ServedRequest),
    Refused(ClassName, RefusalReason),
    Report(HostName, StatisticsReport),
    Board(FleetBoard),
}

/// A request that was served to its end.
#[derive(Clone, Debug)]
pub(crate) struct ServedRequest {
    pub(crate) class: ClassName,
    /// The time until the first chunk of a streamed response; `None` for a response
    /// sent as a whole.
    pub(crate) first_token: Option<Duration>,
    /// The time until the response was complete.
    pub(crate) answer: Duration,
}

/// Handle of the board task; clones share the task.
#[derive(Clone)]
pub(crate) struct BoardHandle {
    events: mpsc::UnboundedSender<BoardEvent>,
    boards: watch::Receiver<FleetBoard>,
}

impl BoardHandle {
    /// Counts a request that was served.
    pub(crate) fn record_served(&self, request: ServedRequest) {
        self.send(BoardEvent::Served(request));
    }

    /// Counts a request that was refused or abandoned.
    pub(crate) fn record_refused(&self, class: ClassName, reason: RefusalReason) {
        self.send(BoardEvent::Refused(class, reason));
    }

    /// Receives the statistics of another host.
    pub(crate) fn receive_report(&self, host: HostName, report: StatisticsReport) {
        self.send(BoardEvent::Report(host, report));
    }

    /// Receives a board that another host built.
    pub(crate) fn receive_board(&self, board: FleetBoard) {
        self.send(BoardEvent::Board(board));
    }

    /// The latest board.
    pub(crate) fn board(&self) -> FleetBoard {
        self.boards.borrow().clone()
    }

    fn send(&self, event: BoardEvent) {
        // A closed channel means that the host has stopped.
        let _ = self.events.send(event);
    }
}

/// Counts requests, reports statistics and builds boards.
pub(crate) struct BoardTask {
    host: HostName,
    replica: ReplicaHandle,
    peers: PeerDirectory,
    clock: Arc<dyn ClockSource>,
    events: mpsc::UnboundedReceiver<BoardEvent>,
    boards: watch::Sender<FleetBoard>,
    window: StatisticsWindow,
    aggregator: BoardAggregator,
    cache: BoardCache,
}

impl BoardTask {
    pub(crate) fn new(
        host: HostName,
        replica: ReplicaHandle,
        peers: PeerDirectory,
        clock: Arc<dyn ClockSource>,
    ) -> (Self, BoardHandle) {
        let (sender, events) = mpsc::unbounded_channel();
        let (boards, receiver) = watch::channel(FleetBoard::default());
        let task = Self {
            host,
            replica,
            peers,
            clock,
            events,
            boards,
            window: StatisticsWindow::default(),
            aggregator: BoardAggregator::default(),
            cache: BoardCache::default(),
        };
        let handle = BoardHandle {
            events: sender,
            boards: receiver,
        };
        (task, handle)
    }

    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(BOARD_INTERVAL);
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, event: BoardEvent) {
        match event {
            BoardEvent::Served(request) => self.count_served(&request),
            BoardEvent::Refused(class, reason) => self.window.record_refused(&class, reason),
            BoardEvent::Report(host, report) => {
                self.aggregator
                    .record_report(host, report, self.clock.now());
            }
            BoardEvent::Board(board) => self.publish(board),
        }
    }

    fn count_served(&mut self, request: &ServedRequest) {
        let view = self.replica.view();
        let class = view.document.classes.get(&request.class);
        let within_target = match class.map(|class| class.target) {
            Some(ClassTarget::Online(target)) => meets_target(request, target),
            Some(ClassTarget::Batch(_)) | None => true,
        };
        let ServedRequest {
            class,
            first_token,
            answer,
        } = request;
        self.window
            .record_served(class, *first_token, *answer, within_target);
    }

    fn tick(&mut self) {
        let report = self.window.report();
        self.window.advance();
        let group = self.replica.group();
        let leads = group.leader == Some(self.peers.own_address());
        match (leads, group.term, group.leader) {
            (true, Some(term), _) => self.build_board(term, report),
            (false, _, Some(leader)) => self.peers.send(leader, &PeerMessage::Statistics(report)),
            _ => {}
        }
    }

    fn build_board(&mut self, term: TermNumber, report: StatisticsReport) {
        let view = self.replica.view();
        if view.applied == LogIndex::default() {
            return;
        }
        let now = self.clock.now();
        self.aggregator
            .record_report(self.host.clone(), report, now);
        let mut hosts: Vec<HostName> = self.peers.known().into_iter().map(|p| p.host).collect();
        hosts.sort();
        let wall = self.clock.wall();
        let board = self.aggregator.build(term, &view, &hosts, now, wall);
        self.peers.broadcast(&PeerMessage::Board(board.clone()));
        self.publish(board);
    }

    fn publish(&mut self, board: FleetBoard) {
        if self.cache.replace_if_newer(board) {
            self.boards.send_replace(self.cache.board().clone());
        }
    }
}

fn meets_target(request: &ServedRequest, target: OnlineTarget) -> bool {
    let first_token = request.first_token.unwrap_or_default();
    first_token <= target.first_token && request.answer <= target.answer
}
