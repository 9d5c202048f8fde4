//! The role of this host in the consensus group: a seat or an observer.

use super::state::GroupState;
use chicoryladder_consensus::{
    FileStorage, GroupMembership, GroupReplica, LogStorage, ObserverSettings, SeatSettings,
    SnapshotError, StorageError, TailAnswer, TailObserver, TailRequest,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{GroupId, LogIndex, SeatId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The group that holds the fleet document, the keys and the batch jobs.
const FLEET_GROUP: GroupId = GroupId(0);

/// The folder of the group's log within the data folder.
const LOG_FOLDER: &str = "group-0";

/// Why the replica did not start.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// The log folder cannot be opened.
    #[error("the log in the data folder cannot be opened")]
    Log(#[from] StorageError),
    /// The log cannot be recovered.
    #[error("the log in the data folder cannot be read")]
    Start(#[from] chicoryladder_consensus::ReplicaError),
    /// The stored job items cannot be read.
    #[error("the items in the data folder cannot be read")]
    Items(#[from] chicoryladder_jobs::StoreError),
}

/// The disk of a host with a seat.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaDisk {
    /// The data folder.
    pub(crate) folder: PathBuf,
    /// The seat that the disk belongs to.
    pub(crate) seat: SeatId,
}

/// The settings of a replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaSettings {
    /// The disk; absent on an observer.
    pub(crate) disk: Option<ReplicaDisk>,
    /// The initial voters.
    pub(crate) voters: BTreeMap<SeatId, SocketAddr>,
    /// The availability zone of the host.
    pub(crate) zone: ZoneName,
    /// The time after its confirmation during which a view is valid.
    pub(crate) lease: Duration,
    /// Random bits, different at each start.
    pub(crate) seed: u64,
}

/// A seat or an observer of the group.
pub(super) enum ReplicaRole {
    Seat(Box<GroupReplica<GroupState>>),
    Observer(Box<TailObserver<GroupState>>),
}

impl ReplicaRole {
    /// Opens the seat stored on the disk, or starts an observer. `stopped` is the storage of the
    /// seat if it had one in this process; `seed` must differ at each start.
    pub(super) fn open(
        settings: &ReplicaSettings,
        stopped: Option<Box<dyn LogStorage>>,
        seed: u64,
        now: Instant,
    ) -> Result<Self, ReplicaError> {
        let Some(disk) = &settings.disk else {
            let voters = settings.voters.values().copied().collect();
            return Ok(Self::observer(voters, now));
        };
        let is_initial = settings.voters.contains_key(&disk.seat);
        let initial = if is_initial {
            GroupMembership::of_voters(settings.voters.clone())
        } else {
            GroupMembership::default()
        };
        let storage = match stopped {
            Some(storage) => storage,
            None => Box::new(FileStorage::open(disk.folder.join(LOG_FOLDER))?),
        };
        let replica = GroupReplica::start(
            SeatSettings::new(FLEET_GROUP, disk.seat),
            initial,
            storage,
            GroupState::open(Some(&disk.folder))?,
            seed,
            now,
        );
        Ok(Self::Seat(Box::new(replica?)))
    }

    /// Creates an observer with empty state.
    pub(super) fn observer(sources: Vec<SocketAddr>, now: Instant) -> Self {
        let state = GroupState::in_memory();
        let observer = TailObserver::new(ObserverSettings::default(), sources, state, now);
        Self::Observer(Box::new(observer))
    }

    pub(super) fn state(&self) -> &GroupState {
        match self {
            Self::Seat(replica) => replica.machine(),
            Self::Observer(observer) => observer.machine(),
        }
    }

    pub(super) fn state_mut(&mut self) -> &mut GroupState {
        match self {
            Self::Seat(replica) => replica.machine_mut(),
            Self::Observer(observer) => observer.machine_mut(),
        }
    }

    pub(super) fn applied(&self) -> LogIndex {
        match self {
            Self::Seat(replica) => replica.applied(),
            Self::Observer(observer) => observer.applied(),
        }
    }

    pub(super) fn fresh_at(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Seat(replica) => replica.fresh_at(now),
            Self::Observer(observer) => observer.fresh_at(),
        }
    }

    pub(super) fn wake_at(&self) -> Instant {
        match self {
            Self::Seat(replica) => replica.seat().wake_at(),
            Self::Observer(observer) => observer.wake_at(),
        }
    }

    pub(super) fn answer(
        &mut self,
        request: &TailRequest,
        now: Instant,
    ) -> Result<TailAnswer, SnapshotError> {
        match self {
            Self::Seat(replica) => replica.answer(request, now),
            Self::Observer(observer) => observer.answer(request, now),
        }
    }
}
