//! The event loop of the limits task.

use super::handle::{LimitEvent, LimitHandle, LimitInbox};
use super::limiters::LimiterSet;
use super::message::{LimitMessage, LimitReceiver, OutgoingMessage};
use super::owners::{OwnerSet, SESSION_BITS};
use super::reserves::LimitReader;
use super::trials::{LocalTrials, TrialMessage};
use crate::peers::{PeerDirectory, PeerMessage};
use crate::replica::ReplicaHandle;
use chicoryladder_policy::limits::{QuotaHolder, QuotaRequest, QuotaSession, TokenPool};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The poll interval while requests wait for tokens.
const BUSY_INTERVAL: Duration = Duration::from_millis(2);

/// The poll interval while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(25);

/// Settings of the limits task and the parts of the host that it uses.
pub(crate) struct LimitTaskSettings {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
    /// The addresses of all voters, including this host if it is one.
    pub(crate) voters: Vec<SocketAddr>,
    /// The address of this host in `voters`, if it is a voter.
    pub(crate) voter_address: Option<SocketAddr>,
    pub(crate) directory: PeerDirectory,
    pub(crate) replica: ReplicaHandle,
    pub(crate) clock: Arc<dyn ClockSource>,
}

/// Owns the rate-limit state of one host.
pub(crate) struct LimitTask {
    settings: LimitTaskSettings,
    events: mpsc::UnboundedReceiver<LimitEvent>,
    owners: OwnerSet,
    limiters: LimiterSet,
    trials: LocalTrials,
}

impl LimitTask {
    /// Creates the task and the handles to it.
    pub(crate) fn new(settings: LimitTaskSettings) -> (Self, LimitHandle, LimitInbox) {
        let (event_sender, events) = mpsc::unbounded_channel();
        let host = settings.host.clone();
        let session = QuotaSession(whole_millis(settings.clock.since_epoch()) << SESSION_BITS);
        let voters = u32::try_from(settings.voters.len()).unwrap_or(u32::MAX);
        let reader = LimitReader::new(settings.replica.clone(), voters);
        let is_voter = settings.voter_address.is_some();
        let now = settings.clock.now();
        let owners = OwnerSet::new(host.clone(), reader, is_voter, session, now);
        let task = Self {
            settings,
            events,
            owners,
            limiters: LimiterSet::new(host, session, now),
            trials: LocalTrials::default(),
        };
        let handle = LimitHandle {
            events: event_sender.clone(),
        };
        (
            task,
            handle,
            LimitInbox {
                events: event_sender,
            },
        )
    }

