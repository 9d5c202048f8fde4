//! The replicated state of the control group.

use chicoryladder_broker::{VersionRecord, VersionStep};
use chicoryladder_consensus::{
    RestoreError, SnapshotError, StateDecoder, StateMachine, encode_state,
};
use chicoryladder_plan::{
    CallerLimits, PlanTerms, PlanVersion, RawPlan, RawRoute, RawService, RawTeam,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{LogIndex, SeatId, Tail, ZoneDrainOrder, ZoneDrains};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// The number of departures kept. A server that left soon stops sending check-ins, so
/// only the newest departures matter to a new leader.
const DEPARTURES_MAX: usize = 512;

/// A command for the replicated state. The event log contains its debug output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ControlCommand {
    /// Replaces the plan if its version is higher.
    ReplacePlan {
        document: Vec<u8>,
        plan: Box<RawPlan>,
    },
    /// Records that an incarnation of a backend server is leaving; `born` is its number.
    ServerLeaves { name: ServerName, born: u64 },
    /// Decides the bootstrap members of the job group; only the first command counts.
    FoundStore {
        founders: BTreeMap<SeatId, SocketAddr>,
    },
    /// Starts to retire a store host: its seat moves to another host.
    BeginRetire { host: HostName, address: SocketAddr },
    /// Records that a store host is drained.
    CompleteRetire { host: HostName },
    /// Records a step in the use of a software version of servers.
    RecordVersion(VersionRecord),
    /// Drains a zone or withdraws that.
    SetZoneDrain(ZoneDrainOrder),
}

/// The state of a retiring store host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RetireRecord {
    pub(crate) address: SocketAddr,
    pub(crate) is_drained: bool,
}

/// The plan in force and the document that it was read from.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StoredPlan {
    pub(crate) document: Vec<u8>,
    pub(crate) plan: RawPlan,
}

/// A stored plan as in snapshots, where other fields follow it: without its terms.
type StoredPlanFields<D, R, S, T> = (D, (PlanVersion, R, S, T, CallerLimits));

fn stored_plan_fields(
    stored: &StoredPlan,
) -> StoredPlanFields<&[u8], &[RawRoute], &[RawService], &[RawTeam]> {
    let StoredPlan { document, plan } = stored;
    let parts = (
        plan.version,
        plan.routes.as_slice(),
        plan.services.as_slice(),
        plan.teams.as_slice(),
        plan.limits,
    );
    (document, parts)
}

fn restored_plan(
    (document, parts): StoredPlanFields<Vec<u8>, Vec<RawRoute>, Vec<RawService>, Vec<RawTeam>>,
    plan_terms: PlanTerms,
) -> StoredPlan {
    let (version, routes, services, teams, limits) = parts;
    let plan = RawPlan {
        version,
        routes,
        services,
        teams,
        limits,
        terms: Tail(plan_terms),
    };
    StoredPlan { document, plan }
}

/// The replicated state of the control group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlMachine {
    plan: Option<Arc<StoredPlan>>,
    departures: VecDeque<(ServerName, u64)>,
    store_bootstrap_members: Option<BTreeMap<SeatId, SocketAddr>>,
    retirements: BTreeMap<HostName, RetireRecord>,
    /// The versions of the servers of each service. Snapshots of earlier builds end before it.
    versions: Vec<VersionRecord>,
    /// Snapshots of earlier builds end before it.
    zone_drains: ZoneDrains,
}

impl ControlMachine {
    pub(crate) fn plan(&self) -> Option<Arc<StoredPlan>> {
        self.plan.clone()
    }

    pub(crate) fn departures(&self) -> &VecDeque<(ServerName, u64)> {
        &self.departures
    }

    pub(crate) fn store_bootstrap_members(&self) -> Option<&BTreeMap<SeatId, SocketAddr>> {
        self.store_bootstrap_members.as_ref()
    }

    pub(crate) fn retirements(&self) -> &BTreeMap<HostName, RetireRecord> {
        &self.retirements
    }

    pub(crate) fn versions(&self) -> &[VersionRecord] {
        &self.versions
    }

    pub(crate) fn zone_drains(&self) -> &ZoneDrains {
        &self.zone_drains
    }

    /// The zones to whose servers nothing is sent.
    #[must_use]
    pub fn drained_zones(&self) -> BTreeSet<ZoneName> {
        self.zone_drains.drained_zones()
    }

    fn record_version(&mut self, record: VersionRecord) {
        let is_other = |known: &VersionRecord| {
            known.service != record.service || known.version != record.version
        };
        self.versions.retain(is_other);
        if record.step != VersionStep::Gone {
            self.versions.push(record);
        }
    }

    fn version(&self) -> PlanVersion {
        let stored = self.plan.as_ref();
        stored.map_or(PlanVersion::default(), |stored| stored.plan.version)
    }

    fn execute(&mut self, command: ControlCommand) {
        match command {
            ControlCommand::ReplacePlan { document, plan } => {
                if self.plan.is_none() || plan.version > self.version() {
                    let plan = *plan;
                    self.plan = Some(Arc::new(StoredPlan { document, plan }));
                }
            }
            ControlCommand::ServerLeaves { name, born } => {
                self.departures.push_back((name, born));
                if self.departures.len() > DEPARTURES_MAX {
                    self.departures.pop_front();
                }
            }
            ControlCommand::FoundStore { founders } => {
                self.store_bootstrap_members.get_or_insert(founders);
            }
            ControlCommand::BeginRetire { host, address } => {
                let record = RetireRecord {
                    address,
                    is_drained: false,
                };
                self.retirements.entry(host).or_insert(record);
            }
            ControlCommand::CompleteRetire { host } => {
                if let Some(record) = self.retirements.get_mut(&host) {
                    record.is_drained = true;
                }
            }
            ControlCommand::RecordVersion(record) => self.record_version(record),
            ControlCommand::SetZoneDrain(order) => self.zone_drains.apply(order),
        }
    }
}

/// Decodes the next part of a snapshot; one of an earlier build ends before it.
fn decode_or_default<T: Default + DeserializeOwned>(
    decoder: &mut StateDecoder<'_>,
) -> Result<T, RestoreError> {
    if decoder.is_at_end()? {
        return Ok(T::default());
    }
    decoder.decode()
}

impl StateMachine for ControlMachine {
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8> {
        match postcard::from_bytes(command) {
            Ok(command) => self.execute(command),
            Err(error) => {
                log::error!("control: failed to decode the command in log entry {index}: {error}.");
            }
        }
        Vec::new()
    }

    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError> {
        let stored = self.plan.as_deref();
        let fields = (
            stored.map(stored_plan_fields),
            &self.departures,
            &self.store_bootstrap_members,
            &self.retirements,
            &self.versions,
            stored.map(|stored| &stored.plan.terms.0),
            &self.zone_drains,
        );
        encode_state(&fields, output)
    }

    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError> {
        let mut decoder = StateDecoder::new(input);
        let (plan, departures, store_bootstrap_members, retirements) = decoder.decode()?;
        let versions = decode_or_default(&mut decoder)?;
        let terms: Option<PlanTerms> = decode_or_default(&mut decoder)?;
        let zone_drains = decode_or_default(&mut decoder)?;
        let plan = Option::map(plan, |plan| restored_plan(plan, terms.unwrap_or_default()));
        *self = Self {
            plan: plan.map(Arc::new),
            departures,
            store_bootstrap_members,
            retirements,
            versions,
            zone_drains,
        };
        Ok(())
    }
}
