//! The outcome of a demo run.

use super::withdrawal::WithdrawalRecord;
use crate::error::CommandError;
use crate::local_fleet::{LocalFleet, ReasonCounts};
use chicoryladder_standin::ReceivedRequest;
use chicoryladder_standin::load::LoadReport;
use std::collections::HashMap;

/// The reports, counters and requests collected in a demo run.
#[derive(Clone, Debug)]
pub struct DemoOutcome {
    /// The load report, as measured by the callers.
    pub report: LoadReport,
    /// Refusals and retries counted by the hosts.
    pub counts: ReasonCounts,
    /// The number of runs of each charge on the plain service.
    pub charge_runs: HashMap<String, u64>,
    /// Every request that a backend server received.
    pub received: Vec<ReceivedRequest>,
    /// The callers' keys.
    pub keys: Vec<String>,
    /// The responses to requests with the withdrawn key.
    pub withdrawal: WithdrawalRecord,
}

impl DemoOutcome {
    pub(super) async fn collect(
        fleet: &LocalFleet,
        report: LoadReport,
        keys: Vec<String>,
        withdrawal: WithdrawalRecord,
    ) -> Result<Self, CommandError> {
        let mut received = Vec::new();
        for engine in fleet.engines() {
            received.extend(engine.received());
        }
        let mut charge_runs = HashMap::new();
        for service in fleet.services() {
            received.extend(service.received());
            for (charge, runs) in service.runs() {
                *charge_runs.entry(charge).or_default() += runs;
            }
        }
        Ok(Self {
            report,
            counts: fleet.reason_counts().await?,
            charge_runs,
            received,
            keys,
            withdrawal,
        })
    }
}
