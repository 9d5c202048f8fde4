//! Command builders and a driver that applies commands to a machine.

use chicoryladder_settings::FleetDocument;
use chicoryladder_state::{
    ApplyDocument, FleetCommand, FleetMachine, FleetOutcome, GrantKey, KeyGrant, KeyId, KeySalt,
    SetZoneDrain, WithdrawKey,
};
use chicoryladder_types::{
    FleetRevision, HostName, LogIndex, OperationId, TeamName, ZoneDrainOrder, ZoneDrainStep,
    ZoneName,
};
use std::net::SocketAddr;

pub(crate) const SHARED_SECRET: &[u8] = b"a secret that all entry hosts share";

pub(crate) fn document_text(team: &str) -> String {
    format!("[team {team}]\nrate = 1\nburst = 1\n")
}

pub(crate) fn document(team: &str) -> FleetDocument {
    document_text(team).parse().expect("the text is valid")
}

fn operation(id: &str) -> OperationId {
    OperationId::try_from(id).expect("a valid operation id")
}

pub(crate) fn team_name(team: &str) -> TeamName {
    TeamName::try_from(team).expect("a valid team name")
}

pub(crate) fn apply(expected: u64, id: &str, team: &str) -> FleetCommand {
    FleetCommand::ApplyDocument(ApplyDocument {
        text: document_text(team),
        expected_revision: FleetRevision(expected),
        operation_id: operation(id),
        host: HostName::try_from("host-1").expect("a valid host name"),
    })
}

fn key_grant(team: &str, number: u8) -> KeyGrant {
    let salt = KeySalt([number; 16]);
    KeyGrant::derive(
        SHARED_SECRET,
        &team_name(team),
        KeyId::new(number.into()),
        salt,
    )
}

pub(crate) fn key_text(team: &str, number: u8) -> String {
    key_grant(team, number).key_text()
}

pub(crate) fn grant(id: &str, team: &str, number: u8) -> FleetCommand {
    let grant = key_grant(team, number);
    FleetCommand::GrantKey(GrantKey {
        team: team_name(team),
        key_id: grant.key_id,
        salt: grant.salt,
        secret_hash: grant.secret_hash(),
        operation_id: operation(id),
    })
}

pub(crate) fn withdraw(number: u8) -> FleetCommand {
    FleetCommand::WithdrawKey(WithdrawKey {
        key_id: KeyId::new(number.into()),
    })
}

pub(crate) fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a valid zone name")
}

/// An order that came from the given port, at that many milliseconds since the Unix epoch.
pub(crate) fn drain(id: &str, name: &str, step: ZoneDrainStep, port: u16) -> FleetCommand {
    FleetCommand::SetZoneDrain(SetZoneDrain {
        order: ZoneDrainOrder {
            zone: zone(name),
            step,
            asked_by: Some(SocketAddr::from(([127, 0, 0, 1], port))),
            at_ms: port.into(),
        },
        operation_id: operation(id),
    })
}

/// A machine with its log position.
#[derive(Default)]
pub(crate) struct MachineDriver {
    pub(crate) machine: FleetMachine,
    index: LogIndex,
}

impl MachineDriver {
    /// Encodes and decodes a command and applies it at the next log position.
    pub(crate) fn apply_next(&mut self, command: &FleetCommand) -> FleetOutcome {
        self.index = self.index.next();
        let bytes = command.to_bytes().expect("the command serializes");
        let command = FleetCommand::from_bytes(&bytes).expect("the bytes are a command");
        self.machine.apply(self.index, &command)
    }

    /// Replaces the machine with one restored from its snapshot.
    pub(crate) fn restart(&mut self) {
        let bytes = self.machine.snapshot().expect("the state serializes");
        self.machine = FleetMachine::new();
        self.machine.restore(&bytes).expect("the snapshot is whole");
    }
}
