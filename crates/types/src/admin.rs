//! The JSON bodies of the administration API, shared by hosts and commands.
//!
//! `docs/openapi.yaml` describes the endpoints.

mod seats;

pub use seats::{SeatChangeAnswer, SeatChangeRequest, SeatEntry, SeatsAnswer};

use crate::{
    ClassName, FleetRevision, HostName, LogIndex, OperationId, ServerName, TeamName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The fleet document in effect on the responding host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetAnswer {
    /// The revision of the document.
    pub revision: FleetRevision,
    /// The canonical text of the document.
    pub document: String,
}

/// A request to replace the fleet document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The text of the new document.
    pub document: String,
    /// The revision that the change is based on.
    pub expected_revision: FleetRevision,
    /// Identifies the operation, so that a retry gets the first result; chosen by the host
    /// if absent.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
}

/// How far an accepted change has propagated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PropagationReport {
    /// Whether every known host has applied the change.
    pub in_force: bool,
    /// The hosts that have not confirmed the change yet.
    pub hosts_not_heard: Vec<HostLocation>,
    /// The availability zones in which no host has confirmed the change yet.
    pub zones_not_heard: Vec<ZoneName>,
    /// The addresses from the settings at which no host was ever reached.
    #[serde(default)]
    pub contacts_not_heard: Vec<SocketAddr>,
}

/// An entry host and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostLocation {
    /// The name of the host.
    pub host: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
}

/// The response to an accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// The revision assigned to the document.
    pub revision: FleetRevision,
    /// How far the document has propagated.
    #[serde(flatten)]
    pub propagation: PropagationReport,
}

/// The response to a document that conflicts with one accepted before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictAnswer {
    /// The revision that the operator expected.
    pub expected_revision: FleetRevision,
    /// The revision in effect.
    pub current_revision: FleetRevision,
    /// The operation that replaced the expected revision.
    pub winner: Option<OperationId>,
    /// The entry host that accepted the winning operation.
    pub winner_host: Option<HostName>,
}

/// A request to grant a key to a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRequest {
    /// The team that the key authenticates.
    pub team: TeamName,
    /// Identifies the operation, so that a retry gets the same key; chosen by the host if
    /// absent.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
}

/// A granted key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// The id of the key, for listing and withdrawal.
    pub key_id: String,
    /// The key itself; it is not stored anywhere.
    pub key: String,
    /// How far the grant has propagated.
    #[serde(flatten)]
    pub propagation: PropagationReport,
}

impl std::fmt::Debug for GrantAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GrantAnswer")
            .field("key_id", &self.key_id)
            .field("spread", &self.propagation)
            .finish_non_exhaustive()
    }
}

/// The response to the withdrawal of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawAnswer {
    /// The id of the key.
    pub key_id: String,
    /// Whether the responding host knew the key.
    pub known: bool,
    /// Whether the withdrawal is already in the replicated log; if not, the responding
    /// host retries.
    pub logged: bool,
    /// The maximum time, in milliseconds, for which hosts that have not confirmed may
    /// still accept the key. Absent if there is no such bound: either the withdrawal is
    /// not logged yet, or the team is served during network partitions.
    pub stops_within_ms: Option<u64>,
    /// How far the withdrawal has propagated.
    #[serde(flatten)]
    pub propagation: PropagationReport,
}

/// All keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeysAnswer {
    /// The keys, in the order of their ids.
    pub keys: Vec<KeyEntry>,
}

/// One key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// The id of the key.
    pub key_id: String,
    /// The team that the key authenticates, if its grant is known.
    pub team: Option<TeamName>,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// All known entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersAnswer {
    /// The responding host.
    pub answering: HostName,
    /// The leader of the consensus group that replicates the fleet state, if known.
    pub leader: Option<HostName>,
    /// The hosts, in the order of their names.
    pub members: Vec<MemberEntry>,
}

/// The state of one entry host, as known to the responding host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The name of the host.
    pub host: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The peer address of the host.
    pub address: SocketAddr,
    /// Whether there was recent contact with the host.
    pub alive: bool,
    /// The applied log position that the host reported.
    pub applied: LogIndex,
    /// The time since the last contact with the host, in milliseconds.
    pub last_heard_ms: Option<u64>,
}

/// All announced backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServersAnswer {
    /// The servers, in the order of their names.
    pub servers: Vec<ServerEntry>,
}

/// The state of one backend server, as known to the responding host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The name of the server.
    pub server: ServerName,
    /// The availability zone of the server.
    pub zone: ZoneName,
    /// The address that accepts requests.
    pub address: String,
    /// The maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// The number of requests of the responding host in flight on the server.
    pub in_flight: u32,
    /// The estimated number of requests of all hosts on the server.
    #[serde(default)]
    pub occupied: u32,
    /// Whether the server renewed its announcement in time.
    pub live: bool,
    /// Whether the server is draining and accepts no new requests.
    pub leaving: bool,
}

/// An order to drain a zone or to withdraw that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDrainRequest {
    /// Whether nothing more is sent to the servers of the zone.
    pub drained: bool,
    /// Identifies the operation, so that a resend that arrives late does not undo a later
    /// order; chosen by the host if absent.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
}

/// The acknowledgement of an order on a zone, which is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDrainAnswer {
    /// The zone.
    pub zone: ZoneName,
    /// Whether the zone is drained, by the last order in the log.
    pub drained: bool,
    /// How far the order has propagated.
    #[serde(flatten)]
    pub propagation: PropagationReport,
}

/// All known availability zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonesAnswer {
    /// The zones, in the order of their names.
    pub zones: Vec<ZoneEntry>,
}

/// The state of one availability zone, as known to the responding host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEntry {
    /// The name of the zone.
    pub zone: ZoneName,
    /// The number of known entry hosts in the zone.
    pub hosts: u32,
    /// The number of known backend servers in the zone.
    pub servers: u32,
    /// Whether nothing more is sent to the servers of the zone.
    pub drained: bool,
    /// The address from which the order to drain it came; absent if it is not drained.
    pub asked_by: Option<SocketAddr>,
    /// When that order was accepted, in milliseconds since the Unix epoch; absent if it is not
    /// drained.
    pub since_ms: Option<u64>,
}

/// A numbered status board. Boards with the same number have the same content on every
/// host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetBoard {
    /// The number; a display never returns to a lower one.
    pub number: u64,
    /// When the board was created, in milliseconds since the Unix epoch.
    pub made_at_ms: u64,
    /// The revision of the fleet document that defines the targets.
    pub revision: FleetRevision,
    /// One row per class, in the order of the class names.
    pub classes: Vec<ClassRow>,
    /// The hosts whose counts are missing from the board.
    pub hosts_missing: Vec<HostName>,
}

/// The performance of one class compared to its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassRow {
    /// The class.
    pub class: ClassName,
    /// Whether the class is for online requests.
    pub online: bool,
    /// Whether the target is met; absent if there are no measurements.
    pub on_target: Option<bool>,
    /// The number of requests or items completed in the board's time window.
    pub served: u64,
    /// The number of requests refused or items failed in the board's time window.
    pub refused: u64,
    /// The time to the first token at the target's percentile, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// The target for the time to the first token, in milliseconds.
    pub first_token_target_ms: Option<u64>,
    /// The time to the complete response at the target's percentile, in milliseconds.
    pub answer_ms: Option<u64>,
    /// The target for the time to the complete response, in milliseconds.
    pub answer_target_ms: Option<u64>,
}
