//! The `members` and `servers` resources of the administration API: hosts and backend
//! servers.

use super::AdminService;
use crate::peers::{PEER_LIVE_TIMEOUT, PeerRecord};
use crate::routing::ServerView;
use chicoryladder_gateway::{AnswerBody, json_answer};
use chicoryladder_types::LogIndex;
use chicoryladder_types::admin::{MemberEntry, MembersAnswer, ServerEntry, ServersAnswer};
use hyper::Response;
use std::time::Instant;

impl AdminService {
    pub(super) fn members(&self) -> Response<AnswerBody> {
        let now = self.clock.now();
        let peers = self.peers.known();
        let mut members: Vec<MemberEntry> = peers.iter().map(|peer| entry(peer, now)).collect();
        members.push(self.own_entry());
        members.sort_by(|a, b| a.host.cmp(&b.host));
        let leader = members
            .iter()
            .find(|member| Some(member.address) == self.replica.leader())
            .map(|member| member.host.clone());
        let answer = MembersAnswer {
            answering: self.host.clone(),
            leader,
            members,
        };
        json_answer(200, &answer)
    }

    fn own_entry(&self) -> MemberEntry {
        MemberEntry {
            host: self.host.clone(),
            zone: self.zone.clone(),
            address: self.peers.own_address(),
            alive: true,
            applied: self.replica.view().applied,
            last_heard_ms: Some(0),
        }
    }

    pub(super) async fn list_servers(&self) -> Response<AnswerBody> {
        let views = self.routing.servers().await;
        let servers = views.into_iter().map(server_entry).collect();
        json_answer(200, &ServersAnswer { servers })
    }
}

fn entry(peer: &PeerRecord, now: Instant) -> MemberEntry {
    let silence = now.saturating_duration_since(peer.last_heard);
    let position = peer.position.as_ref();
    MemberEntry {
        host: peer.host.clone(),
        zone: peer.zone.clone(),
        address: peer.address,
        alive: silence <= PEER_LIVE_TIMEOUT,
        applied: position.map_or(LogIndex::default(), |position| position.applied),
        last_heard_ms: u64::try_from(silence.as_millis()).ok(),
    }
}

fn server_entry(view: ServerView) -> ServerEntry {
    ServerEntry {
        server: view.name,
        zone: view.zone,
        address: view.address,
        slots: view.slots,
        in_flight: view.in_flight,
        occupied: view.occupied,
        live: view.live,
        leaving: view.leaving,
    }
}