    pub(crate) async fn run(mut self) {
        loop {
            let busy = self.limiters.is_busy() || self.owners.is_busy();
            let interval = if busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = tokio::time::sleep(interval) => self.poll(),
            }
        }
    }

    fn handle(&mut self, event: LimitEvent) {
        let now = self.settings.clock.now();
        match event {
            LimitEvent::Admission(event) => {
                let reserve = self.zone_reserve();
                let requests = self.limiters.admit(event, reserve.as_ref(), now);
                let out = self.address_requests(requests);
                self.send_all(out);
            }
            LimitEvent::TrialBegin(fingerprint, sender) => {
                if self.trials.begin(fingerprint, sender, now) {
                    self.request_trial(fingerprint);
                }
            }
            LimitEvent::TrialRenewal(fingerprint) => {
                if self.trials.is_running(fingerprint) {
                    self.request_trial(fingerprint);
                }
            }
            LimitEvent::TrialEnd(fingerprint) => {
                self.trials.end(fingerprint);
                self.release_trial(fingerprint);
            }
            LimitEvent::Peer(sender, message) => {
                let out = self.receive(&sender, &message);
                self.send_all(out);
            }
        }
    }

    fn poll(&mut self) {
        let now = self.settings.clock.now();
        let epoch_floor = whole_millis(self.settings.clock.since_epoch());
        self.trials.expire(now);
        let mut out = self.owners.poll(epoch_floor, now);
        let requests = self.limiters.poll(now);
        out.extend(self.address_requests(requests));
        self.send_all(out);
    }

    fn receive(&mut self, sender: &HostName, message: &LimitMessage) -> Vec<OutgoingMessage> {
        let now = self.settings.clock.now();
        match message {
            LimitMessage::Request(request) => self.owners.handle_request(request, now),
            LimitMessage::Claim(claim) => self.owners.handle_claim(claim, now),
            LimitMessage::Vote(vote) => self.owners.handle_vote(vote, now),
            LimitMessage::OwnedShards(shards) => {
                self.owners.handle_owned_shards(sender, shards, now);
                Vec::new()
            }
            LimitMessage::Trial(trial) => self.receive_trial(trial, now),
            LimitMessage::Grant(grant) if matches!(grant.holder, QuotaHolder::Borrower(_)) => {
                self.owners.handle_borrowed(grant, now)
            }
            LimitMessage::Grant(grant) => {
                let requests = self.limiters.handle_grant(grant, now);
                self.address_requests(requests)
            }
            LimitMessage::Recall(recall) => {
                let requests = self.limiters.handle_recall(recall, now);
                self.address_requests(requests)
            }
        }
    }

    fn receive_trial(&mut self, message: &TrialMessage, now: Instant) -> Vec<OutgoingMessage> {
        match message {
            TrialMessage::Request(holder, fingerprint) => {
                let answer = self.owners.handle_trial(holder, *fingerprint, now);
                answer.into_iter().collect()
            }
            TrialMessage::Answer(fingerprint, decision) => {
                let unwanted = self.trials.decide(*fingerprint, *decision);
                let release = unwanted.then(|| self.trial_release(*fingerprint)).flatten();
                release.into_iter().collect()
            }
            TrialMessage::Release(holder, fingerprint) => {
                self.owners.release_trial(holder, *fingerprint);
                Vec::new()
            }
        }
    }

    fn request_trial(&mut self, fingerprint: RequestFingerprint) {
        let host = self.settings.host.clone();
        let request = LimitMessage::Trial(TrialMessage::Request(host, fingerprint));
        let coordinator = self.owners.trial_coordinator_of(fingerprint);
        let out = coordinator.map(|coordinator| OutgoingMessage::to_host(coordinator, request));
        self.send_all(out.into_iter().collect());
    }

    fn release_trial(&mut self, fingerprint: RequestFingerprint) {
        let out = self.trial_release(fingerprint);
        self.send_all(out.into_iter().collect());
    }

    fn trial_release(&self, fingerprint: RequestFingerprint) -> Option<OutgoingMessage> {
        let host = self.settings.host.clone();
        let release = LimitMessage::Trial(TrialMessage::Release(host, fingerprint));
        let coordinator = self.owners.trial_coordinator_of(fingerprint)?;
        Some(OutgoingMessage::to_host(coordinator, release))
    }

    /// Returns the voter whose reserve this host uses: itself if it is a voter,
    /// otherwise a live voter in its zone.
    fn zone_reserve(&self) -> Option<HostName> {
        if self.settings.voter_address.is_some() {
            return Some(self.settings.host.clone());
        }
        let live = self.settings.directory.live();
        let mut voters = live.into_iter().filter(|peer| {
            peer.zone == self.settings.zone && self.settings.voters.contains(&peer.address)
        });
        voters.next().map(|peer| peer.host)
    }

    /// Addresses requests to the bucket owners. Requests whose owner is unknown are
    /// dropped; the limiter repeats them.
    fn address_requests(&self, requests: Vec<QuotaRequest>) -> Vec<OutgoingMessage> {
        let address = |request: QuotaRequest| {
            let owner = match &request.pool {
                TokenPool::Fleet => self.owners.owner_of(&request.team)?.clone(),
                TokenPool::Reserve(host) => host.clone(),
            };
            Some(OutgoingMessage::to_host(
                &owner,
                LimitMessage::Request(request),
            ))
        };
        requests.into_iter().filter_map(address).collect()
    }

    /// Sends messages. Those for this host are handled directly, and so are the
    /// messages that they cause.
    fn send_all(&mut self, messages: Vec<OutgoingMessage>) {
        let own_host = self.settings.host.clone();
        let mut queue = VecDeque::from(messages);
        while let Some(outgoing) = queue.pop_front() {
            let local = match &outgoing.receiver {
                LimitReceiver::Host(host) => *host == own_host,
                LimitReceiver::Voters => self.settings.voter_address.is_some(),
                LimitReceiver::AllHosts => true,
            };
            self.send(&outgoing);
            if local {
                queue.extend(self.receive(&own_host, &outgoing.message));
            }
        }
    }

    fn send(&self, outgoing: &OutgoingMessage) {
        let directory = &self.settings.directory;
        let message = || PeerMessage::Limits(outgoing.message.clone());
        match &outgoing.receiver {
            LimitReceiver::Host(host) if *host == self.settings.host => {}
            LimitReceiver::Host(host) => {
                if let Some(address) = directory.address_of(host) {
                    directory.send(address, &message());
                }
            }
            LimitReceiver::Voters => {
                let own_address = self.settings.voter_address;
                let others = self
                    .settings
                    .voters
                    .iter()
                    .filter(|voter| Some(**voter) != own_address);
                for voter in others {
                    directory.send(*voter, &message());
                }
            }
            LimitReceiver::AllHosts => directory.broadcast(&message()),
        }
    }
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
