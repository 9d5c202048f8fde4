//! The JSON bodies of the administration API, shared by hosts and commands.
//!
//! `docs/openapi.yaml` describes the paths that take and give them.

mod seats;

pub use seats::{SeatChangeAnswer, SeatChangeRequest, SeatEntry, SeatsAnswer};

use crate::{
    ClassName, FleetRevision, HostName, LogIndex, OperationId, ServerName, TeamName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The fleet document in force on the answering host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetAnswer {
    /// The revision of the document.
    pub revision: FleetRevision,
    /// The canonical text.
    pub document: String,
}

/// Replaces the fleet document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The text of the new document.
    pub document: String,
    /// The revision that the operator saw.
    pub expected_revision: FleetRevision,
    /// Names the operation, so that a resend gets the first answer; drawn by
    /// the host if absent.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
}

/// How far an accepted change has spread.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PropagationReport {
    /// Whether every known host has applied the change.
    pub in_force: bool,
    /// The hosts that have not said so yet.
    pub hosts_not_heard: Vec<HostLocation>,
    /// The availability zones of which no host has said so yet.
    pub zones_not_heard: Vec<ZoneName>,
    /// Addresses from the settings under which no host was ever heard.
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

/// The answer to an accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// The revision that the document got.
    pub revision: FleetRevision,
    /// How far it has spread.
    #[serde(flatten)]
    pub propagation: PropagationReport,
}

/// Who won a race between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictAnswer {
    /// The revision that the operator expected.
    pub expected_revision: FleetRevision,
    /// The revision in force.
    pub current_revision: FleetRevision,
    /// The operation that took the expected revision.
    pub winner: Option<OperationId>,
    /// The entry host that took the winning operation.
    pub winner_host: Option<HostName>,
}

/// Grants a key to a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRequest {
    /// The team that the key speaks for.
    pub team: TeamName,
    /// Names the operation, so that a resend gets the same key; drawn by the
    /// host if absent.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
}

/// A granted key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// The id of the key, for listing and withdrawal.
    pub key_id: String,
    /// The key itself; not stored anywhere.
    pub key: String,
    /// How far the grant has spread.
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

/// The answer to a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawAnswer {
    /// The id of the key.
    pub key_id: String,
    /// Whether the answering host knew the key.
    pub known: bool,
    /// Whether the withdrawal is in the replicated log already; if not, the
    /// answering host keeps trying.
    pub logged: bool,
    /// The longest time, in milliseconds, for which hosts that were not heard
    /// may still take the key. Absent if there is no such bound: the withdrawal
    /// is not logged yet, or the team is served through a cut.
    pub stops_within_ms: Option<u64>,
    /// How far the withdrawal has spread.
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
    /// The team that the key speaks for, where its grant is known.
    pub team: Option<TeamName>,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// All known entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersAnswer {
    /// The host that answers.
    pub answering: HostName,
    /// The leader of group 0, where one is known.
    pub leader: Option<HostName>,
    /// The hosts, in the order of their names.
    pub members: Vec<MemberEntry>,
}

/// One entry host, as the answering host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The name of the host.
    pub host: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The address for other hosts.
    pub address: SocketAddr,
    /// Whether the host was heard lately.
    pub alive: bool,
    /// The log position that the host said to have applied.
    pub applied: LogIndex,
    /// The time since the host was last heard, in milliseconds.
    pub last_heard_ms: Option<u64>,
}

/// All announced backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServersAnswer {
    /// The servers, in the order of their names.
    pub servers: Vec<ServerEntry>,
}

/// One backend server, as the answering host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The name of the server.
    pub server: ServerName,
    /// The availability zone of the server.
    pub zone: ZoneName,
    /// The address that takes requests.
    pub address: String,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Requests that the answering host has on the server.
    pub in_flight: u32,
    /// Requests of all hosts on the server, as the answering host estimates them.
    #[serde(default)]
    pub occupied: u32,
    /// Whether the server has renewed its announcement in time.
    pub live: bool,
    /// Whether the server takes no new requests.
    pub leaving: bool,
}

/// A numbered board: the same content under the same number on every host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetBoard {
    /// The number; a screen never goes back to a lower one.
    pub number: u64,
    /// When the board was made, in milliseconds since the Unix epoch.
    pub made_at_ms: u64,
    /// The revision of the fleet document that the targets come from.
    pub revision: FleetRevision,
    /// One row a class, in the order of their names.
    pub classes: Vec<ClassRow>,
    /// Hosts whose counts are not in the board.
    pub hosts_missing: Vec<HostName>,
}

/// How one class fares against its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassRow {
    /// The class.
    pub class: ClassName,
    /// Whether the class holds online requests.
    pub online: bool,
    /// Whether the target is met; absent if there was nothing to measure.
    pub on_target: Option<bool>,
    /// Requests or items served to their end in the board's window.
    pub served: u64,
    /// Requests refused or items failed in the board's window.
    pub refused: u64,
    /// The time to the first token at the target's percentile, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// The target for it, in milliseconds.
    pub first_token_target_ms: Option<u64>,
    /// The time to the whole answer at the target's percentile, in milliseconds.
    pub answer_ms: Option<u64>,
    /// The target for it, in milliseconds.
    pub answer_target_ms: Option<u64>,
}
