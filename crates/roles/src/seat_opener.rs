//! Opens the seat that a data folder holds, or creates one in an empty folder.

use crate::message::{Notice, encode};
use chicoryladder_consensus::{
    FileStorage, GroupMembership, SeatEnvelope, SeatSettings, StateMachine,
};
use chicoryladder_group::{
    BootstrapMembers, GroupHandle, GroupSettings, GroupThread, SeatFile, SeatRecord, SeatTransport,
};
use chicoryladder_rpc::RpcClient;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{GroupId, SeatId};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// The interval between the heartbeats of a leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The silence after which a follower stands for election: five heartbeats, and at
/// least twice the minimum retransmission timeout of TCP.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of entries applied between two snapshots. A snapshot holds every open
/// job, so it is not taken often.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 2_048;

/// The bytes of the entries applied between two snapshots, which bound the log on the disk and
/// what a start reads.
const SNAPSHOT_INTERVAL_BYTES: u64 = 16 * 1024 * 1024;

/// The bytes of applied entries kept in memory: about ten seconds of a busy job group,
/// so that members that were briefly unreachable catch up without a snapshot.
const APPLIED_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The number of entries kept in memory behind a snapshot.
const RETAINED_ENTRIES: u64 = 256;

/// Opens the seat of one group on this host.
#[derive(Clone)]
pub(crate) struct SeatOpener {
    pub(crate) group: GroupId,
    pub(crate) folder: PathBuf,
    pub(crate) rpc: RpcClient,
    pub(crate) clock: Arc<dyn ClockSource>,
}

impl SeatOpener {
    /// Opens the seat in the folder, or the seat of a bootstrap member at the first
    /// start.
    ///
    /// Returns `None` if the host has to request a seat.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used.
    pub(crate) fn open<M: StateMachine + Default + 'static>(
        &self,
        members: Option<&BootstrapMembers>,
        first_start: bool,
    ) -> io::Result<Option<GroupHandle<M>>> {
        let file = SeatFile::new(&self.folder);
        if let Some(record) = file.read()? {
            return self.start(record).map(Some);
        }
        let Some(record) = members.and_then(|members| self.bootstrap_record(members)) else {
            return Ok(None);
        };
        if !first_start {
            return Ok(None);
        }
        file.write(&record)?;
        self.start(record).map(Some)
    }

    /// The record of this host's seat if it is a bootstrap member.
    fn bootstrap_record(&self, members: &BootstrapMembers) -> Option<SeatRecord> {
        let own_address = self.rpc.identity().address;
        let (seat, _) = members
            .iter()
            .find(|(_, address)| **address == own_address)?;
        Some(SeatRecord {
            seat: *seat,
            bootstrap_members: members.clone(),
        })
    }

    /// Records and opens a seat that the leader granted.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used.
    pub(crate) fn open_granted<M: StateMachine + Default + 'static>(
        &self,
        seat: SeatId,
    ) -> io::Result<GroupHandle<M>> {
        let record = SeatRecord {
            seat,
            bootstrap_members: BootstrapMembers::new(),
        };
        SeatFile::new(&self.folder).write(&record)?;
        self.start(record)
    }

    /// Deletes the files of a removed seat.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be deleted.
    pub(crate) fn delete_files(&self) -> io::Result<()> {
        // The record is deleted first: a crash in between must not leave a record whose log
        // is incomplete, which the next start would open as an intact seat.
        SeatFile::new(&self.folder).delete()?;
        match std::fs::remove_dir_all(self.log_folder()) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn log_folder(&self) -> PathBuf {
        self.folder.join("log")
    }

    fn start<M: StateMachine + Default + 'static>(
        &self,
        record: SeatRecord,
    ) -> io::Result<GroupHandle<M>> {
        let timers = SeatSettings {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            snapshot_interval_entries: SNAPSHOT_INTERVAL_ENTRIES,
            snapshot_interval_bytes: SNAPSHOT_INTERVAL_BYTES,
            retained_entries: RETAINED_ENTRIES,
            applied_max_bytes: APPLIED_MAX_BYTES,
            // Hosts without a seat query the leader instead of following the log.
            tail_max_entries: 0,
            ..SeatSettings::new(self.group, record.seat)
        };
        let folder = self.log_folder();
        let settings = GroupSettings {
            seat: timers,
            bootstrap_members: GroupMembership::of_voters(record.bootstrap_members),
            open_storage: Box::new(move || Ok(Box::new(FileStorage::open(&folder)?))),
            address: self.rpc.identity().address,
            seed: random_u64()?,
        };
        let transport = SeatSender {
            rpc: self.rpc.clone(),
        };
        GroupThread::start(settings, M::default, transport, self.clock.clone())
    }
}

/// A random number from the operating system.
///
/// # Errors
///
/// Fails if the operating system provides no random bytes.
pub(crate) fn random_u64() -> io::Result<u64> {
    getrandom::u64().map_err(io::Error::other)
}

/// Sends the messages of a seat as notices over RPC.
struct SeatSender {
    rpc: RpcClient,
}

impl SeatTransport for SeatSender {
    fn send(&self, address: SocketAddr, envelope: SeatEnvelope) {
        if let Some(payload) = encode("seat", &Notice::Seat(envelope)) {
            self.rpc.notify(address, payload);
        }
    }
}
