//! Zones, folders, ports and settings of the hosts of a local fleet.

use super::failed;
use crate::error::CommandError;
use chicoryladder_settings::HostSettings;
use chicoryladder_types::ZoneName;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// The length of a secret, in random bytes.
const SECRET_BYTES: usize = 16;

/// The first port of the range for peers, which lies below the ephemeral ports of
/// outgoing connections.
const FIRST_PORT: u16 = 10_000;

/// The number of ports in the range.
const PORT_COUNT: u16 = 10_000;

/// An availability zone of a local fleet; each holds one entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalZone {
    /// The first availability zone.
    A,
    /// The second availability zone.
    B,
    /// The third availability zone.
    C,
}

impl LocalZone {
    /// Every availability zone.
    pub const ALL: [Self; 3] = [Self::A, Self::B, Self::C];

    /// Returns the letter of the zone, as used in host and server names.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::A => "a",
            Self::B => "b",
            Self::C => "c",
        }
    }

    pub(super) const fn index(self) -> usize {
        self as usize
    }

    pub(super) fn zone_name(self) -> Result<ZoneName, CommandError> {
        ZoneName::try_from(format!("zone-{}", self.name())).map_err(failed)
    }
}

/// The data folder and the peer addresses of a fleet.
pub(super) struct FleetLayout {
    pub(super) operator_token: String,
    folder: PathBuf,
    peers: Vec<SocketAddr>,
}

impl FleetLayout {
    /// Generates the secrets, writes their files and picks the peers' ports.
    pub(super) fn prepare(folder: &Path) -> Result<Self, CommandError> {
        let operator_token = random_text()?;
        fs::write(folder.join("operator-token.txt"), &operator_token).map_err(failed)?;
        fs::write(folder.join("peer-secret.txt"), random_text()?).map_err(failed)?;
        Ok(Self {
            operator_token,
            folder: folder.to_owned(),
            peers: free_addresses(LocalZone::ALL.len())?,
        })
    }

    /// Returns the settings of the host in a zone. Except for the peers' port, the
    /// operating system assigns its ports.
    pub(super) fn settings(&self, zone: LocalZone) -> Result<HostSettings, CommandError> {
        let seat = zone.index() + 1;
        let name = zone.name();
        let folder = self.folder.display();
        let peer = self.peers[zone.index()];
        let seeds: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        let voters: Vec<String> = (1..)
            .zip(&seeds)
            .map(|(n, p)| format!("{n} = {p}"))
            .collect();
        let text = format!(
            "[host]\nname = host-{name}\nzone = zone-{name}\n\
             [listen]\ncallers = 127.0.0.1:0\nservers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = {peer}\n\
             [peers]\nsecret_file = {folder}/peer-secret.txt\nseeds = {}\n\
             [voters]\n{}\n\
             [data]\nfolder = {folder}/host-{name}\nseat = {seat}\n\
             [operators]\ntoken_file = {folder}/operator-token.txt\n",
            seeds.join(", "),
            voters.join("\n"),
        );
        Ok(HostSettings::parse("local fleet", &text)?)
    }
}

/// Finds loopback addresses whose ports are free at the time of the check.
///
/// The settings of each host contain the addresses of all peers, so these must be
/// known before the first host starts.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, CommandError> {
    let start = random_offset()?;
    let free: Vec<SocketAddr> = (0..PORT_COUNT)
        .map(|step| FIRST_PORT + (start + step) % PORT_COUNT)
        .map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
        .filter(|address| TcpListener::bind(address).is_ok())
        .take(count)
        .collect();
    if free.len() < count {
        return Err(failed("there are not enough free ports on loopback"));
    }
    Ok(free)
}

fn random_offset() -> Result<u16, CommandError> {
    let mut bytes = [0; size_of::<u16>()];
    getrandom::fill(&mut bytes).map_err(failed)?;
    Ok(u16::from_le_bytes(bytes) % PORT_COUNT)
}

fn random_text() -> Result<String, CommandError> {
    let mut bytes = [0; SECRET_BYTES];
    getrandom::fill(&mut bytes).map_err(failed)?;
    Ok(format!("{:032x}", u128::from_le_bytes(bytes)))
}
