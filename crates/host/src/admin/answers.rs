//! JSON bodies of the administration API.

use crate::peers::PeerRecord;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Instant;

#[derive(Serialize)]
pub(super) struct FleetAnswer {
    pub(super) revision: u64,
    pub(super) document: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PutFleetBody {
    pub(super) document: String,
    pub(super) expected_revision: u64,
    pub(super) operation_id: Option<String>,
}

#[derive(Serialize)]
pub(super) struct PutFleetAnswer {
    pub(super) revision: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GrantKeyBody {
    pub(super) team: TeamName,
    pub(super) operation_id: Option<String>,
}

#[derive(Serialize)]
pub(super) struct GrantKeyAnswer {
    pub(super) key_id: String,
    pub(super) key: String,
}

#[derive(Serialize)]
pub(super) struct WithdrawKeyAnswer {
    pub(super) key_id: String,
    pub(super) known: bool,
}

#[derive(Serialize)]
pub(super) struct KeyAnswer {
    pub(super) key_id: String,
    pub(super) team: Option<TeamName>,
    pub(super) withdrawn: bool,
}

#[derive(Serialize)]
pub(super) struct MembersAnswer {
    members: Vec<MemberAnswer>,
}

#[derive(Serialize)]
struct MemberAnswer {
    host: HostName,
    zone: ZoneName,
    address: SocketAddr,
    heard_ms_ago: u128,
}

impl MembersAnswer {
    pub(super) fn of_self(host: &HostName, zone: &ZoneName, address: SocketAddr) -> Self {
        let own = MemberAnswer {
            host: host.clone(),
            zone: zone.clone(),
            address,
            heard_ms_ago: 0,
        };
        Self { members: vec![own] }
    }

    pub(super) fn add_peers(&mut self, peers: Vec<PeerRecord>, now: Instant) {
        let answers = peers.into_iter().map(|peer| MemberAnswer {
            heard_ms_ago: now.saturating_duration_since(peer.last_heard).as_millis(),
            host: peer.host,
            zone: peer.zone,
            address: peer.address,
        });
        self.members.extend(answers);
        self.members.sort_by(|a, b| a.host.cmp(&b.host));
    }
}
