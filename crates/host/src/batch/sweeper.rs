//! The task that proposes sweeps of the job state when one is due.
//!
//! Any host may propose a sweep; a redundant sweep changes nothing. Random jitter
//! keeps the hosts from proposing at the same time.

use crate::ids::RandomIds;
use crate::replica::ReplicaHandle;
use chicoryladder_jobs::JobCommand;
use std::sync::Arc;
use std::time::Duration;

/// The time between two checks, without jitter.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The upper bound of the random jitter, in milliseconds.
const JITTER_MAX_MILLIS: u128 = 500;

/// Proposes the sweeps that expire leases, uploads and jobs.
pub(crate) struct JobSweeper {
    pub(crate) replica: ReplicaHandle,
    pub(crate) ids: Arc<RandomIds>,
}

impl JobSweeper {
    pub(crate) async fn run(self) {
        loop {
            let jitter = u64::try_from(self.ids.bits() % JITTER_MAX_MILLIS).unwrap_or_default();
            tokio::time::sleep(POLL_INTERVAL + Duration::from_millis(jitter)).await;
            if self.replica.is_sweep_due().await {
                self.sweep().await;
            }
        }
    }

    async fn sweep(&self) {
        let now = self.replica.wall();
        if let Err(error) = self.replica.propose_jobs(JobCommand::Sweep { now }).await {
            log::debug!("batch: cannot sweep the jobs: {error}.");
        }
    }
}
