//! What a run of the demo left behind.

use super::withdrawal::WithdrawalRecord;
use crate::error::CommandError;
use crate::local_fleet::{LocalFleet, ReasonCounts};
use chicoryladder_standin::ReceivedRequest;
use chicoryladder_standin::load::LoadReport;
use std::collections::HashMap;

/// What a run of the demo left behind.
#[derive(Clone, Debug)]
pub struct DemoOutcome {
    /// What the callers saw.
    pub report: LoadReport,
    /// What the hosts counted.
    pub counts: ReasonCounts,
    /// How often each charge ran on the plain service.
    pub charge_runs: HashMap<String, u64>,
    /// Every request that a backend server received.
    pub received: Vec<ReceivedRequest>,
    /// The keys of the callers.
    pub keys: Vec<String>,
    /// How the withdrawn key fared.
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
